//! Random sequences of losses, replacements and restarts, up to the number of
//! failures that a fleet must tolerate. After each the target number of voters
//! is restored, and no accepted change is lost.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;

use crate::fleet::change_entry;
use crate::fleet::Fleet;

/// Time after its return, or the start of its replacement, during which an
/// instance still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Maximum time from the return of all instances to a leader that accepts
/// changes.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// How an instance is lost, and how it returns or is replaced.
#[derive(Clone, Copy, Debug)]
enum LossKind {
    /// Lost for good; a replacement starts with an empty folder.
    Replaced,
    /// The replacement starts first; the instance then stops as planned.
    ReplacedAsPlanned,
    /// Returns with an empty folder.
    Wiped,
    /// Returns with its folder.
    Crashed,
    /// Partitioned from all other instances for a while.
    CutOff,
    /// A write to its disk fails; its folder is reopened later.
    DiskFull,
    /// Its disk syncs nothing for a while.
    Stalled,
}

/// One fault scenario on a healthy fleet.
#[derive(Clone, Debug)]
enum ScheduleStep {
    /// Instances are lost together, at most as many as the fleet tolerates:
    /// which ones, how, and for how many milliseconds.
    Lose(Vec<(usize, LossKind, u64)>),
    /// One instance is lost and returns; after the first number of milliseconds
    /// all processes are killed, and after the second they restart.
    LoseAndKillAll(usize, LossKind, u64, u64),
    /// One instance is lost and returns; after the first number of milliseconds
    /// the fleet is partitioned by the mask, for the second number of
    /// milliseconds.
    LoseAndSplit(usize, LossKind, u64, u32, u64),
    /// All processes are killed, and restart after this many milliseconds.
    KillAll(u64),
}

fn loss() -> impl Strategy<Value = LossKind> {
    prop_oneof![
        3 => Just(LossKind::Replaced),
        1 => Just(LossKind::ReplacedAsPlanned),
        2 => Just(LossKind::Wiped),
        1 => Just(LossKind::Crashed),
        1 => Just(LossKind::CutOff),
        1 => Just(LossKind::DiskFull),
        1 => Just(LossKind::Stalled),
    ]
}

fn step(losses: usize) -> impl Strategy<Value = ScheduleStep> {
    let away = 100_u64..6_000;
    let lost = (any::<usize>(), loss(), away);
    let overlap = 0_u64..3_000;
    prop_oneof![
        6 => vec(lost, 1..=losses).prop_map(ScheduleStep::Lose),
        2 => (any::<usize>(), loss(), overlap.clone(), 100_u64..1_000).prop_map(
            |(at, loss, after, down)| ScheduleStep::LoseAndKillAll(at, loss, after, down)
        ),
        2 => (any::<usize>(), loss(), overlap, any::<u32>(), 500_u64..6_000).prop_map(
            |(at, loss, after, mask, time)| {
                ScheduleStep::LoseAndSplit(at, loss, after, mask, time)
            }
        ),
        1 => (100_u64..1_000).prop_map(ScheduleStep::KillAll),
    ]
}

/// A fleet under a schedule of faults, and the instances present in it.
struct ScheduleRun {
    fleet: Fleet,
    voters: usize,
    present: Vec<usize>,
    changes: usize,
}

impl ScheduleRun {
    fn new(voters: usize, spares: usize, seed: u64) -> Self {
        let mut fleet = Fleet::with_voter_target(3, voters - 3 + spares, voters, seed);
        fleet.low_latency = true;
        fleet.wait_for_leader();
        Self {
            fleet,
            voters,
            present: (0..voters + spares).collect(),
            changes: 0,
        }
    }

    fn run(&mut self, millis: u64) {
        self.fleet.run(Duration::from_millis(millis));
    }

    /// Sends a change to the current leader, if any; it may remain unanswered.
    fn submit_change(&mut self) {
        self.changes += 1;
        let entry = change_entry(&format!("change-{}", self.changes), None);
        for leader in self.fleet.lease_holders() {
            self.fleet.request_change(leader, entry.clone());
        }
    }

    /// The seeds in an operator's settings: the three newest instances.
    fn seeds(&self) -> Vec<usize> {
        self.present.iter().rev().take(3).copied().collect()
    }

    /// Reloads the settings of all present instances with the current seeds.
    fn reload(&mut self) {
        let seeds = self.seeds();
        for at in self.present.clone() {
            self.fleet.reload(at, seeds.clone());
        }
    }

    /// Starts the loss of an instance.
    fn begin_loss(&mut self, at: usize, kind: LossKind) {
        match kind {
            LossKind::Replaced => self.fleet.remove(at),
            LossKind::ReplacedAsPlanned => {
                let added = self.fleet.add(self.seeds());
                self.present.push(added);
                self.run(1_000);
                self.fleet.hand_over(at);
                self.run(300);
                self.fleet.remove(at);
            }
            LossKind::Wiped => self.fleet.wipe(at),
            LossKind::Crashed => self.fleet.crash(at),
            LossKind::CutOff => self.fleet.groups[at] = 9,
            LossKind::DiskFull => self.fleet.fail_disk(at),
            LossKind::Stalled => self.fleet.stall(at, Duration::from_secs(3)),
        }
        if matches!(kind, LossKind::Replaced | LossKind::ReplacedAsPlanned) {
            self.present.retain(|present| *present != at);
        }
        self.submit_change();
    }

