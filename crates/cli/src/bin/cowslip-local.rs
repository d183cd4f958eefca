//! `cowslip-local`: a demonstration fleet in one process.

use std::process::exit;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use bpaf::Bpaf;
use bytes::Bytes;

use cowslip_cli::control_client::ControlClient;
use cowslip_cli::local_fleet::DeploymentPlan;
use cowslip_cli::local_fleet::LocalFleet;
use cowslip_cli::request_id::new_request_id;
use cowslip_core::change::ConfigChange;
use cowslip_core::document::ExceptionEntry;
use cowslip_core::document::ExceptionScope;
use cowslip_core::move_tracker::MoveState;
use cowslip_core::tuning::TuningKey;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::command_args;
use cowslip_wire::messages::MoveLine;
use cowslip_wire::messages::MovesCall;
use cowslip_wire::messages::StatusCall;
use cowslip_wire::process_log;
use cowslip_wire::stop_signal;

/// Number of calls sent while the configuration changes.
const CALLS: usize = 1_000;

/// Number of callers; each has one call in flight.
const CALLERS: usize = 16;

/// Timeout of a move: ten times the few seconds in which a change should be in
/// force on every node.
const MOVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between queries while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a small fleet on loopback, sends calls through it while its
/// configuration changes, and prints the results.
///
/// Example: cowslip-local --deployment colmenares --once
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct LocalArgs {
    /// Deployment to run: sidertre or colmenares
    #[bpaf(argument("NAME"), fallback("sidertre".to_owned()))]
    deployment: String,
    /// Exit when done, with status 0 only if everything succeeded
    once: bool,
}

type AnyError = Box<dyn std::error::Error>;

fn main() {
    let args = command_args::parse_or_exit(&local_args());
    if std::env::var_os("RUST_LOG").is_none() {
        std::env::set_var("RUST_LOG", "warn");
    }
    process_log::start();
    let Some(plan) = DeploymentPlan::named(&args.deployment) else {
        eprintln!("cowslip-local: unknown deployment {:?}", args.deployment);
        exit(2);
    };
    match actix_rt::System::new().block_on(run(plan, args.once)) {
        Ok(true) => {}
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("cowslip-local: {error}");
            exit(1);
        }
    }
}

async fn run(plan: DeploymentPlan, once: bool) -> Result<bool, AnyError> {
    let folder = tempfile::tempdir()?;
    let fleet = Rc::new(LocalFleet::spawn(&plan, folder.path()).await?);
    print_fleet(&fleet);
    let operator = fleet.operator();
    let passed = run_demo(&fleet, &operator, &plan).await?;
    println!(
        "{}",
        if passed {
            "all of it held"
        } else {
            "something did not hold"
        }
    );
    if !once {
        println!("running until Ctrl-C");
        stop_signal::wait().await?;
    }
    Ok(passed)
}

fn print_fleet(fleet: &LocalFleet) {
    let addresses: Vec<String> =
        fleet.addresses().iter().map(ToString::to_string).collect();
    println!("control  {}", addresses.join(","));
    for node in &fleet.nodes {
        println!(
            "node     {:<12} callers {}  local {}  admin {}",
            node.instance,
            node.node.callers(),
            node.node.local(),
            node.node.admin()
        );
    }
}

async fn run_demo(
    fleet: &Rc<LocalFleet>,
    operator: &ControlClient,
    plan: &DeploymentPlan,
) -> Result<bool, AnyError> {
    let nodes = fleet.nodes.len() as u32;
    wait_for_nodes(operator, fleet.nodes.len()).await?;
    let first = change(operator, ConfigChange::Apply(plan.document())).await?;
    let mut passed = wait_for_move(operator, first, nodes).await?;
    let calls = actix_rt::spawn(send_calls(Rc::clone(fleet), plan.external_paths()));
    let key = TuningKey::DeadlineMs;
    let second = change(operator, ConfigChange::SetDefault { key, value: 5_000 }).await?;
    passed &= wait_for_move(operator, second, nodes).await?;
    let third = change(operator, ConfigChange::AddException(exception(plan))).await?;
    passed &= wait_for_move(operator, third, nodes).await?;
    let complete = calls.await?;
    println!("calls    {complete} of {CALLS} answered whole");
    Ok(passed && complete == CALLS)
}

