//! `cowslip default`.

use crate::fleet_fixture::FleetFixture;

#[test]
fn a_default_is_set_and_listed() {
    let fixture = FleetFixture::with_fleet();
    fixture.stdout(&["default", "set", "tries_max", "2"]);
    let lines = fixture.json(&["default", "list"]);
    let lines = lines.as_array().expect("a list");
    let line = lines.iter().find(|line| line["key"] == "tries_max");
    assert_eq!(line.expect("its line")["value"], 2);
    let table = fixture.stdout(&["default", "list"]);
    assert!(table.starts_with("KEY"), "{table}");
}

#[test]
fn an_unknown_key_is_a_usage_error() {
    let fixture = FleetFixture::with_fleet();
    let stderr = fixture.fails(2, &["default", "set", "tries_most", "2"]);
    assert!(stderr.contains("known are"), "{stderr}");
}

#[test]
fn a_value_out_of_range_is_refused() {
    let fixture = FleetFixture::with_fleet();
    let stderr = fixture.fails(1, &["default", "set", "tries_max", "99"]);
    assert!(
        stderr.contains("defaults.tries_max: 99 is outside"),
        "{stderr}"
    );
}

// The answer to a change is lost and the operator repeats the change with the
// same request ID. It must be answered as before and make no second
// version.
#[test]
fn a_repeated_request_gets_the_same_answer() {
    let fixture = FleetFixture::with_fleet();
    let set = |value: &str| {
        let args = ["default", "set", "--request-id", "r-1", "tries_max", value];
        fixture.json(&args)["version"].clone()
    };
    let first = set("2");
    fixture.stdout(&["default", "set", "queue_calls", "7"]);
    assert_eq!(set("2"), first);
    let lines = fixture.json(&["move", "list"]);
    assert_eq!(lines.as_array().expect("a list").len(), 2);
}
