//! Detects that this VM has lost its links to servers, and hands its requests over to VMs that
//! reach them.
//!
//! Lookups alone are not enough: callers keep their results for seconds, and connections for
//! longer.

use std::{net, rc, time};

use base::outcome;
use futures_util::{StreamExt as _, stream};
use rand::seq::IndexedRandom as _;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    budget, catalog, endless, fleet, handed, handover, permit, plane, port, reach, reply, request,
    state,
};

/// Maximum number of servers to which connections are tried on a suspicion.
const MAX_SUSPECT_PROBES: usize = 12;
/// Number of servers to which connections are tried while a service is cut.
const MAX_CUT_PROBES: usize = 3;
/// Interval between two trials while a service is cut.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Maximum time for the trials on a suspicion.
const MAX_VERDICT_TIME: time::Duration = time::Duration::from_millis(450);
/// Maximum number of VMs to which a request is handed, one after the other, if none serves it.
const MAX_VMS: usize = 2;
/// Delay after which a caller may return if no VM reaches the servers.
const NO_VM_RETRY: time::Duration = time::Duration::from_millis(500);
/// Parts of a reply buffered for a slow caller.
const MAX_BUFFERED_PARTS: usize = 16;

impl<P: port::ServerPort + 'static> plane::ExchangePlane<P> {
    /// Records whether an attempt that was sent at `sent_at` reached its server.
    pub(crate) fn record_reach(
        self: &rc::Rc<Self>,
        server: fleet::ServerKey,
        sent_at: Instant,
        reached: bool,
    ) {
        let now = Instant::now();
        let mut guard = self.state();
        let state = &mut *guard;
        let Some(record) = state.fleet.server(server) else {
            return;
        };
        let service = record.service.as_str();
        if reached {
            let (hash, service) = (record.incarnation_hash(), service.to_owned());
            state.crashes.record_answer(hash, sent_at);
            if state.reach.record_reached(&service, now) {
                drop(guard);
                self.end_cut(&service);
            }
            return;
        }
        let known = state.fleet.ready(service, now).count();
        let reach = &mut state.reach;
        if reach.record_unreached(service, server, known, sent_at) {
            let service = service.to_owned();
            log::info!(service:% = service, known; "servers are not reached; trying all of them");
            tokio::task::spawn_local(check_links(self.clone(), service));
        }
        drop(guard);
        self.check_dropped(server);
    }

    fn end_cut(&self, service: &str) {
        log::info!(service:%; "servers are reached again");
        metrics::gauge!("pollenchute_exchange_cut_services").decrement(1.0);
        self.reach_changed.notify_waiters();
        self.announce.notify_one();
    }

    /// Whether no server of a service is reached.
    pub(crate) fn is_cut(&self, service: &str) -> bool {
        self.state().reach.stage(service) == reach::ReachStage::Cut
    }

    /// Waits until a suspicion about the service of a request is confirmed or not, or its answer is due;
    /// returns whether the service is cut.
    async fn await_verdict(&self, request: &request::ExchangeRequest) -> bool {
        let until = Instant::now() + MAX_VERDICT_TIME;
        let due = self.answer_due(request.limit);
        tokio::pin!(due);
        loop {
            let stage = self.state().reach.stage(&request.service);
            if stage != reach::ReachStage::Suspect {
                return stage == reach::ReachStage::Cut;
            }
            let changed = self.reach_changed.notified();
            let changed = tokio::select! {
                changed = tokio::time::timeout_at(until, changed) => changed.is_ok(),
                () = &mut due => false,
            };
            if !changed {
                return false;
            }
        }
    }

    /// Serves a request on this VM, or at one that reaches the servers if this one does not.
    pub(crate) async fn serve_reached<G: 'static>(
        self: &rc::Rc<Self>,
        request: rc::Rc<request::ExchangeRequest>,
        attempts: &permit::SharedAttempts,
        guard: rc::Rc<G>,
    ) -> Result<reply::Reply, reply::Refusal> {
        if self.is_cut(&request.service) {
            if request.handed_over {
                return Err(self.refuse_cut(&request));
            }
            let handed = self.hand_over(&request, attempts, guard).await;
            return handed.unwrap_or_else(|| Err(self.refuse_cut(&request)));
        }
        let answer = self
            .serve_here(request.clone(), attempts, guard.clone())
            .await;
        let refusal = match &answer {
            Err(refusal) if !request.handed_over => refusal,
            _ => return answer,
        };
        if refusal.ran != outcome::RanState::No || !self.await_verdict(&request).await {
            return answer;
        }
        let handed = self.hand_over(&request, attempts, guard).await;
        handed.unwrap_or(answer)
    }

    /// Refusal of a request whose servers no VM is known to reach.
    fn refuse_cut(&self, request: &request::ExchangeRequest) -> reply::Refusal {
        let refusal = self.refuse(request, reply::RefusalCause::NoServer);
        let retry_after = refusal.retry_after.map(|after| after.max(NO_VM_RETRY));
        reply::Refusal {
            retry_after,
            ..refusal
        }
    }

    /// Hands a request over to another VM, for one attempt each; `None` if none took it.
    async fn hand_over<G: 'static>(
        self: &rc::Rc<Self>,
        request: &rc::Rc<request::ExchangeRequest>,
        attempts: &permit::SharedAttempts,
        guard: rc::Rc<G>,
    ) -> Option<Result<reply::Reply, reply::Refusal>> {
        let mut tried = Vec::new();
        let mut ran = outcome::RanState::No;
        let mut last = None;
        while tried.len() < MAX_VMS {
            let Some(peer) = self.choose_vm(&request.service, &tried) else {
                break;
            };
            let kind = budget::RepeatKind::Retry;
            let permit = self.state().permit(request, attempts, kind, Instant::now());
            let Some(permit) = permit else {
                break;
            };
            tried.push(peer);
            let handing = self.hand_to(peer, request, permit);
            let answer = tokio::select! {
                answer = handing => answer,
                () = self.answer_due(request.limit) => {
                    return Some(Err(lost(reply::RefusalCause::Timeout)));
                }
            };
            let is_idempotent = request.kind == catalog::ExchangeKind::Idempotent;
            match answer {
                Ok(Ok(reply)) => {
                    let failed = reply.status.is_server_error() && is_idempotent;
                    let reply = hold_guard(request, reply, guard.clone());
                    if !failed {
                        return Some(Ok(reply));
                    }
                    ran = outcome::RanState::Yes;
                    last = Some(Ok(reply));
                }
                Ok(Err(refusal)) => {
                    ran = ran.and(refusal.ran);
                    let refusal = reply::Refusal { ran, ..refusal };
                    let repeatable = is_idempotent || ran == outcome::RanState::No;
                    if !repeatable || is_final(&refusal) {
                        return Some(Err(refusal));
                    }
                    last = Some(Err(refusal));
                }
                Err(handover::HandoverError::Unsent) => {}
                Err(handover::HandoverError::Lost) => {
                    ran = ran.and(outcome::RanState::Unknown);
                    last = Some(Err(lost(reply::RefusalCause::ServerLost)));
                    if !is_idempotent {
                        return last;
                    }
                }
            }
        }
        last
    }

    /// Hands a request over to a VM for one attempt: the only place that does so.
    async fn hand_to(
        &self,
        peer: net::SocketAddr,
        request: &request::ExchangeRequest,
        permit: permit::AttemptPermit,
    ) -> Result<handover::HandedAnswer, handover::HandoverError> {
        let now = Instant::now();
        let name = permit.name();
        let (message, used) = {
            let mut state = self.state();
            let used = state.use_permit(permit, None, now);
            let (system, name) = (state.system.number(), &state.settings.name);
            let message = handed::HandedRequest::of(request, system, name, now);
            (message, used)
        };
        let (used, proof) = used.ok_or(handover::HandoverError::Unsent)?;
        let answer = self.port.hand_over(peer, message, proof).await;
        let arrival = arrival_of(&answer);
        let outcome = outcome_name(&answer);
        metrics::counter!("pollenchute_exchange_handed_over_total", "outcome" => outcome)
            .increment(1);
        log::info!(
            request:% = request.id, to:% = peer, service:% = request.service, permit = name, outcome:%;
            "handed over to another VM"
        );
        self.state().settle_attempt(used, arrival, Instant::now());
        answer
    }

    /// Draws a VM that does not say that it is cut from a service.
    fn choose_vm(&self, service: &str, tried: &[net::SocketAddr]) -> Option<net::SocketAddr> {
        let now = Instant::now();
        let hash = state::service_hash(service);
        let mut state = self.state();
        let reaching = state.peers.all().filter(|(_, peer)| {
            let is_cut = peer.cut_off || peer.cut_services.contains(&hash);
            peer.serves(now) && !is_cut
        });
        let addresses = reaching.filter_map(|(_, peer)| peer.handover_address);
        let addresses: Vec<_> = addresses
            .filter(|address| !tried.contains(address))
            .collect();
        addresses.choose(state.rng()).copied()
    }

    /// Tries connections to servers of a service; returns whether one is reached, or none is known.
    async fn probe_servers(&self, service: &str, max: usize) -> bool {
        let now = Instant::now();
        let mut keys: Vec<_> = {
            let state = self.state();
            let ready = state.fleet.ready(service, now);
            ready.map(|(key, _)| key).collect()
        };
        if keys.is_empty() {
            return true;
        }
        keys = keys.sample(self.state().rng(), max).copied().collect();
        let targets = keys.into_iter().filter_map(|key| self.target(key));
        let probes = targets.map(|target| self.port.probe(target));
        let mut probes: stream::FuturesUnordered<_> = probes.collect();
        while let Some(outcome) = probes.next().await {
            if outcome == port::ProbeOutcome::Reached {
                return true;
            }
        }
        false
    }

    /// Ends the waits of requests for a service that is cut.
    fn release_waiters(&self, service: &str) {
        self.waiters
            .borrow_mut()
            .retain(|(waiting, _), _| waiting != service);
    }
}

