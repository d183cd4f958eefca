//! The validation of an edited document must find the same faults as that of the
//! whole document.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;

use cowslip_core::document::validate;
use cowslip_core::document::validate_edit;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;

fn route(path: usize, service: usize, timeout_ms: u64) -> Arc<RouteSpec> {
    Arc::new(RouteSpec {
        path: format!("/path-{path}").into(),
        service: format!("service-{service}").into(),
        timeout_ms: Some(timeout_ms),
        ..RouteSpec::default()
    })
}

fn document(services: usize, routes: Vec<Arc<RouteSpec>>) -> FleetDocument {
    let spec = |number: usize| {
        let spec = ServiceSpec {
            version: "v1".into(),
            ..ServiceSpec::default()
        };
        (Arc::from(format!("service-{number}")), spec)
    };
    FleetDocument {
        services: (0..services).map(spec).collect::<BTreeMap<_, _>>(),
        routes,
        ..FleetDocument::default()
    }
}

/// An edit that replaces, inserts, removes or moves a route.
#[derive(Clone, Debug)]
struct RouteEdit {
    kind: u8,
    at: usize,
    path: usize,
    service: usize,
    timeout_ms: u64,
}

fn edit() -> impl Strategy<Value = RouteEdit> {
    let timeout = prop_oneof![9 => 1..1_000_u64, 1 => Just(0_u64)];
    (0..4_u8, 0..64_usize, 0..64_usize, 0..5_usize, timeout).prop_map(
        |(kind, at, path, service, timeout_ms)| RouteEdit {
            kind,
            at,
            path,
            service,
            timeout_ms,
        },
    )
}

proptest! {
    #[test]
    fn an_edit_has_the_faults_of_the_whole_document(
        count in 1..40_usize,
        edits in prop::collection::vec(edit(), 0..24),
        services in 3..6_usize,
    ) {
        let routes: Vec<_> = (0..count).map(|at| route(at, at % 4, 70)).collect();
        let base = document(4, routes.clone());
        prop_assert!(validate(&base).is_empty());
        let mut routes = routes;
        for edit in &edits {
            let new = route(edit.path, edit.service, edit.timeout_ms);
            let at = edit.at % (routes.len() + 1);
            match edit.kind {
                0 if at < routes.len() => routes[at] = new,
                1 => routes.insert(at, new),
                2 if at < routes.len() => drop(routes.remove(at)),
                3 if at < routes.len() => {
                    let moved = routes.remove(at);
                    routes.insert(edit.path % (routes.len() + 1), moved);
                }
                _ => {}
            }
        }
        let edited = document(services, routes);
        prop_assert_eq!(validate_edit(&base, &edited), validate(&edited));
    }
}
