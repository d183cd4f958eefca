//! Removes operators' labels from the document before it is sent to nodes.
//!
//! Load pattern: several changes a second, each of one route out of 1,800. If
//! each version were copied without labels from scratch, two versions would
//! share no memory, and every instance would have to copy all routes and compare
//! them field by field to find the one that changed. Here unchanged routes are
//! shared between versions.

use std::collections::HashMap;
use std::sync::Arc;

use super::FleetDocument;
use super::RouteSpec;

/// Removes the labels from successive versions of the document, reusing the
/// routes of the previous version.
#[derive(Clone, Debug, Default)]
pub struct LabelStripper {
    labeled: Arc<FleetDocument>,
    stripped: Arc<FleetDocument>,
}

impl LabelStripper {
    /// Returns `document` without labels, or `document` itself if it has none.
    pub fn strip(&mut self, document: &Arc<FleetDocument>) -> Arc<FleetDocument> {
        if !document.has_labels() {
            return Arc::clone(document);
        }
        let mut stripped = (**document).clone();
        stripped.labels.clear();
        for spec in stripped.services.values_mut() {
            spec.labels.clear();
        }
        let known = self.stripped_routes();
        for route in &mut stripped.routes {
            match known.get(&Arc::as_ptr(route)) {
                Some(stripped_route) => *route = Arc::clone(stripped_route),
                None => Arc::make_mut(route).labels.clear(),
            }
        }
        drop(known);
        self.labeled = Arc::clone(document);
        self.stripped = Arc::new(stripped);
        Arc::clone(&self.stripped)
    }

    /// Stripped routes of the previous version by the address of the labeled
    /// route. `labeled` keeps those routes alive, so that no other route can
    /// have the same address.
    fn stripped_routes(&self) -> HashMap<*const RouteSpec, &Arc<RouteSpec>> {
        let labeled = self.labeled.routes.iter().map(Arc::as_ptr);
        labeled.zip(&self.stripped.routes).collect()
    }
}
