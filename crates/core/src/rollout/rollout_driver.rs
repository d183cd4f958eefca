//! The leader's decisions on one move: step, wait, take back or finish.
//!
//! A step has to balance three demands: the deadline calls for large shares
//! early, while evidence and server capacity call for small ones. The plan
//! gives the share for the elapsed time. On top of that each step requires
//! evidence, free slots and reporting nodes, and the last steps keep their
//! minimum time under load even if the move is late.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::rollout::driver_state::MoveTime;
use crate::rollout::driver_state::OldFailureRate;
use crate::rollout::driver_state::SlotDemand;
use crate::rollout::driver_state::SuspicionTracker;
use crate::rollout::evidence::RolloutTally;
use crate::rollout::evidence_totals::EvidenceTotals;
use crate::rollout::fleet_snapshot::FleetSnapshot;
use crate::rollout::rollout_change::MoveChange;
use crate::rollout::rollout_change::MoveCounts;
use crate::rollout::rollout_change::StepWait;
use crate::rollout::rollout_change::TakeBackCause;
use crate::rollout::rollout_judge::BadnessCause;
use crate::rollout::rollout_judge::JudgeInputs;
use crate::rollout::rollout_judge::JudgeResult;
use crate::rollout::rollout_judge::RolloutJudge;
use crate::rollout::rollout_judge::FALSE_ALARM_FLEET;
use crate::rollout::rollout_record::RolloutRecord;
use crate::rollout::sequential_test::EventCounts;
use crate::rollout::share_plan::BoundedPlan;
use crate::rollout::share_plan::DoublingPlan;
use crate::rollout::share_plan::QuietChoice;
use crate::rollout::share_plan::SharePlan;
use crate::rollout::share_plan::BOUNDED_STEP_FRACTION;
use crate::rollout::share_plan::FULL_SHARE;
use crate::rollout::share_plan::HELD_SHARE;
use crate::rollout::share_plan::HOLD_FRACTION;
use crate::rollout::share_plan::LAST_CHECK_FRACTION;
use crate::rollout::share_plan::LAST_SHARE;

/// Interval between two evaluations by the leader. A grossly bad version is
/// detected after three evaluations, so each one adds to the calls that the
/// version gets.
pub const DRIVER_INTERVAL: Duration = Duration::from_millis(150);

/// Suspicion from which the share stops growing, relative to a verdict.
const SUSPICION_LEVEL: f64 = 0.5;

/// Suspicion that delays the last check and the end of a move without an exposure
/// bound, where waiting endangers the deadline. A sound version reaches this level in
/// fewer than one of a hundred moves.
const LAST_SUSPICION_LEVEL: f64 = 0.6;

/// With [`QuietChoice::Finish`], a step no longer waits for evidence once the
/// planned share is this many times the next share.
const QUIET_LAG_FACTOR: u16 = 2;

/// Fraction of the move's time after which suspicion that has not grown no
/// longer delays a step. Suspicion decays slowly where failures are rare, while
/// a bad version would have produced more evidence by then.
const SUSPICION_FRESH_FRACTION: f64 = 0.05;

/// Maximum fraction of the move's time for which suspicion may delay steps.
/// Without a bound, chance alone could make a sound version miss its deadline.
const SUSPICION_FRACTION: f64 = 0.15;

/// Fraction of the exposure bound from which suspicion alone takes the move
/// back. The rest of the bound is needed for calls in flight and for calls
/// until the withdrawal reaches every node.
const EXPOSURE_HIGH_FRACTION: f64 = 0.45;

/// Suspicion that is sufficient from [`EXPOSURE_HIGH_FRACTION`] on.
const EXPOSURE_HIGH_SUSPICION: f64 = 0.5;

/// Fraction of the exposure bound from which less suspicion is sufficient,
/// because the rest would be used up before a verdict.
const EXPOSURE_CRITICAL_FRACTION: f64 = 0.65;

