//! Claims: each key runs at most once, whatever the network and the
//! holders do.

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

/// Holders in play, among them both sets of a roster that changes.
const HOLDERS: usize = 5;

/// Start of every test's clock; long after the holders' own start.
const BEGAN: Duration = Duration::from_secs(1_000_000);

fn name(holder: usize) -> Arc<str> {
    format!("holder-{holder}").into()
}

fn set(holders: [usize; 3]) -> Vec<Arc<str>> {
    holders.into_iter().map(name).collect()
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

/// A message on its way, either way, between a claimant and a holder.
#[derive(Clone, Debug)]
enum Flight {
    Asked(usize, usize, ClaimRequest),
    Replied(usize, usize, ClaimReply),
}

/// What a claimant's caller gets, and whether its call ran.
#[derive(Debug, Default)]
struct CallRecord {
    key: usize,
    ran: bool,
    told_not_run: bool,
}

/// Holders, claimants and the messages between them.
struct ClaimWorld {
    now: Duration,
    born: BTreeMap<usize, u64>,
    holders: Vec<ClaimHolder>,
    claimants: Vec<Option<ClaimProposal>>,
    calls: Vec<CallRecord>,
    flights: Vec<Flight>,
}

impl ClaimWorld {
    fn new() -> Self {
        let mut holders = Vec::new();
        for _ in 0..HOLDERS {
            holders.push(ClaimHolder::new(Duration::ZERO));
        }
        Self {
            now: BEGAN,
            born: BTreeMap::new(),
            holders,
            claimants: Vec::new(),
            calls: Vec::new(),
            flights: Vec::new(),
        }
    }

    /// Even keys tell when they were made, up to a clock's skew too late.
    fn key(&mut self, key: usize) -> ClaimKey {
        let mut named = ClaimKey::new("anna", "/contracts", &format!("key-{key}"));
        if key.is_multiple_of(2) {
            let latest = (self.now + CLOCK_SKEW).as_millis() as u64;
            named.created_ms = Some(*self.born.entry(key).or_insert(latest));
        }
        named
    }

    fn claim(&mut self, key: usize, sets: Vec<Vec<Arc<str>>>) -> usize {
        let at = self.claimants.len();
        let subject = ClaimSubject {
            key: self.key(key),
            request: request("sale"),
            token: RunToken {
                node: "entry".into(),
                incarnation: 1,
                serial: at as u64,
            },
            sets,
        };
        let mut proposal = ClaimProposal::claim(subject);
        let step = proposal.begin();
        self.claimants.push(Some(proposal));
        self.calls.push(CallRecord {
            key,
            ..CallRecord::default()
        });
        self.take(at, step);
        at
    }

    fn take(&mut self, at: usize, step: ClaimStep) {
        let mut step = step;
        while step == ClaimStep::Pause {
            let Some(proposal) = &mut self.claimants[at] else {
                return;
            };
            step = proposal.begin();
        }
        match step {
            ClaimStep::Send(request) => self.send(at, &request),
            ClaimStep::Done(outcome) => self.done(at, outcome),
            ClaimStep::Wait | ClaimStep::Pause => {}
        }
    }

    fn send(&mut self, at: usize, request: &ClaimRequest) {
        let Some(proposal) = &self.claimants[at] else {
            return;
        };
        for holder in proposal.holders() {
            let number = (0..HOLDERS).find(|number| name(*number) == holder);
            let number = number.expect("a holder of the test");
            self.flights
                .push(Flight::Asked(at, number, request.clone()));
        }
    }

    /// Every third granted call is refused by its backend server before it
    /// runs, every third loses its answer, the others are answered.
    fn done(&mut self, at: usize, outcome: ClaimOutcome) {
        let Some(proposal) = self.claimants[at].take() else {
            return;
        };
        match (outcome, at % 3) {
            (ClaimOutcome::Granted, 0) => {
                self.calls[at].told_not_run = true;
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
                self.calls[at].told_not_run = true;
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

    /// True while the call's caller has not been told anything.
    fn is_open(&self, at: usize) -> bool {
        !self.calls[at].ran && !self.calls[at].told_not_run
    }

    fn deliver(&mut self, flight: Flight) {
        match flight {
            Flight::Asked(at, holder, request) => {
                let reply = self.holders[holder].handle(self.now, request);
                self.flights.push(Flight::Replied(at, holder, reply));
            }
            Flight::Replied(at, holder, reply) => {
                let Some(proposal) = &mut self.claimants[at] else {
                    return;
                };
                let step = proposal.handle(&name(holder), reply);
                self.take(at, step);
            }
        }
    }

    /// Delivers everything in order until nothing is on its way.
    fn settle(&mut self) {
        while !self.flights.is_empty() {
            let flight = self.flights.remove(0);
            self.deliver(flight);
        }
    }

    fn outcome(&mut self, key: ClaimKey, text: &str, serial: u64) -> ClaimOutcome {
        let subject = ClaimSubject {
            key,
            request: request(text),
            token: RunToken {
                node: "other".into(),
                incarnation: 1,
                serial,
            },
            sets: vec![set([0, 1, 2])],
        };
        let mut proposal = ClaimProposal::claim(subject);
        let mut step = proposal.begin();
        loop {
            let asked = match step {
                ClaimStep::Send(asked) => asked,
                ClaimStep::Done(outcome) => return outcome,
                ClaimStep::Pause => {
                    step = proposal.begin();
                    continue;
                }
                ClaimStep::Wait => panic!("every holder has answered"),
            };
            step = ClaimStep::Wait;
            for holder in 0..3 {
                let reply = self.holders[holder].handle(self.now, asked.clone());
                if step == ClaimStep::Wait {
                    step = proposal.handle(&name(holder), reply);
                }
            }
        }
    }
}

/// One thing that happens; the number picks among what there is.
#[derive(Clone, Copy, Debug)]
enum WorldStep {
    Claim(usize, bool),
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    GiveUp(usize, usize),
    Crash(usize),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<WorldStep>> {
    let pick = 0..1_000_usize;
    let step = prop_oneof![
        3 => (0..2_usize, any::<bool>()).prop_map(|(key, late)| WorldStep::Claim(key, late)),
        24 => pick.clone().prop_map(WorldStep::Deliver),
        3 => pick.clone().prop_map(WorldStep::Repeat),
        3 => pick.clone().prop_map(WorldStep::Lose),
        2 => (pick, 0..HOLDERS).prop_map(|(at, holder)| WorldStep::GiveUp(at, holder)),
        1 => (0..HOLDERS).prop_map(WorldStep::Crash),
        1 => (1..3_000_u64).prop_map(WorldStep::Advance),
    ];
    prop::collection::vec(step, 1..160)
}

fn run(world: &mut ClaimWorld, step: WorldStep, views: &[Vec<Vec<Arc<str>>>; 2]) {
    let flights = world.flights.len();
    match step {
        WorldStep::Claim(key, late) => {
            world.claim(key, views[usize::from(late)].clone());
        }
        WorldStep::Deliver(pick) if flights > 0 => {
            let flight = world.flights.swap_remove(pick % flights);
            world.deliver(flight);
        }
        WorldStep::Repeat(pick) if flights > 0 => {
            let flight = world.flights[pick % flights].clone();
            world.deliver(flight);
        }
        WorldStep::Lose(pick) if flights > 0 => {
            world.flights.swap_remove(pick % flights);
        }
        WorldStep::GiveUp(pick, holder) if !world.claimants.is_empty() => {
            let at = pick % world.claimants.len();
            if let Some(proposal) = &mut world.claimants[at] {
                let step = proposal.holder_unavailable(&name(holder));
                world.take(at, step);
            }
        }
        WorldStep::Crash(holder) => {
            world.holders[holder] = ClaimHolder::new(world.now);
        }
        WorldStep::Advance(millis) => world.now += Duration::from_millis(millis),
        _ => {}
    }
}

/// Two views that entry nodes may have at the same time: of the roster
/// before and during a change, or during and after it.
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

    // A clerk's batch sale is sent again through other nodes while messages
    // are lost, repeated and crossed, holders restart empty and the holders
    // themselves change. A second run would invoice honey twice; a caller
    // told "not run" whose call ran would order again.
    #[test]
    fn every_key_runs_at_most_once(steps in steps(), views in views()) {
        let mut world = ClaimWorld::new();
        for step in steps {
            run(&mut world, step, &views);
        }
        world.settle();
        let mut runs: BTreeMap<usize, usize> = BTreeMap::new();
        for call in &world.calls {
            prop_assert!(!(call.ran && call.told_not_run), "{:?}", call);
            *runs.entry(call.key).or_default() += usize::from(call.ran);
        }
        for (key, runs) in runs {
            prop_assert!(runs <= 1, "key {} ran {} times", key, runs);
        }
    }

    // Without faults claims do go through: the first claim of a key runs and
    // later ones read its answer.
    #[test]
    fn a_quiet_fleet_grants_and_answers(serial in 0..1_000_u64) {
        let mut world = ClaimWorld::new();
        let key = world.key(1);
        let first = world.outcome(key, "sale", serial);
        prop_assert_eq!(first, ClaimOutcome::Granted);
        let again = world.outcome(key, "sale", serial + 1);
        prop_assert_eq!(again, ClaimOutcome::Unanswered);
    }
}

// The answer to a sale is lost on the way to the clerk, who sends it again
// through another node: the first answer comes back whole. The same key with
// another body is a mistake of the caller's and is told so.
#[test]
fn a_resend_reads_the_first_answer() {
    let mut world = ClaimWorld::new();
    // The third claimant of the world is one that is answered.
    world.claim(3, vec![set([0, 1, 2])]);
    world.claim(5, vec![set([0, 1, 2])]);
    world.claim(1, vec![set([0, 1, 2])]);
    world.settle();
    let key = world.key(1);
    let again = world.outcome(key, "sale", 1);
    assert_eq!(again, ClaimOutcome::Answered(answer("receipt")));
    let other = world.outcome(key, "another sale", 2);
    assert_eq!(other, ClaimOutcome::KeyReused);
}

// Every slot was taken, so the call was claimed, not run and refused. The
// caller comes back as it was told to; the key must be free again.
#[test]
fn a_released_key_is_granted_again() {
    let mut world = ClaimWorld::new();
    world.claim(1, vec![set([0, 1, 2])]);
    world.settle();
    assert!(world.calls[0].told_not_run);
    let key = world.key(1);
    assert_eq!(world.outcome(key, "sale", 1), ClaimOutcome::Granted);
}

// Two of a key's three holders restart at once and have forgotten it. The
// old key is refused until its time has passed; a key that was made after
// the restart is served.
#[test]
fn holders_that_came_back_empty_abstain_on_old_keys() {
    let mut world = ClaimWorld::new();
    let key = world.key(1);
    assert_eq!(world.outcome(key, "sale", 1), ClaimOutcome::Granted);
    for holder in 0..2 {
        world.holders[holder] = ClaimHolder::new(world.now);
    }
    assert_eq!(world.outcome(key, "sale", 2), ClaimOutcome::NoMajority);
    let mut young = ClaimKey::new("anna", "/contracts", "young");
    let later = world.now + 2 * CLOCK_SKEW + Duration::from_millis(1);
    young.created_ms = Some(later.as_millis() as u64);
    assert_eq!(world.outcome(young, "sale", 3), ClaimOutcome::Granted);
    world.now += KEY_RETENTION + CLOCK_SKEW;
    assert_eq!(world.outcome(key, "sale", 4), ClaimOutcome::Granted);
}

// A whole failure domain is lost: one holder of each key. The others are a
// majority, and what was claimed before is still known.
#[test]
fn one_lost_holder_changes_nothing() {
    for lost in 0..3 {
        let mut world = ClaimWorld::new();
        let key = world.key(1);
        assert_eq!(world.outcome(key, "sale", 1), ClaimOutcome::Granted);
        world.holders[lost] = ClaimHolder::new(world.now);
        assert_eq!(world.outcome(key, "sale", 2), ClaimOutcome::Unanswered);
    }
}

// Keys are forgotten once their time has passed, so a holder's memory is
// bounded by the rate of calls and not by its age.
#[test]
fn forgotten_keys_give_their_memory_back() {
    let mut world = ClaimWorld::new();
    for serial in 0..100 {
        let key = ClaimKey::new("anna", "/contracts", &format!("key-{serial}"));
        world.outcome(key, "sale", serial);
    }
    assert_eq!(world.holders[0].keys(), 100);
    world.now += 2 * KEY_RETENTION;
    let key = world.key(1);
    world.outcome(key, "sale", 100);
    assert_eq!(world.holders[0].keys(), 1);
}
