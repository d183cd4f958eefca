//! Selects the source that a follower asks: preferably one in its own failure
//! domain, and another one after a failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a failed source is avoided while others are available.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(5);

/// How long a follower stays with a source in another failure domain before it
/// tries a local one again, so that many followers that switched together
/// return spread over this time.
const FAILBACK_DELAY: Duration = Duration::from_secs(120);

/// Known sources in a fixed cyclic order, one of them in use.
#[derive(Clone, Debug)]
pub struct SourceRing {
    failure_domain: Arc<str>,
    sources: Vec<KnownSource>,
    current: usize,
    remote_since: Option<Duration>,
}

#[derive(Clone, Debug)]
struct KnownSource {
    address: SocketAddr,
    /// Learned from its answers; `None` before the first.
    failure_domain: Option<Arc<str>>,
    failed_at: Option<Duration>,
}

/// Preference among sources; lower is better.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SourceRank {
    Local,
    Unknown,
    Remote,
    Failed,
}

impl SourceRing {
    /// Creates a ring over `addresses`, which must not be empty, for a follower
    /// in `failure_domain`. The source in use is number `first`, modulo the
    /// number of addresses.
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
            remote_since: None,
        }
    }

    /// Replaces the addresses, which must not be empty. What is known about
    /// addresses that remain is kept.
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
        let position = addresses.iter().position(|address| *address == current);
        self.current = position.unwrap_or(0);
        if position.is_none() {
            self.choose(now);
        }
    }

    /// Address of the source in use.
    pub fn current(&self) -> SocketAddr {
        self.sources[self.current].address
    }

    /// Records that the source in use answered from `failure_domain`. True if
    /// the follower switches to another source, which is in its own failure
    /// domain or in one that is not known yet.
    pub fn answered(&mut self, now: Duration, failure_domain: &Arc<str>) -> bool {
        let source = &mut self.sources[self.current];
        source.failed_at = None;
        source.failure_domain = Some(Arc::clone(failure_domain));
        if *failure_domain == self.failure_domain {
            self.remote_since = None;
            return false;
        }
        let since = *self.remote_since.get_or_insert(now);
        let ranks: Vec<SourceRank> = self
            .sources
            .iter()
            .map(|source| self.rank(now, source))
            .collect();
        let failback_due = now.saturating_sub(since) >= FAILBACK_DELAY;
        let local_available = failback_due && ranks.contains(&SourceRank::Local);
        if !local_available && !ranks.contains(&SourceRank::Unknown) {
            return false;
        }
        self.remote_since = Some(now);
        self.choose(now);
        true
    }

    /// Records that the source in use failed or could not help, and switches
    /// to another one.
    pub fn failed(&mut self, now: Duration) {
        self.sources[self.current].failed_at = Some(now);
        self.choose(now);
    }

    /// Switches to the best source. Among equals the first after the current
    /// one in the order of the ring is chosen, and the current one last.
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
        let recent = |failed: Duration| now.saturating_sub(failed) < FAILURE_COOLDOWN;
        if source.failed_at.is_some_and(recent) {
            return SourceRank::Failed;
        }
        match &source.failure_domain {
            Some(domain) if *domain == self.failure_domain => SourceRank::Local,
            Some(_) => SourceRank::Remote,
            None => SourceRank::Unknown,
        }
    }
}
