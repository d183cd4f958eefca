//! Validates a whole document before it is accepted.
//!
//! The same checks run when a change is applied and on every node before it
//! switches to a new version, so that an invalid document is never used, not
//! even in part.

use std::collections::HashSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::ExceptionEntry;
use super::FleetDocument;
use super::RouteSpec;
use super::ServiceSpec;

/// Maximum length of a name in bytes; names appear in every log line.
const NAME_BYTES_MAX: usize = 64;

/// Largest share of the traffic, in per mille.
const SHARE_PER_MILLE_MAX: u16 = 1_000;

/// Number of changed routes up to which only these are validated. Each is
/// compared with all other routes, which takes some microseconds for 1,800.
const CHANGED_ROUTES_MAX: usize = 16;

/// Allowed timeouts of a route, in milliseconds. Callers do not wait longer than
/// ten minutes.
const TIMEOUT_MS: RangeInclusive<u64> = 1..=600_000;

/// Allowed cold times of a service's servers, in milliseconds.
const COLD_TIME_MS: RangeInclusive<u64> = 1..=600_000;

/// Allowed numbers of calls that a cold server tolerates in a minute.
const COLD_CALLS_PER_MINUTE: RangeInclusive<u64> = 1..=60_000_000;

/// A fault of a document or of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentFault {
    /// Path of the faulty field, such as `routes[2].service`.
    pub path: String,
    /// Description of the fault and how to correct it.
    pub problem: String,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Returns all faults of `document`, which is valid if there are none.
pub fn validate(document: &FleetDocument) -> Vec<DocumentFault> {
    let mut faults = FaultList::default();
    check_services(document, &mut faults);
    check_routes(document, &mut faults);
    check_defaults(document, &mut faults);
    check_exceptions(document, &mut faults);
    check_evacuations(document, &mut faults);
    faults.0
}

/// Returns all faults of `edited`, an edited copy of the valid document `base`.
///
/// Load pattern: a control instance restarts and replays some dozens of changes
/// of a document of 2,300 routes before it can send any node its configuration.
/// Validating the whole document each time takes 0.3 s with 0.075 of a core. If
/// few routes differ, only these are validated.
pub fn validate_edit(base: &FleetDocument, edited: &FleetDocument) -> Vec<DocumentFault> {
    let services_kept = base
        .services
        .keys()
        .all(|name| edited.services.contains_key(name));
    let no_exceptions = base.exceptions.is_empty() && edited.exceptions.is_empty();
    let Some(changed) =
        changed_routes(base, edited).filter(|_| services_kept && no_exceptions)
    else {
        return validate(edited);
    };
    let mut faults = FaultList::default();
    check_services(edited, &mut faults);
    check_defaults(edited, &mut faults);
    check_evacuations(edited, &mut faults);
    for at in changed {
        check_route(edited, at, &mut faults);
        let route = &edited.routes[at];
        let duplicates = edited
            .routes
            .iter()
            .filter(|other| has_same_match(route, other));
        if duplicates.count() > 1 {
            // The fault is reported for the later duplicate, which may not be
            // the changed route.
            return validate(edited);
        }
    }
    if faults.0.is_empty() {
        faults.0
    } else {
        validate(edited)
    }
}

/// Returns the indexes of the routes that `edited` does not share with `base`, or
/// `None` if there are more than [`CHANGED_ROUTES_MAX`]. A route that was moved
/// may count as changed.
fn changed_routes(base: &FleetDocument, edited: &FleetDocument) -> Option<Vec<usize>> {
    let mut changed = Vec::new();
    let mut old = base.routes.iter().peekable();
    for (at, route) in edited.routes.iter().enumerate() {
        if old.next_if(|old| Arc::ptr_eq(old, route)).is_some() {
            continue;
        }
        // Old routes were replaced or removed, or this one was inserted.
        let mut lookahead = old.clone().take(CHANGED_ROUTES_MAX);
        if let Some(skipped) = lookahead.position(|old| Arc::ptr_eq(old, route)) {
            for _ in 0..=skipped {
                old.next();
            }
            continue;
        }
        changed.push(at);
        if changed.len() > CHANGED_ROUTES_MAX {
            return None;
        }
    }
    Some(changed)
}

/// True if both routes match the same host and path prefix.
fn has_same_match(route: &RouteSpec, other: &RouteSpec) -> bool {
    route.path == other.path && route.host == other.host
}

#[derive(Default)]
struct FaultList(Vec<DocumentFault>);

impl FaultList {
    fn push(&mut self, path: String, problem: impl Into<String>) {
        let problem = problem.into();
        self.0.push(DocumentFault { path, problem });
    }

    fn check_name(&mut self, path: String, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(allowed) {
            let problem = format!(
                "{name:?} is no name; use 1 to {NAME_BYTES_MAX} letters, digits, '-', '_' or '.'"
            );
            self.push(path, problem);
        }
    }
}

fn check_services(document: &FleetDocument, faults: &mut FaultList) {
    for (name, spec) in &document.services {
        let path = format!("services.{name}");
        faults.check_name(path.clone(), name);
        faults.check_name(format!("{path}.version"), &spec.version);
        check_cold_start(spec, &path, faults);
        let Some(candidate) = &spec.candidate else {
            continue;
        };
        faults.check_name(format!("{path}.candidate.version"), &candidate.version);
        if candidate.version == spec.version {
            faults.push(
                format!("{path}.candidate.version"),
                "the candidate is the version in service; name another",
            );
        }
        if candidate.share_per_mille > SHARE_PER_MILLE_MAX {
            faults.push(
                format!("{path}.candidate.share_per_mille"),
                "a share is 0 to 1000 thousandths",
            );
        }
    }
}

