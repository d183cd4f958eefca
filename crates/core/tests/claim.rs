//! Claims: the call of a key runs at most once, whatever messages are lost and
//! whichever holders fail.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::claim::ByteBlob;
use cowslip_core::claim::ClaimHolder;
use cowslip_core::claim::ClaimKey;
use cowslip_core::claim::ClaimOutcome;
use cowslip_core::claim::ClaimProposal;
use cowslip_core::claim::ClaimReply;
use cowslip_core::claim::ClaimRequest;
use cowslip_core::claim::ClaimState;
use cowslip_core::claim::ClaimStep;
use cowslip_core::claim::ClaimSubject;
use cowslip_core::claim::KeptAnswer;
use cowslip_core::claim::KeyDigest;
use cowslip_core::claim::RunToken;
use cowslip_core::claim::CLOCK_SKEW;
use cowslip_core::claim::KEY_RETENTION;

/// Number of simulated holders; enough for both sets of a changing roster.
const HOLDERS: usize = 5;

/// Initial time of each simulation, long after the holders started.
const START_TIME: Duration = Duration::from_secs(1_000_000);

fn holder_name(holder: usize) -> Arc<str> {
    format!("holder-{holder}").into()
}

fn set(holders: [usize; 3]) -> Vec<Arc<str>> {
    holders.into_iter().map(holder_name).collect()
}

fn answer(text: &str) -> KeptAnswer {
    KeptAnswer {
        status: 200,
        headers: Vec::new(),
        body: ByteBlob::new(text.as_bytes()),
    }
}

fn request(text: &str) -> KeyDigest {
    KeyDigest::of(&[text.as_bytes()])
}

/// A message in flight between a claimant and a holder, in either direction.
#[derive(Clone, Debug)]
enum NetworkMessage {
    Request(usize, usize, ClaimRequest),
    Reply(usize, usize, ClaimReply),
}

/// Whether a claimant's call ran, and whether its caller was answered "not
/// run".
#[derive(Debug, Default)]
struct CallRecord {
    key: usize,
    ran: bool,
    answered_not_run: bool,
}

/// Simulates holders, claimants and the messages between them.
struct ClaimSimulation {
    now: Duration,
    created_ms: BTreeMap<usize, u64>,
    holders: Vec<ClaimHolder>,
    claimants: Vec<Option<ClaimProposal>>,
    calls: Vec<CallRecord>,
    in_flight: Vec<NetworkMessage>,
}

