//! Servers that state how many calls a second they take, or that they are leaving:
//! what reaches them, and who is served under overload.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::document::CallPriority;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::server_gate::GateAction;
use cowslip_core::server_gate::OfferedCall;
use cowslip_core::server_gate::QueueBounds;
use cowslip_core::server_gate::ServerGate;
use cowslip_core::server_gate::SlotOutcome;
use cowslip_core::server_run::ServerRun;
use cowslip_core::server_statement::ServerStatement;
use cowslip_core::server_statement::StatedRate;

const SLOTS: u32 = 9;
const RUN: &str = "run-1";

/// Span in which a server may get no more than `OVERAGE` times the calls that it
/// states, and `SLACK` more.
const SPAN: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(started_ms: Option<u64>) -> ServerRun {
    ServerRun {
        name: RUN.into(),
        started_ms,
    }
}

fn gate() -> ServerGate {
    let mut gate = ServerGate::default();
    gate.announce(AnnouncedServer {
        service: "records".into(),
        version: "v1".into(),
        slots: SLOTS,
    });
    gate.statements_mut().begin_run(Some(run(Some(1))));
    gate.configure(QueueBounds {
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

fn stating(rate: f64) -> ServerStatement {
    ServerStatement {
        rate: StatedRate::CallsPerSecond(rate),
        leaving: false,
    }
}

/// What happens to a server that states a limit, and to its node.
#[derive(Clone, Debug)]
enum LimitEvent {
    Offer {
        inner: bool,
    },
    Sent(prop::sample::Index),
    /// A connection to the server works again: all calls are sent at once.
    AllSent,
    Ended(prop::sample::Index),
    Reported,
    Wait(u64),
}

fn limit_event() -> impl Strategy<Value = LimitEvent> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        12 => any::<bool>().prop_map(|inner| LimitEvent::Offer { inner }),
        3 => index().prop_map(LimitEvent::Sent),
        3 => index().prop_map(LimitEvent::Ended),
        1 => Just(LimitEvent::Reported),
        1 => Just(LimitEvent::AllSent),
        4 => (1..800_u64).prop_map(LimitEvent::Wait),
    ]
}

/// A node and its server, which states the same limit in every answer.
struct LimitedServer {
    now: Duration,
    rate: f64,
    gate: ServerGate,
    next_ticket: u64,
    /// Calls that the gate started, with whether they were sent.
    running: BTreeMap<u64, bool>,
    sent_at: Vec<Duration>,
}

impl LimitedServer {
    fn new(rate: f64) -> Self {
        let mut server = Self {
            now: Duration::ZERO,
            rate,
            gate: gate(),
            next_ticket: 0,
            running: BTreeMap::new(),
            sent_at: Vec::new(),
        };
        server.state();
        server
    }

    fn state(&mut self) {
        let statement = stating(self.rate);
        let actions = self.gate.record_statement(self.now, self.now, statement);
        self.apply(actions);
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

    fn handle(&mut self, event: &LimitEvent) {
        match event {
            LimitEvent::Offer { inner } => {
                self.next_ticket += 1;
                let call = offered(*inner);
                let actions = self.gate.offer(self.now, self.next_ticket, call);
                self.apply(actions);
            }
            LimitEvent::Sent(which) => {
                let Some(ticket) = self.nth_running(*which) else {
                    return;
                };
                self.send(ticket);
                self.gate.record_sent(self.now, ticket);
            }
            LimitEvent::AllSent => {
                let tickets: Vec<u64> = self.running.keys().copied().collect();
                for ticket in tickets {
                    self.send(ticket);
                    self.gate.record_sent(self.now, ticket);
                }
            }
            LimitEvent::Ended(which) => {
                let Some(ticket) = self.nth_running(*which) else {
                    return;
                };
                // A call may be sent and end before the gate hears of either.
                self.send(ticket);
                self.running.remove(&ticket);
                let outcome = SlotOutcome::Answered(millis(20));
                let actions = self.gate.end(self.now, ticket, outcome);
                self.apply(actions);
                self.state();
            }
            // The first report of a run that a health check had found.
            LimitEvent::Reported => {
                self.gate.statements_mut().begin_run(Some(run(Some(1))))
            }
            LimitEvent::Wait(wait) => {
                self.now += millis(*wait);
                let actions = self.gate.wake(self.now);
                self.apply(actions);
            }
        }
    }
}

/// Returns the largest number of sends in any span.
fn most_in_a_span(sent_at: &[Duration]) -> usize {
    let mut most = 0;
    for (first, from) in sent_at.iter().enumerate() {
        let within = sent_at[first..].iter().take_while(|at| **at < *from + SPAN);
        most = most.max(within.count());
    }
    most
}

fn allowed(rate: f64) -> f64 {
    rate * SPAN.as_secs_f64() * OVERAGE + SLACK
}

proptest! {
    // Guards against more calls than a server states: calls that are sent long after
    // their grant, calls that waited, and inner calls that skip the queue.
    #[test]
    fn no_span_contains_more_sends_than_the_stated_rate_allows(
        rate in prop_oneof![Just(0.0), 0.2..3.0_f64, 3.0..40.0_f64],
        events in prop::collection::vec(limit_event(), 1..400)
    ) {
        let mut server = LimitedServer::new(rate);
        for event in &events {
            server.handle(event);
        }
        let most = most_in_a_span(&server.sent_at);
        prop_assert!(most as f64 <= allowed(rate), "{most} sends at {rate} a second");
    }
}

/// A server that states `rate` and gets `offered_rate` calls a second for some
/// seconds; each call takes 20 ms. Returns when calls were sent, and how long each
/// refused call waited for its refusal.
fn overload(rate: f64, offered_rate: u64) -> (Vec<Duration>, Vec<Duration>) {
    let mut server = LimitedServer::new(rate);
    let mut arrivals = BTreeMap::new();
    let mut refusal_waits = Vec::new();
    let mut ends: Vec<(Duration, u64)> = Vec::new();
    for step in 0..20_000_u64 {
        server.now = millis(step);
        let mut actions = server.gate.wake(server.now);
        ends.retain(|(at, ticket)| {
            if *at > server.now {
                return true;
            }
            let outcome = SlotOutcome::Answered(millis(20));
            actions.extend(server.gate.end(server.now, *ticket, outcome));
            false
        });
        if step % (1_000 / offered_rate) == 0 {
            server.next_ticket += 1;
            arrivals.insert(server.next_ticket, server.now);
            let call = offered(false);
            actions.extend(server.gate.offer(server.now, server.next_ticket, call));
        }
        for action in actions {
            match action {
                GateAction::Start(ticket) => {
                    server.gate.record_sent(server.now, ticket);
                    server.sent_at.push(server.now);
                    ends.push((server.now + millis(20), ticket));
                }
                GateAction::Refuse(ticket, _) => {
                    refusal_waits.push(server.now - arrivals[&ticket]);
                }
            }
        }
        server.state();
    }
    (server.sent_at, refusal_waits)
}

// Load pattern: a service whose servers all state limits, and more calls than these.
// Guards against capacity that is left unused, and against calls that wait for
// seconds although it is known that they cannot be sent.
#[test]
fn an_overloaded_server_gets_what_it_states_and_most_refusals_come_at_once() {
    for rate in [0.5, 1.1, 4.7, 24.0] {
        let (sent_at, mut refusal_waits) = overload(rate, 100);
        let taken = sent_at.len() as f64 / (rate * 20.0);
        assert!((0.9..=1.1).contains(&taken), "{taken} of {rate} a second");
        assert!(most_in_a_span(&sent_at) as f64 <= allowed(rate));
        refusal_waits.sort_unstable();
        let median = refusal_waits[refusal_waits.len() / 2];
        assert!(median <= millis(50), "{median:?} at {rate} a second");
    }
}

// Guards against a call that waits for a server although the server's limit does
// not let it be sent before its wait times out.
#[test]
fn a_call_that_cannot_be_sent_in_time_is_refused_at_once() {
    let mut server = LimitedServer::new(0.2);
    server.now = millis(100);
    let call = offered(false);
    let refused = vec![GateAction::Refuse(1, RefusalReason::QueueFull)];
    assert_eq!(server.gate.offer(server.now, 1, call), refused);
}

// Guards against calls that were queued before their server stated a limit and wait
// until they time out, when another server could no longer answer in time.
#[test]
fn a_queued_call_that_the_limit_keeps_too_long_is_refused_when_it_begins() {
    for queued_for in [0, 100, 300] {
        let mut gate = gate();
        let slots = u64::from(SLOTS);
        let call = || OfferedCall {
            target_left: None,
            ..offered(false)
        };
        for ticket in 0..slots + 6 {
            gate.offer(millis(1_000), ticket, call());
        }
        let stated_at = 1_000 + queued_for;
        let stated = gate.record_statement(
            millis(stated_at),
            millis(stated_at - 20),
            stating(3.0),
        );
        for action in &stated {
            let GateAction::Refuse(_, reason) = action else {
                panic!("started without a token: {action:?}");
            };
            assert_eq!(*reason, RefusalReason::QueueFull);
        }
        for ticket in 0..slots {
            gate.end(millis(stated_at), ticket, SlotOutcome::Answered(millis(50)));
        }
        let mut started = 0;
        for now in stated_at..stated_at + 2_000 {
            for action in gate.wake(millis(now)) {
                let GateAction::Start(ticket) = action else {
                    panic!("queued for {queued_for} ms: {action:?} at {now} ms");
                };
                gate.record_sent(millis(now), ticket);
                started += 1;
            }
        }
        assert!(started >= 1, "queued for {queued_for} ms");
    }
}

// Guards against a limit that is never lifted, and against one that is lifted by an
// answer that the server gave before it stated the limit.
#[test]
fn a_limit_ends_with_the_first_answer_that_was_asked_for_later_and_states_none() {
    let mut gate = gate();
    gate.record_statement(millis(100), millis(80), stating(5.0));
    let unlimited = ServerStatement::default();
    gate.record_statement(millis(110), millis(70), unlimited);
    assert_eq!(gate.statements().limit().rate(), Some(5.0));
    let unreadable = ServerStatement::parse(Some("few"), None);
    gate.record_statement(millis(120), millis(115), unreadable);
    assert_eq!(gate.statements().limit().rate(), Some(5.0));
    gate.record_statement(millis(130), millis(115), unlimited);
    assert_eq!(gate.statements().limit().rate(), None);
}

// Guards against a server that is held to the limit of its previous run, and against
// a limit that is forgotten when the first report of a run arrives.
#[test]
fn a_limit_belongs_to_one_run_of_the_server() {
    let mut gate = gate();
    gate.statements_mut().begin_run(Some(run(None)));
    gate.record_statement(millis(100), millis(80), stating(5.0));
    gate.statements_mut().begin_run(Some(run(Some(7))));
    assert_eq!(gate.statements().limit().rate(), Some(5.0));
    gate.statements_mut().begin_run(Some(run(Some(8))));
    assert_eq!(gate.statements().limit().rate(), None);
}

// Guards against calls that wait on although the server has no limit any more.
#[test]
fn calls_that_wait_for_a_limit_start_when_it_ends() {
    let mut server = LimitedServer::new(5.0);
    server.now = millis(20);
    assert_eq!(server.gate.offer(server.now, 1, offered(false)), vec![]);
    server.now = millis(40);
    let unlimited = ServerStatement::default();
    let started = server
        .gate
        .record_statement(server.now, millis(30), unlimited);
    assert_eq!(started, vec![GateAction::Start(1)]);
}

// Guards against a leaving server that gets calls again because it is announced once
// more, and against one whose next run gets none.
#[test]
fn a_leaving_run_gets_no_calls_until_another_run_begins() {
    let mut gate = gate();
    let server = gate.announced().cloned().expect("an announced server");
    let statement = ServerStatement {
        leaving: true,
        ..ServerStatement::default()
    };
    gate.record_statement(millis(100), millis(80), statement);
    gate.announce(server);
    assert!(gate.is_draining());
    let refused = vec![GateAction::Refuse(1, RefusalReason::Draining)];
    assert_eq!(gate.offer(millis(110), 1, offered(false)), refused);
    gate.statements_mut().begin_run(Some(run(Some(2))));
    assert!(!gate.is_draining());
    let started = vec![GateAction::Start(2)];
    assert_eq!(gate.offer(millis(120), 2, offered(false)), started);
}
