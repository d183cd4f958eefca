//! The leader's decisions on one move: step, wait, take back or finish.
//!
//! Load pattern: the set time presses for large early shares, evidence and
//! capacity press against them. The plan says which share belongs to the
//! time; here each step also needs evidence, slots and reporters, and the
//! last steps get their time under load even where the move is late.

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

/// Pause between two looks of the leader. Three looks decide against gross
/// badness, so each counts in what a bad version gets.
pub const DRIVER_INTERVAL: Duration = Duration::from_millis(150);

/// Part of the evidence needed for a verdict at which growth waits: about
/// two failures where the share is small.
const SUSPICION_LEVEL: f64 = 0.3;

/// The same for the last check, where waiting costs the set time. A sound
/// version comes that far in fewer than one of a hundred moves.
const LAST_SUSPICION_LEVEL: f64 = 0.6;

/// How far the plan may be ahead, as a factor of the next share, before a
/// step no longer waits for evidence where the operators chose to finish.
const QUIET_LAG_FACTOR: u16 = 2;

/// Part of the move's time after which suspicion that has not grown is no
/// longer waited for: evidence once gathered fades slowly where failures are
/// rare, while a bad version would have given more.
const SUSPICION_FRESH_FRACTION: f64 = 0.05;

/// Part of the move's time that growth waits on suspicion at most. Without
/// a bound, chance alone could keep a good version from its set time.
const SUSPICION_FRACTION: f64 = 0.15;

/// Part of what a bad version may get from which suspicion is enough: calls
/// on their way and those until the withdrawal reaches every node need the
/// rest.
const EXPOSURE_HIGH_FRACTION: f64 = 0.45;

/// Suspicion that is enough then: odds of some thirty to one.
const EXPOSURE_HIGH_SUSPICION: f64 = 0.4;

/// Part from which less is enough: the rest is gone before a verdict.
const EXPOSURE_CRITICAL_FRACTION: f64 = 0.65;

/// Suspicion that is enough then: odds of some twelve to one.
const EXPOSURE_CRITICAL_SUSPICION: f64 = 0.3;

/// Part of the move's time from which a version that is still suspected, on a
/// share that holds no load yet, is taken back: its last steps take the rest.
const LAST_DECISION_FRACTION: f64 = 0.85;

/// Part of its calls that the version in service fails from which one on trial
/// gets no more of them: one that fails a third of its calls has less than
/// three times the odds then, the least that counts as bad.
const OLD_FAILURE_RATE_MAX: f64 = 0.15;

/// Silent nodes that growth tolerates, as one in so many live ones. At the
/// two-year size some of 5,200 nodes are always between two reports.
const SILENT_ONE_IN: u32 = 10;

/// Part of the new version's slots that a step may fill; the rest is for
/// bursts and for servers that die during the step.
const SLOT_FILL_MAX: f64 = 0.8;

/// A target counts as a step only this far above the share in force, so
/// that a move costs tens of changes and not one each look.
const STEP_GROWTH_MIN: f64 = 1.25;

/// A step multiplies the share by this at most, however late the move is.
const STEP_GROWTH_MAX: f64 = 2.0;

/// Points kept for the plot of a move; older ones are thinned out.
const POINTS_MAX: usize = 512;

/// One point of a move's course.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CoursePoint {
    /// Wall clock, milliseconds since 1970.
    pub at_ms: u64,
    /// Share of the new version in force, in thousandths.
    pub share_per_mille: u16,
    /// Calls until then.
    pub counts: MoveCounts,
    /// Evidence against the version, 1 where it is bad.
    pub suspicion: f64,
    /// Part of the calls that the version in service fails lately.
    #[serde(default)]
    pub old_failing: f64,
}

/// Decides on one move. All that must survive a change of leader is in the
/// record; the rest is found anew from the nodes' cumulative counts.
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
    course: Vec<CoursePoint>,
}

/// What had been seen when the share in force was first looked at.
#[derive(Clone, Copy, Debug)]
struct StepBaseline {
    share: u16,
    informative: u64,
}

