//! Numbered revisions by which operators replace the document.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::NumberedRevision;
use cowslip_core::config_delta::ConfigDelta;
use cowslip_core::config_digest::ConfigDigest;
use cowslip_core::control_state::merge_revision;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::control_state::ControlState;
use cowslip_core::document::validate;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::LabelStripper;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::document::WeightedService;
use cowslip_core::document::ANY_VERSION;
use cowslip_core::route_table::PathMatch;
use cowslip_core::route_table::RouteTable;
use cowslip_core::version::ConfigVersion;

fn route(host: &str, path: &str, service: &str) -> RouteSpec {
    RouteSpec {
        host: Some(host.into()),
        path: path.into(),
        service: service.into(),
        ..RouteSpec::default()
    }
}

fn document(routes: Vec<RouteSpec>) -> FleetDocument {
    let spec = ServiceSpec {
        version: ANY_VERSION.into(),
        ..ServiceSpec::default()
    };
    FleetDocument {
        services: BTreeMap::from([("ledger".into(), spec)]),
        routes: routes.into_iter().map(Arc::new).collect(),
        ..FleetDocument::default()
    }
}

struct Operator {
    state: ControlState,
    index: u64,
}

impl Operator {
    fn new() -> Self {
        Self {
            state: ControlState::default(),
            index: 0,
        }
    }

    fn revision_change(
        &self,
        builds_on: u64,
        number: u64,
        document: &FleetDocument,
    ) -> ConfigChange {
        let held = self.state.snapshot();
        let target = ConfigSnapshot {
            version: held.version,
            document: Arc::new(merge_revision(&held.document, document)),
        };
        let delta = ConfigDelta::between(held, &target, ConfigDigest::default());
        ConfigChange::Revise(Box::new(NumberedRevision {
            number,
            builds_on,
            delta: delta.expect("a delta"),
        }))
    }

    fn apply(&mut self, id: &str, change: ConfigChange) -> ChangeOutcome {
        self.index += 1;
        let entry = ChangeEntry {
            request_id: id.into(),
            expected: None,
            at_ms: 0,
            change,
        };
        self.state.apply(ConfigVersion::new(1, self.index), &entry)
    }
}

fn accepted(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Accepted { .. })
}

// Two operators build on the same revision and choose the same number. One is
// accepted. The other gets a conflict, and no part of its document is in force.
#[test]
fn one_of_two_concurrent_revisions_wins() {
    let mut operator = Operator::new();
    let first = document(vec![route("a", "/one", "ledger")]);
    let second = document(vec![route("a", "/two", "ledger")]);
    let (anna, beatriz) = (
        operator.revision_change(0, 5, &first),
        operator.revision_change(0, 5, &second),
    );
    assert!(accepted(&operator.apply("anna", anna)));
    let lost = operator.apply("beatriz", beatriz);
    assert!(matches!(lost, ChangeOutcome::Conflict { .. }), "{lost:?}");
    assert_eq!(operator.state.revision(), 5);
    assert_eq!(operator.state.snapshot().document.routes, first.routes);
}

// Operators change one route of a document of thousands, several times a
// second, and each instance applies each change. If versions shared no memory,
// a small instance would copy and compare all routes, and a leader's lease
// could expire meanwhile. So versions share unchanged routes, also after the
// labels, which are not sent to nodes, are removed.
#[test]
fn versions_share_unchanged_routes() {
    let labeled = |path: &str| RouteSpec {
        labels: BTreeMap::from([("note".into(), path.into())]),
        ..route("a", path, "ledger")
    };
    let mut operator = Operator::new();
    let first = document(vec![labeled("/one"), labeled("/two"), labeled("/three")]);
    let change = operator.revision_change(0, 1, &first);
    assert!(accepted(&operator.apply("first", change)));
    let before = Arc::clone(&operator.state.snapshot().document);
    let mut second = first;
    second.routes.insert(0, Arc::new(labeled("/zero")));
    Arc::make_mut(&mut second.routes[2]).timeout_ms = Some(70);
    let change = operator.revision_change(1, 2, &second);
    assert!(accepted(&operator.apply("second", change)));
    let after = Arc::clone(&operator.state.snapshot().document);

    let mut stripper = LabelStripper::default();
    for (before, after) in [
        (Arc::clone(&before), Arc::clone(&after)),
        (stripper.strip(&before), stripper.strip(&after)),
    ] {
        assert!(Arc::ptr_eq(&before.routes[0], &after.routes[1]));
        assert!(!Arc::ptr_eq(&before.routes[1], &after.routes[2]));
        assert!(Arc::ptr_eq(&before.routes[2], &after.routes[3]));
    }
    let stripped = stripper.strip(&after);
    assert_eq!(stripped.routes[2].timeout_ms, Some(70));
    assert!(stripped.routes.iter().all(|route| route.labels.is_empty()));
}

