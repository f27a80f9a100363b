//! Executes the decisions: accepts requests, sends attempts and returns responses.

use std::{cell, rc};

use base::outcome;
use tokio::{sync::mpsc, time};

use crate::{
    accusing, catalog, fleet, permit, placing, port, relocate, reply, request, serve_call,
    serve_stream, server, state, wait,
};

/// Interval between checks of waiting requests and due moves, while there are any: a tenth of the
/// time allowed for the fastest decision.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Maximum time between two checks.
const MAX_DECISION_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Interval between sweeps of removed servers.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Interval between updates of the gauges of shares.
const MEASURE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The exchange plane of one VM.
///
/// The plane runs on a single thread; no `RefCell` is borrowed across an await.
#[derive(Debug)]
pub struct ExchangePlane<P> {
    pub(crate) port: P,
    pub(crate) state: cell::RefCell<state::PlaneState>,
    /// Waiting requests, each with the sender for its assignment.
    pub(crate) waiters: cell::RefCell<placing::WaiterTable>,
    /// Senders of relocation orders to the running streams.
    relocation_senders: cell::RefCell<slotmap::SecondaryMap<fleet::RunKey, RelocationSender>>,
    /// Wakes the decision loop: a waiting request may start, or a stream should move.
    pub(crate) decisions_due: tokio::sync::Notify,
    /// Signals a change to be announced to the other VMs at once.
    pub(crate) announce: tokio::sync::Notify,
    /// Signals server updates to be announced.
    pub(crate) updates: tokio::sync::Notify,
    /// Signals a change of this VM's load on servers.
    pub(crate) loads: tokio::sync::Notify,
    /// Signals messages about repeats that are lent.
    pub(crate) loans_due: tokio::sync::Notify,
    /// Signals that another VM may have lent repeats.
    pub(crate) repeats_lent: tokio::sync::Notify,
    /// Signals that a service is cut, or that its servers are reached.
    pub(crate) reach_changed: tokio::sync::Notify,
    /// Signals that it was checked whether a server crashed.
    pub(crate) servers_checked: tokio::sync::Notify,
    /// Signals that causes of crashes changed which are not saved in the store.
    pub(crate) crashes_unsaved: tokio::sync::Notify,
    /// Signals that this VM begins to stop.
    pub(crate) stop_begins: tokio::sync::Notify,
    /// Signals that this VM's system is known, or that the store does not name one.
    pub(crate) identified: tokio::sync::Notify,
    /// Number of requests without a final response.
    open: cell::Cell<usize>,
    /// Number of long answers being sent to other VMs.
    pub(crate) long_sent: cell::Cell<usize>,
}

type RelocationSender = mpsc::UnboundedSender<relocate::RelocationOrder>;

/// An attempt's assignment to a server; freed on drop.
#[derive(Debug)]
pub(crate) struct PlacedRun<P> {
    pub(crate) plane: rc::Rc<ExchangePlane<P>>,
    pub(crate) run: fleet::RunKey,
    pub(crate) server: fleet::ServerKey,
}

impl<P> Drop for PlacedRun<P> {
    fn drop(&mut self) {
        self.plane.state.borrow_mut().fleet.end(self.run);
        self.plane.relocation_senders.borrow_mut().remove(self.run);
        self.plane.announce_loads();
        self.plane.decisions_due.notify_one();
    }
}

/// Counts a request as open until dropped.
#[derive(Debug)]
struct OpenGuard<P>(rc::Rc<ExchangePlane<P>>);

impl<P> Drop for OpenGuard<P> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl<P> ExchangePlane<P> {
    /// Creates a plane over `port`.
    #[must_use]
    pub fn new(port: P, state: state::PlaneState) -> Self {
        Self {
            port,
            state: cell::RefCell::new(state),
            waiters: cell::RefCell::default(),
            relocation_senders: cell::RefCell::default(),
            decisions_due: tokio::sync::Notify::new(),
            announce: tokio::sync::Notify::new(),
            updates: tokio::sync::Notify::new(),
            loads: tokio::sync::Notify::new(),
            loans_due: tokio::sync::Notify::new(),
            repeats_lent: tokio::sync::Notify::new(),
            reach_changed: tokio::sync::Notify::new(),
            servers_checked: tokio::sync::Notify::new(),
            crashes_unsaved: tokio::sync::Notify::new(),
            stop_begins: tokio::sync::Notify::new(),
            identified: tokio::sync::Notify::new(),
            open: cell::Cell::new(0),
            long_sent: cell::Cell::new(0),
        }
    }

    /// Port to the backend servers.
    pub const fn port(&self) -> &P {
        &self.port
    }

