//! Reads the fleet's document from a YAML file and reports all its faults at
//! once.

use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;

use thiserror::Error;

use cowslip_core::document::CallPriority;
use cowslip_core::document::CandidateShare;
use cowslip_core::document::ColdStartSpec;
use cowslip_core::document::ExceptionEntry;
use cowslip_core::document::ExceptionScope;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::tuning::TuningTable;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::settings_file;
use cowslip_wire::settings_file::SettingsError;
use cowslip_wire::settings_reader::FromSettings;
use cowslip_wire::settings_reader::SettingsReader;

/// Reads a document and checks its syntax and types. References between its
/// parts and ranges are checked by control when the document is applied.
pub fn read(path: &Path) -> Result<FleetDocument, SettingsError> {
    settings_file::read::<DocumentFile>(path).map(|file| file.0)
}

/// A document as read from its file.
struct DocumentFile(FleetDocument);

impl FromSettings for DocumentFile {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let mut defaults = TuningTable::default();
        for (key, value) in reader.named_scalars("defaults", "a whole number") {
            defaults.set(key, value);
        }
        let services: Vec<(Arc<str>, ServiceEntry)> = reader.named_groups("services");
        let routes: Vec<RouteEntry> = reader.groups("routes", "a path and its service");
        let exceptions: Vec<ExceptionGroup> =
            reader.groups("exceptions", "an id, scope, key, value and reason");
        let services = services.into_iter().map(|(name, entry)| (name, entry.0));
        Some(Self(FleetDocument {
            services: services.collect(),
            routes: routes.into_iter().map(|entry| Arc::new(entry.0)).collect(),
            defaults,
            exceptions: exceptions.into_iter().map(|entry| entry.0).collect(),
            ..FleetDocument::default()
        }))
    }
}

struct ServiceEntry(ServiceSpec);

impl FromSettings for ServiceEntry {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let version =
            reader.required::<String>("version", "the backend server version in use");
        let candidate: Option<CandidateEntry> = reader.group("candidate");
        let cold_start: Option<ColdStartEntry> = reader.group("cold_start");
        Some(Self(ServiceSpec {
            version: version?.into(),
            candidate: candidate.map(|entry| entry.0),
            cold_start: cold_start.map(|entry| entry.0),
            ..ServiceSpec::default()
        }))
    }
}

struct ColdStartEntry(ColdStartSpec);

impl FromSettings for ColdStartEntry {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let time_ms = reader.required("time_ms", "a whole number of milliseconds");
        let calls = reader.required("calls_per_minute", "a whole number of calls");
        Some(Self(ColdStartSpec {
            time_ms: time_ms?,
            calls_per_minute: calls?,
        }))
    }
}

struct CandidateEntry(CandidateShare);

impl FromSettings for CandidateEntry {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let version =
            reader.required::<String>("version", "the backend server version to move to");
        let share = reader.required("share_per_mille", "a whole number from 0 to 1000");
        let rollout: Option<RolloutEntry> = reader.group("rollout");
        Some(Self(CandidateShare {
            version: version?.into(),
            share_per_mille: share?,
            rollout: rollout.map(|entry| entry.0).unwrap_or_default(),
        }))
    }
}

/// Configuration version that started the move to a candidate. `cowslip show`
/// prints it, so it must be read back.
struct RolloutEntry(ConfigVersion);

impl FromSettings for RolloutEntry {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let term = reader.required("term", "a whole number");
        let index = reader.required("index", "a whole number");
        Some(Self(ConfigVersion::new(term?, index?)))
    }
}

struct RouteEntry(RouteSpec);

impl FromSettings for RouteEntry {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let path = reader.required::<String>("path", "a path such as /prices");
        let service = reader.required::<String>("service", "a service of this document");
        let priority = reader.optional("priority", "high, normal or low");
        let internal = reader.optional("internal", "true or false");
        Some(Self(RouteSpec {
            path: path?.into(),
            service: service?.into(),
            priority: priority
                .map_or_else(CallPriority::default, |name: PriorityName| name.0),
            internal: internal.unwrap_or(false),
            ..RouteSpec::default()
        }))
    }
}

struct PriorityName(CallPriority);

/// A text that names no priority.
#[derive(Debug, Error)]
#[error("the priority must be high, normal or low")]
struct UnknownPriority;

impl FromStr for PriorityName {
    type Err = UnknownPriority;

    fn from_str(text: &str) -> Result<Self, UnknownPriority> {
        match text {
            "high" => Ok(Self(CallPriority::High)),
            "normal" => Ok(Self(CallPriority::Normal)),
            "low" => Ok(Self(CallPriority::Low)),
            _ => Err(UnknownPriority),
        }
    }
}

struct ExceptionGroup(ExceptionEntry);

impl FromSettings for ExceptionGroup {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let id = reader.required::<String>("id", "a unique name");
        let scope: Option<ScopeGroup> = reader.group("scope");
        let key = reader.required("key", "a key of `cowslip default list`");
        let value = reader.required("value", "a whole number in the key's unit");
        let reason = reader.required("reason", "the reason for the exception");
        Some(Self(ExceptionEntry {
            id: id?.into(),
            scope: scope.map(|group| group.0).unwrap_or_default(),
            key: key?,
            value: value?,
            reason: reason?,
        }))
    }
}

struct ScopeGroup(ExceptionScope);

impl FromSettings for ScopeGroup {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let mut name = |key| {
            let name: Option<String> = reader.optional(key, "a name");
            name.map(Arc::from)
        };
        Some(Self(ExceptionScope {
            service: name("service"),
            route: name("route"),
            failure_domain: name("failure_domain"),
        }))
    }
}
