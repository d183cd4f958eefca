//! `cowslip move start`, `take-back`, `show`, `list` and `wait`.

use std::fs;

use crate::fleet_fixture::FleetFixture;
use crate::fleet_fixture::DOCUMENT;

/// Exit statuses that the README lists.
const REFUSED: i32 = 1;
const USAGE: i32 = 2;
const NO_ANSWER: i32 = 3;

// Guards against losing what an operator enters or needs to see: a move's
// reason, state and plot, and the cause of taking it back.
#[test]
fn a_move_is_started_shown_plotted_and_taken_back() {
    let fixture = FleetFixture::with_two_versions();
    fixture.write("fleet.yaml", DOCUMENT);
    fixture.stdout(&["apply", "fleet.yaml"]);
    let start = ["move", "start", "--service", "contract", "--to", "v2"];
    let started =
        fixture.json(&[&start[..], &["--by", "1h", "--reason", "new tax"]].concat());
    let number = started["version"].as_str().expect("a version");

    let shown = fixture.stdout(&["move", "show", number]);
    assert!(
        shown.contains("contract v1 -> v2: 5 of 1000 calls"),
        "{shown}"
    );
    assert!(shown.contains("new tax"), "{shown}");
    fixture.fails(NO_ANSWER, &["move", "wait", "--patience", "0", number]);
    fixture.stdout(&["move", "show", "--plot", "move.svg", number]);
    let plot = fs::read_to_string(fixture.path("move.svg")).expect("a picture");
    assert!(
        plot.starts_with("<svg") && plot.contains("contract v1"),
        "{plot}"
    );

    let stderr = fixture.fails(REFUSED, &[&start[..], &["--by", "1h"]].concat());
    assert!(stderr.contains("is in progress"), "{stderr}");

    fixture.stdout(&["move", "take-back", "--reason", "wrong build", number]);
    let stderr = fixture.fails(REFUSED, &["move", "wait", number]);
    assert!(stderr.contains("wrong build"), "{stderr}");
    let entry = fixture.json(&["move", "show", number]);
    assert_eq!(entry["progress"]["state"], "TakenBack");
    let list = fixture.stdout(&["move", "list"]);
    assert!(list.contains("taken back"), "{list}");
}

// An unannounced version, the version already in use and an unparsable time are
// each refused, with the exit status that scripts rely on.
#[test]
fn an_invalid_move_is_refused() {
    let fixture = FleetFixture::with_fleet();
    fixture.write("fleet.yaml", DOCUMENT);
    fixture.stdout(&["apply", "fleet.yaml"]);
    let refused = |status: i32, to: &str, by: &str| {
        let service = ["move", "start", "--service", "contract"];
        fixture.fails(status, &[&service[..], &["--to", to, "--by", by]].concat())
    };
    let stderr = refused(REFUSED, "v9", "1h");
    assert!(stderr.contains("has announced version v9"), "{stderr}");
    let stderr = refused(REFUSED, "v1", "1h");
    assert!(stderr.contains("already"), "{stderr}");
    let stderr = refused(USAGE, "v9", "soon");
    assert!(stderr.contains("is not a valid time"), "{stderr}");
}
