//! Cold backend servers: how many calls they get in any second, and what that
//! does to a service whose servers have all restarted.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::document::CallPriority;
use cowslip_core::document::ColdStartSpec;
use cowslip_core::load::cold_limit::ColdLimit;
use cowslip_core::load::cold_limit::ColdRule;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::load::send_window::SendWindow;
use cowslip_core::load::send_window::WINDOW;
use cowslip_core::server_gate::GateAction;
use cowslip_core::server_gate::OfferedCall;
use cowslip_core::server_gate::QueueBounds;
use cowslip_core::server_gate::ServerGate;
use cowslip_core::server_gate::SlotOutcome;

const SLOTS: u32 = 6;
const LIMIT: u32 = 10;
const COLD_TIME: Duration = Duration::from_secs(3);

const RULE: ColdRule = ColdRule {
    calls_per_second: LIMIT,
    cold_time: COLD_TIME,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn gate(rule: Option<ColdRule>) -> ServerGate {
    let mut gate = ServerGate::default();
    gate.announce(AnnouncedServer {
        service: "records".into(),
        version: "v1".into(),
        slots: SLOTS,
    });
    gate.configure(QueueBounds {
        cold: rule,
        slots_floor: 100,
        ..QueueBounds::default()
    });
    gate
}

fn offered(inner: bool) -> OfferedCall {
    OfferedCall {
        service: "records".into(),
        route: "/prices".into(),
        customer: "".into(),
        priority: CallPriority::Normal,
        waited: Duration::ZERO,
        left: millis(3_000),
        target_left: Some(millis(500)),
        wait_max: None,
        inner,
        repeats: RepeatProbability::FIRST,
    }
}

/// What happens to a cold server and its node.
#[derive(Clone, Debug)]
enum ColdEvent {
    Offer { inner: bool },
    Sent(prop::sample::Index),
    Ended(prop::sample::Index),
    Report(u64),
    RunBegins(Option<u64>),
    ServerCrashed,
    NodeRestarted,
    Wait(u64),
}

fn cold_event() -> impl Strategy<Value = ColdEvent> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        8 => any::<bool>().prop_map(|inner| ColdEvent::Offer { inner }),
        6 => index().prop_map(ColdEvent::Sent),
        5 => index().prop_map(ColdEvent::Ended),
        1 => (2_000..5_000_u64).prop_map(ColdEvent::Report),
        1 => prop::option::of(2_000..5_000_u64).prop_map(ColdEvent::RunBegins),
        1 => Just(ColdEvent::ServerCrashed),
        1 => Just(ColdEvent::NodeRestarted),
        4 => (1..400_u64).prop_map(ColdEvent::Wait),
    ]
}

/// A node and its server, which is cold all the time.
struct ColdServer {
    now: Duration,
    node_started: Duration,
    gate: ServerGate,
    next_ticket: u64,
    /// Calls that the gate started, with whether they were sent.
    running: BTreeMap<u64, bool>,
    sent_at: Vec<Duration>,
}

impl ColdServer {
    fn new() -> Self {
        let mut server = Self {
            now: Duration::ZERO,
            node_started: Duration::ZERO,
            gate: gate(Some(RULE)),
            next_ticket: 0,
            running: BTreeMap::new(),
            sent_at: Vec::new(),
        };
        server.stay_cold();
        server
    }

    fn node_now(&self) -> Duration {
        self.now - self.node_started
    }

    /// Reports often enough that the server never counts as warm.
    fn stay_cold(&mut self) {
        let now = self.node_now();
        self.gate.cold_mut().report(now, 2 * COLD_TIME);
    }

    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            if let GateAction::Start(ticket) = action {
                self.running.insert(ticket, false);
            }
        }
    }

    fn nth_running(&self, which: prop::sample::Index) -> Option<u64> {
        let running: Vec<u64> = self.running.keys().copied().collect();
        (!running.is_empty()).then(|| *which.get(&running))
    }

    fn send(&mut self, ticket: u64) {
        if self.running.insert(ticket, true) == Some(false) {
            self.sent_at.push(self.now);
        }
    }

    fn handle(&mut self, event: &ColdEvent) {
        let now = self.node_now();
        match event {
            ColdEvent::Offer { inner } => {
                self.next_ticket += 1;
                let ticket = self.next_ticket;
                let actions = self.gate.offer(now, ticket, offered(*inner));
                self.apply(actions);
            }
            ColdEvent::Sent(which) => {
                let Some(ticket) = self.nth_running(*which) else {
                    return;
                };
                self.send(ticket);
                self.gate.cold_mut().record_sent(now, ticket);
            }
            ColdEvent::Ended(which) => {
                let Some(ticket) = self.nth_running(*which) else {
                    return;
                };
                // A call may be sent and end before the gate hears of either.
                self.send(ticket);
                self.running.remove(&ticket);
                let outcome = SlotOutcome::Answered(millis(20));
                let actions = self.gate.end(now, ticket, outcome);
                self.apply(actions);
            }
            ColdEvent::Report(remaining) => {
                self.gate.cold_mut().report(now, millis(*remaining));
            }
            ColdEvent::RunBegins(remaining) => {
                let remaining = remaining.map(millis);
                self.gate.cold_mut().begin_run(now, remaining);
            }
            ColdEvent::ServerCrashed => {
                self.gate.cold_mut().record_crash(now);
                self.gate.cold_mut().assume_cold(now);
            }
            ColdEvent::NodeRestarted => {
                self.node_started = self.now;
                self.gate = gate(Some(RULE));
                self.gate
                    .cold_mut()
                    .begin_run(Duration::ZERO, Some(COLD_TIME));
                self.running.clear();
            }
            ColdEvent::Wait(wait) => {
                self.now += millis(*wait);
                self.stay_cold();
                let actions = self.gate.wake(self.node_now());
                self.apply(actions);
            }
        }
    }
}

