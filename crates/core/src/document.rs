//! The fleet's configuration as operators write it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::HolderRoster;
use crate::tuning::TuningKey;
use crate::tuning::TuningTable;
use crate::version::ConfigVersion;

pub use self::label_stripper::LabelStripper;
pub use self::validate::validate;
pub use self::validate::validate_edit;
pub use self::validate::DocumentFault;

mod label_stripper;
mod validate;

/// Services, routes, fleet defaults and the short list of exceptions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDocument {
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<Arc<str>, ServiceSpec>,
    /// Routes; the longest matching path prefix wins. Versions of the
    /// document share those that no change touched.
    #[serde(default)]
    pub routes: Vec<Arc<RouteSpec>>,
    /// Figures for the whole fleet.
    #[serde(default)]
    pub defaults: TuningTable,
    /// Departures from the defaults, each with its reason.
    #[serde(default)]
    pub exceptions: Vec<ExceptionEntry>,
    /// Bounds on what callers may send.
    #[serde(default, skip_serializing_if = "CallerLimits::is_empty")]
    pub limits: CallerLimits,
    /// What operators noted on the document; carried and shown, never read.
    #[serde(default, skip_serializing_if = "LabelTable::is_empty")]
    pub labels: LabelTable,
    /// Nodes that hold the claims of non-idempotent calls; kept by the
    /// leader, not by operators.
    #[serde(default, skip_serializing_if = "HolderRoster::is_empty")]
    pub holders: HolderRoster,
}

impl FleetDocument {
    fn has_labels(&self) -> bool {
        !self.labels.is_empty()
            || self.services.values().any(|spec| !spec.labels.is_empty())
            || self.routes.iter().any(|route| !route.labels.is_empty())
    }
}

/// Notes by name, such as the display name of a route.
pub type LabelTable = BTreeMap<Arc<str>, Arc<str>>;

/// Bounds on what a caller may send and how long it may take; a figure that
/// is absent is the node's own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head_bytes: Option<u64>,
    /// Largest body of a request, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
    /// Longest time for a head to arrive whole, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head_ms: Option<u64>,
    /// How long a connection may stay idle, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_ms: Option<u64>,
}

impl CallerLimits {
    /// True where nothing is set.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Stands for a backend server version in service that nobody has named
/// yet: the leader puts the first one announced in its place.
pub const ANY_VERSION: &str = "any";

/// A service and the backend server version that serves it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Backend server version in service, or [`ANY_VERSION`].
    pub version: Arc<str>,
    /// Version that is taking over, while a move is on its way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub candidate: Option<CandidateShare>,
    /// Versions that moves have taken back since the last one that went
    /// through; kept by the leader, not by operators.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<Arc<str>>,
    /// Path of a backend server's own health page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<Arc<str>>,
    /// Connections that one backend server takes at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections_max: Option<u32>,
    /// What operators noted on the service; carried and shown, never read.
    #[serde(default, skip_serializing_if = "LabelTable::is_empty")]
    pub labels: LabelTable,
}

impl ServiceSpec {
    /// True where any version that a server announces is in service.
    pub fn takes_any_version(&self) -> bool {
        *self.version == *ANY_VERSION
    }
}

/// A new version beside the old one, with its share of the traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CandidateShare {
    /// The new backend server version.
    pub version: Arc<str>,
    /// Share of the service's calls, in thousandths.
    pub share_per_mille: u16,
    /// Version that started the move; `ZERO` where it was set by hand.
    #[serde(default, skip_serializing_if = "ConfigVersion::is_zero")]
    pub rollout: ConfigVersion,
}

/// How urgent a route's calls are.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CallPriority {
    /// Served first: somebody waits for the answer.
    High,
    /// Served when nothing urgent waits.
    #[default]
    Normal,
    /// May wait while others are served.
    Low,
}

impl CallPriority {
    /// The word used between nodes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }

    /// Reads the word back; `None` for any other.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "high" => Some(Self::High),
            "normal" => Some(Self::Normal),
            "low" => Some(Self::Low),
            _ => None,
        }
    }
}

/// One route: a path prefix and the service behind it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Path prefix, from the leading slash; matches whole segments.
    pub path: Arc<str>,
    /// Service that answers.
    pub service: Arc<str>,
    /// Urgency of the route's calls.
    #[serde(default)]
    pub priority: CallPriority,
    /// True where only backend servers' outbound calls may use the route.
    #[serde(default)]
    pub internal: bool,
    /// Host whose calls the route takes; calls to any where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Services that share the calls; `service` alone where empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// Whether calls may run twice; by their method where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<RepeatRule>,
    /// Longest time that a caller is kept waiting, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Time within which an answer is worth most, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Backend servers to which one call may be sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tries_max: Option<u64>,
    /// What operators noted on the route; carried and shown, never read.
    #[serde(default, skip_serializing_if = "LabelTable::is_empty")]
    pub labels: LabelTable,
}

/// One of the services that share a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Service.
    pub service: Arc<str>,
    /// Its part of the sum of all weights.
    pub weight: u32,
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// Running it twice does no harm.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

impl RouteSpec {
    /// Every service that the route may lead to.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        let alone = self.split.is_empty().then_some(&self.service);
        alone
            .into_iter()
            .chain(self.split.iter().map(|part| &part.service))
    }
}

/// What an exception applies to; an absent field matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExceptionScope {
    /// Only calls to this service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// Only calls on the route with this path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<Arc<str>>,
    /// Only nodes in this failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure_domain: Option<Arc<str>>,
}

/// One departure from the fleet's defaults, with its written reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExceptionEntry {
    /// Name by which operators remove it again.
    pub id: Arc<str>,
    /// What it applies to.
    #[serde(default)]
    pub scope: ExceptionScope,
    /// Figure that departs.
    pub key: TuningKey,
    /// Its value in this scope.
    pub value: u64,
    /// Why; never blank.
    pub reason: String,
}

impl ExceptionScope {
    /// Number of fields that are named; the closest scope wins.
    fn closeness(&self) -> usize {
        usize::from(self.service.is_some())
            + usize::from(self.route.is_some())
            + usize::from(self.failure_domain.is_some())
    }

    fn matches(&self, place: &CallContext<'_>) -> bool {
        matches_field(&self.service, place.service)
            && matches_field(&self.route, place.route)
            && matches_field(&self.failure_domain, place.failure_domain)
    }
}

fn matches_field(wanted: &Option<Arc<str>>, actual: &str) -> bool {
    wanted.as_deref().is_none_or(|wanted| wanted == actual)
}

/// Where a call is decided, for looking up the figures that hold there.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// Service called.
    pub service: &'a str,
    /// Path of the matching route.
    pub route: &'a str,
    /// Failure domain of the node that decides.
    pub failure_domain: &'a str,
}

impl FleetDocument {
    /// The figure in force at `place`: the closest exception, the last
    /// added among equals, else the fleet's default.
    pub fn tuning(&self, key: TuningKey, place: &CallContext<'_>) -> u64 {
        let mut best: Option<&ExceptionEntry> = None;
        for entry in &self.exceptions {
            if entry.key != key || !entry.scope.matches(place) {
                continue;
            }
            if best.is_none_or(|held| entry.scope.closeness() >= held.scope.closeness()) {
                best = Some(entry);
            }
        }
        best.map_or_else(|| self.defaults.get(key), |entry| entry.value)
    }
}
