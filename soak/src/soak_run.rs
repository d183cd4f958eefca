//! One run: a fleet, its traffic, the faults of a seed, and the verdict.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use nix::sys::signal::Signal;

use cowslip_wire::access_key::AccessKey;

use crate::callers;
use crate::callers::CallerPlan;
use crate::fault_plan;
use crate::fault_plan::Fault;
use crate::fault_plan::Link;
use crate::fault_plan::LinkMode;
use crate::fault_plan::Place;
use crate::fault_plan::TimedFault;
use crate::fault_plan::CONTROLS;
use crate::fault_plan::NODES;
use crate::fault_plan::PLANNED_STOP_MAX;
use crate::fleet::instance;
use crate::fleet::SoakFleet;
use crate::fleet::OPERATOR_KEY;
use crate::operator;
use crate::operator::OperatorPlan;
use crate::promises;
use crate::promises::BrokenPromise;
use crate::promises::LAST_PART;
use crate::sightings::Outcome;
use crate::sightings::PlannedStop;
use crate::sightings::Sightings;
use crate::sightings::TroubledTime;
use crate::soak_error::SoakError;

/// Callers of a run; each makes some ten requests a second.
const CALLERS: u64 = 16;

/// Longest start of the fleet, in seconds; only a broken one takes it.
const UP_SECONDS_MAX: u64 = 30;

/// How long a fault may still be felt after it is over: an election, waits
/// after failures, and servers that are tried again.
const AFTERMATH: Duration = Duration::from_secs(4);

/// Rest at the end, in which the fleet must recover.
const REST: Duration = Duration::from_secs(9);

/// How often processes are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What a run came to.
#[derive(Debug)]
pub struct SoakReport {
    /// Faults played.
    pub faults: usize,
    /// Requests whose outcome is known.
    pub calls: usize,
    /// Of these, answered whole.
    pub answered: usize,
    /// Changes accepted.
    pub accepted: usize,
    /// Promises that did not hold.
    pub broken: Vec<BrokenPromise>,
}

struct SoakRun {
    fleet: SoakFleet,
    started: Instant,
    sightings: Rc<RefCell<Sightings>>,
    /// Faults that are not over, so that the end waits for them.
    under_way: Cell<usize>,
    /// Places whose processes were asked to stop.
    asked: RefCell<BTreeSet<Place>>,
}

/// Plays `seed` for `time`, with programs from `programs` and all files in
/// `folder`.
pub async fn play(
    seed: u64,
    time: Duration,
    programs: &Path,
    folder: &Path,
) -> Result<SoakReport, SoakError> {
    let started = Instant::now();
    let sightings = Rc::new(RefCell::new(Sightings::default()));
    let fleet = SoakFleet::spawn(programs, folder, started, &sightings)?;
    let run = Rc::new(SoakRun {
        fleet,
        started,
        sightings,
        under_way: Cell::new(0),
        asked: RefCell::default(),
    });
    let over = Rc::new(Cell::new(false));
    let operator = run.operator(&over);
    let operating = actix_rt::spawn(operator::change_on(Rc::clone(&operator)));
    run.come_up(&operator).await?;
    run.fleet.write_control_settings()?;
    let calling = run.callers(seed, &operator, &over);
    let watching = actix_rt::spawn(watch(Rc::clone(&run), Rc::clone(&over)));
    let faults = fault_plan::faults(seed, time);
    run.play_faults(&faults).await?;
    over.set(true);
    for caller in calling {
        // A caller ends with its last request.
        let _ = caller.await;
    }
    let _ = operating.await;
    let _ = watching.await;
    let end = run.started.elapsed();
    let routes = operator::read_back(&operator).await.unwrap_or_default();
    run.sightings.borrow_mut().read_back = routes;
    let voters = operator::live_voters(&operator).await.unwrap_or_default();
    run.sightings.borrow_mut().live_voters = Some(voters);
    run.stop_all().await?;
    let sightings = run.sightings.borrow();
    Ok(report(&sightings, faults.len(), end))
}

fn report(sightings: &Sightings, faults: usize, end: Duration) -> SoakReport {
    let calls = sightings.calls.iter();
    let answered = calls.filter(|call| matches!(call.outcome, Outcome::Answered(_)));
    SoakReport {
        faults,
        calls: sightings.calls.len(),
        answered: answered.count(),
        accepted: sightings.accepted.len(),
        broken: promises::broken(sightings, end),
    }
}

/// Notes processes that end though nobody asked them to.
async fn watch(run: Rc<SoakRun>, over: Rc<Cell<bool>>) {
    while !over.get() {
        for place in run.fleet.places() {
            if run.asked.borrow().contains(&place) {
                continue;
            }
            let ended = run.fleet.process(place).borrow_mut().ended();
            if let Ok(Some(status)) = ended {
                let seen = format!("{} ended with {status}", instance(place));
                run.sightings.borrow_mut().own_ends.push(seen);
            }
        }
        actix_rt::time::sleep(LOOK_EVERY).await;
    }
}

