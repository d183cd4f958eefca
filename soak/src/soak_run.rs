//! Runs one seed: starts a fleet, sends traffic, injects the seed's faults and
//! checks the invariants.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use nix::sys::signal::Signal;

use cowslip_core::change::EvacuationChange;

use crate::callers;
use crate::callers::CallerContext;
use crate::fault_plan;
use crate::fault_plan::CutDirection;
use crate::fault_plan::CutScope;
use crate::fault_plan::Fault;
use crate::fault_plan::LinkMode;
use crate::fault_plan::ProcessId;
use crate::fault_plan::TimedFault;
use crate::fault_plan::CONTROLS;
use crate::fault_plan::NODES;
use crate::fault_plan::PLANNED_STOP_TIMEOUT;
use crate::fleet::failure_domain;
use crate::fleet::instance_name;
use crate::fleet::SoakFleet;
use crate::invariants;
use crate::invariants::InvariantViolation;
use crate::invariants::RECOVERY_WINDOW;
use crate::observations::CallOutcome;
use crate::observations::Disruption;
use crate::observations::EvacuationSpan;
use crate::observations::FaultSpan;
use crate::observations::NodePause;
use crate::observations::Observations;
use crate::observations::PlannedStop;
use crate::operator;
use crate::operator::OperatorContext;
use crate::propagation_checks;
use crate::propagation_checks::JudgedShare;
use crate::retry_checks;
use crate::retry_checks::RepeatPeak;
use crate::soak_error::SoakError;
use crate::soak_run::fault_effects::affected_node;
use crate::soak_run::fault_effects::disrupted_node;
use crate::soak_run::fault_effects::node_index;

mod crashing_request;
mod fault_effects;

/// Number of callers; each sends about ten requests per second.
const CALLERS: u64 = 16;

/// Timeout for the fleet to become ready, in seconds. Only a broken fleet
/// reaches it.
const START_TIMEOUT_SECONDS: u64 = 30;

/// Maximum duration of a fault's effects after it has been undone: an election, backoff
/// after failures, and the next try of failed servers.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time without faults at the end, in which the fleet must recover.
const SETTLE_TIME: Duration = Duration::from_secs(9);

/// Time to which the calls of [`Fault::Limit`] refer.
const LIMIT_CALLS_TIME: Duration = Duration::from_secs(10);

/// Slots that calls are offered before they wait, in every other seed.
const SLOT_PROBES: u64 = 3;

/// Interval at which processes and conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Number of faults injected.
    pub faults: usize,
    /// Number of requests whose outcome is known.
    pub calls: usize,
    /// Number of these that got a complete answer with status 200.
    pub answered: usize,
    /// Number of changes accepted.
    pub accepted: usize,
    /// Probes of accepted changes that no fault excuses.
    pub judged: JudgedShare,
    /// Longest time that an accepted change was not in force, counted from the end of
    /// the last fault.
    pub longest_delay: Duration,
    /// The most repeats of requests in a window; `None` if there were none.
    pub repeats: Option<RepeatPeak>,
    /// Longest time by which the soak itself was late, and its proxies with it.
    pub own_delay: Duration,
    /// Invariants that were violated.
    pub violations: Vec<InvariantViolation>,
}

struct SoakRun {
    fleet: SoakFleet,
    started: Instant,
    observations: Rc<RefCell<Observations>>,
    /// Number of faults that are not undone yet; the run waits for them.
    active_faults: Cell<usize>,
    /// Longest time by which this process was late: its proxies stood still as long.
    own_delay: Cell<Duration>,
    /// Processes with a planned stop in progress, whose exit is expected.
    stop_requested: RefCell<BTreeSet<ProcessId>>,
}

/// Runs the faults of `seed` for `time`, with the programs in the folder
/// `programs` and all files in `folder`.
pub async fn run_seed(
    seed: u64,
    time: Duration,
    programs: &Path,
    folder: &Path,
) -> Result<SoakReport, SoakError> {
    run_faults(seed, &fault_plan::faults(seed, time), programs, folder).await
}

