//! Reads typed settings from a file and collects all faults in one run.

use std::collections::HashSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

use crate::settings_node::SettingsNode;
use crate::settings_node::SettingsValue;

/// Settings that can be read from a group of keys.
pub trait FromSettings: Sized {
    /// Reads all keys; `None` if a required one is missing or unusable, in
    /// which case the reader has recorded a fault for it.
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self>;
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Line number in the file; 0 if unknown.
    pub line: u64,
    /// Path in the document, such as `members[1].address`.
    pub path: String,
    /// What is wrong, and which value is expected.
    pub problem: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "(file)"
        } else {
            &self.path
        };
        if self.line == 0 {
            return write!(f, "{path}: {}", self.problem);
        }
        write!(f, "line {}: {path}: {}", self.line, self.problem)
    }
}

/// All faults found in one run.
#[derive(Debug, Default)]
pub struct FaultList(Vec<SettingsFault>);

/// Reads one group of keys and records its faults.
pub struct SettingsReader<'a> {
    node: &'a SettingsNode,
    path: String,
    read_keys: HashSet<&'a str>,
    faults: &'a mut FaultList,
}

/// Reads the text of a settings file as `T`, or returns all of its faults.
pub fn read_text<T: FromSettings>(text: &str) -> Result<T, Vec<SettingsFault>> {
    let node = SettingsNode::parse(text).map_err(|problem| {
        let path = String::new();
        let line = 0;
        vec![SettingsFault {
            line,
            path,
            problem,
        }]
    })?;
    let mut faults = FaultList::default();
    let value = read_group(&node, String::new(), &mut faults);
    match value {
        Some(value) if faults.0.is_empty() => Ok(value),
        _ => Err(faults.0),
    }
}

fn read_group<T: FromSettings>(
    node: &SettingsNode,
    path: String,
    faults: &mut FaultList,
) -> Option<T> {
    let mut reader = SettingsReader {
        node,
        path,
        read_keys: HashSet::new(),
        faults,
    };
    if !matches!(node.value, SettingsValue::Map(_) | SettingsValue::Null) {
        let problem = format!("is {}; write a group of keys", node.kind());
        reader.fault_at(node.line, "", problem);
        return None;
    }
    let value = T::from_settings(&mut reader);
    reader.finish();
    value
}

impl<'a> SettingsReader<'a> {
    fn child_path(&self, key: &str) -> String {
        if key.is_empty() {
            return self.path.clone();
        }
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    fn fault_at(&mut self, line: u64, key: &str, problem: String) {
        let path = self.child_path(key);
        self.faults.0.push(SettingsFault {
            line,
            path,
            problem,
        });
    }

    /// Records a fault that concerns more than the form of a single value; its
    /// line is that of `key`, or of the group if `key` is absent.
    pub fn fault(&mut self, key: &str, problem: impl Into<String>) {
        let line = self.find(key).map_or(self.node.line, |node| node.line);
        self.fault_at(line, key, problem.into());
    }

    fn find(&self, key: &str) -> Option<&'a SettingsNode> {
        let SettingsValue::Map(entries) = &self.node.value else {
            return None;
        };
        let found = entries.iter().find(|(name, _)| name == key);
        found.map(|(_, node)| node)
    }

    fn take(&mut self, key: &'static str) -> Option<&'a SettingsNode> {
        self.read_keys.insert(key);
        let node = self.find(key)?;
        match node.value {
            SettingsValue::Null => None,
            _ => Some(node),
        }
    }

    /// Reads a required value; `expected` describes a valid one in faults.
    pub fn required<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Option<T> {
        if self.take(key).is_none() {
            self.fault(key, format!("is missing; write {expected}"));
            return None;
        }
        self.optional(key, expected)
    }

    /// Reads a value that may be absent.
    pub fn optional<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Option<T> {
        let node = self.take(key)?;
        self.scalar(node, key, expected)
    }

    fn scalar<T: FromStr>(
        &mut self,
        node: &SettingsNode,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        let SettingsValue::Scalar(text) = &node.value else {
            let problem = format!("is {}; write {expected}", node.kind());
            self.fault_at(node.line, key, problem);
            return None;
        };
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let problem = format!("{text:?} is not usable; write {expected}");
            self.fault_at(node.line, key, problem);
        }
        parsed
    }

