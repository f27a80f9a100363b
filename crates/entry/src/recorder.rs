//! Journal of this process's events, stamped with the wall clock.

use std::sync;

use base::id;
use trace::{journal, kind, stamper};

use crate::clock;

/// Handle to the journal of this process; clones share it.
#[derive(Clone, Debug)]
pub struct EventRecorder {
    journal: sync::Arc<journal::EventJournal>,
}

impl EventRecorder {
    /// Creates a handle to `journal`.
    #[must_use]
    pub fn new(journal: journal::EventJournal) -> Self {
        Self {
            journal: sync::Arc::new(journal),
        }
    }

    /// The journal.
    #[must_use]
    pub fn journal(&self) -> &journal::EventJournal {
        &self.journal
    }

    /// Creates a stamper that stamps messages to other entry VMs with the clock of this journal.
    #[must_use]
    pub fn stamper(&self) -> stamper::MessageStamper {
        stamper::MessageStamper::new(sync::Arc::clone(&self.journal), clock::unix_ms)
    }

    /// Records an event that belongs to no request.
    pub fn record(&self, kind: kind::EventKind) {
        self.journal.record(clock::unix_ms(), kind);
    }

    /// Records an event of `request`, or one that belongs to no request.
    pub fn record_for(&self, request: Option<id::RequestId>, kind: kind::EventKind) {
        match request {
            Some(request) => self.journal.record_for(clock::unix_ms(), request, kind),
            None => self.record(kind),
        }
    }
}

impl flow::port::EventSink for EventRecorder {
    fn record(&self, request: Option<id::RequestId>, kind: kind::EventKind) {
        self.record_for(request, kind);
    }
}
