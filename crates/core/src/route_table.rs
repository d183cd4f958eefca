//! Matches a call's host and path to a route of a configuration snapshot.

use std::collections::HashMap;
use std::sync::Arc;

use crate::document::FleetDocument;
use crate::document::RouteSpec;

/// Which paths a route's path prefix matches.
///
/// The prefix `/` matches every path that starts with a slash either way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathMatch {
    /// The prefix itself and what follows it after a slash: `/lots` matches
    /// `/lots` and `/lots/7`.
    #[default]
    WholeSegments,
    /// Only what follows the prefix after a slash: `/lots` matches `/lots/` and
    /// `/lots/7`.
    Descendants,
}

/// Routes of one snapshot, indexed by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, PathTable>,
    any_host: PathTable,
    path_match: PathMatch,
}

type PathTable = HashMap<Arc<str>, Arc<RouteSpec>>;

impl RouteTable {
    /// Indexes the document's routes.
    pub fn new(document: &FleetDocument, path_match: PathMatch) -> Self {
        let mut table = Self {
            path_match,
            ..Self::default()
        };
        for route in &document.routes {
            let paths = match &route.host {
                Some(host) => table.hosts.entry(Arc::clone(host)).or_default(),
                None => &mut table.any_host,
            };
            paths.insert(Arc::clone(&route.path), Arc::clone(route));
        }
        table
    }

    /// Finds the route with the longest path prefix that matches `path`. The
    /// routes of `host` are searched first, then the routes without a host.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let host_paths = self.hosts.get(host);
        let found = host_paths.and_then(|paths| self.longest_prefix(paths, path));
        found.or_else(|| self.longest_prefix(&self.any_host, path))
    }

    fn longest_prefix<'a>(
        &self,
        paths: &'a PathTable,
        path: &str,
    ) -> Option<&'a RouteSpec> {
        if self.path_match == PathMatch::WholeSegments {
            if let Some(route) = paths.get(path) {
                return Some(route);
            }
        }
        for (slash, _) in path.rmatch_indices('/') {
            let prefix = if slash == 0 { "/" } else { &path[..slash] };
            if let Some(route) = paths.get(prefix) {
                return Some(route);
            }
        }
        None
    }
}
