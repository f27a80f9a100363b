//! The KV cache blocks of one engine: those of running generations and those of cached prefixes.

use std::{collections, mem};

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolChange {
    /// Hash of the prefix that ends with this block.
    pub hash: u64,
    /// Blocks of that prefix.
    pub depth: u32,
    /// `true`: it can be found from now on; `false`: it was dropped to make room.
    pub stored: bool,
}

/// A block whose content is known by its prefix hash.
#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    /// Running generations that hold it.
    holders: u32,
    /// Blocks of the prefix that ends with it.
    depth: u32,
    /// Order of its last release; while it is held it stands for nothing.
    released: u64,
}

/// Budget of blocks.
#[derive(Clone, Debug)]
pub struct BlockPool {
    total: u32,
    /// Blocks of single generations; `private + cached.len() <= total` always.
    private: u32,
    cached: collections::HashMap<u64, CachedBlock>,
    /// Exactly the cached blocks without holders, longest released first.
    idle: collections::BTreeMap<u64, u64>,
    releases: u64,
    changes: Vec<PoolChange>,
}

impl BlockPool {
    /// An empty pool of `total` blocks.
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

    /// Blocks that no running generation holds; cached ones without holders count as free.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.total - self.private - (self.cached.len() - self.idle.len()) as u32
    }

    /// Blocks that hold something, cached ones without holders included.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        self.private + self.cached.len() as u32
    }

    /// How many leading hashes of `chain` are cached, and how many of these nobody holds.
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

    /// Takes a hold on a cached block.
    pub fn hold(&mut self, hash: u64) {
        let Some(block) = self.cached.get_mut(&hash) else {
            return;
        };
        if block.holders == 0 {
            self.idle.remove(&block.released);
        }
        block.holders += 1;
    }

    /// Takes `count` private blocks, dropping idle cached ones when needed; all or nothing.
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

    /// Turns one private block into a cached one that its owner holds; `false` when the prefix is
    /// cached already and the block stays private.
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

    /// Gives back a generation's blocks.
    pub fn release(&mut self, private: u32, held: &[u64]) {
        self.private -= private;
        // The last block first: a prefix is useless without its beginning, so ends go first.
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

    /// Drops all idle cached blocks.
    pub fn clear_idle(&mut self) {
        for hash in mem::take(&mut self.idle).into_values() {
            self.evict(hash);
        }
    }

    /// The changes of the cache since the last call.
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
