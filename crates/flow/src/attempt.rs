//! One try of a generation: its tokens in order over however many connections it takes.

use std::{pin, sync, time::Duration};

use base::{id, refusal};
use tokio::time;
use trace::kind;

use crate::{
    cursor, link_error,
    port::{self, EngineEvents as _, EngineLink as _},
    proof, shared, silence,
};

/// First pause between two connections that showed nothing.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two connections that showed nothing.
const LONGEST_RESUME_PAUSE: Duration = Duration::from_millis(800);

/// What came of waiting for a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TryStep {
    /// Its next token.
    Token {
        /// Its number.
        index: u32,
        /// Its text.
        text: String,
    },
    /// It ended whole.
    Finished(port::FinishReport),
    /// Nothing more will come of this try.
    Lost(TryLoss),
}

/// How a try was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TryLoss {
    /// What is known of the generation.
    pub kind: LossKind,
    /// What happened, for people.
    pub cause: String,
}

/// What is known of a generation that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossKind {
    /// Its server's process is gone.
    ServerGone,
    /// Its server answers that it does not hold it.
    NotHeld,
    /// Its server declined to start it.
    Declined,
    /// Its server did not answer for as long as was waited.
    Unreachable,
    /// Its engine ended it, or it contradicts itself.
    Ended,
}

impl LossKind {
    /// The same for the scheduler.
    #[must_use]
    pub const fn failure(self) -> port::FailureKind {
        match self {
            Self::ServerGone | Self::NotHeld => port::FailureKind::Broken,
            Self::Declined => port::FailureKind::Rejected,
            Self::Unreachable => port::FailureKind::Silent,
            Self::Ended => port::FailureKind::Errored,
        }
    }
}

type LinkEvents<P> = <<P as port::PortSet>::Engines as port::EngineLink>::Events;

/// A generation that runs on a server.
///
/// Dropped before its end, its generation is cancelled.
pub struct LiveTry<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    request: id::RequestId,
    target: port::ServerTarget,
    cursor: cursor::StreamCursor,
    gauge: silence::SilenceDetector,
    /// Fires at some time before or at the gauge's, which is then looked at again.
    alarm: pin::Pin<Box<time::Sleep>>,
    /// The connection; absent while there is none.
    events: Option<LinkEvents<P>>,
    /// When the last connection that showed something broke; absent while one works.
    broken_at: Option<time::Instant>,
    /// How long a generation that shows nothing is sought.
    patience: Duration,
    pause: Duration,
    /// Whether the server ever showed that it has this generation.
    held: bool,
    /// Nothing is left to cancel.
    over: bool,
}

impl<P: port::PortSet> LiveTry<P> {
    /// Sends a generation's start.
    pub async fn start(
        shared: sync::Arc<shared::SharedPlane<P>>,
        request: id::RequestId,
        target: port::ServerTarget,
        order: &port::StartOrder,
        permit: proof::StartPermit,
        silent_limit: Duration,
    ) -> proof::TryOutcome<(Self, proof::TryTicket<proof::GenerationKind>), proof::GenerationKind>
    {
        let (send, ticket) = permit.send();
        let limit = shared.settings.call_limit;
        let answer = {
            let start = shared.ports.engines().start(&target, order, send);
            time::timeout(limit, start).await
        };
        let patience = shared.settings.opening_patience;
        let mut live = Self::new(shared, request, target, order.id, 0, silent_limit, patience);
        match answer {
            Ok(Ok(events)) => {
                live.events = Some(events);
                live.held = true;
            }
            Ok(Err(link_error::StartError::NeverSent {
                evidence, cause, ..
            })) => {
                live.over = true;
                return proof::TryOutcome::NotRun {
                    permit: ticket.never_sent(evidence),
                    cause,
                };
            }
            Ok(Err(declined @ link_error::StartError::Declined { status, .. })) => {
                // Settled by whoever reads this outcome; a second cancel would be too many.
                live.over = true;
                return proof::TryOutcome::Unknown {
                    ticket,
                    cause: declined.to_string(),
                    hopeless: hopeless(status),
                };
            }
            // It may have started: it is sought there before anything else is done.
            Ok(Err(link_error::StartError::Lost { .. })) | Err(_) => {}
        }
        proof::TryOutcome::Ran((live, ticket))
    }

