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

/// Prefixes kept of one prompt.
pub const PREFIX_DEPTH: usize = 4;

/// Prefixes of one prompt at which an engine may hold its cache, at most [`PREFIX_DEPTH`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixChain {
    /// In ascending order of tokens; only the first `len` count.
    hashes: [PrefixHash; PREFIX_DEPTH],
    /// Never more than [`PREFIX_DEPTH`].
    len: u8,
}

impl PrefixChain {
    /// A chain of the longest [`PREFIX_DEPTH`] of `prefixes`, in whatever order they come.
    #[must_use]
    pub fn of(prefixes: &[PrefixHash]) -> Self {
        let mut chain = Self::default();
        for prefix in prefixes {
            chain.insert(*prefix);
        }
        chain
    }

    /// The prefixes, in ascending order of tokens.
    #[must_use]
    pub fn hashes(&self) -> &[PrefixHash] {
        &self.hashes[..usize::from(self.len)]
    }

    fn insert(&mut self, prefix: PrefixHash) {
        let len = usize::from(self.len);
        let place = self
            .hashes()
            .partition_point(|held| held.tokens < prefix.tokens);
        if len < PREFIX_DEPTH {
            self.hashes.copy_within(place..len, place + 1);
            self.hashes[place] = prefix;
            self.len += 1;
        } else if place > 0 {
            self.hashes.copy_within(1..place, 0);
            self.hashes[place - 1] = prefix;
        }
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
pub struct Ask {
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

impl Ask {
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
