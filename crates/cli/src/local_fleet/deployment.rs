//! The deployments of the two users, as local fleets run them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_core::document::CallPriority;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;

/// A service and the size of its deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: &'static str,
    /// Number of backend servers.
    pub servers: usize,
    /// Slots of each backend server.
    pub slots: u32,
}

/// A route of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct RoutePlan {
    path: &'static str,
    service: &'static str,
    priority: CallPriority,
    internal: bool,
}

/// A deployment: failure domains, services and routes.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentPlan {
    /// Name on the command line.
    pub name: &'static str,
    /// Failure domains; servers and control instances are assigned to them round
    /// robin.
    pub failure_domains: &'static [&'static str],
    /// Services of the deployment.
    pub services: &'static [ServicePlan],
    /// Routes; `cowslip-local` calls those that are not internal.
    pub routes: &'static [RoutePlan],
}

const SIDERTRE: DeploymentPlan = DeploymentPlan {
    name: "sidertre",
    failure_domains: &["hardanger", "sogn", "voss"],
    services: &[
        ServicePlan {
            name: "contract",
            servers: 6,
            slots: 10,
        },
        ServicePlan {
            name: "records",
            servers: 3,
            slots: 10,
        },
    ],
    routes: &[
        route("/contracts", "contract", CallPriority::Normal),
        route("/prices", "records", CallPriority::High),
        route("/quota", "records", CallPriority::Low),
        route("/records", "records", CallPriority::Normal),
    ],
};

const COLMENARES: DeploymentPlan = DeploymentPlan {
    name: "colmenares",
    failure_domains: &["co-central-1", "co-central-2", "co-central-3"],
    services: &[
        ServicePlan {
            name: "ledger",
            servers: 6,
            slots: 5,
        },
        ServicePlan {
            name: "documents",
            servers: 3,
            slots: 5,
        },
    ],
    routes: &[
        route("/sales", "ledger", CallPriority::Normal),
        route("/certificates", "documents", CallPriority::High),
        route("/lots", "documents", CallPriority::Normal),
        RoutePlan {
            path: "/quality",
            service: "documents",
            priority: CallPriority::Normal,
            internal: true,
        },
    ],
};

const fn route(
    path: &'static str,
    service: &'static str,
    priority: CallPriority,
) -> RoutePlan {
    RoutePlan {
        path,
        service,
        priority,
        internal: false,
    }
}

impl DeploymentPlan {
    /// Returns the deployment with this name, if there is one.
    pub fn named(name: &str) -> Option<Self> {
        [SIDERTRE, COLMENARES]
            .into_iter()
            .find(|plan| plan.name == name)
    }

    /// Returns the failure domain of the server or control instance `number`,
    /// counted from 0.
    pub fn failure_domain(&self, number: usize) -> Arc<str> {
        self.failure_domains[number % self.failure_domains.len()].into()
    }

    /// Returns the paths of the routes that callers outside the fleet may call.
    pub fn external_paths(&self) -> Vec<&'static str> {
        let external = self.routes.iter().filter(|route| !route.internal);
        external.map(|route| route.path).collect()
    }

    /// Returns the fleet document of this deployment.
    pub fn document(&self) -> FleetDocument {
        let mut services = BTreeMap::new();
        for service in self.services {
            let spec = ServiceSpec {
                version: "v1".into(),
                candidate: None,
                ..ServiceSpec::default()
            };
            services.insert(service.name.into(), spec);
        }
        let mut routes = Vec::new();
        for route in self.routes {
            routes.push(Arc::new(RouteSpec {
                path: route.path.into(),
                service: route.service.into(),
                priority: route.priority,
                internal: route.internal,
                ..RouteSpec::default()
            }));
        }
        FleetDocument {
            services,
            routes,
            ..FleetDocument::default()
        }
    }
}
