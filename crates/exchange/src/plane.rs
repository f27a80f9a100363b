//! Performs the decisions: takes requests in, sends tries, answers.

use std::{cell, rc};

use base::outcome;
use tokio::{sync::mpsc, time};

use crate::{
    ask, catalog, fleet, message, placing, port, relocate, reply, serve_call, serve_stream, server,
    state, stopping, wait,
};

/// Time between two looks at what waits and what should move, while there is any: a tenth of the
/// time that the shortest decision may take.
const POLL_GAP: time::Duration = time::Duration::from_millis(20);
/// Time between two sweeps of what is known of servers that went.
const SWEEP_GAP: time::Duration = time::Duration::from_secs(5);

/// The plane of one VM.
///
/// It runs on one thread; nothing is borrowed across an await.
#[derive(Debug)]
pub struct ExchangePlane<P> {
    pub(crate) port: P,
    pub(crate) state: cell::RefCell<state::PlaneState>,
    /// Where each waiting request learns of its place.
    pub(crate) waiters: cell::RefCell<placing::WaiterTable>,
    /// Where each stream learns that it should move.
    movers: cell::RefCell<slotmap::SecondaryMap<fleet::RunKey, MoveSender>>,
    /// Something changed that may let a waiting request start, or make a stream move.
    pub(crate) stirred: tokio::sync::Notify,
    /// Something was learnt that the other VMs should hear at once.
    pub(crate) spread: tokio::sync::Notify,
    /// There is news of servers to be told.
    pub(crate) news: tokio::sync::Notify,
    /// What this VM has on servers changed.
    pub(crate) loads: tokio::sync::Notify,
    /// It is known which system this VM belongs to, or that the store does not say it.
    pub(crate) identified: tokio::sync::Notify,
    /// Requests that have no final answer yet.
    open: cell::Cell<usize>,
    /// Long answers that are being sent to other VMs.
    pub(crate) long_sent: cell::Cell<usize>,
}

type MoveSender = mpsc::UnboundedSender<relocate::RelocationOrder>;

/// A try's place on a server; given back when dropped.
#[derive(Debug)]
pub(crate) struct PlacedRun<P> {
    pub(crate) plane: rc::Rc<ExchangePlane<P>>,
    pub(crate) run: fleet::RunKey,
    pub(crate) server: fleet::ServerKey,
}

