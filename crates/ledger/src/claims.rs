//! Idempotency claims: which one call with a given key may run.
//!
//! [`ClaimFold`] is a pure function of one stream's records. The first claim of a key in the
//! log's order holds the key, and nobody takes it over: a claim that never gets an outcome leaves
//! its key unknown until the key is too old to be used at all.

use std::{cmp, collections};

use base::{fingerprint, id};
use snafu::Snafu;

use crate::{driver, record};

/// Time limits of claims. All processes use the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimLimits {
    /// A key whose own time is further back than this at the claim's record is refused.
    pub window_ms: u64,
    /// Most by which a caller's clock is ahead of the log's, and most by which the log's clock
    /// goes back.
    pub margin_ms: u64,
    /// Records younger than this are on the log, as its operators promise.
    pub retention_ms: u64,
    /// The holder of a claim sends its call within this time, or not at all.
    pub hold_ms: u64,
    /// Once sent, a call has its outcome within this time, or none.
    pub run_ms: u64,
    /// Most by which the log's clock runs ahead of a holder's over the life of one claim.
    pub drift_ms: u64,
    /// Bytes of an answer's body that are kept for a repeated call.
    pub max_kept_bytes: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            window_ms: 600_000,
            margin_ms: 60_000,
            retention_ms: 3_600_000,
            hold_ms: 5_000,
            run_ms: 10_000,
            drift_ms: 2_000,
            max_kept_bytes: 16 * 1024,
        }
    }
}

/// Time limits that contradict one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum LimitsError {
    /// A claim could be dropped from the log while its key is still accepted.
    #[snafu(display(
        "the log keeps records for {retention_ms} ms, but idempotency keys need {needed_ms} ms: \
         shorten idempotency_window_ms or have the log keep records longer"
    ))]
    RetentionShort {
        /// Time for which the log keeps records.
        retention_ms: u64,
        /// Time for which claims must stay readable.
        needed_ms: u64,
    },
}

impl ClaimLimits {
    /// Time for which a claim must stay readable.
    ///
    /// Two claims of one key are both accepted only when each key's own time lies within
    /// `[at - window, at + margin]` of its record, so they are at most `window + margin` apart.
    /// Another margin covers the log's clock, and the later one's holder may still act `hold`
    /// after its record.
    #[must_use]
    pub const fn needed_retention_ms(&self) -> u64 {
        self.window_ms + 2 * self.margin_ms + self.hold_ms
    }

    /// Checks that no claim is forgotten while it matters.
    ///
    /// # Errors
    /// When the log keeps records for too short a time.
    pub const fn check(&self) -> Result<(), LimitsError> {
        let needed_ms = self.needed_retention_ms();
        if self.retention_ms < needed_ms {
            let retention_ms = self.retention_ms;
            return Err(LimitsError::RetentionShort {
                retention_ms,
                needed_ms,
            });
        }
        Ok(())
    }

    /// Whether a key of `key_ms` may be claimed by a record of `at_ms`.
    ///
    /// Without the lower bound a key would run again once retention has dropped its first claim;
    /// without the upper one a key from the future would outlive that claim.
    #[must_use]
    pub const fn admits(&self, key_ms: u64, at_ms: u64) -> bool {
        at_ms <= key_ms.saturating_add(self.window_ms)
            && key_ms <= at_ms.saturating_add(self.margin_ms)
    }
}

/// The time that an idempotency key carries: `<unix milliseconds>-<any text>`.
#[must_use]
pub fn key_time_ms(key: &str) -> Option<u64> {
    let (digits, text) = key.split_once('-')?;
    if text.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

/// The answer to a call, as it is kept for a repeated call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StoredOutcome {
    /// HTTP status of the answer.
    pub status: u16,
    /// Value of its `Content-Type` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// Its body; absent when it was larger than what is kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<StoredBody>,
}

/// The body of a kept answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StoredBody(#[serde(with = "record::base64_bytes")] pub bytes::Bytes);

/// How the holder's try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SettledOutcome {
    /// It ran and this was the answer.
    Ran(StoredOutcome),
    /// It is proved that it did not run, and the holder will never send it: the key is free.
    NotRun,
}

/// What a record on a `calls-` stream says.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimEntry {
    /// A claim of a key. The entry's id is the claim's id.
    Claim(ClaimItem),
    /// The end of a claim.
    Settle(SettleItem),
    /// An entry of a later version.
    #[serde(other)]
    Other,
}

/// A claim of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimItem {
    /// The organisation that the key belongs to.
    pub organisation: String,
    /// The idempotency key as the caller sent it.
    pub key: String,
    /// Hash of the call's content: a key that returns with another content is another call.
    pub content: fingerprint::ContentHash,
    /// Name of the entry VM that would send the call.
    pub holder: String,
    /// The holder sends within this time, counted from before its append.
    pub hold_ms: u64,
    /// Once sent, the call has its outcome within this time.
    pub run_ms: u64,
}

/// The end of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SettleItem {
    /// The claim that ends.
    pub claim: id::RecordId,
    /// The organisation that the key belongs to.
    pub organisation: String,
    /// The key that was claimed.
    pub key: String,
    /// How it ended.
    pub outcome: SettledOutcome,
}

