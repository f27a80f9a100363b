//! Evidence of whether a request's attempts ran, as types that are moved and never copied.
//!
//! Without them a lost answer could be mistaken for "did not run": the caller would get that reply,
//! or the call sent again, and a pass charged twice, which only the accounts would reveal. Here
//! only the holder of a [`NotRunProof`] can report "not run". Sending consumes the proof, and it is
//! restored only by evidence of a specific kind.

use std::marker;

use base::{outcome, refusal};

use crate::{port, refused};

/// Proof that nothing of a request has run anywhere.
///
/// A request has it when it arrives, loses it when an attempt is sent, and regains it only from
/// evidence about that attempt. Not `Clone`: there is at most one for each request.
#[derive(Debug)]
#[must_use = "a dropped proof cannot be restored"]
pub struct NotRunProof {
    _private: (),
}

impl NotRunProof {
    /// Creates the proof for a request of which nothing has been sent.
    pub(crate) const fn at_arrival() -> Self {
        Self { _private: () }
    }

    /// Creates a refusal that guarantees "not run".
    pub fn refused(self, body: refusal::RefusalBody) -> refused::Refused {
        refused::Refused::with_evidence(body, outcome::RanState::No)
    }
}

/// Right to send one attempt; a link consumes it by sending.
#[derive(Debug)]
#[must_use = "a permit must be used for sending or returned"]
pub struct SendPermit {
    _private: (),
}

impl SendPermit {
    /// Returns the permit: no byte of the attempt was sent, or the connection was refused.
    ///
    /// Only links may call this, and only in these two cases. A timeout after the first byte, a
    /// reset or an answer of any kind is not evidence that the attempt was never sent.
    pub const fn never_sent(self) -> NeverSent {
        NeverSent { _private: () }
    }
}

/// Evidence that one attempt was never sent.
#[derive(Debug)]
pub struct NeverSent {
    _private: (),
}

/// Right to start an attempt: the first one, or another after the earlier ones were settled.
#[derive(Debug)]
#[must_use = "without another attempt the request must be refused with this"]
pub struct StartPermit {
    /// Whether any earlier attempt ran, as far as it is known.
    ran: outcome::RanState,
}

impl From<NotRunProof> for StartPermit {
    fn from(_proof: NotRunProof) -> Self {
        Self {
            ran: outcome::RanState::No,
        }
    }
}

impl StartPermit {
    /// Creates a permit for tests and benches of links, without any evidence.
    #[doc(hidden)]
    pub const fn for_tests() -> Self {
        Self {
            ran: outcome::RanState::Unknown,
        }
    }

    /// Splits into the permit that the link consumes and the ticket that is kept while the attempt
    /// is in flight.
    pub const fn send<K>(self) -> (SendPermit, AttemptTicket<K>) {
        let ticket = AttemptTicket {
            earlier: self.ran,
            seen_running: false,
            kind: marker::PhantomData,
        };
        (SendPermit { _private: () }, ticket)
    }

    /// Whether the request ran so far, as far as it is known.
    #[must_use]
    pub const fn ran(&self) -> outcome::RanState {
        self.ran
    }

    /// Ends the request; reports "not run" only if every attempt is proved not to have run.
    pub fn refused(self, body: refusal::RefusalBody) -> refused::Refused {
        refused::Refused::with_evidence(body, self.ran)
    }
}

/// Kind of generation tickets: a settled attempt may be followed by another.
#[derive(Debug)]
pub struct GenerationKind;

/// Kind of plain service call tickets: a settled attempt may still have had its effect.
#[derive(Debug)]
pub struct CallKind;

/// Ticket that is kept while an attempt is in flight.
///
/// A generation's ticket becomes a new [`StartPermit`] only with evidence that the attempt is
/// settled: it was never sent, its cancellation was answered, or the server process has ended. A
/// call's ticket does so only if the call was never sent, or if the rules allow it to be repeated:
///
/// ```
/// use flow::proof::{GenerationKind, StartPermit};
/// let (_, ticket) = StartPermit::for_tests().send::<GenerationKind>();
/// let _another = ticket.server_died();
/// ```
///
/// ```compile_fail
/// use flow::proof::{CallKind, StartPermit};
/// let (_, ticket) = StartPermit::for_tests().send::<CallKind>();
/// let _another = ticket.server_died();
/// ```
#[derive(Debug)]
#[must_use = "an attempt in flight must be settled or reported"]
pub struct AttemptTicket<K> {
    earlier: outcome::RanState,
    /// Whether the server confirmed that it runs this attempt.
    seen_running: bool,
    kind: marker::PhantomData<K>,
}

