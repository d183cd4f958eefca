//! Statements of backend servers while the nodes beside them, the entry nodes and the
//! servers themselves restart.

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
use cowslip_core::server_notice::ServerNotice;
use cowslip_core::server_notice::ServerNotices;
use cowslip_core::server_run::ServerRun;
use cowslip_core::server_statement::ServerStatement;
use cowslip_core::server_statement::StatedRate;

const INSTANCE: &str = "node-1";
const ENTRIES: usize = 3;

/// Span in which a server may get no more than `OVERAGE` times the calls that it
/// states, and `SLACK` more, from entry nodes that have known for `NOTICE_TIME`.
const SPAN: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Time after which a call of an entry node that knows that the server is leaving
/// must not reach it.
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn offered() -> OfferedCall {
    OfferedCall {
        service: "records".into(),
        route: "/prices".into(),
        customer: "".into(),
        priority: CallPriority::Normal,
        waited: Duration::ZERO,
        left: millis(3_000),
        target_left: None,
        wait_max: None,
        inner: false,
        repeats: RepeatProbability::FIRST,
    }
}

fn gate(run: ServerRun) -> ServerGate {
    let mut gate = ServerGate::default();
    gate.announce(AnnouncedServer {
        service: "records".into(),
        version: "v1".into(),
        slots: 9,
    });
    gate.statements_mut().begin_run(Some(run));
    gate.configure(QueueBounds {
        slots_floor: 100,
        ..QueueBounds::default()
    });
    gate
}

#[derive(Clone, Debug)]
enum NoticeEvent {
    Call(usize),
    Ended(prop::sample::Index),
    /// Connections work again: all granted calls are sent.
    AllSent,
    Wait(u64),
    /// The node beside the server restarts and finds the server by its health page
    /// or by a report.
    NodeRestarted {
        reported: bool,
    },
    EntryRestarted(usize),
    ServerStates,
    ServerUnlimited,
    ServerLeaves,
    /// The server restarts, possibly under the same name.
    ServerRestarted {
        same_name: bool,
    },
}

fn notice_event() -> impl Strategy<Value = NoticeEvent> {
    prop_oneof![
        14 => (0..ENTRIES).prop_map(NoticeEvent::Call),
        8 => any::<prop::sample::Index>().prop_map(NoticeEvent::Ended),
        3 => Just(NoticeEvent::AllSent),
        6 => (1..800_u64).prop_map(NoticeEvent::Wait),
        1 => any::<bool>().prop_map(|reported| NoticeEvent::NodeRestarted { reported }),
        1 => (0..ENTRIES).prop_map(NoticeEvent::EntryRestarted),
        2 => Just(NoticeEvent::ServerStates),
        1 => Just(NoticeEvent::ServerUnlimited),
        1 => Just(NoticeEvent::ServerLeaves),
        1 => any::<bool>().prop_map(|same_name| NoticeEvent::ServerRestarted { same_name }),
    ]
}

/// What an entry node has passed on to callers about the current run.
#[derive(Default)]
struct FakeEntry {
    notices: ServerNotices,
    heard_limit: Option<Duration>,
    heard_leaving: Option<Duration>,
}

#[derive(Clone, Copy)]
struct RunningCall {
    entry: usize,
    called_at: Duration,
    sent_at: Option<Duration>,
}

struct FakeServer {
    now: Duration,
    rate: f64,
    run: ServerRun,
    statement: ServerStatement,
    gate: ServerGate,
    node_started: Duration,
    entries: Vec<FakeEntry>,
    next_ticket: u64,
    running: BTreeMap<u64, RunningCall>,
    /// Calls that wait at the gate.
    waiting: BTreeMap<u64, RunningCall>,
    /// Arrivals that the limit counts, of the current run.
    counted: Vec<Duration>,
    faults: Vec<String>,
}

