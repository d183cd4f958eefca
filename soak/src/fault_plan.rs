//! Generates the schedule of faults of a seed.
//!
//! Faults occur singly, in sequence and overlapping. Two limits keep the
//! invariants checkable. At most one control instance of three is down or
//! damaged at a time, so that a majority always has every acknowledged change.
//! All faults are over some seconds before the end of the run.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// Number of control instances of the fleet; one may be lost.
pub const CONTROLS: usize = 3;

/// Number of nodes of the fleet, each with a backend server.
pub const NODES: usize = 6;

/// Identifies a process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessId {
    /// Control instance with this index.
    Control(usize),
    /// Node with this index.
    Node(usize),
}

impl ProcessId {
    /// Returns true for a control instance.
    pub fn is_control(self) -> bool {
        matches!(self, Self::Control(_))
    }

    /// Returns the number of the process's failure domain.
    pub fn domain(self) -> usize {
        match self {
            Self::Control(at) => at,
            Self::Node(at) => at % CONTROLS,
        }
    }
}

/// Behaviour of a link through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards everything.
    Pass,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Resets open and new connections.
    Reset,
    /// Accepts connections and reads from them, but forwards nothing.
    Silent,
    /// Forwards what the connecting side sends, but no answers.
    OneWay,
}

/// A link that goes through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// From all nodes to this control instance.
    ToControl(usize),
    /// From a node to its backend server.
    ToServer(usize),
}

/// Processes that a cut separates from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutScope {
    /// The leader from the other control instances.
    Leader,
    /// The leader from all other processes.
    LeaderFromAll,
    /// A control instance from the other control instances.
    Control(usize),
    /// All processes of a failure domain from all others.
    Domain(usize),
    /// A node from all other processes.
    Node(usize),
    /// A node from another one.
    Nodes(usize, usize),
}

/// Packets that a cut loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// All packets.
    Both,
    /// Those that the separated processes send.
    Outbound,
    /// Those that are sent to the separated processes.
    Inbound,
}