proptest! {
    // Guards against a cold server that gets more calls in some second than it may:
    // calls that are sent long after their grant, calls that a node sent before it
    // restarted, and two limits at the border of two fixed seconds.
    #[test]
    fn no_second_contains_more_sends_than_allowed(
        events in prop::collection::vec(cold_event(), 1..400)
    ) {
        let mut server = ColdServer::new();
        for event in &events {
            server.handle(event);
            let first = server.now.saturating_sub(Duration::from_secs(1));
            let recent = server.sent_at.iter().filter(|at| **at >= first);
            prop_assert!(recent.count() <= LIMIT as usize, "after {event:?}");
        }
    }

    // Compares the window with a list of all sends.
    #[test]
    fn the_window_counts_as_a_list_does(
        steps in prop::collection::vec((0..4_u8, 0..40_u64, 0..300_u64), 1..200)
    ) {
        let mut window = SendWindow::default();
        let mut calls: BTreeMap<u64, Option<Duration>> = BTreeMap::new();
        let mut now = Duration::ZERO;
        for (kind, ticket, wait) in steps {
            match kind {
                0 | 1 if !calls.contains_key(&ticket) => {
                    window.grant(ticket);
                    calls.insert(ticket, None);
                }
                2 if calls.get(&ticket) == Some(&None) => {
                    window.record_sent(now, ticket);
                    calls.insert(ticket, Some(now));
                }
                3 => now += millis(wait),
                _ => {}
            }
            let counted = calls
                .values()
                .filter(|sent| sent.is_none_or(|at| now < at + WINDOW));
            prop_assert_eq!(window.count(now), counted.count());
            let limit = 8;
            let wait = window.wait(now, limit, 0);
            prop_assert_eq!(wait.is_zero(), window.count(now) < limit);
        }
    }
}

// Guards against a call that waits for its timeout although the cold server may
// get it earlier.
#[test]
fn a_waiting_call_is_sent_as_soon_as_the_limit_allows_it() {
    let mut gate = gate(Some(RULE));
    let start = millis(2_000);
    gate.cold_mut().report(start, COLD_TIME);
    let mut now = start;
    for ticket in 0..u64::from(LIMIT) {
        assert_eq!(
            gate.offer(now, ticket, offered(false)),
            [GateAction::Start(ticket)]
        );
        gate.cold_mut().record_sent(now, ticket);
        now += millis(50);
        gate.end(now, ticket, SlotOutcome::Answered(millis(50)));
    }
    let patient = OfferedCall {
        target_left: None,
        ..offered(false)
    };
    assert_eq!(gate.offer(now, 99, patient), []);
    let at = gate.next_wake(now).expect("a call waits");
    assert_eq!(at, start + WINDOW);
    assert_eq!(gate.expected_wait(now), at - now + millis(50));
    assert_eq!(gate.wake(at), [GateAction::Start(99)]);
}

// Guards against a delayed report of a run that has crashed: it says that the
// server is warm, while the run that listens now is cold and has not reported.
#[test]
fn a_late_report_does_not_end_an_assumed_cold_period() {
    let mut cold = ColdLimit::default();
    cold.configure(Some(RULE));
    let now = millis(10_000);
    cold.assume_cold(now);
    cold.report(now + millis(100), Duration::ZERO);
    assert!(cold.is_cold(now + COLD_TIME));
    assert!(!cold.is_cold(now + COLD_TIME + millis(50)));
}

// Guards against calls that wait for the end of the cold period and are all sent
// just before it, because the remaining time was rounded down.
#[test]
fn a_server_is_cold_a_little_longer_than_it_reports() {
    let mut cold = ColdLimit::default();
    cold.configure(Some(RULE));
    let now = millis(10_000);
    cold.begin_run(now, Some(millis(2_991)));
    assert!(cold.is_cold(now + millis(2_991)));
    assert!(!cold.is_cold(now + millis(3_100)));
    cold.begin_run(now, Some(Duration::ZERO));
    assert!(!cold.is_cold(now));
}

// Guards against a new server that gets its full load because its first report
// does not say whether it is cold.
#[test]
fn a_run_that_does_not_say_is_cold() {
    let mut cold = ColdLimit::default();
    cold.configure(Some(RULE));
    let now = millis(10_000);
    cold.begin_run(now, None);
    assert!(cold.is_cold(now + millis(1)));
    cold.begin_run(now, Some(Duration::ZERO));
    assert!(!cold.is_cold(now + millis(1)));
}

