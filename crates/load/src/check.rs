//! Checks answers: every token once, in order, from a single generation, complete, and belonging to
//! the caller's own request.
//!
//! A token of a stand-in engine contains its generation, its number, and the mark that the caller
//! put into the prompt, so that a token of another generation or another call is detected.

use stand::engine::text;

/// Properties that one answer must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// Mark in the prompt.
    pub mark: u32,
    /// Number of tokens of the complete answer; absent when only the engine knows it.
    pub token_count: Option<u32>,
}

/// Violation found in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerError {
    /// Tokens are missing, in the middle or at the end.
    Cut {
        /// Description of the observation.
        seen: String,
    },
    /// A token belongs to another answer.
    Mixed {
        /// Description of the observation.
        seen: String,
    },
    /// A token arrived twice, or a call that must not be repeated ran twice.
    Doubled {
        /// Description of the observation.
        seen: String,
    },
}

/// Checks one answer while it arrives.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    expected: ExpectedAnswer,
    /// Number of the next token; every lower-numbered token has arrived exactly once.
    next: u32,
    /// Generation tag of the first token.
    tag: Option<u32>,
}

impl AnswerCheck {
    /// Creates a check against `expected`.
    #[must_use]
    pub const fn new(expected: ExpectedAnswer) -> Self {
        Self {
            expected,
            next: 0,
            tag: None,
        }
    }

    /// Returns the number of the next token, from which a broken stream is continued.
    #[must_use]
    pub const fn next(&self) -> u32 {
        self.next
    }

    /// Checks the token that arrived as number `index` of the stream.
    pub fn check_token(&mut self, index: u32, word: &str) -> Result<(), AnswerError> {
        let due = self.next;
        let Some(token) = text::read_token(word).filter(|token| token.seq == index) else {
            let seen = format!("{word:?} arrived as token {index}");
            return Err(AnswerError::Mixed { seen });
        };
        if token.mark != Some(self.expected.mark) {
            let seen = format!(
                "{word:?} arrived at the call with mark {:x}",
                self.expected.mark
            );
            return Err(AnswerError::Mixed { seen });
        }
        let tag = *self.tag.get_or_insert(token.tag);
        if token.tag != tag {
            let seen = format!("{word:?} arrived within generation {tag:08x}");
            return Err(AnswerError::Mixed { seen });
        }
        if index < due {
            let seen = format!("token {index} arrived again; expected token {due}");
            return Err(AnswerError::Doubled { seen });
        }
        if index > due {
            let seen = format!("token {index} arrived; expected token {due}");
            return Err(AnswerError::Cut { seen });
        }
        self.next += 1;
        Ok(())
    }

    /// Checks an answer that arrived as one complete response.
    pub fn check_answer(&mut self, answer: &str) -> Result<(), AnswerError> {
        for word in answer.split_whitespace() {
            let index = text::read_token(word).map_or(self.next, |token| token.seq);
            self.check_token(index, word)?;
        }
        self.finish()
    }

    /// Checks the number of tokens after the answer has ended without an error.
    pub fn finish(&self) -> Result<(), AnswerError> {
        let Some(expected) = self.expected.token_count else {
            return Ok(());
        };
        if self.next < expected {
            let seen = format!("ended after {} of {expected} tokens", self.next);
            return Err(AnswerError::Cut { seen });
        }
        if self.next > expected {
            let seen = format!("{} tokens arrived; expected {expected}", self.next);
            return Err(AnswerError::Mixed { seen });
        }
        Ok(())
    }
}
