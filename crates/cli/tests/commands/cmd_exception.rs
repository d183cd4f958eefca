//! `cowslip exception`.

use crate::fleet_fixture::FleetFixture;
use crate::fleet_fixture::DOCUMENT;

fn add<'a>(id: &'a str, reason: &'a str, value: &'a str) -> Vec<&'a str> {
    let mut args = vec!["exception", "add", "--id", id, "--reason", reason];
    args.extend_from_slice(&["--service", "contract", "deadline_ms", value]);
    args
}

#[test]
fn an_exception_is_added_listed_and_removed() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", DOCUMENT);
    fixture.stdout(&["apply", "fleet.yaml"]);
    fixture.stdout(&add("slow", "the presses run", "8000"));
    let list = fixture.json(&["exception", "list"]);
    assert_eq!(list[0]["reason"], "the presses run");
    assert_eq!(list[0]["scope"]["service"], "contract");
    let table = fixture.stdout(&["exception", "list"]);
    assert!(table.contains("the presses run"), "{table}");
    fixture.stdout(&["exception", "remove", "slow"]);
    assert_eq!(
        fixture
            .json(&["exception", "list"])
            .as_array()
            .map(Vec::len),
        Some(0)
    );
}

#[test]
fn an_exception_without_a_reason_and_an_unknown_id_are_refused() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", DOCUMENT);
    fixture.stdout(&["apply", "fleet.yaml"]);
    let stderr = fixture.fails(1, &add("slow", " ", "8000"));
    assert!(stderr.contains("a written reason"), "{stderr}");
    fixture.stdout(&[
        "exception",
        "add",
        "--id",
        "a",
        "--reason",
        "why",
        "tries_max",
        "2",
    ]);
    let stderr = fixture.fails(1, &["exception", "remove", "never-added"]);
    assert!(stderr.contains("never-added"), "{stderr}");
}
