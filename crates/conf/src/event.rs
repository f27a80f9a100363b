//! Events that a follower processes and actions that it requests.

use std::time::Duration;

use base::id;

use crate::{offer, state, transfer};

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TailRecord {
    /// Offset in the log.
    pub offset: u64,
    /// When the record was appended, by the log's clock.
    pub at_ms: u64,
    /// Content.
    pub body: Vec<u8>,
}

/// Input of a follower.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowEvent {
    /// Timer tick; sent at least every 250 ms.
    Tick,
    /// The read succeeded.
    Page {
        /// Offset of the oldest record in the log.
        first: u64,
        /// Offset of the next append.
        next: u64,
        /// Records from the requested offset on.
        records: Vec<TailRecord>,
    },
    /// The log no longer has the requested record.
    Dropped {
        /// Offset of the oldest record in the log.
        first: u64,
    },
    /// The read failed.
    ReadFailed,
    /// Another entry VM announced its state.
    Offer {
        /// Name of the other VM.
        peer: String,
        /// Description of its state.
        offer: offer::StateOffer,
    },
    /// Another entry VM is no longer present, or no longer offers a state.
    PeerDeparted {
        /// Name of the other VM.
        peer: String,
    },
    /// A state was fetched from another entry VM.
    State {
        /// Name of the other VM.
        peer: String,
        /// The state that it sent.
        transfer: Box<transfer::StateTransfer>,
    },
    /// Fetching a state from another entry VM failed.
    FetchFailed {
        /// Name of the other VM.
        peer: String,
    },
    /// The append succeeded.
    Appended,
    /// The append failed, or its response was lost.
    AppendFailed,
}

/// Action that the daemon must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowAction {
    /// Read the log; completed by `Page`, `Dropped` or `ReadFailed`. At most one at a time.
    Read {
        /// First offset to read.
        from: u64,
        /// Maximum number of records.
        max: u32,
        /// How long to wait for a record.
        wait: Duration,
    },
    /// Fetch the state of another entry VM; completed by `State` or `FetchFailed`. At most one at
    /// a time.
    Fetch {
        /// Name of the other VM.
        peer: String,
    },
    /// Append to the log; completed by `Appended` or `AppendFailed`. At most one at a time.
    Append {
        /// Record to append.
        record: Vec<u8>,
    },
    /// A change was decided; notify the publisher that waits for the verdict.
    Decided {
        /// Id of the change.
        id: id::RecordId,
        /// Offset of the record that decided the change.
        offset: u64,
        /// Verdict on the change.
        verdict: state::ApplyVerdict,
    },
    /// A new revision is in force on this VM: index it and pass it to the request path.
    InForce(offer::StateOffer),
    /// Report a condition to operators.
    Report(FollowReport),
}

/// Condition that operators should know about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowReport {
    /// A checkpoint in the log or a state from another VM cannot be used.
    Refused {
        /// Reason for the refusal.
        reason: String,
    },
    /// The history of another VM or of a checkpoint contradicts that of this VM.
    Contradiction {
        /// Name of the other VM, or the checkpoint.
        source: String,
    },
    /// The log ends before the offset of this VM's state, so it has lost accepted records.
    LogLost {
        /// Offset of the next append.
        next: u64,
    },
}

/// Whether this VM may serve requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadyState {
    /// The VM has a configuration in force.
    Ready,
    /// The VM has received no state from the log or another VM.
    NoState,
    /// The VM is reading the log and has not reached its end yet.
    CatchingUp,
    /// No configuration has been published yet.
    NothingPublished,
}
