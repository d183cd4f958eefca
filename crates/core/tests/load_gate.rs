//! Server gate: its invariants under arbitrary event sequences, and its queue
//! against a naive fair queue.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::document::CallPriority;
use cowslip_core::load::call_queue::CallQueue;
use cowslip_core::load::call_queue::JobLength;
use cowslip_core::load::call_queue::WaitingCall;
use cowslip_core::load::customer_lane::CustomerLane;
use cowslip_core::load::queue_order::QueueOrder;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::server_gate::GateAction;
use cowslip_core::server_gate::OfferedCall;
use cowslip_core::server_gate::QueueBounds;
use cowslip_core::server_gate::ServerGate;
use cowslip_core::server_gate::SlotOutcome;

const SLOTS: u32 = 4;
const QUEUE_MAX: usize = 8;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn gate() -> ServerGate {
    let mut gate = ServerGate::default();
    gate.announce(AnnouncedServer {
        service: "ledger".into(),
        version: "v1".into(),
        slots: SLOTS,
    });
    gate.configure(QueueBounds {
        cold: None,
        slots_floor: 25,
        calls: QUEUE_MAX,
        wait: millis(300),
    });
    gate
}

fn offered(customer: u8, priority: CallPriority, left: u64) -> OfferedCall {
    OfferedCall {
        target_left: None,
        wait_max: None,
        inner: false,
        repeats: RepeatProbability::FIRST,
        service: "ledger".into(),
        route: format!("/route-{}", customer % 2).into(),
        customer: format!("customer-{customer}").into(),
        priority,
        waited: Duration::ZERO,
        left: millis(left),
    }
}

#[derive(Clone, Debug)]
enum GateEvent {
    Offer(u8, CallPriority, u64),
    End(prop::sample::Index, bool),
    Leave(prop::sample::Index),
    Wait(u64),
}

fn priority() -> impl Strategy<Value = CallPriority> {
    prop_oneof![
        Just(CallPriority::High),
        Just(CallPriority::Normal),
        Just(CallPriority::Low)
    ]
}

fn gate_event() -> impl Strategy<Value = GateEvent> {
    prop_oneof![
        4 => (0..6_u8, priority(), 1..400_u64)
            .prop_map(|(customer, priority, left)| GateEvent::Offer(customer, priority, left)),
        3 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(which, shed)| GateEvent::End(which, shed)),
        1 => any::<prop::sample::Index>().prop_map(GateEvent::Leave),
        2 => (1..50_u64).prop_map(GateEvent::Wait),
    ]
}

/// The calls of the gate as its owner sees them.
#[derive(Default)]
struct GateView {
    waiting: BTreeMap<u64, Duration>,
    running: BTreeSet<u64>,
}

impl GateView {
    /// Checks that every action is for a waiting call and that no call starts
    /// after its deadline.
    fn check_actions(
        &mut self,
        now: Duration,
        actions: Vec<GateAction>,
    ) -> Result<(), TestCaseError> {
        for action in actions {
            let ticket = match action {
                GateAction::Start(ticket) => ticket,
                GateAction::Refuse(ticket, _) => ticket,
            };
            let deadline_at = self.waiting.remove(&ticket);
            prop_assert!(deadline_at.is_some(), "answered twice or never offered");
            if let GateAction::Start(ticket) = action {
                prop_assert!(deadline_at > Some(now), "started too late");
                self.running.insert(ticket);
            }
        }
        Ok(())
    }
}

