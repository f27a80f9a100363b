//! Records that servers crash under requests, or that requests run well, and refuses those that crash
//! servers.
//!
//! A request that breaks off does not tell a crash from a link that was cut. A process that has ended
//! refuses new connections, so this VM opens one. A link may refuse them, too: then another VM has
//! answers of the server, and tells so.

use std::rc;

use base::outcome;
use crash::table;
use tokio::time;

use crate::{content, crashes, fleet, plane, port, reply, request, server};

/// Maximum time for which an attempt that was broken off waits for the check of its server. A server
/// that is reached answers the check in a millisecond.
const MAX_CHECK_WAIT: time::Duration = time::Duration::from_millis(20);

impl<P: port::ServerPort + 'static> plane::ExchangePlane<P> {
    /// Checks whether a server crashed that is not reached, if attempts were dropped there a short time
    /// ago.
    pub(crate) fn check_dropped(self: &rc::Rc<Self>, server: fleet::ServerKey) {
        let now = time::Instant::now();
        let Some(hash) = self.hash_at_work(server, now) else {
            return;
        };
        if self.state().crashes.begin_check_of_dropped(hash, now) {
            tokio::task::spawn_local(check_server(self.clone(), server, hash));
        }
    }

    /// Hash of the incarnation of a server whose end is a crash; `None` if it is known to leave.
    fn hash_at_work(&self, server: fleet::ServerKey, now: time::Instant) -> Option<u64> {
        let state = self.state();
        let record = state.fleet.server(server);
        let record = record.filter(|record| record.takes_work(now));
        record.map(server::ServerRecord::incarnation_hash)
    }

    /// Records that a server broke a request off, and checks whether it crashed. Returns whether it
    /// is known to run.
    pub(crate) async fn record_broken(
        self: &rc::Rc<Self>,
        server: fleet::ServerKey,
        request: &request::ExchangeRequest,
        moment: crashes::BreakMoment,
    ) -> bool {
        let now = time::Instant::now();
        let Some(hash) = self.hash_at_work(server, now) else {
            return false;
        };
        let is_first = {
            let crashes = &mut self.state().crashes;
            crashes.record_broken(hash, request, moment, now)
        };
        if is_first {
            tokio::task::spawn_local(check_server(self.clone(), server, hash));
        }
        let size = request.size.as_ref();
        let parts = size.map_or_else(Vec::new, request::GenerationSize::part_hashes);
        log::info!(
            request:% = request.id, server:% = self.server_id(server),
            fingerprint = request.fingerprint, parts:?, moment:?;
            "request broke off; checking its server"
        );
        let until = now + MAX_CHECK_WAIT;
        while self.state().crashes.is_unchecked(hash) {
            let checked = self.servers_checked.notified();
            if time::timeout_at(until, checked).await.is_err() {
                return false;
            }
        }
        self.state().crashes.has_taken_check(hash, now)
    }
}

/// An attempt that a server may be at work on. Dropped before it is settled, it was given up: its
/// caller left, its time was over or another attempt answered.
#[derive(Debug)]
pub(crate) struct AttemptWatch<P> {
    plane: rc::Rc<plane::ExchangePlane<P>>,
    server: fleet::ServerKey,
    request: rc::Rc<request::ExchangeRequest>,
    settled: bool,
}

impl<P> AttemptWatch<P> {
    pub(crate) const fn new(
        plane: rc::Rc<plane::ExchangePlane<P>>,
        server: fleet::ServerKey,
        request: rc::Rc<request::ExchangeRequest>,
    ) -> Self {
        Self {
            plane,
            server,
            request,
            settled: false,
        }
    }

    /// Ends the watch of an attempt whose end is known.
    pub(crate) fn settle(mut self) {
        self.settled = true;
    }
}

impl<P> Drop for AttemptWatch<P> {
    fn drop(&mut self) {
        if !self.settled {
            self.plane.record_dropped(self.server, &self.request);
        }
    }
}

/// Checks whether a server crashed that broke requests off.
async fn check_server<P: port::ServerPort + 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    server: fleet::ServerKey,
    hash: u64,
) {
    let outcome = match plane.target(server) {
        Some(target) => plane.port.probe(target).await,
        None => port::ProbeOutcome::Unreached,
    };
    let crashed = outcome == port::ProbeOutcome::Refused;
    let now = time::Instant::now();
    if outcome == port::ProbeOutcome::Reached {
        plane.state().crashes.record_check_taken(hash, now);
    }
    let contents = plane.state().crashes.record_check(hash, crashed, now);
    log::info!(
        server:% = plane.server_id(server), outcome:?, contents:?;
        "server that broke requests off was checked"
    );
    plane.save_crashes();
    if contents.is_some() {
        metrics::counter!("pollenchute_exchange_crashes_total").increment(1);
        plane.announce();
        plane.wake_decisions();
    }
    plane.servers_checked.notify_waiters();
}

impl<P> plane::ExchangePlane<P> {
    /// Records that a request ran well so far.
    pub(crate) fn record_ran_well(
        &self,
        request: &request::ExchangeRequest,
        extent: table::RunExtent,
    ) {
        let contents = content::ContentKey::all_of(request);
        self.clear_contents(request, contents, extent);
    }

    /// Records that the parts of a prompt ran well, since an answer went on for long.
    pub(crate) fn record_parts_ran_well(&self, request: &request::ExchangeRequest) {
        let mut contents = content::ContentKey::all_of(request);
        contents.retain(|content| !matches!(content, content::ContentKey::Request(_)));
        self.clear_contents(request, contents, table::RunExtent::Whole);
    }

    fn clear_contents(
        &self,
        request: &request::ExchangeRequest,
        contents: Vec<content::ContentKey>,
        extent: table::RunExtent,
    ) {
        let now = time::Instant::now();
        let cleared = self.state().crashes.record_ran_well(contents, extent, now);
        if !cleared.is_empty() {
            log::info!(
                request:% = request.id, fingerprint = request.fingerprint, extent:?, cleared:?;
                "request ran well, which clears its contents of crashes"
            );
        }
        self.save_crashes();
    }

    /// Records that this VM dropped an attempt while its server may have been at work on it.
    pub(crate) fn record_dropped(
        &self,
        server: fleet::ServerKey,
        request: &request::ExchangeRequest,
    ) {
        let now = time::Instant::now();
        {
            let state = &mut *self.state();
            if let Some(record) = state.fleet.server(server) {
                let hash = record.incarnation_hash();
                state.crashes.record_dropped(hash, request, now);
            }
        }
        log::info!(
            request:% = request.id, server:% = self.server_id(server),
            fingerprint = request.fingerprint;
            "attempt was dropped before its end"
        );
        metrics::counter!("pollenchute_exchange_dropped_attempts_total").increment(1);
    }

    /// Lets causes of crashes be saved that this VM found to have changed.
    pub(crate) fn save_crashes(&self) {
        if self.state().crashes.unsaved.take() {
            self.crashes_unsaved.notify_one();
        }
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
        let quarantine = self.state().crashes.quarantine(request, now);
        let cause = quarantine.map(|(content, _)| content);
        let left = quarantine.map(|(_, left_ms)| time::Duration::from_millis(left_ms));
        let breadth = match cause {
            Some(content::ContentKey::Request(_)) | None => "request",
            Some(content::ContentKey::OwnPart(_)) => "own_part",
            Some(content::ContentKey::Part(_)) => "part",
        };
        metrics::counter!("pollenchute_exchange_quarantined_total", "breadth" => breadth)
            .increment(1);
        log::info!(
            request:% = request.id, fingerprint = request.fingerprint, cause:?,
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