impl<P> Drop for PlacedRun<P> {
    fn drop(&mut self) {
        self.plane.state.borrow_mut().fleet.end(self.run);
        self.plane.movers.borrow_mut().remove(self.run);
        self.plane.tell_loads();
        self.plane.stirred.notify_one();
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
    /// A plane over `port`.
    #[must_use]
    pub fn new(port: P, state: state::PlaneState) -> Self {
        Self {
            port,
            state: cell::RefCell::new(state),
            waiters: cell::RefCell::default(),
            movers: cell::RefCell::default(),
            stirred: tokio::sync::Notify::new(),
            spread: tokio::sync::Notify::new(),
            news: tokio::sync::Notify::new(),
            loads: tokio::sync::Notify::new(),
            identified: tokio::sync::Notify::new(),
            open: cell::Cell::new(0),
            long_sent: cell::Cell::new(0),
        }
    }

    /// The servers that this plane sends to.
    pub const fn port(&self) -> &P {
        &self.port
    }

    /// What this VM believes; not to be held across an await.
    pub fn state(&self) -> cell::RefMut<'_, state::PlaneState> {
        self.state.borrow_mut()
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<rc::Rc<catalog::RouteCatalog>> {
        self.state.borrow().catalog.clone()
    }

    /// Requests that have no final answer yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    /// From now on this VM is named to nobody and finishes what it has.
    pub fn stop(&self) {
        let mut state = self.state.borrow_mut();
        state.stage = message::VmStage::Stopping;
        state.stopping_since = Some(time::Instant::now());
        self.spread.notify_one();
    }

    /// Something was learnt that may change what waits or should move.
    pub fn stir(&self) {
        self.stirred.notify_one();
    }

    /// What this VM has on servers changed.
    pub(crate) fn tell_loads(&self) {
        self.loads.notify_one();
    }

    /// Something was learnt that the other VMs should hear at once.
    pub fn spread(&self) {
        self.spread.notify_one();
    }

    /// Keeps looking at what waits and what should move; never ends.
    pub async fn run_decisions(&self) {
        let mut swept_at = time::Instant::now();
        loop {
            let now = time::Instant::now();
            if now.saturating_duration_since(swept_at) >= SWEEP_GAP {
                swept_at = now;
                self.state.borrow_mut().fleet.sweep(now);
            }
            let busy = self.poll(now);
            if busy {
                time::sleep(POLL_GAP).await;
            } else {
                let _ = time::timeout(time::Duration::from_secs(1), self.stirred.notified()).await;
            }
        }
    }

    /// Starts what can start and moves what should; says whether there is more to look at soon.
    fn poll(&self, now: time::Instant) -> bool {
        self.state.borrow_mut().note_room(now);
        let services = self.state.borrow().waiting_services();
        for service in &services {
            self.start_waiting(service, now);
        }
        let ended = self.state.borrow_mut().fleet.end_spared(now);
        for server in ended {
            log::info!(server:? = self.server_id(server); "lapsed entry did not come back");
        }
        let orders = self.state.borrow_mut().relocations(now);
        for (run, order) in orders {
            if let Some(mover) = self.movers.borrow().get(run) {
                let _ = mover.send(order);
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
        let order = self.state.borrow_mut().queue(service).in_order(now);
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
                .map(|record| record.claim.rank(now));
            let rank = rank.unwrap_or_default();
            let Ok(placed) = state.place(&waiter.ask, &waiter.avoid, rank, now) else {
                // Whoever is first gets the next room: were smaller ones let past, a large one
                // would wait for ever.
                return;
            };
            state.queue(service).leave(key);
            if let Some(waiter) = waiters.remove(&index)
                && waiter.told.send(placed).is_err()
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

    /// Where to reach a server; absent once a later incarnation has its name and address.
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

    pub(crate) fn judge(&self, server: fleet::ServerKey, verdict: server::ServerVerdict) {
        self.state
            .borrow_mut()
            .fleet
            .judge(server, verdict, time::Instant::now());
    }

    /// A refusal that promises that the request did not run.
    pub(crate) fn refuse(
        &self,
        ask: &ask::ExchangeAsk,
        cause: reply::RefusalCause,
    ) -> reply::Refusal {
        let now = time::Instant::now();
        let mut state = self.state.borrow_mut();
        let rank = state.claim(ask, now).rank(now);
        let wait = state.queue(&ask.service).expected_wait(rank, now);
        let wait = wait.max(state.closed_for(ask, rank, now));
        let draw = state.draw();
        let retry_after = wait::retry_after(wait, ask.left(now), draw);
        if ask.size.is_some() {
            state.comebacks.refused(ask.fingerprint, retry_after, now);
        }
        reply::Refusal {
            cause,
            ran: outcome::RanState::No,
            retry_after: Some(retry_after),
        }
    }

    /// Where a stream learns that it should move.
    pub(crate) fn moves_of(
        &self,
        run: fleet::RunKey,
    ) -> mpsc::UnboundedReceiver<relocate::RelocationOrder> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.movers.borrow_mut().insert(run, sender);
        self.stirred.notify_one();
        self.tell_loads();
        receiver
    }
}

impl<P: port::ServerPort + 'static> ExchangePlane<P> {
    /// Serves one request. The future may be dropped when its caller leaves: what runs for it is
    /// then given up at once.
    ///
    /// # Errors
    ///
    /// When it is turned away or given up here.
    pub async fn serve(
        self: &rc::Rc<Self>,
        ask: ask::ExchangeAsk,
    ) -> Result<reply::Reply, reply::Refusal> {
        self.open.set(self.open.get() + 1);
        let guard = OpenGuard(self.clone());
        let ask = rc::Rc::new(ask);
        let now = time::Instant::now();
        let quarantined = {
            let mut state = self.state.borrow_mut();
            state.count_first(&ask.service, now);
            state.suspects.is_quarantined(ask.fingerprint, now)
        };
        let since = self.state.borrow().stopping_since;
        if since.is_some_and(|since| !stopping::takes(ask.kind, since, now)) {
            return Err(self.refuse(&ask, reply::RefusalCause::Stopping));
        }
        if quarantined {
            return Err(self.refuse(&ask, reply::RefusalCause::Quarantined));
        }
        match ask.kind {
            catalog::ExchangeKind::Stream => serve_stream::serve(self, ask, guard).await,
            _ => serve_call::serve(self, ask, guard).await,
        }
    }

    /// Time that a try may take when sent now.
    pub(crate) fn left(ask: &ask::ExchangeAsk) -> time::Duration {
        ask.limit
            .min(ask.deadline)
            .saturating_duration_since(time::Instant::now())
    }
}
