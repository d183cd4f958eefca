//! Departures of backend servers as they are kept, and as earlier builds read them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use cowslip_core::agreement::EntryBody;
use cowslip_core::agreement::LogEntry;
use cowslip_core::control_state::ControlState;
use cowslip_core::departure::Departure;
use cowslip_core::departure::DepartureTable;
use cowslip_core::version::ConfigVersion;

/// An entry as earlier builds read and write it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierEntry {
    version: ConfigVersion,
    body: EntryBody,
}

fn departure(node: &str, number: u64) -> Departure {
    Departure {
        node: node.into(),
        run: format!("run-{number}").into(),
        started_ms: Some(number),
        at_ms: number,
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("it is encoded")
}

// Guards against a control instance of an earlier build that stops at a departure in
// the log, and against one of this build that cannot read an earlier log.
#[test]
fn earlier_builds_read_a_departure_as_an_entry_without_contents() {
    let version = ConfigVersion::new(2, 7);
    let entry = LogEntry::of_departure(version, departure("node-1", 1));
    let earlier: EarlierEntry =
        rmp_serde::from_slice(&encode(&entry)).expect("it is decoded");
    assert_eq!(earlier.version, version);
    assert_eq!(earlier.body, EntryBody::Blank);
    let read: LogEntry = rmp_serde::from_slice(&encode(&earlier)).expect("it is decoded");
    assert_eq!(read, LogEntry::new(version, EntryBody::Blank));
    assert_eq!(encode(&read), encode(&earlier), "written as before");
}

// Guards against a state of an earlier build that is refused, and against one without
// departures that differs from what earlier builds write.
#[test]
fn a_state_without_departures_is_written_as_before() {
    let empty = ControlState::default();
    let encoded = encode(&empty);
    let name = b"departures";
    assert!(!encoded.windows(name.len()).any(|part| part == name));
    let mut state: ControlState = rmp_serde::from_slice(&encoded).expect("it is decoded");
    state.record_departure(departure("node-1", 1));
    let read: ControlState =
        rmp_serde::from_slice(&encode(&state)).expect("it is decoded");
    assert_eq!(read, state);
}

// Guards against departures that fill memory and snapshots, and against the latest ones
// being dropped first.
#[test]
fn the_latest_departures_are_kept_in_bounded_space() {
    let mut table = DepartureTable::default();
    for number in 0..10_000 {
        table.record(departure("node-1", number));
        table.record(departure("node-1", number));
    }
    let nodes: [Arc<str>; 1] = ["node-1".into()];
    let kept = table.of_nodes(&nodes);
    assert!(kept.len() <= 2_048, "{}", kept.len());
    assert_eq!(kept.last(), Some(&departure("node-1", 9_999)));
    assert!(encode(&table).len() < 256 * 1_024);
}

// Guards against a drain that is forgotten because the same run was drained before, and
// has announced itself since.
#[test]
fn a_run_without_a_start_departs_again() {
    let mut table = DepartureTable::default();
    for at_ms in [5, 9] {
        table.record(Departure {
            started_ms: None,
            at_ms,
            ..departure("node-1", 1)
        });
    }
    let kept = table.of_nodes(&["node-1".into()]);
    assert_eq!(kept.last().map(|kept| kept.at_ms), Some(9));
}

// Guards against the departures of one node's servers that are told to another node.
#[test]
fn a_node_is_told_of_its_own_servers_only() {
    let mut table = DepartureTable::default();
    table.record(departure("node-1", 1));
    table.record(departure("node-2", 2));
    table.record(departure("node-1", 3));
    let nodes: [Arc<str>; 2] = ["node-1".into(), "node-3".into()];
    let expected = [departure("node-1", 1), departure("node-1", 3)];
    assert_eq!(table.of_nodes(&nodes), expected);
}
