//! Requests that were refused with a retry delay, and are expected again.
//!
//! Load pattern: in a lasting overload a refused request that is retried at another VM looks like a
//! new one that can still be on time. It can't, since its time counts from the first attempt.
//! Treated as new it makes others late as well, so it goes after requests that can be on time, and
//! before others that can't. VMs announce the requests that they refused to each other, because
//! callers may retry at any VM.

use std::collections;

use tokio::time;

use crate::wait;

/// How long after its retry delay a request is still expected.
const EXPIRY_MARGIN: time::Duration = time::Duration::from_secs(4);
/// Max remembered requests, 24 bytes each; the one that expires first is evicted.
const MAX_EXPECTED: usize = 2_048;
/// Max refusals that wait to be announced: four seconds of regular datagrams.
const MAX_UNANNOUNCED: usize = 256;
/// Cost steps by which a retried request goes before other late ones; two steps halve its cost.
const RETRY_COST_STEPS: u8 = 2;

/// Refused requests whose retry is expected.
#[derive(Debug, Default)]
pub struct ReturningRequests {
    /// Expiry by short fingerprint of the request.
    expected: collections::HashMap<u32, time::Instant>,
    /// Short fingerprints that have not been announced to the other VMs yet.
    unannounced: collections::VecDeque<u32>,
}

/// The part of a request's fingerprint that VMs send each other.
const fn short(fingerprint: u64) -> u32 {
    fingerprint as u32
}

impl ReturningRequests {
    /// Records that this VM refused a request with the retry delay `wait`.
    pub fn record_refusal(&mut self, fingerprint: u64, wait: time::Duration, now: time::Instant) {
        let short = short(fingerprint);
        self.expect(short, now + wait + EXPIRY_MARGIN, now);
        // A burst of refusals is announced over several datagrams. If there are more, the oldest
        // are dropped, and their retries count as new requests.
        if self.unannounced.len() == MAX_UNANNOUNCED {
            self.unannounced.pop_front();
        }
        self.unannounced.push_back(short);
    }

    /// Records that another VM refused a request. Its retry delay is not sent, so the max is
    /// assumed.
    pub fn record_peer_refusal(&mut self, short: u32, now: time::Instant) {
        self.expect(short, now + wait::MAX_RETRY_AFTER + EXPIRY_MARGIN, now);
    }

    fn expect(&mut self, short: u32, until: time::Instant, now: time::Instant) {
        if self.expected.len() >= MAX_EXPECTED {
            self.expected.retain(|_, until| now < *until);
        }
        if self.expected.len() >= MAX_EXPECTED
            && let Some((&soonest, _)) = self.expected.iter().min_by_key(|(_, until)| **until)
        {
            self.expected.remove(&soonest);
        }
        self.expected.insert(short, until);
    }

    /// Takes up to `max` refusals to announce to the other VMs, each once.
    pub fn take_unannounced(&mut self, max: usize) -> Vec<u32> {
        let count = self.unannounced.len().min(max);
        self.unannounced.drain(..count).collect()
    }

    /// Returns whether the retry of a request is expected.
    #[must_use]
    pub fn is_expected(&self, fingerprint: u64, now: time::Instant) -> bool {
        let until = self.expected.get(&short(fingerprint));
        until.is_some_and(|until| now < *until)
    }

    /// Values that determine the rank of a request, given those of a first attempt.
    #[must_use]
    pub fn rank_basis(
        &self,
        fingerprint: u64,
        first: wait::RankBasis,
        now: time::Instant,
    ) -> wait::RankBasis {
        if !self.is_expected(fingerprint, now) {
            return first;
        }
        wait::RankBasis {
            step: first.step.saturating_sub(RETRY_COST_STEPS),
            penalty: first.penalty,
            on_time_until: None,
        }
    }
}
