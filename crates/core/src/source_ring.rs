//! Selects the source that a follower asks: preferably one in its own failure
//! domain, and another one after a failure.
//!
//! Load pattern: a thousand followers lose their source in the same moment. Each of
//! them orders the sources by a hash of its own, so that those of a failed source
//! spread over all that remain and not over the next one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::control_roster::ControlRoster;
use crate::rendezvous;

/// How long a failed source is avoided while others are available.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(5);

/// How long a follower stays with a source in another failure domain before it
/// tries a local one again, so that many followers that switched together
/// return spread over this time.
const FAILBACK_DELAY: Duration = Duration::from_secs(120);

/// Known sources, one of them in use.
#[derive(Clone, Debug)]
pub struct SourceRing {
    failure_domain: Arc<str>,
    seed: u64,
    settings: Vec<SocketAddr>,
    roster: ControlRoster,
    sources: Vec<KnownSource>,
    current: usize,
    remote_since: Option<Duration>,
}

#[derive(Clone, Debug)]
struct KnownSource {
    address: SocketAddr,
    /// Named by the roster, or learned from its answers; `None` before.
    failure_domain: Option<Arc<str>>,
    is_listed: bool,
    failed_at: Option<Duration>,
}

/// Preference among sources; lower is better.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SourceRank {
    Local,
    Unknown,
    Remote,
    /// Named by the settings, but not by the roster.
    Unlisted,
    /// Failed recently. The one that failed first may have recovered.
    Failed(Duration),
}

impl SourceRing {
    /// Creates a ring over `addresses` of the settings, which must not be empty, for
    /// a follower in `failure_domain`. `seed` orders the sources.
    pub fn new(failure_domain: Arc<str>, addresses: &[SocketAddr], seed: u64) -> Self {
        let mut ring = Self {
            failure_domain,
            seed,
            settings: addresses.to_vec(),
            roster: ControlRoster::default(),
            sources: Vec::new(),
            current: 0,
            remote_since: None,
        };
        ring.rebuild();
        ring.choose(Duration::ZERO);
        ring
    }

    /// Replaces the addresses of the settings, which must not be empty. What is
    /// known about addresses that remain is kept.
    pub fn replace(&mut self, now: Duration, addresses: &[SocketAddr]) {
        self.settings = addresses.to_vec();
        if !self.rebuild() {
            self.choose(now);
        }
    }

    /// Takes the roster of a newer configuration, and chooses by it even if the source
    /// in use answers: those that the settings name would keep more followers than
    /// the others. True if the follower switches to another source.
    pub fn learn(&mut self, now: Duration, roster: &ControlRoster) -> bool {
        if self.roster == *roster {
            return false;
        }
        self.roster = roster.clone();
        let before = self.current();
        self.rebuild();
        self.choose(now);
        self.current() != before
    }

    /// True until the follower has learned a roster.
    pub fn needs_roster(&self) -> bool {
        self.roster.is_empty()
    }

    /// Address of the source in use.
    pub fn current(&self) -> SocketAddr {
        self.sources[self.current].address
    }

    /// True if the source in use failed recently, and all others did too.
    pub fn is_exhausted(&self, now: Duration) -> bool {
        let rank = self.rank(now, &self.sources[self.current]);
        matches!(rank, SourceRank::Failed(_))
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
        let is_failback_due = now.saturating_sub(since) >= FAILBACK_DELAY;
        let is_local_due = is_failback_due && self.has_ranked(now, SourceRank::Local);
        if !is_local_due && !self.has_ranked(now, SourceRank::Unknown) {
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

    /// Lists the sources of the roster and the settings in this follower's order.
    /// True if the one in use remains; otherwise another must be chosen.
    fn rebuild(&mut self) -> bool {
        let held = std::mem::take(&mut self.sources);
        for seat in &self.roster.seats {
            self.sources.push(KnownSource {
                address: seat.address,
                failure_domain: Some(Arc::clone(&seat.failure_domain)),
                is_listed: true,
                failed_at: None,
            });
        }
        for address in &self.settings {
            if self.sources.iter().any(|source| source.address == *address) {
                continue;
            }
            self.sources.push(KnownSource {
                address: *address,
                failure_domain: None,
                is_listed: false,
                failed_at: None,
            });
        }
        for source in &mut self.sources {
            let same = held.iter().find(|known| known.address == source.address);
            let Some(known) = same else {
                continue;
            };
            source.failed_at = known.failed_at;
            if source.failure_domain.is_none() {
                source.failure_domain.clone_from(&known.failure_domain);
            }
        }
        let seed = self.seed;
        self.sources.sort_by_cached_key(|source| {
            rendezvous::rank(&source.address.to_string(), seed)
        });
        let current = held.get(self.current).map(|source| source.address);
        let at = self
            .sources
            .iter()
            .position(|source| Some(source.address) == current);
        self.current = at.unwrap_or(0);
        at.is_some()
    }

    /// Switches to the best source, the first in this follower's order among equals.
    fn choose(&mut self, now: Duration) {
        let ranked = self.sources.iter().enumerate();
        let best = ranked.min_by_key(|(_, source)| self.rank(now, source));
        self.current = best.map_or(0, |(at, _)| at);
    }

    fn has_ranked(&self, now: Duration, rank: SourceRank) -> bool {
        let mut sources = self.sources.iter();
        sources.any(|source| self.rank(now, source) == rank)
    }

    fn rank(&self, now: Duration, source: &KnownSource) -> SourceRank {
        if let Some(failed_at) = source.failed_at {
            if now.saturating_sub(failed_at) < FAILURE_COOLDOWN {
                return SourceRank::Failed(failed_at);
            }
        }
        if !source.is_listed && !self.roster.is_empty() {
            return SourceRank::Unlisted;
        }
        match &source.failure_domain {
            Some(domain) if *domain == self.failure_domain => SourceRank::Local,
            Some(_) => SourceRank::Remote,
            None => SourceRank::Unknown,
        }
    }
}