/// A fault to inject. The duration is the time until it is undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Pauses a process with SIGSTOP and continues it.
    Pause(ProcessId, Duration),
    /// Kills a process and restarts it.
    Kill(ProcessId, Duration),
    /// Kills a control instance, leaves a torn record at the end of its log, as
    /// a crash during a write does, and restarts it.
    TornWrite(usize, Duration),
    /// Kills a control instance and restarts it with an empty data folder.
    Wipe(usize, Duration),
    /// Kills a control instance and starts a successor at another address, with
    /// an empty data folder.
    Replace(usize, Duration),
    /// Replaces a control instance and, once the successor has started, kills
    /// and restarts all processes.
    ReplaceAndKillAll(usize, Duration),
    /// Stops a process with SIGTERM and restarts it this long after its exit.
    Stop(ProcessId, Duration),
    /// Makes a process reload its settings.
    Reload(ProcessId),
    /// Changes the behaviour of a link.
    Link(Link, LinkMode, Duration),
    /// Cuts links between processes silently.
    Cut(CutScope, CutDirection, Duration),
    /// Drains a backend server and announces it again.
    Drain(usize, Duration),
    /// Makes a backend server state how many calls it takes in ten seconds.
    Limit(usize, u32, Duration),
    /// Makes a backend server state that it is leaving, and replaces it with
    /// another run.
    Leave(usize, Duration),
    /// Evacuates a failure domain and ends that again.
    Evacuate(usize, Duration),
    /// Sends a request again and again that backend servers complete for the first of
    /// these times, and that crashes each server that begins it for the second.
    CrashingRequest(Duration, Duration),
    /// Makes all backend servers fail half of their calls.
    FailCalls(Duration),
    /// Kills all processes at once and restarts them.
    KillAll(Duration),
}

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedFault {
    /// Time from the start of the schedule.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

impl Fault {
    /// Returns the time from the injection until the fault is undone. For a
    /// planned stop this includes the timeout of the stop.
    pub fn duration(&self) -> Duration {
        match self {
            Self::Pause(_, time)
            | Self::Kill(_, time)
            | Self::TornWrite(_, time)
            | Self::Link(_, _, time)
            | Self::Cut(_, _, time)
            | Self::Drain(_, time)
            | Self::Limit(_, _, time)
            | Self::Leave(_, time)
            | Self::Evacuate(_, time)
            | Self::FailCalls(time)
            | Self::Wipe(_, time)
            | Self::Replace(_, time)
            | Self::KillAll(time) => *time,
            Self::ReplaceAndKillAll(_, time) => *time * 2,
            Self::CrashingRequest(served, time) => *served + *time,
            Self::Stop(_, time) => *time + PLANNED_STOP_TIMEOUT,
            Self::Reload(_) => Duration::ZERO,
        }
    }

    /// Returns the control instance that the fault takes down or damages; `None`
    /// for `KillAll`, which takes down all of them.
    fn affected_control(&self) -> Option<usize> {
        match self {
            Self::Pause(ProcessId::Control(at), _)
            | Self::Kill(ProcessId::Control(at), _)
            | Self::Stop(ProcessId::Control(at), _)
            | Self::TornWrite(at, _)
            | Self::Wipe(at, _)
            | Self::Replace(at, _)
            | Self::ReplaceAndKillAll(at, _) => Some(*at),
            _ => None,
        }
    }
}

/// Timeout of a planned stop.
pub const PLANNED_STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause between two losses of control instances, in which an instance that was
/// restarted or replaced catches up.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Faults per second of the run; half of them overlap another one.
const FAULTS_PER_SECOND: f64 = 0.8;

/// Share of the seeds in which a request crashes servers. It is sent for longer than
/// the effects of most other faults last.
const CRASHING_REQUEST_SHARE: f64 = 0.4;

/// Share of these requests that servers complete first, and for how long.
const SERVED_FIRST_SHARE: f64 = 0.5;
const SERVED_TIME: Duration = Duration::from_secs(2);

/// Share of the seeds in which servers fail calls.
const FAILED_CALLS_SHARE: f64 = 0.5;

/// Share of the seeds with cuts, and the largest number of cuts in a run.
const CUTS_SHARE: f64 = 0.6;
const CUTS_MAX: usize = 4;

/// Longest cut in a run with other faults.
const OVERLAPPING_CUT_MAX: Duration = Duration::from_secs(4);

/// Longest cut, and the calm time after a cut, in a run that has only cuts.
const CUT_TIME_MAX: Duration = Duration::from_secs(6);
const CALM_AFTER_CUT: Duration = Duration::from_secs(6);

/// Returns a schedule of cuts alone, one after the other, ordered by time. Changes
/// between them must come into force.
pub fn cuts(seed: u64, time: Duration) -> Vec<TimedFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut cuts = Vec::new();
    let mut at = Duration::from_millis(random.random_range(500..3_000));
    while at < time {
        let fault = draw_cut(&mut random, CUT_TIME_MAX);
        cuts.push(TimedFault { at, fault });
        let pause = CALM_AFTER_CUT.mul_f64(random.random_range(0.7..1.4));
        at += fault.duration() + pause;
    }
    cuts
}

/// Returns the faults of a run of length `time`, ordered by time.
pub fn faults(seed: u64, time: Duration) -> Vec<TimedFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let count = (time.as_secs_f64() * FAULTS_PER_SECOND).ceil() as usize;
    let mut starts = Vec::with_capacity(count);
    for _ in 0..count {
        starts.push(time.mul_f64(random.random_range(0.0..0.85)));
    }
    starts.sort();
    let mut faults = Vec::with_capacity(count);
    let mut control_free_at = Duration::ZERO;
    for at in starts {
        let fault = draw_fault(&mut random);
        let all = matches!(fault, Fault::KillAll(_));
        if fault.affected_control().is_some() || all {
            if at < control_free_at {
                continue;
            }
            control_free_at = at + fault.duration() + CATCH_UP_TIME;
        }
        faults.push(TimedFault { at, fault });
    }
    faults.extend(draw_crashing_request(seed, time));
    faults.extend(draw_cuts(seed, time));
    faults.extend(draw_failed_calls(seed, time));
    faults.sort_by_key(|timed| timed.at);
    faults
}

/// Draws from a generator of its own, so that the other faults of a seed stay the same.
fn draw_crashing_request(seed: u64, time: Duration) -> Option<TimedFault> {
    let mut random = SmallRng::seed_from_u64(!seed);
    if !random.random_bool(CRASHING_REQUEST_SHARE) {
        return None;
    }
    let at = time.mul_f64(random.random_range(0.0..0.6));
    let duration = Duration::from_millis(random.random_range(8_000..16_000));
    let served = match random.random_bool(SERVED_FIRST_SHARE) {
        true => SERVED_TIME,
        false => Duration::ZERO,
    };
    let fault = Fault::CrashingRequest(served, duration);
    Some(TimedFault { at, fault })
}