impl ClaimSimulation {
    fn new() -> Self {
        let mut holders = Vec::new();
        for _ in 0..HOLDERS {
            holders.push(ClaimHolder::new(Duration::ZERO));
        }
        Self {
            now: START_TIME,
            created_ms: BTreeMap::new(),
            holders,
            claimants: Vec::new(),
            calls: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    /// Even keys contain their creation time, which is ahead by the clock skew.
    fn key(&mut self, key: usize) -> ClaimKey {
        let mut claim_key = ClaimKey::new("anna", "/contracts", &format!("key-{key}"));
        if key.is_multiple_of(2) {
            let latest = (self.now + CLOCK_SKEW).as_millis() as u64;
            claim_key.created_ms = Some(*self.created_ms.entry(key).or_insert(latest));
        }
        claim_key
    }

    fn claim(&mut self, key: usize, holder_sets: Vec<Vec<Arc<str>>>) -> usize {
        let at = self.claimants.len();
        let subject = ClaimSubject {
            key: self.key(key),
            request: request("sale"),
            token: RunToken {
                node: "entry".into(),
                incarnation: 1,
                serial: at as u64,
            },
            holder_sets,
        };
        let mut proposal = ClaimProposal::claim(subject);
        let step = proposal.begin();
        self.claimants.push(Some(proposal));
        self.calls.push(CallRecord {
            key,
            ..CallRecord::default()
        });
        self.apply_step(at, step);
        at
    }

    fn apply_step(&mut self, at: usize, step: ClaimStep) {
        let mut step = step;
        while step == ClaimStep::Pause {
            let Some(proposal) = &mut self.claimants[at] else {
                return;
            };
            step = proposal.begin();
        }
        match step {
            ClaimStep::Send(request) => self.send(at, &request),
            ClaimStep::Done(outcome) => self.complete(at, outcome),
            ClaimStep::Wait | ClaimStep::Pause => {}
        }
    }

    fn send(&mut self, at: usize, request: &ClaimRequest) {
        let Some(proposal) = &self.claimants[at] else {
            return;
        };
        for holder in proposal.holders() {
            let number = (0..HOLDERS).find(|number| holder_name(*number) == holder);
            let number = number.expect("a holder of the test");
            self.in_flight
                .push(NetworkMessage::Request(at, number, request.clone()));
        }
    }

    /// Of the granted calls one third is refused by the backend server before
    /// it runs, one third runs and loses its answer, and one third is answered.
    fn complete(&mut self, at: usize, outcome: ClaimOutcome) {
        let Some(proposal) = self.claimants[at].take() else {
            return;
        };
        match (outcome, at % 3) {
            (ClaimOutcome::Granted, 0) => {
                self.calls[at].answered_not_run = true;
                let (ending, request) = proposal.end_granted(ClaimState::Released);
                self.claimants[at] = Some(ending);
                self.send(at, &request);
            }
            (ClaimOutcome::Granted, 1) => self.calls[at].ran = true,
            (ClaimOutcome::Granted, _) => {
                self.calls[at].ran = true;
                let state = ClaimState::Answered(answer("receipt"));
                let (ending, request) = proposal.end_granted(state);
                self.claimants[at] = Some(ending);
                self.send(at, &request);
            }
            (ClaimOutcome::NoMajority, _) if self.is_open(at) => {
                self.calls[at].answered_not_run = true;
                let mut ending = proposal.end(ClaimState::Released);
                let step = ending.begin();
                self.claimants[at] = Some(ending);
                if let ClaimStep::Send(request) = step {
                    self.send(at, &request);
                }
            }
            _ => {}
        }
    }

    /// True while the caller has no answer.
    fn is_open(&self, at: usize) -> bool {
        !self.calls[at].ran && !self.calls[at].answered_not_run
    }

    fn deliver(&mut self, message: NetworkMessage) {
        match message {
            NetworkMessage::Request(at, holder, request) => {
                let reply = self.holders[holder].handle(self.now, request);
                self.in_flight
                    .push(NetworkMessage::Reply(at, holder, reply));
            }
            NetworkMessage::Reply(at, holder, reply) => {
                let Some(proposal) = &mut self.claimants[at] else {
                    return;
                };
                let step = proposal.handle(&holder_name(holder), reply);
                self.apply_step(at, step);
            }
        }
    }

    /// Delivers all messages in order until none is in flight.
    fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            let message = self.in_flight.remove(0);
            self.deliver(message);
        }
    }

    fn claim_outcome(&mut self, key: ClaimKey, text: &str, serial: u64) -> ClaimOutcome {
        let subject = ClaimSubject {
            key,
            request: request(text),
            token: RunToken {
                node: "other".into(),
                incarnation: 1,
                serial,
            },
            holder_sets: vec![set([0, 1, 2])],
        };
        let mut proposal = ClaimProposal::claim(subject);
        let mut step = proposal.begin();
        loop {
            let request = match step {
                ClaimStep::Send(request) => request,
                ClaimStep::Done(outcome) => return outcome,
                ClaimStep::Pause => {
                    step = proposal.begin();
                    continue;
                }
                ClaimStep::Wait => panic!("every holder has answered"),
            };
            step = ClaimStep::Wait;
            for holder in 0..3 {
                let reply = self.holders[holder].handle(self.now, request.clone());
                if step == ClaimStep::Wait {
                    step = proposal.handle(&holder_name(holder), reply);
                }
            }
        }
    }
}

/// An event of the simulation. The index of a message event selects one of the
/// messages in flight.
#[derive(Clone, Copy, Debug)]
enum SimulationEvent {
    Claim(usize, bool),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    TimeOut(usize, usize),
    Crash(usize),
    Advance(u64),
}

