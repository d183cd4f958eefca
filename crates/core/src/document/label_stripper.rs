//! The document without what operators noted on its parts.
//!
//! Load pattern: a change of one route of 1,800, several a second. Copied
//! bare each time, two versions share nothing, so that every instance copies
//! all routes and compares them word by word to find the one that changed.
//! Here the routes that no change touched stay the same in memory.

use std::collections::HashMap;
use std::sync::Arc;

use super::FleetDocument;
use super::RouteSpec;

/// Makes the bare document of each version from the one before.
#[derive(Clone, Debug, Default)]
pub struct LabelStripper {
    whole: Arc<FleetDocument>,
    bare: Arc<FleetDocument>,
}

impl LabelStripper {
    /// `document` without labels; the same where it has none.
    pub fn strip(&mut self, document: &Arc<FleetDocument>) -> Arc<FleetDocument> {
        if !document.has_labels() {
            return Arc::clone(document);
        }
        let mut bare = (**document).clone();
        bare.labels.clear();
        for spec in bare.services.values_mut() {
            spec.labels.clear();
        }
        let held = self.held();
        for route in &mut bare.routes {
            match held.get(&Arc::as_ptr(route)) {
                Some(known) => *route = Arc::clone(known),
                None => Arc::make_mut(route).labels.clear(),
            }
        }
        drop(held);
        self.whole = Arc::clone(document);
        self.bare = Arc::new(bare);
        Arc::clone(&self.bare)
    }

    /// Bare routes by the place in memory of the whole ones, which are held
    /// here, so that no other route can take their place.
    fn held(&self) -> HashMap<*const RouteSpec, &Arc<RouteSpec>> {
        let whole = self.whole.routes.iter().map(Arc::as_ptr);
        whole.zip(&self.bare.routes).collect()
    }
}
