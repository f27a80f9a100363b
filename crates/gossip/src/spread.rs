//! Queue of updates to be forwarded, with the number of copies left.

use base::id;

use crate::item;

/// Subject of a queue entry; the content is looked up when it is sent, so that only the newest
/// version is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadKey {
    /// The claim about a member.
    Member(id::VmKey),
    /// The configuration in force on a member.
    InForce(id::VmKey),
    /// An item.
    Item(item::ItemKey),
}

/// One entry of the queue.
#[derive(Clone, Debug)]
pub struct SpreadEntry {
    /// Subject of the entry.
    pub key: SpreadKey,
    /// Whether the entry must not wait for the next slow round.
    pub urgent: bool,
    /// Number of datagrams that are still to carry the entry; never 0 in the queue.
    left: u32,
}

/// Updates to be forwarded, those sent least often first.
#[derive(Clone, Debug, Default)]
pub struct SpreadQueue {
    entries: Vec<SpreadEntry>,
}

impl SpreadQueue {
    /// Queues `key` for `copies` datagrams, replacing any copies left from before.
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

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the queue holds an urgent entry.
    #[must_use]
    pub fn has_urgent(&self) -> bool {
        self.entries.iter().any(|entry| entry.urgent)
    }

    /// Offers the entries one by one, urgent ones first, then those with the most copies left; an
    /// entry that `take` accepts counts as sent once.
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
