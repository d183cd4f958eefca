//! `cowslip apply` and `cowslip show`.

use crate::fleet_fixture::FleetFixture;
use crate::fleet_fixture::DOCUMENT;
use crate::fleet_fixture::NODES;

#[test]
fn an_applied_document_is_shown_and_done_everywhere() {
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
    // What is shown can be applied again as it is.
    fixture.write("again.yaml", &shown);
    fixture.stdout(&["apply", "again.yaml"]);
}

// An operator applies a file with four mistakes. All four must come at
// once, with their lines, and nothing of the file may be accepted.
#[test]
fn a_faulty_document_is_refused_whole() {
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

// A route points at a service that the document does not have. The file is
// well formed, so control refuses it, and the answer names the route.
#[test]
fn a_route_without_its_service_is_refused() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", "routes:\n  - path: /a\n    service: absent\n");
    let stderr = fixture.fails(1, &["apply", "fleet.yaml"]);
    assert!(stderr.contains("routes[0].service"), "{stderr}");
}

// Two operators start from the same version. The second must be told that
// another change came first and which request made it.
#[test]
fn a_change_from_an_old_version_is_refused() {
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
