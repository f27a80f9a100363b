//! What a fold remembers of work that it does not hold.

use std::collections;

use base::id;

/// Why some work is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AbsentWork {
    /// It was done and its time is up.
    Forgotten,
    /// Entries speak of it, but its acceptance was not read.
    Unread,
}

#[derive(Clone, Copy, Debug)]
struct AbsentState {
    work: AbsentWork,
    /// Offset of the last entry that speaks of it.
    last: u64,
}

/// Remembers work that is not held, from `JobMemory::horizon` on.
///
/// An acceptance or a carried state that was held up for long on its way would otherwise bring
/// work back that was done meanwhile: it would run a second time, and its caller could read
/// another answer than before. What is older than the horizon cannot be told, so entries whose
/// writers had not read up to the horizon are refused.
#[derive(Clone, Debug, Default)]
pub struct JobMemory {
    /// Every entry from this offset on that concerns work which is not held is remembered.
    horizon: u64,
    absent: collections::HashMap<id::RequestId, AbsentState>,
    /// Time, offset and work of each remembered entry, oldest first.
    marks: collections::VecDeque<(u64, u64, id::RequestId)>,
}

impl JobMemory {
    /// A memory of what is read from `first` on.
    #[must_use]
    pub fn since(first: u64) -> Self {
        Self {
            horizon: first,
            ..Self::default()
        }
    }

    /// The work was done and its time was up at `at_ms`.
    pub fn note_forgotten(&mut self, at_ms: u64, last: u64, job: id::RequestId) {
        let work = AbsentWork::Forgotten;
        self.absent.insert(job, AbsentState { work, last });
        self.marks.push_back((at_ms, last, job));
    }

    /// An entry at `offset` speaks of work that is not held.
    pub fn note_unread(&mut self, at_ms: u64, offset: u64, job: id::RequestId) {
        let unread = AbsentState {
            work: AbsentWork::Unread,
            last: offset,
        };
        self.absent.entry(job).or_insert(unread).last = offset;
        self.marks.push_back((at_ms, offset, job));
    }

    /// Whether work may be accepted by a writer that had read up to `seen`.
    #[must_use]
    pub fn admits_new(&self, job: id::RequestId, seen: u64) -> bool {
        seen >= self.horizon && !self.absent.contains_key(&job)
    }

    /// Whether a state of work that is not held, as of `seen`, is still its state.
    #[must_use]
    pub fn admits_carried(&self, job: id::RequestId, seen: u64) -> bool {
        if seen < self.horizon {
            return false;
        }
        self.absent
            .get(&job)
            .is_none_or(|state| state.work == AbsentWork::Unread && state.last < seen)
    }

    /// The work is held from now on.
    pub fn take_up(&mut self, job: id::RequestId) {
        self.absent.remove(&job);
    }

    /// Forgets what was noted before `oldest_ms`.
    pub fn forget(&mut self, oldest_ms: u64) {
        while let Some(&(at_ms, offset, job)) = self.marks.front() {
            if at_ms >= oldest_ms {
                return;
            }
            self.marks.pop_front();
            self.horizon = self.horizon.max(offset + 1);
            if self
                .absent
                .get(&job)
                .is_some_and(|state| state.last <= offset)
            {
                self.absent.remove(&job);
            }
        }
    }
}
