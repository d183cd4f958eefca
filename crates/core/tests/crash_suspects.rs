//! Which calls a crash of a backend server casts suspicion on.

use std::time::Duration;

use cowslip_core::call_fingerprint::CallFingerprint;
use cowslip_core::call_fingerprint::RequestParts;
use cowslip_core::crash_suspects::CallState;
use cowslip_core::crash_suspects::CrashSuspects;
use cowslip_core::crash_suspects::CutCall;
use cowslip_core::crash_suspects::SuspectCall;

const NOW: Duration = Duration::from_secs(100);

fn parts(target: &str) -> RequestParts<'_> {
    RequestParts {
        method: "GET",
        host: "fleet.example",
        target,
        customer: "",
        caller: "documents",
        body: b"",
    }
}

fn call(target: &str) -> SuspectCall {
    SuspectCall {
        fingerprint: CallFingerprint::of(&parts(target)),
        service: "ledger".into(),
        route: "/harvest".into(),
    }
}

/// Calls that a crash detected at `now` casts suspicion on, and whether the server had
/// completed the same request.
fn suspects_of(suspects: &mut CrashSuspects, now: Duration) -> Vec<(SuspectCall, bool)> {
    let cut = suspects.crash(now).into_iter();
    cut.map(|cut| (cut.call, cut.completed_ago.is_some()))
        .collect()
}

#[test]
fn a_crash_casts_suspicion_on_the_calls_in_flight() {
    let mut suspects = CrashSuspects::default();
    suspects.begin(NOW, 1, call("/harvest/1"));
    suspects.begin(NOW, 2, call("/harvest/2"));
    suspects.begin(NOW, 3, call("/harvest/3"));
    suspects.begin(NOW, 4, call("/harvest/4"));
    suspects.cut(NOW, 1);
    suspects.complete(NOW, 2);
    suspects.forget(3);
    let mut expected = vec![(call("/harvest/1"), false), (call("/harvest/4"), false)];
    expected.sort_by_key(|(call, _)| call.fingerprint);
    assert_eq!(suspects_of(&mut suspects, NOW), expected);
    assert_eq!(suspects_of(&mut suspects, NOW), Vec::new());
}

// Guards against blaming the path that every caller asks for: it is in flight at
// every crash, and servers complete it all the time.
#[test]
fn a_crash_tells_which_requests_the_server_had_completed() {
    let mut suspects = CrashSuspects::default();
    suspects.begin(NOW, 1, call("/prices"));
    suspects.complete(NOW, 1);
    suspects.begin(NOW, 2, call("/prices"));
    suspects.begin(NOW, 3, call("/harvest/9"));
    let mut expected = vec![(call("/harvest/9"), false), (call("/prices"), true)];
    expected.sort_by_key(|(call, _)| call.fingerprint);
    assert_eq!(suspects_of(&mut suspects, NOW), expected);

    // The next version may crash on what the last one completed.
    suspects.begin_version();
    suspects.begin(NOW, 4, call("/prices"));
    assert_eq!(suspects_of(&mut suspects, NOW), [(call("/prices"), false)]);
}

#[test]
fn a_connection_that_broke_long_before_a_crash_says_nothing() {
    let mut suspects = CrashSuspects::default();
    suspects.begin(NOW, 1, call("/harvest/1"));
    suspects.cut(NOW, 1);
    assert_eq!(
        suspects_of(&mut suspects, NOW + Duration::from_secs(3)),
        Vec::new()
    );
}

// Guards against long reports: an overloaded server has many calls that are given up.
#[test]
fn few_calls_that_were_given_up_are_suspects() {
    let mut suspects = CrashSuspects::default();
    suspects.begin(NOW, 0, call("/harvest/in-flight"));
    suspects.begin(NOW, 1, call("/harvest/broken"));
    suspects.cut(NOW, 1);
    for ticket in 2..1_000 {
        suspects.begin(NOW, ticket, call(&format!("/harvest/{ticket}")));
        suspects.abandon(NOW, ticket);
    }
    let cut = suspects.crash(NOW);
    assert!(cut.len() < 20, "{} suspects", cut.len());
    for kept in ["/harvest/in-flight", "/harvest/broken", "/harvest/999"] {
        assert!(cut.iter().any(|cut| cut.call == call(kept)), "{kept}");
    }
}

#[test]
fn a_cut_call_states_how_it_ended() {
    let mut suspects = CrashSuspects::default();
    let at = |ms| NOW + Duration::from_millis(ms);
    suspects.begin(at(0), 1, call("/harvest/1"));
    suspects.complete(at(10), 1);
    suspects.begin(at(20), 2, call("/harvest/1"));
    suspects.abandon(at(50), 2);
    suspects.begin(at(30), 3, call("/harvest/1"));
    let cut = CutCall {
        call: call("/harvest/1"),
        state: CallState::InFlight,
        began_ago: Duration::from_millis(70),
        broke_ago: Duration::ZERO,
        completed_ago: Some(Duration::from_millis(90)),
    };
    assert_eq!(suspects.crash(at(100)), [cut]);
}

#[test]
fn repeats_share_a_fingerprint_and_other_requests_do_not() {
    let first = parts("/harvest/1");
    let fingerprint = CallFingerprint::of(&first);
    assert_eq!(CallFingerprint::of(&parts("/harvest/1")), fingerprint);
    let others = [
        RequestParts {
            method: "HEAD",
            ..first
        },
        RequestParts {
            host: "other.example",
            ..first
        },
        RequestParts {
            target: "/harvest/1?page=2",
            ..first
        },
        RequestParts {
            customer: "orchard",
            ..first
        },
        RequestParts {
            caller: "ledger",
            ..first
        },
        RequestParts {
            body: b"{}",
            ..first
        },
    ];
    for other in others {
        assert_ne!(CallFingerprint::of(&other), fingerprint, "{other:?}");
    }
    let text = fingerprint.to_string();
    assert_eq!(text.parse(), Ok(fingerprint));
    assert!(text[1..].parse::<CallFingerprint>().is_err());
    assert!("+".repeat(32).parse::<CallFingerprint>().is_err());
}
