//! Starts and stops a control instance.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use prometheus_client::registry::Registry;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::control_roster::ControlSeat;
use cowslip_core::node_presence::NodePresence;
use cowslip_core::stop_schedule::StopSchedule;
use cowslip_wire::admin_handler::AdminHandler;
use cowslip_wire::admin_handler::ADMIN_CONNECTIONS_MAX;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::peer_client::PeerClient;

use crate::agreement_metrics::AgreementMetrics;
use crate::agreement_task;
use crate::agreement_task::AgreementError;
use crate::agreement_task::AgreementMessage;
use crate::control_handler::ControlHandler;
use crate::control_roster_task;
use crate::control_settings::ControlSettings;
use crate::departure_task;
use crate::evacuation_api::EvacuationApi;
use crate::fanout_task;
use crate::fanout_task::FanoutMessage;
use crate::operator_api::OperatorApi;
use crate::pin_task;
use crate::quarantine_task;
use crate::rollout_api::RolloutApi;
use crate::rollout_task;
use crate::roster_task;
use crate::source_metrics::SourceMetrics;
use crate::uplink_task;

/// Connections served at once. One of 18 instances serves 290 of 5,200 nodes,
/// or 1,040 while most of the others are down, with two connections each.
const CONNECTIONS_MAX: usize = 4_096;

/// Time of a planned stop if the settings do not bound it. A follower asks to wait
/// for at most two seconds.
const STOP_TIME: Duration = Duration::from_secs(7);

/// Longest time that a stop waits for another instance to become leader.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reason why a control instance cannot start.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The agreement member cannot start.
    #[error(transparent)]
    Agreement(#[from] AgreementError),
    /// A listener cannot be opened.
    #[error("listener: {0}")]
    Listen(#[from] io::Error),
}

/// Listening sockets of a control instance, bound before it starts.
pub struct ControlSockets {
    main: TcpListener,
    admin: TcpListener,
}

impl ControlSockets {
    /// Binds the main and the admin listener.
    pub fn bind(listen: SocketAddr, admin_listen: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            main: TcpListener::bind(listen)?,
            admin: TcpListener::bind(admin_listen)?,
        })
    }

    /// Address of the main listener.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.main.local_addr()
    }
}

/// A running control instance.
pub struct ControlDaemon {
    main: HttpListener,
    admin: HttpListener,
    agreement: mpsc::Sender<AgreementMessage>,
    stop_within: Cell<Duration>,
}

impl ControlDaemon {
    /// Opens the data folder and starts serving.
    pub fn spawn(
        settings: &ControlSettings,
        sockets: ControlSockets,
    ) -> Result<Self, ControlError> {
        Self::spawn_with_middleware(settings, sockets, |_, handler| handler)
    }

