//! Judges answers: every token once, in order, from a single generation, whole, and the caller's own.
//!
//! A stand-in's token names its generation and its number, and repeats the mark that the caller put
//! into the prompt. A token of another generation or another call is recognised by that.

use stand::engine::text;

/// What one answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// The mark in the prompt.
    pub mark: u32,
    /// Tokens of the whole answer; absent when only the engine knows.
    pub token_count: Option<u32>,
}

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// Tokens are missing, in the middle or at the end.
    Cut {
        /// What was seen.
        seen: String,
    },
    /// A token is not the one that this call must get.
    Mixed {
        /// What was seen.
        seen: String,
    },
    /// A token, or a call that may not be repeated, came twice.
    Doubled {
        /// What was seen.
        seen: String,
    },
}

/// Checks one answer while it arrives.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    expected: ExpectedAnswer,
    /// Number of the next token; every lower one has arrived exactly once.
    next: u32,
    /// The generation that the first token named.
    tag: Option<u32>,
}

impl AnswerCheck {
    /// A check of the answer that must be as `expected`.
    #[must_use]
    pub const fn new(expected: ExpectedAnswer) -> Self {
        Self {
            expected,
            next: 0,
            tag: None,
        }
    }

    /// Number of the next token, where a broken stream continues.
    #[must_use]
    pub const fn next(&self) -> u32 {
        self.next
    }

    /// Takes the token that came as number `index` of the stream.
    pub fn take_token(&mut self, index: u32, word: &str) -> Result<(), AnswerFault> {
        let due = self.next;
        let Some(token) = text::read_token(word).filter(|token| token.seq == index) else {
            let seen = format!("{word:?} came as token {index}");
            return Err(AnswerFault::Mixed { seen });
        };
        if token.mark != Some(self.expected.mark) {
            let seen = format!("{word:?} came to the call marked {:x}", self.expected.mark);
            return Err(AnswerFault::Mixed { seen });
        }
        let tag = *self.tag.get_or_insert(token.tag);
        if token.tag != tag {
            let seen = format!("{word:?} came into the generation {tag:08x}");
            return Err(AnswerFault::Mixed { seen });
        }
        if index < due {
            let seen = format!("token {index} came again where token {due} was due");
            return Err(AnswerFault::Doubled { seen });
        }
        if index > due {
            let seen = format!("token {index} came where token {due} was due");
            return Err(AnswerFault::Cut { seen });
        }
        self.next += 1;
        Ok(())
    }

    /// Takes a whole answer in one piece.
    pub fn take_whole(&mut self, answer: &str) -> Result<(), AnswerFault> {
        for word in answer.split_whitespace() {
            let index = text::read_token(word).map_or(self.next, |token| token.seq);
            self.take_token(index, word)?;
        }
        self.finish()
    }

    /// The answer has ended as if it were whole.
    pub fn finish(&self) -> Result<(), AnswerFault> {
        let Some(expected) = self.expected.token_count else {
            return Ok(());
        };
        if self.next < expected {
            let seen = format!("ended after {} of {expected} tokens", self.next);
            return Err(AnswerFault::Cut { seen });
        }
        if self.next > expected {
            let seen = format!("{} tokens where {expected} are due", self.next);
            return Err(AnswerFault::Mixed { seen });
        }
        Ok(())
    }
}
