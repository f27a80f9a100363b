//! Assigns requests to servers, at once or after a wait.
//!
//! The queue in `wait` orders the waiting requests, and `place` decides which server has capacity.
//! A request waits until it gets a server, its max wait ends, or the memory samples show that it
//! can't start in time.

use std::{collections, rc};

use tokio::{sync::oneshot, time};

use crate::{catalog, fair, fleet, forecast, place, plane, port, reply, request, wait};

/// Waiting requests by service and key in its queue.
pub(crate) type WaiterTable = collections::HashMap<(String, wait::WaitKey), Waiter>;

/// A request that waits for a server.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) request: rc::Rc<request::ExchangeRequest>,
    pub(crate) avoid: Vec<fleet::ServerKey>,
    pub(crate) assigned: oneshot::Sender<(fleet::RunKey, fleet::ServerKey)>,
}

/// Removes a waiting request from its queue when its wait ends for any reason.
struct WaitGuard<'a, P> {
    plane: &'a plane::ExchangePlane<P>,
    index: (String, wait::WaitKey),
}

impl<P> Drop for WaitGuard<'_, P> {
    fn drop(&mut self) {
        self.plane.waiters.borrow_mut().remove(&self.index);
        self.plane
            .state
            .borrow_mut()
            .queue(&self.index.0)
            .remove(self.index.1);
        // If a server was assigned at the same moment, dropping the receiver frees it.
    }
}

