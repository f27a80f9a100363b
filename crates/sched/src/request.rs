//! Requests to schedule a generation, as submitted by the request plane.

use base::{class, id};
use tokio::time;

slotmap::new_key_type! {
    /// Key of a waiting or running generation in a [`crate::core::DispatchCore`].
    pub struct TicketKey;
}

/// Prefix of a prompt, identified as in the engines' cache events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixHash {
    /// Hash of the prefix.
    pub hash: u64,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Prefix lengths at which prompts are compared, in blocks. All prompts are sampled at the same
/// lengths; otherwise a preamble shared by two prompts would go unnoticed.
const PREFIX_BLOCKS: [u32; 8] = [4, 8, 16, 24, 32, 48, 64, 128];

/// Returns whether prompts are compared at prefixes of `tokens`.
#[must_use]
pub fn is_sampled(tokens: u32, block_tokens: u32) -> bool {
    let block_tokens = block_tokens.max(1);
    tokens.is_multiple_of(block_tokens) && PREFIX_BLOCKS.contains(&(tokens / block_tokens))
}

/// Prefixes of one prompt at a few fixed lengths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixChain {
    /// Prefixes in ascending order of tokens; only the first `len` are valid.
    hashes: [PrefixHash; PREFIX_BLOCKS.len()],
    /// Number of valid prefixes; at most the length of the array.
    len: u8,
}

impl PrefixChain {
    /// Samples `chain`, which holds the hash up to each full block as computed by
    /// `base::prefix::chain`.
    #[must_use]
    pub fn sample(chain: &[u64], block_tokens: u32) -> Self {
        let mut sample = Self::default();
        for blocks in PREFIX_BLOCKS {
            if let Some(&hash) = chain.get(blocks as usize - 1) {
                let tokens = blocks * block_tokens;
                sample.hashes[usize::from(sample.len)] = PrefixHash { hash, tokens };
                sample.len += 1;
            }
        }
        sample
    }

    /// Returns the prefixes in ascending order of tokens.
    #[must_use]
    pub fn hashes(&self) -> &[PrefixHash] {
        &self.hashes[..usize::from(self.len)]
    }
}

/// Maximum number of servers in one [`AvoidList`].
pub const AVOID_DEPTH: usize = 4;

/// Servers that a further attempt must not use. Holds the latest [`AVOID_DEPTH`] servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AvoidList {
    /// Ring of servers; a null key marks an empty slot.
    servers: [id::ServerKey; AVOID_DEPTH],
    /// Index of the slot written next.
    next: u8,
}

impl AvoidList {
    /// Adds `server`, replacing the oldest one if the list is full.
    pub fn push(&mut self, server: id::ServerKey) {
        if !self.contains(server) {
            self.servers[usize::from(self.next)] = server;
            self.next = (self.next + 1) % AVOID_DEPTH as u8;
        }
    }

    /// Returns whether `server` is to be avoided.
    #[must_use]
    pub fn contains(&self, server: id::ServerKey) -> bool {
        !slotmap::Key::is_null(&server) && self.servers.contains(&server)
    }
}

/// Request to run one generation on a model engine.
#[derive(Clone, Copy, Debug)]
pub struct GenerationRequest {
    /// Organisation of the caller.
    pub organisation: id::OrganisationKey,
    /// Traffic class, which determines how long the request may wait.
    pub class: class::TrafficClass,
    /// Requested model.
    pub model: id::ModelKey,
    /// Number of prompt tokens, or an estimate.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Prefixes of the prompt.
    pub prefix: PrefixChain,
    /// Servers used by earlier attempts.
    pub avoid: AvoidList,
    /// Time at which the request is refused if it has not been dispatched; deferrable work has
    /// none.
    pub deadline: Option<time::Instant>,
    /// Whether the response is buffered until it is complete, so that the generation may be
    /// restarted even after its first token.
    pub buffered: bool,
    /// Whether this is a further attempt. It goes ahead of its organisation's first attempts and is
    /// not charged to a limit again.
    pub retry: bool,
}

impl GenerationRequest {
    /// Creates a first attempt without prefixes, servers to avoid and deadline.
    #[must_use]
    pub fn new(
        organisation: id::OrganisationKey,
        class: class::TrafficClass,
        model: id::ModelKey,
        prompt_tokens: u32,
        max_tokens: u32,
    ) -> Self {
        Self {
            organisation,
            class,
            model,
            prompt_tokens,
            max_tokens,
            prefix: PrefixChain::default(),
            avoid: AvoidList::default(),
            deadline: None,
            buffered: false,
            retry: false,
        }
    }
}

/// Kind of failure of a generation or a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection was refused or broke.
    Broken,
    /// No data arrived before the timeout.
    Silent,
    /// The engine rejected the request because it was full or leaving.
    Rejected,
    /// The engine ended the generation with an error of its own.
    Errored,
}

impl FailureKind {
    /// Returns the weight in the server's failure score; 1 keeps new work away for some seconds.
    #[must_use]
    pub const fn weight(self) -> f32 {
        match self {
            Self::Broken | Self::Silent => 1.0,
            Self::Rejected => 0.3,
            Self::Errored => 0.2,
        }
    }
}
