//! Who relays which generation, so that a gone caller's generation is cancelled only when
//! nobody else goes on with it.
//!
//! What goes wrong otherwise: a caller whose connection broke continues by token, here or at
//! another entry VM; the first relay then notices its gone caller and cancels the generation
//! under the second. One would notice continued streams that end as cancelled.

use std::{collections, sync};

use base::id;

#[derive(Clone, Copy, Debug, Default)]
struct ReaderEntry {
    /// Relays of this process.
    readers: u32,
    /// Another entry VM goes on with it.
    adopted: bool,
}

/// Relays of this process by generation.
#[derive(Debug, Default)]
pub struct ReaderTable {
    entries: sync::Mutex<collections::HashMap<id::GenerationId, ReaderEntry>>,
}

/// Counts one relay of a generation for as long as it is held.
#[derive(Debug)]
pub struct ReaderGuard {
    table: sync::Arc<ReaderTable>,
    generation: id::GenerationId,
}

impl ReaderTable {
    /// A relay begins.
    pub fn enter(self: &sync::Arc<Self>, generation: id::GenerationId) -> ReaderGuard {
        self.lock().entry(generation).or_default().readers += 1;
        ReaderGuard {
            table: self.clone(),
            generation,
        }
    }

    /// Another entry VM goes on with a generation.
    pub fn adopted_elsewhere(&self, generation: id::GenerationId) {
        if let Some(entry) = self.lock().get_mut(&generation) {
            entry.adopted = true;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<id::GenerationId, ReaderEntry>> {
        self.entries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl ReaderGuard {
    /// Whether nobody else relays the generation: only then may it be cancelled.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.table
            .lock()
            .get(&self.generation)
            .is_none_or(|entry| entry.readers <= 1 && !entry.adopted)
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let mut entries = self.table.lock();
        if let Some(entry) = entries.get_mut(&self.generation) {
            entry.readers -= 1;
            if entry.readers == 0 {
                entries.remove(&self.generation);
            }
        }
    }
}
