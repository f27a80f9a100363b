//! Counts the relays of each generation, so that the generation of a disconnected caller is
//! cancelled only if no other relay continues it.
//!
//! Without this, a caller whose connection broke would continue by token, here or at another entry
//! VM, and the first relay would then notice that its caller disconnected and cancel the generation
//! that the second one relays: continued streams would end as cancelled.

use std::{collections, sync};

use base::id;

#[derive(Clone, Copy, Debug, Default)]
struct ReaderEntry {
    /// Number of relays in this process.
    readers: u32,
    /// Whether another entry VM continues the generation.
    adopted: bool,
}

/// Relays of this process by generation.
#[derive(Debug, Default)]
pub struct ReaderTable {
    entries: sync::Mutex<collections::HashMap<id::GenerationId, ReaderEntry>>,
}

/// Counts one relay of a generation until dropped.
#[derive(Debug)]
pub struct ReaderGuard {
    table: sync::Arc<ReaderTable>,
    generation: id::GenerationId,
}

impl ReaderTable {
    /// Registers a relay.
    pub fn enter(self: &sync::Arc<Self>, generation: id::GenerationId) -> ReaderGuard {
        self.lock().entry(generation).or_default().readers += 1;
        ReaderGuard {
            table: self.clone(),
            generation,
        }
    }

    /// Records that another entry VM continues a generation.
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
    /// Whether no other relay reads the generation; only then may it be cancelled.
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