/// Runs a schedule of faults, with callers whose requests `seed` determines.
pub async fn run_faults(
    seed: u64,
    faults: &[TimedFault],
    programs: &Path,
    folder: &Path,
) -> Result<SoakReport, SoakError> {
    let started = Instant::now();
    let observations = Rc::new(RefCell::new(Observations::default()));
    let fleet = SoakFleet::spawn(programs, folder, started, &observations)?;
    let run = Rc::new(SoakRun {
        fleet,
        started,
        observations,
        active_faults: Cell::new(0),
        own_delay: Cell::new(Duration::ZERO),
        stop_requested: RefCell::default(),
    });
    let finished = Rc::new(Cell::new(false));
    let operator = run.operator(seed, &finished);
    let operator_task = actix_rt::spawn(operator::run_operator(Rc::clone(&operator)));
    run.wait_until_ready(&operator).await?;
    run.fleet.write_control_settings()?;
    let callers = run.callers(seed, &operator, &finished);
    let exit_watch = actix_rt::spawn(watch_exits(Rc::clone(&run), Rc::clone(&finished)));
    run.inject_faults(faults).await?;
    finished.set(true);
    let end = run.started.elapsed();
    for caller in callers {
        // A caller ends after its last request.
        let _ = caller.await;
    }
    let _ = operator_task.await;
    let _ = exit_watch.await;
    let routes = operator::read_routes(&operator).await.unwrap_or_default();
    run.observations.borrow_mut().final_routes = routes;
    let voters = operator::live_voters(&operator).await.unwrap_or_default();
    run.observations.borrow_mut().live_voters = Some(voters);
    run.stop_all().await?;
    let observations = run.observations.borrow();
    Ok(SoakReport {
        own_delay: run.own_delay.get(),
        ..report(&observations, faults.len(), end)
    })
}

fn report(observations: &Observations, faults: usize, end: Duration) -> SoakReport {
    let calls = observations.calls.iter();
    let answered = calls.filter(|call| matches!(call.outcome, CallOutcome::Answered(_)));
    SoakReport {
        faults,
        calls: observations.calls.len(),
        answered: answered.count(),
        accepted: observations.accepted.len(),
        judged: propagation_checks::judged_share(observations),
        longest_delay: propagation_checks::longest_delay(observations),
        repeats: retry_checks::repeat_peak(observations),
        own_delay: Duration::ZERO,
        violations: invariants::violations(observations, end),
    }
}

/// Records processes that exit without being asked to.
async fn watch_exits(run: Rc<SoakRun>, finished: Rc<Cell<bool>>) {
    while !finished.get() {
        for id in run.fleet.process_ids() {
            if run.stop_requested.borrow().contains(&id) {
                continue;
            }
            let ended = run.fleet.process(id).borrow_mut().try_wait();
            if let Ok(Some(status)) = ended {
                let details = format!("{} ended with {status}", instance_name(id));
                run.observations.borrow_mut().unexpected_exits.push(details);
            }
        }
        let slept = Instant::now();
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let late = slept.elapsed().saturating_sub(POLL_INTERVAL);
        run.own_delay.set(run.own_delay.get().max(late));
    }
}

impl SoakRun {
    fn operator(&self, seed: u64, finished: &Rc<Cell<bool>>) -> Rc<OperatorContext> {
        Rc::new(OperatorContext {
            slot_probes: seed % 2 * SLOT_PROBES,
            controls: Rc::clone(&self.fleet.controls),
            routes: Rc::new(Cell::new(0)),
            finished: Rc::clone(finished),
            started: self.started,
            observations: Rc::clone(&self.observations),
        })
    }

