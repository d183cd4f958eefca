//! A settings file parsed into a tree of nodes with line numbers.
//!
//! A typed deserializer stops at the first fault; reading from a tree makes it
//! possible to report all faults in one run.

use std::fmt;

use serde::de::Deserialize;
use serde::de::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Spanned;

/// One node of the settings tree.
#[derive(Clone, Debug)]
pub struct SettingsNode {
    /// Line number in the file, from 1; 0 if the file is empty.
    pub line: u64,
    /// Content of the node.
    pub value: SettingsValue,
}

/// Content of a node.
#[derive(Clone, Debug)]
pub enum SettingsValue {
    /// No value, or `null`.
    Null,
    /// A single value, spelled as in the file.
    Scalar(String),
    /// A list.
    List(Vec<SettingsNode>),
    /// Keys and values, in file order.
    Map(Vec<(String, SettingsNode)>),
}

impl SettingsNode {
    /// Parses a file; the error is the first line of the parser's message.
    pub fn parse(text: &str) -> Result<Self, String> {
        if text.trim().is_empty() {
            return Ok(Self {
                line: 0,
                value: SettingsValue::Null,
            });
        }
        let parsed: Result<Spanned<RawValue>, _> = serde_saphyr::from_str(text);
        match parsed {
            Ok(raw) => Ok(resolve(raw, text)),
            Err(error) => Err(first_line(&error.to_string())),
        }
    }

    /// Describes the kind of node in fault messages.
    pub fn kind(&self) -> &'static str {
        match self.value {
            SettingsValue::Null => "nothing",
            SettingsValue::Scalar(_) => "a single value",
            SettingsValue::List(_) => "a list",
            SettingsValue::Map(_) => "a group of keys",
        }
    }
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

/// A node as the YAML parser returns it.
enum RawValue {
    Null,
    Text(String),
    /// A number or a boolean. [`resolve`] replaces it by its source text, so
    /// that a version such as `1.10` does not become the number 1.1.
    Plain(String),
    List(Vec<Spanned<RawValue>>),
    Map(Vec<(String, Spanned<RawValue>)>),
}

fn resolve(raw: Spanned<RawValue>, text: &str) -> SettingsNode {
    let line = raw.referenced.line();
    let span = raw.defined.span();
    let value = match raw.value {
        RawValue::Null => SettingsValue::Null,
        RawValue::Text(scalar) => SettingsValue::Scalar(scalar),
        RawValue::Plain(parsed) => {
            let start = span.byte_offset().unwrap_or(0) as usize;
            let length = span.byte_len().unwrap_or(0) as usize;
            let source_text = text.get(start..start + length).map(str::trim);
            let source_text = source_text.filter(|source_text| !source_text.is_empty());
            SettingsValue::Scalar(source_text.unwrap_or(&parsed).to_owned())
        }
        RawValue::List(items) => SettingsValue::List(
            items.into_iter().map(|item| resolve(item, text)).collect(),
        ),
        RawValue::Map(entries) => {
            let entries = entries.into_iter();
            let entries = entries.map(|(key, node)| (key, resolve(node, text)));
            SettingsValue::Map(entries.collect())
        }
    };
    SettingsNode { line, value }
}

impl<'de> Deserialize<'de> for RawValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = RawValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value, a list or a group of keys")
    }

    fn visit_unit<E: Error>(self) -> Result<RawValue, E> {
        Ok(RawValue::Null)
    }

    fn visit_none<E: Error>(self) -> Result<RawValue, E> {
        Ok(RawValue::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<RawValue, E> {
        Ok(RawValue::Plain(value.to_string()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<RawValue, E> {
        Ok(RawValue::Plain(value.to_string()))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<RawValue, E> {
        Ok(RawValue::Plain(value.to_string()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<RawValue, E> {
        Ok(RawValue::Plain(value.to_string()))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<RawValue, E> {
        Ok(RawValue::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<RawValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = list.next_element()? {
            items.push(item);
        }
        Ok(RawValue::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(RawValue::Map(entries))
    }
}
