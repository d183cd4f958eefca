//! Internal routes, which only backend servers may call, through real nodes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use awc::Client;

use cowslip_cli::local_fleet::DeploymentPlan;
use cowslip_cli::local_fleet::LocalFleet;
use cowslip_cli::request_id::new_request_id;
use cowslip_core::change::ConfigChange;

/// Timeout of starting the fleet; only a broken one reaches it.
const FLEET_TIMEOUT: Duration = Duration::from_secs(30);

async fn status_and_reason(node: SocketAddr, path: &str) -> (u16, String) {
    let sent = Client::default().get(format!("http://{node}{path}"));
    let response = sent.send().await.expect("an answer");
    let reason = response.headers().get("cowslip-reason");
    let reason = reason.map_or("", |reason| reason.to_str().unwrap_or("unreadable"));
    (response.status().as_u16(), reason.to_owned())
}

/// Waits until the node has the document and knows a server of each service.
async fn wait_until_served(node: SocketAddr, path: &str) {
    let started = Instant::now();
    while status_and_reason(node, path).await.0 != 200 {
        assert!(started.elapsed() < FLEET_TIMEOUT, "{path} is never served");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

// An outside caller guesses the path of an internal route. Every node must
// refuse it, also for paths below it, and still serve its own backend server.
#[test]
fn internal_routes_are_refused_to_outside_callers() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let plan = DeploymentPlan::named("colmenares").expect("a known deployment");
        let fleet = LocalFleet::spawn(&plan, folder.path())
            .await
            .expect("a fleet");
        let change = ConfigChange::Apply(plan.document());
        let operator = fleet.operator();
        operator
            .change(new_request_id(), None, change)
            .await
            .expect("the document is accepted");
        for node in &fleet.nodes {
            wait_until_served(node.node.callers(), "/lots").await;
            for path in ["/quality", "/quality/lot-7"] {
                let outside = status_and_reason(node.node.callers(), path).await;
                assert_eq!(outside, (403, "internal-only".to_owned()));
                let own = status_and_reason(node.node.local(), path).await;
                assert_eq!(own, (200, String::new()));
            }
        }
    });
}
