//! Which source a follower asks: near ones first, another after a failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::source_list::SourcePlace;

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
    /// Those that sources told of, in the order in which this follower
    /// prefers them, then those that only settings name.
    sources: Vec<KnownSource>,
    told: Vec<SourcePlace>,
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
            told: Vec::new(),
            current,
            away_since: None,
        }
    }

    /// A source told which instances can be asked, in the order in which
    /// this follower prefers them. True where it turns to a nearer one.
    pub fn learn(
        &mut self,
        now: Duration,
        named: &[SocketAddr],
        told: Vec<SourcePlace>,
    ) -> bool {
        let before = self.current();
        self.told = told;
        // The list of a leader that has just begun is short; one that answers
        // well is not left for that.
        let answers = &self.sources[self.current];
        let listed = self.told.iter().any(|place| place.address == before);
        if let Some(failure_domain) = answers.failure_domain.clone().filter(|_| !listed) {
            self.told.push(SourcePlace {
                address: before,
                failure_domain,
            });
        }
        self.replace(now, named);
        let current = &self.sources[self.current];
        if self.rank(now, current) != SourceRank::Near {
            self.choose(now);
        }
        self.current() != before
    }

    /// Takes other addresses, not empty, in place of those held; what is
    /// known of those that stay is kept.
    pub fn replace(&mut self, now: Duration, addresses: &[SocketAddr]) {
        let current = self.current();
        let told = self.told.iter().map(|place| place.address);
        let mut sources: Vec<KnownSource> = Vec::new();
        for address in told.chain(addresses.iter().copied()) {
            if sources.iter().any(|source| source.address == address) {
                continue;
            }
            let held = self.sources.iter().find(|held| held.address == address);
            let place = self.told.iter().find(|place| place.address == address);
            let mut source = held.cloned().unwrap_or(KnownSource {
                address,
                failure_domain: None,
                failed_at: None,
            });
            if let Some(place) = place {
                source.failure_domain = Some(Arc::clone(&place.failure_domain));
            }
            sources.push(source);
        }
        self.sources = sources;
        let place = self.sources.iter().position(|held| held.address == current);
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

    /// The source in use cannot tell whether it is behind; turns to one of
    /// another failure domain, where there is one.
    ///
    /// Guards against a failure domain that is cut off from the leader while
    /// its nodes reach everyone: asked in turn, its instances keep a node with
    /// an old version for as long as each of them takes to find out.
    pub fn unsure(&mut self, now: Duration) {
        let domain = self.sources[self.current].failure_domain.clone();
        for source in &mut self.sources {
            if domain.is_some() && source.failure_domain == domain {
                source.failed_at = Some(now);
            }
        }
        self.failed(now);
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
