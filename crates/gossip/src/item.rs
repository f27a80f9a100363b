//! Versioned items disseminated with membership; for one kind and subject the highest version wins.

use std::{collections, time};

use wire::proto::gossip as proto;

/// Maximum length of an item's subject.
pub const MAX_SUBJECT_BYTES: usize = 160;

/// Maximum length of an item's body.
pub const MAX_BODY_BYTES: usize = 256;

/// Items with less remaining lifetime than this are not sent: because of network delays, two VMs
/// could otherwise keep an item alive forever by sending it back and forth.
const MIN_SEND_TTL: time::Duration = time::Duration::from_secs(5);

/// Kind of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKind {
    /// The configuration in force on one VM.
    Configuration,
    /// A VM or a backend server is leaving, by incarnation.
    Leaving,
    /// Content that crashes backend servers.
    Quarantine,
    /// Another region was received from; spreads within the region only and is excluded from
    /// anti-entropy.
    Link,
}

impl ItemKind {
    /// Number of the kind on the wire.
    #[must_use]
    pub const fn number(self) -> u32 {
        match self {
            Self::Configuration => 1,
            Self::Leaving => 2,
            Self::Quarantine => 3,
            Self::Link => 4,
        }
    }

    /// The kind with that number.
    #[must_use]
    pub const fn from_number(number: u32) -> Option<Self> {
        Some(match number {
            1 => Self::Configuration,
            2 => Self::Leaving,
            3 => Self::Quarantine,
            4 => Self::Link,
            _ => return None,
        })
    }

    /// Maximum number of items of this kind that are kept.
    const fn capacity(self) -> usize {
        match self {
            Self::Configuration | Self::Quarantine => 4096,
            Self::Leaving => 16 * 1024,
            Self::Link => 64,
        }
    }

    /// Whether items of this kind must reach every VM within a second.
    #[must_use]
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Leaving | Self::Quarantine)
    }
}

/// Key of an item: its kind and its subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemKey {
    /// The kind.
    pub kind: ItemKind,
    /// The subject, 1 to [`MAX_SUBJECT_BYTES`] bytes.
    pub subject: String,
}

/// One item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Kind and subject of the item.
    pub key: ItemKey,
    /// Incremented by the VM that changes the item.
    pub version: u64,
    /// Body of at most [`MAX_BODY_BYTES`]; between equal versions the greater body wins.
    pub body: Vec<u8>,
    /// When the item expires, by this VM's clock.
    pub expires_at: Option<time::Duration>,
    /// When this VM received or created the item.
    pub added_at: time::Duration,
}

impl Item {
    /// Decodes an item received at `now`; `None` when any part of it is invalid.
    #[must_use]
    pub fn from_wire(item: proto::Item, now: time::Duration) -> Option<Self> {
        let kind = ItemKind::from_number(item.kind)?;
        let fits = (1..=MAX_SUBJECT_BYTES).contains(&item.subject.len())
            && item.body.len() <= MAX_BODY_BYTES;
        let ttl = time::Duration::from_millis(item.expires_in_ms.into());
        fits.then_some(Self {
            key: ItemKey {
                kind,
                subject: item.subject,
            },
            version: item.version,
            body: item.body,
            expires_at: (!ttl.is_zero()).then_some(now + ttl),
            added_at: now,
        })
    }

    /// The wire form of the item at `now`; `None` when it is about to expire.
    #[must_use]
    pub fn to_wire(&self, now: time::Duration) -> Option<proto::Item> {
        if !self.is_sendable(now) {
            return None;
        }
        let expires_in_ms = self.expires_at.map_or(0, |expires_at| {
            u32::try_from((expires_at - now).as_millis()).unwrap_or(u32::MAX)
        });
        Some(proto::Item {
            kind: self.key.kind.number(),
            subject: self.key.subject.clone(),
            version: self.version,
            body: self.body.clone(),
            expires_in_ms,
        })
    }

    /// Whether enough lifetime remains for the item to be sent.
    #[must_use]
    pub fn is_sendable(&self, now: time::Duration) -> bool {
        self.expires_at
            .is_none_or(|expires_at| expires_at > now + MIN_SEND_TTL)
    }

    /// Whether the item has expired.
    #[must_use]
    pub fn is_expired(&self, now: time::Duration) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at <= now)
    }

    /// Whether this item takes precedence over `other`, which has the same key.
    fn supersedes(&self, other: &Self) -> bool {
        (self.version, &self.body) > (other.version, &other.body)
    }
}

/// All known items.
#[derive(Clone, Debug, Default)]
pub struct ItemStore {
    items: collections::BTreeMap<ItemKey, Item>,
    /// Number of items of each kind in `items`.
    counts: collections::BTreeMap<ItemKind, usize>,
}

impl ItemStore {
    /// Stores `item` if it supersedes the known one and its kind has capacity left; returns whether
    /// it was stored.
    pub fn merge(&mut self, item: Item) -> bool {
        if let Some(known) = self.items.get_mut(&item.key) {
            let newer = item.supersedes(known);
            if newer {
                *known = item;
            }
            return newer;
        }
        let count = self.counts.entry(item.key.kind).or_default();
        if *count >= item.key.kind.capacity() {
            metrics::counter!("pollenchute_gossip_items_refused_total").increment(1);
            return false;
        }
        *count += 1;
        self.items.insert(item.key.clone(), item);
        true
    }

    /// The item with that key.
    #[must_use]
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    /// All items in key order.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Keeps only the items for which `is_kept` returns true.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&Item) -> bool) {
        let counts = &mut self.counts;
        self.items.retain(|key, item| {
            let kept = is_kept(item);
            if !kept {
                *counts.entry(key.kind).or_default() -= 1;
            }
            kept
        });
    }
}
