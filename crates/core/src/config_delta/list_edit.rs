//! The difference between two lists whose items have unique keys.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::document::ExceptionEntry;
use crate::document::RouteSpec;

/// Number of removals and replacements up to which [`ListEdit::apply`] compares
/// each item with all of them instead of hashing its key: a comparison takes
/// about 5 ns and hashing a key about 100 ns.
const LINEAR_SEARCH_MAX: usize = 8;

/// An item of a list in the document, identified by a key.
pub trait KeyedItem: Clone + PartialEq {
    /// Type of the key.
    type Key: Clone + Eq + Hash;

    /// Returns the key, which is unique within the list.
    fn key(&self) -> Self::Key;

    /// True if `key` is the item's key.
    fn has_key(&self, key: &Self::Key) -> bool;
}

/// Host and path of a route.
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

/// Removals, replacements in place and insertions, applied in that order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "T: Serialize, T::Key: Serialize",
    deserialize = "T: Deserialize<'de>, T::Key: Deserialize<'de>"
))]
pub struct ListEdit<T: KeyedItem> {
    removed: Vec<T::Key>,
    replaced: Vec<T>,
    /// Index in the new list and item, in order of the index.
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
    /// Number of edited items.
    pub fn len(&self) -> usize {
        self.removed.len() + self.replaced.len() + self.inserted.len()
    }

    /// True if no item is edited.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<T: KeyedItem> ListEdit<T> {
    /// Computes the edit from `old` to `new`. An item that moved ahead of a kept
    /// one is removed and inserted again.
    ///
    /// Lists of 1,800 items mostly differ in one. The common prefix and suffix
    /// are skipped by comparing items; hashing all keys would take most of the
    /// time.
    pub fn between(old: &[T], new: &[T]) -> Self {
        let equal = |(old, new): &(&T, &T)| old == new;
        let prefix = old.iter().zip(new).take_while(equal).count();
        let (old, new) = (&old[prefix..], &new[prefix..]);
        let reversed = old.iter().rev().zip(new.iter().rev());
        let suffix = reversed.take_while(equal).count();
        let (old, new) = (&old[..old.len() - suffix], &new[..new.len() - suffix]);
        Self::between_middles(old, new, prefix)
    }

    /// Computes the edit between the parts of two lists that follow a common
    /// prefix of `prefix` items.
    fn between_middles(old: &[T], new: &[T], prefix: usize) -> Self {
        let mut edit = Self::default();
        let mut old_indexes = HashMap::with_capacity(old.len());
        for (index, item) in old.iter().enumerate() {
            old_indexes.insert(item.key(), index);
        }
        let mut kept = HashSet::with_capacity(new.len());
        let mut next_old = 0;
        for (index, item) in new.iter().enumerate() {
            let old_index = old_indexes.get(&item.key()).copied();
            let Some(old_index) = old_index.filter(|old_index| *old_index >= next_old)
            else {
                edit.inserted.push(((prefix + index) as u32, item.clone()));
                continue;
            };
            next_old = old_index + 1;
            kept.insert(item.key());
            if old[old_index] != *item {
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

    /// Returns `old` with the edit applied.
    pub fn apply(&self, old: &[T]) -> Vec<T> {
        // Most changes leave a list unchanged.
        if self.is_empty() {
            return old.to_vec();
        }
        let kept = self.kept(old);
        let mut inserted = self.inserted.iter().peekable();
        let mut list: Vec<T> = Vec::with_capacity(kept.len() + self.inserted.len());
        for item in kept {
            while let Some((_, new)) =
                inserted.next_if(|(index, _)| *index as usize <= list.len())
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

    /// Returns the items of `old` that are not removed, with replacements applied.
    fn kept<'a>(&'a self, old: &'a [T]) -> Vec<&'a T> {
        if self.removed.len() + self.replaced.len() <= LINEAR_SEARCH_MAX {
            return self.kept_by_linear_search(old);
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

    /// Same as [`Self::kept`], but compares keys instead of hashing them.
    fn kept_by_linear_search<'a>(&'a self, old: &'a [T]) -> Vec<&'a T> {
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