    /// Starts an instance whose handler is wrapped by `middleware`, which also
    /// gets the operator API.
    pub fn spawn_with_middleware(
        settings: &ControlSettings,
        sockets: ControlSockets,
        middleware: impl FnOnce(OperatorApi, Rc<dyn HttpHandler>) -> Rc<dyn HttpHandler>,
    ) -> Result<Self, ControlError> {
        let mut registry = Registry::default();
        let fanout = fanout_task::spawn(
            Arc::clone(&settings.instance),
            Arc::clone(&settings.failure_domain),
            SourceMetrics::new(&mut registry),
        );
        let metrics = AgreementMetrics::new(&mut registry);
        let agreement = agreement_task::spawn(settings, fanout.clone(), metrics)?;
        let task = agreement.task.clone();
        let client = PeerClient::new(settings.system_key.clone());
        let leader = agreement.leader.clone();
        // Cannot fail: the queue is empty and holds far more messages.
        let _ = fanout.try_send(FanoutMessage::WatchLeader(leader.clone()));
        if let Some(live_for) = settings.node_live {
            let presence = NodePresence { live_for };
            let _ = fanout.try_send(FanoutMessage::SetPresence(presence));
        }
        actix_rt::spawn(uplink_task::send_reports(
            leader.clone(),
            client.clone(),
            fanout.clone(),
        ));
        let seat = ControlSeat {
            instance: Arc::clone(&settings.instance),
            failure_domain: Arc::clone(&settings.failure_domain),
            address: settings.address(),
        };
        actix_rt::spawn(uplink_task::follow(
            seat.clone(),
            leader,
            client,
            fanout.clone(),
        ));
        let rollouts = rollout_task::spawn(
            Arc::clone(&settings.instance),
            agreement.clone(),
            fanout.clone(),
            PeerClient::new(settings.system_key.clone()),
        );
        let quarantines = quarantine_task::spawn(
            Arc::clone(&settings.instance),
            agreement.clone(),
            PeerClient::new(settings.system_key.clone()),
        );
        let departures = departure_task::spawn(
            agreement.clone(),
            PeerClient::new(settings.system_key.clone()),
        );
        actix_rt::spawn(roster_task::run(agreement.clone(), fanout.clone()));
        actix_rt::spawn(control_roster_task::run(
            seat,
            agreement.clone(),
            fanout.clone(),
        ));
        actix_rt::spawn(pin_task::run(agreement.clone(), fanout.clone()));
        let rollout_api = RolloutApi {
            agreement: agreement.clone(),
            fanout: fanout.clone(),
            rollouts,
        };
        let evacuation_api = EvacuationApi {
            agreement: agreement.clone(),
            fanout: fanout.clone(),
            failure_domains: settings.failure_domains.clone(),
        };
        let api = OperatorApi::new(rollout_api.clone(), evacuation_api.clone());
        let handler = ControlHandler::new(
            settings.operator_key.clone(),
            settings.system_key.clone(),
            rollout_api,
            evacuation_api,
            quarantines,
            departures,
        );
        let handler = middleware(api, Rc::new(handler));
        let main = HttpListener::spawn(sockets.main, CONNECTIONS_MAX, handler)?;
        let admin_handler =
            AdminHandler::new(Rc::new(registry), Rc::new(Cell::new(true)));
        let admin = HttpListener::spawn(
            sockets.admin,
            ADMIN_CONNECTIONS_MAX,
            Rc::new(admin_handler),
        )?;
        info!(
            "event=started process=control instance={} failure_domain={} listen={} admin={}",
            settings.instance,
            settings.failure_domain,
            main.address(),
            admin.address()
        );
        Ok(Self {
            main,
            admin,
            agreement: task,
            stop_within: Cell::new(settings.stop_within.unwrap_or(STOP_TIME)),
        })
    }

    /// Applies the settings that can change while the instance runs: the
    /// instances to contact when it hears from no leader, and the time of a planned
    /// stop.
    pub async fn reload(&self, settings: &ControlSettings) {
        self.stop_within
            .set(settings.stop_within.unwrap_or(STOP_TIME));
        let message = AgreementMessage::SetSeeds(settings.founders());
        // Fails only at shutdown: the task runs as long as the process.
        let _ = self.agreement.send(message).await;
    }

    /// Address where operators and other processes reach this instance.
    pub fn address(&self) -> SocketAddr {
        self.main.address()
    }

    /// Hands over leadership if this instance leads, then stops serving.
    /// Returns true if all requests in flight ended before the timeout.
    pub async fn stop(self) -> bool {
        let schedule = StopSchedule::of(self.stop_within.get(), HAND_OVER_TIMEOUT);
        let began = BootInstant::now();
        let until = |time: Duration| time.saturating_sub(began.elapsed());
        self.hand_over(schedule.notice).await;
        let main_drained = self.main.stop(until(schedule.connections)).await;
        self.admin.stop(until(schedule.connections)).await && main_drained
    }

    /// Waits until another instance leads. After the timeout the others elect a
    /// leader by themselves.
    async fn hand_over(&self, timeout: Duration) {
        let (reply, done) = oneshot::channel();
        if self
            .agreement
            .send(AgreementMessage::HandOver(reply))
            .await
            .is_err()
        {
            return;
        }
        let _ = actix_rt::time::timeout(timeout, done).await;
    }
}
