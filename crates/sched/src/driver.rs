//! Runs a [`core::DispatchCore`] on the runtime's clock for the request plane.

use std::{future, sync};

use base::id;
use tokio::{sync as async_sync, time};

use crate::{
    core,
    explain::{self, Decision},
    request::{self, TicketKey},
};

/// Refusal of a request. A refused request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Reason for the refusal.
    pub reason: explain::RefusalReason,
    /// Delay before a retry; `None` if a retry cannot succeed.
    pub retry_after: Option<std::time::Duration>,
}

/// Server on which to start a generation.
#[derive(Clone, Copy, Debug)]
struct GrantedServer {
    server: id::ServerKey,
    priority: u8,
    reason: explain::DispatchReason,
}

/// Channels to the holder of a ticket.
#[derive(Debug)]
struct TicketSlot {
    /// Sends the decision that ends the wait; taken when used.
    answer: Option<async_sync::oneshot::Sender<Result<GrantedServer, RefusedRequest>>>,
    /// Signals the holder to stop the generation.
    preempt: async_sync::watch::Sender<Option<explain::PreemptReason>>,
}

#[derive(Debug)]
struct DriverState {
    core: core::DispatchCore,
    slots: slotmap::SecondaryMap<TicketKey, TicketSlot>,
    /// Empty between calls; kept to reuse its memory.
    decisions: Vec<Decision>,
}

impl DriverState {
    fn poll(&mut self, now: time::Instant) {
        let mut decisions = std::mem::take(&mut self.decisions);
        self.core.poll(now, &mut decisions);
        for decision in decisions.drain(..) {
            self.deliver(decision);
        }
        self.decisions = decisions;
    }

    fn deliver(&mut self, decision: Decision) {
        match decision {
            Decision::Dispatch {
                ticket,
                server,
                priority,
                reason,
            } => {
                let granted = GrantedServer {
                    server,
                    priority,
                    reason,
                };
                self.answer(ticket, Ok(granted));
            }
            Decision::Refuse {
                ticket,
                reason,
                retry_after,
            } => {
                self.answer(
                    ticket,
                    Err(RefusedRequest {
                        reason,
                        retry_after,
                    }),
                );
                self.slots.remove(ticket);
            }
            Decision::Preempt { ticket, reason, .. } => {
                if let Some(slot) = self.slots.get(ticket) {
                    slot.preempt.send_replace(Some(reason));
                }
            }
        }
    }

    /// Sends the decision to the ticket's holder. A failed send is harmless: the guard of a dropped
    /// holder withdraws the ticket.
    fn answer(&mut self, ticket: TicketKey, answer: Result<GrantedServer, RefusedRequest>) {
        let sender = self
            .slots
            .get_mut(ticket)
            .and_then(|slot| slot.answer.take());
        if let Some(sender) = sender {
            let _ = sender.send(answer);
        }
    }
}

#[derive(Debug)]
struct SharedDriver {
    state: sync::Mutex<DriverState>,
    /// Wakes the loop of [`Driver::run`] after a change of the core.
    wake: async_sync::Notify,
}

impl SharedDriver {
    /// Ignores poisoning: each call leaves the state consistent, so it can be used after a panic
    /// elsewhere.
    fn lock(&self) -> sync::MutexGuard<'_, DriverState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn change<R>(&self, change: impl FnOnce(&mut core::DispatchCore, time::Instant) -> R) -> R {
        let now = time::Instant::now();
        let mut state = self.lock();
        let result = change(&mut state.core, now);
        state.poll(now);
        drop(state);
        self.wake.notify_one();
        result
    }

    fn end(&self, ticket: TicketKey, end: impl FnOnce(&mut core::DispatchCore, time::Instant)) {
        self.lock().slots.remove(ticket);
        self.change(end);
    }
}

/// Handle to one decision core. Clones share the core.
#[derive(Clone, Debug)]
pub struct Driver {
    shared: sync::Arc<SharedDriver>,
}

impl Driver {
    /// Creates a driver of `core`. The caller spawns [`Self::run`].
    #[must_use]
    pub fn new(core: core::DispatchCore) -> Self {
        let state = DriverState {
            core,
            slots: slotmap::SecondaryMap::new(),
            decisions: Vec::new(),
        };
        Self {
            shared: sync::Arc::new(SharedDriver {
                state: sync::Mutex::new(state),
                wake: async_sync::Notify::new(),
            }),
        }
    }

    /// Applies a change from outside (servers, reports, organisations), then polls the core and
    /// delivers its decisions.
    pub fn change<R>(&self, change: impl FnOnce(&mut core::DispatchCore, time::Instant) -> R) -> R {
        self.shared.change(change)
    }

    /// Polls the core whenever it is due. Never returns.
    pub async fn run(self) {
        loop {
            let now = time::Instant::now();
            let wake_at = {
                let mut state = self.shared.lock();
                state.poll(now);
                state.core.next_wake(now)
            };
            let notified = self.shared.wake.notified();
            match wake_at {
                Some(wake_at) => {
                    let _ = time::timeout_at(wake_at, notified).await;
                }
                None => notified.await,
            }
        }
    }