fn exception(plan: &DeploymentPlan) -> ExceptionEntry {
    ExceptionEntry {
        id: "slow-season".into(),
        scope: ExceptionScope {
            service: Some(plan.services[0].name.into()),
            ..ExceptionScope::default()
        },
        key: TuningKey::DeadlineMs,
        value: 8_000,
        reason: "acceptances take longer while the presses run".to_owned(),
    }
}

async fn change(
    operator: &ControlClient,
    change: ConfigChange,
) -> Result<ConfigVersion, AnyError> {
    Ok(operator.change(new_request_id(), None, change).await?)
}

/// Waits until every node has reported to control, so that the live nodes of a
/// move are the whole fleet.
async fn wait_for_nodes(operator: &ControlClient, nodes: usize) -> Result<(), AnyError> {
    let started = Instant::now();
    while started.elapsed() < MOVE_TIMEOUT {
        let status = operator.ask(&StatusCall {}).await?;
        if status.nodes.len() >= nodes {
            return Ok(());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Err(format!("fewer than {nodes} nodes have reported to control").into())
}

async fn wait_for_move(
    operator: &ControlClient,
    version: ConfigVersion,
    nodes: u32,
) -> Result<bool, AnyError> {
    let started = Instant::now();
    loop {
        let call = MovesCall {
            version: Some(version),
        };
        let lines: Vec<MoveLine> = operator.ask(&call).await?;
        for line in &lines {
            let everywhere = line.progress.nodes_live >= nodes;
            if line.progress.state == MoveState::Done && everywhere {
                print_move(line);
                return Ok(true);
            }
        }
        if started.elapsed() > MOVE_TIMEOUT {
            println!("move     {version} not done in {MOVE_TIMEOUT:?}");
            return Ok(false);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn print_move(line: &MoveLine) {
    let progress = line.progress;
    println!(
        "move     {} {}: {} on {} of {} nodes after {} ms",
        line.version,
        line.summary,
        progress.state.as_str(),
        progress.nodes_applied,
        progress.nodes_live,
        line.done_after_ms.unwrap_or_default()
    );
}

/// Sends the calls and returns how many got the complete answer to their own
/// request.
async fn send_calls(fleet: Rc<LocalFleet>, paths: Vec<&'static str>) -> usize {
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let fleet = Rc::clone(&fleet);
        let paths = paths.clone();
        callers.push(actix_rt::spawn(async move {
            let client = Client::default();
            let mut complete = 0;
            for number in (caller..CALLS).step_by(CALLERS) {
                let path = paths[number % paths.len()];
                complete +=
                    usize::from(call_answered(&fleet, &client, path, number).await);
            }
            complete
        }));
    }
    let mut complete = 0;
    for caller in callers {
        complete += caller.await.unwrap_or(0);
    }
    complete
}

async fn call_answered(
    fleet: &LocalFleet,
    client: &Client,
    path: &str,
    number: usize,
) -> bool {
    let node = &fleet.nodes[number % fleet.nodes.len()];
    let url = format!("http://{}{path}/{number}", node.node.callers());
    let body = Bytes::from(format!("body of call {number}"));
    let sent = client
        .post(url)
        .insert_header(("cowslip-customer", "local"));
    let Ok(mut response) = sent.send_body(body.clone()).await else {
        return false;
    };
    let Ok(answer) = response.body().await else {
        return false;
    };
    let own = format!("{path}/{number}\n");
    let text: Arc<str> = String::from_utf8_lossy(&answer).into();
    let complete =
        text.contains(&own) && text.ends_with(&*String::from_utf8_lossy(&body));
    if !complete {
        println!("call     {number}: {} {}", response.status(), text.trim());
    }
    complete
}
