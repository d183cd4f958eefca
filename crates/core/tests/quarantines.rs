//! Requests under which backend servers crash: which are quarantined, and for how long.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::call_fingerprint::CallFingerprint;
use cowslip_core::call_fingerprint::RequestParts;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::control_state::ControlState;
use cowslip_core::crash_tally::CrashRecord;
use cowslip_core::crash_tally::CrashReport;
use cowslip_core::crash_tally::CrashTally;
use cowslip_core::crash_tally::ReportedCall;
use cowslip_core::crash_tally::TallyTime;
use cowslip_core::crash_tally::CRASH_WINDOW;
use cowslip_core::document::FleetDocument;
use cowslip_core::quarantine::QuarantineChange;
use cowslip_core::quarantine::QuarantineTable;
use cowslip_core::quarantine::PROBATION;
use cowslip_core::quarantine::QUARANTINES_MAX;
use cowslip_core::version::ConfigVersion;

/// Paths of the random crashes.
const PATHS: u8 = 5;

const NOW_MS: u64 = 1_796_000_000_000;

/// Time for which the leader's process has run at [`NOW_MS`].
const START: Duration = Duration::from_secs(100);

/// A call that had its slot for 30 ms, to a path that the server had not completed.
fn call(path: &str) -> ReportedCall {
    let parts = RequestParts {
        method: "GET",
        host: "fleet.example",
        target: path,
        customer: "",
        caller: "documents",
        body: b"",
    };
    ReportedCall {
        fingerprint: CallFingerprint::of(&parts),
        service: "ledger".into(),
        route: "/harvest".into(),
        began_ms: 30,
        broke_ms: 0,
        completed_ms: None,
        abandoned: false,
    }
}

fn crash(number: u64, paths: &[&str]) -> CrashRecord {
    CrashRecord {
        number,
        age_ms: 0,
        calls: paths.iter().map(|path| call(path)).collect(),
        doubtful_calls: Vec::new(),
        cold: false,
    }
}

/// A crash with a call in flight to a path that the server had completed before.
fn crash_after(completed_ms: u64, number: u64, path: &str) -> CrashRecord {
    let cut = ReportedCall {
        completed_ms: Some(completed_ms),
        ..call(path)
    };
    CrashRecord {
        doubtful_calls: vec![cut],
        ..crash(number, &[])
    }
}

/// The leader's clocks at `wall_ms`.
fn tally_time(wall_ms: u64) -> TallyTime {
    TallyTime {
        wall_ms,
        elapsed: Duration::from_millis(wall_ms - NOW_MS) + START,
    }
}

fn report(node: &str, crashes: Vec<CrashRecord>) -> CrashReport {
    CrashReport {
        node: node.into(),
        crashes,
    }
}

/// Applies the changes that are due; returns them.
fn apply_due(
    tally: &mut CrashTally,
    now_ms: u64,
    table: &mut QuarantineTable,
) -> Vec<QuarantineChange> {
    let due = tally.changes_due(now_ms, table);
    for change in &due {
        let applied = change.apply(table, ConfigVersion::new(1, 2), now_ms);
        applied.expect("a change that is due fits");
    }
    due
}

fn blocked(table: &QuarantineTable) -> Vec<CallFingerprint> {
    let blocking = table.iter().filter(|(_, entry)| entry.is_blocking());
    blocking.map(|(fingerprint, _)| *fingerprint).collect()
}

fn crash_thrice(tally: &mut CrashTally, now_ms: u64) {
    tally.record_report(
        tally_time(now_ms),
        report("node-1", vec![crash(1, &["/bad", "/a"])]),
    );
    tally.record_report(
        tally_time(now_ms),
        report("node-2", vec![crash(1, &["/bad", "/b"])]),
    );
    tally.record_report(
        tally_time(now_ms),
        report("node-3", vec![crash(1, &["/bad", "/a"])]),
    );
}

// Guards against a request that crashes one server after another, and against refusing
// the calls that were in flight beside it.
#[test]
fn only_the_request_of_three_crashes_is_quarantined() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    tally.record_report(
        tally_time(NOW_MS),
        report("node-1", vec![crash(1, &["/bad", "/a"])]),
    );
    tally.record_report(
        tally_time(NOW_MS),
        report("node-2", vec![crash(1, &["/bad", "/b"])]),
    );
    assert_eq!(apply_due(&mut tally, NOW_MS, &mut table), Vec::new());
    tally.record_report(
        tally_time(NOW_MS),
        report("node-3", vec![crash(1, &["/bad", "/a"])]),
    );
    apply_due(&mut tally, NOW_MS, &mut table);
    assert_eq!(blocked(&table), vec![call("/bad").fingerprint]);
    assert_eq!(apply_due(&mut tally, NOW_MS, &mut table), Vec::new());
}