impl SoakRun {
    fn operator(&self, over: &Rc<Cell<bool>>) -> Rc<OperatorPlan> {
        Rc::new(OperatorPlan {
            controls: Rc::clone(&self.fleet.controls),
            key: AccessKey::new(OPERATOR_KEY),
            routes: Rc::new(Cell::new(0)),
            over: Rc::clone(over),
            started: self.started,
            sightings: Rc::clone(&self.sightings),
        })
    }

    fn callers(
        &self,
        seed: u64,
        operator: &OperatorPlan,
        over: &Rc<Cell<bool>>,
    ) -> Vec<actix_rt::task::JoinHandle<()>> {
        let nodes = self.fleet.nodes.iter().map(|node| node.callers);
        let plan = Rc::new(CallerPlan {
            nodes: nodes.collect(),
            routes: Rc::clone(&operator.routes),
            over: Rc::clone(over),
            started: self.started,
            sightings: Rc::clone(&self.sightings),
        });
        let callers = 0..CALLERS;
        let callers = callers.map(|number| {
            let seed = seed.wrapping_mul(CALLERS).wrapping_add(number);
            actix_rt::spawn(callers::call_on(Rc::clone(&plan), seed))
        });
        callers.collect()
    }

    /// Waits until every server is announced and every node serves.
    async fn come_up(&self, operator: &OperatorPlan) -> Result<(), SoakError> {
        let up = async {
            for at in 0..NODES {
                self.fleet.announce(at).await;
            }
            while operator.routes.get() == 0 {
                actix_rt::time::sleep(LOOK_EVERY).await;
            }
            let client = awc::Client::default();
            for node in &self.fleet.nodes {
                let url = format!("http://{}{}", node.callers, callers::WORK_PATH);
                loop {
                    let answer = client.get(&url).send().await;
                    if answer.is_ok_and(|answer| answer.status().is_success()) {
                        break;
                    }
                    actix_rt::time::sleep(LOOK_EVERY).await;
                }
            }
        };
        let longest = Duration::from_secs(UP_SECONDS_MAX);
        let up = actix_rt::time::timeout(longest, up).await;
        up.map_err(|_| SoakError::NeverUp(UP_SECONDS_MAX))
    }

    /// Plays all faults at their times, each in a task of its own, and rests.
    async fn play_faults(
        self: &Rc<Self>,
        faults: &[TimedFault],
    ) -> Result<(), SoakError> {
        let began = Instant::now();
        for timed in faults {
            let wait = timed.at.saturating_sub(began.elapsed());
            actix_rt::time::sleep(wait).await;
            info!("event=fault at={:?} fault=\"{:?}\"", timed.at, timed.fault);
            self.under_way.set(self.under_way.get() + 1);
            let run = Rc::clone(self);
            let fault = timed.fault;
            actix_rt::spawn(async move {
                if let Err(error) = run.play_fault(fault).await {
                    let seen = format!("the soak could not play {fault:?}: {error}");
                    run.sightings.borrow_mut().own_ends.push(seen);
                }
                run.under_way.set(run.under_way.get() - 1);
            });
        }
        while self.under_way.get() > 0 {
            actix_rt::time::sleep(LOOK_EVERY).await;
        }
        for place in self.fleet.places() {
            self.start(place).await?;
        }
        actix_rt::time::sleep(REST + LAST_PART).await;
        Ok(())
    }

    async fn play_fault(&self, fault: Fault) -> Result<(), SoakError> {
        let from = self.started.elapsed();
        match fault {
            Fault::Pause(place, time) => {
                self.signal(place, Signal::SIGSTOP)?;
                actix_rt::time::sleep(time).await;
                self.signal(place, Signal::SIGCONT)?;
            }
            Fault::Kill(place, time) => self.kill(place, time, |_| Ok(())).await?,
            Fault::TornWrite(at, time) => {
                let tear = |fleet: &SoakFleet| fleet.tear_log(at);
                self.kill(Place::Control(at), time, tear).await?;
            }
            Fault::Wipe(at, time) => {
                let empty = |fleet: &SoakFleet| fleet.empty_folder(at);
                self.kill(Place::Control(at), time, empty).await?;
            }
            Fault::Replace(at, time) => self.replace(at, time).await?,
            Fault::ReplaceAndKillAll(at, time) => {
                self.replace(at, time).await?;
                self.kill_all(time).await?;
            }
            Fault::Stop(place, time) => return self.stop(place, time).await,
            Fault::Reload(place) => return self.signal(place, Signal::SIGHUP),
            Fault::Link(link, mode, time) => {
                self.fleet.proxy(link).set(mode);
                actix_rt::time::sleep(time).await;
                self.fleet.proxy(link).set(LinkMode::Pass);
            }
            Fault::Drain(at, time) => {
                let local = self.fleet.nodes[at].local;
                if self.fleet.servers[at].drain(local).await {
                    actix_rt::time::sleep(time).await;
                }
                self.fleet.announce(at).await;
                return Ok(());
            }
            Fault::KillAll(time) => self.kill_all(time).await?,
        }
        self.note_trouble(felt_by(fault), from);
        Ok(())
    }

