//! Looks for a usable checkpoint in a log whose beginning is gone.
//!
//! Checkpoints are written often, so the newest one lies near the end: the search begins a little
//! before the end and goes further back only when it finds nothing there.

/// Where a search stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchPhase {
    /// No search is needed.
    Idle,
    /// The end of the log is not known yet; one read at its beginning tells it.
    Probing,
    /// Reading on from `position`.
    Reading {
        /// Where this reading began.
        from: u64,
        /// Offset of the next record.
        position: u64,
    },
}

/// A search through the log of one VM.
#[derive(Clone, Debug)]
pub struct LogSearch {
    look_back: u64,
    /// Records before the end in which the reading under way looks.
    span: u64,
    phase: SearchPhase,
    /// Oldest record that the log has.
    first: u64,
    /// Offset that the next append gets.
    next: u64,
}

impl LogSearch {
    /// No search yet; the first one looks at the newest `look_back` records.
    #[must_use]
    pub const fn new(look_back: u64) -> Self {
        Self {
            look_back,
            span: look_back,
            phase: SearchPhase::Idle,
            first: 0,
            next: 0,
        }
    }

    /// Whether records are looked at for checkpoints only, and not applied.
    #[must_use]
    pub fn is_searching(&self) -> bool {
        self.phase != SearchPhase::Idle
    }

    /// The log begins at `first` and the record that was wanted is gone.
    pub const fn start(&mut self, first: u64) {
        self.first = first;
        self.span = self.look_back;
        self.phase = SearchPhase::Probing;
    }

    /// Ends the search when a state was taken over from whose offset the log can be read on.
    pub const fn settle(&mut self, offset: u64) {
        if offset >= self.first {
            self.phase = SearchPhase::Idle;
        }
    }

    /// What an answer of the log tells of its bounds.
    pub fn see_bounds(&mut self, first: u64, next: u64) {
        self.first = self.first.max(first);
        self.next = self.next.max(next);
        if self.phase == SearchPhase::Probing {
            self.begin();
        }
    }

    fn begin(&mut self) {
        let from = self.next.saturating_sub(self.span).max(self.first);
        self.phase = SearchPhase::Reading {
            from,
            position: from,
        };
    }

    /// Where to read next; nothing when no search is under way.
    #[must_use]
    pub const fn position(&self) -> Option<u64> {
        match self.phase {
            SearchPhase::Idle => None,
            SearchPhase::Probing => Some(self.first),
            SearchPhase::Reading { position, .. } => Some(position),
        }
    }

    /// Goes past the record at `offset`; false when it is not the one that was to come.
    pub const fn pass(&mut self, offset: u64) -> bool {
        match &mut self.phase {
            SearchPhase::Reading { position, .. } if *position == offset => {
                *position += 1;
                true
            }
            _ => false,
        }
    }

    /// A page was looked at: at the end of the log, goes further back or begins again.
    pub fn turn_page(&mut self) -> TurnOutcome {
        let SearchPhase::Reading { from, position } = self.phase else {
            return TurnOutcome::OnePass;
        };
        if position < self.next {
            return TurnOutcome::OnePass;
        }
        let is_whole = from <= self.first;
        self.span = if is_whole {
            self.look_back
        } else {
            self.span.saturating_mul(4)
        };
        self.begin();
        if is_whole {
            TurnOutcome::NothingFound
        } else {
            TurnOutcome::NextPass
        }
    }
}

/// How a search goes on after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOutcome {
    /// With the next page.
    OnePass,
    /// With a pass that begins further back.
    NextPass,
    /// The whole log was looked at and nothing found; it begins again.
    NothingFound,
}
