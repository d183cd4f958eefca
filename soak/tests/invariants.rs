//! Tests that the checks of a soak run find a violation of each invariant.

use std::sync::Arc;
use std::time::Duration;

use cowslip_soak::invariants;
use cowslip_soak::observations::AcceptedRoute;
use cowslip_soak::observations::CallOutcome;
use cowslip_soak::observations::Disruption;
use cowslip_soak::observations::EvacuationSpan;
use cowslip_soak::observations::FaultSpan;
use cowslip_soak::observations::NodePause;
use cowslip_soak::observations::Observations;
use cowslip_soak::observations::PlannedStop;
use cowslip_soak::observations::SentCall;
use cowslip_soak::observations::ServerArrival;
use cowslip_soak::observations::ServerCrash;
use cowslip_soak::observations::StatementKind;
use cowslip_soak::observations::StatementSpan;
use cowslip_soak::statement_checks;

const END: Duration = Duration::from_secs(60);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn call(id: &str, sent: u64, probe: Option<u64>, outcome: CallOutcome) -> SentCall {
    SentCall {
        id: id.into(),
        node: 1,
        at_most_once: true,
        probe,
        sent: secs(sent),
        ended: secs(sent + 1),
        outcome,
        statements: Vec::new(),
    }
}

fn refused(reason: &str) -> CallOutcome {
    CallOutcome::Refused {
        status: 503,
        verdict: "not-run".to_owned(),
        reason: reason.to_owned(),
    }
}

/// Returns the invariants that these calls violate, with the observations changed
/// by `adjust`. An answered call is added at the end, so that the fleet recovers.
fn violations(
    calls: Vec<SentCall>,
    adjust: impl FnOnce(&mut Observations),
) -> Vec<&'static str> {
    let mut observations = Observations {
        calls,
        ..Observations::default()
    };
    let last = call("last", 58, None, CallOutcome::Answered(true));
    observations.calls.push(last);
    adjust(&mut observations);
    let violations = invariants::violations(&observations, END);
    violations
        .into_iter()
        .map(|violation| violation.invariant)
        .collect()
}

#[test]
fn crashes_long_after_the_third_are_found() {
    let answered = call("a", 1, None, CallOutcome::Answered(true));
    let crashed = |at: &[u64]| {
        let crash = |at: &u64| ServerCrash {
            server: 1,
            at: secs(*at),
        };
        let crashes: Vec<ServerCrash> = at.iter().map(crash).collect();
        move |observations: &mut Observations| {
            observations.crashes.insert(7, crashes);
        }
    };
    let soon = crashed(&[1, 2, 3, 4, 5, 6, 6, 6, 8, 9, 10]);
    assert!(violations(vec![answered.clone()], soon).is_empty());
    let late = crashed(&[1, 2, 3, 8, 9, 10, 11]);
    assert_eq!(
        violations(vec![answered.clone()], late),
        ["a request that crashes servers is refused"]
    );
    let disrupted = |at: &[u64]| {
        let crashes = crashed(at);
        move |observations: &mut Observations| {
            crashes(observations);
            observations.disruptions.push(Disruption {
                node: None,
                from: secs(7),
                until: secs(8),
            });
        }
    };
    let excused = disrupted(&[1, 2, 3, 8, 9, 10, 11]);
    assert!(violations(vec![answered.clone()], excused).is_empty());
    let long_after = disrupted(&[1, 2, 3, 12, 13, 14, 15]);
    assert_eq!(
        violations(vec![answered], long_after),
        ["a request that crashes servers is refused"]
    );
}

#[test]
fn each_violation_is_found() {
    let unchanged = |_: &mut Observations| {};
    let good = call("a", 1, None, CallOutcome::Answered(true));
    assert!(violations(vec![good.clone()], unchanged).is_empty());

    let wrong_answer = call("a", 1, None, CallOutcome::Answered(false));
    assert_eq!(
        violations(vec![wrong_answer], unchanged),
        ["an answer belongs to its request"]
    );

    let run_twice = |observations: &mut Observations| {
        observations
            .executions
            .insert("a".into(), vec![secs(1), secs(2)]);
    };
    assert_eq!(
        violations(vec![good], run_twice),
        ["a request runs at most once"]
    );

    let run_once = |observations: &mut Observations| {
        observations.executions.insert("a".into(), vec![secs(1)]);
    };
    let refused_call = call("a", 1, None, refused("queue-full"));
    assert_eq!(
        violations(vec![refused_call], run_once),
        ["a request answered as not run did not run"]
    );

    let lose_change = |observations: &mut Observations| {
        observations.accepted.push(AcceptedRoute {
            route: 4,
            at: secs(1),
        });
    };
    assert_eq!(
        violations(vec![], lose_change),
        ["accepted changes are durable"]
    );

    let failing = call("b", 59, None, CallOutcome::NoConnection);
    assert_eq!(violations(vec![failing], unchanged), ["the fleet recovers"]);

    let exit = |observations: &mut Observations| {
        observations.unexpected_exits.push("node-1".into())
    };
    assert_eq!(violations(vec![], exit), ["no process exits unexpectedly"]);

    let after_drain = |observations: &mut Observations| {
        observations.after_drain.push((1, "a".into(), secs(5)));
    };
    let invariant = ["a drained server receives no requests"];
    assert_eq!(violations(vec![], after_drain), invariant);
}