/// Draws from a generator of its own, so that the other faults of a seed stay the same.
fn draw_failed_calls(seed: u64, time: Duration) -> Option<TimedFault> {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(32));
    if !random.random_bool(FAILED_CALLS_SHARE) {
        return None;
    }
    let at = time.mul_f64(random.random_range(0.0..0.6));
    let duration = Duration::from_millis(random.random_range(3_000..10_000));
    let fault = Fault::FailCalls(duration);
    Some(TimedFault { at, fault })
}

/// Draws cuts from a generator of their own, so that the other faults of a seed stay
/// the same. They may overlap any other fault.
fn draw_cuts(seed: u64, time: Duration) -> Vec<TimedFault> {
    let mut random = SmallRng::seed_from_u64(seed.reverse_bits());
    if !random.random_bool(CUTS_SHARE) {
        return Vec::new();
    }
    let mut cuts = Vec::new();
    for _ in 0..random.random_range(1..=CUTS_MAX) {
        let at = time.mul_f64(random.random_range(0.0..0.85));
        let fault = draw_cut(&mut random, OVERLAPPING_CUT_MAX);
        cuts.push(TimedFault { at, fault });
    }
    cuts
}

fn draw_cut(random: &mut SmallRng, longest: Duration) -> Fault {
    let scope = draw_scope(random);
    let direction = match random.random_range(0..5) {
        0 => CutDirection::Outbound,
        1 => CutDirection::Inbound,
        _ => CutDirection::Both,
    };
    let longest = longest.as_millis() as u64;
    let duration = Duration::from_millis(random.random_range(200..longest));
    Fault::Cut(scope, direction, duration)
}

fn draw_scope(random: &mut SmallRng) -> CutScope {
    let node = random.random_range(0..NODES);
    match random.random_range(0..10) {
        0..=2 => CutScope::Leader,
        3..=4 => CutScope::LeaderFromAll,
        5 => CutScope::Control(random.random_range(0..CONTROLS)),
        6..=7 => CutScope::Domain(random.random_range(0..CONTROLS)),
        8 => CutScope::Node(node),
        _ => CutScope::Nodes(node, (node + random.random_range(1..NODES)) % NODES),
    }
}

fn draw_fault(random: &mut SmallRng) -> Fault {
    let duration = Duration::from_millis(random.random_range(200..2_500));
    let control = random.random_range(0..CONTROLS);
    let node = random.random_range(0..NODES);
    let id = if random.random_bool(0.4) {
        ProcessId::Control(control)
    } else {
        ProcessId::Node(node)
    };
    match random.random_range(0..35) {
        0..=3 => Fault::Pause(id, duration),
        4..=6 => Fault::Kill(id, duration),
        7 => Fault::TornWrite(control, duration),
        8..=9 => Fault::Stop(id, duration),
        10 => Fault::Reload(id),
        11..=13 => Fault::Link(Link::ToControl(control), draw_mode(random), duration),
        14..=16 => Fault::Link(Link::ToServer(node), draw_mode(random), duration),
        17..=18 => Fault::Drain(node, duration),
        19 => Fault::Wipe(control, duration),
        20..=22 => Fault::Replace(control, duration),
        23 => Fault::ReplaceAndKillAll(control, duration),
        24..=28 => {
            let calls = random.random_range(2..150);
            Fault::Limit(node, calls, draw_statement_time(random))
        }
        29..=30 => Fault::Leave(node, draw_statement_time(random)),
        31..=33 => Fault::Evacuate(control, draw_evacuation_time(random)),
        _ => Fault::KillAll(duration),
    }
}

/// Statements last longer than other faults, so that faults of nodes fall into them.
fn draw_statement_time(random: &mut SmallRng) -> Duration {
    Duration::from_millis(random.random_range(3_000..9_000))
}

/// Evacuations outlast the time in which they must be in force.
fn draw_evacuation_time(random: &mut SmallRng) -> Duration {
    Duration::from_millis(random.random_range(1_000..12_000))
}

fn draw_mode(random: &mut SmallRng) -> LinkMode {
    match random.random_range(0..4) {
        0 => LinkMode::Delay(Duration::from_millis(random.random_range(20..400))),
        1 => LinkMode::Reset,
        2 => LinkMode::Silent,
        _ => LinkMode::OneWay,
    }
}
