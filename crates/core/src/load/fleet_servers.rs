//! All servers that take work, by service and version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;
use crate::load::server_load::ReportedLoad;
use crate::load::server_pool::ServerPool;
use crate::load::server_pool::TryOutcome;

/// Which pool an instance is in.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PoolHome {
    service: Arc<str>,
    version: Arc<str>,
}

/// Pools of all services and versions.
#[derive(Debug, Default)]
pub struct FleetServers {
    pools: HashMap<Arc<str>, HashMap<Arc<str>, ServerPool>>,
    homes: HashMap<Arc<str>, PoolHome>,
}

impl FleetServers {
    /// Takes a new record; `near` where it is in this failure domain.
    pub fn put(&mut self, now: Duration, record: EndpointRecord, near: bool) {
        let home = PoolHome {
            service: Arc::clone(&record.service),
            version: Arc::clone(&record.version),
        };
        let serving = record.standing == EndpointStanding::Serving;
        let stays = serving && self.homes.get(&record.instance) == Some(&home);
        if !stays {
            self.remove(&record.instance);
        }
        if !serving {
            return;
        }
        self.homes
            .insert(Arc::clone(&record.instance), home.clone());
        let versions = self.pools.entry(home.service).or_default();
        let pool = versions.entry(home.version).or_default();
        pool.put(now, record, near);
    }

    /// The pool of a service and version.
    pub fn pool(&mut self, service: &str, version: &str) -> Option<&mut ServerPool> {
        self.pools.get_mut(service)?.get_mut(version)
    }

    /// The pool of the version of `service` that most servers run.
    pub fn largest_pool(&mut self, service: &str) -> Option<&mut ServerPool> {
        let versions = self.pools.get_mut(service)?;
        let pools = versions.iter_mut();
        // Where two have as many, the lesser name, so that nodes agree.
        let largest = pools.max_by(|(name, pool), (other, rival)| {
            pool.len().cmp(&rival.len()).then(other.cmp(name))
        });
        largest.map(|(_, pool)| pool)
    }

    /// A server's node told of its load.
    pub fn record_load(
        &mut self,
        now: Duration,
        instance: &str,
        route: &Arc<str>,
        load: ReportedLoad,
    ) {
        let Some(home) = self.homes.get(instance) else {
            return;
        };
        let versions = self.pools.get_mut(&home.service);
        let pool = versions.and_then(|versions| versions.get_mut(&home.version));
        if let Some(pool) = pool {
            pool.record_load(now, instance, route, load);
        }
    }

    /// A try at an instance is over.
    pub fn end(&mut self, now: Duration, instance: &str, evidence: TryOutcome) {
        let Some(home) = self.homes.get(instance) else {
            return;
        };
        let versions = self.pools.get_mut(&home.service);
        let pool = versions.and_then(|versions| versions.get_mut(&home.version));
        if let Some(pool) = pool {
            pool.end(now, instance, evidence);
        }
    }

    fn remove(&mut self, instance: &str) {
        let Some(home) = self.homes.remove(instance) else {
            return;
        };
        let Some(versions) = self.pools.get_mut(&home.service) else {
            return;
        };
        if let Some(pool) = versions.get_mut(&home.version) {
            pool.remove(instance);
            if pool.is_empty() {
                versions.remove(&home.version);
            }
        }
        if versions.is_empty() {
            self.pools.remove(&home.service);
        }
    }
}