    /// Ends the loss of an instance, by its return or replacement.
    fn end_loss(&mut self, at: usize, kind: LossKind) {
        match kind {
            LossKind::Replaced => {
                let added = self.fleet.add(self.seeds());
                self.present.push(added);
            }
            LossKind::ReplacedAsPlanned | LossKind::Stalled => {}
            LossKind::Wiped | LossKind::Crashed => self.fleet.start(at),
            LossKind::CutOff => self.fleet.groups[at] = 0,
            LossKind::DiskFull => self.fleet.reopen(at),
        }
    }

    fn kill_all(&mut self, down: u64) {
        for at in self.present.clone() {
            self.fleet.crash(at);
        }
        self.run(down);
        for at in self.present.clone() {
            self.fleet.start(at);
        }
    }

    fn pick_present(&self, draw: usize) -> usize {
        self.present[draw % self.present.len()]
    }

    fn apply_step(&mut self, step: &ScheduleStep) {
        self.reload();
        self.submit_change();
        match step {
            ScheduleStep::Lose(losses) => self.run_losses(losses),
            ScheduleStep::LoseAndKillAll(draw, kind, after, down) => {
                let at = self.pick_present(*draw);
                self.begin_loss(at, *kind);
                self.run(500);
                self.end_loss(at, *kind);
                self.run(*after);
                self.kill_all(*down);
            }
            ScheduleStep::LoseAndSplit(draw, kind, after, mask, time) => {
                let at = self.pick_present(*draw);
                self.begin_loss(at, *kind);
                self.run(500);
                self.end_loss(at, *kind);
                self.run(*after);
                for at in self.present.clone() {
                    self.fleet.groups[at] = mask >> (at % 32) & 1;
                }
                self.submit_change();
                self.run(*time);
                self.fleet.groups.fill(0);
            }
            ScheduleStep::KillAll(down) => self.kill_all(*down),
        }
        self.check_recovered();
    }

    /// Starts all losses together and ends each after its own time.
    fn run_losses(&mut self, losses: &[(usize, LossKind, u64)]) {
        let mut lost: Vec<(u64, usize, LossKind)> = Vec::new();
        for (draw, kind, away) in losses {
            let at = self.pick_present(*draw);
            if lost.iter().any(|(_, other, _)| *other == at) {
                continue;
            }
            self.begin_loss(at, *kind);
            lost.push((*away, at, *kind));
        }
        lost.sort_unstable_by_key(|(away, _, _)| *away);
        let mut passed = 0;
        for (away, at, kind) in lost {
            self.run(away - passed);
            passed = away;
            self.end_loss(at, kind);
            self.submit_change();
        }
    }

    fn check_convergence(&mut self) {
        let leader = self.fleet.check_outcomes();
        let mut voters = self.present.clone();
        voters.retain(|at| self.fleet.is_voter(leader, *at));
        for at in voters {
            let same = self.fleet.state(at) == self.fleet.state(leader);
            assert!(same, "{at} differs from {leader}");
        }
    }

    /// Checks that the fleet is ready for the next losses after
    /// [`CATCH_UP`]: the target number of voters run, and a change is decided.
    fn check_recovered(&mut self) {
        self.fleet.run(CATCH_UP);
        let lease_holders = self.fleet.lease_holders();
        let waited = self.fleet.now;
        let leader = self.fleet.wait_for_leader();
        let late = self.fleet.now - waited;
        assert!(late < RECOVERY_TIMEOUT, "no leader for {late:?}");
        if lease_holders.is_empty() {
            // A partition or a crash of all processes delays catching up.
            self.fleet.run(CATCH_UP);
        }
        let leader = self
            .fleet
            .lease_holders()
            .first()
            .copied()
            .unwrap_or(leader);
        let votes = |at: &&usize| self.fleet.is_voter(leader, **at);
        let voters = self.present.iter().filter(votes).count();
        assert!(voters >= self.voters, "{voters} of {} voters", self.voters);
        self.changes += 1;
        let entry = change_entry(&format!("change-{}", self.changes), None);
        self.fleet.commit_change(&entry);
    }
}

/// Number of schedules for each fleet size; `SCHEDULE_CASES` overrides it.
fn cases() -> u32 {
    let asked = std::env::var("SCHEDULE_CASES").ok();
    asked.map_or(60, |asked| asked.parse().expect("a number of cases"))
}

fn run_schedule(voters: usize, spares: usize, seed: u64, steps: &[ScheduleStep]) {
    let mut schedule = ScheduleRun::new(voters, spares, seed);
    schedule.check_recovered();
    for step in steps {
        schedule.apply_step(step);
    }
    schedule.check_convergence();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn three_voters_survive_consecutive_single_losses(
        seed in any::<u64>(),
        steps in vec(step(1), 1..8),
    ) {
        run_schedule(3, 0, seed, &steps);
    }

    #[test]
    fn five_voters_survive_consecutive_double_losses(
        seed in any::<u64>(),
        steps in vec(step(2), 1..8),
    ) {
        run_schedule(5, 0, seed, &steps);
    }

    #[test]
    fn five_voters_and_two_spares_survive_consecutive_double_losses(
        seed in any::<u64>(),
        steps in vec(step(2), 1..8),
    ) {
        run_schedule(5, 2, seed, &steps);
    }
}

// Guards against instances that know only each other: their seeds were spares,
// and the only member among the seeds was removed.
#[test]
fn instances_whose_seeds_are_spares_or_removed_are_added() {
    let steps = [
        ScheduleStep::LoseAndKillAll(0, LossKind::Crashed, 0, 100),
        ScheduleStep::Lose(vec![
            (645993161373531363, LossKind::Wiped, 100),
            (17101939146766189867, LossKind::Replaced, 100),
        ]),
    ];
    run_schedule(5, 2, 292725811798027434, &steps);
}
