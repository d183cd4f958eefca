//! The difference between two versions of the document.
//!
//! A change concerns one service, route, default or exception out of thousands.
//! If each change sent the whole document to every node, control traffic would
//! grow with the size of the document and not of the change. A delta contains
//! what changed and the digest of the resulting document. It is computed
//! directly between the two documents, so versions between them cost nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config_digest::ConfigDigest;
use crate::control_roster::ControlRoster;
use crate::control_state::ConfigSnapshot;
use crate::document::CallerLimits;
use crate::document::EvacuationTable;
use crate::document::ExceptionEntry;
use crate::document::FleetDocument;
use crate::document::LabelTable;
use crate::document::RouteSpec;
use crate::document::ServiceSpec;
use crate::quarantine::QuarantineTable;
use crate::tuning::TuningKey;
use crate::version::ConfigVersion;

pub use self::list_edit::ListEdit;

mod list_edit;

/// Number of edits up to which a delta is always sent: they take some hundred
/// bytes, which costs less than the round trip to fetch a snapshot.
const SMALL_DELTA_EDITS: usize = 8;

/// The edits that turn the document of `base` into that of `version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The only version to which the delta applies.
    pub base: ConfigVersion,
    /// Version after the delta.
    pub version: ConfigVersion,
    /// Digest of the document after the delta.
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
    #[serde(default, skip_serializing_if = "Option::is_none")]
    evacuations: Option<EvacuationTable>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    quarantines: Option<QuarantineTable>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    controls: Option<ControlRoster>,
}

/// The reason why a delta cannot be applied; the follower then requests a whole
/// snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The follower holds another version than the delta's base.
    #[error("the delta is based on version {base}, but version {held} is held")]
    WrongBase {
        /// Base of the delta.
        base: ConfigVersion,
        /// Version held.
        held: ConfigVersion,
    },
    /// The resulting document is not the one that the source encoded.
    #[error("the document after the delta has digest {found}, not {expected}")]
    WrongDigest {
        /// Digest in the delta.
        expected: ConfigDigest,
        /// Digest of the resulting document.
        found: ConfigDigest,
    },
}

impl ConfigDelta {
    /// Computes the delta from `base` to `target`, whose document has `digest`.
    ///
    /// Returns `None` if applying it would not give `target`, because parts that
    /// a delta does not cover differ. The source then sends the whole snapshot.
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
            evacuations: (old.evacuations != new.evacuations)
                .then(|| new.evacuations.clone()),
            quarantines: (old.quarantines != new.quarantines)
                .then(|| new.quarantines.clone()),
            controls: (old.controls != new.controls).then(|| new.controls.clone()),
        };
        delta.diff_services(old, new);
        delta.diff_defaults(old, new);
        (delta.edit(old) == *new).then_some(delta)
    }

    fn diff_services(&mut self, old: &FleetDocument, new: &FleetDocument) {
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

    fn diff_defaults(&mut self, old: &FleetDocument, new: &FleetDocument) {
        for (key, _) in old.defaults.entries() {
            if !new.defaults.entries().any(|(kept, _)| kept == key) {
                self.defaults_removed.push(key);
            }
        }
        for entry in new.defaults.entries() {
            if !old.defaults.entries().any(|earlier| earlier == entry) {
                self.defaults_set.push(entry);
            }
        }
    }

    /// True if the delta is to be sent, not a snapshot: it edits less than half
    /// of the items of `target`. With more edits a snapshot is no larger, and it
    /// is sent in chunks.
    pub fn is_preferred_to_snapshot(&self, target: &ConfigSnapshot) -> bool {
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
        edits * 2 < items || edits <= SMALL_DELTA_EDITS
    }

    /// Returns the snapshot after the delta; `held` stays unchanged. Fails if
    /// `held` is not the base or the result has the wrong digest.
    pub fn apply(&self, held: &ConfigSnapshot) -> Result<ConfigSnapshot, DeltaError> {
        // If answers arrive late or out of order, a delta may not match the
        // version held. Applied anyway, it would give a document that no
        // operator accepted, and the node would route by it. The digest below
        // verifies the result as well.
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

    /// Returns `old` with the edits applied, without checking its version.
    pub(crate) fn edit(&self, old: &FleetDocument) -> FleetDocument {
        // The lists are built from their edits. Cloning the whole document
        // would copy up to 1,800 routes only to discard the copy.
        let mut document = FleetDocument {
            services: old.services.clone(),
            routes: self.routes.apply(&old.routes),
            defaults: old.defaults.clone(),
            exceptions: self.exceptions.apply(&old.exceptions),
            limits: self.limits.as_ref().unwrap_or(&old.limits).clone(),
            labels: self.labels.as_ref().unwrap_or(&old.labels).clone(),
            holders: old.holders.clone(),
            controls: self.controls.as_ref().unwrap_or(&old.controls).clone(),
            evacuations: self
                .evacuations
                .as_ref()
                .unwrap_or(&old.evacuations)
                .clone(),
            quarantines: self
                .quarantines
                .as_ref()
                .unwrap_or(&old.quarantines)
                .clone(),
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
