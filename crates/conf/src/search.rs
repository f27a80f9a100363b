//! Searches for a usable checkpoint in a log whose oldest records have been dropped.
//!
//! Checkpoints are written often, so the newest one is near the end. The search starts shortly
//! before the end and goes further back only if it finds nothing there.

/// Phase of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchPhase {
    /// No search is needed.
    Idle,
    /// The end of the log is not known yet; a read of its first records returns it.
    Probing,
    /// Reading records from `position` on.
    Reading {
        /// Offset at which this pass started.
        from: u64,
        /// Offset of the next record to read.
        position: u64,
    },
}

/// Checkpoint search of one VM.
#[derive(Clone, Debug)]
pub struct LogSearch {
    lookback_records: u64,
    /// Number of records before the end of the log that the current pass covers.
    window_records: u64,
    phase: SearchPhase,
    /// Offset of the oldest record in the log.
    first: u64,
    /// Offset of the next append.
    next: u64,
}

impl LogSearch {
    /// Creates an idle search whose first pass covers the newest `lookback_records` records.
    #[must_use]
    pub const fn new(lookback_records: u64) -> Self {
        Self {
            lookback_records,
            window_records: lookback_records,
            phase: SearchPhase::Idle,
            first: 0,
            next: 0,
        }
    }

    /// Whether a search is in progress; records are then only scanned for checkpoints, not applied.
    #[must_use]
    pub fn is_searching(&self) -> bool {
        self.phase != SearchPhase::Idle
    }

    /// Starts a search after the log dropped the next record to apply; the log now begins at
    /// `first`.
    pub const fn start(&mut self, first: u64) {
        self.first = first;
        self.window_records = self.lookback_records;
        self.phase = SearchPhase::Probing;
    }

    /// Ends the search after a state at `offset` was adopted, if the log still has the records that
    /// follow it.
    pub const fn finish(&mut self, offset: u64) {
        if offset >= self.first {
            self.phase = SearchPhase::Idle;
        }
    }

    /// Records the bounds of the log, as returned by a read.
    pub fn observe_bounds(&mut self, first: u64, next: u64) {
        self.first = self.first.max(first);
        self.next = self.next.max(next);
        if self.phase == SearchPhase::Probing {
            self.start_pass();
        }
    }

    fn start_pass(&mut self) {
        let from = self
            .next
            .saturating_sub(self.window_records)
            .max(self.first);
        self.phase = SearchPhase::Reading {
            from,
            position: from,
        };
    }

    /// Offset of the next read; `None` if no search is in progress.
    #[must_use]
    pub const fn position(&self) -> Option<u64> {
        match self.phase {
            SearchPhase::Idle => None,
            SearchPhase::Probing => Some(self.first),
            SearchPhase::Reading { position, .. } => Some(position),
        }
    }

    /// Advances past the record at `offset`; returns false if that is not the expected record.
    pub const fn advance(&mut self, offset: u64) -> bool {
        match &mut self.phase {
            SearchPhase::Reading { position, .. } if *position == offset => {
                *position += 1;
                true
            }
            _ => false,
        }
    }

    /// Handles the end of a page. At the end of the log, starts a pass that reaches further back,
    /// or starts again if the pass covered the complete log.
    pub fn finish_page(&mut self) -> PageOutcome {
        let SearchPhase::Reading { from, position } = self.phase else {
            return PageOutcome::SamePass;
        };
        if position < self.next {
            return PageOutcome::SamePass;
        }
        let is_complete = from <= self.first;
        self.window_records = if is_complete {
            self.lookback_records
        } else {
            self.window_records.saturating_mul(4)
        };
        self.start_pass();
        if is_complete {
            PageOutcome::NothingFound
        } else {
            PageOutcome::NextPass
        }
    }
}

/// How a search continues after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageOutcome {
    /// The search continues with the next page of the same pass.
    SamePass,
    /// The search continues with a pass that starts further back.
    NextPass,
    /// The complete log holds no usable checkpoint; the search starts again.
    NothingFound,
}