#[test]
fn a_control_instance_that_never_votes_is_found() {
    let voters = |live: usize| {
        move |observations: &mut Observations| observations.live_voters = Some(live)
    };
    let invariant = ["lost control instances are replaced by voters"];
    assert_eq!(violations(vec![], voters(2)), invariant);
    assert!(violations(vec![], voters(3)).is_empty());
}

#[test]
fn a_return_to_an_older_version_is_found_unless_the_node_restarted() {
    let served = call("a", 1, Some(3), CallOutcome::Answered(true));
    let unknown_route = call("b", 5, Some(2), refused("no-route"));
    let calls = vec![served, unknown_route];
    let unchanged = |_: &mut Observations| {};
    assert_eq!(
        violations(calls.clone(), unchanged),
        ["no node returns to an older configuration"]
    );
    let restarted =
        |observations: &mut Observations| observations.starts.push((1, secs(3)));
    assert!(violations(calls, restarted).is_empty());
}

#[test]
fn a_change_not_in_force_is_found_unless_a_fault_affected_the_node() {
    let accept = |observations: &mut Observations| {
        observations.accepted.push(AcceptedRoute {
            route: 4,
            at: secs(10),
        });
        observations.final_routes.push(4);
    };
    let early = call("a", 11, Some(4), refused("no-route"));
    assert!(violations(vec![early], accept).is_empty());
    let late = call("a", 13, Some(4), refused("no-route"));
    let invariant = ["accepted changes come into force"];
    assert_eq!(violations(vec![late.clone()], accept), invariant);
    let affected = |node: usize| {
        move |observations: &mut Observations| {
            accept(observations);
            observations.fault_spans.push(FaultSpan {
                node: Some(node),
                from: secs(8),
                until: secs(11),
            });
        }
    };
    let excused = vec![late.clone(), call("b", 20, Some(4), answered())];
    assert!(violations(excused, affected(1)).is_empty());
    assert_eq!(violations(vec![late], affected(2)), invariant);
    let later = call("a", 15, Some(4), refused("no-route"));
    assert_eq!(violations(vec![later], affected(1)), invariant);
}

// Guards against a schedule whose faults excuse every request, so that it proves
// nothing about changes.
#[test]
fn a_run_that_judges_hardly_any_probe_is_found() {
    let affect = |observations: &mut Observations| {
        observations.accepted.push(AcceptedRoute {
            route: 4,
            at: secs(10),
        });
        observations.final_routes.push(4);
        observations.fault_spans.push(FaultSpan {
            node: None,
            from: secs(8),
            until: secs(40),
        });
    };
    let excused = |count: u64| {
        let sent = |at| call(&format!("a{at}"), at, Some(4), answered());
        (15..15 + count).map(sent).collect::<Vec<SentCall>>()
    };
    let mut calls = excused(9);
    calls.push(call("b", 50, Some(4), answered()));
    assert_eq!(violations(calls, affect), ["enough probes are judged"]);
    let mut calls = excused(3);
    calls.push(call("b", 50, Some(4), answered()));
    assert!(violations(calls, affect).is_empty());
}

#[test]
fn repeats_beyond_the_limit_of_a_window_are_found() {
    // 100 requests in ten seconds, each of which reaches `tries` servers.
    let arrived = |tries: usize, from: u64| {
        move |observations: &mut Observations| {
            for number in 0..100_u64 {
                let at = secs(from) + Duration::from_millis(number * 100);
                let mut sent = call(&format!("r{number}"), 0, None, answered());
                (sent.sent, sent.ended) = (at, at);
                for server in 0..tries {
                    let id = Arc::clone(&sent.id);
                    observations.arrivals.push(ServerArrival { server, id, at });
                }
                observations.calls.push(sent);
            }
        }
    };
    assert!(violations(vec![], arrived(1, 10)).is_empty());
    let invariant = ["repeats stay within the fleet's limit"];
    assert_eq!(violations(vec![], arrived(2, 10)), invariant);
}

