//! Filters a stream's events so that each token of one generation is delivered once, in order.

use base::id;

use crate::port;

/// Effect of an event on the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CursorStep {
    /// The next token.
    Deliver {
        /// Its number.
        index: u32,
        /// Its text.
        text: String,
    },
    /// A ping: the generation is still running.
    Alive,
    /// A repeat of a delivered token.
    Repeated,
    /// The event belongs to another generation: an abandoned attempt, or an answer sent on the
    /// wrong connection.
    Foreign,
    /// Tokens before the event are missing, so the rest of this connection is not used.
    Gap,
    /// The generation ended and all its tokens were delivered.
    Finished(port::FinishReport),
    /// The finish reports fewer tokens than were delivered.
    Contradiction,
}

/// Position in one generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamCursor {
    generation: id::GenerationId,
    /// Number of the next token; all before it were delivered.
    next: u32,
}

impl StreamCursor {
    /// Creates a cursor in `generation` before token number `next`.
    #[must_use]
    pub const fn new(generation: id::GenerationId, next: u32) -> Self {
        Self { generation, next }
    }

    /// Number of the next token.
    #[must_use]
    pub const fn next(&self) -> u32 {
        self.next
    }

    /// Generation whose events the cursor accepts.
    #[must_use]
    pub const fn generation(&self) -> id::GenerationId {
        self.generation
    }

    /// Processes one event.
    ///
    /// Events carry their generation. Without this check, a late answer of an abandoned attempt,
    /// or one sent on the wrong connection, would add another generation's text to this answer,
    /// which only a reader of the text would notice.
    pub fn accept(&mut self, tagged: port::TaggedEvent) -> CursorStep {
        if tagged.generation != self.generation {
            return CursorStep::Foreign;
        }
        match tagged.event {
            port::EngineEvent::Ping => CursorStep::Alive,
            port::EngineEvent::Token { seq, .. } if seq < self.next => CursorStep::Repeated,
            port::EngineEvent::Token { seq, .. } if seq > self.next => CursorStep::Gap,
            port::EngineEvent::Token { seq, text } => {
                self.next += 1;
                CursorStep::Deliver { index: seq, text }
            }
            port::EngineEvent::Finish(report) => self.accept_finish(report),
        }
    }

    const fn accept_finish(self, report: port::FinishReport) -> CursorStep {
        if report.produced > self.next {
            CursorStep::Gap
        } else if report.produced < self.next {
            CursorStep::Contradiction
        } else {
            CursorStep::Finished(report)
        }
    }
}