    /// Reads a list of single values; empty if the key is absent.
    pub fn scalars<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Vec<T> {
        let mut values = Vec::new();
        for (at, node) in self.items(key, expected).iter().enumerate() {
            values.extend(self.scalar(node, &format!("{key}[{at}]"), expected));
        }
        values
    }

    /// Reads a list of groups; empty if the key is absent.
    pub fn groups<T: FromSettings>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for (at, node) in self.items(key, expected).iter().enumerate() {
            let path = self.child_path(&format!("{key}[{at}]"));
            values.extend(read_group(node, path, self.faults));
        }
        values
    }

    fn items(&mut self, key: &'static str, expected: &str) -> &'a [SettingsNode] {
        let Some(node) = self.take(key) else {
            return &[];
        };
        if let SettingsValue::List(items) = &node.value {
            return items;
        }
        let problem = format!("is {}; write a list, each {expected}", node.kind());
        self.fault_at(node.line, key, problem);
        &[]
    }

    /// Reads a nested group; `None` if the key is absent.
    pub fn group<T: FromSettings>(&mut self, key: &'static str) -> Option<T> {
        let node = self.take(key)?;
        read_group(node, self.child_path(key), self.faults)
    }

    /// Reads groups by name, such as the services of a document.
    pub fn named_groups<T: FromSettings>(
        &mut self,
        key: &'static str,
    ) -> Vec<(Arc<str>, T)> {
        let mut values = Vec::new();
        for (name, node) in self.entries(key) {
            let path = self.child_path(&format!("{key}.{name}"));
            let Some(value) = read_group(node, path, self.faults) else {
                continue;
            };
            values.push((Arc::from(name.as_str()), value));
        }
        values
    }

    /// Reads single values by name, such as the defaults of a document.
    pub fn named_scalars<K: FromStr, T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Vec<(K, T)>
    where
        K::Err: fmt::Display,
    {
        let mut values = Vec::new();
        for (name, node) in self.entries(key) {
            let path = format!("{key}.{name}");
            let known = match name.parse::<K>() {
                Ok(known) => known,
                Err(unknown) => {
                    self.fault_at(node.line, &path, unknown.to_string());
                    continue;
                }
            };
            let Some(value) = self.scalar(node, &path, expected) else {
                continue;
            };
            values.push((known, value));
        }
        values
    }

    fn entries(&mut self, key: &'static str) -> &'a [(String, SettingsNode)] {
        let Some(node) = self.take(key) else {
            return &[];
        };
        if let SettingsValue::Map(entries) = &node.value {
            return entries;
        }
        let problem = format!("is {}; write a group of keys", node.kind());
        self.fault_at(node.line, key, problem);
        &[]
    }

    /// Records a fault for every key that was not read.
    fn finish(mut self) {
        let SettingsValue::Map(entries) = &self.node.value else {
            return;
        };
        let mut known: Vec<&str> = self.read_keys.iter().copied().collect();
        known.sort_unstable();
        for (key, node) in entries {
            if self.read_keys.contains(key.as_str()) {
                continue;
            }
            let problem = format!("is unknown; known here are {}", known.join(", "));
            self.fault_at(node.line, key, problem);
        }
    }
}

/// A duration written with its unit, such as `750ms` or `2s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsDuration(pub Duration);

/// A duration that is not a whole number with a known unit.
#[derive(Debug, Error)]
#[error("a duration is a whole number with its unit, such as 750ms, 2s or 10m")]
pub struct DurationError;

impl FromStr for SettingsDuration {
    type Err = DurationError;

    fn from_str(text: &str) -> Result<Self, DurationError> {
        let unit_start = text
            .find(|c: char| !c.is_ascii_digit())
            .ok_or(DurationError)?;
        let (number, unit) = text.split_at(unit_start);
        let number: u32 = number.parse().map_err(|_| DurationError)?;
        let unit = match unit.trim() {
            "ms" => Duration::from_millis(1),
            "s" => Duration::from_secs(1),
            "m" => Duration::from_secs(60),
            "h" => Duration::from_secs(3_600),
            _ => return Err(DurationError),
        };
        Ok(Self(unit * number))
    }
}
