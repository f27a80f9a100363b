//! In-memory implementations of ports, for tests and for a plane without a log.

use std::{collections, sync, time::Duration};

use base::{id, refusal};
use conf::rules;
use tokio::{
    sync::{Notify, watch},
    time,
};
use trace::kind;

use crate::{port, view};

/// Time for which a server that failed is avoided if another one is available.
const FAILED_SERVER_BACKOFF: Duration = Duration::from_secs(1);

pub(crate) fn locked<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerLoad {
    running: usize,
    /// A suspect runs on it alone.
    alone: bool,
    avoided_until: Option<time::Instant>,
}

#[derive(Debug)]
struct ScheduleState {
    views: watch::Receiver<sync::Arc<view::PlaneView>>,
    max_concurrent: usize,
    loads: sync::Mutex<collections::BTreeMap<id::ServerKey, ServerLoad>>,
    freed: Notify,
}

/// Places each request on the least loaded server that may take it.
#[derive(Clone, Debug)]
pub struct MemorySchedule {
    state: sync::Arc<ScheduleState>,
}

/// A slot granted by a [`MemorySchedule`].
#[derive(Debug)]
pub struct MemoryGrant {
    state: sync::Arc<ScheduleState>,
    server: id::ServerKey,
    request: port::AdmissionRequest,
}

impl MemorySchedule {
    /// Creates a scheduler that runs at most `max_concurrent` requests on each server.
    #[must_use]
    pub fn new(views: watch::Receiver<sync::Arc<view::PlaneView>>, max_concurrent: usize) -> Self {
        let state = ScheduleState {
            views,
            max_concurrent,
            loads: sync::Mutex::default(),
            freed: Notify::new(),
        };
        Self {
            state: sync::Arc::new(state),
        }
    }
}

impl ScheduleState {
    fn place(&self, request: &port::AdmissionRequest) -> Option<id::ServerKey> {
        let view = self.views.borrow().clone();
        let candidates = match &request.work {
            port::RequestedWork::Generation { model, .. } => view.config.servers_of_model(model),
            port::RequestedWork::Service { service } => view.config.servers_of_service(service),
        };
        let now = time::Instant::now();
        let mut loads = locked(&self.loads);
        let max_concurrent = if request.alone {
            1
        } else {
            self.max_concurrent
        };
        let server = candidates
            .iter()
            .filter(|server| view.takes_work(**server) && !request.avoid.contains(server))
            .map(|server| (loads.get(server).copied().unwrap_or_default(), *server))
            .filter(|(load, _)| load.running < max_concurrent && !load.alone)
            .min_by_key(|(load, server)| {
                let avoided = load.avoided_until.is_some_and(|until| now < until);
                (avoided, load.running, *server)
            })
            .map(|(_, server)| server)?;
        let load = loads.entry(server).or_default();
        load.running += 1;
        load.alone = request.alone;
        Some(server)
    }

    async fn wait(&self, request: &port::AdmissionRequest) -> id::ServerKey {
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if let Some(server) = self.place(request) {
                return server;
            }
            // The view may change without a slot becoming free.
            let _ = time::timeout(FAILED_SERVER_BACKOFF, freed).await;
        }
    }

    fn free(&self, server: id::ServerKey, failed: bool) {
        let mut loads = locked(&self.loads);
        let load = loads.entry(server).or_default();
        load.running = load.running.saturating_sub(1);
        load.alone = false;
        if failed {
            load.avoided_until = Some(time::Instant::now() + FAILED_SERVER_BACKOFF);
        }
        drop(loads);
        self.freed.notify_waiters();
    }
}

impl port::Scheduler for MemorySchedule {
    type Grant = MemoryGrant;

    fn early_refusal(&self, _request: &port::AdmissionRequest) -> Option<refusal::RefusalBody> {
        None
    }

    async fn admit(
        &self,
        request: &port::AdmissionRequest,
    ) -> Result<MemoryGrant, refusal::RefusalBody> {
        let server = self.state.wait(request).await;
        Ok(MemoryGrant {
            state: self.state.clone(),
            server,
            request: request.clone(),
        })
    }
}

impl port::Grant for MemoryGrant {
    fn server(&self) -> id::ServerKey {
        self.server
    }

    fn priority(&self) -> u8 {
        u8::try_from(self.request.class.index()).unwrap_or(0)
    }

    fn progress(&self, _count: u32) {}

    fn finished(self, _produced: u32) {}

    fn failed(self, _failure: port::FailureKind) {
        locked(&self.state.loads)
            .entry(self.server)
            .or_default()
            .avoided_until = Some(time::Instant::now() + FAILED_SERVER_BACKOFF);
    }

    async fn requeue(mut self) -> Result<Self, refusal::RefusalBody> {
        self.state.free(self.server, false);
        self.server = self.state.wait(&self.request).await;
        Ok(self)
    }
}

impl Drop for MemoryGrant {
    fn drop(&mut self) {
        self.state.free(self.server, false);
    }
}

/// Quota limiter without limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoQuotas;

/// Permit of [`NoQuotas`].
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPermit;

impl port::QuotaPermit for NoPermit {
    fn charge(&mut self, _tokens: u32) {}
}

impl port::QuotaLimiter for NoQuotas {
    type Permit = NoPermit;

    fn take(
        &self,
        _organisation: id::OrganisationKey,
        _rule: &rules::OrganisationRule,
        _work: &port::RequestedWork,
        _now: time::Instant,
    ) -> Result<NoPermit, refusal::RefusalBody> {
        Ok(NoPermit)
    }
}

/// Event sink that discards all events.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoEvents;

impl port::EventSink for NoEvents {
    fn record(&self, _request: Option<id::RequestId>, _kind: kind::EventKind) {}
}

/// Peer link of a plane without other entry VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl port::PeerLink for NoPeers {
    fn adopted(&self, _vm: &str, _generation: id::GenerationId) {}
}

/// The system's wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl port::WallClock for SystemClock {
    fn unix_ms(&self) -> u64 {
        let passed = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A wall clock that follows the runtime's clock, which tests pause.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    origin: time::Instant,
    origin_ms: u64,
}

impl RuntimeClock {
    /// Creates a clock that reads `origin_ms` now.
    #[must_use]
    pub fn new(origin_ms: u64) -> Self {
        Self {
            origin: time::Instant::now(),
            origin_ms,
        }
    }
}

impl port::WallClock for RuntimeClock {
    fn unix_ms(&self) -> u64 {
        let passed = time::Instant::now().saturating_duration_since(self.origin);
        self.origin_ms + u64::try_from(passed.as_millis()).unwrap_or(0)
    }
}

/// Identifiers from the operating system's random source.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomIds;

impl port::IdSource for RandomIds {
    fn draw(&self) -> u128 {
        id::GenerationId::draw(&mut rand::rng()).0
    }
}
