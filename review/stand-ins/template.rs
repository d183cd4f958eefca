//! Fills in a settings template as DEPLOY.md describes it.

use std::collections::BTreeMap;

/// A field of the platform's settings.
pub enum Field {
    Text(String),
    List(Vec<String>),
    Table(BTreeMap<String, String>),
}

pub type Fields = BTreeMap<String, Field>;

/// Returns `template` with its placeholders and sections filled in.
pub fn fill(template: &str, fields: &Fields) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = rest[start..].find("}}").expect("a closed placeholder") + start;
        let name = &rest[start + 2..end];
        rest = &rest[end + 2..];
        let Some(section) = name.strip_prefix('#') else {
            out.push_str(&value(name, fields));
            continue;
        };
        let close = format!("{{{{/{section}}}}}");
        let at = rest.find(&close).expect("a closed section");
        let inner = &rest[..at];
        rest = &rest[at + close.len()..];
        let entries: Vec<(String, String)> = match fields.get(section) {
            Some(Field::List(items)) => {
                let items = items.iter().enumerate();
                items.map(|(at, item)| (at.to_string(), item.clone())).collect()
            }
            Some(Field::Table(table)) => {
                table.iter().map(|(key, item)| (key.clone(), item.clone())).collect()
            }
            _ => panic!("no list or table {section}"),
        };
        for (key, item) in entries {
            out.push_str(&inner.replace("{{@}}", &key).replace("{{.}}", &item));
        }
    }
    out.push_str(rest);
    out
}

fn value(name: &str, fields: &Fields) -> String {
    if let Some(Field::Text(text)) = fields.get(name) {
        return text.clone();
    }
    let (table, key) = name.split_once('.').unwrap_or((name, ""));
    match fields.get(table) {
        Some(Field::Table(table)) => table.get(key).cloned().unwrap_or_default(),
        Some(Field::List(items)) => {
            let at: usize = key.parse().expect("an index");
            items[at].clone()
        }
        _ => panic!("no field {name}"),
    }
}