// Guards against refusing a caller's sound request for being sent to the servers that
// another one crashes.
#[test]
fn a_request_beside_the_guilty_one_is_served() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    let crashes: [&[&str]; 6] = [
        &["/bad", "/a"],
        &["/bad"],
        &["/bad"],
        &["/bad", "/a"],
        &["/bad", "/a"],
        &["/bad", "/a"],
    ];
    let bad = call("/bad").fingerprint;
    for (number, paths) in crashes.into_iter().enumerate() {
        let crash = crash(number as u64, paths);
        tally.record_report(tally_time(NOW_MS), report("node", vec![crash]));
        apply_due(&mut tally, NOW_MS, &mut table);
    }
    assert_eq!(blocked(&table), vec![bad]);
    // The quarantine's end does not make the same crashes speak against the other one.
    let end_ms = table[&bad].until_ms;
    apply_due(&mut tally, end_ms, &mut table);
    assert_eq!(blocked(&table), Vec::new());
    // Crashes of its own do.
    for number in 10..13 {
        let crash = crash(number, &["/a"]);
        let now = tally_time(end_ms + 1);
        tally.record_report(now, report("node", vec![crash]));
    }
    apply_due(&mut tally, end_ms + 1, &mut table);
    assert_eq!(blocked(&table), vec![call("/a").fingerprint]);
}

// Guards against a request that goes on crashing servers because another one crashes the
// same servers more often.
#[test]
fn of_two_guilty_requests_both_are_refused_at_the_third_crash() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    let crashes: [&[&str]; 6] = [
        &["/bad"],
        &["/worse"],
        &["/bad", "/worse"],
        &["/worse"],
        &["/worse"],
        &["/bad"],
    ];
    for (number, paths) in crashes.into_iter().enumerate() {
        assert_eq!(table.len(), usize::from(number > 3));
        let crash = crash(number as u64, paths);
        tally.record_report(tally_time(NOW_MS), report("node", vec![crash]));
        apply_due(&mut tally, NOW_MS, &mut table);
    }
    assert_eq!(table.len(), 2);
}

// Guards against refusing a sound request first, because crashes speak less against the
// guilty one, whose callers leave.
#[test]
fn a_request_beside_one_whose_callers_leave_is_served() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    for number in 0..6 {
        let mut crash = crash(number, &["/bad", "/a"]);
        crash.calls[0].abandoned = true;
        if number == 0 {
            crash.calls.pop();
        }
        tally.record_report(tally_time(NOW_MS), report("node", vec![crash]));
        apply_due(&mut tally, NOW_MS, &mut table);
    }
    assert_eq!(blocked(&table), vec![call("/bad").fingerprint]);
}

// Guards against a request that is never refused because each server crashes while it is
// cold, and against refusing one under which cold servers crash that get too many calls.
#[test]
fn crashes_of_cold_servers_count_half() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    for number in 0..6 {
        assert_eq!(apply_due(&mut tally, NOW_MS, &mut table), Vec::new());
        let crash = CrashRecord {
            cold: true,
            ..crash(number, &["/bad"])
        };
        tally.record_report(tally_time(NOW_MS), report("node", vec![crash]));
    }
    apply_due(&mut tally, NOW_MS, &mut table);
    assert_eq!(blocked(&table), vec![call("/bad").fingerprint]);
}

// Guards against a request that is never refused because its callers leave before the
// crash.
#[test]
fn crashes_after_a_call_was_given_up_count_half() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    for number in 0..6 {
        assert_eq!(apply_due(&mut tally, NOW_MS, &mut table), Vec::new());
        let mut crash = crash(number, &["/bad"]);
        crash.calls[0].abandoned = true;
        tally.record_report(tally_time(NOW_MS), report("node", vec![crash]));
    }
    apply_due(&mut tally, NOW_MS, &mut table);
    assert_eq!(blocked(&table), vec![call("/bad").fingerprint]);
}

