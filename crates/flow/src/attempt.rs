//! One attempt of a generation: delivers its tokens in order across reconnections.

use std::{pin, sync, time::Duration};

use base::{id, refusal};
use tokio::time;
use trace::kind;

use crate::{
    cursor, link_error,
    port::{self, EngineEvents as _, EngineLink as _},
    proof, shared, silence,
};

/// Initial delay before reconnecting after a connection that delivered no event.
const INITIAL_RESUME_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay before reconnecting after a connection that delivered no event.
const MAX_RESUME_DELAY: Duration = Duration::from_millis(800);

/// Next step of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// The next token.
    Token {
        /// Index of the token.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The generation finished and all its tokens were delivered.
    Finished(port::FinishReport),
    /// The attempt was lost; it delivers nothing more.
    Lost(AttemptLoss),
}

/// Loss of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptLoss {
    /// State of the generation as far as it is known.
    pub kind: LossKind,
    /// Human-readable cause.
    pub cause: String,
}

/// State of a lost generation as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossKind {
    /// The server process that ran it has ended.
    ServerDied,
    /// The server answers that it does not hold the generation.
    NotHeld,
    /// The server declined to start it.
    Declined,
    /// The server did not answer within the reconnect timeout.
    Unreachable,
    /// The engine ended it, or the finish report contradicts the tokens that were received.
    Ended,
}

impl LossKind {
    /// The kind of failure that is reported to the scheduler.
    #[must_use]
    pub const fn failure(self) -> port::FailureKind {
        match self {
            Self::ServerDied | Self::NotHeld => port::FailureKind::Broken,
            Self::Declined => port::FailureKind::Rejected,
            Self::Unreachable => port::FailureKind::Silent,
            Self::Ended => port::FailureKind::Errored,
        }
    }
}

type LinkEvents<P> = <<P as port::PortSet>::Engines as port::EngineLink>::Events;

/// A generation that runs on a server.
///
/// Dropping it before the end cancels the generation.
pub struct LiveAttempt<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    request: id::RequestId,
    target: port::ServerTarget,
    cursor: cursor::StreamCursor,
    detector: silence::SilenceDetector,
    /// Fires no later than the detector's deadline, which is then checked again.
    timer: pin::Pin<Box<time::Sleep>>,
    /// Events of the open connection; `None` while disconnected.
    events: Option<LinkEvents<P>>,
    /// Time at which the last working connection failed; `None` while one works.
    broken_at: Option<time::Instant>,
    /// Limit on reconnecting to a generation that delivers no event.
    reconnect_timeout: Duration,
    resume_delay: Duration,
    /// Whether the server ever confirmed that it holds this generation.
    seen_on_server: bool,
    /// Whether dropping this must not cancel the generation.
    released: bool,
}

impl<P: port::PortSet> LiveAttempt<P> {
    /// Sends the start request of a generation.
    pub async fn start(
        shared: sync::Arc<shared::SharedPlane<P>>,
        request: id::RequestId,
        target: port::ServerTarget,
        start_request: &port::StartRequest,
        permit: proof::StartPermit,
        silence_timeout: Duration,
    ) -> proof::AttemptOutcome<
        (Self, proof::AttemptTicket<proof::GenerationKind>),
        proof::GenerationKind,
    > {
        let (send, ticket) = permit.send();
        let limit = shared.settings.call_timeout;
        let answer = {
            let start = shared.ports.engines().start(&target, start_request, send);
            time::timeout(limit, start).await
        };
        let reconnect_timeout = shared.settings.opening_reconnect_timeout;
        let mut live = Self::new(
            shared,
            request,
            target,
            start_request.id,
            0,
            silence_timeout,
            reconnect_timeout,
        );
        match answer {
            Ok(Ok(events)) => {
                live.events = Some(events);
                live.seen_on_server = true;
            }
            Ok(Err(link_error::StartError::NeverSent {
                evidence, cause, ..
            })) => {
                live.released = true;
                return proof::AttemptOutcome::NotRun {
                    permit: ticket.never_sent(evidence),
                    cause,
                };
            }
            Ok(Err(declined @ link_error::StartError::Declined { status, .. })) => {
                // The caller settles this outcome, which cancels; a second cancel would be
                // redundant.
                live.released = true;
                return proof::AttemptOutcome::Unknown {
                    ticket,
                    cause: declined.to_string(),
                    permanent_refusal: permanent_refusal(status),
                };
            }
            // It may have started, so the first step is to reconnect to it.
            Ok(Err(link_error::StartError::Lost { .. })) | Err(_) => {}
        }
        proof::AttemptOutcome::Ran((live, ticket))
    }