    /// A generation that runs already, from token `from` on.
    pub(crate) fn continued(
        shared: sync::Arc<shared::SharedPlane<P>>,
        request: id::RequestId,
        target: port::ServerTarget,
        generation: id::GenerationId,
        from: u32,
        limits: (Duration, Duration),
    ) -> Self {
        let (silent_limit, patience) = limits;
        Self::new(
            shared,
            request,
            target,
            generation,
            from,
            silent_limit,
            patience,
        )
    }

    fn new(
        shared: sync::Arc<shared::SharedPlane<P>>,
        request: id::RequestId,
        target: port::ServerTarget,
        generation: id::GenerationId,
        from: u32,
        silent_limit: Duration,
        patience: Duration,
    ) -> Self {
        let now = time::Instant::now();
        let gauge = silence::SilenceDetector::new(shared.settings.silence_floor, silent_limit, now);
        Self {
            shared,
            request,
            target,
            cursor: cursor::StreamCursor::new(generation, from),
            alarm: Box::pin(time::sleep_until(gauge.give_up_at())),
            gauge,
            events: None,
            broken_at: None,
            patience,
            pause: RESUME_PAUSE,
            held: false,
            over: false,
        }
    }

    /// The server.
    #[must_use]
    pub const fn target(&self) -> &port::ServerTarget {
        &self.target
    }

    /// The generation.
    #[must_use]
    pub const fn generation(&self) -> id::GenerationId {
        self.cursor.generation()
    }

    /// Number of the token that comes next.
    #[must_use]
    pub const fn next_index(&self) -> u32 {
        self.cursor.next()
    }

    /// Seeks the generation for longer, or less long, from here on.
    pub const fn set_patience(&mut self, patience: Duration) {
        self.patience = patience;
    }

    /// Closes the connection; the generation goes on.
    pub fn disconnect(&mut self) {
        self.events = None;
    }

    /// Nothing is left to cancel, or somebody else will.
    pub const fn release(&mut self) {
        self.over = true;
    }

    /// Opens a connection, if there is none.
    ///
    /// # Errors
    ///
    /// The loss of the try.
    pub async fn connect(&mut self) -> Result<(), TryLoss> {
        if self.events.is_some() {
            return Ok(());
        }
        self.reconnect().await
    }

    /// The next token, the end, or the loss. Nothing is lost when the future is dropped.
    pub async fn next(&mut self) -> TryStep {
        loop {
            let Some(events) = self.events.as_mut() else {
                match self.reconnect().await {
                    Ok(()) => continue,
                    Err(loss) => return self.lost(loss),
                }
            };
            let event = tokio::select! {
                biased;
                event = events.next() => event,
                () = self.alarm.as_mut() => {
                    self.alarm_rang();
                    continue;
                }
            };
            match event {
                Ok(tagged) => {
                    if let Some(step) = self.accept(tagged) {
                        return step;
                    }
                }
                Err(fault) => self.broke(&fault.to_string()),
            }
        }
    }

    /// The alarm is set anew only when it rings: a token costs no timer.
    fn alarm_rang(&mut self) {
        let give_up_at = self.gauge.give_up_at();
        if give_up_at <= time::Instant::now() {
            self.broke("silent");
        } else {
            self.alarm.as_mut().reset(give_up_at);
        }
    }

    fn accept(&mut self, tagged: port::TaggedEvent) -> Option<TryStep> {
        let now = time::Instant::now();
        match self.cursor.accept(tagged) {
            cursor::CursorStep::Deliver { index, text } => {
                self.works();
                self.gauge.token(now);
                return Some(TryStep::Token { index, text });
            }
            cursor::CursorStep::Alive | cursor::CursorStep::Repeated => {
                self.works();
                self.gauge.alive(now);
            }
            cursor::CursorStep::Foreign => {
                metrics::counter!("pollenchute_flow_foreign_events_total").increment(1);
            }
            cursor::CursorStep::Gap => self.broke("tokens are missing"),
            cursor::CursorStep::Finished(report) => return Some(self.finished(report)),
            cursor::CursorStep::Contradiction => {
                let cause = "its engine says that it made fewer tokens than it sent";
                return Some(self.lost(TryLoss {
                    kind: LossKind::Ended,
                    cause: cause.to_owned(),
                }));
            }
        }
        None
    }

