//! What a stand-in states of itself in the headers of its answers.

use std::{sync, time};

use rocket::fairing;

use crate::http;

/// Code of the error of a request that is turned away.
const TURNED_AWAY: &str = "turned_away";

/// Statements in all answers of a stand-in, shared between clones.
#[derive(Clone, Debug, Default)]
pub struct StatedSignals {
    state: sync::Arc<sync::Mutex<SignalState>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct SignalState {
    /// Requests per second from all callers together.
    limit_per_second: Option<f64>,
    leaving: bool,
    /// Number of requests that are still turned away, and the rest that each is asked for.
    turned_away: u32,
    rest: time::Duration,
    /// Era of a log.
    era: Option<u64>,
}

impl StatedSignals {
    /// States a limit on requests per second from now on, or none.
    pub fn set_limit(&self, per_second: Option<f64>) {
        self.lock().limit_per_second = per_second;
    }

    /// States from now on whether the stand-in leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// States the era of a log from now on.
    pub fn set_era(&self, era: u64) {
        self.lock().era = Some(era);
    }

    /// Turns the next `count` requests away and asks each caller for `rest`.
    pub fn turn_away(&self, count: u32, rest: time::Duration) {
        let mut state = self.lock();
        state.turned_away = count;
        state.rest = rest;
    }

    /// Answer to a request that is turned away; `None` if it is to run.
    pub(crate) fn take_turn_away(&self) -> Option<http::JsonReply> {
        let mut state = self.lock();
        state.turned_away = state.turned_away.checked_sub(1)?;
        let rest_ms = u64::try_from(state.rest.as_millis()).unwrap_or(u64::MAX);
        let message = "the request did not run; send nothing until the rest is over";
        Some(http::error_after(503, TURNED_AWAY, message, rest_ms))
    }

    /// Adds the headers to each answer.
    pub(crate) fn fairing(&self) -> impl fairing::Fairing + use<> {
        let signals = self.clone();
        fairing::AdHoc::on_response("signals", move |_, response| {
            let state = *signals.lock();
            Box::pin(async move {
                if let Some(limit) = state.limit_per_second {
                    response.set_raw_header("Server-Limit", limit.to_string());
                }
                let refused = response.status() == rocket::http::Status::ServiceUnavailable;
                if refused && !state.rest.is_zero() {
                    let seconds = state.rest.as_secs_f64();
                    response.set_raw_header("Retry-After", seconds.to_string());
                }
                if let Some(era) = state.era {
                    response.set_raw_header("Log-Era", era.to_string());
                }
                if state.leaving {
                    response.set_raw_header("Server-Leaving", "1");
                }
            })
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, SignalState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
