//! The fleet's configuration, called the document.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::HolderRoster;
use crate::control_roster::ControlRoster;
use crate::quarantine::QuarantineTable;
use crate::tuning::TuningKey;
use crate::tuning::TuningTable;
use crate::version::ConfigVersion;

pub use self::label_stripper::LabelStripper;
pub use self::validate::validate;
pub use self::validate::validate_edit;
pub use self::validate::DocumentFault;

mod label_stripper;
mod validate;

/// Services, routes, fleet defaults and the exceptions to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDocument {
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<Arc<str>, ServiceSpec>,
    /// Routes; the longest matching path prefix wins. Versions of the document
    /// share unchanged routes in memory.
    #[serde(default)]
    pub routes: Vec<Arc<RouteSpec>>,
    /// Tuning parameters of the whole fleet.
    #[serde(default)]
    pub defaults: TuningTable,
    /// Exceptions to the defaults, each with a reason.
    #[serde(default)]
    pub exceptions: Vec<ExceptionEntry>,
    /// Limits on requests and connections of callers.
    #[serde(default, skip_serializing_if = "CallerLimits::is_empty")]
    pub limits: CallerLimits,
    /// Operators' labels of the document; stored and shown, but not interpreted.
    #[serde(default, skip_serializing_if = "LabelTable::is_empty")]
    pub labels: LabelTable,
    /// Nodes that hold the claims of non-idempotent calls; set by the leader,
    /// not by operators.
    #[serde(default, skip_serializing_if = "HolderRoster::is_empty")]
    pub holders: HolderRoster,
    /// Control instances that nodes follow; set by the leader, not by operators.
    #[serde(default, skip_serializing_if = "ControlRoster::is_empty")]
    pub controls: ControlRoster,
    /// Failure domains whose backend servers get no calls; changed only by orders
    /// of their own, not with the rest of the document.
    #[serde(default, skip_serializing_if = "EvacuationTable::is_empty")]
    pub evacuations: EvacuationTable,
    /// Requests that are refused because backend servers crash under them; set by the
    /// leader, and ended by it or by operators' orders.
    #[serde(default, skip_serializing_if = "QuarantineTable::is_empty")]
    pub quarantines: QuarantineTable,
}

impl FleetDocument {
    /// True if the backend servers of `failure_domain` get no calls.
    pub fn is_evacuated(&self, failure_domain: &str) -> bool {
        self.evacuations.contains_key(failure_domain)
    }

    fn has_labels(&self) -> bool {
        !self.labels.is_empty()
            || self.services.values().any(|spec| !spec.labels.is_empty())
            || self.routes.iter().any(|route| !route.labels.is_empty())
    }
}

/// Evacuations by failure domain.
pub type EvacuationTable = BTreeMap<Arc<str>, EvacuationEntry>;

/// An order that the backend servers of a failure domain get no calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationEntry {
    /// Configuration version that the order created.
    pub version: ConfigVersion,
    /// Time of the order by the leader's wall clock, in milliseconds since the
    /// Unix epoch.
    pub since_ms: u64,
    /// Who gave the order.
    pub operator: Arc<str>,
    /// Reason for the order; never blank.
    pub reason: Arc<str>,
}

/// Labels by name, such as the display name of a route.
pub type LabelTable = BTreeMap<Arc<str>, Arc<str>>;

/// Limits on what a caller may send and how long it may take. The node's own
/// limit applies for a field that is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum length of a request's head, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head_bytes: Option<u64>,
    /// Maximum length of a request's body, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
    /// Timeout for a whole head to arrive, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head_ms: Option<u64>,
    /// Timeout of an idle connection, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_ms: Option<u64>,
}

impl CallerLimits {
    /// True if no limit is set.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Placeholder for the version of a service until the leader replaces it by the
/// first version that a backend server announces.
pub const ANY_VERSION: &str = "any";

/// A service and the version of the backend servers that serve it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Backend server version in service, or [`ANY_VERSION`].
    pub version: Arc<str>,
    /// Version that is taking over while a move is running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub candidate: Option<CandidateShare>,
    /// Versions whose moves were taken back since the last move that finished;
    /// set by the leader, not by operators.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<Arc<str>>,
    /// Path at which a backend server reports its health.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<Arc<str>>,
    /// Maximum number of connections to one backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections_max: Option<u32>,
    /// How the backend servers behave after a start; absent if they take their
    /// full load at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStartSpec>,
    /// Operators' labels of the service; stored and shown, but not interpreted.
    #[serde(default, skip_serializing_if = "LabelTable::is_empty")]
    pub labels: LabelTable,
}