impl RolloutDriver {
    /// A driver for a move with this record.
    pub fn new(record: &RolloutRecord) -> Self {
        let first = record.steps.first().map_or(1, |step| step.share_per_mille);
        let plan: Box<dyn SharePlan> = if record.exposure.is_some() {
            Box::new(BoundedPlan { first })
        } else {
            Box::new(DoublingPlan { first })
        };
        Self::with_parts(plan, RolloutJudge::new(FALSE_ALARM_FLEET))
    }

    /// A driver with another plan or judge, for comparing them.
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
            course: Vec::new(),
        }
    }

    /// What keeps the move from its next step, if anything does.
    pub fn wait(&self) -> Option<StepWait> {
        self.wait
    }

    /// The move's course as this leader has seen it.
    pub fn course(&self) -> &[CoursePoint] {
        &self.course
    }

    /// Looks at the move at wall clock `now`; the change to propose, if any.
    /// The same change may come again until the record shows it; its request
    /// identifier makes that harmless.
    pub fn evaluate(
        &mut self,
        now: Duration,
        record: &RolloutRecord,
        fleet: &FleetSnapshot,
        ledger: &EvidenceTotals,
    ) -> Option<MoveChange> {
        let empty = RolloutTally::default();
        let tally = ledger.total(record.rollout).unwrap_or(&empty);
        let elapsed = now.saturating_sub(self.evaluated_at.unwrap_or(now));
        self.evaluated_at = Some(now);
        self.demand.update(elapsed, tally.busy_us());
        let view = self.judge.evaluate(tally);
        self.suspicion.update(now, view.suspicion);
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
        let cause = match (ledger.stop(record.rollout), view.cause.clone()) {
            (Some(stop), _) => Some(TakeBackCause::NodeEvidence {
                node: stop.node.clone(),
                cause: stop.cause.clone(),
            }),
            (None, cause) => cause
                .or_else(|| self.near_exposure_bound(now, record, counts, &view))
                .or_else(|| too_late_to_finish(now, record, &view))
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

    /// The evidence so far, where a version that is suspected has got most of
    /// what a bad one may get.
    ///
    /// Guards against a version that fails a little more under each load: the
    /// growth waits for a verdict that does not come, and what it gets
    /// meanwhile passes the bound. A sound version is suspected so strongly
    /// in fewer than one of fifty moves.
    fn near_exposure_bound(
        &self,
        now: Duration,
        record: &RolloutRecord,
        counts: MoveCounts,
        view: &JudgeResult,
    ) -> Option<BadnessCause> {
        let bound = record.exposure?;
        let fraction = MoveTime::of(now, record).fraction();
        let used_fraction = bound.used_fraction(counts.new_calls, counts.calls, fraction);
        // The share that holds load is on trial too: some badness shows only
        // there, and at four fifths of the calls the bound is soon passed.
        let on_trial = record.share() <= HELD_SHARE;
        let enough = if used_fraction >= EXPOSURE_CRITICAL_FRACTION {
            EXPOSURE_CRITICAL_SUSPICION
        } else {
            EXPOSURE_HIGH_SUSPICION
        };
        if on_trial && used_fraction >= EXPOSURE_HIGH_FRACTION && view.suspicion >= enough
        {
            return view.strongest.clone();
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

    /// The next step, or what it waits for; empty where it is not due.
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
        // Guards against a late move that catches up in one go: its share
        // went from 320 to 800 within 0.3 s, and a version that failed under
        // load had got a tenth more than it may before the verdict.
        if record.exposure.is_some()
            && time.since_step < time.total.mul_f64(BOUNDED_STEP_FRACTION)
        {
            return Err(None);
        }
        let last = next == LAST_SHARE;
        let level = if last {
            LAST_SUSPICION_LEVEL
        } else {
            SUSPICION_LEVEL
        };
        // On trial no suspicion is outwaited: it costs calls, not time alone.
        let on_trial = record.exposure.is_some() && share < HELD_SHARE;
        self.check(&time, fleet, level, on_trial)?;
        // Guards against growth by chance: beside a version that fails many
        // calls itself, one that fails a few more looks sound for as long as
        // it takes to pass its bound.
        if on_trial && self.old_failure_rate.rate(now) >= OLD_FAILURE_RATE_MAX {
            return Err(Some(StepWait::TroubledFleet));
        }
        if last && time.since_step < time.total.mul_f64(HOLD_FRACTION) {
            return Err(Some(StepWait::LastSteps));
        }
        let seen = self
            .step
            .map_or(0, |step| informative.saturating_sub(step.informative));
        // Once the plan holds load, no step may wait: it would wait for ever.
        let behind = next.saturating_mul(QUIET_LAG_FACTOR);
        let lagging = target >= behind.min(HELD_SHARE);
        let forced = record.if_quiet == QuietChoice::Finish && lagging;
        if seen < record.step_calls && !forced {
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
        self.check(time, fleet, LAST_SUSPICION_LEVEL, false)?;
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

    /// What every step needs: reporters that report, and no fresh suspicion
    /// of `level` or more, nor a stale one where the version is `on_trial`.
    fn check(
        &self,
        time: &MoveTime,
        fleet: &FleetSnapshot,
        level: f64,
        on_trial: bool,
    ) -> Result<(), Option<StepWait>> {
        // Guards against counts that look clean because those who would
        // count the failures are not heard.
        // One node is always allowed to be silent: while a small fleet is
        // restarted node by node, one always is, and a good version would
        // never be done.
        let silent = fleet.nodes_silent.saturating_sub(1);
        if fleet.nodes == 0 || silent * SILENT_ONE_IN > fleet.nodes {
            return Err(Some(StepWait::LostReporters));
        }
        let waited = self.waited.get(&StepWait::Suspicion);
        let waited = waited.copied().unwrap_or_default();
        let bounded = waited < time.total.mul_f64(SUSPICION_FRACTION);
        let grown_at = self.suspicion.grown_at;
        let fresh = time.now.saturating_sub(grown_at);
        let fresh = fresh < time.total.mul_f64(SUSPICION_FRESH_FRACTION);
        if self.suspicion.level >= level && (on_trial || fresh && bounded) {
            return Err(Some(StepWait::Suspicion));
        }
        Ok(())
    }

    /// Greatest share that the new version's slots carry.
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

/// The evidence so far, where a version that is suspected cannot be in service
/// by the set time any more.
///
/// Guards against a move that waits on for a verdict past its time: few calls
/// go to a version whose growth waits, so that they decide empty for long,
/// and its operators read neither done nor taken back.
fn too_late_to_finish(
    now: Duration,
    record: &RolloutRecord,
    view: &JudgeResult,
) -> Option<BadnessCause> {
    let late = MoveTime::of(now, record).fraction() >= LAST_DECISION_FRACTION;
    let on_trial = record.exposure.is_some() && record.share() < HELD_SHARE;
    if late && on_trial && view.suspicion >= SUSPICION_LEVEL {
        return view.strongest.clone();
    }
    None
}

/// The share after the next step towards `target`; `None` where it is not
/// worth a step yet.
fn next_share(share: u16, target: u16) -> Option<u16> {
    let far = f64::from(target) >= f64::from(share) * STEP_GROWTH_MIN;
    let milestone = target == HELD_SHARE || target == LAST_SHARE;
    if target <= share || !(far || milestone) {
        return None;
    }
    let most = (f64::from(share) * STEP_GROWTH_MAX).ceil() as u16;
    if share >= HELD_SHARE {
        return Some(target);
    }
    Some(target.min(most.max(1)).min(HELD_SHARE))
}

fn move_counts(tally: &RolloutTally) -> MoveCounts {
    MoveCounts {
        calls: tally.calls(),
        new_calls: tally.new_calls(),
        new_failures: tally.total.new.failures,
    }
}