/// Suspicion that is sufficient from [`EXPOSURE_CRITICAL_FRACTION`] on.
const EXPOSURE_CRITICAL_SUSPICION: f64 = 0.45;

/// Fraction of the move's time from which a version that is still suspected, at
/// a share below [`HELD_SHARE`], is taken back: the last steps need the
/// remaining time.
const LAST_DECISION_FRACTION: f64 = 0.85;

/// Fraction of the move's time from which a version that is still suspected is taken
/// back at any share: what is left is needed for the change to reach every node.
const END_DECISION_FRACTION: f64 = 0.96;

/// Failure rate of the old version from which the share of a version on trial
/// does not grow. Above it, a new version that fails a third of its calls has
/// less than three times the odds of failure, the least that counts as bad.
const OLD_FAILURE_RATE_MAX: f64 = 0.15;

/// One in this many live nodes may be silent without delaying a step. In the
/// planned fleet of 5,200 nodes some are always between two reports.
const SILENT_ONE_IN: u32 = 10;

/// Fraction of the new version's slots that a step may fill. The rest is for
/// bursts and for servers that fail during the step.
const SLOT_FILL_MAX: f64 = 0.8;

/// Minimum growth factor of a step other than to [`HELD_SHARE`] or
/// [`LAST_SHARE`], so that a move takes tens of changes instead of one per
/// evaluation.
const STEP_GROWTH_MIN: f64 = 1.25;

/// Maximum growth factor of a step below [`HELD_SHARE`], however late the move
/// is.
const STEP_GROWTH_MAX: f64 = 2.0;

/// Maximum number of points kept for the plot of a move; beyond it every second
/// point is dropped.
const POINTS_MAX: usize = 512;

/// One point of the recorded history of a move.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CoursePoint {
    /// Wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Share of the new version, in thousandths.
    pub share_per_mille: u16,
    /// Calls so far.
    pub counts: MoveCounts,
    /// Strength of the evidence against the new version; 1 is a verdict.
    pub suspicion: f64,
    /// Recent failure rate of the old version, from 0 to 1.
    #[serde(default)]
    pub old_failing: f64,
}

/// Decides on one move. State that must survive a change of leader is in the
/// record; the rest is rebuilt from the nodes' cumulative counts.
#[derive(Debug)]
pub struct RolloutDriver {
    plan: Box<dyn SharePlan>,
    judge: RolloutJudge,
    step: Option<StepBaseline>,
    suspicion: SuspicionTracker,
    old_failure_rate: OldFailureRate,
    demand: SlotDemand,
    wait: Option<StepWait>,
    waited: BTreeMap<StepWait, Duration>,
    evaluated_at: Option<Duration>,
    inputs: JudgeInputs,
    course: Vec<CoursePoint>,
}

/// Informative calls at the first evaluation of the current share.
#[derive(Clone, Copy, Debug)]
struct StepBaseline {
    share: u16,
    informative: u64,
}

impl RolloutDriver {
    /// Creates a driver for the move of `record`.
    pub fn new(record: &RolloutRecord) -> Self {
        let first = record.steps.first().map_or(1, |step| step.share_per_mille);
        let plan: Box<dyn SharePlan> = if record.exposure.is_some() {
            Box::new(BoundedPlan { first })
        } else {
            Box::new(DoublingPlan { first })
        };
        Self::with_parts(plan, RolloutJudge::new(FALSE_ALARM_FLEET))
    }

    /// Creates a driver with the given plan and judge, to compare alternatives.
    pub fn with_parts(plan: Box<dyn SharePlan>, judge: RolloutJudge) -> Self {
        Self {
            plan,
            judge,
            step: None,
            suspicion: SuspicionTracker::default(),
            old_failure_rate: OldFailureRate::default(),
            demand: SlotDemand::default(),
            wait: None,
            waited: BTreeMap::new(),
            evaluated_at: None,
            inputs: JudgeInputs::default(),
            course: Vec::new(),
        }
    }

