//! Arena of named entries whose keys stay valid across revisions.

use std::{collections, mem};

/// Arena of entries of one kind, with a lookup from name to key.
#[derive(Clone, Debug)]
pub(crate) struct NamedArena<K: slotmap::Key, V> {
    pub entries: slotmap::SlotMap<K, V>,
    /// Key of each entry, by name.
    pub keys: collections::HashMap<String, K>,
}

impl<K: slotmap::Key, V> Default for NamedArena<K, V> {
    fn default() -> Self {
        Self {
            entries: slotmap::SlotMap::with_key(),
            keys: collections::HashMap::new(),
        }
    }
}

impl<K: slotmap::Key, V: Clone> NamedArena<K, V> {
    /// Builds the arena of the next revision. A name that is still present keeps its key, and the
    /// key of a removed name is never reused for another one.
    pub fn next<I: Iterator<Item = (String, V)>>(&self, named: I) -> Self {
        let mut arena = self.clone();
        let mut removed = mem::take(&mut arena.keys);
        for (name, value) in named {
            let key = match removed.remove(&name) {
                Some(key) => {
                    arena.entries[key] = value;
                    key
                }
                None => arena.entries.insert(value),
            };
            arena.keys.insert(name, key);
        }
        for key in removed.into_values() {
            arena.entries.remove(key);
        }
        arena
    }
}