proptest! {
    // Under any sequence of events, each caller gets exactly one answer, the
    // server gets at most as many calls as it has slots, and no slot is idle
    // while a call that may use it waits.
    #[test]
    fn each_call_gets_one_answer(events in prop::collection::vec(gate_event(), 1..200)) {
        let mut gate = gate();
        let mut view = GateView::default();
        let mut now = Duration::ZERO;
        for (ticket, event) in events.into_iter().enumerate() {
            let ticket = ticket as u64;
            let actions = match event {
                GateEvent::Offer(customer, priority, left) => {
                    view.waiting.insert(ticket, now + millis(left));
                    gate.offer(now, ticket, offered(customer, priority, left))
                }
                GateEvent::End(which, shed) if !view.running.is_empty() => {
                    let running: Vec<u64> = view.running.iter().copied().collect();
                    let ended = *which.get(&running);
                    view.running.remove(&ended);
                    let taken = SlotOutcome::Answered(millis(ended % 40));
                    gate.end(now, ended, if shed { SlotOutcome::Shed } else { taken })
                }
                GateEvent::Leave(which) if !view.waiting.is_empty() => {
                    let waiting: Vec<u64> = view.waiting.keys().copied().collect();
                    let left = *which.get(&waiting);
                    view.waiting.remove(&left);
                    gate.end(now, left, SlotOutcome::Abandoned)
                }
                GateEvent::Wait(wait) => {
                    now += millis(wait);
                    gate.wake(now)
                }
                _ => Vec::new(),
            };
            view.check_actions(now, actions)?;
            prop_assert_eq!(gate.in_flight() as usize, view.running.len());
            prop_assert_eq!(gate.waiting(), view.waiting.len());
            prop_assert!(gate.in_flight() <= SLOTS);
            prop_assert!(gate.waiting() <= QUEUE_MAX);
            // One slot is reserved for short jobs.
            let busy = gate.in_flight() + 1 >= gate.allowed();
            prop_assert!(gate.waiting() == 0 || busy, "a slot is idle");
        }
        let last = gate.wake(now + millis(1_000));
        view.check_actions(now + millis(1_000), last)?;
        prop_assert!(view.waiting.is_empty(), "every waiting call must be answered");
    }

    // Customers with waiting calls get equally many turns, however many calls
    // each of them has in the queue.
    #[test]
    fn customers_get_equal_turns(counts in prop::collection::vec(1..30_usize, 2..8)) {
        let mut lane = CustomerLane::default();
        let mut ticket = 0;
        for (customer, count) in counts.iter().enumerate() {
            for _ in 0..*count {
                ticket += 1;
                lane.push(waiting(ticket, customer, CallPriority::Normal));
            }
        }
        let fewest = counts.iter().copied().min().unwrap_or(0);
        let mut served: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for _ in 0..fewest * counts.len() {
            let call = lane.pop(QueueOrder::OldestFirst).expect("calls wait");
            *served.entry(call.customer).or_default() += 1;
        }
        prop_assert!(served.values().all(|turns| *turns == fewest));
    }

    // With one customer and one priority the queue is first in, first out, and
    // the latest call is evicted first.
    #[test]
    fn one_customer_is_served_first_in_first_out(steps in prop::collection::vec(any::<bool>(), 1..100)) {
        let mut queue = CallQueue::default();
        let mut naive = std::collections::VecDeque::new();
        for (ticket, push) in steps.into_iter().enumerate() {
            if push {
                queue.push(waiting(ticket as u64, 0, CallPriority::Normal));
                naive.push_back(ticket as u64);
                let evicted = queue.evict(QUEUE_MAX, QueueOrder::OldestFirst);
                let plain = (naive.len() > QUEUE_MAX).then(|| naive.pop_back()).flatten();
                prop_assert_eq!(evicted.map(|call| call.ticket), plain);
                continue;
            }
            let popped = queue.pop(QueueOrder::OldestFirst, true);
            prop_assert_eq!(popped.map(|call| call.ticket), naive.pop_front());
        }
    }
}

fn waiting(ticket: u64, customer: usize, priority: CallPriority) -> WaitingCall {
    WaitingCall {
        late_at: None,
        ticket,
        route: "/sales".into(),
        customer: format!("customer-{customer}").into(),
        priority,
        length: JobLength::Short,
        arrived_at: millis(ticket),
        expires_at: millis(10_000),
        cost: millis(10),
        repeats: RepeatProbability::FIRST,
    }
}

// Guards against starvation while calls of all priorities are always queued: of
// 21 turns, 16 go to the highest priority, but at least one to the lowest.
#[test]
fn no_priority_starves() {
    let mut queue = CallQueue::default();
    for ticket in 0..300 {
        let priority = [CallPriority::High, CallPriority::Normal, CallPriority::Low];
        queue.push(waiting(ticket, 0, priority[ticket as usize % 3]));
    }
    let mut turns = BTreeMap::new();
    for _ in 0..84 {
        let call = queue
            .pop(QueueOrder::OldestFirst, true)
            .expect("calls wait");
        *turns.entry(call.priority).or_insert(0) += 1;
    }
    let high = turns[&CallPriority::High];
    assert!(
        (62..=66).contains(&high),
        "{high} of 84 turns had high priority"
    );
    assert!(turns[&CallPriority::Low] >= 3);
}

