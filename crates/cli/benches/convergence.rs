//! Time from the acceptance of a change until the leader knows that every node
//! has applied it, with real control instances and nodes in one process.
//! See docs/BENCHMARKS.md, "Distribution".

use std::time::Duration;
use std::time::Instant;

use cowslip_cli::control_client::ControlClient;
use cowslip_cli::local_fleet::DeploymentPlan;
use cowslip_cli::local_fleet::LocalFleet;
use cowslip_cli::local_fleet::ServicePlan;
use cowslip_cli::request_id::new_request_id;
use cowslip_core::change::ConfigChange;
use cowslip_core::tuning::TuningKey;
use cowslip_wire::messages::FleetStatus;
use cowslip_wire::messages::MoveLine;
use cowslip_wire::messages::MovesCall;
use cowslip_wire::messages::StatusCall;

/// Number of changes measured at each fleet size.
const CHANGES: u64 = 30;

/// Timeout of a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between queries, and pause between changes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Fleets of 30, 100 and 300 nodes.
const FLEET_SIZES: [&[ServicePlan]; 3] = [
    &[plan("contract", 20), plan("records", 10)],
    &[plan("contract", 70), plan("records", 30)],
    &[plan("contract", 200), plan("records", 100)],
];

type AnyError = Box<dyn std::error::Error>;

fn main() -> Result<(), AnyError> {
    println!("nodes  whole in s  done ms p50 / p99 / max of {CHANGES} changes");
    for services in FLEET_SIZES {
        actix_rt::System::new().block_on(measure(services))?;
    }
    Ok(())
}

const fn plan(name: &'static str, servers: usize) -> ServicePlan {
    ServicePlan {
        name,
        servers,
        slots: 10,
    }
}

async fn measure(services: &'static [ServicePlan]) -> Result<(), AnyError> {
    let mut plan = DeploymentPlan::named("sidertre").ok_or("no such deployment")?;
    plan.services = services;
    let nodes: usize = services.iter().map(|service| service.servers).sum();
    let folder = tempfile::tempdir()?;
    let started = Instant::now();
    let fleet = LocalFleet::spawn(&plan, folder.path()).await?;
    let operator = fleet.operator();
    let document = ConfigChange::Apply(plan.document());
    change_and_wait(&operator, document, nodes).await?;
    let startup = started.elapsed();
    let mut durations_ms = Vec::new();
    for value in 1..=CHANGES {
        let key = TuningKey::DeadlineMs;
        let value = 1_000 + value;
        let change = ConfigChange::SetDefault { key, value };
        durations_ms.push(change_and_wait(&operator, change, nodes).await?);
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    durations_ms.sort_unstable();
    let percentile =
        |part: usize| durations_ms[(durations_ms.len() * part).div_ceil(100) - 1];
    println!(
        "{nodes:5}  {:10.1}  {} / {} / {}",
        startup.as_secs_f64(),
        percentile(50),
        percentile(99),
        percentile(100)
    );
    Ok(())
}

/// Makes a change, waits until all `nodes` have applied it and returns how long
/// that took, in milliseconds, as measured by the leader.
async fn change_and_wait(
    operator: &ControlClient,
    change: ConfigChange,
    nodes: usize,
) -> Result<u64, AnyError> {
    let started = Instant::now();
    while operator.ask(&StatusCall {}).await.map_or(0, node_count) < nodes {
        if started.elapsed() > CHANGE_TIMEOUT {
            return Err("not all nodes have reported to control".into());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let version = operator.change(new_request_id(), None, change).await?;
    while started.elapsed() < CHANGE_TIMEOUT {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let call = MovesCall {
            version: Some(version),
        };
        let lines: Vec<MoveLine> = operator.ask(&call).await?;
        let line = lines.first().ok_or("no such move")?;
        let Some(after) = line.done_after_ms else {
            continue;
        };
        if line.progress.nodes_applied as usize >= nodes {
            return Ok(after);
        }
    }
    Err(format!("{version} was not done within {CHANGE_TIMEOUT:?}").into())
}

fn node_count(status: FleetStatus) -> usize {
    status.nodes.len()
}
