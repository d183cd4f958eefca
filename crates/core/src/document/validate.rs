//! Validates a whole document before anything of it is accepted.
//!
//! The same check runs at the leader before acceptance and on every node
//! before a swap, so that a bad version is never applied, not even in part.

use std::collections::HashSet;
use std::fmt;
use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

use super::ExceptionEntry;
use super::FleetDocument;
use super::RouteSpec;

/// Names longer than this are refused: they stand in every log line.
const NAME_BYTES_MAX: usize = 64;

/// Whole traffic, in thousandths.
const WHOLE_PER_MILLE: u16 = 1_000;

/// Timeouts of a route, in milliseconds: up to ten minutes, beyond which a
/// caller has long gone.
const TIMEOUT_MS: RangeInclusive<u64> = 1..=600_000;

/// One fault of a document, with its path and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentFault {
    /// Where, such as `routes[2].service`.
    pub path: String,
    /// What is wrong, and what would be right.
    pub problem: String,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Finds every fault of `document`; an empty list means it may be accepted.
pub fn validate(document: &FleetDocument) -> Vec<DocumentFault> {
    let mut faults = FaultList::default();
    check_services(document, &mut faults);
    check_routes(document, &mut faults);
    check_defaults(document, &mut faults);
    check_exceptions(document, &mut faults);
    faults.0
}

#[derive(Default)]
struct FaultList(Vec<DocumentFault>);

impl FaultList {
    fn push(&mut self, path: String, problem: impl Into<String>) {
        let problem = problem.into();
        self.0.push(DocumentFault { path, problem });
    }

    fn check_name(&mut self, path: String, name: &str) {
        let legal = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(legal) {
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
        if candidate.share_per_mille > WHOLE_PER_MILLE {
            faults.push(
                format!("{path}.candidate.share_per_mille"),
                "a share is 0 to 1000 thousandths",
            );
        }
    }
}

fn check_routes(document: &FleetDocument, faults: &mut FaultList) {
    let mut seen = HashSet::new();
    for (at, route) in document.routes.iter().enumerate() {
        check_route_path(at, route, faults);
        if !seen.insert((&route.host, &route.path)) {
            let problem = format!("{:?} stands twice; keep one", route.path);
            faults.push(format!("routes[{at}].path"), problem);
        }
        for service in route.services() {
            if document.services.contains_key(service) {
                continue;
            }
            let problem = format!("no service {service:?} in this document");
            faults.push(format!("routes[{at}].service"), problem);
        }
        check_route_terms(at, route, faults);
    }
}

fn check_route_terms(at: usize, route: &RouteSpec, faults: &mut FaultList) {
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
    let trailing = path.len() > 1 && path.ends_with('/');
    if !path.starts_with('/') || trailing || !printable || path.contains("//") {
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
