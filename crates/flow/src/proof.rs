//! What is known of a request's tries, as types that are moved, never copied.
//!
//! What goes wrong without them: a lost answer is taken for "it did not run", the caller is told
//! so or the call is sent again, and a pass is charged twice. One would notice only from the
//! books. Here, "not run" can be said only by whoever holds a [`NotRunProof`], and sending
//! consumes it; it comes back only through evidence that names its ground.

use std::marker;

use base::{outcome, refusal};

use crate::{port, refused};

/// Proof that nothing of a request has run anywhere.
///
/// A request has it when it arrives, loses it when a try leaves, and regains it only from
/// evidence about that try. Not `Clone`: there is at most one for each request.
#[derive(Debug)]
#[must_use = "a proof that is dropped cannot be had again"]
pub struct NotRunProof {
    _made_here: (),
}

impl NotRunProof {
    /// The proof of a request of which nothing was sent yet.
    pub(crate) const fn at_arrival() -> Self {
        Self { _made_here: () }
    }

    /// A refusal that promises "not run".
    pub fn refused(self, body: refusal::RefusalBody) -> refused::Refused {
        refused::Refused::known(body, outcome::RanState::No)
    }
}

/// Right to send one try; a link consumes it by sending.
#[derive(Debug)]
#[must_use = "a permit is either sent under or given back"]
pub struct SendPermit {
    _made_here: (),
}

impl SendPermit {
    /// Gives the permit back: no byte of the try has left, or the connection was refused.
    ///
    /// Only links call this, and only then: a time limit that passes after the first byte, a
    /// reset, or an answer of any kind is no ground.
    pub const fn never_sent(self) -> NeverSent {
        NeverSent { _made_here: () }
    }
}

/// Evidence that one try was never sent.
#[derive(Debug)]
pub struct NeverSent {
    _made_here: (),
}

/// Right to start a try: the first one, or another after the earlier ones were settled.
#[derive(Debug)]
#[must_use = "without a further try the request must be refused with this"]
pub struct StartPermit {
    /// What is known of all earlier tries together.
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
    /// A permit for tests and benches of links, where nothing stands behind it.
    #[doc(hidden)]
    pub const fn for_tests() -> Self {
        Self {
            ran: outcome::RanState::Unknown,
        }
    }

    /// Splits into what the link consumes and what stays here while the try is out.
    pub const fn send<K>(self) -> (SendPermit, AttemptTicket<K>) {
        let ticket = AttemptTicket {
            earlier: self.ran,
            seen_running: false,
            kind: marker::PhantomData,
        };
        (SendPermit { _made_here: () }, ticket)
    }

    /// What is known of the request so far.
    #[must_use]
    pub const fn ran(&self) -> outcome::RanState {
        self.ran
    }

    /// Ends the request; it says "not run" only if every try was proved not to have run.
    pub fn refused(self, body: refusal::RefusalBody) -> refused::Refused {
        refused::Refused::known(body, self.ran)
    }
}

/// Kind of tickets of generations: one that is settled may be followed by another.
#[derive(Debug)]
pub struct GenerationKind;

/// Kind of tickets of plain service calls: one that is settled may have had its effect all the same.
#[derive(Debug)]
pub struct CallKind;

/// What stays behind while a try is out.
///
/// A generation's turns into a new [`StartPermit`] only by evidence that the try is settled: it was
/// never sent, its cancellation was answered, or its server's process is gone. A call's does so
/// only when it was never sent, or when the rules let the call be repeated:
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
#[must_use = "a try that is out must be settled or reported"]
pub struct AttemptTicket<K> {
    earlier: outcome::RanState,
    /// Whether the server showed that it runs this try.
    seen_running: bool,
    kind: marker::PhantomData<K>,
}

impl<K> AttemptTicket<K> {
    /// The try was never sent.
    pub fn never_sent(self, _evidence: NeverSent) -> StartPermit {
        StartPermit { ran: self.earlier }
    }

