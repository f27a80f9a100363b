//! Which events of a stream count: each token once, in order, of one generation.

use base::id;

use crate::port;

/// What an event means for the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CursorStep {
    /// The next token.
    Deliver {
        /// Its number.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The generation lives, nothing else.
    Alive,
    /// A repeat of a token that was delivered.
    Repeated,
    /// It belongs to another generation: an abandoned try, or a crossed answer.
    Foreign,
    /// Tokens before it are missing: this connection cannot be trusted further.
    Gap,
    /// The generation ended and every token of it was delivered.
    Finished(port::FinishReport),
    /// It says that it ended with fewer tokens than were delivered.
    Contradiction,
}

/// Position in one generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamCursor {
    generation: id::GenerationId,
    /// Number of the token that comes next; all before it were delivered.
    next: u32,
}

impl StreamCursor {
    /// A cursor in `generation` before token number `next`.
    #[must_use]
    pub const fn new(generation: id::GenerationId, next: u32) -> Self {
        Self { generation, next }
    }

    /// Number of the token that comes next.
    #[must_use]
    pub const fn next(&self) -> u32 {
        self.next
    }

    /// The generation.
    #[must_use]
    pub const fn generation(&self) -> id::GenerationId {
        self.generation
    }

    /// Takes in one event.
    ///
    /// Events carry the generation that they belong to. What goes wrong otherwise: an answer of
    /// an abandoned try that comes late, or one that crossed with another's, continues this
    /// answer with a text that is not its own; one would notice only by reading it.
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
