//! Reads typed settings from a file and gathers every fault on the way.

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
    /// Reads all keys; `None` where a needed one is missing or unusable,
    /// which is then among the reader's faults.
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self>;
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Line in the file; 0 where none can be named.
    pub line: u64,
    /// Where in the document, such as `members[1].address`.
    pub path: String,
    /// What is wrong, and what would be right.
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

/// Every fault found in one run.
#[derive(Debug, Default)]
pub struct FaultList(Vec<SettingsFault>);

/// Reads one group of keys.
pub struct SettingsReader<'a> {
    node: &'a SettingsNode,
    path: String,
    taken: HashSet<&'a str>,
    faults: &'a mut FaultList,
}

/// Reads a whole file as `T`, or says everything that is wrong with it.
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
        taken: HashSet::new(),
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

    /// Adds a fault of this group that no single key shows.
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
        self.taken.insert(key);
        let node = self.find(key)?;
        match node.value {
            SettingsValue::Null => None,
            _ => Some(node),
        }
    }

    /// A value that must be there; `right` says what would be right.
    pub fn required<T: FromStr>(&mut self, key: &'static str, right: &str) -> Option<T> {
        if self.take(key).is_none() {
            self.fault(key, format!("is missing; write {right}"));
            return None;
        }
        self.optional(key, right)
    }

    /// A value that may be absent.
    pub fn optional<T: FromStr>(&mut self, key: &'static str, right: &str) -> Option<T> {
        let node = self.take(key)?;
        self.scalar(node, key, right)
    }

    fn scalar<T: FromStr>(
        &mut self,
        node: &SettingsNode,
        key: &str,
        right: &str,
    ) -> Option<T> {
        let SettingsValue::Scalar(text) = &node.value else {
            let problem = format!("is {}; write {right}", node.kind());
            self.fault_at(node.line, key, problem);
            return None;
        };
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let problem = format!("{text:?} is not usable; write {right}");
            self.fault_at(node.line, key, problem);
        }
        parsed
    }

    /// A list of single values; empty where the key is absent.
    pub fn scalars<T: FromStr>(&mut self, key: &'static str, right: &str) -> Vec<T> {
        let mut values = Vec::new();
        for (at, node) in self.items(key, right).iter().enumerate() {
            values.extend(self.scalar(node, &format!("{key}[{at}]"), right));
        }
        values
    }

    /// A list of groups; empty where the key is absent.
    pub fn groups<T: FromSettings>(&mut self, key: &'static str, right: &str) -> Vec<T> {
        let mut values = Vec::new();
        for (at, node) in self.items(key, right).iter().enumerate() {
            let path = self.child_path(&format!("{key}[{at}]"));
            values.extend(read_group(node, path, self.faults));
        }
        values
    }

    fn items(&mut self, key: &'static str, right: &str) -> &'a [SettingsNode] {
        let Some(node) = self.take(key) else {
            return &[];
        };
        if let SettingsValue::List(items) = &node.value {
            return items;
        }
        let problem = format!("is {}; write a list, each {right}", node.kind());
        self.fault_at(node.line, key, problem);
        &[]
    }

    /// A group below this one; `None` where the key is absent.
    pub fn group<T: FromSettings>(&mut self, key: &'static str) -> Option<T> {
        let node = self.take(key)?;
        read_group(node, self.child_path(key), self.faults)
    }

    /// Groups by name, such as the services of a document.
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

    /// Single values by name, such as the defaults of a document.
    pub fn named_scalars<K: FromStr, T: FromStr>(
        &mut self,
        key: &'static str,
        right: &str,
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
            let Some(value) = self.scalar(node, &path, right) else {
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

    /// Reports the keys that nothing has asked for.
    fn finish(mut self) {
        let SettingsValue::Map(entries) = &self.node.value else {
            return;
        };
        let mut known: Vec<&str> = self.taken.iter().copied().collect();
        known.sort_unstable();
        for (key, node) in entries {
            if self.taken.contains(key.as_str()) {
                continue;
            }
            let problem = format!("is unknown; known here are {}", known.join(", "));
            self.fault_at(node.line, key, problem);
        }
    }
}

/// A time written with its unit, such as `750ms` or `2s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsDuration(pub Duration);

/// A time without a unit, or with one that is not known.
#[derive(Debug, Error)]
#[error("a time is a whole number with its unit, such as 750ms, 2s or 10m")]
pub struct TimeError;

impl FromStr for SettingsDuration {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self, TimeError> {
        let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or(TimeError)?;
        let (number, unit) = text.split_at(digits);
        let number: u32 = number.parse().map_err(|_| TimeError)?;
        let unit = match unit.trim() {
            "ms" => Duration::from_millis(1),
            "s" => Duration::from_secs(1),
            "m" => Duration::from_secs(60),
            "h" => Duration::from_secs(3_600),
            _ => return Err(TimeError),
        };
        Ok(Self(unit * number))
    }
}