fn events() -> impl Strategy<Value = Vec<SimulationEvent>> {
    let pick = 0..1_000_usize;
    let event = prop_oneof![
        3 => (0..2_usize, any::<bool>())
            .prop_map(|(key, late)| SimulationEvent::Claim(key, late)),
        24 => pick.clone().prop_map(SimulationEvent::Deliver),
        3 => pick.clone().prop_map(SimulationEvent::Duplicate),
        3 => pick.clone().prop_map(SimulationEvent::Drop),
        2 => (pick, 0..HOLDERS)
            .prop_map(|(at, holder)| SimulationEvent::TimeOut(at, holder)),
        1 => (0..HOLDERS).prop_map(SimulationEvent::Crash),
        1 => (1..3_000_u64).prop_map(SimulationEvent::Advance),
    ];
    prop::collection::vec(event, 1..160)
}

fn apply_event(
    simulation: &mut ClaimSimulation,
    event: SimulationEvent,
    views: &[Vec<Vec<Arc<str>>>; 2],
) {
    let in_flight = simulation.in_flight.len();
    match event {
        SimulationEvent::Claim(key, late) => {
            simulation.claim(key, views[usize::from(late)].clone());
        }
        SimulationEvent::Deliver(pick) if in_flight > 0 => {
            let message = simulation.in_flight.swap_remove(pick % in_flight);
            simulation.deliver(message);
        }
        SimulationEvent::Duplicate(pick) if in_flight > 0 => {
            let message = simulation.in_flight[pick % in_flight].clone();
            simulation.deliver(message);
        }
        SimulationEvent::Drop(pick) if in_flight > 0 => {
            simulation.in_flight.swap_remove(pick % in_flight);
        }
        SimulationEvent::TimeOut(pick, holder) if !simulation.claimants.is_empty() => {
            let at = pick % simulation.claimants.len();
            if let Some(proposal) = &mut simulation.claimants[at] {
                let step = proposal.holder_unavailable(&holder_name(holder));
                simulation.apply_step(at, step);
            }
        }
        SimulationEvent::Crash(holder) => {
            simulation.holders[holder] = ClaimHolder::new(simulation.now);
        }
        SimulationEvent::Advance(millis) => {
            simulation.now += Duration::from_millis(millis)
        }
        _ => {}
    }
}

