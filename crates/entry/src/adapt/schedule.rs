//! Placement for the request plane: generations through the decision core, plain service calls
//! through the pool.

use std::{sync, time::Duration};

use base::{id, prefix, refusal};
use conf::inventory;
use flow::port;
use sched::{driver, request};
use tokio::time;

use crate::{adapt::service_pool, configure, roster};

/// Longest wait for a place on a plain service server between two looks at the candidates.
const POOL_RECHECK: Duration = Duration::from_millis(20);

/// Places generations and calls.
#[derive(Clone, Debug)]
pub struct PlaneScheduler {
    driver: driver::Driver,
    roster: sync::Arc<roster::ServerRoster>,
    book: sync::Arc<configure::ConfigBook>,
    pool: sync::Arc<service_pool::ServicePool>,
}

/// A place on a model engine or on a plain service server.
#[derive(Debug)]
pub enum PlaneGrant {
    /// On a model engine.
    Engine(driver::Grant),
    /// On a plain service server.
    Service(service_pool::ServiceSlot),
}

impl PlaneScheduler {
    /// A scheduler over the decision core behind `driver`.
    #[must_use]
    pub fn new(
        driver: driver::Driver,
        roster: sync::Arc<roster::ServerRoster>,
        book: sync::Arc<configure::ConfigBook>,
    ) -> Self {
        Self {
            driver,
            roster,
            book,
            pool: sync::Arc::default(),
        }
    }

    async fn admit_generation(
        &self,
        ask: request::GenerationRequest,
    ) -> Result<PlaneGrant, refusal::RefusalBody> {
        let grant = self.driver.admit(ask).await.map_err(refused_body)?;
        Ok(PlaneGrant::Engine(grant))
    }

    fn generation_request(
        &self,
        asked: &port::AdmissionRequest,
    ) -> Result<request::GenerationRequest, refusal::RefusalBody> {
        let port::RequestedWork::Generation {
            model: name,
            adapter,
            prompt_tokens,
            max_tokens,
        } = &asked.work
        else {
            return Err(no_server("a plain service call has no model"));
        };
        let Some(model) = self.roster.model_key(name) else {
            return Err(no_server("no engine is known for this model; ask again"));
        };
        let mut ask = request::GenerationRequest::new(
            asked.organisation,
            asked.class,
            model,
            *prompt_tokens,
            *max_tokens,
        );
        if let Some(block_tokens) = self.block_tokens(name) {
            ask.prefix = prefix_chain(name, adapter.as_deref(), &asked.prompt, block_tokens);
        }
        ask.deadline = Some(asked.deadline);
        ask.buffered = asked.buffered;
        ask.retry = asked.retry;
        for server in &asked.avoid {
            ask.avoid.push(*server);
        }
        Ok(ask)
    }

    /// Tokens in one KV block of the engines that may serve a model.
    fn block_tokens(&self, model: &str) -> Option<u32> {
        let snapshot = self.book.snapshot();
        let server = snapshot.server(*snapshot.servers_of_model(model).first()?)?;
        match &server.entry.kind {
            inventory::ServerKind::ModelEngine(engine) => Some(engine.block_tokens),
            inventory::ServerKind::PlainService { .. } => None,
        }
    }

    async fn admit_call(
        &self,
        service: &str,
        asked: &port::AdmissionRequest,
    ) -> Result<PlaneGrant, refusal::RefusalBody> {
        loop {
            let candidates = self.candidates(service, &asked.avoid);
            if let Some(slot) = self.pool.try_take(&candidates, time::Instant::now()) {
                return Ok(PlaneGrant::Service(slot));
            }
            if candidates.is_empty() {
                return Err(no_server(
                    "no server of this service takes work now; ask again",
                ));
            }
            if time::Instant::now() >= asked.deadline {
                return Err(refusal::RefusalBody::not_run(
                    refusal::RefusalCode::Overloaded,
                    "all servers of this service are busy; ask again after the time given",
                )
                .retry_after_ms(500));
            }
            let _ = time::timeout(POOL_RECHECK, self.pool.freed()).await;
        }
    }

