//! `cowslip apply` and `cowslip show`.

use crate::fleet_fixture::FleetFixture;
use crate::fleet_fixture::DOCUMENT;
use crate::fleet_fixture::NODES;

#[test]
fn an_applied_document_is_shown_and_reaches_every_node() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", DOCUMENT);
    let accepted = fixture.json(&["apply", "fleet.yaml"]);
    let version = accepted["version"].as_str().expect("a version");
    let done = fixture.json(&["move", "wait", version]);
    assert_eq!(done["progress"]["state"], "Done");
    assert_eq!(done["progress"]["nodes_applied"], NODES);
    let shown = fixture.stdout(&["show"]);
    assert!(
        shown.starts_with(&format!("# version {version}\n")),
        "{shown}"
    );
    // The output of `show` can be applied unchanged.
    fixture.write("again.yaml", &shown);
    fixture.stdout(&["apply", "again.yaml"]);
}

// Guards against reporting only the first fault of a document, or accepting
// part of it. Faults carry their line numbers.
#[test]
fn a_faulty_document_is_refused_with_all_faults() {
    let fixture = FleetFixture::with_fleet();
    let before = fixture.stdout(&["show"]);
    let text =
        "services:\n  contract: {}\nroutes:\n  - path: /a\n    servise: contract\n";
    fixture.write("fleet.yaml", text);
    let stderr = fixture.fails(2, &["apply", "fleet.yaml"]);
    for part in [
        "line 2: services.contract.version: is missing",
        "routes[0].service: is missing",
        "line 5: routes[0].servise: is unknown",
    ] {
        assert!(stderr.contains(part), "{part}: {stderr}");
    }
    assert_eq!(fixture.stdout(&["show"]), before);
}

// A route names a service that the document lacks. The file is well formed, so
// control has to refuse it, and the answer must name the route.
#[test]
fn a_route_to_an_unknown_service_is_refused() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", "routes:\n  - path: /a\n    service: absent\n");
    let stderr = fixture.fails(1, &["apply", "fleet.yaml"]);
    assert!(stderr.contains("routes[0].service"), "{stderr}");
}

// Two operators change the same version. The second change must be refused as a
// conflict instead of overwriting the first.
#[test]
fn a_change_to_an_old_version_is_refused() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", DOCUMENT);
    let first = fixture.json(&["apply", "fleet.yaml"]);
    let version = first["version"].as_str().expect("a version");
    let key = "deadline_ms";
    fixture.stdout(&["default", "set", "--expect", version, key, "4000"]);
    let stderr = fixture.fails(1, &["default", "set", "--expect", version, key, "3000"]);
    assert!(stderr.contains("another change came first"), "{stderr}");
    let shown = fixture.stdout(&["show"]);
    assert!(shown.contains("deadline_ms: 4000"), "{shown}");
}
