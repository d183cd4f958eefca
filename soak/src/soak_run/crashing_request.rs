//! A request that crashes the backend servers that begin it, at once or after they have
//! completed it for a while.

use std::time::Duration;

use actix_http::header::HOST;
use log::info;

use crate::backend::CRASHING_PATH;
use crate::fault_plan::Link;
use crate::fault_plan::LinkMode;
use crate::fault_plan::NODES;
use crate::soak_run::SoakRun;
use crate::soak_run::POLL_INTERVAL;

/// Timeout of a request that crashes servers, and the pause before the next one.
const CRASHING_TIMEOUT: Duration = Duration::from_millis(300);
const CRASHING_PAUSE: Duration = Duration::from_millis(100);

/// Host of a request that crashes servers, the same at each node.
const CRASHING_HOST: &str = "records.example";

impl SoakRun {
    /// Sends a request to one node after another that servers complete for `served` and
    /// that crashes them for `time` from then on, and brings each crashed server back.
    pub(super) async fn send_crashing_request(&self, served: Duration, time: Duration) {
        let from = self.started.elapsed() + served;
        let from_ms = from.as_millis() as u64;
        let client = awc::Client::builder().timeout(CRASHING_TIMEOUT).finish();
        for node in self.fleet.nodes.iter().cycle() {
            if self.started.elapsed() > from + time {
                return;
            }
            let url = format!("http://{}{CRASHING_PATH}{from_ms}", node.callers);
            let request = client.get(url).insert_header((HOST, CRASHING_HOST));
            let attempt = actix_rt::spawn(request.send());
            // A crashed server is to break its connections while the caller waits.
            while !attempt.is_finished() {
                actix_rt::time::sleep(POLL_INTERVAL).await;
                self.restart_crashed_servers().await;
            }
            actix_rt::time::sleep(CRASHING_PAUSE).await;
        }
    }

    async fn restart_crashed_servers(&self) {
        for at in 0..NODES {
            if self.fleet.servers[at].has_crashed() {
                self.restart_server(at).await;
            }
        }
    }

    /// Breaks the connections of a crashed backend server and begins its next run.
    async fn restart_server(&self, at: usize) {
        info!(
            "event=server-crashed at={:?} server={at}",
            self.started.elapsed()
        );
        let proxy = self.fleet.proxy(Link::ToServer(at));
        proxy.set_mode(LinkMode::Reset);
        actix_rt::time::sleep(CRASHING_PAUSE).await;
        self.fleet.servers[at].begin_run();
        proxy.set_mode(LinkMode::Pass);
        self.fleet.announce(at).await;
    }
}
