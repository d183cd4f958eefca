//! The difference between two versions of the document.
//!
//! A change touches one service, route, default or exception of thousands;
//! sending the whole document to every node for each would make control
//! bytes grow with the document and not with the change. A delta names what
//! changed, and the digest of the document that must come out. It is
//! computed straight between the two documents, so versions between them
//! are skipped and cost nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config_digest::ConfigDigest;
use crate::control_state::ConfigSnapshot;
use crate::document::CallerLimits;
use crate::document::ExceptionEntry;
use crate::document::FleetDocument;
use crate::document::LabelTable;
use crate::document::RouteSpec;
use crate::document::ServiceSpec;
use crate::tuning::TuningKey;
use crate::version::ConfigVersion;

pub use self::list_edit::ListEdit;

mod list_edit;

/// Edits up to which a delta is always sent: some hundred bytes, less than
/// the round trip of a separate snapshot costs.
const SMALL_EDITS: usize = 8;

/// What turns the document of `base` into that of `version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version it applies to, and no other.
    pub base: ConfigVersion,
    /// Version that comes out.
    pub version: ConfigVersion,
    /// Digest of the document that comes out.
    pub digest: ConfigDigest,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    services_removed: Vec<Arc<str>>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    services_set: BTreeMap<Arc<str>, ServiceSpec>,
    #[serde(default, skip_serializing_if = "ListEdit::is_empty")]
    routes: ListEdit<Arc<RouteSpec>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    defaults_removed: Vec<TuningKey>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    defaults_set: Vec<(TuningKey, u64)>,
    #[serde(default, skip_serializing_if = "ListEdit::is_empty")]
    exceptions: ListEdit<ExceptionEntry>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    limits: Option<CallerLimits>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    labels: Option<LabelTable>,
}

/// A delta that cannot be used; the follower asks for the whole snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The follower holds another version than the delta starts from.
    #[error("the delta starts from {base}, but {held} is held")]
    WrongBase {
        /// Where the delta starts.
        base: ConfigVersion,
        /// What is held.
        held: ConfigVersion,
    },
    /// The document that came out is not the one that was sent.
    #[error("the document after the delta has digest {found}, not {expected}")]
    WrongDigest {
        /// Digest that was sent.
        expected: ConfigDigest,
        /// Digest that came out.
        found: ConfigDigest,
    },
}

impl ConfigDelta {
    /// The delta from `base` to `target`, whose document has `digest`.
    ///
    /// `None` where applying it does not give `target`: a document may have
    /// parts that deltas do not know, and then the whole snapshot is sent
    /// instead of a wrong result.
    pub fn between(
        base: &ConfigSnapshot,
        target: &ConfigSnapshot,
        digest: ConfigDigest,
    ) -> Option<Self> {
        let old = &*base.document;
        let new = &*target.document;
        let mut delta = Self {
            base: base.version,
            version: target.version,
            digest,
            services_removed: Vec::new(),
            services_set: BTreeMap::new(),
            routes: ListEdit::between(&old.routes, &new.routes),
            defaults_removed: Vec::new(),
            defaults_set: Vec::new(),
            exceptions: ListEdit::between(&old.exceptions, &new.exceptions),
            limits: (old.limits != new.limits).then(|| new.limits.clone()),
            labels: (old.labels != new.labels).then(|| new.labels.clone()),
        };
        delta.find_services(old, new);
        delta.find_defaults(old, new);
        (delta.edit(old) == *new).then_some(delta)
    }

    fn find_services(&mut self, old: &FleetDocument, new: &FleetDocument) {
        for name in old.services.keys() {
            if !new.services.contains_key(name) {
                self.services_removed.push(Arc::clone(name));
            }
        }
        for (name, spec) in &new.services {
            if old.services.get(name) != Some(spec) {
                self.services_set.insert(Arc::clone(name), spec.clone());
            }
        }
    }

    fn find_defaults(&mut self, old: &FleetDocument, new: &FleetDocument) {
        for (key, _) in old.defaults.entries() {
            if !new.defaults.entries().any(|(kept, _)| kept == key) {
                self.defaults_removed.push(key);
            }
        }
        for entry in new.defaults.entries() {
            if !old.defaults.entries().any(|held| held == entry) {
                self.defaults_set.push(entry);
            }
        }
    }

    /// True where the delta edits less than half of the items of `target`:
    /// beyond that the whole snapshot is no larger, and comes with chunks.
    pub fn pays_off(&self, target: &ConfigSnapshot) -> bool {
        let edits = self.services_removed.len()
            + self.services_set.len()
            + self.routes.len()
            + self.defaults_removed.len()
            + self.defaults_set.len()
            + self.exceptions.len();
        let document = &target.document;
        let items = document.services.len()
            + document.routes.len()
            + document.defaults.entries().count()
            + document.exceptions.len();
        edits * 2 < items || edits <= SMALL_EDITS
    }

    /// The snapshot after the delta, with its digest checked; `held` itself
    /// is not touched.
    pub fn apply(&self, held: &ConfigSnapshot) -> Result<ConfigSnapshot, DeltaError> {
        // Guards against a delta on the wrong base, after an answer came
        // late or crossed another: the node would route by a document that
        // no operator ever accepted. The digest below guards the result.
        if held.version != self.base {
            return Err(DeltaError::WrongBase {
                base: self.base,
                held: held.version,
            });
        }
        let document = self.edit(&held.document);
        let found = ConfigDigest::of_document(&document);
        if found != self.digest {
            return Err(DeltaError::WrongDigest {
                expected: self.digest,
                found,
            });
        }
        Ok(ConfigSnapshot {
            version: self.version,
            document: Arc::new(document),
        })
    }

    /// The document that the edits make of `old`, whatever its version.
    pub(crate) fn edit(&self, old: &FleetDocument) -> FleetDocument {
        // The lists come out of their edits: cloned with the rest, they would
        // be thrown away at once, 1,800 routes of them.
        let mut document = FleetDocument {
            services: old.services.clone(),
            routes: self.routes.apply(&old.routes),
            defaults: old.defaults.clone(),
            exceptions: self.exceptions.apply(&old.exceptions),
            limits: self.limits.as_ref().unwrap_or(&old.limits).clone(),
            labels: self.labels.as_ref().unwrap_or(&old.labels).clone(),
            holders: old.holders.clone(),
        };
        for name in &self.services_removed {
            document.services.remove(name);
        }
        for (name, spec) in &self.services_set {
            document.services.insert(Arc::clone(name), spec.clone());
        }
        for key in &self.defaults_removed {
            document.defaults.unset(*key);
        }
        for (key, value) in &self.defaults_set {
            document.defaults.set(*key, *value);
        }
        document
    }
}
