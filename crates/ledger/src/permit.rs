//! Permits of the request plane: to send a call and to execute a job.

use base::{fingerprint, id, outcome};
use tokio::time;

use crate::{claim_calls, claims, job_calls};

/// Permission to send one non-idempotent call once.
///
/// The permit is not `Clone`: only its owner may send the call, and must then pass the permit to
/// [`crate::route::LedgerRouter::settle`]. If the permit is dropped instead, the outcome of its key
/// stays unknown.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "if the permit is dropped, the outcome of its key stays unknown"]
pub struct SendPermit {
    pub(crate) claim: id::RecordId,
    pub(crate) organisation: String,
    pub(crate) key: String,
    /// Counted from before the claim was requested, so that it passes on this process's clock no
    /// later than other processes conclude that it has passed.
    pub(crate) deadline: time::Instant,
}

impl SendPermit {
    /// Whether the call may still be sent. Must be checked right before the call is written to the
    /// server: a process that was paused since the claim could otherwise send the call after its
    /// caller, or another caller, got the reply that it will not run any more.
    #[must_use]
    pub fn may_send(&self, now: time::Instant) -> bool {
        now < self.deadline
    }

    /// Returns the instant from which on the call must not be sent.
    #[must_use]
    pub const fn deadline(&self) -> time::Instant {
        self.deadline
    }

    /// Returns the id of the claim.
    #[must_use]
    pub const fn claim(&self) -> id::RecordId {
        self.claim
    }
}

/// A call that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimCall {
    /// The organisation that the key belongs to.
    pub organisation: String,
    /// The idempotency key as the caller sent it.
    pub key: String,
    /// Hash of everything that identifies the call: service, path and body.
    pub content: fingerprint::ContentHash,
}

/// The answer to the claim for a non-idempotent call.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The call may be sent.
    Granted(SendPermit),
    /// The call ran before; contains its answer.
    Stored(claims::StoredOutcome),
    /// The call is in progress elsewhere.
    InProgress,
    /// The call may have run, and will not run again.
    Unknown,
    /// The key was used for a call with different content; this call did not run.
    OtherContent,
    /// This attempt did not run and never will.
    Refused(ClaimRefused),
}

/// The refusal of an attempt that did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRefused {
    /// Cause of the refusal; `None` if no entry VM could be reached.
    pub cause: Option<claim_calls::RefusalCause>,
    /// Whether an earlier attempt with the key may have run: `No` unless the state of the key is no
    /// longer available.
    pub ran: outcome::RanState,
}

/// A job that this process executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobTicket {
    /// The job and its claim.
    pub grant: job_calls::JobGrant,
    /// Counted from before the claim or the last successful renewal was requested.
    pub(crate) deadline: time::Instant,
}

impl JobTicket {
    /// Whether the holder may continue; otherwise another VM may have taken over.
    #[must_use]
    pub fn may_continue(&self, now: time::Instant) -> bool {
        now < self.deadline
    }

    /// Returns the instant by which the holder must have renewed or must stop.
    #[must_use]
    pub const fn deadline(&self) -> time::Instant {
        self.deadline
    }
}