    /// The try can neither be settled nor continued: ends the request without another.
    pub fn refused(self, body: refusal::RefusalBody) -> refused::Refused {
        let ran = self.earlier.and(self.known());
        refused::Refused::known(body, ran)
    }

    const fn known(&self) -> outcome::RanState {
        if self.seen_running {
            outcome::RanState::Yes
        } else {
            outcome::RanState::Unknown
        }
    }

    fn settled(self) -> StartPermit {
        StartPermit {
            ran: self.earlier.and(self.known()),
        }
    }
}

impl AttemptTicket<CallKind> {
    /// Another try although this one may have run: only for calls that may be repeated.
    pub fn repeated(self, _permit: RepeatPermit) -> StartPermit {
        self.settled()
    }
}

impl AttemptTicket<GenerationKind> {
    /// The server showed a token of this try.
    pub const fn saw_running(&mut self) {
        self.seen_running = true;
    }

    /// The try's cancellation was answered: it will not run from here on.
    ///
    /// What goes wrong when "not held" is taken for "did not run": a process that was started
    /// since knows nothing of a try that the one before it ran. One would notice a caller told
    /// "not run" for work that had been done.
    pub fn cancelled(self, answer: &port::CancelAnswer) -> StartPermit {
        let this_try = match answer {
            _ if self.seen_running => outcome::RanState::Yes,
            port::CancelAnswer::Known { ran: true, .. } => outcome::RanState::Yes,
            port::CancelAnswer::Known { ran: false, .. } => outcome::RanState::No,
            port::CancelAnswer::Remembered => outcome::RanState::Unknown,
        };
        StartPermit {
            ran: self.earlier.and(this_try),
        }
    }

    /// The server's process is gone: it refuses connections, so the try cannot run on.
    pub fn server_died(self) -> StartPermit {
        self.settled()
    }

    /// The try was given up without settling it; a standing order to cancel it remains.
    pub(crate) fn abandoned(self) -> StartPermit {
        self.settled()
    }

    /// A token is leaving for the caller: no other generation may be started from here on.
    pub const fn into_relayed(self) -> RelayedAttempt {
        RelayedAttempt { _made_here: () }
    }
}

/// A generation of which a token has left for the caller.
///
/// There is no way from here to a [`StartPermit`]: a second generation could only be joined to
/// the first by mixing the two, which the caller would read as one answer.
#[derive(Debug)]
#[must_use = "an answer that has begun must be ended"]
pub struct RelayedAttempt {
    _made_here: (),
}

impl RelayedAttempt {
    /// A generation that another entry VM, or this one earlier, began to relay.
    pub(crate) const fn continued() -> Self {
        Self { _made_here: () }
    }

    /// The rest of the answer is not coming by this stream.
    pub fn refused(&self, body: refusal::RefusalBody) -> refused::Refused {
        refused::Refused::known(body, outcome::RanState::Yes)
    }
}

/// Outcome of one try: three values.
#[derive(Debug)]
pub enum AttemptOutcome<T, K> {
    /// It is proved that the try did not run.
    NotRun {
        /// For another try, or for a refusal.
        permit: StartPermit,
        /// What happened.
        cause: String,
    },
    /// It ran, and this is its answer.
    Ran(T),
    /// It may have run: the ticket allows no other try unless the call may be repeated.
    Unknown {
        /// For a refusal that says so.
        ticket: AttemptTicket<K>,
        /// What happened.
        cause: String,
        /// What the server said that makes another try no use.
        permanent_refusal: Option<refusal::RefusalCode>,
    },
}

/// The rules say that this call may be repeated.
#[derive(Clone, Copy, Debug)]
pub struct RepeatPermit {
    _made_here: (),
}

impl RepeatPermit {
    /// For a call that the classification found to be idempotent.
    pub(crate) const fn idempotent() -> Self {
        Self { _made_here: () }
    }
}
