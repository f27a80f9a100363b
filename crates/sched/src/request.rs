//! What the request plane asks for: a place for one generation.

use base::{class, id};
use tokio::time;

slotmap::new_key_type! {
    /// Key of one admitted or waiting generation in a [`crate::core::DispatchCore`].
    pub struct TicketKey;
}

/// One prefix of a prompt, as engines name it in their cache events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixHash {
    /// Hash of the prefix.
    pub hash: u64,
    /// Tokens that it covers.
    pub tokens: u32,
}

/// Lengths at which prompts are compared, in blocks. All prompts are sampled at the same lengths,
/// else two that share a preamble would not be seen to.
const PREFIX_BLOCKS: [u32; 8] = [4, 8, 16, 24, 32, 48, 64, 128];

/// Whether a prefix of `tokens` is of a length at which prompts are compared.
#[must_use]
pub fn is_sampled(tokens: u32, block_tokens: u32) -> bool {
    let block_tokens = block_tokens.max(1);
    tokens.is_multiple_of(block_tokens) && PREFIX_BLOCKS.contains(&(tokens / block_tokens))
}

/// Prefixes of one prompt at a few fixed lengths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixChain {
    /// In ascending order of tokens; only the first `len` count.
    hashes: [PrefixHash; PREFIX_BLOCKS.len()],
    /// Never more than the array holds.
    len: u8,
}

impl PrefixChain {
    /// Samples `chain`, the hash of each full block as `base::prefix::chain` gives it.
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

    /// The prefixes, in ascending order of tokens.
    #[must_use]
    pub fn hashes(&self) -> &[PrefixHash] {
        &self.hashes[..usize::from(self.len)]
    }
}

/// Servers kept in one [`AvoidList`].
pub const AVOID_DEPTH: usize = 4;

/// Servers that a further try must not go to; the newest [`AVOID_DEPTH`] count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AvoidList {
    /// A null key is an empty place.
    servers: [id::ServerKey; AVOID_DEPTH],
    /// Place of the next one.
    next: u8,
}

impl AvoidList {
    /// Adds `server`, in place of the oldest when full.
    pub fn push(&mut self, server: id::ServerKey) {
        if !self.contains(server) {
            self.servers[usize::from(self.next)] = server;
            self.next = (self.next + 1) % AVOID_DEPTH as u8;
        }
    }

    /// Whether `server` is to be avoided.
    #[must_use]
    pub fn contains(&self, server: id::ServerKey) -> bool {
        !slotmap::Key::is_null(&server) && self.servers.contains(&server)
    }
}

/// One generation that wants a place on a model engine.
#[derive(Clone, Copy, Debug)]
pub struct GenerationRequest {
    /// Who asks.
    pub organisation: id::OrganisationKey,
    /// How long it may wait.
    pub class: class::TrafficClass,
    /// The model that it needs.
    pub model: id::ModelKey,
    /// Tokens of its prompt, or an estimate.
    pub prompt_tokens: u32,
    /// Most tokens that it may produce.
    pub max_tokens: u32,
    /// Prefixes of its prompt.
    pub prefix: PrefixChain,
    /// Servers that earlier tries went to.
    pub avoid: AvoidList,
    /// Refused when it has not been dispatched by then; deferrable work has none.
    pub deadline: Option<time::Instant>,
    /// Whether its answer is held here until whole, so that it may be restarted after its first
    /// token too.
    pub buffered: bool,
    /// Whether it is a further try: it goes ahead of its organisation's first tries and is not
    /// charged to a limit again.
    pub retry: bool,
}

impl GenerationRequest {
    /// A first try with no prefix, nothing to avoid and no deadline.
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

/// How a generation or a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection was refused or broke.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The engine refused it: it was full or leaving.
    Rejected,
    /// The engine ended it with an error of its own.
    Errored,
}

impl FailureKind {
    /// What it says against the server: 1 keeps new work away for some seconds.
    #[must_use]
    pub const fn weight(self) -> f32 {
        match self {
            Self::Broken | Self::Silent => 1.0,
            Self::Rejected => 0.3,
            Self::Errored => 0.2,
        }
    }
}