    /// What delays the next step, if anything.
    pub fn wait(&self) -> Option<StepWait> {
        self.wait
    }

    /// Inputs of the last evaluation.
    pub fn inputs(&self) -> &JudgeInputs {
        &self.inputs
    }

    /// History of the move, as recorded by this leader.
    pub fn course(&self) -> &[CoursePoint] {
        &self.course
    }

    /// Evaluates the move at wall clock `now`. Returns the change to propose,
    /// if any. The same change may be returned again until the record contains
    /// it; its request ID makes duplicates harmless.
    pub fn evaluate(
        &mut self,
        now: Duration,
        record: &RolloutRecord,
        fleet: &FleetSnapshot,
        totals: &EvidenceTotals,
    ) -> Option<MoveChange> {
        let empty = RolloutTally::default();
        let tally = totals.total(record.rollout).unwrap_or(&empty);
        let elapsed = now.saturating_sub(self.evaluated_at.unwrap_or(now));
        self.evaluated_at = Some(now);
        self.demand.update(elapsed, tally.busy_us());
        let result = self.judge.evaluate(tally, record.share());
        self.inputs = result.inputs;
        self.suspicion.update(now, result.suspicion);
        self.old_failure_rate.update(
            now,
            EventCounts {
                calls: tally.total.old.calls,
                events: tally.total.old.failures,
            },
        );
        let counts = move_counts(tally);
        let informative = tally.informative_calls();
        self.record_point(now, record, counts, informative);
        let cause = match (totals.stop(record.rollout), result.cause.clone()) {
            (Some(stop), _) => Some(TakeBackCause::NodeEvidence {
                node: stop.node.clone(),
                cause: stop.cause.clone(),
            }),
            (None, cause) => cause
                .or_else(|| self.near_exposure_bound(now, record, counts, &result))
                .or_else(|| too_late_to_finish(now, record, &result))
                .map(TakeBackCause::FleetEvidence),
        };
        if let Some(cause) = cause {
            return Some(MoveChange::TakeBack {
                rollout: record.rollout,
                cause,
                counts,
            });
        }
        let next = self.next_step(now, record, fleet, counts, informative);
        self.wait = next.as_ref().err().copied().flatten();
        if let Some(wait) = self.wait {
            *self.waited.entry(wait).or_default() += elapsed;
        }
        next.ok()
    }

    /// Returns the strongest evidence if a suspected version has used a large
    /// part of its exposure bound.
    ///
    /// A version that fails a little more at each load level delays its own
    /// growth without reaching a verdict, and the calls it gets meanwhile
    /// exceed the bound. A sound version reaches the required suspicion in
    /// fewer than one of fifty moves.
    fn near_exposure_bound(
        &self,
        now: Duration,
        record: &RolloutRecord,
        counts: MoveCounts,
        result: &JudgeResult,
    ) -> Option<BadnessCause> {
        let bound = record.exposure?;
        let fraction = MoveTime::of(now, record).fraction();
        let used_fraction = bound.used_fraction(counts.new_calls, counts.calls, fraction);
        let suspicion_limit = if used_fraction >= EXPOSURE_CRITICAL_FRACTION {
            EXPOSURE_CRITICAL_SUSPICION
        } else {
            EXPOSURE_HIGH_SUSPICION
        };
        let suspected = result.suspicion >= suspicion_limit;
        if used_fraction >= EXPOSURE_HIGH_FRACTION && suspected {
            return result.strongest.clone();
        }
        None
    }

    fn record_point(
        &mut self,
        now: Duration,
        record: &RolloutRecord,
        counts: MoveCounts,
        informative: u64,
    ) {
        let share = record.share();
        if self.step.is_none_or(|step| step.share != share) {
            self.step = Some(StepBaseline { share, informative });
        }
        self.course.push(CoursePoint {
            at_ms: now.as_millis() as u64,
            share_per_mille: share,
            counts,
            suspicion: self.suspicion.level,
            old_failing: self.old_failure_rate.rate(now),
        });
        if self.course.len() > POINTS_MAX {
            let mut at = 0;
            self.course.retain(|_| {
                at += 1;
                at % 2 == 1
            });
        }
    }

