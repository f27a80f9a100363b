//! Callers that were refused and told when to come back.
//!
//! Load pattern: in lasting overload a caller that comes back, at another VM, looks like a new one
//! that can still be on time. It can't: its time counts from its first try. Taken for new, it makes
//! others late as well; so it goes after those that can be on time, and before others that can't. VMs
//! tell each other whom they refused, since callers come back anywhere.

use std::collections;

use tokio::time;

use crate::wait;

/// How long after the time that it was told a caller is still expected.
const EXPECTED_FOR: time::Duration = time::Duration::from_secs(4);
/// Callers that are remembered, 24 bytes each; the one expected soonest goes.
const MOST: usize = 2_048;
/// Callers that wait to be told to the other VMs: four seconds' worth of regular datagrams.
const MOST_UNTOLD: usize = 256;
/// Steps of cost by which one that came back goes before others that are late: half of its cost.
const STEPS: u8 = 2;

/// Callers that are expected to come back.
#[derive(Debug, Default)]
pub struct ComebackTable {
    /// Until when each is expected, by the short fingerprint of its request.
    expected: collections::HashMap<u32, time::Instant>,
    /// Those that the other VMs have not been told yet.
    untold: collections::VecDeque<u32>,
}

/// The part of a request's fingerprint that VMs tell each other.
const fn short(fingerprint: u64) -> u32 {
    fingerprint as u32
}

impl ComebackTable {
    /// This VM refused a request, and told its caller to come back after `wait`.
    pub fn refused(&mut self, fingerprint: u64, wait: time::Duration, now: time::Instant) {
        let short = short(fingerprint);
        self.expect(short, now + wait + EXPECTED_FOR, now);
        // A burst of refusals is told over several datagrams; of a longer one the oldest are left out,
        // and their callers are taken for new.
        if self.untold.len() == MOST_UNTOLD {
            self.untold.pop_front();
        }
        self.untold.push_back(short);
    }

    /// Another VM refused a request; how long it told its caller to stay away is not said.
    pub fn told(&mut self, short: u32, now: time::Instant) {
        self.expect(short, now + wait::RETRY_AFTER_MOST + EXPECTED_FOR, now);
    }

    fn expect(&mut self, short: u32, until: time::Instant, now: time::Instant) {
        if self.expected.len() >= MOST {
            self.expected.retain(|_, until| now < *until);
        }
        if self.expected.len() >= MOST
            && let Some((&soonest, _)) = self.expected.iter().min_by_key(|(_, until)| **until)
        {
            self.expected.remove(&soonest);
        }
        self.expected.insert(short, until);
    }

    /// Those to be told to the other VMs, each once.
    pub fn take_untold(&mut self, most: usize) -> Vec<u32> {
        let told = self.untold.len().min(most);
        self.untold.drain(..told).collect()
    }

    /// The claim of a request to a place, given what it would be if it came for the first time.
    #[must_use]
    pub fn claim(
        &self,
        fingerprint: u64,
        first: wait::WaitClaim,
        now: time::Instant,
    ) -> wait::WaitClaim {
        let until = self.expected.get(&short(fingerprint));
        if until.is_none_or(|until| *until <= now) {
            return first;
        }
        wait::WaitClaim {
            step: first.step.saturating_sub(STEPS),
            on_time_until: None,
        }
    }
}
