//! Versioned items that spread with membership; of one kind and subject the highest version wins.

use std::{collections, time};

use wire::proto::gossip as proto;

/// Longest subject of an item.
pub const MAX_SUBJECT_BYTES: usize = 160;

/// Longest body of an item.
pub const MAX_BODY_BYTES: usize = 256;

/// Items that are about to expire do not travel: with delays in between, two VMs could otherwise
/// keep one alive for ever by handing it to and fro.
const LAST_TRAVEL: time::Duration = time::Duration::from_secs(5);

/// What an item is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKind {
    /// The configuration in force on one VM.
    Configuration,
    /// A VM or a backend server is leaving, by incarnation.
    Leaving,
    /// Content that crashes backend servers.
    Quarantine,
    /// Another region was heard from; spreads within the region only, and is not compared.
    Link,
}

impl ItemKind {
    /// Its number on the wire.
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

    /// Items of this kind that are kept at the most.
    const fn capacity(self) -> usize {
        match self {
            Self::Configuration | Self::Quarantine => 4096,
            Self::Leaving => 16 * 1024,
            Self::Link => 64,
        }
    }

    /// Whether it must be everywhere within a second.
    #[must_use]
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Leaving | Self::Quarantine)
    }
}

/// What an item is about: its kind and its subject.
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
    /// What it is about.
    pub key: ItemKey,
    /// Raised by whoever changes it.
    pub version: u64,
    /// Its body, at most [`MAX_BODY_BYTES`]; between equal versions the greater body wins.
    pub body: Vec<u8>,
    /// When it is forgotten, by this VM's clock.
    pub expires_at: Option<time::Duration>,
    /// When this VM learnt it.
    pub taken_at: time::Duration,
}

impl Item {
    /// Reads an item that arrived at `now`; `None` when any part of it makes no sense.
    #[must_use]
    pub fn from_wire(item: proto::Item, now: time::Duration) -> Option<Self> {
        let kind = ItemKind::from_number(item.kind)?;
        let fits = (1..=MAX_SUBJECT_BYTES).contains(&item.subject.len())
            && item.body.len() <= MAX_BODY_BYTES;
        let lasts = time::Duration::from_millis(item.expires_in_ms.into());
        fits.then_some(Self {
            key: ItemKey {
                kind,
                subject: item.subject,
            },
            version: item.version,
            body: item.body,
            expires_at: (!lasts.is_zero()).then_some(now + lasts),
            taken_at: now,
        })
    }

    /// The item as it travels at `now`; `None` when it is about to expire.
    #[must_use]
    pub fn to_wire(&self, now: time::Duration) -> Option<proto::Item> {
        if !self.travels(now) {
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

    /// Whether it still travels.
    #[must_use]
    pub fn travels(&self, now: time::Duration) -> bool {
        self.expires_at
            .is_none_or(|expires_at| expires_at > now + LAST_TRAVEL)
    }

    /// Whether its time is over.
    #[must_use]
    pub fn is_expired(&self, now: time::Duration) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at <= now)
    }

    /// Whether it beats `other`, which is about the same.
    fn beats(&self, other: &Self) -> bool {
        (self.version, &self.body) > (other.version, &other.body)
    }
}

/// All items that are known.
#[derive(Clone, Debug, Default)]
pub struct ItemStore {
    items: collections::BTreeMap<ItemKey, Item>,
    /// Exactly how many of each kind there are in `items`.
    counts: collections::BTreeMap<ItemKind, usize>,
}

impl ItemStore {
    /// Takes `item` when it beats what is known and there is room; tells whether it was taken.
    pub fn merge(&mut self, item: Item) -> bool {
        if let Some(known) = self.items.get_mut(&item.key) {
            let newer = item.beats(known);
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

    /// All items in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Keeps only what `is_kept` says of.
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
