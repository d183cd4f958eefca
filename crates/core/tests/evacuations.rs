//! Evacuated failure domains: the agreed state, routing at entry nodes and the gate
//! of a backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::EvacuationChange;
use cowslip_core::change::NumberedRevision;
use cowslip_core::config_delta::ConfigDelta;
use cowslip_core::config_digest::ConfigDigest;
use cowslip_core::control_state::merge_revision;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::control_state::ControlState;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::CallPriority;
use cowslip_core::document::CandidateShare;
use cowslip_core::document::EvacuationEntry;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::entry_router::CallHead;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::entry_router::NextStep;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::load::cold_limit::ColdRule;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::refusal::RetryReason;
use cowslip_core::server_gate::GateAction;
use cowslip_core::server_gate::OfferedCall;
use cowslip_core::server_gate::QueueBounds;
use cowslip_core::server_gate::ServerGate;
use cowslip_core::server_gate::SlotOutcome;
use cowslip_core::tuning::TuningKey;
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;

const NOW: Duration = Duration::from_secs(60);
const DOMAINS: [&str; 3] = ["hardanger", "sogn", "voss"];

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn start(failure_domain: &str, reason: &str) -> ConfigChange {
    ConfigChange::Evacuate(EvacuationChange::Start {
        failure_domain: failure_domain.into(),
        operator: "kari".into(),
        reason: reason.into(),
    })
}

fn end(failure_domain: &str) -> ConfigChange {
    ConfigChange::Evacuate(EvacuationChange::End {
        failure_domain: failure_domain.into(),
    })
}

fn document() -> FleetDocument {
    let spec = ServiceSpec {
        version: "v1".into(),
        ..ServiceSpec::default()
    };
    let route = RouteSpec {
        path: "/lots".into(),
        service: "documents".into(),
        ..RouteSpec::default()
    };
    FleetDocument {
        services: BTreeMap::from([("documents".into(), spec)]),
        routes: vec![Arc::new(route)],
        ..FleetDocument::default()
    }
}

/// The agreed state and the index of its last entry.
#[derive(Default)]
struct Log {
    state: ControlState,
    index: u64,
}

impl Log {
    fn apply(&mut self, id: &str, change: ConfigChange) -> ChangeOutcome {
        self.index += 1;
        let entry = ChangeEntry {
            request_id: id.into(),
            expected: None,
            at_ms: 1_000 + self.index,
            change,
        };
        self.state.apply(ConfigVersion::new(1, self.index), &entry)
    }

    fn evacuated(&self) -> Vec<&str> {
        let evacuations = &self.state.snapshot().document.evacuations;
        evacuations.keys().map(|domain| &**domain).collect()
    }
}

fn is_accepted(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Accepted { .. })
}