// Guards against a request that is never refused because servers completed it before its
// data went bad.
#[test]
fn a_request_that_no_server_completes_any_more_is_quarantined() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    // Completed 40 ms before the first crash; each next server had completed it then too.
    for (number, after_ms) in [0, 250, 600].into_iter().enumerate() {
        assert_eq!(blocked(&table), Vec::new());
        let now_ms = NOW_MS + after_ms;
        let crash = crash_after(40 + after_ms, number as u64, "/prices");
        tally.record_report(tally_time(now_ms), report("node", vec![crash]));
        apply_due(&mut tally, now_ms, &mut table);
    }
    assert_eq!(blocked(&table), vec![call("/prices").fingerprint]);
}

// Guards against refusing the request that most callers send, because servers crash for
// another reason: it is in flight at every crash.
#[test]
fn a_request_that_servers_complete_between_crashes_is_served() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    for number in 0..20 {
        let now_ms = NOW_MS + number * 700;
        let crash = crash_after(40, number, "/prices");
        tally.record_report(tally_time(now_ms), report("node", vec![crash]));
        assert_eq!(apply_due(&mut tally, now_ms, &mut table), Vec::new());
    }
}

// Guards against refusing the request that most callers send, because many servers end
// at the same time: no server completes it between the crashes.
#[test]
fn a_request_in_flight_at_simultaneous_crashes_is_served() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    // The reports of one failure reach the leader over 0.4 s.
    for number in 0..200 {
        let now_ms = NOW_MS + number * 2;
        let crash = crash_after(900, number, "/prices");
        let report = report(&format!("node-{number}"), vec![crash]);
        tally.record_report(tally_time(now_ms), report);
        assert_eq!(apply_due(&mut tally, now_ms, &mut table), Vec::new());
    }
}

// A leader's clock that steps does not change the order of crashes and completions.
#[test]
fn a_step_of_the_clock_hides_no_crash() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    for (number, after_ms) in [0, 300, 700].into_iter().enumerate() {
        let now = TallyTime {
            wall_ms: NOW_MS - 5_000 * number as u64,
            elapsed: START + Duration::from_millis(after_ms),
        };
        let crash = crash_after(40 + after_ms, number as u64, "/prices");
        tally.record_report(now, report("node", vec![crash]));
        apply_due(&mut tally, now.wall_ms, &mut table);
    }
    assert_eq!(blocked(&table), vec![call("/prices").fingerprint]);
}

// Guards against the next quarantine of a request whose data is sound again: it is in
// flight at the next crash of a server, which has completed it since.
#[test]
fn a_request_that_is_completed_after_its_quarantine_is_served() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    crash_thrice(&mut tally, NOW_MS);
    apply_due(&mut tally, NOW_MS, &mut table);
    let end_ms = table[&call("/bad").fingerprint].until_ms;
    apply_due(&mut tally, end_ms, &mut table);
    let now_ms = end_ms + 5_000;
    let crashes = vec![crash_after(1_000, 9, "/bad")];
    tally.record_report(tally_time(now_ms), report("node-1", crashes));
    assert_eq!(apply_due(&mut tally, now_ms, &mut table), Vec::new());
    // Not completed since the end of the quarantine.
    let crashes = vec![crash_after(6_000, 9, "/bad")];
    let mut successor = CrashTally::default();
    successor.record_report(tally_time(now_ms), report("node-2", crashes));
    assert_eq!(apply_due(&mut successor, now_ms, &mut table).len(), 1);
}

// Nodes repeat their reports, so that a lost one or a new leader does no harm.
#[test]
fn a_repeated_report_counts_once() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    for repeat in 0..5 {
        let crashes = vec![crash(1, &["/bad"]), crash(2, &["/bad"])];
        tally.record_report(tally_time(NOW_MS + repeat), report("node-1", crashes));
    }
    assert_eq!(apply_due(&mut tally, NOW_MS, &mut table), Vec::new());
    let crashes = vec![crash(2, &["/bad"]), crash(3, &["/bad"])];
    tally.record_report(tally_time(NOW_MS + 9), report("node-1", crashes));
    assert_eq!(apply_due(&mut tally, NOW_MS + 9, &mut table).len(), 1);
}