impl FakeServer {
    fn new(rate: f64) -> Self {
        let run = ServerRun {
            name: "run-1".into(),
            started_ms: Some(1),
        };
        Self {
            now: Duration::ZERO,
            rate,
            gate: gate(run.clone()),
            run,
            statement: ServerStatement::default(),
            node_started: Duration::ZERO,
            entries: (0..ENTRIES).map(|_| FakeEntry::default()).collect(),
            next_ticket: 0,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            counted: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn node_now(&self) -> Duration {
        self.now - self.node_started
    }

    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start(ticket) => {
                    if let Some(call) = self.waiting.remove(&ticket) {
                        self.running.insert(ticket, call);
                    }
                }
                GateAction::Refuse(ticket, _) => {
                    self.waiting.remove(&ticket);
                }
            }
        }
    }

    fn call(&mut self, entry: usize) {
        self.next_ticket += 1;
        let call = RunningCall {
            entry,
            called_at: self.now,
            sent_at: None,
        };
        let now = self.node_now();
        // The notice travels as text.
        let notice = self.entries[entry].notices.get(INSTANCE);
        let notice = notice.map(ToString::to_string);
        let notice = notice.map(|text| ServerNotice::parse(&text).expect("a notice"));
        if let Some(notice) = notice {
            if self
                .gate
                .statements_mut()
                .apply_notice(now, &notice)
                .is_err()
            {
                return;
            }
        }
        self.waiting.insert(self.next_ticket, call);
        let actions = self.gate.offer(now, self.next_ticket, offered());
        self.apply(actions);
    }

    fn send(&mut self, ticket: u64) {
        let now = self.now;
        let Some(call) = self.running.get_mut(&ticket) else {
            return;
        };
        if call.sent_at.is_some() {
            return;
        }
        call.sent_at = Some(now);
        let call = *call;
        let entry = &self.entries[call.entry];
        let heard_leaving = entry.heard_leaving;
        if heard_leaving.is_some_and(|at| call.called_at > at + DRAIN_TIME) {
            self.faults
                .push(format!("a call to a leaving server at {now:?}"));
        }
        if entry.heard_limit.is_some_and(|at| now >= at + NOTICE_TIME) {
            self.counted.push(now);
        }
    }

    fn send_all(&mut self) {
        let tickets: Vec<u64> = self.running.keys().copied().collect();
        let now = self.node_now();
        for ticket in tickets {
            self.send(ticket);
            self.gate.record_sent(now, ticket);
        }
    }

    fn end(&mut self, ticket: u64) {
        self.send(ticket);
        let call = self.running.remove(&ticket).expect("a running call");
        let now = self.node_now();
        let sent_at = call.sent_at.expect("a sent call");
        let sent_at = sent_at.saturating_sub(self.node_started);
        if !self.statement.is_empty() || self.gate.statements().limit().rate().is_some() {
            let actions = self.gate.record_statement(now, sent_at, self.statement);
            self.apply(actions);
        }
        let outcome = SlotOutcome::Answered(millis(20));
        let actions = self.gate.end(now, ticket, outcome);
        self.apply(actions);
        let entry = &mut self.entries[call.entry];
        match ServerNotice::of(self.run.clone(), self.statement) {
            Some(notice) => entry.notices.keep(self.now, INSTANCE.into(), notice),
            None => entry.notices.record_answer(call.called_at, INSTANCE),
        }
        if self.statement.rate == StatedRate::CallsPerSecond(self.rate) {
            entry.heard_limit.get_or_insert(self.now);
        }
        if self.statement.leaving {
            entry.heard_leaving.get_or_insert(self.now);
        }
    }

    fn restart_server(&mut self, same_name: bool) {
        let started_ms = self.run.started_ms.map(|started| started + 1);
        if !same_name {
            self.run.name = format!("run-{started_ms:?}").into();
        }
        self.run.started_ms = started_ms;
        self.statement = ServerStatement::default();
        self.drop_calls();
        self.check_span();
        self.counted.clear();
        for entry in &mut self.entries {
            entry.heard_limit = None;
            entry.heard_leaving = None;
        }
        self.gate.statements_mut().begin_run(Some(self.run.clone()));
    }

    /// Ends all running calls without an answer.
    fn drop_calls(&mut self) {
        let now = self.node_now();
        for (ticket, _) in std::mem::take(&mut self.running) {
            let actions = self.gate.end(now, ticket, SlotOutcome::Abandoned);
            self.apply(actions);
        }
    }

    fn restart_node(&mut self, reported: bool) {
        self.node_started = self.now;
        let mut run = self.run.clone();
        if !reported {
            run.started_ms = None;
        }
        self.gate = gate(run);
        self.running.clear();
        self.waiting.clear();
    }

    /// Checks the calls of the current run against its limit.
    fn check_span(&mut self) {
        let mut most = 0;
        for (first, from) in self.counted.iter().enumerate() {
            let later = self.counted[first..].iter();
            most = most.max(later.take_while(|at| **at < *from + SPAN).count());
        }
        let allowed = self.rate * SPAN.as_secs_f64() * OVERAGE + SLACK;
        if most as f64 > allowed {
            let fault = format!("{most} calls in a span, {allowed} allowed");
            self.faults.push(fault);
        }
    }

    fn handle(&mut self, event: &NoticeEvent) {
        match event {
            NoticeEvent::Call(entry) => self.call(*entry),
            NoticeEvent::Ended(which) => {
                let tickets: Vec<u64> = self.running.keys().copied().collect();
                if !tickets.is_empty() {
                    self.end(*which.get(&tickets));
                }
            }
            NoticeEvent::AllSent => self.send_all(),
            NoticeEvent::Wait(wait) => {
                self.now += millis(*wait);
                let actions = self.gate.wake(self.node_now());
                self.apply(actions);
            }
            NoticeEvent::NodeRestarted { reported } => self.restart_node(*reported),
            NoticeEvent::EntryRestarted(entry) => {
                self.entries[*entry] = FakeEntry::default();
            }
            NoticeEvent::ServerStates => {
                self.statement.rate = StatedRate::CallsPerSecond(self.rate);
            }
            NoticeEvent::ServerUnlimited => {
                self.statement.rate = StatedRate::Unlimited;
                self.check_span();
                self.counted.clear();
                for entry in &mut self.entries {
                    entry.heard_limit = None;
                }
            }
            NoticeEvent::ServerLeaves => self.statement.leaving = true,
            NoticeEvent::ServerRestarted { same_name } => {
                self.restart_server(*same_name);
            }
        }
    }
}