/// Behaviour of a service's backend servers after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStartSpec {
    /// How long a server is cold, in milliseconds.
    pub time_ms: u64,
    /// Calls that a cold server tolerates in a minute.
    pub calls_per_minute: u64,
}

impl ServiceSpec {
    /// True if any version that a backend server announces is in service.
    pub fn takes_any_version(&self) -> bool {
        *self.version == *ANY_VERSION
    }
}

/// A new version that receives a share of a service's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CandidateShare {
    /// The new backend server version.
    pub version: Arc<str>,
    /// Share of the service's calls, in thousandths.
    pub share_per_mille: u16,
    /// Configuration version that started the move; `ZERO` if an operator set the
    /// share without a move.
    #[serde(default, skip_serializing_if = "ConfigVersion::is_zero")]
    pub rollout: ConfigVersion,
}

/// Priority of a route's calls.
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
    /// Served first, such as calls for which a user is waiting.
    High,
    /// Served if no `High` call is waiting.
    #[default]
    Normal,
    /// May wait while other calls are served.
    Low,
}

impl CallPriority {
    /// The name used in headers between nodes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }

    /// Parses a name returned by [`Self::as_str`]; `None` for any other text.
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
    /// Path prefix with a leading slash and no other slash at its end. Which
    /// paths it matches is the nodes' [`PathMatch`](crate::route_table::PathMatch).
    pub path: Arc<str>,
    /// Service that serves the calls.
    pub service: Arc<str>,
    /// Priority of the route's calls.
    #[serde(default)]
    pub priority: CallPriority,
    /// True if only outbound calls of backend servers may use the route.
    #[serde(default)]
    pub internal: bool,
    /// Host to which the route applies; any host if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Services that share the calls by weight; only `service` if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// Whether calls may run twice; decided by their method if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<RepeatRule>,
    /// Longest time that a caller waits for the answer, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Target latency, within which an answer has its full value, in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Maximum number of backend servers to which one call is sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tries_max: Option<u64>,
    /// Operators' labels of the route; stored and shown, but not interpreted.
    #[serde(default, skip_serializing_if = "LabelTable::is_empty")]
    pub labels: LabelTable,
}

/// One of the services that share a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// The service's share of the calls is this weight over the sum of all.
    pub weight: u32,
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// It may run more than once without harm.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

impl RouteSpec {
    /// Returns every service that may serve the route's calls.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        let only_service = self.split.is_empty().then_some(&self.service);
        only_service
            .into_iter()
            .chain(self.split.iter().map(|part| &part.service))
    }
}

/// The calls and nodes to which an exception applies; an absent field matches
/// all of them.
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

/// One exception to the fleet's defaults, with a written reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExceptionEntry {
    /// Id by which operators remove it again.
    pub id: Arc<str>,
    /// Where it applies.
    #[serde(default)]
    pub scope: ExceptionScope,
    /// Tuning parameter with another value.
    pub key: TuningKey,
    /// Value of the parameter in this scope.
    pub value: u64,
    /// Reason for the exception; never blank.
    pub reason: String,
}

impl ExceptionScope {
    /// Number of fields that are set; the most specific scope wins.
    fn specificity(&self) -> usize {
        usize::from(self.service.is_some())
            + usize::from(self.route.is_some())
            + usize::from(self.failure_domain.is_some())
    }

    fn matches(&self, context: &CallContext<'_>) -> bool {
        matches_field(&self.service, context.service)
            && matches_field(&self.route, context.route)
            && matches_field(&self.failure_domain, context.failure_domain)
    }
}

fn matches_field(wanted: &Option<Arc<str>>, actual: &str) -> bool {
    wanted.as_deref().is_none_or(|wanted| wanted == actual)
}

/// The service, route and node of a call, which determine its tuning parameters.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// Name of the service called.
    pub service: &'a str,
    /// Path of the matching route.
    pub route: &'a str,
    /// Failure domain of the node that routes the call.
    pub failure_domain: &'a str,
}

impl FleetDocument {
    /// Returns the value of a tuning parameter for a call: that of the most
    /// specific matching exception, the last added among equals, or else the
    /// fleet's default.
    pub fn tuning(&self, key: TuningKey, context: &CallContext<'_>) -> u64 {
        let mut best: Option<&ExceptionEntry> = None;
        for entry in &self.exceptions {
            if entry.key != key || !entry.scope.matches(context) {
                continue;
            }
            if best
                .is_none_or(|best| entry.scope.specificity() >= best.scope.specificity())
            {
                best = Some(entry);
            }
        }
        best.map_or_else(|| self.defaults.get(key), |entry| entry.value)
    }
}
