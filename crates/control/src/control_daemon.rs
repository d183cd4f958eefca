//! Puts a control instance together and stops it.

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

use cowslip_core::node_presence::NodePresence;
use cowslip_wire::admin_handler::AdminHandler;
use cowslip_wire::admin_handler::ADMIN_CONNECTIONS_MAX;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::peer_client::PeerClient;

use crate::agreed_metrics::AgreedMetrics;
use crate::agreed_task;
use crate::agreed_task::AgreedError;
use crate::agreed_task::AgreedMessage;
use crate::control_handler::ControlHandler;
use crate::control_settings::ControlSettings;
use crate::fanout_task;
use crate::fanout_task::FanoutMessage;
use crate::operator_desk::OperatorDesk;
use crate::pin_task;
use crate::rollout_desk::RolloutDesk;
use crate::rollout_task;
use crate::roster_task;
use crate::source_metrics::SourceMetrics;
use crate::uplink_task;

/// Connections served at once. One instance of 18 carries 290 of 5,200
/// nodes, or 1,040 while most others are away, two connections each.
const CONNECTIONS_MAX: usize = 4_096;

/// Longest that a stop waits for requests in flight; a waiting follower
/// asks for at most two seconds.
const STOP_PATIENCE: Duration = Duration::from_secs(5);

/// Longest that a stop waits for another instance to lead.
const HAND_OVER_PATIENCE: Duration = Duration::from_millis(1_500);

/// A control instance that cannot start.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The part in the agreement cannot start.
    #[error(transparent)]
    Agreed(#[from] AgreedError),
    /// A listener cannot be opened.
    #[error("listener: {0}")]
    Listen(#[from] io::Error),
}

/// The sockets of a control instance, bound before it runs.
pub struct ControlSockets {
    main: TcpListener,
    admin: TcpListener,
}

impl ControlSockets {
    /// Binds both listeners.
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
    agreed: mpsc::Sender<AgreedMessage>,
}

impl ControlDaemon {
    /// Opens the data folder and starts serving.
    pub fn spawn(
        settings: &ControlSettings,
        sockets: ControlSockets,
    ) -> Result<Self, ControlError> {
        Self::spawn_behind(settings, sockets, |_, handler| handler)
    }

    /// The same, with a further interface for operators in front of the
    /// listener's own handler.
    pub fn spawn_behind(
        settings: &ControlSettings,
        sockets: ControlSockets,
        front: impl FnOnce(OperatorDesk, Rc<dyn HttpHandler>) -> Rc<dyn HttpHandler>,
    ) -> Result<Self, ControlError> {
        let mut registry = Registry::default();
        let fanout = fanout_task::spawn(
            Arc::clone(&settings.instance),
            Arc::clone(&settings.failure_domain),
            SourceMetrics::new(&mut registry),
        );
        let mut registry = Registry::default();
        let metrics = AgreedMetrics::new(&mut registry);
        let agreed = agreed_task::spawn(settings, fanout.clone(), metrics)?;
        let task = agreed.task.clone();
        let client = PeerClient::new(settings.system_key.clone());
        let leader = agreed.leader.clone();
        // The queue holds far more than the messages sent until here.
        let _ = fanout.try_send(FanoutMessage::Watch(leader.clone()));
        if let Some(live_for) = settings.node_live {
            let presence = NodePresence { live_for };
            let _ = fanout.try_send(FanoutMessage::Keep(presence));
        }
        actix_rt::spawn(uplink_task::carry(
            leader.clone(),
            client.clone(),
            fanout.clone(),
        ));
        actix_rt::spawn(uplink_task::follow(
            Arc::clone(&settings.instance),
            leader,
            client,
            fanout.clone(),
        ));
        let rollouts = rollout_task::spawn(
            Arc::clone(&settings.instance),
            agreed.clone(),
            fanout.clone(),
            PeerClient::new(settings.system_key.clone()),
        );
        actix_rt::spawn(roster_task::run(agreed.clone(), fanout.clone()));
        actix_rt::spawn(pin_task::run(agreed.clone(), fanout.clone()));
        let desk = OperatorDesk::new(RolloutDesk {
            agreed: agreed.clone(),
            fanout: fanout.clone(),
            rollouts: rollouts.clone(),
        });
        let handler = ControlHandler::new(
            settings.operator_key.clone(),
            settings.system_key.clone(),
            agreed,
            fanout,
            rollouts,
        );
        let handler = front(desk, Rc::new(handler));
        let main = HttpListener::spawn(sockets.main, CONNECTIONS_MAX, handler)?;
        let page = AdminHandler::new(Rc::new(registry), Rc::new(Cell::new(true)));
        let admin =
            HttpListener::spawn(sockets.admin, ADMIN_CONNECTIONS_MAX, Rc::new(page))?;
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
            agreed: task,
        })
    }

    /// Takes what of `settings` can change while the instance runs: whom it
    /// greets where it hears from no leader.
    pub async fn reload(&self, settings: &ControlSettings) {
        let greeted = AgreedMessage::Greet(settings.founders());
        // The task ends only with the process.
        let _ = self.agreed.send(greeted).await;
    }

    /// Address for operators and other processes.
    pub fn address(&self) -> SocketAddr {
        self.main.address()
    }

    /// Hands leadership over, where this instance leads, and stops serving
    /// once what is in flight has ended.
    pub async fn stop(self) -> bool {
        self.hand_over().await;
        let whole = self.main.stop(STOP_PATIENCE).await;
        self.admin.stop(STOP_PATIENCE).await && whole
    }

    /// Without a successor in time the others elect one by themselves.
    async fn hand_over(&self) {
        let (reply, done) = oneshot::channel();
        if self
            .agreed
            .send(AgreedMessage::HandOver(reply))
            .await
            .is_err()
        {
            return;
        }
        let _ = actix_rt::time::timeout(HAND_OVER_PATIENCE, done).await;
    }
}