// Guards against a second without service after all machines lost power: a node
// that has just started must not take the limit of a server as spent that started
// after it.
#[test]
fn a_node_waits_only_for_what_its_predecessor_may_have_sent() {
    let now = millis(200);
    let mut older = ColdLimit::default();
    older.configure(Some(RULE));
    older.begin_run(now, Some(COLD_TIME));
    let mut later = older.clone();
    later.record_later_start();
    assert_eq!(older.wait(now, 0), WINDOW - now);
    assert!(later.admits(now));
}

// Guards against a server that crashes under what it is allowed while cold and is
// fed the same amount after each start.
#[test]
fn each_crash_of_a_cold_server_halves_its_limit() {
    let mut cold = ColdLimit::default();
    cold.configure(Some(RULE));
    let mut now = millis(10_000);
    let mut limits = Vec::new();
    for _ in 0..6 {
        cold.begin_run(now, Some(COLD_TIME));
        limits.push(cold.limit(now).expect("the server is cold"));
        cold.record_crash(now + millis(500));
        now += millis(5_000);
    }
    assert_eq!(limits, [10, 5, 2, 1, 1, 1]);
    cold.begin_run(now, Some(COLD_TIME));
    // It became warm and was then replaced as planned.
    now += millis(60_000);
    cold.begin_run(now, Some(COLD_TIME));
    assert_eq!(cold.limit(now), Some(10));
}

#[test]
fn the_rule_follows_from_what_a_server_tolerates() {
    let cold_start = ColdStartSpec {
        time_ms: 3_000,
        calls_per_minute: 432,
    };
    let rule = ColdRule::of(cold_start, 150, 8);
    assert_eq!(rule.calls_per_second, 18);
    assert_eq!(rule.cold_time, COLD_TIME);
    assert_eq!(ColdRule::of(cold_start, 1, 0).calls_per_second, 1);
}

/// A server that crashes if it gets more than `CRASH_RATE` calls in a second while
/// it is cold, and what its callers got.
#[derive(Debug, Default)]
struct LoopOutcome {
    crashes: u32,
    answered: u32,
    refused: u32,
}

const CRASH_RATE: usize = 15;
const DOWN_TIME: Duration = Duration::from_millis(1_500);
const JOB_TIME: Duration = Duration::from_millis(60);

/// Calls arrive every 25 ms at a server that has just started. Each job takes
/// `JOB_TIME`, twice as long while the server is cold.
fn restarted_server(rule: Option<ColdRule>) -> LoopOutcome {
    let mut outcome = LoopOutcome::default();
    let mut gate = gate(rule);
    let mut started_at = millis(2_000);
    gate.cold_mut().begin_run(started_at, Some(COLD_TIME));
    let mut jobs: BTreeMap<u64, Duration> = BTreeMap::new();
    let mut sent_at: Vec<Duration> = Vec::new();
    let mut down_until: Option<Duration> = None;
    for step in 0..12_000_u64 {
        let now = millis(2_000 + step);
        if down_until.is_some_and(|until| now >= until) {
            down_until = None;
            started_at = now;
            gate.cold_mut().begin_run(now, Some(COLD_TIME));
        }
        let mut actions = gate.wake(now);
        let ended: Vec<u64> = jobs
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in ended {
            jobs.remove(&ticket);
            outcome.answered += 1;
            actions.extend(gate.end(now, ticket, SlotOutcome::Answered(JOB_TIME)));
        }
        if step % 25 == 0 {
            if down_until.is_some() {
                outcome.refused += 1;
            } else {
                actions.extend(gate.offer(now, step, offered(false)));
            }
        }
        let cold = now < started_at + COLD_TIME;
        for action in actions {
            let GateAction::Start(ticket) = action else {
                outcome.refused += 1;
                continue;
            };
            gate.cold_mut().record_sent(now, ticket);
            sent_at.push(now);
            jobs.insert(ticket, now + if cold { 2 * JOB_TIME } else { JOB_TIME });
        }
        sent_at.retain(|at| now < *at + Duration::from_secs(1));
        if cold && sent_at.len() > CRASH_RATE {
            outcome.crashes += 1;
            gate.cold_mut().record_crash(now);
            down_until = Some(now + DOWN_TIME);
            sent_at.clear();
            for ticket in std::mem::take(&mut jobs).into_keys() {
                outcome.refused += 1;
                gate.end(now, ticket, SlotOutcome::Abandoned);
            }
        }
    }
    outcome
}

// Load pattern: a server restarts under a load that it can take when it is warm
// and that crashes it while it is cold. Without the limit it crashes again and
// again for as long as the load lasts.
#[test]
fn a_restarted_server_does_not_crash_in_a_loop() {
    let without = restarted_server(None);
    assert!(without.crashes >= 4, "{without:?}");
    let with = restarted_server(Some(RULE));
    assert_eq!(with.crashes, 0, "{with:?}");
    assert!(with.answered > 2 * without.answered, "{with:?} {without:?}");
}
