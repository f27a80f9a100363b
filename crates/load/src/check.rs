//! Judges answers: every token once, in order, from a single generation, whole, and the caller's own.
//!
//! The stand-in's text follows from the generation's seed and the token's number, so a caller that
//! drew the seed knows each token ahead and recognises one that belongs to another call.

/// The text that one generation must have.
pub trait ExpectedText {
    /// Text of token `index`.
    fn token(&self, index: u32) -> String;

    /// Number of tokens of the whole answer.
    fn token_count(&self) -> u32;
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
pub struct AnswerCheck<E> {
    text: E,
    /// Number of the next token; every lower one has arrived exactly once.
    next: u32,
}

impl<E: ExpectedText> AnswerCheck<E> {
    /// A check of the answer that must have `text`.
    pub const fn new(text: E) -> Self {
        Self { text, next: 0 }
    }

    /// Number of the next token, where a broken stream continues.
    pub const fn next(&self) -> u32 {
        self.next
    }

    /// Takes token `index` of the stream.
    pub fn take_token(&mut self, index: u32, text: &str) -> Result<(), AnswerFault> {
        if index < self.next {
            let seen = format!("token {index} came again after token {}", self.next - 1);
            return Err(AnswerFault::Doubled { seen });
        }
        if index > self.next {
            let seen = format!("token {index} came where token {} was due", self.next);
            return Err(AnswerFault::Cut { seen });
        }
        let expected = self.text.token(index);
        if text != expected {
            let seen = format!("token {index} is {text:?}, must be {expected:?}");
            return Err(AnswerFault::Mixed { seen });
        }
        self.next += 1;
        Ok(())
    }

    /// Takes a whole answer in one piece.
    pub fn take_whole(&mut self, answer: &str) -> Result<(), AnswerFault> {
        let mut rest = answer;
        while !rest.is_empty() {
            let expected = self.text.token(self.next);
            let Some(after) = rest.strip_prefix(expected.as_str()) else {
                return Err(self.fault_at(rest));
            };
            rest = after;
            self.next += 1;
        }
        self.finish()
    }

    /// The answer has ended as if it were whole.
    pub fn finish(&self) -> Result<(), AnswerFault> {
        let expected = self.text.token_count();
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

    /// Names what stands where token `next` was due.
    fn fault_at(&self, rest: &str) -> AnswerFault {
        let start: String = rest.chars().take(SEEN_CHARS).collect();
        let comes_again = (0..self.next).any(|index| rest.starts_with(&self.text.token(index)));
        let seen = format!("{start:?} stands where token {} was due", self.next);
        if comes_again {
            AnswerFault::Doubled { seen }
        } else {
            AnswerFault::Mixed { seen }
        }
    }
}

/// Characters of a wrong answer that a fault quotes.
const SEEN_CHARS: usize = 40;