    fn finished(&mut self, report: port::FinishReport) -> TryStep {
        match report.finish {
            port::FinishReason::Stop | port::FinishReason::Length => {
                self.over = true;
                TryStep::Finished(report)
            }
            port::FinishReason::Cancelled | port::FinishReason::Error => self.lost(TryLoss {
                kind: LossKind::Ended,
                cause: format!(
                    "its engine ended it as {}",
                    crate::chunk::finish_name(report.finish)
                ),
            }),
        }
    }

    fn lost(&mut self, loss: TryLoss) -> TryStep {
        self.events = None;
        let process_ended = match loss.kind {
            LossKind::ServerGone => true,
            LossKind::NotHeld => self.held,
            LossKind::Declined | LossKind::Unreachable | LossKind::Ended => false,
        };
        if process_ended {
            self.shared.note_death(&self.target, &loss.cause);
        }
        TryStep::Lost(loss)
    }

    const fn works(&mut self) {
        self.held = true;
        self.broken_at = None;
        self.pause = RESUME_PAUSE;
    }

    fn broke(&mut self, reason: &str) {
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

    /// Opens a fresh connection to the same generation.
    async fn reconnect(&mut self) -> Result<(), TryLoss> {
        // The first goes out at once; after that a connection that opens and shows nothing
        // counts as no better than one that does not open.
        let mut at_once = self.broken_at.is_none();
        let broken_at = *self.broken_at.get_or_insert_with(time::Instant::now);
        let give_up_at = broken_at + self.patience;
        loop {
            if !std::mem::take(&mut at_once) {
                if time::Instant::now() >= give_up_at {
                    let cause = format!("{} showed nothing for too long", self.target.name);
                    return Err(loss_of(LossKind::Unreachable, cause));
                }
                time::sleep(self.pause).await;
                self.pause = (self.pause * 2).min(LONGEST_RESUME_PAUSE);
            }
            let (target, generation) = (&self.target, self.cursor.generation());
            let engines = self.shared.ports.engines();
            let resume = engines.resume(target, generation, self.cursor.next());
            match time::timeout(self.shared.settings.call_limit, resume).await {
                Ok(Ok(events)) => {
                    self.opened(events);
                    return Ok(());
                }
                Ok(Err(fault @ link_error::ResumeError::Refused { .. })) => {
                    return Err(loss_of(LossKind::ServerGone, fault.to_string()));
                }
                Ok(Err(fault @ link_error::ResumeError::NotHeld { .. })) => {
                    return Err(loss_of(LossKind::NotHeld, fault.to_string()));
                }
                Ok(Err(link_error::ResumeError::Lost { .. })) | Err(_) => {}
            }
        }
    }

    fn opened(&mut self, events: LinkEvents<P>) {
        self.events = Some(events);
        self.gauge.alive(time::Instant::now());
        let give_up_at = self.gauge.give_up_at();
        self.alarm.as_mut().reset(give_up_at);
    }
}

/// What an engine says of the request itself, so that every other engine will say the same.
const fn hopeless(status: u16) -> Option<refusal::RefusalCode> {
    match status {
        400 | 422 => Some(refusal::RefusalCode::BadRequest),
        413 => Some(refusal::RefusalCode::TooLarge),
        _ => None,
    }
}

const fn loss_of(kind: LossKind, cause: String) -> TryLoss {
    TryLoss { kind, cause }
}

impl<P: port::PortSet> Drop for LiveTry<P> {
    fn drop(&mut self) {
        if !self.over {
            self.shared
                .cancel_in_background(self.target.clone(), self.cursor.generation());
        }
    }
}
