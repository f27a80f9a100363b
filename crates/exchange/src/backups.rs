//! Proactive copies of generations.

use tokio::time;

use crate::{catalog, fleet, forecast, pauses, place, request, state};

/// Min expected output tokens of a generation for a proactive copy: a shorter one ends before its
/// engine does.
const MIN_BACKUP_OUTPUT_TOKENS: f64 = 64.0;

impl state::PlaneState {
    /// Chooses the server for a proactive copy of a generation; `None` if the copy is not worth its
    /// memory.
    pub fn backup_for(
        &mut self,
        request: &request::ExchangeRequest,
        server: fleet::ServerKey,
        engine: &catalog::EngineRule,
        now: time::Instant,
    ) -> Option<fleet::ServerKey> {
        let size = request.size.as_ref()?;
        if !self.settings.backups || !engine.backups {
            return None;
        }
        let output = forecast::expected_output(size, 0);
        if output < MIN_BACKUP_OUTPUT_TOKENS {
            return None;
        }
        let wanted = place::CopyRequest {
            source: server,
            tokens: forecast::planned_tokens(size),
            proactive: true,
            service: &request.service,
            need: pauses::PauseNeed::of(size, 0, request.max_pause, engine),
        };
        let (fleet, rng) = self.fleet_and_rng();
        place::choose_copy(fleet, engine, &wanted, now, rng)
    }
}
