//! Keeps departures of the backend server with the control instances, and asks them
//! for those that earlier processes of this node acknowledged.
//!
//! Load pattern: a server leaves, its node acknowledges that and is killed, and a late
//! report or a wrong health page presents the server to the node's next process.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;

use cowslip_core::departure::Departure;
use cowslip_core::server_run::ServerRun;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::departure_messages::DepartCall;
use cowslip_wire::departure_messages::DeparturesCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::peer_client::PeerError;
use cowslip_wire::process_log::LogValue;
use cowslip_wire::wall_clock;

use crate::control_watch::ControlWatch;
use crate::gate_messages::GateMessage;

/// Longest time for which a server waits until its departure is kept; it gives up the
/// attempt after a second and tries again.
const KEEP_TIME_MAX: Duration = Duration::from_millis(850);

/// Timeout of one message to a control instance.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after a message without an answer of the leader.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Pause before the next attempt to learn of departures.
const LEARN_DELAY: Duration = Duration::from_millis(500);

/// Interval of looking for the first configuration.
const CONFIGURED_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a departure is sent again and again. The server ends before.
const SEND_TIME_MAX: Duration = Duration::from_secs(600);

/// Pause before an instance of an earlier build is asked again.
const UNSUPPORTED_DELAY: Duration = Duration::from_secs(5);

/// Status with which control instances of earlier builds refuse these messages.
const UNSUPPORTED_STATUS: u16 = 404;

/// Largest number of departures that are remembered, the latest ones.
const PENDING_MAX: usize = 16;

/// Whether a departure is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeepState {
    Sent,
    Kept,
    /// It cannot be kept: the control instances are of an earlier build, or its names
    /// are too long.
    Unsupported,
}

struct PendingDeparture {
    run: ServerRun,
    state: watch::Receiver<KeepState>,
}

impl PendingDeparture {
    fn is_done(&self) -> bool {
        *self.state.borrow() != KeepState::Sent
    }
}

/// Keeps departures of the server beside one node.
#[derive(Clone)]
pub struct DepartureKeeper {
    node: Arc<str>,
    client: PeerClient,
    control: ControlWatch,
    pending: Rc<RefCell<VecDeque<PendingDeparture>>>,
}

impl DepartureKeeper {
    /// Starts to ask for departures of servers beside `node` that are known to the
    /// control instances, and passes them to `gate`. It asks once the node has a
    /// configuration, of `version`, and before that needs no answer.
    pub fn spawn(
        node: Arc<str>,
        client: PeerClient,
        control: ControlWatch,
        version: Rc<Cell<ConfigVersion>>,
        gate: mpsc::UnboundedSender<GateMessage>,
    ) -> Self {
        let keeper = Self {
            node,
            client,
            control,
            pending: Rc::default(),
        };
        actix_rt::spawn(keeper.clone().learn(version, gate));
        keeper
    }

    /// Keeps the departures received on `runs`, without telling whether they are kept.
    pub fn keep_all(&self, mut runs: mpsc::UnboundedReceiver<ServerRun>) {
        let keeper = self.clone();
        actix_rt::spawn(async move {
            while let Some(run) = runs.recv().await {
                keeper.begin(&run);
            }
        });
    }

    /// Keeps the departure of `run`. Returns true once it outlives this process or
    /// cannot be kept at all, and false if that takes too long; it is still being sent
    /// then.
    pub async fn keep(&self, run: &ServerRun) -> bool {
        let mut state = self.begin(run);
        let done = state.wait_for(|state| *state != KeepState::Sent);
        let done = actix_rt::time::timeout(KEEP_TIME_MAX, done).await;
        if let Ok(Ok(_)) = done {
            return true;
        }
        warn!(
            "event=departure-pending process=node instance={} run={} control={}",
            self.node,
            run.name,
            *self.control.borrow()
        );
        false
    }

