//! All serving servers, by service and version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;
use crate::load::server_load::ReportedLoad;
use crate::load::server_pool::ServerOutcome;
use crate::load::server_pool::ServerPool;

/// The pool that an instance belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PoolKey {
    service: Arc<str>,
    version: Arc<str>,
}

/// Server pools of all services and versions.
#[derive(Debug, Default)]
pub struct FleetServers {
    pools: HashMap<Arc<str>, HashMap<Arc<str>, ServerPool>>,
    pool_keys: HashMap<Arc<str>, PoolKey>,
}

impl FleetServers {
    /// Applies a directory record; `near` if the server is in the entry node's
    /// failure domain.
    pub fn put(&mut self, now: Duration, record: EndpointRecord, near: bool) {
        let pool_key = PoolKey {
            service: Arc::clone(&record.service),
            version: Arc::clone(&record.version),
        };
        let serving = record.standing == EndpointStanding::Serving;
        let stays = serving && self.pool_keys.get(&record.instance) == Some(&pool_key);
        if !stays {
            self.remove(&record.instance);
        }
        if !serving {
            return;
        }
        self.pool_keys
            .insert(Arc::clone(&record.instance), pool_key.clone());
        let versions = self.pools.entry(pool_key.service).or_default();
        let pool = versions.entry(pool_key.version).or_default();
        pool.put(now, record, near);
    }

    /// Returns the pool of a service and version.
    pub fn pool(&mut self, service: &str, version: &str) -> Option<&mut ServerPool> {
        self.pools.get_mut(service)?.get_mut(version)
    }

    /// Returns the pool of the version of `service` that most servers run.
    pub fn largest_pool(&mut self, service: &str) -> Option<&mut ServerPool> {
        let versions = self.pools.get_mut(service)?;
        let pools = versions.iter_mut();
        // Among equals the version with the lower name is taken, so that all
        // nodes agree.
        let largest = pools.max_by(|(name, pool), (other, rival)| {
            pool.len().cmp(&rival.len()).then(other.cmp(name))
        });
        largest.map(|(_, pool)| pool)
    }

    /// Records the load that a server's node reported.
    pub fn record_load(
        &mut self,
        now: Duration,
        instance: &str,
        route: &Arc<str>,
        load: ReportedLoad,
    ) {
        let Some(pool_key) = self.pool_keys.get(instance) else {
            return;
        };
        let versions = self.pools.get_mut(&pool_key.service);
        let pool = versions.and_then(|versions| versions.get_mut(&pool_key.version));
        if let Some(pool) = pool {
            pool.record_load(now, instance, route, load);
        }
    }

    /// Ends a try at an instance and records its outcome.
    pub fn end(&mut self, now: Duration, instance: &str, outcome: ServerOutcome) {
        let Some(pool_key) = self.pool_keys.get(instance) else {
            return;
        };
        let versions = self.pools.get_mut(&pool_key.service);
        let pool = versions.and_then(|versions| versions.get_mut(&pool_key.version));
        if let Some(pool) = pool {
            pool.end(now, instance, outcome);
        }
    }

    fn remove(&mut self, instance: &str) {
        let Some(pool_key) = self.pool_keys.remove(instance) else {
            return;
        };
        let Some(versions) = self.pools.get_mut(&pool_key.service) else {
            return;
        };
        if let Some(pool) = versions.get_mut(&pool_key.version) {
            pool.remove(instance);
            if pool.is_empty() {
                versions.remove(&pool_key.version);
            }
        }
        if versions.is_empty() {
            self.pools.remove(&pool_key.service);
        }
    }
}