    /// Returns the next step, or what it waits for; `Err(None)` if no step is
    /// due.
    fn next_step(
        &self,
        now: Duration,
        record: &RolloutRecord,
        fleet: &FleetSnapshot,
        counts: MoveCounts,
        informative: u64,
    ) -> Result<MoveChange, Option<StepWait>> {
        let time = MoveTime::of(now, record);
        let share = record.share();
        if share >= LAST_SHARE {
            return self.finish(&time, record, fleet, counts);
        }
        let target = self.plan.share_at(time.fraction());
        let next = next_share(share, target).ok_or(None)?;
        // A late move must not catch up in one jump: raising the share from 320
        // to 800 within 0.3 s gave a version that fails under load a tenth more
        // calls than its bound before the verdict.
        if record.exposure.is_some()
            && time.since_step < time.total.mul_f64(BOUNDED_STEP_FRACTION)
        {
            return Err(None);
        }
        let last = next == LAST_SHARE;
        self.check(&time, record, fleet, last)?;
        let on_trial = record.exposure.is_some() && share < HELD_SHARE;
        // The share must not grow by chance: next to an old version that fails
        // many calls, a new version that fails slightly more looks sound for
        // long enough to exceed its bound.
        if on_trial && self.old_failure_rate.rate(now) >= OLD_FAILURE_RATE_MAX {
            return Err(Some(StepWait::TroubledFleet));
        }
        if last && time.since_step < time.total.mul_f64(HOLD_FRACTION) {
            return Err(Some(StepWait::LastSteps));
        }
        let informative_since_step = self
            .step
            .map_or(0, |step| informative.saturating_sub(step.informative));
        // Once the target reaches `HELD_SHARE`, no step may wait for evidence:
        // twice the next share may be above every later target, and the step
        // would wait forever.
        let lag_share = next.saturating_mul(QUIET_LAG_FACTOR);
        let lagging = target >= lag_share.min(HELD_SHARE);
        let forced = record.if_quiet == QuietChoice::Finish && lagging;
        if informative_since_step < record.step_calls && !forced {
            return Err(Some(StepWait::QuietTraffic));
        }
        let max_share_by_slots = self.max_share_by_slots(fleet);
        if max_share_by_slots <= share {
            return Err(Some(StepWait::FewSlots));
        }
        Ok(MoveChange::Step {
            rollout: record.rollout,
            share_per_mille: next.min(max_share_by_slots),
        })
    }

    fn finish(
        &self,
        time: &MoveTime,
        record: &RolloutRecord,
        fleet: &FleetSnapshot,
        counts: MoveCounts,
    ) -> Result<MoveChange, Option<StepWait>> {
        if !self.plan.is_over(time.elapsed, time.total) {
            return Err(None);
        }
        self.check(time, record, fleet, true)?;
        // The old servers stop after the move. If none of the new ones may get
        // calls, because their failure domains are evacuated, the service would
        // be left without any.
        if fleet.new_slots == 0 {
            return Err(Some(StepWait::FewSlots));
        }
        if time.since_step < time.total.mul_f64(LAST_CHECK_FRACTION) {
            return Err(Some(StepWait::LastSteps));
        }
        if fleet.nodes_behind > 0 {
            return Err(Some(StepWait::NodesBehind));
        }
        let longest = self.waited.iter().max_by_key(|(_, time)| **time);
        Ok(MoveChange::Finish {
            rollout: record.rollout,
            waited: longest.map(|(wait, _)| *wait),
            counts,
        })
    }