    fn candidates(
        &self,
        service: &str,
        avoid: &[id::ServerKey],
    ) -> Vec<service_pool::PoolCandidate> {
        let snapshot = self.book.snapshot();
        let services = &snapshot.inventory().services;
        let max_concurrency = services
            .get(service)
            .map_or(0, |entry| entry.max_concurrency);
        let servers = snapshot.servers_of_service(service).iter().copied();
        servers
            .filter(|server| !avoid.contains(server) && !self.roster.is_leaving(*server))
            .map(|server| service_pool::PoolCandidate {
                server,
                max_concurrency,
                suspected: self.roster.is_suspected(server),
            })
            .collect()
    }
}

/// Bytes of a prompt that are looked at; the longest prefix that is compared ends before.
const PREFIX_BYTES: usize = 4096;

fn prefix_chain(
    model: &str,
    adapter: Option<&str>,
    prompt: &str,
    block_tokens: u32,
) -> request::PrefixChain {
    let start = &prompt[..prompt.floor_char_boundary(PREFIX_BYTES)];
    let hashes = prefix::chain(model, adapter, start, block_tokens);
    request::PrefixChain::sample(&hashes, block_tokens)
}

fn no_server(message: &str) -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(refusal::RefusalCode::Unavailable, message).retry_after_ms(1_000)
}

fn refused_body(refused: driver::RefusedRequest) -> refusal::RefusalBody {
    let body = refusal::RefusalBody::not_run(refused.reason.code(), refused.reason.to_string());
    match refused.retry_after {
        Some(delay) => {
            body.retry_after_ms(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX).max(1))
        }
        None => body,
    }
}

impl port::Scheduler for PlaneScheduler {
    type Grant = PlaneGrant;

    fn early_refusal(&self, ask: &port::AdmissionRequest) -> Option<refusal::RefusalBody> {
        match &ask.work {
            port::RequestedWork::Generation { .. } => self.generation_request(ask).err(),
            port::RequestedWork::Service { service } => self
                .candidates(service, &ask.avoid)
                .is_empty()
                .then(|| no_server("no server of this service takes work now; ask again")),
        }
    }

    async fn admit(
        &self,
        ask: &port::AdmissionRequest,
    ) -> Result<PlaneGrant, refusal::RefusalBody> {
        match &ask.work {
            port::RequestedWork::Generation { .. } => {
                self.admit_generation(self.generation_request(ask)?).await
            }
            port::RequestedWork::Service { service } => self.admit_call(service, ask).await,
        }
    }
}

fn core_failure(failure: port::FailureKind) -> request::FailureKind {
    match failure {
        port::FailureKind::Broken => request::FailureKind::Broken,
        port::FailureKind::Silent => request::FailureKind::Silent,
        port::FailureKind::Rejected => request::FailureKind::Rejected,
        port::FailureKind::Errored => request::FailureKind::Errored,
    }
}

impl port::Grant for PlaneGrant {
    fn server(&self) -> id::ServerKey {
        match self {
            Self::Engine(grant) => grant.server(),
            Self::Service(slot) => slot.server(),
        }
    }

    fn priority(&self) -> u8 {
        match self {
            Self::Engine(grant) => grant.priority(),
            Self::Service(_) => 0,
        }
    }

    fn reason(&self) -> port::PlacementReason {
        match self {
            Self::Engine(grant) => port::PlacementReason {
                candidates: u32::from(grant.reason().candidates),
                text: grant.reason().to_string(),
            },
            Self::Service(_) => port::PlacementReason {
                candidates: 0,
                text: "least busy of its service".to_owned(),
            },
        }
    }

    fn progress(&self, count: u32) {
        if let Self::Engine(grant) = self {
            grant.progress(count);
        }
    }

    async fn preempted(&mut self) {
        match self {
            Self::Engine(grant) => {
                let _ = grant.preempted().await;
            }
            Self::Service(_) => std::future::pending().await,
        }
    }

    fn finished(self, produced: u32) {
        if let Self::Engine(grant) = self {
            grant.finished(produced);
        }
    }

    fn failed(self, failure: port::FailureKind) {
        match self {
            Self::Engine(grant) => grant.failed(core_failure(failure)),
            Self::Service(slot) => slot.failed(time::Instant::now()),
        }
    }

    async fn requeue(self) -> Result<Self, refusal::RefusalBody> {
        match self {
            Self::Engine(grant) => {
                let grant = grant.requeue().await.map_err(refused_body)?;
                Ok(Self::Engine(grant))
            }
            slot @ Self::Service(_) => Ok(slot),
        }
    }
}