fn answered() -> CallOutcome {
    CallOutcome::Answered(true)
}

#[test]
fn a_planned_stop_that_interrupts_a_request_is_found() {
    let stop = |clean: bool| {
        move |observations: &mut Observations| {
            observations.stops.push(PlannedStop {
                node: 1,
                requested: secs(10),
                ended: secs(12),
                clean,
            });
        }
    };
    let mut interrupted = call("a", 9, None, CallOutcome::Cut);
    interrupted.ended = secs(11);
    assert_eq!(
        violations(vec![interrupted], stop(true)),
        ["a planned stop interrupts no request"]
    );
    let invariant = ["a planned stop succeeds in time"];
    assert_eq!(violations(vec![], stop(false)), invariant);
}

/// Observations of a server that states `kind` from the 10th second on, and of node 1,
/// which passed that on at 11 s.
fn stated(kind: StatementKind) -> Observations {
    let mut informing = call("told", 10, None, CallOutcome::Answered(true));
    informing.statements = vec![0];
    Observations {
        calls: vec![informing],
        statements: vec![StatementSpan {
            server: 2,
            kind,
            from: secs(10),
            until: Some(secs(40)),
        }],
        ..Observations::default()
    }
}

/// Adds a request that node 1 accepted at `sent` and that reached server 2 at `at`.
fn add_arrival(observations: &mut Observations, sent: Duration, at: Duration) {
    let id = format!("request-{}", observations.arrivals.len());
    let mut arrived = call(&id, 0, None, CallOutcome::Answered(true));
    arrived.sent = sent;
    arrived.ended = at;
    observations.calls.push(arrived);
    observations.arrivals.push(ServerArrival {
        server: 2,
        id: id.as_str().into(),
        at,
    });
}

#[test]
fn an_exceeded_limit_is_found_unless_the_entry_node_restarted() {
    let arrivals = |count: u64| {
        let mut observations = stated(StatementKind::CallsPerSecond(1.0));
        for number in 0..count {
            let at = secs(20) + Duration::from_millis(number * 100);
            add_arrival(&mut observations, at, at);
        }
        observations
    };
    // Four seconds at one a second, half as many again, and five.
    let exceeded = |observations: &Observations| {
        !statement_checks::exceeded_limits(observations).is_empty()
    };
    assert!(!exceeded(&arrivals(11)));
    assert!(exceeded(&arrivals(12)));
    let mut restarted = arrivals(12);
    restarted.starts.push((1, secs(15)));
    assert!(!exceeded(&restarted));
    let mut paused = arrivals(12);
    paused.pauses.push(NodePause {
        node: 1,
        from: secs(12),
        until: secs(13),
    });
    assert!(!exceeded(&paused));
}

#[test]
fn a_call_to_a_leaving_server_is_found_unless_it_was_sent_early() {
    let arrival = |sent: Duration| {
        let mut observations = stated(StatementKind::Leaving);
        add_arrival(&mut observations, sent, secs(15));
        observations
    };
    let found = |observations: &Observations| {
        !statement_checks::calls_to_leaving_servers(observations).is_empty()
    };
    assert!(!found(&arrival(secs(13))));
    assert!(found(&arrival(secs(14))));
    let mut restarted = arrival(secs(14));
    restarted.starts.push((1, secs(14)));
    assert!(!found(&restarted));
    let mut ended = arrival(secs(14));
    ended.statements[0].until = Some(secs(14));
    assert!(!found(&ended));
}

#[test]
fn a_call_to_an_evacuated_server_is_found() {
    let arrive = |at: u64| {
        move |observations: &mut Observations| {
            observations.evacuations.push(EvacuationSpan {
                domain: 2,
                from: secs(10),
                until: Some(secs(20)),
            });
            add_arrival(observations, secs(at), secs(at));
        }
    };
    assert!(violations(vec![], arrive(15)).is_empty());
    let invariant = ["an evacuated server gets no calls"];
    assert_eq!(violations(vec![], arrive(16)), invariant);
    assert!(violations(vec![], arrive(20)).is_empty());
}