    /// Checks the preconditions of every step: the nodes report, and the version is
    /// not suspected. `last` applies to the last check and the end of the move.
    fn check(
        &self,
        time: &MoveTime,
        record: &RolloutRecord,
        fleet: &FleetSnapshot,
        last: bool,
    ) -> Result<(), Option<StepWait>> {
        // Counts can look clean because the nodes that see the failures do not
        // report. One silent node is always allowed: while a small fleet is
        // restarted node by node, one node is always silent, and a sound
        // version would never finish.
        let silent = fleet.nodes_silent.saturating_sub(1);
        if fleet.nodes == 0 || silent * SILENT_ONE_IN > fleet.nodes {
            return Err(Some(StepWait::LostReporters));
        }
        // With an exposure bound, suspicion delays a step without a time limit:
        // a larger share costs failed calls and not only time, and once the move
        // has finished nothing is judged any more.
        let delays = match record.exposure {
            Some(_) => self.suspicion.level >= SUSPICION_LEVEL,
            None if last => {
                self.suspicion.level >= LAST_SUSPICION_LEVEL && self.is_fresh(time)
            }
            None => self.suspicion.level >= SUSPICION_LEVEL && self.is_fresh(time),
        };
        if delays {
            return Err(Some(StepWait::Suspicion));
        }
        Ok(())
    }

    /// Returns whether suspicion has grown lately and has not delayed the move for
    /// long.
    fn is_fresh(&self, time: &MoveTime) -> bool {
        let waited = self.waited.get(&StepWait::Suspicion);
        let waited = waited.copied().unwrap_or_default();
        let age = time.now.saturating_sub(self.suspicion.grown_at);
        waited < time.total.mul_f64(SUSPICION_FRACTION)
            && age < time.total.mul_f64(SUSPICION_FRESH_FRACTION)
    }

    /// Largest share, in thousandths, that the new version's slots can serve.
    fn max_share_by_slots(&self, fleet: &FleetSnapshot) -> u16 {
        if fleet.new_slots == 0 {
            return 0;
        }
        let filled = SLOT_FILL_MAX * f64::from(fleet.new_slots);
        if fleet.new_slots >= fleet.old_slots || filled >= self.demand.slots {
            return FULL_SHARE;
        }
        (filled / self.demand.slots * f64::from(FULL_SHARE)) as u16
    }
}

/// Returns the strongest evidence if a suspected version can no longer be in
/// service by the deadline. Applies only to moves with an exposure bound.
///
/// A version whose growth waits gets few calls, so a verdict may take longer
/// than the move has. Without this rule the move would pass its deadline
/// neither done nor taken back.
fn too_late_to_finish(
    now: Duration,
    record: &RolloutRecord,
    result: &JudgeResult,
) -> Option<BadnessCause> {
    let decided_by = if record.share() < HELD_SHARE {
        LAST_DECISION_FRACTION
    } else {
        END_DECISION_FRACTION
    };
    let late = MoveTime::of(now, record).fraction() >= decided_by;
    if late && record.exposure.is_some() && result.suspicion >= SUSPICION_LEVEL {
        return result.strongest.clone();
    }
    None
}

/// Returns the share after the next step towards `target`; `None` if the target
/// is not far enough above `share` yet.
fn next_share(share: u16, target: u16) -> Option<u16> {
    let far_enough = f64::from(target) >= f64::from(share) * STEP_GROWTH_MIN;
    let milestone = target == HELD_SHARE || target == LAST_SHARE;
    if target <= share || !(far_enough || milestone) {
        return None;
    }
    let max_share = (f64::from(share) * STEP_GROWTH_MAX).ceil() as u16;
    if share >= HELD_SHARE {
        return Some(target);
    }
    Some(target.min(max_share.max(1)).min(HELD_SHARE))
}

fn move_counts(tally: &RolloutTally) -> MoveCounts {
    MoveCounts {
        calls: tally.calls(),
        new_calls: tally.new_calls(),
        new_failures: tally.total.new.failures,
    }
}
