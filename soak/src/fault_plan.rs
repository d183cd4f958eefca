//! Which faults a seed brings, and when.
//!
//! Faults come alone, in series and overlapping. Two bounds keep the promises
//! checkable: at most one control instance of three is away or damaged at a
//! time, so that a majority always holds what was acknowledged, and all faults
//! are over some seconds before the end.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// Control instances of the fleet; one may be lost.
pub const CONTROLS: usize = 3;

/// Nodes of the fleet, each with a backend server.
pub const NODES: usize = 6;

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Control instance of this number.
    Control(usize),
    /// Node of this number.
    Node(usize),
}

/// How a link through a proxy behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes everything on.
    Pass,
    /// Passes everything on late.
    Delay(Duration),
    /// Resets connections, old and new.
    Reset,
    /// Takes connections and bytes and passes on none.
    Silent,
    /// Passes on what the connecting side sends, and nothing back.
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

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Stopped for a while and continued.
    Pause(Place, Duration),
    /// Killed, and started again after a while.
    Kill(Place, Duration),
    /// A control instance killed in the middle of a write, which leaves a
    /// torn record; started again after a while.
    TornWrite(usize, Duration),
    /// A control instance killed, and started again with an empty folder.
    Wipe(usize, Duration),
    /// A control instance killed for good; another one starts after a while, at
    /// another address and with an empty folder.
    Replace(usize, Duration),
    /// The same, and once the successor has started all processes are killed
    /// and started again.
    ReplaceAndKillAll(usize, Duration),
    /// Asked to stop, and started again a while after its end.
    Stop(Place, Duration),
    /// Told to read its settings again.
    Reload(Place),
    /// A link misbehaves for a while.
    Link(Link, LinkMode, Duration),
    /// A backend server says that it leaves, and announces itself again.
    Drain(usize, Duration),
    /// All processes killed at once, and started again.
    KillAll(Duration),
}

/// A fault and when it begins, from the start of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedFault {
    /// When it begins.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
}

impl Fault {
    /// When what it does is over, from its beginning. An ended process may
    /// take the longest planned stop until it is started again.
    pub fn time(&self) -> Duration {
        match self {
            Self::Pause(_, time)
            | Self::Kill(_, time)
            | Self::TornWrite(_, time)
            | Self::Link(_, _, time)
            | Self::Drain(_, time)
            | Self::Wipe(_, time)
            | Self::Replace(_, time)
            | Self::KillAll(time) => *time,
            Self::ReplaceAndKillAll(_, time) => *time * 2,
            Self::Stop(_, time) => *time + PLANNED_STOP_MAX,
            Self::Reload(_) => Duration::ZERO,
        }
    }

    fn control(&self) -> Option<usize> {
        match self {
            Self::Pause(Place::Control(at), _)
            | Self::Kill(Place::Control(at), _)
            | Self::Stop(Place::Control(at), _)
            | Self::TornWrite(at, _)
            | Self::Wipe(at, _)
            | Self::Replace(at, _)
            | Self::ReplaceAndKillAll(at, _) => Some(*at),
            _ => None,
        }
    }
}

/// Longest time that a planned stop takes.
pub const PLANNED_STOP_MAX: Duration = Duration::from_secs(8);

/// Rest between two losses of control instances: the time in which one that
/// came back or took another's place catches up.
const CONTROL_REST: Duration = Duration::from_secs(4);

/// Faults a second of the run; half of them overlap another one.
const FAULTS_PER_SECOND: f64 = 0.8;

/// The faults of a run of `time`, by their beginning.
pub fn faults(seed: u64, time: Duration) -> Vec<TimedFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let count = (time.as_secs_f64() * FAULTS_PER_SECOND).ceil() as usize;
    let mut starts = Vec::with_capacity(count);
    for _ in 0..count {
        starts.push(time.mul_f64(random.random_range(0.0..0.85)));
    }
    starts.sort();
    let mut faults = Vec::with_capacity(count);
    let mut control_free = Duration::ZERO;
    for at in starts {
        let fault = draw(&mut random);
        let all = matches!(fault, Fault::KillAll(_));
        if fault.control().is_some() || all {
            if at < control_free {
                continue;
            }
            control_free = at + fault.time() + CONTROL_REST;
        }
        faults.push(TimedFault { at, fault });
    }
    faults
}

fn draw(random: &mut SmallRng) -> Fault {
    let away = Duration::from_millis(random.random_range(200..2_500));
    let control = random.random_range(0..CONTROLS);
    let node = random.random_range(0..NODES);
    let place = if random.random_bool(0.4) {
        Place::Control(control)
    } else {
        Place::Node(node)
    };
    match random.random_range(0..25) {
        0..=3 => Fault::Pause(place, away),
        4..=6 => Fault::Kill(place, away),
        7 => Fault::TornWrite(control, away),
        8..=9 => Fault::Stop(place, away),
        10 => Fault::Reload(place),
        11..=13 => Fault::Link(Link::ToControl(control), mode(random), away),
        14..=16 => Fault::Link(Link::ToServer(node), mode(random), away),
        17..=18 => Fault::Drain(node, away),
        19 => Fault::Wipe(control, away),
        20..=22 => Fault::Replace(control, away),
        23 => Fault::ReplaceAndKillAll(control, away),
        _ => Fault::KillAll(away),
    }
}

fn mode(random: &mut SmallRng) -> LinkMode {
    match random.random_range(0..4) {
        0 => LinkMode::Delay(Duration::from_millis(random.random_range(20..400))),
        1 => LinkMode::Reset,
        2 => LinkMode::Silent,
        _ => LinkMode::OneWay,
    }
}
