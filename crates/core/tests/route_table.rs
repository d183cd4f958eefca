//! Which route serves a call.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RepeatRule;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::entry_router::CallHead;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::route_table::PathMatch;
use cowslip_core::route_table::RouteTable;
use cowslip_core::version::ConfigVersion;

const HOST: &str = "one.example";

fn route(path: &str, repeat: RepeatRule) -> Arc<RouteSpec> {
    Arc::new(RouteSpec {
        path: path.into(),
        service: "ledger".into(),
        host: Some(HOST.into()),
        repeat: Some(repeat),
        ..RouteSpec::default()
    })
}

fn document(routes: Vec<Arc<RouteSpec>>) -> FleetDocument {
    let spec = ServiceSpec {
        version: "v1".into(),
        ..ServiceSpec::default()
    };
    FleetDocument {
        services: BTreeMap::from([("ledger".into(), spec)]),
        routes,
        ..FleetDocument::default()
    }
}

// Guards against a call that may run only once but is repeated, because the longer
// prefix of an idempotent route matches without its last slash.
#[test]
fn a_call_is_not_idempotent_by_a_prefix_that_is_longer_than_its_path() {
    let routes = vec![
        route("/sales", RepeatRule::AtMostOnce),
        route("/sales/list", RepeatRule::Idempotent),
    ];
    let mut router =
        EntryRouter::new("voss".into(), 1).with_path_match(PathMatch::Descendants);
    let swapped = router.swap(ConfigSnapshot {
        version: ConfigVersion::new(1, 1),
        document: Arc::new(document(routes)),
    });
    assert_eq!(swapped, Ok(true));
    let mut is_idempotent = |path: &str| {
        let head = CallHead {
            host: HOST,
            path,
            origin: CallOrigin::Outside,
            customer: "",
            idempotent: false,
            deadline: None,
        };
        let plan = router.plan(Duration::ZERO, &head);
        plan.map(|plan| plan.is_idempotent()).ok()
    };
    assert_eq!(is_idempotent("/sales/list"), Some(false));
    assert_eq!(is_idempotent("/sales/new"), Some(false));
    assert_eq!(is_idempotent("/sales/list/"), Some(true));
    assert_eq!(is_idempotent("/sales/list/7"), Some(true));
    assert_eq!(is_idempotent("/sales"), None);
}

/// Paths of few segments, some of them empty, with or without a slash at the end.
fn call_path() -> impl Strategy<Value = String> {
    "(/[ab]{0,2}){1,4}/?"
}

/// Valid paths of routes: no empty segment, and no slash at the end except in `/`.
fn route_paths() -> impl Strategy<Value = BTreeSet<String>> {
    let path = prop_oneof![1 => Just("/".to_owned()), 4 => "(/[ab]{1,2}){1,3}"];
    prop::collection::btree_set(path, 0..6)
}

/// True if `path` begins with `prefix` and the slash behind it.
fn is_descendant(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.starts_with('/'))
}

proptest! {
    // Guards against a route that is not the one with the longest matching prefix.
    #[test]
    fn the_longest_matching_prefix_serves_the_call(
        prefixes in route_paths(),
        path in call_path(),
        whole_segments in any::<bool>(),
    ) {
        let path_match = if whole_segments {
            PathMatch::WholeSegments
        } else {
            PathMatch::Descendants
        };
        let routes = prefixes.iter().map(|path| route(path, RepeatRule::Idempotent));
        let table = RouteTable::new(&document(routes.collect()), path_match);
        let matching = prefixes.iter().filter(|prefix| {
            is_descendant(prefix, &path) || (whole_segments && **prefix == path)
        });
        let longest = matching.max_by_key(|prefix| prefix.len());
        let found = table.find(HOST, &path).map(|route| route.path.to_string());
        prop_assert_eq!(found.as_ref(), longest);
    }
}