fn fault(outcome: ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Invalid { faults } => faults[0].to_string(),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn an_order_is_recorded_with_its_operator_reason_and_time() {
    let mut log = Log::default();
    log.apply("document", ConfigChange::Apply(document()));
    assert!(is_accepted(&log.apply("one", start("voss", "power works"))));
    let expected = EvacuationEntry {
        version: ConfigVersion::new(1, 2),
        since_ms: 1_002,
        operator: "kari".into(),
        reason: "power works".into(),
    };
    let document = &log.state.snapshot().document;
    assert_eq!(document.evacuations.get("voss"), Some(&expected));
    assert!(is_accepted(&log.apply("two", end("voss"))));
    assert!(log.evacuated().is_empty());
}

// Guards against an evacuation that ends without an order, because an operator
// applies a document or sends a revision that was written before it.
#[test]
fn no_other_change_ends_an_evacuation() {
    let mut log = Log::default();
    log.apply("document", ConfigChange::Apply(document()));
    // Built before the evacuation, accepted after it.
    let held = log.state.snapshot();
    let mut written = document();
    written.labels.insert("note".into(), "two".into());
    let target = ConfigSnapshot {
        version: held.version,
        document: Arc::new(merge_revision(&held.document, &written)),
    };
    let delta = ConfigDelta::between(held, &target, ConfigDigest::default());
    let revision = ConfigChange::Revise(Box::new(NumberedRevision {
        number: 1,
        builds_on: 0,
        delta: delta.expect("a delta"),
    }));
    log.apply("evacuation", start("voss", "power works"));
    let changes = [
        ConfigChange::Apply(document()),
        revision,
        ConfigChange::SetDefault {
            key: TuningKey::TriesMax,
            value: 2,
        },
        start("sogn", "a fire drill"),
        end("sogn"),
    ];
    for (at, change) in changes.into_iter().enumerate() {
        assert!(is_accepted(&log.apply(&format!("change-{at}"), change)));
        assert!(log.evacuated().contains(&"voss"), "change {at}");
    }
}

// Guards against a resend that undoes or repeats a later order: an evacuation is
// ordered, ended and ordered again within a second, and the answers are lost.
#[test]
fn resends_get_the_first_answer() {
    let mut log = Log::default();
    log.apply("document", ConfigChange::Apply(document()));
    let orders = [
        ("one", start("voss", "power works")),
        ("two", end("voss")),
        ("three", start("voss", "power works")),
    ];
    let mut answers = Vec::new();
    for (id, change) in &orders {
        answers.push(log.apply(id, change.clone()));
    }
    assert!(answers.iter().all(is_accepted));
    for ((id, change), answer) in orders.iter().zip(&answers) {
        assert_eq!(log.apply(id, change.clone()), *answer);
        assert_eq!(log.evacuated(), ["voss"]);
    }
}

#[test]
fn orders_that_cannot_be_carried_out_are_refused() {
    let mut log = Log::default();
    log.apply("document", ConfigChange::Apply(document()));
    assert!(fault(log.apply("a", end("voss"))).contains("not evacuated"));
    assert!(fault(log.apply("b", start("voss", " "))).contains("written reason"));
    assert!(fault(log.apply("c", start("no domain", "why"))).contains("is no name"));
    log.apply("d", start("voss", "power works"));
    let second = fault(log.apply("e", start("voss", "again")));
    assert!(second.contains("evacuated already"), "{second}");
}

/// A router in hardanger with two servers of each version in each domain.
fn router(candidate: Option<CandidateShare>, evacuated: &[&str]) -> EntryRouter {
    let mut router = EntryRouter::new("hardanger".into(), 1);
    let mut document = document();
    let spec = document.services.get_mut("documents").expect("a service");
    spec.candidate = candidate;
    document
        .defaults
        .set(TuningKey::SlotProbes, evacuated.len() as u64);
    for domain in evacuated {
        let entry = EvacuationEntry {
            version: ConfigVersion::new(1, 1),
            since_ms: 0,
            operator: "kari".into(),
            reason: "power works".into(),
        };
        document.evacuations.insert((*domain).into(), entry);
    }
    let swapped = router.swap(ConfigSnapshot {
        version: ConfigVersion::new(1, 1),
        document: Arc::new(document),
    });
    assert_eq!(swapped, Ok(true));
    let mut records = Vec::new();
    for (at, domain) in DOMAINS.iter().enumerate() {
        for version in ["v1", "v2"] {
            for number in 0..2 {
                records.push(EndpointRecord {
                    instance: format!("{domain}-{version}-{number}").into(),
                    service: "documents".into(),
                    version: version.into(),
                    failure_domain: (*domain).into(),
                    address: SocketAddr::from(([127, 0, 0, 1], 7_000 + at as u16)),
                    slots: 5,
                    standing: EndpointStanding::Serving,
                    incarnation: 1,
                    sequence: 1,
                });
            }
        }
    }
    router.merge(Duration::ZERO, records);
    router
}

fn head() -> CallHead<'static> {
    CallHead {
        host: "",
        path: "/lots",
        origin: CallOrigin::Outside,
        customer: "",
        idempotent: true,
        deadline: Some(millis(2_000)),
    }
}

/// Servers to which one call is sent if each of them refuses it, and the reason
/// that its caller gets.
fn tried_servers(router: &mut EntryRouter) -> (Vec<Arc<str>>, RefusalReason) {
    let refused = TryFailure {
        verdict: CallVerdict::NotRun,
        reason: RefusalReason::Evacuated,
    };
    let mut plan = router.plan(NOW, &head()).expect("a plan");
    let mut tried = Vec::new();
    loop {
        let server = match router.begin(NOW, &mut plan) {
            Ok(server) => server,
            Err(reason) => return (tried, reason),
        };
        tried.push(Arc::clone(&server.instance));
        match router.failed(NOW, &mut plan, &server, refused) {
            NextStep::Retry(reason) => assert_eq!(reason, RetryReason::Evacuated),
            NextStep::Refuse(reason) => return (tried, reason),
        }
    }
}

