//! Short-lived digests: sent straight to the few that use them, never passed on, aged.

use std::{collections, time};

use base::{id, rendezvous};
use prost::Message as _;
use wire::proto::gossip as proto;

/// Digests older than this are neither sent nor taken.
pub const MAX_AGE: time::Duration = time::Duration::from_secs(10);

/// Digests that are remembered at the most.
const MAX_DIGESTS: usize = 16 * 1024;

/// A digest that did not change is left out this many times before it is sent all the same.
const MAX_SKIPS: u32 = 2;

/// The hash under which the name of a subject travels; equal in every process.
#[must_use]
pub fn subject_hash(name: &str) -> u64 {
    rendezvous::score("digest", name)
}

/// What a digest is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DigestKind {
    /// Load of a model engine.
    EngineLoad,
    /// Recent demand of an organisation on one VM.
    OrganisationDemand,
    /// Work of one VM, which others share the engines with.
    EntryWork,
}

impl DigestKind {
    /// Its number on the wire.
    #[must_use]
    pub const fn number(self) -> u32 {
        match self {
            Self::EngineLoad => 1,
            Self::OrganisationDemand => 2,
            Self::EntryWork => 3,
        }
    }

    /// The kind with that number.
    #[must_use]
    pub const fn from_number(number: u32) -> Option<Self> {
        Some(match number {
            1 => Self::EngineLoad,
            2 => Self::OrganisationDemand,
            3 => Self::EntryWork,
            _ => return None,
        })
    }
}

/// Load of a model engine, as its watcher read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// First 32 bits of the hash of the engine's incarnation, from [`incarnation_hash`].
    pub incarnation_hash: u32,
    /// KV blocks free.
    pub free_blocks: u32,
    /// Generations running.
    pub running: u32,
    /// Generations waiting in the engine.
    pub waiting: u32,
    /// Preemptions since the digest before.
    pub preemptions: u32,
}

/// Recent demand of an organisation on one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrganisationDemand {
    /// Requests in the last ten seconds.
    pub requests: u32,
    /// Generated tokens in the last ten seconds.
    pub tokens: u32,
    /// Generations running.
    pub running: u32,
}

/// Work of one VM, which others share the engines with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryWork {
    /// Sum of the weights of organisations with work there.
    pub weight: f32,
    /// By model, at most [`MOST_MODELS`].
    pub models: Vec<ModelWork>,
}

/// Work of one VM for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelWork {
    /// Which model, by [`subject_hash`] of its name.
    pub model_hash: u64,
    /// Engine memory that urgent and normal work asks for, in tokens.
    pub firm: f32,
    /// The same for deferrable work.
    pub deferrable: f32,
    /// The part of both that waits.
    pub waiting: f32,
    /// Urgent generations at once.
    pub urgent: f32,
}

/// Models in one digest of work; the body must fit a datagram.
pub const MOST_MODELS: usize = 16;

impl EntryWork {
    pub(crate) fn to_body(&self) -> Vec<u8> {
        let models = self.models.iter().take(MOST_MODELS);
        proto::EntryWorkBody {
            weight: self.weight,
            models: models
                .map(|work| proto::ModelWorkBody {
                    model_hash: work.model_hash,
                    firm: work.firm,
                    deferrable: work.deferrable,
                    waiting: work.waiting,
                    urgent: work.urgent,
                })
                .collect(),
        }
        .encode_to_vec()
    }

    /// Nothing for numbers that would make every sum of shares meaningless.
    pub(crate) fn from_body(body: &[u8]) -> Option<Self> {
        let body = proto::EntryWorkBody::decode(body).ok()?;
        let is_usable = |value: f32| value.is_finite() && value >= 0.0;
        let models: Vec<ModelWork> = body
            .models
            .iter()
            .take(MOST_MODELS)
            .map(|work| ModelWork {
                model_hash: work.model_hash,
                firm: work.firm,
                deferrable: work.deferrable,
                waiting: work.waiting,
                urgent: work.urgent,
            })
            .collect();
        let sums = models
            .iter()
            .flat_map(|work| [work.firm, work.deferrable, work.waiting, work.urgent]);
        let all_usable = sums.chain([body.weight]).all(is_usable);
        all_usable.then_some(Self {
            weight: body.weight,
            models,
        })
    }
}

/// The 32 bits by which a digest names an engine's life.
#[must_use]
pub fn incarnation_hash(incarnation: &str) -> u32 {
    (rendezvous::score("incarnation", incarnation) >> 32) as u32
}

impl EngineLoad {
    pub(crate) fn to_body(self) -> Vec<u8> {
        proto::EngineLoadBody {
            incarnation_hash: self.incarnation_hash,
            free_blocks: self.free_blocks,
            running: self.running,
            waiting: self.waiting,
            preemptions: self.preemptions,
        }
        .encode_to_vec()
    }

    pub(crate) fn from_body(body: &[u8]) -> Option<Self> {
        let body = proto::EngineLoadBody::decode(body).ok()?;
        Some(Self {
            incarnation_hash: body.incarnation_hash,
            free_blocks: body.free_blocks,
            running: body.running,
            waiting: body.waiting,
            preemptions: body.preemptions,
        })
    }
}

impl OrganisationDemand {
    pub(crate) fn to_body(self) -> Vec<u8> {
        proto::OrganisationDemandBody {
            requests: self.requests,
            tokens: self.tokens,
            running: self.running,
        }
        .encode_to_vec()
    }

    pub(crate) fn from_body(body: &[u8]) -> Option<Self> {
        let body = proto::OrganisationDemandBody::decode(body).ok()?;
        Some(Self {
            requests: body.requests,
            tokens: body.tokens,
            running: body.running,
        })
    }
}