    /// Kills a process, has `harm` done to what it leaves, and starts it again.
    async fn kill(
        &self,
        place: Place,
        time: Duration,
        harm: impl FnOnce(&SoakFleet) -> Result<(), SoakError>,
    ) -> Result<(), SoakError> {
        self.fleet.process(place).borrow_mut().kill()?;
        harm(&self.fleet)?;
        actix_rt::time::sleep(time).await;
        self.start(place).await
    }

    async fn kill_all(&self, time: Duration) -> Result<(), SoakError> {
        for place in self.fleet.places() {
            self.fleet.process(place).borrow_mut().kill()?;
        }
        actix_rt::time::sleep(time).await;
        for place in self.fleet.places() {
            self.start(place).await?;
        }
        Ok(())
    }

    /// Replaces a control instance; the others hear of its successor's address
    /// once it has started.
    async fn replace(&self, at: usize, time: Duration) -> Result<(), SoakError> {
        let replace = |fleet: &SoakFleet| fleet.replace_control(at);
        self.kill(Place::Control(at), time, replace).await?;
        for other in (0..CONTROLS).filter(|other| *other != at) {
            self.signal(Place::Control(other), Signal::SIGHUP)?;
        }
        Ok(())
    }

    /// A planned stop, checked, and a start some time after its end.
    async fn stop(&self, place: Place, time: Duration) -> Result<(), SoakError> {
        let asked = self.started.elapsed();
        self.asked.borrow_mut().insert(place);
        self.signal(place, Signal::SIGTERM)?;
        let process = self.fleet.process(place);
        let mut status = None;
        while self.started.elapsed() < asked + PLANNED_STOP_MAX {
            status = process.borrow_mut().ended()?;
            if status.is_some() || !process.borrow().runs() {
                break;
            }
            actix_rt::time::sleep(LOOK_EVERY).await;
        }
        let ended = self.started.elapsed();
        // Killed by another fault meanwhile, it is no planned stop any more.
        let killed = status.is_none() && !process.borrow().runs();
        process.borrow_mut().kill()?;
        self.asked.borrow_mut().remove(&place);
        if let (Place::Node(node), false) = (place, killed) {
            self.sightings.borrow_mut().stops.push(PlannedStop {
                node,
                asked,
                ended,
                clean: status.is_some_and(|status| status.success()),
            });
        }
        actix_rt::time::sleep(time).await;
        self.start(place).await?;
        self.note_trouble(node_of(place), ended);
        Ok(())
    }

    fn signal(&self, place: Place, signal: Signal) -> Result<(), SoakError> {
        self.fleet.process(place).borrow().signal(signal)
    }

    /// Starts a process where it does not run; a node's server announces
    /// itself to it again.
    async fn start(&self, place: Place) -> Result<(), SoakError> {
        if self.fleet.process(place).borrow().runs() {
            return Ok(());
        }
        self.fleet.process(place).borrow_mut().start()?;
        let Place::Node(at) = place else {
            return Ok(());
        };
        let start = (at, self.started.elapsed());
        self.sightings.borrow_mut().starts.push(start);
        self.fleet.announce(at).await;
        Ok(())
    }

    fn note_trouble(&self, node: Option<usize>, from: Duration) {
        let until = self.started.elapsed() + AFTERMATH;
        let trouble = TroubledTime { node, from, until };
        self.sightings.borrow_mut().troubles.push(trouble);
    }

    async fn stop_all(&self) -> Result<(), SoakError> {
        for place in self.fleet.places() {
            self.fleet.process(place).borrow_mut().kill()?;
        }
        Ok(())
    }
}

fn node_of(place: Place) -> Option<usize> {
    match place {
        Place::Node(at) => Some(at),
        Place::Control(_) => None,
    }
}

/// The node that alone feels a fault; `None` where the whole fleet may.
fn felt_by(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Pause(place, _) | Fault::Kill(place, _) => node_of(place),
        Fault::Link(Link::ToServer(at), ..) => Some(at),
        _ => None,
    }
}
