//! The difference between two lists whose items have unique keys.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::document::ExceptionEntry;
use crate::document::RouteSpec;

/// An item of a list of the document, told apart by its key.
pub trait KeyedItem: Clone + PartialEq {
    /// What tells items apart.
    type Key: Clone + Eq + Hash;

    /// Unique within the list.
    fn key(&self) -> Self::Key;
}

/// A route's host and path.
pub type RouteKey = (Option<Arc<str>>, Arc<str>);

impl KeyedItem for RouteSpec {
    type Key = RouteKey;

    fn key(&self) -> RouteKey {
        (self.host.clone(), Arc::clone(&self.path))
    }
}

impl KeyedItem for ExceptionEntry {
    type Key = Arc<str>;

    fn key(&self) -> Arc<str> {
        Arc::clone(&self.id)
    }
}

/// Removals, replacements in place and insertions, in that order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "T: Serialize, T::Key: Serialize",
    deserialize = "T: Deserialize<'de>, T::Key: Deserialize<'de>"
))]
pub struct ListEdit<T: KeyedItem> {
    removed: Vec<T::Key>,
    replaced: Vec<T>,
    /// Place in the new list and item, by place.
    inserted: Vec<(u32, T)>,
}

impl<T: KeyedItem> Default for ListEdit<T> {
    fn default() -> Self {
        Self {
            removed: Vec::new(),
            replaced: Vec::new(),
            inserted: Vec::new(),
        }
    }
}

impl<T: KeyedItem> ListEdit<T> {
    /// Number of items that change.
    pub fn len(&self) -> usize {
        self.removed.len() + self.replaced.len() + self.inserted.len()
    }

    /// True where nothing changes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<T: KeyedItem> ListEdit<T> {
    /// The edit from `old` to `new`. An item that moved ahead of a kept one
    /// is removed and inserted again.
    pub fn between(old: &[T], new: &[T]) -> Self {
        let mut edit = Self::default();
        let mut places = HashMap::with_capacity(old.len());
        for (place, item) in old.iter().enumerate() {
            places.insert(item.key(), place);
        }
        let mut kept = HashSet::with_capacity(new.len());
        let mut next = 0;
        for (place, item) in new.iter().enumerate() {
            let held = places.get(&item.key()).copied();
            let Some(held) = held.filter(|held| *held >= next) else {
                edit.inserted.push((place as u32, item.clone()));
                continue;
            };
            next = held + 1;
            kept.insert(item.key());
            if old[held] != *item {
                edit.replaced.push(item.clone());
            }
        }
        for item in old {
            if !kept.contains(&item.key()) {
                edit.removed.push(item.key());
            }
        }
        edit
    }

    /// The list after the edit.
    pub fn apply(&self, old: &[T]) -> Vec<T> {
        let removed: HashSet<&T::Key> = self.removed.iter().collect();
        let mut replaced = HashMap::with_capacity(self.replaced.len());
        for item in &self.replaced {
            replaced.insert(item.key(), item);
        }
        let mut inserted = self.inserted.iter().peekable();
        let mut list: Vec<T> = Vec::with_capacity(old.len() + self.inserted.len());
        for item in old {
            if removed.contains(&item.key()) {
                continue;
            }
            while let Some((_, new)) =
                inserted.next_if(|(place, _)| *place as usize <= list.len())
            {
                list.push(new.clone());
            }
            let item = replaced.get(&item.key()).copied().unwrap_or(item);
            list.push(item.clone());
        }
        for (_, new) in inserted {
            list.push(new.clone());
        }
        list
    }
}