/// Two views of the roster that entry nodes may have at the same time: both
/// before a change, before and during it, or during and after it.
fn views() -> impl Strategy<Value = [Vec<Vec<Arc<str>>>; 2]> {
    let before = set([0, 1, 2]);
    let after = set([0, 3, 4]);
    let during = vec![after.clone(), before.clone()];
    prop_oneof![
        Just([vec![before.clone()], vec![before.clone()]]),
        Just([vec![before], during.clone()]),
        Just([during, vec![after]]),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    // Guards against a second run of a call that is resent through other nodes
    // while messages are lost, duplicated and reordered, holders restart
    // without their records and the roster changes. A second run invoices a
    // batch sale twice. A caller that is answered "not run" although the call
    // ran would order again.
    #[test]
    fn every_key_runs_at_most_once(events in events(), views in views()) {
        let mut simulation = ClaimSimulation::new();
        for event in events {
            apply_event(&mut simulation, event, &views);
        }
        simulation.deliver_all();
        let mut runs: BTreeMap<usize, usize> = BTreeMap::new();
        for call in &simulation.calls {
            prop_assert!(!(call.ran && call.answered_not_run), "{:?}", call);
            *runs.entry(call.key).or_default() += usize::from(call.ran);
        }
        for (key, runs) in runs {
            prop_assert!(runs <= 1, "key {} ran {} times", key, runs);
        }
    }

    // Without faults the first claim of a key is granted, and a later one is
    // answered that the call may have run.
    #[test]
    fn a_claim_without_faults_is_granted_once(serial in 0..1_000_u64) {
        let mut simulation = ClaimSimulation::new();
        let key = simulation.key(1);
        let first = simulation.claim_outcome(key, "sale", serial);
        prop_assert_eq!(first, ClaimOutcome::Granted);
        let again = simulation.claim_outcome(key, "sale", serial + 1);
        prop_assert_eq!(again, ClaimOutcome::Unanswered);
    }
}

// The answer to a sale is lost on the way to the caller, which resends the
// call through another node: the resend must get the complete first answer.
// The same key with a different body is a caller's error and is reported.
#[test]
fn a_resend_gets_the_first_answer() {
    let mut simulation = ClaimSimulation::new();
    // Only the third claimant of the simulation is answered.
    simulation.claim(3, vec![set([0, 1, 2])]);
    simulation.claim(5, vec![set([0, 1, 2])]);
    simulation.claim(1, vec![set([0, 1, 2])]);
    simulation.deliver_all();
    let key = simulation.key(1);
    let again = simulation.claim_outcome(key, "sale", 1);
    assert_eq!(again, ClaimOutcome::Answered(answer("receipt")));
    let other = simulation.claim_outcome(key, "another sale", 2);
    assert_eq!(other, ClaimOutcome::KeyReused);
}

// A call was claimed and then refused without running because no slot was
// free. When the caller resends it, the key must be grantable again.
#[test]
fn a_released_key_is_granted_again() {
    let mut simulation = ClaimSimulation::new();
    simulation.claim(1, vec![set([0, 1, 2])]);
    simulation.deliver_all();
    assert!(simulation.calls[0].answered_not_run);
    let key = simulation.key(1);
    assert_eq!(
        simulation.claim_outcome(key, "sale", 1),
        ClaimOutcome::Granted
    );
}

// Two of a key's three holders restart at once and lose their records. Claims
// of the old key are refused until its retention has passed, while a key that
// was created after the restart is granted.
#[test]
fn holders_restarted_without_records_abstain_on_old_keys() {
    let mut simulation = ClaimSimulation::new();
    let key = simulation.key(1);
    assert_eq!(
        simulation.claim_outcome(key, "sale", 1),
        ClaimOutcome::Granted
    );
    for holder in 0..2 {
        simulation.holders[holder] = ClaimHolder::new(simulation.now);
    }
    assert_eq!(
        simulation.claim_outcome(key, "sale", 2),
        ClaimOutcome::NoMajority
    );
    let mut new_key = ClaimKey::new("anna", "/contracts", "young");
    let later = simulation.now + 2 * CLOCK_SKEW + Duration::from_millis(1);
    new_key.created_ms = Some(later.as_millis() as u64);
    assert_eq!(
        simulation.claim_outcome(new_key, "sale", 3),
        ClaimOutcome::Granted
    );
    simulation.now += KEY_RETENTION + CLOCK_SKEW;
    assert_eq!(
        simulation.claim_outcome(key, "sale", 4),
        ClaimOutcome::Granted
    );
}

// A failure domain fails, and with it one holder of each key. The other two
// holders form a majority and still know the earlier claim.
#[test]
fn a_claim_is_still_known_after_one_holder_fails() {
    for lost in 0..3 {
        let mut simulation = ClaimSimulation::new();
        let key = simulation.key(1);
        assert_eq!(
            simulation.claim_outcome(key, "sale", 1),
            ClaimOutcome::Granted
        );
        simulation.holders[lost] = ClaimHolder::new(simulation.now);
        assert_eq!(
            simulation.claim_outcome(key, "sale", 2),
            ClaimOutcome::Unanswered
        );
    }
}

// Guards against a holder's memory growing with its uptime: keys are evicted
// after their retention, so the memory is bounded by the rate of calls.
#[test]
fn evicted_keys_free_their_memory() {
    let mut simulation = ClaimSimulation::new();
    for serial in 0..100 {
        let key = ClaimKey::new("anna", "/contracts", &format!("key-{serial}"));
        simulation.claim_outcome(key, "sale", serial);
    }
    assert_eq!(simulation.holders[0].keys(), 100);
    simulation.now += 2 * KEY_RETENTION;
    let key = simulation.key(1);
    simulation.claim_outcome(key, "sale", 100);
    assert_eq!(simulation.holders[0].keys(), 1);
}
