//! Arena of named things whose keys outlive one revision.

use std::{collections, mem};

/// Arena of one kind of thing, with the key of each name.
#[derive(Clone, Debug)]
pub(crate) struct NamedArena<K: slotmap::Key, V> {
    pub entries: slotmap::SlotMap<K, V>,
    /// One name for each entry of the arena.
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
    /// The arena of the next revision: a name that stays keeps its key, and the key of a name
    /// that went is never given to another.
    pub fn next<I: Iterator<Item = (String, V)>>(&self, named: I) -> Self {
        let mut arena = self.clone();
        let mut gone = mem::take(&mut arena.keys);
        for (name, value) in named {
            let key = match gone.remove(&name) {
                Some(key) => {
                    arena.entries[key] = value;
                    key
                }
                None => arena.entries.insert(value),
            };
            arena.keys.insert(name, key);
        }
        for key in gone.into_values() {
            arena.entries.remove(key);
        }
        arena
    }
}