    /// Attaches to a generation that already runs, from token `from` on.
    pub(crate) fn continued(
        shared: sync::Arc<shared::SharedPlane<P>>,
        request: id::RequestId,
        target: port::ServerTarget,
        generation: id::GenerationId,
        from: u32,
        limits: (Duration, Duration),
    ) -> Self {
        let (silence_timeout, reconnect_timeout) = limits;
        Self::new(
            shared,
            request,
            target,
            generation,
            from,
            silence_timeout,
            reconnect_timeout,
        )
    }

    fn new(
        shared: sync::Arc<shared::SharedPlane<P>>,
        request: id::RequestId,
        target: port::ServerTarget,
        generation: id::GenerationId,
        from: u32,
        silence_timeout: Duration,
        reconnect_timeout: Duration,
    ) -> Self {
        let now = time::Instant::now();
        let detector = silence::SilenceDetector::new(
            shared.settings.min_silence_timeout,
            silence_timeout,
            now,
        );
        Self {
            shared,
            request,
            target,
            cursor: cursor::StreamCursor::new(generation, from),
            timer: Box::pin(time::sleep_until(detector.give_up_at())),
            detector,
            events: None,
            broken_at: None,
            reconnect_timeout,
            resume_delay: INITIAL_RESUME_DELAY,
            seen_on_server: false,
            released: false,
        }
    }

    /// The server that runs the generation.
    #[must_use]
    pub const fn target(&self) -> &port::ServerTarget {
        &self.target
    }

    /// Identifier of the generation.
    #[must_use]
    pub const fn generation(&self) -> id::GenerationId {
        self.cursor.generation()
    }

    /// Index of the next token.
    #[must_use]
    pub const fn next_index(&self) -> u32 {
        self.cursor.next()
    }

    /// Changes the limit on reconnecting to the generation.
    pub const fn set_reconnect_timeout(&mut self, reconnect_timeout: Duration) {
        self.reconnect_timeout = reconnect_timeout;
    }

    /// Closes the connection; the generation continues to run.
    pub fn disconnect(&mut self) {
        self.events = None;
    }

    /// Disables the cancellation on drop: the generation has ended or is cancelled elsewhere.
    pub const fn release(&mut self) {
        self.released = true;
    }

    /// Opens a connection unless one is open.
    ///
    /// # Errors
    ///
    /// Returns the loss of the attempt.
    pub async fn connect(&mut self) -> Result<(), AttemptLoss> {
        if self.events.is_some() {
            return Ok(());
        }
        self.reconnect().await
    }

    /// Waits for the next token, the end, or the loss of the attempt.
    ///
    /// Cancel safe: dropping the future loses no event.
    pub async fn next(&mut self) -> AttemptStep {
        loop {
            let Some(events) = self.events.as_mut() else {
                match self.reconnect().await {
                    Ok(()) => continue,
                    Err(loss) => return self.fail(loss),
                }
            };
            let event = tokio::select! {
                biased;
                event = events.next() => event,
                () = self.timer.as_mut() => {
                    self.timer_fired();
                    continue;
                }
            };
            match event {
                Ok(tagged) => {
                    if let Some(step) = self.accept(tagged) {
                        return step;
                    }
                }
                Err(fault) => self.connection_failed(&fault.to_string()),
            }
        }
    }

    /// Resets the timer only when it fires, so that a token costs no timer operation.
    fn timer_fired(&mut self) {
        let give_up_at = self.detector.give_up_at();
        if give_up_at <= time::Instant::now() {
            self.connection_failed("silent");
        } else {
            self.timer.as_mut().reset(give_up_at);
        }
    }

    fn accept(&mut self, tagged: port::TaggedEvent) -> Option<AttemptStep> {
        let now = time::Instant::now();
        match self.cursor.accept(tagged) {
            cursor::CursorStep::Deliver { index, text } => {
                self.mark_working();
                self.detector.token(now);
                return Some(AttemptStep::Token { index, text });
            }
            cursor::CursorStep::Alive | cursor::CursorStep::Repeated => {
                self.mark_working();
                self.detector.alive(now);
            }
            cursor::CursorStep::Foreign => {
                metrics::counter!("pollenchute_flow_foreign_events_total").increment(1);
            }
            cursor::CursorStep::Gap => self.connection_failed("tokens are missing"),
            cursor::CursorStep::Finished(report) => return Some(self.finished(report)),
            cursor::CursorStep::Contradiction => {
                let cause = "the engine reports fewer tokens than it sent";
                return Some(self.fail(AttemptLoss {
                    kind: LossKind::Ended,
                    cause: cause.to_owned(),
                }));
            }
        }
        None
    }

