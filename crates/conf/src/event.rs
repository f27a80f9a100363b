//! What happens to a follower, and what it wants done.

use std::time::Duration;

use base::id;

use crate::{offer, state, transfer};

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TailRecord {
    /// Its offset.
    pub offset: u64,
    /// When it was appended, by the log's clock.
    pub at_ms: u64,
    /// Its content.
    pub body: Vec<u8>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowEvent {
    /// Time passed; at least every 250 ms.
    Tick,
    /// The read was answered.
    Page {
        /// Oldest record that the log has.
        first: u64,
        /// Offset that the next append gets.
        next: u64,
        /// Records from the offset that was asked for.
        records: Vec<TailRecord>,
    },
    /// The log no longer has the record that was asked for.
    Dropped {
        /// Oldest record that it has.
        first: u64,
    },
    /// The read failed.
    ReadFault,
    /// Another entry VM told its state.
    Offer {
        /// That VM.
        peer: String,
        /// What it has.
        offer: offer::StateOffer,
    },
    /// Another entry VM is gone.
    PeerGone {
        /// That VM.
        peer: String,
    },
    /// Another entry VM handed over its state.
    State {
        /// That VM.
        peer: String,
        /// What it gave.
        transfer: Box<transfer::StateTransfer>,
    },
    /// Another entry VM did not hand over its state.
    FetchFault {
        /// That VM.
        peer: String,
    },
    /// The record lies in the log.
    Appended,
    /// The append failed, or its answer was lost.
    AppendFault,
}

/// What the daemon shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowAction {
    /// Read the log; answered by `Page`, `Dropped` or `ReadFault`. One at a time.
    Read {
        /// First offset.
        from: u64,
        /// Records at the most.
        max: u32,
        /// How long to wait for a record.
        wait: Duration,
    },
    /// Fetch the state of another entry VM; answered by `State` or `FetchFault`. One at a time.
    Fetch {
        /// That VM.
        peer: String,
    },
    /// Append to the log; answered by `Appended` or `AppendFault`. One at a time.
    Append {
        /// The record.
        record: Vec<u8>,
    },
    /// The log has decided a change; whoever published it is waiting for this.
    Decided {
        /// The change.
        id: id::RecordId,
        /// Offset of the record that decided it.
        offset: u64,
        /// What became of it.
        verdict: state::ApplyVerdict,
    },
    /// Another state is in force on this VM: index it and hand it to the request path.
    InForce(offer::StateOffer),
    /// Something that an operator should know of.
    Report(FollowReport),
}

/// Something that an operator should know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowReport {
    /// A checkpoint in the log, or a state that another VM gave, cannot be used.
    Refused {
        /// Why.
        reason: String,
    },
    /// Another VM, or a checkpoint, tells a history that is not that of this VM.
    Contradiction {
        /// Who tells it.
        source: String,
    },
    /// The log ends before the state that this VM has: it lost records that were accepted.
    LogLost {
        /// Offset that the next append gets.
        next: u64,
    },
}

/// Whether this VM may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadyState {
    /// It has an accepted configuration.
    Ready,
    /// It has no state: neither the log nor another VM has given one.
    NoState,
    /// It is reading the log and has not come to its end.
    CatchingUp,
    /// Nobody has published a configuration.
    NothingPublished,
}
