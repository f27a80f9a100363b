//! KV cache blocks of one engine, used by running generations and cached prefixes.

use std::{collections, mem};

/// Change of a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolChange {
    /// Hash of the prefix that this block completes.
    pub hash: u64,
    /// Number of blocks of that prefix.
    pub depth: u32,
    /// `true` if the block was stored, `false` if it was evicted to free memory.
    pub stored: bool,
}

/// Cached block, identified by its prefix hash.
#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    /// Number of running generations that hold the block.
    holders: u32,
    /// Number of blocks of the prefix that this block completes.
    depth: u32,
    /// Sequence number of the last release; meaningless while the block is held.
    released: u64,
}

/// Pool of KV cache blocks.
#[derive(Clone, Debug)]
pub struct BlockPool {
    total: u32,
    /// Blocks owned by single generations. Invariant: `private + cached.len() <= total`.
    private: u32,
    cached: collections::HashMap<u64, CachedBlock>,
    /// All cached blocks without holders, least recently released first.
    idle: collections::BTreeMap<u64, u64>,
    releases: u64,
    changes: Vec<PoolChange>,
}

impl BlockPool {
    /// Creates an empty pool of `total` blocks.
    #[must_use]
    pub fn new(total: u32) -> Self {
        Self {
            total,
            private: 0,
            cached: collections::HashMap::new(),
            idle: collections::BTreeMap::new(),
            releases: 0,
            changes: Vec::new(),
        }
    }

    /// Returns the number of blocks that no running generation holds, including idle cached ones.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.total - self.private - (self.cached.len() - self.idle.len()) as u32
    }

    /// Returns the number of used blocks, including cached ones without holders.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        self.private + self.cached.len() as u32
    }

    /// Returns how many leading hashes of `chain` are cached, and how many of these have no holder.
    #[must_use]
    pub fn find(&self, chain: &[u64]) -> (usize, u32) {
        let mut idle = 0;
        for (index, hash) in chain.iter().enumerate() {
            match self.cached.get(hash) {
                None => return (index, idle),
                Some(block) => idle += u32::from(block.holders == 0),
            }
        }
        (chain.len(), idle)
    }

    /// Adds a holder to a cached block.
    pub fn hold(&mut self, hash: u64) {
        let Some(block) = self.cached.get_mut(&hash) else {
            return;
        };
        if block.holders == 0 {
            self.idle.remove(&block.released);
        }
        block.holders += 1;
    }

    /// Allocates `count` private blocks or none, evicting idle cached blocks if needed.
    pub fn take(&mut self, count: u32) -> bool {
        if count > self.free() {
            return false;
        }
        while self.occupied() + count > self.total {
            if let Some((_, hash)) = self.idle.pop_first() {
                self.evict(hash);
            }
        }
        self.private += count;
        true
    }

    /// Converts one private block into a cached block held by its owner. Returns `false` if the
    /// prefix is already cached; the block then stays private.
    pub fn store(&mut self, hash: u64, depth: u32) -> bool {
        if self.cached.contains_key(&hash) || self.private == 0 {
            return false;
        }
        self.private -= 1;
        let block = CachedBlock {
            holders: 1,
            depth,
            released: 0,
        };
        self.cached.insert(hash, block);
        let change = PoolChange {
            hash,
            depth,
            stored: true,
        };
        self.changes.push(change);
        true
    }

    /// Releases a generation's blocks.
    pub fn release(&mut self, private: u32, held: &[u64]) {
        self.private -= private;
        // Release the last block first, so that ends are evicted first: a prefix is useless without
        // its start.
        for hash in held.iter().rev() {
            let Some(block) = self.cached.get_mut(hash) else {
                continue;
            };
            block.holders -= 1;
            if block.holders == 0 {
                self.releases += 1;
                block.released = self.releases;
                self.idle.insert(self.releases, *hash);
            }
        }
    }

    /// Evicts all idle cached blocks.
    pub fn clear_idle(&mut self) {
        for hash in mem::take(&mut self.idle).into_values() {
            self.evict(hash);
        }
    }

    /// Returns the cache changes since the last call.
    pub fn drain_changes(&mut self) -> Vec<PoolChange> {
        mem::take(&mut self.changes)
    }

    fn evict(&mut self, hash: u64) {
        let Some(block) = self.cached.remove(&hash) else {
            return;
        };
        self.changes.push(PoolChange {
            hash,
            depth: block.depth,
            stored: false,
        });
    }
}