    /// Waits until a server is granted. Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Returns [`RefusedRequest`] if the request is refused.
    pub async fn admit(
        &self,
        request: request::GenerationRequest,
    ) -> Result<Grant, RefusedRequest> {
        let (answer, answered) = async_sync::oneshot::channel();
        let (preempt, preempted) = async_sync::watch::channel(None);
        let ticket = {
            let now = time::Instant::now();
            let mut state = self.shared.lock();
            let ticket = state.core.submit(request, now);
            let slot = TicketSlot {
                answer: Some(answer),
                preempt,
            };
            state.slots.insert(ticket, slot);
            ticket
        };
        let guard = TicketGuard {
            shared: self.shared.clone(),
            ticket,
            armed: true,
        };
        self.shared.change(|_, _| ());
        guard.wait(answered, preempted).await
    }
}

/// Withdraws the ticket when it is dropped while armed.
#[derive(Debug)]
struct TicketGuard {
    shared: sync::Arc<SharedDriver>,
    ticket: TicketKey,
    armed: bool,
}

impl TicketGuard {
    async fn wait(
        mut self,
        answered: async_sync::oneshot::Receiver<Result<GrantedServer, RefusedRequest>>,
        preempted: async_sync::watch::Receiver<Option<explain::PreemptReason>>,
    ) -> Result<Grant, RefusedRequest> {
        // The sender stays in the ticket's slot until it is used, so it is never dropped unused.
        match answered.await.expect("a waiting ticket keeps its sender") {
            Ok(granted) => Ok(Grant {
                guard: self,
                granted,
                preempted,
            }),
            Err(refused) => {
                self.armed = false;
                Err(refused)
            }
        }
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if self.armed {
            let ticket = self.ticket;
            self.shared
                .end(ticket, |core, now| core.withdrawn(ticket, now));
        }
    }
}

/// Slot on a server, held until the grant is ended or dropped.
#[derive(Debug)]
pub struct Grant {
    guard: TicketGuard,
    granted: GrantedServer,
    preempted: async_sync::watch::Receiver<Option<explain::PreemptReason>>,
}

impl Grant {
    /// Returns the server on which to start the generation.
    #[must_use]
    pub fn server(&self) -> id::ServerKey {
        self.granted.server
    }

    /// Returns the engine priority of the generation.
    #[must_use]
    pub fn priority(&self) -> u8 {
        self.granted.priority
    }

    /// Returns the reason for the choice of the server and for the wait before it.
    #[must_use]
    pub fn reason(&self) -> &explain::DispatchReason {
        &self.granted.reason
    }

    /// Reports the arrival of `count` further tokens; the first token counts too.
    pub fn progress(&self, count: u32) {
        let now = time::Instant::now();
        self.guard
            .shared
            .lock()
            .core
            .tokens(self.guard.ticket, count, now);
    }

    /// Reports a sign of life from the engine without a token, such as a ping.
    pub fn alive(&self) {
        let now = time::Instant::now();
        self.guard.shared.lock().core.alive(self.guard.ticket, now);
    }

    /// Reports how many of the prompt's tokens the engine found in its cache.
    pub fn cached(&self, tokens: u32) {
        self.guard
            .shared
            .lock()
            .core
            .cached(self.guard.ticket, tokens);
    }

    /// Completes when the generation is to be stopped and restarted later. The caller then cancels
    /// it on its server and calls [`Self::requeue`].
    pub async fn preempted(&mut self) -> explain::PreemptReason {
        let waited = self.preempted.wait_for(Option::is_some).await;
        let reason = waited.ok().and_then(|reason| *reason);
        match reason {
            Some(reason) => reason,
            None => future::pending().await,
        }
    }

    /// Ends the grant of a generation that completed with `produced` tokens in total.
    pub fn finished(mut self, produced: u32) {
        self.guard.armed = false;
        let ticket = self.guard.ticket;
        let shared = &self.guard.shared;
        shared.end(ticket, |core, now| core.finished(ticket, produced, now));
    }

    /// Ends the grant of a generation that failed on its server.
    pub fn failed(mut self, failure: request::FailureKind) {
        self.guard.armed = false;
        let ticket = self.guard.ticket;
        let shared = &self.guard.shared;
        shared.end(ticket, |core, now| core.failed(ticket, failure, now));
    }

    /// Returns the slot and waits for another one, ahead of the organisation's other requests. To
    /// be called only after the generation is known to have stopped on its server.
    ///
    /// # Errors
    ///
    /// Returns [`RefusedRequest`] if the request is refused.
    pub async fn requeue(self) -> Result<Self, RefusedRequest> {
        let (answer, answered) = async_sync::oneshot::channel();
        let (preempt, preempted) = async_sync::watch::channel(None);
        let ticket = self.guard.ticket;
        {
            let mut state = self.guard.shared.lock();
            let slot = TicketSlot {
                answer: Some(answer),
                preempt,
            };
            state.slots.insert(ticket, slot);
        }
        self.guard
            .shared
            .change(|core, now| core.requeued(ticket, now));
        self.guard.wait(answered, preempted).await
    }
}