// Guards against wasting a slot on a call that cannot meet its deadline: one
// with 20 ms left for work that never took less than 50 ms is refused as not
// run.
#[test]
fn work_that_cannot_end_in_time_takes_no_slot() {
    let mut gate = gate();
    for ticket in 0..10 {
        let call = offered(0, CallPriority::Normal, 400);
        assert_eq!(
            gate.offer(millis(ticket), ticket, call),
            [GateAction::Start(ticket)]
        );
        gate.end(millis(ticket), ticket, SlotOutcome::Answered(millis(50)));
    }
    let call = offered(0, CallPriority::Normal, 20);
    let refused = GateAction::Refuse(99, RefusalReason::DeadlinePassed);
    assert_eq!(gate.offer(millis(20), 99, call), [refused]);
}

// Guards against calls that wait at a draining server until they time out: they
// are refused at once, so that their entry nodes can try another server.
#[test]
fn draining_server_refuses_its_queued_calls() {
    let mut gate = gate();
    for ticket in 0..6 {
        gate.offer(
            Duration::ZERO,
            ticket,
            offered(0, CallPriority::Normal, 400),
        );
    }
    let mut refused = gate.drain();
    refused.sort_by_key(|action| format!("{action:?}"));
    let draining = RefusalReason::Draining;
    let expected = [
        GateAction::Refuse(4, draining),
        GateAction::Refuse(5, draining),
    ];
    assert_eq!(refused, expected);
    assert_eq!(gate.in_flight(), SLOTS, "running calls must continue");
}

// Guards against mistaking a usual mix of jobs for overload, which would leave
// half of the slots idle: one job in 50 always takes 100 times as long as the
// others.
#[test]
fn few_very_long_jobs_do_not_reduce_the_limit() {
    let mut gate = gate();
    let mut now = Duration::ZERO;
    for ticket in 0..2_000 {
        gate.offer(now, ticket, offered(0, CallPriority::Normal, 400));
        now += millis(10);
        let taken = millis(if ticket % 50 == 49 { 1_000 } else { 10 });
        gate.end(now, ticket, SlotOutcome::Answered(taken));
        assert_eq!(gate.allowed(), SLOTS);
    }
}

// Guards against overloading a backend server that announces more slots than it
// can use and sheds calls: the limit must fall, and rise again afterwards.
#[test]
fn server_that_sheds_gets_fewer_concurrent_calls() {
    let mut gate = gate();
    let mut now = Duration::ZERO;
    for ticket in 0..20 {
        gate.offer(now, ticket, offered(0, CallPriority::Normal, 400));
        now += millis(150);
        gate.end(now, ticket, SlotOutcome::Shed);
    }
    assert_eq!(gate.allowed(), 1);
    for ticket in 20..60 {
        now += millis(100);
        gate.offer(now, ticket, offered(0, CallPriority::Normal, 400));
        gate.offer(now, ticket + 1_000, offered(0, CallPriority::Normal, 400));
        gate.offer(now, ticket + 2_000, offered(0, CallPriority::Normal, 400));
        gate.offer(now, ticket + 3_000, offered(0, CallPriority::Normal, 400));
        for part in 0..4 {
            gate.end(
                now,
                ticket + part * 1_000,
                SlotOutcome::Answered(millis(10)),
            );
        }
    }
    assert_eq!(gate.allowed(), SLOTS);
}

// Guards against reserving slots for rare short jobs. Compared with an
// occasional page that answers at once, every lookup of 220 ms is a long job;
// with a third of the slots reserved for the page, lookups would wait and be
// refused while those slots are idle.
#[test]
fn rare_short_jobs_reserve_no_slots() {
    let mut gate = ServerGate::default();
    gate.announce(AnnouncedServer {
        service: "contract".into(),
        version: "v1".into(),
        slots: 9,
    });
    gate.configure(QueueBounds::default());
    let call = |route: &str| OfferedCall {
        service: "contract".into(),
        route: route.into(),
        customer: "".into(),
        priority: CallPriority::Low,
        waited: Duration::ZERO,
        left: Duration::from_secs(4),
        target_left: None,
        wait_max: None,
        inner: false,
        repeats: RepeatProbability::FIRST,
    };
    let mut now = Duration::ZERO;
    for ticket in 0..220 {
        let (route, work) = match ticket % 22 {
            0 => ("/page", Duration::from_millis(1)),
            _ => ("/quota", Duration::from_millis(220)),
        };
        gate.offer(now, ticket, call(route));
        now += work;
        gate.end(now, ticket, SlotOutcome::Answered(work));
    }
    for ticket in 1_000..1_009 {
        let started = gate.offer(now, ticket, call("/quota"));
        assert_eq!(started, vec![GateAction::Start(ticket)]);
    }
}