    /// Starts to send the departure, unless that has been started before.
    fn begin(&self, run: &ServerRun) -> watch::Receiver<KeepState> {
        let mut pending = self.pending.borrow_mut();
        // A run whose start is not known may depart again.
        let is_same = |sent: &&PendingDeparture| {
            sent.run == *run && (run.started_ms.is_some() || !sent.is_done())
        };
        if let Some(sent) = pending.iter().find(is_same) {
            return sent.state.clone();
        }
        let (sender, state) = watch::channel(KeepState::Sent);
        pending.push_back(PendingDeparture {
            run: run.clone(),
            state: state.clone(),
        });
        if pending.len() > PENDING_MAX {
            pending.pop_front();
        }
        let departure = Departure {
            node: Arc::clone(&self.node),
            run: Arc::clone(&run.name),
            started_ms: run.started_ms,
            at_ms: wall_clock::millis(),
        };
        if departure.has_possible_names() {
            actix_rt::spawn(self.clone().send_until_kept(departure, sender));
        } else {
            sender.send_replace(KeepState::Unsupported);
        }
        state
    }

    async fn send_until_kept(
        self,
        departure: Departure,
        state: watch::Sender<KeepState>,
    ) {
        let began = BootInstant::now();
        let run = Arc::clone(&departure.run);
        let call = DepartCall { departure };
        while began.elapsed() < SEND_TIME_MAX {
            let kept = match self.ask_leader(&call).await {
                Ok(Some(())) => KeepState::Kept,
                Ok(None) => {
                    actix_rt::time::sleep(RETRY_DELAY).await;
                    continue;
                }
                Err(UnsupportedCall) => KeepState::Unsupported,
            };
            info!(
                "event=departure-kept process=node instance={} run={run} kept={} took_ms={}",
                self.node,
                kept == KeepState::Kept,
                began.elapsed().as_millis()
            );
            state.send_replace(kept);
            return;
        }
        warn!(
            "event=departure-lost process=node instance={} run={run}",
            self.node
        );
    }

    /// Asks for the departures that earlier processes acknowledged, until the leader
    /// answers.
    async fn learn(
        self,
        version: Rc<Cell<ConfigVersion>>,
        gate: mpsc::UnboundedSender<GateMessage>,
    ) {
        while version.get() == ConfigVersion::ZERO {
            actix_rt::time::sleep(CONFIGURED_INTERVAL).await;
        }
        let began = BootInstant::now();
        let call = DeparturesCall {
            nodes: vec![Arc::clone(&self.node)],
            forwarded: false,
        };
        loop {
            let control = *self.control.borrow();
            match self.ask(control, &call).await {
                Ok(Some(LeaderAnswer::Answered(departures))) => {
                    info!(
                        "event=departures-learned process=node instance={} departures={} took_ms={}",
                        self.node,
                        departures.len(),
                        began.elapsed().as_millis()
                    );
                    // The gate task ends only with the node.
                    let _ = gate.send(GateMessage::Departed(departures));
                    return;
                }
                Ok(_) => actix_rt::time::sleep(LEARN_DELAY).await,
                Err(UnsupportedCall) => actix_rt::time::sleep(UNSUPPORTED_DELAY).await,
            }
        }
    }

    /// Sends a message to the control instance in use, or to the leader that this one
    /// names. Returns `None` if no leader answered.
    async fn ask_leader<T, C>(&self, call: &C) -> Result<Option<T>, UnsupportedCall>
    where
        C: WireCall<Answer = LeaderAnswer<T>>,
    {
        let control = *self.control.borrow();
        let leader = match self.ask(control, call).await? {
            Some(LeaderAnswer::Answered(answer)) => return Ok(Some(answer)),
            Some(LeaderAnswer::NotLeader(Some(leader))) => leader,
            Some(LeaderAnswer::NotLeader(None) | LeaderAnswer::Unknown) | None => {
                return Ok(None);
            }
        };
        let answer = self.ask(leader, call).await?;
        Ok(answer.and_then(|answer| answer.answered::<()>().ok()))
    }

    async fn ask<C: WireCall>(
        &self,
        address: SocketAddr,
        call: &C,
    ) -> Result<Option<C::Answer>, UnsupportedCall> {
        match self.client.send(address, call, MESSAGE_TIMEOUT).await {
            Ok(answer) => Ok(Some(answer)),
            Err(PeerError::Refused {
                status: UNSUPPORTED_STATUS,
                ..
            }) => Err(UnsupportedCall),
            Err(error) => {
                warn!(
                    "event=departure-unsent process=node control={address} error={}",
                    LogValue(error)
                );
                Ok(None)
            }
        }
    }
}

/// The control instance is of an earlier build and does not know the message.
struct UnsupportedCall;
