//! Models of the leader, relays and nodes: their state machines in one process,
//! with every message encoded and decoded as on the wire.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::directory_follower::DirectoryFollower;
use cowslip_core::document::validate;
use cowslip_core::document::CallPriority;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::follow_exchange::FollowAnswer;
use cowslip_core::follow_exchange::FollowCall;
use cowslip_core::follow_exchange::FollowReply;
use cowslip_core::tuning::TuningKey;
use cowslip_core::update_source::SourceIdentity;
use cowslip_core::update_source::UpdateSource;
use cowslip_core::version::ConfigVersion;
use cowslip_core::version_follower::FollowStep;
use cowslip_core::version_follower::VersionFollower;
use cowslip_wire::codec;

/// Services, and routes of each, in the fleet size expected in two years.
const SERVICES: usize = 440;
const ROUTES_PER_SERVICE: usize = 10;

/// Bytes and CPU time of one role.
#[derive(Clone, Copy, Default)]
pub struct RoleCost {
    pub sent: usize,
    pub received: usize,
    pub cpu: Duration,
}

impl RoleCost {
    /// Runs `work` and adds its time to this role's CPU time.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        self.cpu += started.elapsed();
        result
    }
}

/// Returns a snapshot of the size expected in two years. Snapshots of different
/// `index` differ only in one default.
pub fn snapshot(index: u64) -> ConfigSnapshot {
    let mut document = FleetDocument::default();
    for service in 0..SERVICES {
        let name: Arc<str> = format!("service-{service:03}").into();
        let spec = ServiceSpec {
            version: "v1".into(),
            candidate: None,
            ..ServiceSpec::default()
        };
        document.services.insert(Arc::clone(&name), spec);
        for route in 0..ROUTES_PER_SERVICE {
            document.routes.push(Arc::new(RouteSpec {
                path: format!("/service-{service:03}/resource-{route}").into(),
                service: Arc::clone(&name),
                priority: CallPriority::Normal,
                internal: false,
                ..RouteSpec::default()
            }));
        }
    }
    document
        .defaults
        .set(TuningKey::DeadlineMs, 1_000 + index % 500_000);
    ConfigSnapshot {
        version: ConfigVersion::new(1, index),
        document: Arc::new(document),
    }
}

/// Returns the next snapshot with one default changed, as by the leader's state
/// machine.
pub fn next(snapshot: &ConfigSnapshot) -> ConfigSnapshot {
    let index = snapshot.version.index + 1;
    let mut document = (*snapshot.document).clone();
    document
        .defaults
        .set(TuningKey::DeadlineMs, 1_000 + index % 500_000);
    ConfigSnapshot {
        version: ConfigVersion::new(1, index),
        document: Arc::new(document),
    }
}

/// Returns the directory record of endpoint `number`.
pub fn endpoint(number: usize, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        instance: format!("server-{number:04}").into(),
        service: format!("service-{:03}", number % SERVICES).into(),
        version: "v1".into(),
        failure_domain: format!("domain-{}", number % 5).into(),
        address: ([10, 0, 0, 1], 7_000).into(),
        slots: 10,
        standing: EndpointStanding::Serving,
        incarnation: 1_764_716_400_000,
        sequence,
    }
}

/// Creates an update source with the given run number.
pub fn source(name: &str, run: u64) -> UpdateSource {
    UpdateSource::new(SourceIdentity {
        instance: name.into(),
        failure_domain: "domain-0".into(),
        run,
    })
}

/// A follower: a node, or a relay that follows the leader.
pub struct ModelFollower {
    pub name: Arc<str>,
    pub versions: VersionFollower,
    pub directory: DirectoryFollower,
    node_domain: Option<Arc<str>>,
    wait_ms: u64,
}

impl ModelFollower {
    pub fn node(number: usize) -> Self {
        Self {
            name: format!("server-{number:04}").into(),
            versions: VersionFollower::new(Duration::ZERO),
            directory: DirectoryFollower::default(),
            node_domain: Some(format!("domain-{}", number % 5).into()),
            wait_ms: 4_000,
        }
    }

    /// Creates another node with the same state as this one.
    pub fn copy(&self, number: usize) -> Self {
        Self {
            versions: self.versions.clone(),
            directory: self.directory.clone(),
            ..Self::node(number)
        }
    }

    pub fn relay(name: &str) -> Self {
        Self {
            name: name.into(),
            versions: VersionFollower::new(Duration::ZERO),
            directory: DirectoryFollower::default(),
            node_domain: None,
            wait_ms: 500,
        }
    }

    /// Returns the next request, encoded.
    pub fn request(&self, waited: bool) -> Vec<u8> {
        let call = FollowCall {
            follower: Arc::clone(&self.name),
            held: self.versions.held(),
            refused: None,
            whole: false,
            waited,
            directory: self.directory.request(),
            wait_ms: self.wait_ms,
            node_domain: self.node_domain.clone(),
            control: None,
            needs_roster: false,
        };
        codec::encode(&call).expect("a call encodes")
    }

    /// Processes an answer and fetches chunks from `source`; adds their bytes to
    /// `fetched`.
    pub fn handle_answer(
        &mut self,
        now: Duration,
        answer: FollowAnswer,
        source: &UpdateSource,
        fetched: &mut usize,
    ) -> (Option<ConfigSnapshot>, Vec<EndpointRecord>) {
        let changed = self.directory.take(answer.directory);
        let acknowledged = answer.acknowledged;
        let mut step =
            self.versions
                .handle_update(now, answer.source, acknowledged, answer.config);
        while let FollowStep::Fetch { version, at } = step {
            let chunk = source.chunk(version, at);
            *fetched += chunk.as_ref().map_or(0, |chunk| chunk.len());
            step = self.versions.chunk(now, chunk.as_deref());
        }
        let FollowStep::Offer(snapshot) = step else {
            return (None, changed);
        };
        assert!(validate(&snapshot.document).is_empty());
        self.versions.record_outcome(snapshot.version, None);
        (Some(snapshot), changed)
    }
}

/// Decodes an answer; `Err` holds the time after which the follower must ask
/// again.
pub fn answer(bytes: &[u8]) -> Result<FollowAnswer, Duration> {
    match codec::decode(bytes).expect("an answer decodes") {
        FollowReply::Update(answer) => Ok(*answer),
        FollowReply::Roster(_) => panic!("no follower of the model asks for it"),
        FollowReply::RetryAfter(after_ms) => Err(Duration::from_millis(after_ms)),
    }
}