    /// State of this VM; the borrow must not be held across an await.
    pub fn state(&self) -> cell::RefMut<'_, state::PlaneState> {
        self.state.borrow_mut()
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<rc::Rc<catalog::RouteCatalog>> {
        self.state.borrow().catalog.clone()
    }

    /// Number of requests without a final response.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    /// Wakes the decision loop after a change that may affect waiting requests or moves.
    pub fn wake_decisions(&self) {
        self.decisions_due.notify_one();
    }

    /// Signals a change of this VM's load on servers.
    pub(crate) fn announce_loads(&self) {
        self.loads.notify_one();
    }

    /// Signals a change to be announced to the other VMs at once.
    pub fn announce(&self) {
        self.announce.notify_one();
    }

    /// Runs the decision loop, and the watch over the pace of engines; never returns.
    pub async fn run_decisions(&self) {
        tokio::join!(self.decide(), self.watch_paces());
    }

    async fn decide(&self) {
        let mut swept_at = time::Instant::now();
        let mut measured_at = swept_at;
        loop {
            let now = time::Instant::now();
            if now.saturating_duration_since(measured_at) >= MEASURE_INTERVAL {
                measured_at = now;
                self.state.borrow_mut().record_shares(now);
                self.state.borrow_mut().record_paces(now);
                self.state.borrow_mut().peers.record_silence(now);
            }
            if now.saturating_duration_since(swept_at) >= SWEEP_INTERVAL {
                swept_at = now;
                self.state.borrow_mut().fleet.sweep(now);
            }
            let busy = self.poll(now);
            if busy {
                time::sleep(POLL_INTERVAL).await;
            } else {
                let due = now + MAX_DECISION_PAUSE;
                let due = self
                    .state
                    .borrow()
                    .fleet
                    .next_lapse_end()
                    .map_or(due, |at| at.min(due));
                let _ = time::timeout_at(due, self.decisions_due.notified()).await;
            }
        }
    }

    /// Starts waiting requests and orders moves. Returns whether the next check is due soon.
    fn poll(&self, now: time::Instant) -> bool {
        self.state.borrow_mut().sample_capacity(now);
        if self.state.borrow_mut().crashes.take_changed() {
            self.release_quarantined();
        }
        let services = self.state.borrow().waiting_services();
        for service in &services {
            self.start_waiting(service, now);
        }
        if self.state.borrow_mut().fleet.settle_evacuations(now) {
            let domains = self.state.borrow().fleet.evacuations().all();
            log::info!(domains:? = domains; "evacuations that the restored store lacks are taken back");
        }
        if !self.state.borrow().reads_store(now) {
            self.state.borrow_mut().fleet.end_distrust(false, now);
        }
        let ended = self.state.borrow_mut().end_lapse_grace(now);
        if !ended.is_empty() {
            self.announce();
        }
        for server in ended {
            log::info!(
                server:? = self.server_id(server);
                "server did not register again after its entry expired"
            );
        }
        let orders = self.state.borrow_mut().relocations(now);
        self.state.borrow_mut().settle_loans(now);
        if self.state.borrow().loans.has_outgoing() {
            self.loans_due.notify_one();
        }
        for (run, order) in orders {
            if let Some(sender) = self.relocation_senders.borrow().get(run) {
                let _ = sender.send(order);
            }
        }
        let state = self.state.borrow();
        let unmoved = state.fleet.runs().any(|(_, run)| {
            run.size.is_some()
                && state
                    .fleet
                    .server(run.server)
                    .is_some_and(|server| !server.takes_work(now))
        });
        !services.is_empty() || unmoved
    }

    fn start_waiting(&self, service: &str, now: time::Instant) {
        let order = self.state.borrow_mut().queue(service).start_order(now);
        for key in order {
            let mut waiters = self.waiters.borrow_mut();
            let index = (service.to_owned(), key);
            let Some(waiter) = waiters.get(&index) else {
                continue;
            };
            let mut state = self.state.borrow_mut();
            let rank = state
                .queue(service)
                .get(key)
                .map(|record| record.basis.rank(now));
            let rank = rank.unwrap_or_default();
            let Ok(placed) = state.place(&waiter.request, &waiter.avoid, rank, now) else {
                // The first request in the queue gets the next free memory: if smaller ones could
                // overtake it, a large one would starve.
                return;
            };
            state.queue(service).start(key, now);
            if let Some(waiter) = waiters.remove(&index)
                && waiter.assigned.send(placed).is_err()
            {
                state.fleet.end(placed.0);
            }
        }
    }

    pub(crate) fn server_id(&self, key: fleet::ServerKey) -> String {
        let state = self.state.borrow();
        state
            .fleet
            .server(key)
            .map_or_else(String::new, |server| server.id.clone())
    }

