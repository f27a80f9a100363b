//! Records that servers crash under requests, or that requests run well.

use tokio::time;

use crate::{fleet, plane, request};

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
    }

    /// Records that a request ran well.
    pub(crate) fn record_ran_well(&self, request: &request::ExchangeRequest) {
        let now = time::Instant::now();
        self.state().crashes.record_ran_well(request, now);
    }
}