fn check_cold_start(spec: &ServiceSpec, path: &str, faults: &mut FaultList) {
    let Some(cold_start) = spec.cold_start else {
        return;
    };
    let fields = [
        ("time_ms", cold_start.time_ms, COLD_TIME_MS),
        (
            "calls_per_minute",
            cold_start.calls_per_minute,
            COLD_CALLS_PER_MINUTE,
        ),
    ];
    for (field, value, range) in fields {
        if !range.contains(&value) {
            let problem = out_of_range(value, &range);
            faults.push(format!("{path}.cold_start.{field}"), problem);
        }
    }
}

fn check_routes(document: &FleetDocument, faults: &mut FaultList) {
    let mut seen = HashSet::new();
    for (at, route) in document.routes.iter().enumerate() {
        if !seen.insert((&route.host, &route.path)) {
            let problem = format!("{:?} stands twice; keep one", route.path);
            faults.push(format!("routes[{at}].path"), problem);
        }
        check_route(document, at, faults);
    }
}

/// Checks a route on its own, without comparing it with the others.
fn check_route(document: &FleetDocument, at: usize, faults: &mut FaultList) {
    let route = &document.routes[at];
    check_route_path(at, route, faults);
    for service in route.services() {
        if document.services.contains_key(service) {
            continue;
        }
        let problem = format!("no service {service:?} in this document");
        faults.push(format!("routes[{at}].service"), problem);
    }
    check_route_settings(at, route, faults);
}

fn check_route_settings(at: usize, route: &RouteSpec, faults: &mut FaultList) {
    if route.timeout_ms.is_some_and(|ms| !TIMEOUT_MS.contains(&ms)) {
        let problem = "a timeout is 1 ms to ten minutes";
        faults.push(format!("routes[{at}].timeout_ms"), problem);
    }
    let weights = route.split.iter().map(|part| u64::from(part.weight));
    if !route.split.is_empty() && weights.sum::<u64>() == 0 {
        let problem = "the weights of a split are zero; give one of them more";
        faults.push(format!("routes[{at}].split"), problem);
    }
}

fn check_route_path(at: usize, route: &RouteSpec, faults: &mut FaultList) {
    let path = &route.path;
    let printable = path
        .bytes()
        .all(|b| b.is_ascii_graphic() && b != b'?' && b != b'#');
    let trailing_slash = path.len() > 1 && path.ends_with('/');
    if !path.starts_with('/') || trailing_slash || !printable || path.contains("//") {
        faults.push(
            format!("routes[{at}].path"),
            "a path starts with '/', ends without one and has no query",
        );
    }
}

fn check_defaults(document: &FleetDocument, faults: &mut FaultList) {
    for (key, value) in document.defaults.entries() {
        if !key.range().contains(&value) {
            let problem = out_of_range(value, &key.range());
            faults.push(format!("defaults.{key}"), problem);
        }
    }
}

fn out_of_range(value: u64, range: &std::ops::RangeInclusive<u64>) -> String {
    format!("{value} is outside {}..={}", range.start(), range.end())
}

fn check_exceptions(document: &FleetDocument, faults: &mut FaultList) {
    let mut seen = HashSet::new();
    for (at, entry) in document.exceptions.iter().enumerate() {
        let path = format!("exceptions[{at}]");
        faults.check_name(format!("{path}.id"), &entry.id);
        if !seen.insert(&entry.id) {
            let problem = format!("{:?} stands twice; ids are unique", entry.id);
            faults.push(format!("{path}.id"), problem);
        }
        if entry.reason.trim().is_empty() {
            faults.push(
                format!("{path}.reason"),
                "an exception needs a written reason",
            );
        }
        if !entry.key.range().contains(&entry.value) {
            let problem = out_of_range(entry.value, &entry.key.range());
            faults.push(format!("{path}.value"), problem);
        }
        check_scope(document, entry, &path, faults);
    }
}

fn check_evacuations(document: &FleetDocument, faults: &mut FaultList) {
    for (domain, entry) in &document.evacuations {
        let path = format!("evacuations.{domain}");
        faults.check_name(path.clone(), domain);
        if entry.reason.trim().is_empty() {
            let problem = "an evacuation needs a written reason";
            faults.push(format!("{path}.reason"), problem);
        }
        if entry.operator.trim().is_empty() {
            let problem = "an evacuation needs the name of its operator";
            faults.push(format!("{path}.operator"), problem);
        }
    }
}

fn check_scope(
    document: &FleetDocument,
    entry: &ExceptionEntry,
    path: &str,
    faults: &mut FaultList,
) {
    if let Some(service) = &entry.scope.service {
        if !document.services.contains_key(service) {
            let problem = format!("no service {service:?} in this document");
            faults.push(format!("{path}.scope.service"), problem);
        }
    }
    if let Some(route) = &entry.scope.route {
        if !document.routes.iter().any(|spec| spec.path == *route) {
            let problem = format!("no route {route:?} in this document");
            faults.push(format!("{path}.scope.route"), problem);
        }
    }
}