/// What an outgoing digest is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DigestKey {
    /// The kind.
    pub kind: DigestKind,
    /// Hash of the subject's name.
    pub subject: u64,
}

#[derive(Clone, Debug)]
struct OutgoingDigest {
    body: Vec<u8>,
    taken_at: time::Duration,
    /// How often it was left out since it was last sent, because it had not changed.
    skips: u32,
}

/// Digests on their way out, under a bound on bytes a second.
///
/// Receivers take turns. When there is more to send than the bound allows, each still gets its
/// turn, later, and then gets the newest: the digests grow older, the cost does not grow.
#[derive(Clone, Debug)]
pub struct DigestOutbox {
    latest: collections::BTreeMap<DigestKey, OutgoingDigest>,
    /// Receivers in order of their turns; exactly the keys of `pending`.
    turns: collections::VecDeque<id::VmKey>,
    pending: collections::BTreeMap<id::VmKey, collections::BTreeSet<DigestKey>>,
    bytes_per_second: f64,
    /// Bytes that may be sent now; at most one second's worth; negative after a long datagram.
    credit: f64,
    credited_at: time::Duration,
}

impl DigestOutbox {
    /// An empty outbox with that bound.
    #[must_use]
    pub fn new(bytes_per_second: u32, now: time::Duration) -> Self {
        let bytes_per_second = f64::from(bytes_per_second);
        Self {
            latest: collections::BTreeMap::new(),
            turns: collections::VecDeque::new(),
            pending: collections::BTreeMap::new(),
            bytes_per_second,
            credit: bytes_per_second,
            credited_at: now,
        }
    }

    /// Has `receivers` get this digest, unless it says what the last one said.
    pub fn add(
        &mut self,
        key: DigestKey,
        body: Vec<u8>,
        taken_at: time::Duration,
        receivers: &[id::VmKey],
    ) {
        let mut skips = 0;
        if let Some(known) = self.latest.get(&key) {
            let repeated = known.body == body && known.skips < MAX_SKIPS;
            skips = if repeated { known.skips + 1 } else { 0 };
        }
        self.latest.insert(
            key,
            OutgoingDigest {
                body,
                taken_at,
                skips,
            },
        );
        if skips > 0 {
            return;
        }
        for receiver in receivers {
            let keys = self.pending.entry(*receiver).or_default();
            if keys.is_empty() {
                self.turns.push_back(*receiver);
            }
            keys.insert(key);
        }
    }

    /// The next receiver and its digests, if the bound allows one more datagram.
    pub fn next(&mut self, now: time::Duration) -> Option<(id::VmKey, Vec<proto::Digest>)> {
        let passed = now.saturating_sub(self.credited_at).as_secs_f64();
        self.credited_at = now;
        self.credit = passed
            .mul_add(self.bytes_per_second, self.credit)
            .min(self.bytes_per_second);
        if self.credit < 0.0 {
            return None;
        }
        let receiver = self.turns.pop_front()?;
        let keys = self.pending.remove(&receiver).unwrap_or_default();
        let digests = keys
            .iter()
            .filter_map(|key| self.to_wire(*key, now))
            .collect();
        Some((receiver, digests))
    }

    /// Takes the cost of a datagram out of the bound.
    pub fn charge(&mut self, bytes: usize) {
        self.credit -= bytes as f64;
    }

    fn to_wire(&self, key: DigestKey, now: time::Duration) -> Option<proto::Digest> {
        let digest = self.latest.get(&key)?;
        let age = now.saturating_sub(digest.taken_at);
        (age <= MAX_AGE).then(|| proto::Digest {
            kind: key.kind.number(),
            subject: key.subject,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            body: digest.body.clone(),
        })
    }

    /// Forgets digests that are too old to be sent.
    pub fn forget_old(&mut self, now: time::Duration) {
        self.latest
            .retain(|_, digest| now.saturating_sub(digest.taken_at) <= MAX_AGE);
    }
}

/// When the newest digest of each subject was taken.
#[derive(Clone, Debug, Default)]
pub struct DigestTable {
    /// By subject and, where each VM has its own, by the sender's life; else by life 0.
    taken: collections::BTreeMap<(DigestKey, id::Incarnation), time::Duration>,
}

impl DigestTable {
    /// Takes a digest that says how things were at `taken_at`; `false` when a newer one is known.
    pub fn take(
        &mut self,
        key: DigestKey,
        sender: id::Incarnation,
        taken_at: time::Duration,
    ) -> bool {
        let owner = match key.kind {
            DigestKind::EngineLoad => id::Incarnation(0),
            DigestKind::OrganisationDemand | DigestKind::EntryWork => sender,
        };
        let full = self.taken.len() >= MAX_DIGESTS;
        match self.taken.entry((key, owner)) {
            collections::btree_map::Entry::Vacant(_) if full => false,
            collections::btree_map::Entry::Vacant(entry) => {
                entry.insert(taken_at);
                true
            }
            collections::btree_map::Entry::Occupied(mut entry) => {
                let newer = taken_at > *entry.get();
                if newer {
                    entry.insert(taken_at);
                }
                newer
            }
        }
    }

    /// When the newest load of that engine was taken.
    #[must_use]
    pub fn load_taken_at(&self, subject: u64) -> Option<time::Duration> {
        let kind = DigestKind::EngineLoad;
        self.taken
            .get(&(DigestKey { kind, subject }, id::Incarnation(0)))
            .copied()
    }

    /// Forgets digests that were taken too long ago to matter.
    pub fn forget_old(&mut self, now: time::Duration) {
        self.taken
            .retain(|_, taken_at| now.saturating_sub(*taken_at) <= MAX_AGE * 2);
    }
}
