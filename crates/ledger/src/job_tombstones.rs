//! Tombstones for jobs that a fold does not hold.

use std::collections;

use base::id;

/// The reason why a job is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AbsenceReason {
    /// The job was finished and its result has expired.
    Expired,
    /// Entries refer to the job, but its acceptance was not read.
    Unread,
}

#[derive(Clone, Copy, Debug)]
struct JobTombstone {
    reason: AbsenceReason,
    /// Offset of the last entry that refers to the job.
    last: u64,
}

/// Tombstones for jobs that the fold does not hold, complete from the offset `horizon` on.
///
/// Without tombstones, an acceptance or a carried state that reaches the log with a long delay
/// would bring back a job that was finished meanwhile: the job would run a second time, and its
/// caller could read a different answer than before. Nothing is known about entries before the
/// horizon, so entries whose writers had not read up to the horizon are refused.
#[derive(Clone, Debug, Default)]
pub struct JobTombstones {
    /// Offset from which on every entry about a job that is not held has a tombstone.
    horizon: u64,
    tombstones: collections::HashMap<id::RequestId, JobTombstone>,
    /// Time, offset and job of each recorded entry, oldest first.
    recorded: collections::VecDeque<(u64, u64, id::RequestId)>,
}

impl JobTombstones {
    /// Creates an empty set for a fold that reads from `first` on.
    #[must_use]
    pub fn starting_at(first: u64) -> Self {
        Self {
            horizon: first,
            ..Self::default()
        }
    }

    /// Records that the job was finished and its result expired at `at_ms`.
    pub fn record_expired(&mut self, at_ms: u64, last: u64, job: id::RequestId) {
        let reason = AbsenceReason::Expired;
        self.tombstones.insert(job, JobTombstone { reason, last });
        self.recorded.push_back((at_ms, last, job));
    }

    /// Records that an entry at `offset` refers to a job that is not held.
    pub fn record_unread(&mut self, at_ms: u64, offset: u64, job: id::RequestId) {
        let unread = JobTombstone {
            reason: AbsenceReason::Unread,
            last: offset,
        };
        self.tombstones.entry(job).or_insert(unread).last = offset;
        self.recorded.push_back((at_ms, offset, job));
    }

    /// Whether the acceptance of a job by a writer that had read up to `seen` is valid.
    #[must_use]
    pub fn admits_acceptance(&self, job: id::RequestId, seen: u64) -> bool {
        seen >= self.horizon && !self.tombstones.contains_key(&job)
    }

    /// Whether the state that a job which is not held had at `seen` is still its state.
    #[must_use]
    pub fn admits_carried(&self, job: id::RequestId, seen: u64) -> bool {
        if seen < self.horizon {
            return false;
        }
        self.tombstones.get(&job).is_none_or(|tombstone| {
            tombstone.reason == AbsenceReason::Unread && tombstone.last < seen
        })
    }

    /// Removes the tombstone of a job that the fold holds from now on.
    pub fn remove(&mut self, job: id::RequestId) {
        self.tombstones.remove(&job);
    }

    /// Removes the tombstones recorded before `oldest_ms`.
    pub fn expire(&mut self, oldest_ms: u64) {
        while let Some(&(at_ms, offset, job)) = self.recorded.front() {
            if at_ms >= oldest_ms {
                return;
            }
            self.recorded.pop_front();
            self.horizon = self.horizon.max(offset + 1);
            if self
                .tombstones
                .get(&job)
                .is_some_and(|tombstone| tombstone.last <= offset)
            {
                self.tombstones.remove(&job);
            }
        }
    }
}
