//! What the request plane holds in its hands: leave to send a call, and work to do.

use base::{fingerprint, id, outcome};
use tokio::time;

use crate::{claim_calls, claims, job_calls};

/// Leave to send one non-idempotent call, once.
///
/// It is not `Clone`: whoever holds it is the only one who may send, and ends it with
/// [`crate::route::LedgerRouter::settle`]. When it is dropped instead, the key's outcome stays unknown.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is dropped leaves its key unknown"]
pub struct SendPermit {
    pub(crate) claim: id::RecordId,
    pub(crate) organisation: String,
    pub(crate) key: String,
    /// Counted from before the claim was asked for, so that it passes on this clock no later than
    /// other processes conclude that it has.
    pub(crate) deadline: time::Instant,
}

impl SendPermit {
    /// Whether the call may still leave. To be asked right before it is written to the server: a
    /// process that was paused since the claim would otherwise send after its caller, or another
    /// caller, was told that nothing more will happen.
    #[must_use]
    pub fn may_send(&self, now: time::Instant) -> bool {
        now < self.deadline
    }

    /// The instant from which the call must not leave any more.
    #[must_use]
    pub const fn deadline(&self) -> time::Instant {
        self.deadline
    }

    /// The claim.
    #[must_use]
    pub const fn claim(&self) -> id::RecordId {
        self.claim
    }
}

/// A call that wants to run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimCall {
    /// The organisation that the key belongs to.
    pub organisation: String,
    /// The idempotency key as the caller sent it.
    pub key: String,
    /// Hash of everything that makes the call this call: service, path, body.
    pub content: fingerprint::ContentHash,
}

/// What the caller of a non-idempotent call gets.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The call may be sent.
    Fresh(SendPermit),
    /// It ran before; this was its answer.
    Stored(claims::StoredOutcome),
    /// It is under way elsewhere.
    InProgress,
    /// It may have run; nobody will run it again.
    Unknown,
    /// The key was used for another content; this call did not run.
    OtherContent,
    /// This try did not run and will not.
    Refused(ClaimRefused),
}

/// A try that did not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRefused {
    /// Why; absent when no entry VM could be asked.
    pub cause: Option<claim_calls::RefusalCause>,
    /// What may be said of the key: `No` unless an earlier try may have run and can no longer be
    /// asked about.
    pub ran: outcome::RanState,
}

/// Work that this process does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobTicket {
    /// The work and its claim.
    pub grant: job_calls::JobGrant,
    /// Counted from before the claim, or the last renewal that counts, was asked for.
    pub(crate) deadline: time::Instant,
}

impl JobTicket {
    /// Whether the holder may go on; others may have taken over when it may not.
    #[must_use]
    pub fn may_continue(&self, now: time::Instant) -> bool {
        now < self.deadline
    }

    /// The instant by which the holder must have renewed, or stops.
    #[must_use]
    pub const fn deadline(&self) -> time::Instant {
        self.deadline
    }
}
