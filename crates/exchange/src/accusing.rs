//! Records that servers crash under requests, or that requests run well, and refuses those that crash
//! servers.

use base::outcome;
use tokio::time;

use crate::{fleet, plane, reply, request};

impl<P> plane::ExchangePlane<P> {
    /// Records that a server broke a request off as it began.
    pub(crate) fn record_crash(
        &self,
        server: fleet::ServerKey,
        request: &request::ExchangeRequest,
    ) {
        let now = time::Instant::now();
        let mut state = self.state();
        let Some(record) = state.fleet.server(server) else {
            return;
        };
        if !record.takes_work(now) {
            return;
        }
        let (id, hash) = (record.id.clone(), record.incarnation_hash());
        if !state.crashes.record_crash(hash, request, now) {
            return;
        }
        drop(state);
        let size = request.size.as_ref();
        let parts = size.map_or_else(Vec::new, request::GenerationSize::part_hashes);
        log::info!(
            request:% = request.id, server:% = id, fingerprint = request.fingerprint, parts:?;
            "suspect of a crash"
        );
        self.announce();
        self.wake_decisions();
    }

    /// Records that a request ran well.
    pub(crate) fn record_ran_well(&self, request: &request::ExchangeRequest) {
        let now = time::Instant::now();
        self.state().crashes.record_ran_well(request, now);
    }

    /// Whether a request must not be sent to any server.
    pub(crate) fn is_quarantined(&self, request: &request::ExchangeRequest) -> bool {
        let now = time::Instant::now();
        self.state().crashes.quarantine_left(request, now).is_some()
    }

    /// Refusal of a request that got no permit.
    pub(crate) fn refuse_unpermitted(&self, request: &request::ExchangeRequest) -> reply::Refusal {
        let cause = if self.is_quarantined(request) {
            reply::RefusalCause::Quarantined
        } else {
            reply::RefusalCause::Rejected
        };
        self.refuse(request, cause)
    }

    /// Refusal of a request that is quarantined, until its quarantine ends.
    pub(crate) fn refuse_quarantined(&self, request: &request::ExchangeRequest) -> reply::Refusal {
        let now = time::Instant::now();
        let left = self.state().crashes.quarantine_left(request, now);
        log::info!(
            request:% = request.id, fingerprint = request.fingerprint,
            left_ms:? = left.map(|left| left.as_millis());
            "request is quarantined"
        );
        reply::Refusal {
            cause: reply::RefusalCause::Quarantined,
            ran: outcome::RanState::No,
            retry_after: left,
        }
    }

    /// Ends the waits of requests that are quarantined.
    pub(crate) fn release_quarantined(&self) {
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|_, waiter| !self.is_quarantined(&waiter.request));
    }
}