    fn finished(&mut self, report: port::FinishReport) -> AttemptStep {
        match report.finish {
            port::FinishReason::Stop | port::FinishReason::Length => {
                self.released = true;
                AttemptStep::Finished(report)
            }
            port::FinishReason::Cancelled | port::FinishReason::Error => self.fail(AttemptLoss {
                kind: LossKind::Ended,
                cause: format!(
                    "the engine ended the generation as {}",
                    crate::chunk::finish_name(report.finish)
                ),
            }),
        }
    }

    fn fail(&mut self, loss: AttemptLoss) -> AttemptStep {
        self.events = None;
        let process_ended = match loss.kind {
            LossKind::ServerDied => true,
            LossKind::NotHeld => self.seen_on_server,
            LossKind::Declined | LossKind::Unreachable | LossKind::Ended => false,
        };
        if process_ended {
            self.shared.record_server_death(&self.target, &loss.cause);
        }
        AttemptStep::Lost(loss)
    }

    const fn mark_working(&mut self) {
        self.seen_on_server = true;
        self.broken_at = None;
        self.resume_delay = INITIAL_RESUME_DELAY;
    }

    fn connection_failed(&mut self, reason: &str) {
        self.events = None;
        metrics::counter!("pollenchute_flow_connections_given_up_total").increment(1);
        self.shared.record(
            self.request,
            kind::EventKind::RequestResumed {
                server: self.target.name.clone(),
                from_token: self.cursor.next(),
                reason: reason.to_owned(),
            },
        );
    }

    /// Opens a new connection to the same generation.
    async fn reconnect(&mut self) -> Result<(), AttemptLoss> {
        // The first reconnect is immediate. After it, a connection that opens but delivers no event
        // counts as failed, like one that does not open, and the reconnect timeout keeps running.
        let mut immediate = self.broken_at.is_none();
        let broken_at = *self.broken_at.get_or_insert_with(time::Instant::now);
        let give_up_at = broken_at + self.reconnect_timeout;
        loop {
            if !std::mem::take(&mut immediate) {
                if time::Instant::now() >= give_up_at {
                    let cause = format!(
                        "{} sent no event before the reconnect timeout",
                        self.target.name
                    );
                    return Err(loss_of(LossKind::Unreachable, cause));
                }
                time::sleep(self.resume_delay).await;
                self.resume_delay = (self.resume_delay * 2).min(MAX_RESUME_DELAY);
            }
            let (target, generation) = (&self.target, self.cursor.generation());
            let engines = self.shared.ports.engines();
            let resume = engines.resume(target, generation, self.cursor.next());
            match time::timeout(self.shared.settings.call_timeout, resume).await {
                Ok(Ok(events)) => {
                    self.connection_opened(events);
                    return Ok(());
                }
                Ok(Err(fault @ link_error::ResumeError::Refused { .. })) => {
                    return Err(loss_of(LossKind::ServerDied, fault.to_string()));
                }
                Ok(Err(fault @ link_error::ResumeError::NotHeld { .. })) => {
                    return Err(loss_of(LossKind::NotHeld, fault.to_string()));
                }
                Ok(Err(link_error::ResumeError::Lost { .. })) | Err(_) => {}
            }
        }
    }

    fn connection_opened(&mut self, events: LinkEvents<P>) {
        self.events = Some(events);
        self.detector.alive(time::Instant::now());
        let give_up_at = self.detector.give_up_at();
        self.timer.as_mut().reset(give_up_at);
    }
}

/// Maps statuses that reject the request itself, so that every engine would answer the same.
const fn permanent_refusal(status: u16) -> Option<refusal::RefusalCode> {
    match status {
        400 | 422 => Some(refusal::RefusalCode::BadRequest),
        413 => Some(refusal::RefusalCode::TooLarge),
        _ => None,
    }
}

const fn loss_of(kind: LossKind, cause: String) -> AttemptLoss {
    AttemptLoss { kind, cause }
}

impl<P: port::PortSet> Drop for LiveAttempt<P> {
    fn drop(&mut self) {
        if !self.released {
            self.shared
                .cancel_in_background(self.target.clone(), self.cursor.generation());
        }
    }
}