// Guards against a successor of the leader that counts shared crashes otherwise, or that
// is told of them again and again.
#[test]
fn shared_crashes_count_as_reported_ones() {
    let mut leader = CrashTally::default();
    let mut successor = CrashTally::default();
    let cold = CrashRecord {
        cold: true,
        doubtful_calls: vec![call("/cold")],
        ..crash(2, &[])
    };
    let mut plain = crash(1, &["/bad", "/a"]);
    plain.calls.sort_by_key(|call| call.fingerprint);
    let crashes = vec![plain, cold, crash_after(40, 3, "/a")];
    leader.record_report(tally_time(NOW_MS), report("node-1", crashes.clone()));
    let later = tally_time(NOW_MS + 700);
    let mut shared = leader.take_unshared(later);
    assert_eq!(leader.take_unshared(later), Vec::new());
    for shared in &mut shared {
        assert_eq!(&*shared.node, "node-1");
        assert_eq!(shared.crashes[0].age_ms, 700);
        shared.crashes[0].age_ms = 0;
        successor.record_report(later, shared.clone());
    }
    let shared = shared.into_iter().flat_map(|report| report.crashes);
    assert!(shared.eq(crashes.clone()));
    // A node that lives on reports the same crashes to the successor.
    let repeated = successor.record_report(later, report("node-1", crashes));
    assert_eq!(repeated, Vec::new());
}

#[test]
fn crashes_far_apart_make_no_request_guilty() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    let apart_ms = CRASH_WINDOW.as_millis() as u64 / 2;
    for number in 0..20 {
        let now_ms = NOW_MS + number * apart_ms;
        tally.record_report(
            tally_time(now_ms),
            report("node-1", vec![crash(number, &["/bad"])]),
        );
        assert_eq!(apply_due(&mut tally, now_ms, &mut table), Vec::new());
    }
}

// A request that was refused wrongly is sent again by itself; one that goes on to crash
// servers is refused at its next crash, for longer.
#[test]
fn a_quarantine_ends_and_begins_again_at_the_next_crash() {
    let mut tally = CrashTally::default();
    let mut table = QuarantineTable::new();
    crash_thrice(&mut tally, NOW_MS);
    apply_due(&mut tally, NOW_MS, &mut table);
    let bad = call("/bad").fingerprint;
    let first_ms = table[&bad].until_ms - NOW_MS;
    let mut now_ms = table[&bad].until_ms;
    apply_due(&mut tally, now_ms, &mut table);
    assert_eq!(blocked(&table), Vec::new());
    // The crashes of before the end do not count again.
    assert_eq!(apply_due(&mut tally, now_ms + 1, &mut table), Vec::new());
    now_ms += 2;
    tally.record_report(
        tally_time(now_ms),
        report("node-4", vec![crash(1, &["/bad", "/c"])]),
    );
    apply_due(&mut tally, now_ms, &mut table);
    assert_eq!(blocked(&table), vec![bad]);
    assert_eq!(table[&bad].until_ms - now_ms, 2 * first_ms);
    assert_eq!(table[&bad].crashes, 4);
    now_ms = table[&bad].until_ms;
    apply_due(&mut tally, now_ms, &mut table);
    now_ms += PROBATION.as_millis() as u64;
    apply_due(&mut tally, now_ms, &mut table);
    assert!(table.is_empty());
}

// Guards against an order that is undone by what the leader, or the next one, knew
// before it.
#[test]
fn an_operator_lifts_a_quarantine() {
    let mut table = QuarantineTable::new();
    let mut tally = CrashTally::default();
    crash_thrice(&mut tally, NOW_MS);
    apply_due(&mut tally, NOW_MS, &mut table);
    let fingerprint = call("/bad").fingerprint;
    let lift = QuarantineChange::End { fingerprint };
    let version = ConfigVersion::new(1, 3);
    assert!(lift.apply(&mut table, version, NOW_MS + 5).is_ok());
    assert!(lift.apply(&mut table, version, NOW_MS + 6).is_err());
    assert_eq!(apply_due(&mut tally, NOW_MS + 7, &mut table), Vec::new());
    let mut successor = CrashTally::default();
    let late = CrashRecord {
        age_ms: 8,
        ..crash(1, &["/bad"])
    };
    for node in ["node-1", "node-2", "node-3"] {
        successor.record_report(tally_time(NOW_MS + 8), report(node, vec![late.clone()]));
    }
    assert_eq!(
        apply_due(&mut successor, NOW_MS + 8, &mut table),
        Vec::new()
    );
}