proptest! {
    // Guards against a call that goes to a server of an evacuated failure domain,
    // by any search, as a further try, as a last resort or to a version on trial.
    #[test]
    fn no_call_goes_to_an_evacuated_domain(
        mask in 1..7_u8, share in prop::option::of(1..1_000_u16), calls in 1..20_usize
    ) {
        let evacuated: Vec<&str> = DOMAINS
            .iter()
            .enumerate()
            .filter(|(at, _)| mask & (1 << at) != 0)
            .map(|(_, domain)| *domain)
            .collect();
        let candidate = share.map(|share_per_mille| CandidateShare {
            version: "v2".into(),
            share_per_mille,
            rollout: ConfigVersion::ZERO,
        });
        let mut router = router(candidate, &evacuated);
        for _ in 0..calls {
            let (tried, _) = tried_servers(&mut router);
            prop_assert!(!tried.is_empty(), "other domains have servers");
            for server in tried {
                let inside = evacuated.iter().any(|domain| server.starts_with(domain));
                prop_assert!(!inside, "{server} with {evacuated:?} evacuated");
            }
        }
    }
}

// Guards against callers who wait or are told something else when no server is left:
// they are refused at once, as not run.
#[test]
fn a_call_is_refused_at_once_when_all_domains_are_evacuated() {
    let mut router = router(None, &DOMAINS);
    let (tried, reason) = tried_servers(&mut router);
    assert!(tried.is_empty(), "{tried:?}");
    assert_eq!(reason, RefusalReason::Evacuated);
    assert_eq!(reason.status_for(CallVerdict::NotRun), 503);
}

const RULE: ColdRule = ColdRule {
    calls_per_second: 3,
    cold_time: Duration::from_secs(3),
};

fn gate() -> ServerGate {
    let mut gate = ServerGate::default();
    gate.announce(AnnouncedServer {
        service: "documents".into(),
        version: "v1".into(),
        slots: 2,
    });
    gate.configure(QueueBounds {
        cold: Some(RULE),
        ..QueueBounds::default()
    });
    gate
}

fn offered() -> OfferedCall {
    OfferedCall {
        service: "documents".into(),
        route: "/lots".into(),
        customer: "".into(),
        priority: CallPriority::Normal,
        waited: Duration::ZERO,
        left: millis(2_000),
        target_left: None,
        wait_max: None,
        inner: false,
        repeats: RepeatProbability::FIRST,
    }
}

// Guards against calls that reach a cold server beyond its limit, or a server of an
// evacuated domain: its node has restarted and has no configuration yet, while
// entry nodes have theirs.
#[test]
fn a_gate_without_a_configuration_grants_nothing() {
    let mut gate = ServerGate::default();
    gate.announce(AnnouncedServer {
        service: "documents".into(),
        version: "v1".into(),
        slots: 2,
    });
    let refused = GateAction::Refuse(1, RefusalReason::NoConfiguration);
    assert_eq!(gate.offer(NOW, 1, offered()), [refused]);
    gate.configure(QueueBounds::default());
    assert_eq!(gate.offer(NOW, 2, offered()), [GateAction::Start(2)]);
}

// Guards against calls that reach a server of an evacuated domain because an entry
// node lags behind, or because they were queued before the order.
#[test]
fn the_gate_of_an_evacuated_server_refuses_queued_and_new_calls() {
    let mut gate = gate();
    for ticket in 0..4 {
        gate.offer(NOW, ticket, offered());
    }
    let mut refused = gate.set_evacuated(NOW, true);
    refused.sort_by_key(|action| format!("{action:?}"));
    let evacuated = RefusalReason::Evacuated;
    let expected = [
        GateAction::Refuse(2, evacuated),
        GateAction::Refuse(3, evacuated),
    ];
    assert_eq!(refused, expected);
    assert_eq!(gate.in_flight(), 2, "running calls must continue");
    assert_eq!(
        gate.offer(NOW, 4, offered()),
        [GateAction::Refuse(4, evacuated)]
    );
    let freed = gate.end(NOW, 0, SlotOutcome::Answered(millis(20)));
    assert_eq!(freed, []);
    // A server that announces itself again is still in the evacuated domain.
    gate.announce(AnnouncedServer {
        service: "documents".into(),
        version: "v2".into(),
        slots: 2,
    });
    assert_eq!(
        gate.offer(NOW, 5, offered()),
        [GateAction::Refuse(5, evacuated)]
    );
}

// Guards against servers that get their full load at the end of an evacuation,
// although they have become cold shortly before and have not said so.
#[test]
fn a_server_is_cold_when_its_evacuation_ends() {
    let mut gate = gate();
    gate.set_evacuated(NOW, true);
    let later = NOW + millis(20_000);
    assert!(!gate.cold().is_cold(later));
    gate.set_evacuated(later, false);
    assert_eq!(gate.cold().limit(later), Some(3));
    // A report from before says that it is warm.
    gate.cold_mut().report(later, Duration::ZERO);
    assert_eq!(gate.cold().limit(later), Some(3));
    assert!(!gate.cold().is_cold(later + RULE.cold_time + millis(50)));
}
