//! What this entry VM knows of each model engine.

use base::id;
use tokio::time;

/// Where a server or an entry VM stands. The numbers are the caller's; equal means same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerPlace {
    /// Number of its region.
    pub region: u16,
    /// Number of its failure domain.
    pub failure_domain: u16,
}

/// What the inventory says of a model engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Where it stands.
    pub place: ServerPlace,
    /// Models that it serves now.
    pub models: Vec<id::ModelKey>,
    /// KV cache blocks that it has.
    pub total_blocks: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Generations that it runs at once at the most.
    pub max_batch: u32,
}

/// One load report of an engine, as its watcher took it.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Instant on this VM's clock that the load is as of: arrival less its age.
    pub taken_at: time::Instant,
    /// KV cache blocks that it has.
    pub total_blocks: u32,
    /// Blocks that no generation holds.
    pub free_blocks: u32,
    /// Generations in its batch.
    pub running: u32,
    /// Generations in its own queue.
    pub waiting: u32,
    /// Preemptions since it started.
    pub preemptions: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}
