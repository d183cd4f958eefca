//! Matches a call's host and path to a route of a configuration snapshot.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::FleetDocument;
use crate::document::RouteSpec;

/// Routes of one snapshot, indexed by host and path prefix.
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

    /// Finds the route whose path is the longest prefix of `path` in whole
    /// segments. The routes of `host` are searched first, then the routes
    /// without a host.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let host_paths = self.hosts.get(host);
        let found = host_paths.and_then(|paths| longest_prefix(paths, path));
        found.or_else(|| longest_prefix(&self.any_host, path))
    }
}

fn longest_prefix<'a>(paths: &'a PathTable, path: &str) -> Option<&'a RouteSpec> {
    let mut prefix = path.trim_end_matches('/');
    while !prefix.is_empty() {
        if let Some(route) = paths.get(prefix) {
            return Some(route);
        }
        let segment_start = prefix.rfind('/')?;
        prefix = &prefix[..segment_start];
    }
    paths.get("/").map(Arc::as_ref)
}
