//! Determines which call may run for an idempotency key, as a pure function of one stream's
//! records.
//!
//! The first claim of a key in the log's order holds the key and is never taken over. If a claim
//! gets no outcome, the outcome of its key stays unknown until the key is too old to be accepted.

use std::{cmp, collections};

use base::{fingerprint, id};

use crate::{claims, driver, record};

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
    /// A claim holds the key and has not been settled.
    Held { claim: id::RecordId, until_ms: u64 },
    /// The call ran.
    Ran(claims::StoredOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KeyState {
    phase: KeyPhase,
    /// Content of the call that holds the key or last held it.
    content: Option<fingerprint::ContentHash>,
    /// Ids of claims that already have a verdict or were ended by their holders. A repetition, or
    /// the delayed first arrival, of such a claim changes nothing.
    processed_claims: Vec<id::RecordId>,
}

/// The claims of one partition after the records read so far.
#[derive(Clone, Debug)]
pub struct ClaimFold {
    limits: claims::ClaimLimits,
    keys: collections::HashMap<KeyHash, KeyState>,
    /// Times on the log's clock after which no more claims of a key are accepted.
    expiries: collections::BinaryHeap<cmp::Reverse<(u64, [u8; 32])>>,
    kept_bytes: usize,
}

/// Maximum number of claim ids kept for one key; further claims of the key are refused.
const MAX_PROCESSED_CLAIMS: usize = 256;

impl ClaimFold {
    /// Creates a fold that has read no record.
    #[must_use]
    pub fn new(limits: claims::ClaimLimits) -> Self {
        Self {
            limits,
            keys: collections::HashMap::new(),
            expiries: collections::BinaryHeap::new(),
            kept_bytes: 0,
        }
    }

    /// Returns the limits that the fold applies.
    #[must_use]
    pub const fn limits(&self) -> &claims::ClaimLimits {
        &self.limits
    }

    /// Returns the number of keys that the fold holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the fold holds no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the total size of the stored answers, in bytes.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the state of a key, or `None` if no claim in the records read so far holds it.
    ///
    /// The fold may lag behind the log, so `None` does not permit a call. A key that is held or has
    /// run stays so unless its holder proves that nothing ran.
    #[must_use]
    pub fn find(
        &self,
        organisation: &str,
        key: &str,
        content: fingerprint::ContentHash,
    ) -> Option<claims::ClaimVerdict> {
        let state = self.keys.get(&KeyHash::of(organisation, key))?;
        state.verdict_if_taken(content)
    }

    /// Returns the verdict on a claim that was processed before, or `None` if it was not.
    #[must_use]
    pub fn find_claim(
        &self,
        claim: id::RecordId,
        item: &claims::ClaimItem,
    ) -> Option<claims::ClaimVerdict> {
        let state = self.keys.get(&KeyHash::of(&item.organisation, &item.key))?;
        state.verdict_on_repeat(claim, item.content)
    }

    fn claim(
        &mut self,
        at_ms: u64,
        claim: id::RecordId,
        item: &claims::ClaimItem,
    ) -> claims::ClaimVerdict {
        let Some(key_ms) = claims::key_time_ms(&item.key) else {
            return claims::ClaimVerdict::OutsideWindow;
        };
        if !self.limits.admits(key_ms, at_ms) {
            return claims::ClaimVerdict::OutsideWindow;
        }
        let until_ms = at_ms + item.hold_ms + item.run_ms;
        let state = self.key_state(KeyHash::of(&item.organisation, &item.key), key_ms);
        if let Some(verdict) = state.verdict_on_repeat(claim, item.content) {
            return verdict;
        }
        if state.processed_claims.len() >= MAX_PROCESSED_CLAIMS {
            return claims::ClaimVerdict::Withdrawn;
        }
        state.processed_claims.push(claim);
        if let Some(verdict) = state.verdict_if_taken(item.content) {
            return verdict;
        }
        state.phase = KeyPhase::Held { claim, until_ms };
        state.content = Some(item.content);
        claims::ClaimVerdict::Held
    }

    /// Applies the end of a claim; only the first end counts. The log may have received the end
    /// before the claim itself: the fold then records the claim's id, so that the claim does not
    /// take the key when it arrives.
    fn settle(&mut self, at_ms: u64, item: claims::SettleItem) -> claims::ClaimVerdict {
        let Some(key_ms) = claims::key_time_ms(&item.key) else {
            return claims::ClaimVerdict::OutsideWindow;
        };
        if self.is_expired(key_ms, at_ms) {
            return claims::ClaimVerdict::OutsideWindow;
        }
        let max_kept = self.limits.max_kept_bytes;
        let state = self.key_state(KeyHash::of(&item.organisation, &item.key), key_ms);
        let until_ms = match state.phase {
            KeyPhase::Held { claim, until_ms } if claim == item.claim => Some(until_ms),
            _ => None,
        };
        let Some(until_ms) = until_ms else {
            if !state.processed_claims.contains(&item.claim)
                && state.processed_claims.len() < MAX_PROCESSED_CLAIMS
            {
                state.processed_claims.push(item.claim);
            }
            return claims::ClaimVerdict::Settled;
        };
        match item.outcome {
            claims::SettledOutcome::Ran(outcome) => {
                state.phase = KeyPhase::Ran(claims::without_large_body(outcome, max_kept));
            }
            claims::SettledOutcome::NotRun if at_ms <= until_ms => state.phase = KeyPhase::Free,
            // Callers may already have received "unknown" and acted on it.
            claims::SettledOutcome::NotRun => {}
        }
        let kept = state.kept_bytes();
        self.kept_bytes += kept;
        claims::ClaimVerdict::Settled
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
                processed_claims: Vec::new(),
            }
        })
    }

    const fn is_expired(&self, key_ms: u64, at_ms: u64) -> bool {
        key_ms
            .saturating_add(self.limits.window_ms)
            .saturating_add(self.limits.margin_ms)
            < at_ms
    }

    /// Removes keys for which every further claim is outside the window, even if the log's clock
    /// goes back by the margin.
    fn expire(&mut self, at_ms: u64) {
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
    /// Returns the verdict on a repeated claim. Such a claim holds its key only until the claim is
    /// settled; it never takes a key that has become free since.
    fn verdict_on_repeat(
        &self,
        claim: id::RecordId,
        content: fingerprint::ContentHash,
    ) -> Option<claims::ClaimVerdict> {
        if !self.processed_claims.contains(&claim) {
            return None;
        }
        if matches!(self.phase, KeyPhase::Held { claim: holder, .. } if holder == claim) {
            return Some(claims::ClaimVerdict::Held);
        }
        Some(
            self.verdict_if_taken(content)
                .unwrap_or(claims::ClaimVerdict::Withdrawn),
        )
    }

    fn verdict_if_taken(&self, content: fingerprint::ContentHash) -> Option<claims::ClaimVerdict> {
        if self.phase != KeyPhase::Free && self.content != Some(content) {
            return Some(claims::ClaimVerdict::OtherContent);
        }
        match &self.phase {
            KeyPhase::Free => None,
            KeyPhase::Held { until_ms, .. } => {
                Some(claims::ClaimVerdict::Taken(claims::KeyView::Pending {
                    until_ms: *until_ms,
                }))
            }
            KeyPhase::Ran(outcome) => Some(claims::ClaimVerdict::Taken(claims::KeyView::Stored(
                outcome.clone(),
            ))),
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
    type Entry = claims::ClaimEntry;
    type Verdict = claims::ClaimVerdict;

    fn apply(
        &mut self,
        place: record::RecordPlace,
        batch: record::BatchRecord<claims::ClaimEntry>,
    ) -> Vec<driver::EntryVerdict<claims::ClaimVerdict>> {
        self.expire(place.at_ms);
        let mut verdicts = Vec::with_capacity(batch.entries.len());
        for entry in batch.entries {
            let verdict = match entry.item {
                claims::ClaimEntry::Claim(item) => Some(self.claim(place.at_ms, entry.id, &item)),
                claims::ClaimEntry::Settle(item) => Some(self.settle(place.at_ms, item)),
                claims::ClaimEntry::Other => None,
            };
            if let Some(verdict) = verdict {
                let id = entry.id;
                verdicts.push(driver::EntryVerdict { id, verdict });
            }
        }
        verdicts
    }

    /// Records that were dropped unread are older than the retention and therefore irrelevant to
    /// any claim whose holder may still act; see [`claims::ClaimLimits::needed_retention_ms`].
    fn restart(&mut self, _first: u64) {
        *self = Self::new(self.limits.clone());
    }

    /// Older records are as irrelevant as those dropped by retention.
    fn lookback_ms(&self) -> Option<u64> {
        Some(self.limits.needed_retention_ms() + self.limits.margin_ms)
    }
}
