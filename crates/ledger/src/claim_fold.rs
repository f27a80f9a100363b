//! Which one call with a given key may run: a pure function of one stream's records.
//!
//! The first claim of a key in the log's order holds the key, and nobody takes it over: a claim
//! that never gets an outcome leaves its key unknown until the key is too old to be used at all.

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
    /// A claim holds the key and has not ended.
    Held { claim: id::RecordId, until_ms: u64 },
    /// The call ran.
    Ran(claims::StoredOutcome),
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
    limits: claims::ClaimLimits,
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
    pub fn new(limits: claims::ClaimLimits) -> Self {
        Self {
            limits,
            keys: collections::HashMap::new(),
            expiries: collections::BinaryHeap::new(),
            kept_bytes: 0,
        }
    }

    /// The limits that it decides by.
    #[must_use]
    pub const fn limits(&self) -> &claims::ClaimLimits {
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
    ) -> Option<claims::ClaimVerdict> {
        let state = self.keys.get(&KeyHash::of(organisation, key))?;
        state.taken(content)
    }

    /// What is known of a claim that was met before, by its key; `None` when it was not met.
    #[must_use]
    pub fn find_claim(
        &self,
        claim: id::RecordId,
        item: &claims::ClaimItem,
    ) -> Option<claims::ClaimVerdict> {
        let state = self.keys.get(&KeyHash::of(&item.organisation, &item.key))?;
        state.repeated(claim, item.content)
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
        if let Some(verdict) = state.repeated(claim, item.content) {
            return verdict;
        }
        if state.spent.len() >= MAX_SPENT {
            return claims::ClaimVerdict::Withdrawn;
        }
        state.spent.push(claim);
        if let Some(verdict) = state.taken(item.content) {
            return verdict;
        }
        state.phase = KeyPhase::Held { claim, until_ms };
        state.content = Some(item.content);
        claims::ClaimVerdict::Held
    }

    /// The first end of a claim counts. An end of a claim that was not met, which the log took out
    /// of order, makes sure that the claim does not hold the key when it arrives after all.
    fn settle(&mut self, at_ms: u64, item: claims::SettleItem) -> claims::ClaimVerdict {
        let Some(key_ms) = claims::key_time_ms(&item.key) else {
            return claims::ClaimVerdict::OutsideWindow;
        };
        if self.is_forgotten(key_ms, at_ms) {
            return claims::ClaimVerdict::OutsideWindow;
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
            return claims::ClaimVerdict::Settled;
        };
        match item.outcome {
            claims::SettledOutcome::Ran(outcome) => {
                state.phase = KeyPhase::Ran(claims::bounded(outcome, max_kept));
            }
            claims::SettledOutcome::NotRun if at_ms <= until_ms => state.phase = KeyPhase::Free,
            // Callers may have been told that the outcome is unknown, and have acted on it.
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
    ) -> Option<claims::ClaimVerdict> {
        if !self.spent.contains(&claim) {
            return None;
        }
        if matches!(self.phase, KeyPhase::Held { claim: holder, .. } if holder == claim) {
            return Some(claims::ClaimVerdict::Held);
        }
        Some(
            self.taken(content)
                .unwrap_or(claims::ClaimVerdict::Withdrawn),
        )
    }

    fn taken(&self, content: fingerprint::ContentHash) -> Option<claims::ClaimVerdict> {
        if self.phase != KeyPhase::Free && self.content != Some(content) {
            return Some(claims::ClaimVerdict::OtherContent);
        }
        match &self.phase {
            KeyPhase::Free => None,
            KeyPhase::Held { until_ms, .. } => {
                Some(claims::ClaimVerdict::Taken(claims::KeyView::Open {
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
        self.forget(place.at_ms);
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

    /// What was dropped unread is older than the retention, and so matters to no claim whose
    /// holder may still act; see [`claims::ClaimLimits::needed_retention_ms`].
    fn restart(&mut self, _first: u64) {
        *self = Self::new(self.limits.clone());
    }

    /// What is older matters as little as what retention has dropped.
    fn lookback_ms(&self) -> Option<u64> {
        Some(self.limits.needed_retention_ms() + self.limits.margin_ms)
    }
}