/// Tries connections to the servers of a service until one is reached.
async fn check_links<P: port::ServerPort + 'static>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    service: String,
) {
    let mut max = MAX_SUSPECT_PROBES;
    loop {
        if plane.probe_servers(&service, max).await {
            let was_cut = plane.state().reach.record_reached(&service, Instant::now());
            if was_cut {
                plane.end_cut(&service);
            }
        }
        if plane.state().reach.stage(&service) == reach::ReachStage::Reached {
            plane.reach_changed.notify_waiters();
            return;
        }
        if plane.state().reach.confirm_cut(&service) {
            let cut_off = plane.state().reach.is_cut_off();
            log::warn!(service:% = service, cut_off; "no server is reached");
            metrics::gauge!("pollenchute_exchange_cut_services").increment(1.0);
            plane.reach_changed.notify_waiters();
            plane.release_waiters(&service);
            plane.announce.notify_one();
        }
        max = MAX_CUT_PROBES;
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Whether a refusal of another VM is that of all.
const fn is_final(refusal: &reply::Refusal) -> bool {
    !matches!(
        refusal.cause,
        reply::RefusalCause::NoServer
            | reply::RefusalCause::Rejected
            | reply::RefusalCause::ServerLost
            | reply::RefusalCause::Stopping
            | reply::RefusalCause::Unconfigured
    )
}

/// What the answer of another VM tells of the attempt that was handed to it.
const fn arrival_of(
    answer: &Result<handover::HandedAnswer, handover::HandoverError>,
) -> permit::AttemptArrival {
    match answer {
        Ok(Ok(_)) => permit::AttemptArrival::Arrived,
        Ok(Err(refusal)) => match refusal.cause {
            // Refused before any attempt.
            reply::RefusalCause::Stopping | reply::RefusalCause::Unconfigured => {
                permit::AttemptArrival::Unsent
            }
            _ if matches!(refusal.ran, outcome::RanState::Unknown) => {
                permit::AttemptArrival::Unknown
            }
            reply::RefusalCause::NoServer => permit::AttemptArrival::Misdirected,
            _ => permit::AttemptArrival::Arrived,
        },
        Err(handover::HandoverError::Unsent) => permit::AttemptArrival::Unsent,
        Err(handover::HandoverError::Lost) => permit::AttemptArrival::Unknown,
    }
}

const fn lost(cause: reply::RefusalCause) -> reply::Refusal {
    reply::Refusal {
        cause,
        ran: outcome::RanState::Unknown,
        retry_after: None,
    }
}

const fn outcome_name(
    answer: &Result<handover::HandedAnswer, handover::HandoverError>,
) -> &'static str {
    match answer {
        Ok(Ok(_)) => "served",
        Ok(Err(_)) => "refused",
        Err(handover::HandoverError::Unsent) => "unsent",
        Err(handover::HandoverError::Lost) => "lost",
    }
}

/// Holds `guard` until the caller has the whole reply, so that a stop of this VM waits for it.
fn hold_guard<G: 'static>(
    request: &rc::Rc<request::ExchangeRequest>,
    reply: reply::Reply,
    guard: rc::Rc<G>,
) -> reply::Reply {
    let reply::ReplyBody::Parts(mut parts) = reply.body else {
        return reply;
    };
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
    let request = request.clone();
    tokio::task::spawn_local(async move {
        let watched = sender.clone();
        let forwarding = async {
            while let Some(part) = parts.recv().await {
                // The send fails if the caller has left, which ends this task.
                match part {
                    reply::StreamPart::Bytes(bytes) => endless::send_part(&sender, bytes).await,
                    reply::StreamPart::End => {
                        let _ = sender.send(reply::StreamPart::End).await;
                        return outcome::EndKind::Whole;
                    }
                }
            }
            outcome::EndKind::Failed
        };
        let end = tokio::select! {
            biased;
            () = watched.closed() => outcome::EndKind::Left,
            () = tokio::time::sleep_until(request.limit) => outcome::EndKind::Failed,
            end = forwarding => end,
        };
        log::info!(request:% = request.id, end:% = end.name(); "answer of another VM ended");
        drop(guard);
    });
    reply::Reply {
        body: reply::ReplyBody::Parts(receiver),
        ..reply
    }
}