    /// Target for calls to a server; `None` once a later incarnation uses its name and address.
    pub(crate) fn target(&self, key: fleet::ServerKey) -> Option<port::ServerTarget> {
        let state = self.state.borrow();
        let server = state.fleet.server(key)?;
        if server.superseded {
            return None;
        }
        Some(port::ServerTarget {
            id: server.id.clone(),
            address: server.address,
            known_for: server.known_since.elapsed(),
        })
    }

    pub(crate) fn record_outcome(&self, server: fleet::ServerKey, verdict: server::ServerVerdict) {
        self.state
            .borrow_mut()
            .fleet
            .record_outcome(server, verdict, time::Instant::now());
    }

    /// Takes the signals of an answer to a request that was sent at `sent_at`, and returns the reply.
    pub(crate) fn take_signals<T>(
        &self,
        key: fleet::ServerKey,
        sent_at: time::Instant,
        reply: port::SignalledReply<T>,
    ) -> T {
        let now = time::Instant::now();
        if let Some(signal) = reply.signals.limit
            && self
                .state
                .borrow_mut()
                .take_limit_signal(key, signal, sent_at, now)
        {
            self.announce.notify_one();
            self.decisions_due.notify_one();
        }
        if let Some(signal) = reply.signals.brittle
            && self
                .state
                .borrow_mut()
                .take_brittle_signal(key, signal, sent_at, now)
        {
            self.announce.notify_one();
        }
        if let Some(left) = reply.signals.cold
            && self.state().take_cold_signal(key, left, sent_at, now)
        {
            self.announce.notify_one();
        }
        if let Some(rest) = reply.signals.rest {
            self.take_rest_signal(key, rest);
        }
        if reply.signals.leaving {
            self.take_leaving_signal(key, now);
        }
        if reply.signals.endless {
            self.record_outcome(key, server::ServerVerdict::Failed);
        }
        reply.reply
    }

    /// Takes the statement of a server that it wants nothing from this VM for a while.
    fn take_rest_signal(&self, key: fleet::ServerKey, rest: time::Duration) {
        let now = time::Instant::now();
        self.state.borrow_mut().take_rest_signal(key, rest, now);
        log::info!(
            server:% = self.server_id(key), rest_ms = rest.as_millis();
            "server asks for rest"
        );
    }

    /// Takes the statement of a server that it leaves.
    fn take_leaving_signal(&self, key: fleet::ServerKey, now: time::Instant) {
        if !self.state.borrow_mut().take_leaving_signal(key, now) {
            return;
        }
        log::info!(server:% = self.server_id(key); "server says that it leaves");
        self.announce.notify_one();
        self.decisions_due.notify_one();
    }

    /// Counts a request other than an attempt against the limit of a server.
    pub(crate) fn count_request(&self, key: fleet::ServerKey, kind: &'static str) {
        let now = time::Instant::now();
        self.state.borrow_mut().fleet.count_request(key, now);
        self.count_limited(key, kind);
    }

    /// Returns whether a server may get a request of this VM now.
    pub(crate) fn may_send(&self, key: fleet::ServerKey) -> bool {
        let now = time::Instant::now();
        self.state.borrow().fleet.may_send(key, now)
    }

    /// Returns whether a server states a limit on requests.
    pub(crate) fn is_limited(&self, key: fleet::ServerKey) -> bool {
        let now = time::Instant::now();
        self.state.borrow().fleet.is_limited(key, now)
    }

    /// Returns whether a server limits requests or wants none for a while.
    pub(crate) fn is_restricted(&self, key: fleet::ServerKey) -> bool {
        let now = time::Instant::now();
        self.state.borrow().fleet.is_restricted(key, now)
    }

    /// Counts a request to a server that states a limit in the metrics.
    pub(crate) fn count_limited(&self, key: fleet::ServerKey, kind: &'static str) {
        if self.is_limited(key) {
            metrics::counter!("pollenchute_exchange_limited_requests_total", "kind" => kind)
                .increment(1);
        }
    }

    /// Refusal of a request that certainly did not run.
    pub(crate) fn refuse(
        &self,
        request: &request::ExchangeRequest,
        cause: reply::RefusalCause,
    ) -> reply::Refusal {
        if cause == reply::RefusalCause::Quarantined {
            return self.refuse_quarantined(request);
        }
        let now = time::Instant::now();
        let mut state = self.state.borrow_mut();
        let rank = state.rank_basis(request, now).rank(now);
        let wait = state.queue(&request.service).expected_wait(rank, now);
        let wait = wait.max(state.exhausted_for(request, rank, now));
        let ahead = state.queue(&request.service).ahead(rank, now);
        let next = state.fleet.next_request(&request.service, ahead, now);
        let wait = next.map_or(wait, |at| wait.max(at.saturating_duration_since(now)));
        let draw = state.draw();
        let retry_after = wait::retry_after(wait, request.left(now), draw);
        if request.size.is_some() {
            state
                .returning
                .record_refusal(request.fingerprint, retry_after, now);
        }
        reply::Refusal {
            cause,
            ran: outcome::RanState::No,
            retry_after: Some(retry_after),
        }
    }