impl<P: port::ServerPort + 'static> plane::ExchangePlane<P> {
    /// Assigns a server to an attempt, after a wait if necessary.
    pub(crate) async fn place(
        self: &rc::Rc<Self>,
        request: &rc::Rc<request::ExchangeRequest>,
        avoid: &[fleet::ServerKey],
    ) -> Result<plane::PlacedRun<P>, reply::Refusal> {
        self.place_requeued(request, avoid, &mut None).await
    }

    /// Assigns a server to an attempt that may have waited before: it keeps its position in the
    /// queue.
    pub(crate) async fn place_requeued(
        self: &rc::Rc<Self>,
        request: &rc::Rc<request::ExchangeRequest>,
        avoid: &[fleet::ServerKey],
        waited: &mut Option<wait::WaitRecord>,
    ) -> Result<plane::PlacedRun<P>, reply::Refusal> {
        let now = time::Instant::now();
        if self.starts_until(request).is_some_and(|until| now >= until) {
            return Err(self.refuse(request, reply::RefusalCause::Stopping));
        }
        let basis = waited.map(|record| record.basis);
        let basis = basis.unwrap_or_else(|| self.state.borrow().rank_basis(request, now));
        let rank = basis.rank(now);
        let ahead = self
            .state
            .borrow_mut()
            .queue(&request.service)
            .ahead(rank, now);
        if ahead == 0 {
            let placed = self.state.borrow_mut().place(request, avoid, rank, now);
            match placed {
                Ok((run, server)) => {
                    let mut state = self.state.borrow_mut();
                    let queue = state.queue(&request.service);
                    queue.start_at_once(rank, request.priority, now);
                    return Ok(self.placed(run, server));
                }
                Err(place::PlacementOutcome::NoServer) if !avoid.is_empty() => {
                    return Err(self.refuse(request, reply::RefusalCause::NoServer));
                }
                Err(_) => {}
            }
        }
        self.wait_for_server(request, avoid, waited, basis, now)
            .await
    }

    pub(crate) fn placed(
        self: &rc::Rc<Self>,
        run: fleet::RunKey,
        server: fleet::ServerKey,
    ) -> plane::PlacedRun<P> {
        plane::PlacedRun {
            plane: self.clone(),
            run,
            server,
        }
    }

    async fn wait_for_server(
        self: &rc::Rc<Self>,
        request: &rc::Rc<request::ExchangeRequest>,
        avoid: &[fleet::ServerKey],
        waited: &mut Option<wait::WaitRecord>,
        basis: wait::RankBasis,
        now: time::Instant,
    ) -> Result<plane::PlacedRun<P>, reply::Refusal> {
        let record = match *waited {
            Some(record) => record,
            None => {
                let record = self.wait_record(request, avoid, basis, now);
                record.map_err(|cause| {
                    self.note_over_share(request, cause);
                    self.refuse(request, cause)
                })?
            }
        };
        *waited = Some(record);
        let rank = record.basis.rank(now);
        let (key, ahead, cold) = {
            let mut state = self.state.borrow_mut();
            let cold = state.fleet.cold_count(&request.service, now);
            let queue = state.queue(&request.service);
            let ahead = queue.ahead(rank, now);
            (queue.insert(record), ahead, cold)
        };
        let index = (request.service.clone(), key);
        let (assigned, assignment) = oneshot::channel();
        let waiter = Waiter {
            request: request.clone(),
            avoid: avoid.to_vec(),
            assigned,
        };
        self.waiters.borrow_mut().insert(index.clone(), waiter);
        let receiver = AssignmentReceiver {
            plane: self.clone(),
            assignment,
        };
        let guard = WaitGuard { plane: self, index };
        log::info!(
            request:% = request.id, service:% = request.service, rank = rank.index(), ahead, cold,
            came_back = record.basis.on_time_until.is_none(), over_share = record.basis.penalty;
            "waits for a place"
        );
        self.decisions_due.notify_one();
        self.announce_loads();
        let placed = self.receive_assignment(request, &record, receiver).await;
        let placed = placed.map_err(|cause| self.refusal_cause(request, &record, key, cause));
        drop(guard);
        metrics::histogram!("pollenchute_exchange_waited_seconds")
            .record(now.elapsed().as_secs_f64());
        placed.map_err(|cause| {
            let quarantined = self.is_quarantined(request);
            let quarantined = quarantined.then_some(reply::RefusalCause::Quarantined);
            let cause = quarantined.unwrap_or(cause);
            self.note_over_share(request, cause);
            self.refuse(request, cause)
        })
    }

    /// Waits until a server is assigned, the max wait ends, or the request can't start in time any
    /// more, also since this VM stops.
    async fn receive_assignment(
        &self,
        request: &request::ExchangeRequest,
        record: &wait::WaitRecord,
        receiver: AssignmentReceiver<P>,
    ) -> Result<plane::PlacedRun<P>, reply::RefusalCause> {
        let receiving = receiver.receive();
        tokio::pin!(receiving);
        loop {
            let now = time::Instant::now();
            let stop_begins = self.stop_begins.notified();
            let starts_until = self.starts_until(request);
            let check_at = record.next_check(now);
            let check_at = starts_until.map_or(check_at, |until| until.min(check_at));
            tokio::select! {
                biased;
                placed = &mut receiving => return placed.ok_or(reply::RefusalCause::Patience),
                () = stop_begins => continue,
                () = time::sleep_until(check_at) => {}
            }
            let now = time::Instant::now();
            if starts_until.is_some_and(|until| now >= until) {
                return Err(reply::RefusalCause::Stopping);
            }
            if now >= record.until {
                return Err(reply::RefusalCause::Patience);
            }
            let rank = record.basis.rank(now);
            if record.basis.on_time_until.is_some()
                && self.state.borrow().is_unlikely_to_start(request, rank, now)
            {
                return Err(reply::RefusalCause::Overload);
            }
        }
    }

    /// Queue entry of a new request, or the cause to refuse it at once.
    fn wait_record(
        &self,
        request: &request::ExchangeRequest,
        avoid: &[fleet::ServerKey],
        basis: wait::RankBasis,
        now: time::Instant,
    ) -> Result<wait::WaitRecord, reply::RefusalCause> {
        let stream = request.kind == catalog::ExchangeKind::Stream;
        let max_wait = wait::max_wait(request.left(now), request.target_latency, stream);
        let starts_until = self.starts_until(request);
        let max_wait = starts_until.map_or(max_wait, |until| {
            max_wait.min(until.saturating_duration_since(now))
        });
        let mut state = self.state.borrow_mut();
        let rank = basis.rank(now);
        let ahead = state.queue(&request.service).ahead(rank, now);
        let until = now + max_wait;
        let withheld = state
            .fleet
            .is_withheld(&request.service, avoid, ahead, until, now);
        if withheld {
            let cold = state.fleet.cold_count(&request.service, now);
            log::info!(
                request:% = request.id, service:% = request.service, ahead, cold;
                "no server takes the request in time"
            );
        }
        let queue = state.queue(&request.service);
        if withheld || queue.should_refuse(rank, max_wait, now) {
            let plain = basis.without_penalty().rank(now);
            let plain_refused = withheld || queue.should_refuse(plain, max_wait, now);
            return Err(match plain_refused {
                true => reply::RefusalCause::Overload,
                false => reply::RefusalCause::OverShare,
            });
        }
        if basis.penalty > 0 {
            fair::count_over_share("ranked");
        }
        Ok(wait::WaitRecord {
            priority: request.priority,
            basis,
            order: queue.next_order(),
            until: now + max_wait,
            tokens: request.size.as_ref().map_or(0, forecast::planned_tokens),
        })
    }
}

/// Receiver of an assignment, which may be sent at the moment when the request stops waiting.
struct AssignmentReceiver<P> {
    plane: rc::Rc<plane::ExchangePlane<P>>,
    assignment: oneshot::Receiver<(fleet::RunKey, fleet::ServerKey)>,
}

impl<P> AssignmentReceiver<P> {
    async fn receive(mut self) -> Option<plane::PlacedRun<P>> {
        let (run, server) = (&mut self.assignment).await.ok()?;
        Some(plane::PlacedRun {
            plane: self.plane.clone(),
            run,
            server,
        })
    }
}

impl<P> Drop for AssignmentReceiver<P> {
    fn drop(&mut self) {
        // Without this, an assignment sent at the moment when the caller leaves would never be
        // freed.
        if let Ok((run, _)) = self.assignment.try_recv() {
            self.plane.state.borrow_mut().fleet.end(run);
        }
    }
}