proptest! {
    // Guards against a node that restarts beside a server and sends it calls of entry
    // nodes that have heard it state a limit, or that it is leaving.
    #[test]
    fn entry_nodes_that_heard_a_statement_keep_it_through_restarts(
        rate in 0.2..12.0_f64,
        events in prop::collection::vec(notice_event(), 1..500)
    ) {
        let mut server = FakeServer::new(rate);
        for event in &events {
            server.handle(event);
        }
        server.check_span();
        prop_assert!(server.faults.is_empty(), "{:?}", server.faults);
    }

    #[test]
    fn a_notice_is_read_as_it_was_written(
        name in "[ -~]{0,40}",
        started_ms in prop::option::of(any::<u64>()),
        rate in prop::option::of(0.0..1e6_f64),
        leaving in any::<bool>(),
    ) {
        let notice = ServerNotice {
            run: ServerRun { name: name.into(), started_ms },
            statement: ServerStatement {
                rate: rate.map_or(StatedRate::Unlimited, StatedRate::CallsPerSecond),
                leaving,
            },
        };
        prop_assert_eq!(ServerNotice::parse(&notice.to_string()), Some(notice));
    }

    #[test]
    fn text_that_is_no_notice_is_refused_without_a_panic(text in "\\PC{0,60}") {
        let _ = ServerNotice::parse(&text);
    }
}

// Guards against a node that sends a server with a low limit a slot's worth of calls
// each time it restarts, before the server's first answer.
#[test]
fn a_limit_holds_between_a_restart_and_the_first_answer() {
    let mut server = FakeServer::new(0.5);
    server.statement.rate = StatedRate::CallsPerSecond(server.rate);
    for entry in 0..ENTRIES {
        server.call(entry);
    }
    for ticket in 1..=ENTRIES as u64 {
        server.end(ticket);
    }
    assert!(server
        .entries
        .iter()
        .all(|entry| entry.heard_limit.is_some()));
    server.now += NOTICE_TIME;
    for _ in 0..3 {
        server.restart_node(false);
        for call in 0..10 {
            server.call(call % ENTRIES);
        }
        server.send_all();
        server.now += NOTICE_TIME;
    }
    server.check_span();
    assert!(server.faults.is_empty(), "{:?}", server.faults);
}

// Guards against a restarted server that gets no calls because an entry node still
// repeats what its previous run stated.
#[test]
fn an_answer_without_a_statement_ends_what_was_heard_before() {
    let mut notices = ServerNotices::default();
    let run = ServerRun {
        name: "run-1".into(),
        started_ms: None,
    };
    let statement = ServerStatement {
        leaving: true,
        ..ServerStatement::default()
    };
    let notice = ServerNotice::of(run, statement).expect("a notice");
    notices.keep(millis(100), INSTANCE.into(), notice);
    // This call was planned before the statement was heard.
    notices.record_answer(millis(90), INSTANCE);
    assert!(notices.get(INSTANCE).is_some());
    notices.record_answer(millis(110), INSTANCE);
    assert!(notices.get(INSTANCE).is_none());
}

// Guards against a limit that outlives its end: an entry node that has not heard of
// the end repeats it to a node that has.
#[test]
fn a_notice_sets_no_limit_once_the_server_has_answered() {
    let run = ServerRun {
        name: "run-1".into(),
        started_ms: Some(1),
    };
    let statement = ServerStatement {
        rate: StatedRate::CallsPerSecond(2.0),
        leaving: false,
    };
    let notice = ServerNotice::of(run.clone(), statement).expect("a notice");
    let mut gate = gate(run);
    assert_eq!(
        gate.statements_mut().apply_notice(millis(10), &notice),
        Ok(())
    );
    assert_eq!(gate.statements().limit().rate(), Some(2.0));
    gate.record_statement(millis(60), millis(20), ServerStatement::default());
    assert_eq!(
        gate.statements_mut().apply_notice(millis(70), &notice),
        Ok(())
    );
    assert_eq!(gate.statements().limit().rate(), None);
}

// Guards against a node that believes what was stated by an earlier run.
#[test]
fn a_notice_of_another_run_changes_nothing() {
    let statement = ServerStatement {
        rate: StatedRate::CallsPerSecond(2.0),
        leaving: true,
    };
    let earlier = ServerRun {
        name: "run-1".into(),
        started_ms: Some(1),
    };
    let later = ServerRun {
        started_ms: Some(2),
        ..earlier.clone()
    };
    let notice = ServerNotice::of(earlier.clone(), statement).expect("a notice");
    let mut gate = gate(later);
    assert_eq!(
        gate.statements_mut().apply_notice(millis(10), &notice),
        Ok(())
    );
    assert_eq!(gate.statements().limit().rate(), None);
    gate.statements_mut().begin_run(Some(earlier));
    let refused = gate.statements_mut().apply_notice(millis(20), &notice);
    assert_eq!(refused, Err(RefusalReason::Draining));
}
