//! The difference between two lists whose items have unique keys.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::document::ExceptionEntry;
use crate::document::RouteSpec;

/// Removals and replacements up to which kept items are found by comparing:
/// a comparison takes some 5 ns and hashing a key some 100 ns.
const FEW_EDITS: usize = 8;

/// An item of a list of the document, told apart by its key.
pub trait KeyedItem: Clone + PartialEq {
    /// What tells items apart.
    type Key: Clone + Eq + Hash;

    /// Unique within the list.
    fn key(&self) -> Self::Key;

    /// True where this is its key.
    fn has_key(&self, key: &Self::Key) -> bool;
}

/// A route's host and path.
pub type RouteKey = (Option<Arc<str>>, Arc<str>);

impl KeyedItem for Arc<RouteSpec> {
    type Key = RouteKey;

    fn key(&self) -> RouteKey {
        (self.host.clone(), Arc::clone(&self.path))
    }

    fn has_key(&self, (host, path): &RouteKey) -> bool {
        self.path == *path && self.host == *host
    }
}

impl KeyedItem for ExceptionEntry {
    type Key = Arc<str>;

    fn key(&self) -> Arc<str> {
        Arc::clone(&self.id)
    }

    fn has_key(&self, id: &Arc<str>) -> bool {
        self.id == *id
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
    ///
    /// Lists of 1,800 items mostly differ in one. What is alike at both ends
    /// is passed over by comparing; hashing its keys took most of the time.
    pub fn between(old: &[T], new: &[T]) -> Self {
        let alike = |(old, new): &(&T, &T)| old == new;
        let ahead = old.iter().zip(new).take_while(alike).count();
        let (old, new) = (&old[ahead..], &new[ahead..]);
        let backwards = old.iter().rev().zip(new.iter().rev());
        let behind = backwards.take_while(alike).count();
        let (old, new) = (&old[..old.len() - behind], &new[..new.len() - behind]);
        Self::between_parts(old, new, ahead)
    }

    /// The edit between parts that begin at place `ahead` of their lists.
    fn between_parts(old: &[T], new: &[T], ahead: usize) -> Self {
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
                edit.inserted.push(((ahead + place) as u32, item.clone()));
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
        // Most changes leave a list alone.
        if self.is_empty() {
            return old.to_vec();
        }
        let kept = self.kept(old);
        let mut inserted = self.inserted.iter().peekable();
        let mut list: Vec<T> = Vec::with_capacity(kept.len() + self.inserted.len());
        for item in kept {
            while let Some((_, new)) =
                inserted.next_if(|(place, _)| *place as usize <= list.len())
            {
                list.push(new.clone());
            }
            list.push(item.clone());
        }
        for (_, new) in inserted {
            list.push(new.clone());
        }
        list
    }

    /// What is left of `old`, with its replacements.
    fn kept<'a>(&'a self, old: &'a [T]) -> Vec<&'a T> {
        if self.removed.len() + self.replaced.len() <= FEW_EDITS {
            return self.kept_of_few(old);
        }
        let removed: HashSet<&T::Key> = self.removed.iter().collect();
        let mut replaced = HashMap::with_capacity(self.replaced.len());
        for item in &self.replaced {
            replaced.insert(item.key(), item);
        }
        let mut kept = Vec::with_capacity(old.len());
        for item in old {
            let key = item.key();
            if !removed.contains(&key) {
                kept.push(replaced.get(&key).copied().unwrap_or(item));
            }
        }
        kept
    }

    /// The same by comparing instead of hashing.
    fn kept_of_few<'a>(&'a self, old: &'a [T]) -> Vec<&'a T> {
        let replaced: Vec<(T::Key, &T)> = self
            .replaced
            .iter()
            .map(|item| (item.key(), item))
            .collect();
        let mut kept = Vec::with_capacity(old.len());
        for item in old {
            if self.removed.iter().any(|key| item.has_key(key)) {
                continue;
            }
            let new = replaced.iter().find(|(key, _)| item.has_key(key));
            kept.push(new.map_or(item, |(_, new)| new));
        }
        kept
    }
}