/// What the fold decides about an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim holds its key.
    Held,
    /// Another claim holds the key.
    Taken(KeyView),
    /// The key's own time is outside the window at the claim's record.
    OutsideWindow,
    /// The key was used for a call with another content.
    OtherContent,
    /// The claim was withdrawn before, or its key has had too many claims; it holds nothing.
    Withdrawn,
    /// An end of a claim was recorded, now or earlier.
    Settled,
}

/// A key as a caller that repeats it sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyView {
    /// The call ran; this was its answer.
    Stored(StoredOutcome),
    /// The call is under way, or, after `until_ms` on the log's clock, its outcome is unknown.
    Open {
        /// On the log's clock.
        until_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KeyHash(fingerprint::ContentHash);

impl KeyHash {
    fn of(organisation: &str, key: &str) -> Self {
        let parts = [organisation.as_bytes(), key.as_bytes()];
        Self(fingerprint::ContentHash::of_parts(&parts))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyPhase {
    /// No claim holds the key.
    Free,
    /// A claim holds the key and has not ended.
    Held { claim: id::RecordId, until_ms: u64 },
    /// The call ran.
    Ran(StoredOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KeyState {
    phase: KeyPhase,
    /// Content of the call that holds the key, or held it last.
    content: Option<fingerprint::ContentHash>,
    /// Ids of claims that have had their verdict, or whose holders have said that they will never
    /// send: a repetition of one, or its late first arrival, changes nothing.
    spent: Vec<id::RecordId>,
}

/// The claims of one partition as its records tell them.
#[derive(Clone, Debug)]
pub struct ClaimFold {
    limits: ClaimLimits,
    keys: collections::HashMap<KeyHash, KeyState>,
    /// Times on the log's clock after which no claim of a key is accepted any more.
    expiries: collections::BinaryHeap<cmp::Reverse<(u64, [u8; 32])>>,
    kept_bytes: usize,
}

/// Ids that are remembered for one key at the most; a key with more refuses further claims.
const MAX_SPENT: usize = 256;

impl ClaimFold {
    /// A fold without any record.
    #[must_use]
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            keys: collections::HashMap::new(),
            expiries: collections::BinaryHeap::new(),
            kept_bytes: 0,
        }
    }

    /// The limits that it decides by.
    #[must_use]
    pub const fn limits(&self) -> &ClaimLimits {
        &self.limits
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Bytes of the answers that are kept.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// What is known of a key; `None` when no claim holds it as far as the fold has read.
    ///
    /// The fold may lag behind the log, so `None` permits nothing, while a key that is held or has
    /// run stays so unless its holder proves that nothing ran.
    #[must_use]
    pub fn find(
        &self,
        organisation: &str,
        key: &str,
        content: fingerprint::ContentHash,
    ) -> Option<ClaimVerdict> {
        let state = self.keys.get(&KeyHash::of(organisation, key))?;
        state.taken(content)
    }

    /// What is known of a claim that was met before, by its key; `None` when it was not met.
    #[must_use]
    pub fn find_claim(&self, claim: id::RecordId, item: &ClaimItem) -> Option<ClaimVerdict> {
        let state = self.keys.get(&KeyHash::of(&item.organisation, &item.key))?;
        state.repeated(claim, item.content)
    }

    fn claim(&mut self, at_ms: u64, claim: id::RecordId, item: &ClaimItem) -> ClaimVerdict {
        let Some(key_ms) = key_time_ms(&item.key) else {
            return ClaimVerdict::OutsideWindow;
        };
        if !self.limits.admits(key_ms, at_ms) {
            return ClaimVerdict::OutsideWindow;
        }
        let until_ms = at_ms + item.hold_ms + item.run_ms;
        let state = self.key_state(KeyHash::of(&item.organisation, &item.key), key_ms);
        if let Some(verdict) = state.repeated(claim, item.content) {
            return verdict;
        }
        if state.spent.len() >= MAX_SPENT {
            return ClaimVerdict::Withdrawn;
        }
        state.spent.push(claim);
        if let Some(verdict) = state.taken(item.content) {
            return verdict;
        }
        state.phase = KeyPhase::Held { claim, until_ms };
        state.content = Some(item.content);
        ClaimVerdict::Held
    }

    /// The first end of a claim counts. An end of a claim that was not met, which the log took out
    /// of order, makes sure that the claim does not hold the key when it arrives after all.
    fn settle(&mut self, at_ms: u64, item: SettleItem) -> ClaimVerdict {
        let Some(key_ms) = key_time_ms(&item.key) else {
            return ClaimVerdict::OutsideWindow;
        };
        if self.is_forgotten(key_ms, at_ms) {
            return ClaimVerdict::OutsideWindow;
        }
        let max_kept = self.limits.max_kept_bytes;
        let state = self.key_state(KeyHash::of(&item.organisation, &item.key), key_ms);
        let until_ms = match state.phase {
            KeyPhase::Held { claim, until_ms } if claim == item.claim => Some(until_ms),
            _ => None,
        };
        let Some(until_ms) = until_ms else {
            if !state.spent.contains(&item.claim) && state.spent.len() < MAX_SPENT {
                state.spent.push(item.claim);
            }
            return ClaimVerdict::Settled;
        };
        match item.outcome {
            SettledOutcome::Ran(outcome) => {
                state.phase = KeyPhase::Ran(bounded(outcome, max_kept));
            }
            SettledOutcome::NotRun if at_ms <= until_ms => state.phase = KeyPhase::Free,
            // Callers may have been told that the outcome is unknown, and have acted on it.
            SettledOutcome::NotRun => {}
        }
        let kept = state.kept_bytes();
        self.kept_bytes += kept;
        ClaimVerdict::Settled
    }

    fn key_state(&mut self, hash: KeyHash, key_ms: u64) -> &mut KeyState {
        let limits = &self.limits;
        let expiries = &mut self.expiries;
        self.keys.entry(hash).or_insert_with(|| {
            let expiry_ms = key_ms + limits.window_ms + limits.margin_ms;
            expiries.push(cmp::Reverse((expiry_ms, hash.0.0)));
            KeyState {
                phase: KeyPhase::Free,
                content: None,
                spent: Vec::new(),
            }
        })
    }

    const fn is_forgotten(&self, key_ms: u64, at_ms: u64) -> bool {
        key_ms
            .saturating_add(self.limits.window_ms)
            .saturating_add(self.limits.margin_ms)
            < at_ms
    }

    /// Forgets keys whose every further claim is outside the window, even when the log's clock
    /// goes back by the margin.
    fn forget(&mut self, at_ms: u64) {
        while let Some(cmp::Reverse((expiry_ms, hash))) = self.expiries.peek().copied() {
            if expiry_ms >= at_ms {
                return;
            }
            self.expiries.pop();
            let hash = KeyHash(fingerprint::ContentHash(hash));
            if let Some(state) = self.keys.remove(&hash) {
                self.kept_bytes -= state.kept_bytes();
            }
        }
    }
}

impl KeyState {
    /// A claim that was met before holds its key only as long as nothing has ended it; it never
    /// takes a key that has become free since.
    fn repeated(
        &self,
        claim: id::RecordId,
        content: fingerprint::ContentHash,
    ) -> Option<ClaimVerdict> {
        if !self.spent.contains(&claim) {
            return None;
        }
        if matches!(self.phase, KeyPhase::Held { claim: holder, .. } if holder == claim) {
            return Some(ClaimVerdict::Held);
        }
        Some(self.taken(content).unwrap_or(ClaimVerdict::Withdrawn))
    }

    fn taken(&self, content: fingerprint::ContentHash) -> Option<ClaimVerdict> {
        if self.phase != KeyPhase::Free && self.content != Some(content) {
            return Some(ClaimVerdict::OtherContent);
        }
        match &self.phase {
            KeyPhase::Free => None,
            KeyPhase::Held { until_ms, .. } => Some(ClaimVerdict::Taken(KeyView::Open {
                until_ms: *until_ms,
            })),
            KeyPhase::Ran(outcome) => Some(ClaimVerdict::Taken(KeyView::Stored(outcome.clone()))),
        }
    }

    fn kept_bytes(&self) -> usize {
        match &self.phase {
            KeyPhase::Ran(outcome) => outcome.body.as_ref().map_or(0, |body| body.0.len()),
            _ => 0,
        }
    }
}

impl driver::LogFold for ClaimFold {
    type Entry = ClaimEntry;
    type Verdict = ClaimVerdict;

    fn apply(
        &mut self,
        place: record::RecordPlace,
        batch: record::BatchRecord<ClaimEntry>,
    ) -> Vec<driver::EntryVerdict<ClaimVerdict>> {
        self.forget(place.at_ms);
        let mut verdicts = Vec::with_capacity(batch.entries.len());
        for entry in batch.entries {
            let verdict = match entry.item {
                ClaimEntry::Claim(item) => Some(self.claim(place.at_ms, entry.id, &item)),
                ClaimEntry::Settle(item) => Some(self.settle(place.at_ms, item)),
                ClaimEntry::Other => None,
            };
            if let Some(verdict) = verdict {
                let id = entry.id;
                verdicts.push(driver::EntryVerdict { id, verdict });
            }
        }
        verdicts
    }

    /// What was dropped unread is older than the retention, and so matters to no claim whose
    /// holder may still act; see [`ClaimLimits::needed_retention_ms`].
    fn restart(&mut self, _first: u64) {
        *self = Self::new(self.limits.clone());
    }

    /// What is older matters as little as what retention has dropped.
    fn lookback_ms(&self) -> Option<u64> {
        Some(self.limits.needed_retention_ms() + self.limits.margin_ms)
    }
}

/// The outcome without a body that is larger than what is kept.
#[must_use]
pub fn bounded(mut outcome: StoredOutcome, max_kept_bytes: usize) -> StoredOutcome {
    if outcome
        .body
        .as_ref()
        .is_some_and(|body| body.0.len() > max_kept_bytes)
    {
        outcome.body = None;
    }
    outcome
}
