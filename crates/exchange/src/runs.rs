//! Tries that this VM has on servers.

use tokio::time;

use crate::{ask, fleet, forecast};

/// One try that this VM has on a server.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Where it runs.
    pub server: fleet::ServerKey,
    /// Server that holds a copy.
    pub backup: Option<fleet::ServerKey>,
    /// Where it is to go.
    pub moving_to: Option<fleet::ServerKey>,
    /// After a copy that failed, no other is ordered before then.
    pub move_after: Option<time::Instant>,
    /// Present for generations.
    pub size: Option<ask::GenerationSize>,
    /// Tokens produced so far.
    pub produced: u32,
    /// When it was sent to `server`.
    pub started: time::Instant,
    /// When its first event came.
    pub first_at: Option<time::Instant>,
}

impl RunRecord {
    /// Tokens that it is expected to produce in all, given how far it has come.
    #[must_use]
    pub fn expected_output(&self) -> f64 {
        let Some(size) = &self.size else { return 0.0 };
        forecast::expected_output(size, self.produced)
    }

    /// Memory that is planned for it: never less than it holds.
    #[must_use]
    pub fn planned_tokens(&self) -> u64 {
        match &self.size {
            Some(size) => forecast::planned_tokens(size).max(self.held_tokens()),
            None => 0,
        }
    }

    /// Memory that it holds now.
    #[must_use]
    pub fn held_tokens(&self) -> u64 {
        let prompt = self.size.as_ref().map_or(0, |size| size.prompt_tokens);
        u64::from(prompt) + u64::from(self.produced)
    }

    /// Time that it is expected to go on for.
    #[must_use]
    pub fn expected_rest(&self, now: time::Instant) -> time::Duration {
        let rest = (self.expected_output() - f64::from(self.produced)).max(0.0);
        let pace = match self.first_at {
            Some(first) if self.produced >= 16 => {
                let ran = now.saturating_duration_since(first).as_secs_f64() * 1_000.0;
                (ran / f64::from(self.produced)).clamp(1.0, 100.0)
            }
            _ => forecast::TOKEN_MS,
        };
        time::Duration::from_secs_f64(rest * pace / 1_000.0)
    }

    /// Prompt tokens that its engine has still to read.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        match (&self.size, self.first_at) {
            (Some(size), None) => u64::from(size.prompt_tokens),
            _ => 0,
        }
    }
}