#[test]
fn the_table_is_bounded() {
    let mut table = QuarantineTable::new();
    for number in 0..2 * QUARANTINES_MAX as u64 {
        let suspect = call(&format!("/bad/{number}"));
        let start = QuarantineChange::Start {
            fingerprint: suspect.fingerprint,
            service: suspect.service,
            route: suspect.route,
            crashes: 3,
        };
        let version = ConfigVersion::new(1, number);
        let applied = start.apply(&mut table, version, NOW_MS + number);
        assert!(applied.is_ok());
        assert!(table.len() <= QUARANTINES_MAX);
        assert!(table[&suspect.fingerprint].is_blocking());
    }
}

fn entry(request_id: &str, change: ConfigChange) -> ChangeEntry {
    ChangeEntry {
        request_id: request_id.into(),
        expected: None,
        at_ms: NOW_MS,
        change,
    }
}

// Guards against an operator's document that ends a quarantine, because it was written
// before it.
#[test]
fn an_applied_document_keeps_the_quarantines() {
    let mut state = ControlState::default();
    let suspect = call("/bad");
    let start = QuarantineChange::Start {
        fingerprint: suspect.fingerprint,
        service: suspect.service,
        route: suspect.route,
        crashes: 3,
    };
    let changes = [
        ConfigChange::Quarantine(start),
        ConfigChange::Apply(FleetDocument::default()),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let version = ConfigVersion::new(1, number as u64 + 1);
        let applied = state.apply(version, &entry(&format!("r-{number}"), change));
        assert_eq!(applied, ChangeOutcome::Accepted { version });
    }
    let document = &state.snapshot().document;
    assert_eq!(blocked(&document.quarantines), vec![suspect.fingerprint]);
}

/// Adds the requests that have to be refused after the reported crashes, each with the
/// paths that were in flight: those of three crashes, at two of which no request with more
/// crashes was in flight.
fn refuse_guilty(reported: &[&Vec<u8>], refused: &mut BTreeSet<u8>) {
    let under = |path: u8| reported.iter().filter(move |calls| calls.contains(&path));
    let count = |path: u8| under(path).count();
    for path in 0..PATHS {
        let explains = |other: &u8| count(*other) > count(path);
        let unexplained = under(path).filter(|calls| !calls.iter().any(explains));
        if count(path) >= 3 && unexplained.count() >= 2 {
            refused.insert(path);
        }
    }
}

proptest! {
    // Whatever is reported, lost, repeated and crossed: a request is refused only after
    // three crashes that had it in flight, two of them without one with more crashes, and
    // then at once.
    #[test]
    fn a_request_is_refused_from_its_third_crash_on(
        crashes in prop::collection::vec(
            (0..4_u8, prop::collection::vec(0..PATHS, 1..3)),
            1..12,
        ),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..40),
    ) {
        let mut tally = CrashTally::default();
        let mut table = QuarantineTable::new();
        let mut reported = BTreeSet::new();
        let mut refused = BTreeSet::new();
        for index in order {
            let at = index.index(crashes.len());
            let (node, calls) = &crashes[at];
            reported.insert(at);
            let paths: Vec<String> = calls.iter().map(|n| format!("/{n}")).collect();
            let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
            let node = Arc::<str>::from(format!("node-{node}"));
            let record = crash(at as u64, &paths);
            tally.record_report(tally_time(NOW_MS), report(&node, vec![record]));
            apply_due(&mut tally, NOW_MS, &mut table);
            let calls: Vec<&Vec<u8>> = reported.iter().map(|at| &crashes[*at].1).collect();
            refuse_guilty(&calls, &mut refused);
            for path in 0..PATHS {
                let fingerprint = call(&format!("/{path}")).fingerprint;
                let blocked = blocked(&table).contains(&fingerprint);
                prop_assert_eq!(blocked, refused.contains(&path));
            }
        }
    }

    // Whatever crashes in which order, and however late reports are: a request that
    // each server had completed in the half second before its crash is served.
    #[test]
    fn a_request_that_servers_go_on_completing_is_served(
        crashes in prop::collection::vec((0..5_000_u64, 0..=500_u64, 0..5_000_u64), 1..60),
    ) {
        let mut tally = CrashTally::default();
        let mut table = QuarantineTable::new();
        for (number, (after_ms, completed_ms, began_ms)) in crashes.into_iter().enumerate() {
            let now_ms = NOW_MS + after_ms;
            let mut crash = crash_after(completed_ms, number as u64, "/prices");
            crash.doubtful_calls[0].began_ms = began_ms;
            tally.record_report(tally_time(now_ms), report("node", vec![crash]));
            apply_due(&mut tally, now_ms, &mut table);
            prop_assert!(table.is_empty());
        }
    }
}
