//! Matches a call's path to a route of one configuration snapshot.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::FleetDocument;
use crate::document::RouteSpec;

/// Routes of one snapshot by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, PathTable>,
    any_host: PathTable,
}

type PathTable = HashMap<Arc<str>, Arc<RouteSpec>>;

impl RouteTable {
    /// Indexes the document's routes.
    pub fn new(document: &FleetDocument) -> Self {
        let mut table = Self::default();
        for route in &document.routes {
            let paths = match &route.host {
                Some(host) => table.hosts.entry(Arc::clone(host)).or_default(),
                None => &mut table.any_host,
            };
            paths.insert(Arc::clone(&route.path), Arc::clone(route));
        }
        table
    }

    /// The route with the longest prefix of whole segments of `path`, first
    /// among those of `host`, then among those of no host.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let own = self.hosts.get(host);
        let found = own.and_then(|paths| longest(paths, path));
        found.or_else(|| longest(&self.any_host, path))
    }
}

fn longest<'a>(paths: &'a PathTable, path: &str) -> Option<&'a RouteSpec> {
    let mut prefix = path.trim_end_matches('/');
    while !prefix.is_empty() {
        if let Some(route) = paths.get(prefix) {
            return Some(route);
        }
        let cut = prefix.rfind('/')?;
        prefix = &prefix[..cut];
    }
    paths.get("/").map(Arc::as_ref)
}
