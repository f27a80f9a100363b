//! Permits to send attempts.
//!
//! Whatever sends a request, to a server or to another VM, needs a permit: the port takes no attempt
//! without the proof of one. All permits are issued here. The first attempt of a request needs no
//! repeat; each further one takes one of the allowance, unless no attempt before it can have reached
//! a server.

use std::{cell, rc};

use tokio::time;

use crate::{budget, fleet, repeats, request, state};

/// Maximum number of attempts of one request that are not sent since no connection was made.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Attempts of one request. A request has one such record, at the VM that its caller sent it to;
/// what is handed over is one attempt.
#[derive(Debug, Default)]
pub struct RequestAttempts {
    /// Whether the permit without a repeat is out, or its attempt may have reached a server.
    first_taken: bool,
    /// Attempts that count towards the maximum of the route: those that a server may have run, and
    /// those that are permitted and not sent yet.
    counted: u32,
    /// Attempts that certainly were not sent.
    unsent: u32,
    /// Attempts that may have arrived, without an answer that shows it.
    unanswered: Vec<repeats::SentAttempt>,
}

/// Attempts of a request, shared by all that send it.
pub type SharedAttempts = rc::Rc<cell::RefCell<RequestAttempts>>;

impl RequestAttempts {
    /// Attempts without an answer, to servers.
    pub fn unanswered(&self) -> impl Iterator<Item = (fleet::ServerKey, time::Instant)> {
        let sent = self.unanswered.iter();
        sent.filter_map(|attempt| Some((attempt.server?, attempt.sent_at)))
    }

    /// Whether a server may have run one of the attempts.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.counted > 0
    }

    fn forget(&mut self, attempt: repeats::SentAttempt) {
        self.unanswered.retain(|sent| sent.number != attempt.number);
    }
}

/// What a permit rests on.
#[derive(Debug)]
enum PermitBasis {
    /// No attempt before it can have reached a server.
    First,
    /// A repeat, which counts against the share of this VM.
    Repeat(budget::RepeatKind, repeats::HeldRepeat),
}

impl PermitBasis {
    const fn name(&self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Repeat(kind, _) => kind.name(),
        }
    }

    /// Whether the attempt counts towards the maximum of the route. A run that goes on from a copy is
    /// the same run.
    const fn counts(&self) -> bool {
        !matches!(self, Self::Repeat(budget::RepeatKind::Resume, _))
    }
}

/// Permit to send one attempt. If it is dropped, the attempt is not made and its repeat is free again.
#[derive(Debug)]
pub struct AttemptPermit {
    /// Absent once used.
    basis: Option<PermitBasis>,
    attempts: SharedAttempts,
}

impl AttemptPermit {
    /// What the permit rests on, for logs: `first`, or the kind of the repeat.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.basis.as_ref().map_or("used", PermitBasis::name)
    }
}

impl Drop for AttemptPermit {
    fn drop(&mut self) {
        if let Some(basis) = &self.basis {
            let mut attempts = self.attempts.borrow_mut();
            attempts.counted -= u32::from(basis.counts());
            if matches!(basis, PermitBasis::First) {
                attempts.first_taken = false;
            }
        }
    }
}

/// A permit whose attempt is sent.
#[derive(Debug)]
pub struct UsedPermit {
    is_first: bool,
    /// Whether the attempt counts towards the maximum of the route.
    counts: bool,
    repeat: Option<repeats::SentRepeat>,
    attempts: SharedAttempts,
    attempt: repeats::SentAttempt,
}

/// Proof that one attempt is permitted. It is made once, and given away with the attempt.
#[derive(Debug)]
pub struct PermitProof {
    is_first: bool,
}

impl PermitProof {
    /// Whether the attempt needed no repeat.
    #[must_use]
    pub const fn is_first(&self) -> bool {
        self.is_first
    }
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptArrival {
    /// It has arrived, and a server may have run it or turned it away for its load.
    Arrived,
    /// It has arrived at no server that could have run it.
    Misdirected,
    /// It was certainly not sent.
    Unsent,
    /// It may arrive yet.
    Unknown,
}

impl state::PlaneState {
    /// Issues the permit for the next attempt of a request: without a repeat if no attempt before it
    /// can have reached a server, else with one of this VM's share. `None` if none is left, or if the
    /// route allows no further attempt, if the request is quarantined, or if it would be repeated though
    /// it may be what crashed several servers.
    pub fn permit(
        &mut self,
        request: &request::ExchangeRequest,
        attempts: &SharedAttempts,
        kind: budget::RepeatKind,
        now: time::Instant,
    ) -> Option<AttemptPermit> {
        if self.crashes.quarantine_left(request, now).is_some() {
            return None;
        }
        let is_resume = kind == budget::RepeatKind::Resume;
        let basis = {
            let attempts = attempts.borrow();
            if !is_resume && attempts.counted >= request.attempts.max(1) {
                return None;
            }
            if attempts.unsent >= MAX_UNSENT_ATTEMPTS {
                return None;
            }
            (!attempts.first_taken && !is_resume).then_some(PermitBasis::First)
        };
        let basis = match basis {
            Some(first) => first,
            None if self.crashes.is_suspect(request, now) => return None,
            None => PermitBasis::Repeat(kind, self.take_repeat(request, kind, now)?),
        };
        {
            let mut attempts = attempts.borrow_mut();
            attempts.first_taken |= matches!(basis, PermitBasis::First);
            attempts.counted += u32::from(basis.counts());
        }
        Some(AttemptPermit {
            basis: Some(basis),
            attempts: attempts.clone(),
        })
    }

    /// Uses a permit for an attempt that is sent now, to a server of this VM or to another VM. Its
    /// repeat counts until no attempt of the request can arrive any more.
    pub fn use_permit(
        &mut self,
        mut permit: AttemptPermit,
        server: Option<fleet::ServerKey>,
        now: time::Instant,
    ) -> Option<(UsedPermit, PermitProof)> {
        let basis = permit.basis.take()?;
        let attempt = self.repeats.new_attempt(server, now);
        let attempts = permit.attempts.clone();
        attempts.borrow_mut().unanswered.push(attempt);
        let (is_first, counts) = (matches!(basis, PermitBasis::First), basis.counts());
        let repeat = match basis {
            PermitBasis::First => None,
            PermitBasis::Repeat(_, held) => {
                let unanswered = &attempts.borrow().unanswered;
                self.repeats.await_arrival(held, unanswered)
            }
        };
        let used = UsedPermit {
            is_first,
            counts,
            repeat,
            attempts,
            attempt,
        };
        Some((used, PermitProof { is_first }))
    }

    /// Records what became of an attempt.
    pub fn settle_attempt(
        &mut self,
        used: UsedPermit,
        arrival: AttemptArrival,
        now: time::Instant,
    ) {
        if arrival == AttemptArrival::Unknown {
            return;
        }
        let mut attempts = used.attempts.borrow_mut();
        attempts.forget(used.attempt);
        if arrival != AttemptArrival::Arrived {
            attempts.counted -= u32::from(used.counts);
        }
        if arrival != AttemptArrival::Unsent {
            self.repeats.record_answer(used.attempt, now);
            return;
        }
        attempts.unsent += u32::from(used.counts);
        attempts.first_taken &= !used.is_first;
        self.repeats.record_unsent(used.attempt, now);
        if let Some(repeat) = used.repeat {
            self.repeats.give_back(repeat);
        }
    }
}
