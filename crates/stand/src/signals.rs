//! What a stand-in states of itself in the headers of its answers.

use std::sync;

use rocket::fairing;

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

    /// Adds the headers to each answer.
    pub(crate) fn fairing(&self) -> impl fairing::Fairing + use<> {
        let signals = self.clone();
        fairing::AdHoc::on_response("signals", move |_, response| {
            let state = *signals.lock();
            Box::pin(async move {
                if let Some(limit) = state.limit_per_second {
                    response.set_raw_header("Server-Limit", limit.to_string());
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
