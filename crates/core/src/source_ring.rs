//! Which source a follower asks: near ones first, another after a failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a source that failed is passed over while others are left.
const PASSED_OVER: Duration = Duration::from_secs(5);

/// How long a follower stays with a source in another failure domain before
/// it looks for a near one again. A herd that moved away comes back over
/// this time and not at once.
const AWAY_TIME: Duration = Duration::from_secs(120);

/// Sources, one of them in use.
#[derive(Clone, Debug)]
pub struct SourceRing {
    failure_domain: Arc<str>,
    sources: Vec<KnownSource>,
    current: usize,
    away_since: Option<Duration>,
}

#[derive(Clone, Debug)]
struct KnownSource {
    address: SocketAddr,
    /// Learnt from its answers.
    failure_domain: Option<Arc<str>>,
    failed_at: Option<Duration>,
}

/// How willingly a source is asked; lower is better.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SourceRank {
    Near,
    Unknown,
    Far,
    Failed,
}

impl SourceRing {
    /// A ring over `addresses`, which must not be empty, beginning with
    /// number `first`, for a follower in `failure_domain`.
    pub fn new(failure_domain: Arc<str>, addresses: &[SocketAddr], first: usize) -> Self {
        let mut sources = Vec::with_capacity(addresses.len());
        for address in addresses {
            sources.push(KnownSource {
                address: *address,
                failure_domain: None,
                failed_at: None,
            });
        }
        let current = first % sources.len().max(1);
        Self {
            failure_domain,
            sources,
            current,
            away_since: None,
        }
    }

    /// Takes other addresses, not empty, in place of those held; what is
    /// known of those that stay is kept.
    pub fn replace(&mut self, now: Duration, addresses: &[SocketAddr]) {
        let current = self.current();
        let mut sources = Vec::with_capacity(addresses.len());
        for address in addresses {
            let held = self.sources.iter().find(|held| held.address == *address);
            sources.push(held.cloned().unwrap_or(KnownSource {
                address: *address,
                failure_domain: None,
                failed_at: None,
            }));
        }
        self.sources = sources;
        let place = addresses.iter().position(|address| *address == current);
        self.current = place.unwrap_or(0);
        if place.is_none() {
            self.choose(now);
        }
    }

    /// The source in use.
    pub fn current(&self) -> SocketAddr {
        self.sources[self.current].address
    }

    /// The source in use answered from `failure_domain`. True where the
    /// follower turns to another one, nearer or not known yet.
    pub fn answered(&mut self, now: Duration, failure_domain: &Arc<str>) -> bool {
        let source = &mut self.sources[self.current];
        source.failed_at = None;
        source.failure_domain = Some(Arc::clone(failure_domain));
        if *failure_domain == self.failure_domain {
            self.away_since = None;
            return false;
        }
        let since = *self.away_since.get_or_insert(now);
        let ranks: Vec<SourceRank> = self
            .sources
            .iter()
            .map(|source| self.rank(now, source))
            .collect();
        let long_away = now.saturating_sub(since) >= AWAY_TIME;
        let nearer = long_away && ranks.contains(&SourceRank::Near);
        if !nearer && !ranks.contains(&SourceRank::Unknown) {
            return false;
        }
        self.away_since = Some(now);
        self.choose(now);
        true
    }

    /// The source in use failed, or could not help; turns to another.
    pub fn failed(&mut self, now: Duration) {
        self.sources[self.current].failed_at = Some(now);
        self.choose(now);
    }

    /// The best source after the current one, in the order of the ring.
    fn choose(&mut self, now: Duration) {
        let count = self.sources.len();
        let mut best = self.current;
        let mut best_rank = None;
        for step in 1..=count {
            let at = (self.current + step) % count;
            let rank = self.rank(now, &self.sources[at]);
            if best_rank.as_ref().is_none_or(|held| rank < *held) {
                best = at;
                best_rank = Some(rank);
            }
        }
        self.current = best;
    }

    fn rank(&self, now: Duration, source: &KnownSource) -> SourceRank {
        let lately = |failed: Duration| now.saturating_sub(failed) < PASSED_OVER;
        if source.failed_at.is_some_and(lately) {
            return SourceRank::Failed;
        }
        match &source.failure_domain {
            Some(domain) if *domain == self.failure_domain => SourceRank::Near,
            Some(_) => SourceRank::Far,
            None => SourceRank::Unknown,
        }
    }
}