    fn callers(
        &self,
        seed: u64,
        operator: &OperatorContext,
        finished: &Rc<Cell<bool>>,
    ) -> Vec<actix_rt::task::JoinHandle<()>> {
        let nodes = self.fleet.nodes.iter().map(|node| node.callers);
        let context = Rc::new(CallerContext {
            nodes: nodes.collect(),
            routes: Rc::clone(&operator.routes),
            finished: Rc::clone(finished),
            started: self.started,
            observations: Rc::clone(&self.observations),
        });
        let callers = 0..CALLERS;
        let callers = callers.map(|number| {
            let seed = seed.wrapping_mul(CALLERS).wrapping_add(number);
            actix_rt::spawn(callers::run_caller(Rc::clone(&context), seed))
        });
        callers.collect()
    }

    /// Waits until every server is announced and every node answers requests.
    async fn wait_until_ready(
        &self,
        operator: &OperatorContext,
    ) -> Result<(), SoakError> {
        let ready = async {
            for at in 0..NODES {
                self.fleet.announce(at).await;
            }
            while operator.routes.get() == 0 {
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
            let client = awc::Client::default();
            for node in &self.fleet.nodes {
                let url = format!("http://{}{}", node.callers, callers::WORK_PATH);
                loop {
                    let answer = client.get(&url).send().await;
                    if answer.is_ok_and(|answer| answer.status().is_success()) {
                        break;
                    }
                    actix_rt::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        let start_timeout = Duration::from_secs(START_TIMEOUT_SECONDS);
        let ready = actix_rt::time::timeout(start_timeout, ready).await;
        ready.map_err(|_| SoakError::StartTimeout(START_TIMEOUT_SECONDS))
    }

    /// Injects each fault at its time in a task of its own, waits until all are
    /// undone, restarts processes that are down and lets the fleet recover.
    async fn inject_faults(
        self: &Rc<Self>,
        faults: &[TimedFault],
    ) -> Result<(), SoakError> {
        let began = Instant::now();
        for timed in faults {
            let wait = timed.at.saturating_sub(began.elapsed());
            actix_rt::time::sleep(wait).await;
            info!("event=fault at={:?} fault=\"{:?}\"", timed.at, timed.fault);
            self.active_faults.set(self.active_faults.get() + 1);
            let run = Rc::clone(self);
            let fault = timed.fault;
            actix_rt::spawn(async move {
                if let Err(error) = run.inject_fault(fault).await {
                    let details = format!("the soak could not inject {fault:?}: {error}");
                    run.observations.borrow_mut().unexpected_exits.push(details);
                }
                run.active_faults.set(run.active_faults.get() - 1);
            });
        }
        while self.active_faults.get() > 0 {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        for id in self.fleet.process_ids() {
            self.start(id).await?;
        }
        actix_rt::time::sleep(SETTLE_TIME + RECOVERY_WINDOW).await;
        Ok(())
    }

    async fn inject_fault(&self, fault: Fault) -> Result<(), SoakError> {
        let from = self.started.elapsed();
        let span = self.begin_fault_span(fault, from);
        let injected = self.inject_fault_at(fault, from).await;
        if let Some(index) = span {
            let until = self.started.elapsed();
            self.observations.borrow_mut().fault_spans[index].until = until;
        }
        injected
    }

    /// Records a fault that may keep changes from nodes as lasting until its end is
    /// known; returns its index.
    fn begin_fault_span(&self, fault: Fault, from: Duration) -> Option<usize> {
        let node = affected_node(fault)?;
        let fault_spans = &mut self.observations.borrow_mut().fault_spans;
        fault_spans.push(FaultSpan {
            node,
            from,
            until: Duration::MAX / 2,
        });
        Some(fault_spans.len() - 1)
    }

    async fn inject_fault_at(
        &self,
        fault: Fault,
        from: Duration,
    ) -> Result<(), SoakError> {
        match fault {
            Fault::Pause(id, time) => {
                self.signal(id, Signal::SIGSTOP)?;
                actix_rt::time::sleep(time).await;
                self.signal(id, Signal::SIGCONT)?;
                self.record_pause(id, from);
            }
            Fault::Kill(id, time) => self.kill(id, time, |_| Ok(())).await?,
            Fault::TornWrite(at, time) => {
                let tear = |fleet: &SoakFleet| fleet.append_torn_record(at);
                self.kill(ProcessId::Control(at), time, tear).await?;
            }
            Fault::Wipe(at, time) => {
                let empty = |fleet: &SoakFleet| fleet.empty_folder(at);
                self.kill(ProcessId::Control(at), time, empty).await?;
            }
            Fault::Replace(at, time) => self.replace(at, time).await?,
            Fault::ReplaceAndKillAll(at, time) => {
                self.replace(at, time).await?;
                self.kill_all(time).await?;
            }
            Fault::Stop(id, time) => return self.stop(id, time).await,
            Fault::Reload(id) => return self.signal(id, Signal::SIGHUP),
            Fault::Link(link, mode, time) => {
                self.fleet.proxy(link).set_mode(mode);
                actix_rt::time::sleep(time).await;
                self.fleet.proxy(link).set_mode(LinkMode::Pass);
            }
            Fault::Cut(scope, direction, time) => {
                self.cut(scope, direction, time).await;
            }
            Fault::Drain(at, time) => {
                let local = self.fleet.nodes[at].local;
                if self.fleet.servers[at].drain(local).await {
                    actix_rt::time::sleep(time).await;
                }
                self.fleet.announce(at).await;
                return Ok(());
            }
            Fault::Limit(at, calls, time) => {
                let rate = f64::from(calls) / LIMIT_CALLS_TIME.as_secs_f64();
                self.fleet.servers[at].state_limit(Some(rate));
                actix_rt::time::sleep(time).await;
                self.fleet.servers[at].state_limit(None);
                return Ok(());
            }
            Fault::Leave(at, time) => {
                self.fleet.servers[at].state_leaving();
                actix_rt::time::sleep(time).await;
                self.fleet.servers[at].begin_run();
                self.fleet.announce(at).await;
                return Ok(());
            }
            Fault::Evacuate(domain, time) => {
                self.evacuate(domain, time).await;
                return Ok(());
            }
            Fault::CrashingRequest(served, time) => {
                self.send_crashing_request(served, time).await;
                return Ok(());
            }
            Fault::FailCalls(time) => {
                self.set_failing(true);
                actix_rt::time::sleep(time).await;
                self.set_failing(false);
                return Ok(());
            }
            Fault::KillAll(time) => self.kill_all(time).await?,
        }
        self.record_disruption(disrupted_node(fault), from);
        Ok(())
    }

    /// Cuts links for `time`. The leader is the one that leads when the cut begins.
    async fn cut(&self, scope: CutScope, direction: CutDirection, time: Duration) {
        let leader = operator::leader(&self.fleet.controls).await;
        let leader = leader.and_then(|name| self.fleet.control_index(&name));
        let links = self
            .fleet
            .cut_links(scope, direction, leader.unwrap_or_default());
        info!("event=cut scope=\"{scope:?}\" leader={leader:?}");
        self.fleet.links.cuts.cut(&links);
        actix_rt::time::sleep(time).await;
        self.fleet.links.cuts.heal(&links);
    }

    /// Evacuates a failure domain for `time`, unless it is evacuated already.
    async fn evacuate(&self, domain: usize, time: Duration) {
        let controls = &self.fleet.controls;
        let start = EvacuationChange::Start {
            failure_domain: failure_domain(domain).into(),
            operator: "soak".into(),
            reason: "fault of the soak".into(),
        };
        if !operator::order_evacuation(controls, start).await {
            return;
        }
        let from = self.started.elapsed();
        let index = self.observations.borrow().evacuations.len();
        let until = None;
        let span = EvacuationSpan {
            domain,
            from,
            until,
        };
        self.observations.borrow_mut().evacuations.push(span);
        actix_rt::time::sleep(time).await;
        let ended = Some(self.started.elapsed());
        self.observations.borrow_mut().evacuations[index].until = ended;
        let end = EvacuationChange::End {
            failure_domain: failure_domain(domain).into(),
        };
        operator::order_evacuation(controls, end).await;
    }

    fn set_failing(&self, failing: bool) {
        for server in &self.fleet.servers {
            server.set_failing(failing);
        }
    }

    /// Kills a process, applies `damage` to its files, and restarts it after `time`.
    async fn kill(
        &self,
        id: ProcessId,
        time: Duration,
        damage: impl FnOnce(&SoakFleet) -> Result<(), SoakError>,
    ) -> Result<(), SoakError> {
        self.fleet.process(id).borrow_mut().kill()?;
        damage(&self.fleet)?;
        actix_rt::time::sleep(time).await;
        self.start(id).await
    }

    /// Kills all processes at once and restarts them after `time`.
    async fn kill_all(&self, time: Duration) -> Result<(), SoakError> {
        for id in self.fleet.process_ids() {
            self.fleet.process(id).borrow_mut().kill()?;
        }
        actix_rt::time::sleep(time).await;
        for id in self.fleet.process_ids() {
            self.start(id).await?;
        }
        Ok(())
    }

    /// Replaces a control instance. Once the successor has started, the others
    /// reload their settings, which contain its address.
    async fn replace(&self, at: usize, time: Duration) -> Result<(), SoakError> {
        let replace = |fleet: &SoakFleet| fleet.replace_control(at);
        self.kill(ProcessId::Control(at), time, replace).await?;
        for other in (0..CONTROLS).filter(|other| *other != at) {
            self.signal(ProcessId::Control(other), Signal::SIGHUP)?;
        }
        Ok(())
    }

    /// Stops a process with SIGTERM, records how a node exited, and restarts it
    /// `time` later.
    async fn stop(&self, id: ProcessId, time: Duration) -> Result<(), SoakError> {
        let requested = self.started.elapsed();
        self.stop_requested.borrow_mut().insert(id);
        self.signal(id, Signal::SIGTERM)?;
        let process = self.fleet.process(id);
        let mut status = None;
        while self.started.elapsed() < requested + PLANNED_STOP_TIMEOUT {
            status = process.borrow_mut().try_wait()?;
            if status.is_some() || !process.borrow().is_running() {
                break;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        let ended = self.started.elapsed();
        // A process that another fault killed in the meantime says nothing about
        // planned stops.
        let killed = status.is_none() && !process.borrow().is_running();
        process.borrow_mut().kill()?;
        self.stop_requested.borrow_mut().remove(&id);
        if let (ProcessId::Node(node), false) = (id, killed) {
            self.observations.borrow_mut().stops.push(PlannedStop {
                node,
                requested,
                ended,
                clean: status.is_some_and(|status| status.success()),
            });
        }
        actix_rt::time::sleep(time).await;
        self.start(id).await?;
        self.record_disruption(node_index(id), ended);
        Ok(())
    }

    fn signal(&self, id: ProcessId, signal: Signal) -> Result<(), SoakError> {
        self.fleet.process(id).borrow().signal(signal)
    }

    /// Starts a process unless it is running, and announces a node's backend
    /// server to it again.
    async fn start(&self, id: ProcessId) -> Result<(), SoakError> {
        if self.fleet.process(id).borrow().is_running() {
            return Ok(());
        }
        self.fleet.process(id).borrow_mut().start()?;
        let ProcessId::Node(at) = id else {
            return Ok(());
        };
        let start = (at, self.started.elapsed());
        self.observations.borrow_mut().starts.push(start);
        self.fleet.announce(at).await;
        Ok(())
    }

    fn record_pause(&self, id: ProcessId, from: Duration) {
        let Some(node) = node_index(id) else {
            return;
        };
        let until = self.started.elapsed();
        let pause = NodePause { node, from, until };
        self.observations.borrow_mut().pauses.push(pause);
    }

    fn record_disruption(&self, node: Option<usize>, from: Duration) {
        let until = self.started.elapsed() + RECOVERY_TIME;
        let disruption = Disruption { node, from, until };
        self.observations.borrow_mut().disruptions.push(disruption);
    }

    async fn stop_all(&self) -> Result<(), SoakError> {
        for id in self.fleet.process_ids() {
            self.fleet.process(id).borrow_mut().kill()?;
        }
        Ok(())
    }
}