    /// Registers a stream for relocation orders and returns their receiver.
    pub(crate) fn relocation_orders(
        &self,
        run: fleet::RunKey,
    ) -> mpsc::UnboundedReceiver<relocate::RelocationOrder> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.relocation_senders.borrow_mut().insert(run, sender);
        self.decisions_due.notify_one();
        self.announce_loads();
        receiver
    }
}

impl<P: port::ServerPort + 'static> ExchangePlane<P> {
    /// Sends one attempt to a server: the only place that does so.
    pub(crate) async fn send_attempt(
        self: &rc::Rc<Self>,
        call: port::ServerCall,
        server: fleet::ServerKey,
        permit: permit::AttemptPermit,
    ) -> port::CallOutcome<P::Body> {
        if self.is_quarantined(&call.request) {
            return port::CallOutcome::NotRun(port::NotRunCause::Quarantined);
        }
        let sent_at = time::Instant::now();
        let used = self.state().use_permit(permit, Some(server), sent_at);
        let Some((used, proof)) = used else {
            return port::CallOutcome::NotRun(port::NotRunCause::Unreachable);
        };
        let started = call.resume.is_none().then(|| call.request.clone());
        let watch = accusing::AttemptWatch::new(self.clone(), server, call.request.clone());
        let reply = self.port.open(call, proof).await;
        watch.settle();
        let outcome = self.take_signals(server, sent_at, reply);
        let now = time::Instant::now();
        let arrival = match &outcome {
            port::CallOutcome::NotRun(
                port::NotRunCause::Unreachable | port::NotRunCause::Quarantined,
            ) => permit::AttemptArrival::Unsent,
            port::CallOutcome::NotRun(port::NotRunCause::Misdirected) => {
                permit::AttemptArrival::Misdirected
            }
            port::CallOutcome::NotRun(port::NotRunCause::Rejected) => {
                self.state().note_turned_away(server, now);
                permit::AttemptArrival::Arrived
            }
            port::CallOutcome::Responded(_) => permit::AttemptArrival::Arrived,
            port::CallOutcome::Lost(_) => permit::AttemptArrival::Unknown,
        };
        if let (port::CallOutcome::Responded(_), Some(request)) = (&outcome, &started) {
            self.state().record_served(request, now);
        }
        self.state().settle_attempt(used, arrival, now);
        self.record_reach(server, sent_at, outcome.reached());
        outcome
    }

    /// Serves one request. The future may be dropped when the caller leaves, which cancels the
    /// attempts of the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is rejected or abandoned on this VM.
    pub async fn serve(
        self: &rc::Rc<Self>,
        request: request::ExchangeRequest,
    ) -> Result<reply::Reply, reply::Refusal> {
        self.open.set(self.open.get() + 1);
        let guard = rc::Rc::new(OpenGuard(self.clone()));
        let request = rc::Rc::new(request);
        let now = time::Instant::now();
        if !request.handed_over {
            self.state.borrow_mut().count_first(&request.service, now);
            self.state.borrow_mut().record_demand(&request, now);
        }
        let stop = self.state.borrow().stop;
        if stop.is_some_and(|stop| now >= stop.accepts_until(&request)) {
            return Err(self.refuse(&request, reply::RefusalCause::Stopping));
        }
        if self.is_quarantined(&request) {
            return Err(self.refuse(&request, reply::RefusalCause::Quarantined));
        }
        self.serve_reached(request, &permit::SharedAttempts::default(), guard)
            .await
    }

    /// Serves one request on this VM.
    pub(crate) async fn serve_here<G: 'static>(
        self: &rc::Rc<Self>,
        request: rc::Rc<request::ExchangeRequest>,
        attempts: &permit::SharedAttempts,
        guard: G,
    ) -> Result<reply::Reply, reply::Refusal> {
        match request.kind {
            catalog::ExchangeKind::Stream => {
                serve_stream::serve(self, request, attempts.clone(), guard).await
            }
            _ => serve_call::serve(self, request, attempts, guard).await,
        }
    }

    /// Remaining time for an attempt sent now.
    pub(crate) fn left(request: &request::ExchangeRequest) -> time::Duration {
        request
            .limit
            .min(request.deadline)
            .saturating_duration_since(time::Instant::now())
    }
}
