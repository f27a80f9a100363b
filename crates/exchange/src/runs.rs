//! Attempts that this VM has running on servers.

use tokio::time;

use crate::{catalog, fleet, forecast, pauses, request};

/// One attempt that this VM has running on a server.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Server of the attempt.
    pub server: fleet::ServerKey,
    /// Server that holds a proactive copy.
    pub backup: Option<fleet::ServerKey>,
    /// Target of a move in progress.
    pub moving_to: Option<fleet::ServerKey>,
    /// No new copy is started before then, after one failed.
    pub move_after: Option<time::Instant>,
    /// Size of a generation; `None` for calls.
    pub size: Option<request::GenerationSize>,
    /// Tokens produced so far.
    pub produced: u32,
    /// When the attempt was sent.
    pub started: time::Instant,
    /// When the first event arrived.
    pub first_at: Option<time::Instant>,
    /// Maximum pause between two events that the route allows.
    pub max_pause: Option<time::Duration>,
    /// Whether it is a long stream that has had an event, and no pause beyond `max_pause`.
    pub steady: bool,
    /// What was expected when the server was chosen.
    pub expected: pauses::ExpectedPauses,
}

impl RunRecord {
    /// Expected total output, given the output so far.
    #[must_use]
    pub fn expected_output(&self) -> f64 {
        let Some(size) = &self.size else { return 0.0 };
        forecast::expected_output(size, self.produced)
    }

    /// Planned memory, at least the memory in use.
    #[must_use]
    pub fn planned_tokens(&self) -> u64 {
        match &self.size {
            Some(size) => forecast::planned_tokens(size).max(self.used_tokens()),
            None => 0,
        }
    }

    /// Whether it is a stream whose pauses a prompt on its engine may break: it has had an event, is
    /// expected to have at least [`pauses::LONG_EVENTS`], and had no pause beyond the maximum so far.
    #[must_use]
    pub const fn is_steady(&self) -> bool {
        self.steady && self.first_at.is_some()
    }

    /// What it needs of the pauses on an engine to which it moves.
    #[must_use]
    pub fn pause_need(&self, engine: &catalog::EngineRule) -> pauses::PauseNeed {
        let size = self.size.as_ref();
        size.map_or_else(Default::default, |size| {
            pauses::PauseNeed::of(size, self.produced, self.max_pause, engine)
        })
    }

    /// Memory in use.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        let prompt = self.size.as_ref().map_or(0, |size| size.prompt_tokens);
        u64::from(prompt) + u64::from(self.produced)
    }

    /// Expected remaining run time.
    #[must_use]
    pub fn expected_remaining(&self, now: time::Instant) -> time::Duration {
        let tokens = (self.expected_output() - f64::from(self.produced)).max(0.0);
        let ms_per_token = match self.first_at {
            Some(first) if self.produced >= 16 => {
                let ran = now.saturating_duration_since(first).as_secs_f64() * 1_000.0;
                (ran / f64::from(self.produced)).clamp(1.0, 100.0)
            }
            _ => forecast::TOKEN_MS,
        };
        time::Duration::from_secs_f64(tokens * ms_per_token / 1_000.0)
    }

    /// Prompt tokens still to be prefilled.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        match (&self.size, self.first_at) {
            (Some(size), None) => u64::from(size.prompt_tokens),
            _ => 0,
        }
    }
}
