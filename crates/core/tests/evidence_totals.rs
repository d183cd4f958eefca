//! Transport of evidence from the nodes to the leader, and its sum there.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::rollout::evidence::EvidenceReport;
use cowslip_core::rollout::evidence::MeasuredTry;
use cowslip_core::rollout::evidence::RolloutEvidence;
use cowslip_core::rollout::evidence::RolloutTally;
use cowslip_core::rollout::evidence::RouteEvidence;
use cowslip_core::rollout::evidence::TryOutcome;
use cowslip_core::rollout::evidence_totals::EvidenceTotals;
use cowslip_core::version::ConfigVersion;

const MOVE: ConfigVersion = ConfigVersion { term: 1, index: 2 };

/// One try at one node; the node may restart before it.
#[derive(Clone, Debug)]
struct DrawnTry {
    node: usize,
    restart: bool,
    new: bool,
    failed: bool,
    millis: u64,
}

fn drawn_try() -> impl Strategy<Value = DrawnTry> {
    let failed = prop::bool::weighted(0.2);
    let restart = prop::bool::weighted(0.1);
    (0..3usize, restart, any::<bool>(), failed, 1..2_000u64).prop_map(
        |(node, restart, new, failed, millis)| DrawnTry {
            node,
            restart,
            new,
            failed,
            millis,
        },
    )
}

fn report(node: usize, order: (u64, u64), tally: &RolloutTally) -> EvidenceReport {
    let mut routes = Vec::new();
    for (route, counts) in &tally.routes {
        routes.push(RouteEvidence {
            route: Arc::clone(route),
            old: counts.old.report(),
            new: counts.new.report(),
        });
    }
    EvidenceReport {
        node: format!("node-{node}").into(),
        incarnation: order.0,
        sequence: order.1,
        rollouts: vec![RolloutEvidence {
            rollout: MOVE,
            routes,
            stop: None,
        }],
    }
}

proptest! {
    // Guards against counting a try twice when reports are lost,
    // duplicated or reordered and nodes restart: one failure would become many
    // and a sound version would be taken back. Compares with a naive sum of all
    // tries, once the last report of each incarnation has arrived.
    #[test]
    fn every_try_counts_once(
        tries in prop::collection::vec(drawn_try(), 1..60),
        arrivals in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 0..80),
    ) {
        let route: Arc<str> = "/sales".into();
        let mut tallies = vec![RolloutTally::default(); 3];
        let mut orders = [(1, 0); 3];
        let mut reports = Vec::new();
        let mut lasts = Vec::new();
        let mut naive = RolloutTally::default();
        for drawn in &tries {
            let at = drawn.node;
            if drawn.restart && orders[at].1 > 0 {
                lasts.push(report(at, orders[at], &tallies[at]));
                tallies[at] = RolloutTally::default();
                orders[at] = (orders[at].0 + 1, 0);
            }
            let measured = MeasuredTry {
                took: Duration::from_millis(drawn.millis),
                outcome: match drawn.failed {
                    _ if drawn.millis % 5 == 0 => TryOutcome::Abandoned,
                    true => TryOutcome::Failed,
                    false => TryOutcome::Answered,
                },
                warm: true,
            };
            tallies[at].record(&route, drawn.new, &measured);
            naive.record(&route, drawn.new, &measured);
            orders[at].1 += 1;
            reports.push(report(at, orders[at], &tallies[at]));
        }
        for at in 0..3 {
            lasts.push(report(at, orders[at], &tallies[at]));
        }
        let mut totals = EvidenceTotals::default();
        // Reordered and duplicate arrivals within the first incarnations, then
        // the reports that are certain to arrive, in the order of incarnations.
        for (pick, twice) in &arrivals {
            let picked = pick.get(&reports).clone();
            if picked.incarnation > 1 {
                continue;
            }
            totals.record_report(Duration::ZERO, picked.clone());
            if *twice {
                prop_assert!(!totals.record_report(Duration::ZERO, picked));
            }
        }
        for last in &lasts {
            totals.record_report(Duration::ZERO, last.clone());
        }
        for (pick, _) in &arrivals {
            totals.record_report(Duration::ZERO, pick.get(&reports).clone());
        }
        let total = totals.total(MOVE).expect("reports arrived");
        for (got, wanted) in [
            (&total.total.old, &naive.total.old),
            (&total.total.new, &naive.total.new),
        ] {
            prop_assert_eq!(got.calls, wanted.calls);
            prop_assert_eq!(got.failures, wanted.failures);
            prop_assert_eq!(got.abandoned, wanted.abandoned);
            prop_assert_eq!(got.busy_us, wanted.busy_us);
            prop_assert_eq!(got.latency.buckets(), wanted.latency.buckets());
        }
    }

    // For any latencies, the count above a bound equals a naive count, except
    // for latencies in the bound's own bucket.
    #[test]
    fn sketch_counts_equal_counts_over_all_latencies(
        micros in prop::collection::vec(1..5_000_000u64, 1..200),
        bound in 1..5_000_000u64,
    ) {
        let route: Arc<str> = "/lots".into();
        let mut tally = RolloutTally::default();
        for took in &micros {
            let measured = MeasuredTry {
                took: Duration::from_micros(*took),
                outcome: TryOutcome::Answered,
                warm: true,
            };
            tally.record(&route, true, &measured);
        }
        let above = tally.total.new.latency.count_above(bound);
        let least = micros.iter().filter(|took| **took > bound + bound / 8 + 64).count();
        let most = micros.iter().filter(|took| **took > bound).count();
        prop_assert!((least as u64..=most as u64).contains(&above));
    }
}
