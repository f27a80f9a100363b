//! What still has to be passed on, and how often.

use base::id;

use crate::item;

/// What an entry of the queue speaks of; the word itself is looked up when it leaves, so that
/// only the newest travels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadKey {
    /// The claim about a member.
    Member(id::VmKey),
    /// What is in force on a member.
    InForce(id::VmKey),
    /// An item.
    Item(item::ItemKey),
}

/// One entry of the queue.
#[derive(Clone, Debug)]
pub struct SpreadEntry {
    /// What it speaks of.
    pub key: SpreadKey,
    /// Whether it may not wait for the next slow round.
    pub urgent: bool,
    /// Datagrams that shall still carry it; never 0 in the queue.
    left: u32,
}

/// What still has to be passed on, freshest first.
#[derive(Clone, Debug, Default)]
pub struct SpreadQueue {
    entries: Vec<SpreadEntry>,
}

impl SpreadQueue {
    /// Has `key` carried by `copies` datagrams from now on, whatever was left of it before.
    pub fn add(&mut self, key: SpreadKey, urgent: bool, copies: u32) {
        self.entries.retain(|entry| entry.key != key);
        if copies > 0 {
            self.entries.push(SpreadEntry {
                key,
                urgent,
                left: copies,
            });
        }
    }

    /// Whether anything waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether anything urgent waits.
    #[must_use]
    pub fn has_urgent(&self) -> bool {
        self.entries.iter().any(|entry| entry.urgent)
    }

    /// Offers the entries one by one, urgent ones first, then those carried least often; an entry
    /// that `take` accepts counts as carried once.
    pub fn offer(&mut self, mut take: impl FnMut(&SpreadKey) -> bool) {
        self.entries
            .sort_by_key(|entry| (!entry.urgent, std::cmp::Reverse(entry.left)));
        for entry in &mut self.entries {
            if take(&entry.key) {
                entry.left -= 1;
            }
        }
        self.entries.retain(|entry| entry.left > 0);
    }
}
