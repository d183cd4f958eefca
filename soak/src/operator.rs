//! The operator: adds one route after the other and reads back at the end.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cowslip_cli::control_client::ControlClient;
use cowslip_cli::request_id::new_request_id;
use cowslip_core::agreement::MemberLine;
use cowslip_core::agreement::MemberRole;
use cowslip_core::change::ConfigChange;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::agreement_messages::MembersCall;
use cowslip_wire::messages::ShowCall;

use crate::backend::SERVICE;
use crate::backend::VERSION;
use crate::callers::WORK_PATH;
use crate::sightings::AcceptedRoute;
use crate::sightings::Sightings;

/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(700);

/// What the operator works with.
pub struct OperatorPlan {
    /// Control instances of the moment, asked without a proxy.
    pub controls: Rc<RefCell<Vec<SocketAddr>>>,
    /// Key of operators.
    pub key: AccessKey,
    /// Highest route in an accepted document.
    pub routes: Rc<Cell<u64>>,
    /// Set once no more changes are to be made.
    pub over: Rc<Cell<bool>>,
    /// Times count from here.
    pub started: Instant,
    /// Where what was accepted goes.
    pub sightings: Rc<RefCell<Sightings>>,
}

impl OperatorPlan {
    fn client(&self) -> ControlClient {
        ControlClient::new(self.controls.borrow().clone(), self.key.clone())
    }
}

/// Adds routes until the run is over. A change whose answer was lost is sent
/// again as part of the next, since documents are whole.
pub async fn change_on(plan: Rc<OperatorPlan>) {
    while !plan.over.get() {
        let client = plan.client();
        let route = plan.routes.get() + 1;
        let change = ConfigChange::Apply(document(route));
        if client.change(new_request_id(), None, change).await.is_ok() {
            plan.routes.set(route);
            let at = plan.started.elapsed();
            let accepted = AcceptedRoute { route, at };
            plan.sightings.borrow_mut().accepted.push(accepted);
        }
        actix_rt::time::sleep(CHANGE_PAUSE).await;
    }
}

/// Numbers of the routes in force, where an instance can tell.
pub async fn read_back(plan: &OperatorPlan) -> Option<Vec<u64>> {
    let snapshot = plan.client().ask(&ShowCall {}).await.ok()?;
    let mut routes = Vec::new();
    for route in &snapshot.document.routes {
        let number = route.path.strip_prefix("/route-");
        routes.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    Some(routes)
}

/// How many voters run, where an instance can tell.
pub async fn live_voters(plan: &OperatorPlan) -> Option<usize> {
    let members = plan.client().ask(&MembersCall {}).await.ok()?;
    let votes = |member: &&MemberLine| member.live && member.role == MemberRole::Voter;
    Some(members.iter().filter(votes).count())
}

/// The document with routes 1 to `last`.
pub fn document(last: u64) -> FleetDocument {
    let spec = ServiceSpec {
        version: VERSION.into(),
        ..ServiceSpec::default()
    };
    let mut routes = vec![route(WORK_PATH.to_owned())];
    for number in 1..=last {
        routes.push(route(format!("/route-{number}")));
    }
    FleetDocument {
        services: BTreeMap::from([(SERVICE.into(), spec)]),
        routes,
        ..FleetDocument::default()
    }
}

fn route(path: String) -> Arc<RouteSpec> {
    Arc::new(RouteSpec {
        path: path.into(),
        service: SERVICE.into(),
        ..RouteSpec::default()
    })
}
