//! Short-lived digests: sent directly to their few users, never forwarded, and discarded with age.

use std::{collections, time};

use base::{id, rendezvous};
use prost::Message as _;
use wire::proto::gossip as proto;

/// Digests older than this are neither sent nor accepted.
pub const MAX_AGE: time::Duration = time::Duration::from_secs(10);

/// Maximum number of digests that are remembered.
const MAX_DIGESTS: usize = 16 * 1024;

/// An unchanged digest is skipped this many times before it is sent again.
const MAX_SKIPS: u32 = 2;

/// Hash that stands for a subject's name on the wire; equal in every process.
#[must_use]
pub fn subject_hash(name: &str) -> u64 {
    rendezvous::score("digest", name)
}

/// Kind of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DigestKind {
    /// Load of a model engine.
    EngineLoad,
    /// Recent demand of an organisation on one VM.
    OrganisationDemand,
    /// Work of one VM, for the VMs that share the engines with it.
    EntryWork,
}

impl DigestKind {
    /// Number of the kind on the wire.
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

/// Load of a model engine, as read by its watcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// First 32 bits of the hash of the engine's incarnation, from [`incarnation_hash`].
    pub incarnation_hash: u32,
    /// Free KV blocks.
    pub free_blocks: u32,
    /// Running generations.
    pub running: u32,
    /// Generations waiting in the engine.
    pub waiting: u32,
    /// Preemptions since the previous digest.
    pub preemptions: u32,
}

/// Recent demand of an organisation on one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrganisationDemand {
    /// Requests in the last ten seconds.
    pub requests: u32,
    /// Generated tokens in the last ten seconds.
    pub tokens: u32,
    /// Running generations.
    pub running: u32,
}

/// Work of one VM, for the VMs that share the engines with it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryWork {
    /// Sum of the weights of organisations with work there.
    pub weight: f32,
    /// By model, at most [`MAX_MODELS`].
    pub models: Vec<ModelWork>,
}

/// Work of one VM for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelWork {
    /// The model, by [`subject_hash`] of its name.
    pub model_hash: u64,
    /// Engine memory requested by urgent and normal work, in tokens.
    pub firm: f32,
    /// Engine memory requested by deferrable work, in tokens.
    pub deferrable: f32,
    /// The waiting part of both, in tokens.
    pub waiting: f32,
    /// Concurrent urgent generations.
    pub urgent: f32,
}

/// Maximum number of models in one work digest; the body must fit a datagram.
pub const MAX_MODELS: usize = 16;

impl EntryWork {
    pub(crate) fn to_body(&self) -> Vec<u8> {
        let models = self.models.iter().take(MAX_MODELS);
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

    /// Decodes a body; `None` if a number is negative or not finite, since it would corrupt every
    /// sum of shares.
    pub(crate) fn from_body(body: &[u8]) -> Option<Self> {
        let body = proto::EntryWorkBody::decode(body).ok()?;
        let is_usable = |value: f32| value.is_finite() && value >= 0.0;
        let models: Vec<ModelWork> = body
            .models
            .iter()
            .take(MAX_MODELS)
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

/// The 32 bits that identify an engine's incarnation in a digest.
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

/// Kind and subject of a digest.
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
    measured_at: time::Duration,
    /// How often the digest was skipped since it was last sent, because it had not changed.
    skips: u32,
}

/// Outgoing digests, under a limit on bytes per second.
///
/// Receivers are served round robin. When there is more to send than the limit allows, each is
/// served later and then gets the newest digests: their age grows, the bandwidth does not.
#[derive(Clone, Debug)]
pub struct DigestOutbox {
    latest: collections::BTreeMap<DigestKey, OutgoingDigest>,
    /// Receivers in round-robin order; exactly the keys of `pending`.
    turns: collections::VecDeque<id::VmKey>,
    pending: collections::BTreeMap<id::VmKey, collections::BTreeSet<DigestKey>>,
    bytes_per_second: f64,
    /// Bytes that may be sent now: at most one second's worth, negative after a long datagram.
    credit: f64,
    credited_at: time::Duration,
}

impl DigestOutbox {
    /// Creates an empty outbox with that limit.
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

    /// Queues the digest for `receivers`, unless it equals the previous one and may be skipped.
    pub fn add(
        &mut self,
        key: DigestKey,
        body: Vec<u8>,
        measured_at: time::Duration,
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
                measured_at,
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

    /// The next receiver and its digests, if the limit allows one more datagram.
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

    /// Charges the size of a datagram against the limit.
    pub fn charge(&mut self, bytes: usize) {
        self.credit -= bytes as f64;
    }

    fn to_wire(&self, key: DigestKey, now: time::Duration) -> Option<proto::Digest> {
        let digest = self.latest.get(&key)?;
        let age = now.saturating_sub(digest.measured_at);
        (age <= MAX_AGE).then(|| proto::Digest {
            kind: key.kind.number(),
            subject: key.subject,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            body: digest.body.clone(),
        })
    }

    /// Removes digests that are too old to be sent.
    pub fn remove_old(&mut self, now: time::Duration) {
        self.latest
            .retain(|_, digest| now.saturating_sub(digest.measured_at) <= MAX_AGE);
    }
}

/// Time of measurement of the newest digest of each subject.
#[derive(Clone, Debug, Default)]
pub struct DigestTable {
    /// By subject and, where each VM has its own digest, by the sender's incarnation; otherwise by
    /// incarnation 0.
    measured: collections::BTreeMap<(DigestKey, id::Incarnation), time::Duration>,
}

impl DigestTable {
    /// Records a digest measured at `measured_at`; `false` when an equally new or newer one is
    /// known, or the table is full.
    pub fn record(
        &mut self,
        key: DigestKey,
        sender: id::Incarnation,
        measured_at: time::Duration,
    ) -> bool {
        let owner = match key.kind {
            DigestKind::EngineLoad => id::Incarnation(0),
            DigestKind::OrganisationDemand | DigestKind::EntryWork => sender,
        };
        let full = self.measured.len() >= MAX_DIGESTS;
        match self.measured.entry((key, owner)) {
            collections::btree_map::Entry::Vacant(_) if full => false,
            collections::btree_map::Entry::Vacant(entry) => {
                entry.insert(measured_at);
                true
            }
            collections::btree_map::Entry::Occupied(mut entry) => {
                let newer = measured_at > *entry.get();
                if newer {
                    entry.insert(measured_at);
                }
                newer
            }
        }
    }

    /// When the newest known load of that engine was measured.
    #[must_use]
    pub fn load_measured_at(&self, subject: u64) -> Option<time::Duration> {
        let kind = DigestKind::EngineLoad;
        self.measured
            .get(&(DigestKey { kind, subject }, id::Incarnation(0)))
            .copied()
    }

    /// Removes digests that are too old to matter.
    pub fn remove_old(&mut self, now: time::Duration) {
        self.measured
            .retain(|_, measured_at| now.saturating_sub(*measured_at) <= MAX_AGE * 2);
    }
}