// The answer to a revision is lost, and the revision is resent after many
// others have come into force. It is answered as accepted again, and nothing
// changes.
#[test]
fn a_revision_resent_much_later_is_still_accepted() {
    let mut operator = Operator::new();
    let first =
        operator.revision_change(0, 3, &document(vec![route("a", "/one", "ledger")]));
    assert!(accepted(&operator.apply("first", first.clone())));
    let mut number = 3;
    for step in 0..50 {
        let path = format!("/step-{step}");
        let next = document(vec![route("a", &path, "ledger")]);
        let change = operator.revision_change(number, number + 7, &next);
        number += 7;
        assert!(accepted(&operator.apply(&path, change)));
    }
    assert!(accepted(&operator.apply("first", first)));
    assert_eq!(operator.state.revision(), number);
}

// A revision whose number is not above the one in force is refused, even if its
// document is new.
#[test]
fn a_revision_needs_a_higher_number() {
    let mut operator = Operator::new();
    let first = operator.revision_change(0, 9, &document(Vec::new()));
    assert!(accepted(&operator.apply("first", first)));
    let again = document(vec![route("a", "/one", "ledger")]);
    let change = operator.revision_change(9, 9, &again);
    let outcome = operator.apply("same-number", change);
    assert!(
        matches!(outcome, ChangeOutcome::Invalid { .. }),
        "{outcome:?}"
    );
    // Refused revisions are decided again, since they may become valid later.
    let change = operator.revision_change(9, 10, &again);
    assert!(accepted(&operator.apply("same-number", change)));
}

// Revisions contain routes and no versions. A revision must not reset the
// version that is in service, such as during a move.
#[test]
fn a_revision_keeps_service_versions() {
    let mut operator = Operator::new();
    let first = operator.revision_change(0, 1, &document(Vec::new()));
    operator.apply("first", first);
    let pin = ConfigChange::PinVersion {
        service: "ledger".into(),
        version: "v1".into(),
    };
    assert!(accepted(&operator.apply("pin", pin.clone())));
    assert!(!accepted(&operator.apply("pin-again", pin)));
    let next = document(vec![route("a", "/one", "ledger")]);
    let change = operator.revision_change(1, 2, &next);
    assert!(accepted(&operator.apply("second", change)));
    let services = &operator.state.snapshot().document.services;
    assert_eq!(&*services["ledger"].version, "v1");
}

// The same path under two hosts leads to two services, the longest prefix of
// whole segments wins, and routes of one host do not serve another host.
#[test]
fn routes_are_matched_by_host_and_longest_path() {
    let document = document(vec![
        route("a.example", "/one", "ledger"),
        route("a.example", "/one/two", "records"),
        route("b.example", "/one", "documents"),
    ]);
    let table = RouteTable::new(&document, PathMatch::WholeSegments);
    let service = |host: &str, path: &str| {
        let route = table.find(host, path);
        route.map(|route| route.service.to_string())
    };
    assert_eq!(service("a.example", "/one/x").as_deref(), Some("ledger"));
    assert_eq!(
        service("a.example", "/one/two/x").as_deref(),
        Some("records")
    );
    assert_eq!(
        service("b.example", "/one/two").as_deref(),
        Some("documents")
    );
    assert_eq!(service("a.example", "/onerous"), None);
    assert_eq!(service("c.example", "/one/x"), None);
}

// Invalid routes are refused: a split with an unknown service or with only zero
// weights, and a timeout of zero or of an hour.
#[test]
fn invalid_routes_are_refused() {
    let part = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    let cases = [
        RouteSpec {
            split: vec![part("ledger", 1), part("nobody", 1)],
            ..route("a", "/one", "ledger")
        },
        RouteSpec {
            split: vec![part("ledger", 0)],
            ..route("a", "/one", "ledger")
        },
        RouteSpec {
            timeout_ms: Some(0),
            ..route("a", "/one", "ledger")
        },
        RouteSpec {
            timeout_ms: Some(3_600_000),
            ..route("a", "/one", "ledger")
        },
    ];
    for case in cases {
        let faults = validate(&document(vec![case.clone()]));
        assert_eq!(faults.len(), 1, "{case:?}: {faults:?}");
    }
    let twice = vec![route("a", "/one", "ledger"), route("b", "/one", "ledger")];
    assert!(validate(&document(twice)).is_empty());
}