impl<K> AttemptTicket<K> {
    /// Settles an attempt that was never sent.
    pub fn never_sent(self, _evidence: NeverSent) -> StartPermit {
        StartPermit { ran: self.earlier }
    }

    /// Ends the request when the attempt can neither be settled nor continued.
    pub fn refused(self, body: refusal::RefusalBody) -> refused::Refused {
        let ran = self.earlier.and(self.observed());
        refused::Refused::with_evidence(body, ran)
    }

    const fn observed(&self) -> outcome::RanState {
        if self.seen_running {
            outcome::RanState::Yes
        } else {
            outcome::RanState::Unknown
        }
    }

    fn into_start_permit(self) -> StartPermit {
        StartPermit {
            ran: self.earlier.and(self.observed()),
        }
    }
}

impl AttemptTicket<CallKind> {
    /// Allows another attempt although this one may have run; only for calls that may be repeated.
    pub fn repeated(self, _permit: RepeatPermit) -> StartPermit {
        self.into_start_permit()
    }
}

impl AttemptTicket<GenerationKind> {
    /// Records that the server delivered a token or the end of this attempt.
    pub const fn saw_running(&mut self) {
        self.seen_running = true;
    }

    /// Settles an attempt whose cancellation was answered: it does not run from here on.
    ///
    /// An answer of "not held" does not mean "did not run": a restarted server process knows
    /// nothing of an attempt that its previous incarnation ran, and the caller would get "not run"
    /// for work that was done.
    pub fn cancelled(self, answer: &port::CancelAnswer) -> StartPermit {
        let this_attempt = match answer {
            _ if self.seen_running => outcome::RanState::Yes,
            port::CancelAnswer::Known { ran: true, .. } => outcome::RanState::Yes,
            port::CancelAnswer::Known { ran: false, .. } => outcome::RanState::No,
            port::CancelAnswer::Remembered => outcome::RanState::Unknown,
        };
        StartPermit {
            ran: self.earlier.and(this_attempt),
        }
    }

    /// Settles an attempt whose server process has ended: the server refuses connections, so the
    /// attempt no longer runs.
    pub fn server_died(self) -> StartPermit {
        self.into_start_permit()
    }

    /// Abandons an attempt without settling it; a background task continues to cancel it.
    pub(crate) fn abandoned(self) -> StartPermit {
        self.into_start_permit()
    }

    /// Converts the ticket when a token is sent to the caller: no other generation may be started
    /// from here on.
    pub const fn into_relayed(self) -> RelayedAttempt {
        RelayedAttempt { _private: () }
    }
}

/// A generation of which a token has been sent to the caller.
///
/// The attempt cannot become a [`StartPermit`]: a second generation would be appended to the tokens
/// of the first, and the caller would read the mixture as one answer.
#[derive(Debug)]
#[must_use = "an answer that has started must be ended"]
pub struct RelayedAttempt {
    _private: (),
}

impl RelayedAttempt {
    /// Resumes a generation that another entry VM, or this one earlier, started to relay.
    pub(crate) const fn continued() -> Self {
        Self { _private: () }
    }

    /// Creates a refusal that ends this stream before the rest of the answer.
    pub fn refused(&self, body: refusal::RefusalBody) -> refused::Refused {
        refused::Refused::with_evidence(body, outcome::RanState::Yes)
    }
}

/// Outcome of one attempt.
#[derive(Debug)]
pub enum AttemptOutcome<T, K> {
    /// The attempt is proved not to have run.
    NotRun {
        /// Permit for another attempt or for a refusal.
        permit: StartPermit,
        /// Cause of the failure.
        cause: String,
    },
    /// The attempt ran; contains its answer.
    Ran(T),
    /// The attempt may have run; the ticket allows another attempt only for a repeatable call.
    Unknown {
        /// Ticket for a refusal that states this.
        ticket: AttemptTicket<K>,
        /// Cause of the failure.
        cause: String,
        /// Code of the server's answer if another attempt would be refused as well.
        permanent_refusal: Option<refusal::RefusalCode>,
    },
}

/// Permission by the rules to repeat this call.
#[derive(Clone, Copy, Debug)]
pub struct RepeatPermit {
    _private: (),
}

impl RepeatPermit {
    /// Creates the permit for a call that was classified as idempotent.
    pub(crate) const fn idempotent() -> Self {
        Self { _private: () }
    }
}
