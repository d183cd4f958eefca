//! The operator, which adds one route after the other during a run and reads the
//! configuration at the end.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cowslip_cli::control_client::ControlClient;
use cowslip_cli::operator_error::OperatorError;
use cowslip_cli::request_id::new_request_id;
use cowslip_core::agreement::MemberLine;
use cowslip_core::agreement::MemberRole;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::EvacuationChange;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::tuning::TuningKey;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::agreement_messages::MembersCall;
use cowslip_wire::messages::ShowCall;

use crate::backend::SERVICE;
use crate::backend::VERSION;
use crate::callers::WORK_PATH;
use crate::fleet::OPERATOR_KEY;
use crate::observations::AcceptedRoute;
use crate::observations::Observations;

/// Retries that the fleet allows for a hundred requests, and beyond that at once.
pub const RETRY_PERCENT: u64 = 10;
pub const RETRY_BURST: u64 = 12;

/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(700);

/// Delay before an order that got no clear answer is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// State of the operator.
pub struct OperatorContext {
    /// Addresses of the current control instances, reached without a proxy.
    pub controls: Rc<RefCell<Vec<SocketAddr>>>,
    /// Highest route number in an accepted document.
    pub routes: Rc<Cell<u64>>,
    /// Fleet default for the slots that a call is offered before it waits.
    pub slot_probes: u64,
    /// Set once no more changes are to be sent.
    pub finished: Rc<Cell<bool>>,
    /// Start of the run, from which all times count.
    pub started: Instant,
    /// Record of the accepted changes.
    pub observations: Rc<RefCell<Observations>>,
}

/// Adds routes until the run is finished. A change that failed or whose answer
/// was lost is contained in the next one, as each change sends the whole
/// document.
pub async fn run_operator(context: Rc<OperatorContext>) {
    while !context.finished.get() {
        let client = operator_client(&context.controls);
        let route = context.routes.get() + 1;
        let change = ConfigChange::Apply(document(route, context.slot_probes));
        if client.change(new_request_id(), None, change).await.is_ok() {
            context.routes.set(route);
            let at = context.started.elapsed();
            let accepted = AcceptedRoute { route, at };
            context.observations.borrow_mut().accepted.push(accepted);
        }
        actix_rt::time::sleep(CHANGE_PAUSE).await;
    }
}

/// Sends an order about an evacuation until it is answered. Returns false if it is
/// refused, because another order about the same failure domain came first.
pub async fn order_evacuation(
    controls: &RefCell<Vec<SocketAddr>>,
    order: EvacuationChange,
) -> bool {
    let request_id = new_request_id();
    loop {
        let client = operator_client(controls);
        let change = ConfigChange::Evacuate(order.clone());
        match client.change(request_id.clone(), None, change).await {
            Ok(_) => return true,
            Err(OperatorError::Refused(_)) => return false,
            Err(_) => actix_rt::time::sleep(ORDER_RETRY_DELAY).await,
        }
    }
}

/// Returns the numbers of the routes in force, or `None` if no instance answers.
pub async fn read_routes(context: &OperatorContext) -> Option<Vec<u64>> {
    let client = operator_client(&context.controls);
    let snapshot = client.ask(&ShowCall {}).await.ok()?;
    let mut routes = Vec::new();
    for route in &snapshot.document.routes {
        let number = route.path.strip_prefix("/route-");
        routes.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    Some(routes)
}

/// Returns the number of live voters, or `None` if no instance answers.
pub async fn live_voters(context: &OperatorContext) -> Option<usize> {
    let client = operator_client(&context.controls);
    let members = client.ask(&MembersCall {}).await.ok()?;
    let votes = |member: &&MemberLine| member.live && member.role == MemberRole::Voter;
    Some(members.iter().filter(votes).count())
}

/// Returns the name of the leader, or `None` if no instance answers.
pub async fn leader(controls: &RefCell<Vec<SocketAddr>>) -> Option<Arc<str>> {
    let members = operator_client(controls).ask(&MembersCall {}).await.ok()?;
    let mut leaders = members.into_iter().filter(|member| member.leads);
    leaders.next().map(|leader| leader.instance)
}

fn operator_client(controls: &RefCell<Vec<SocketAddr>>) -> ControlClient {
    ControlClient::new(controls.borrow().clone(), AccessKey::new(OPERATOR_KEY))
}

/// Returns a document with the work path and routes 1 to `last`.
pub fn document(last: u64, slot_probes: u64) -> FleetDocument {
    let spec = ServiceSpec {
        version: VERSION.into(),
        ..ServiceSpec::default()
    };
    let mut routes = vec![route(WORK_PATH.to_owned())];
    for number in 1..=last {
        routes.push(route(format!("/route-{number}")));
    }
    let mut document = FleetDocument {
        services: BTreeMap::from([(SERVICE.into(), spec)]),
        routes,
        ..FleetDocument::default()
    };
    let defaults = &mut document.defaults;
    defaults.set(TuningKey::SlotProbes, slot_probes);
    defaults.set(TuningKey::RetryPercent, RETRY_PERCENT);
    defaults.set(TuningKey::RetryBurst, RETRY_BURST);
    document
}

fn route(path: String) -> Arc<RouteSpec> {
    Arc::new(RouteSpec {
        path: path.into(),
        service: SERVICE.into(),
        ..RouteSpec::default()
    })
}
