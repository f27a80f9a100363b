//! Links to in-process stand-ins, with the faults that occur between two processes.

use std::{collections, future, sync, time::Duration};

use base::{fingerprint, id, refusal};
use flow::{link_error, memory_store, port, proof};
use stand::{engine, service};
use tokio::{sync::watch, time};

/// Injects faults into streams, drawn from a seed; equal seeds draw the same faults.
#[derive(Clone, Debug)]
pub struct Chaos {
    state: sync::Arc<sync::Mutex<ChaosState>>,
}

#[derive(Debug)]
struct ChaosState {
    rng_state: u64,
    /// Events per thousand that are repeated, reordered, lost or accompanied by an event of
    /// another generation.
    fault_permille: u64,
    /// Started generations with their marks, from which events of other generations are drawn.
    started: Vec<(id::GenerationId, u32)>,
    /// Starts that a running engine accepted, by mark; false if cancelled before any of it ran.
    pub may_have_run: collections::BTreeMap<u32, collections::BTreeMap<u128, bool>>,
}

impl Chaos {
    pub fn new(seed: u64, fault_permille: u64) -> Self {
        let state = ChaosState {
            rng_state: seed | 1,
            fault_permille,
            started: Vec::new(),
            may_have_run: collections::BTreeMap::new(),
        };
        Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
        }
    }

    /// Whether any attempt with this mark may have run, as seen from outside the plane.
    pub fn may_have_run(&self, mark: u32) -> bool {
        let state = self.state.lock().unwrap();
        let attempts = state.may_have_run.get(&mark);
        attempts.is_some_and(|attempts| attempts.values().any(|ran| *ran))
    }

    /// Number of generations that were started with this mark.
    pub fn starts(&self, mark: u32) -> usize {
        let state = self.state.lock().unwrap();
        let attempts = state.may_have_run.get(&mark);
        attempts.map_or(0, collections::BTreeMap::len)
    }

    fn started(&self, generation: id::GenerationId, mark: u32) {
        let mut state = self.state.lock().unwrap();
        state.started.push((generation, mark));
        let attempts = state.may_have_run.entry(mark).or_default();
        attempts.insert(generation.0, true);
    }

    fn never_ran(&self, generation: id::GenerationId) {
        let mut state = self.state.lock().unwrap();
        for attempts in state.may_have_run.values_mut() {
            attempts.entry(generation.0).and_modify(|ran| *ran = false);
        }
    }
}

impl ChaosState {
    fn draw(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }

    /// Appends `event` to `queue`, possibly with a fault.
    fn deliver(
        &mut self,
        queue: &mut collections::VecDeque<port::TaggedEvent>,
        event: port::TaggedEvent,
    ) {
        if self.draw() % 1000 >= self.fault_permille {
            queue.push_back(event);
            return;
        }
        match self.draw() % 4 {
            0 => queue.extend([event.clone(), event]),
            1 => queue.push_front(event),
            2 => {}
            _ => {
                let pick = self.draw() as usize % self.started.len().max(1);
                if let (Some((generation, mark)), port::EngineEvent::Token { seq, .. }) =
                    (self.started.get(pick), &event.event)
                {
                    let text = engine::text::marked_token(*generation, *seq, *mark);
                    queue.push_back(port::TaggedEvent {
                        generation: *generation,
                        event: port::EngineEvent::Token { seq: *seq, text },
                    });
                }
                queue.push_back(event);
            }
        }
    }
}

/// Blocks all calls of one entry VM's process while it is down or paused.
#[derive(Clone, Debug)]
pub struct ProcessSwitch {
    runs: watch::Sender<bool>,
}

impl ProcessSwitch {
    pub fn new() -> Self {
        Self {
            runs: watch::Sender::new(true),
        }
    }

    pub fn set(&self, runs: bool) {
        self.runs.send_replace(runs);
    }

    async fn pass(&self) {
        let mut watcher = self.runs.subscribe();
        if watcher.wait_for(|runs| *runs).await.is_err() {
            future::pending::<()>().await;
        }
    }
}

/// Model engines in this process.
#[derive(Clone, Debug)]
pub struct StandEngines {
    pub handles: collections::BTreeMap<id::ServerKey, engine::EngineHandle>,
    pub chaos: Chaos,
    pub switch: ProcessSwitch,
}

pub struct StandEvents {
    stream: engine::EngineStream,
    generation: id::GenerationId,
    queue: collections::VecDeque<port::TaggedEvent>,
    chaos: Chaos,
    switch: ProcessSwitch,
}

fn mark_of(prompt: &str) -> u32 {
    let mark = engine::text::directive(prompt, "mark");
    mark.and_then(|mark| u32::from_str_radix(mark, 16).ok())
        .unwrap_or(0)
}

impl StandEngines {
    fn events(&self, stream: engine::EngineStream, generation: id::GenerationId) -> StandEvents {
        StandEvents {
            stream,
            generation,
            queue: collections::VecDeque::new(),
            chaos: self.chaos.clone(),
            switch: self.switch.clone(),
        }
    }
}

impl port::EngineLink for StandEngines {
    type Events = StandEvents;

    async fn start(
        &self,
        target: &port::ServerTarget,
        start_request: &port::StartRequest,
        permit: proof::SendPermit,
    ) -> Result<StandEvents, link_error::StartError> {
        self.switch.pass().await;
        let call = engine::StartCall {
            id: start_request.id,
            model: start_request.model.clone(),
            adapter: start_request.adapter.clone(),
            prompt: start_request.prompt.clone(),
            max_tokens: start_request.max_tokens,
            priority: start_request.priority,
            seed: start_request.seed,
        };
        let server = target.name.clone();
        let started = self.handles[&target.key].start(call).await;
        if matches!(started, Ok(_) | Err(engine::EngineError::AnswerLost)) {
            self.chaos
                .started(start_request.id, mark_of(&start_request.prompt));
        }
        self.switch.pass().await;
        match started {
            Ok(stream) => Ok(self.events(stream, start_request.id)),
            Err(engine::EngineError::Down) => Err(link_error::StartError::NeverSent {
                evidence: permit.never_sent(),
                server,
                cause: "refused".to_owned(),
            }),
            Err(engine::EngineError::AnswerLost) => Err(link_error::StartError::Lost {
                server,
                cause: "cut".to_owned(),
            }),
            Err(_) => Err(link_error::StartError::Declined {
                server,
                status: 409,
            }),
        }
    }

    async fn resume(
        &self,
        target: &port::ServerTarget,
        generation: id::GenerationId,
        from: u32,
    ) -> Result<StandEvents, link_error::ResumeError> {
        self.switch.pass().await;
        let server = target.name.clone();
        match self.handles[&target.key].resume(generation, from).await {
            Ok(stream) => Ok(self.events(stream, generation)),
            Err(engine::EngineError::Down) => Err(link_error::ResumeError::Refused { server }),
            Err(engine::EngineError::NotHeld { .. }) => {
                Err(link_error::ResumeError::NotHeld { server })
            }
            Err(_) => Err(link_error::ResumeError::Lost {
                server,
                cause: "cut".to_owned(),
            }),
        }
    }

    async fn cancel(
        &self,
        target: &port::ServerTarget,
        generation: id::GenerationId,
    ) -> Result<port::CancelAnswer, link_error::CancelError> {
        self.switch.pass().await;
        let server = target.name.clone();
        match self.handles[&target.key].cancel(generation).await {
            Ok(engine::call::CancelAnswer::Known { ran, produced }) => {
                if !ran {
                    self.chaos.never_ran(generation);
                }
                Ok(port::CancelAnswer::Known { ran, produced })
            }
            Ok(engine::call::CancelAnswer::Remembered) => Ok(port::CancelAnswer::Remembered),
            Err(engine::EngineError::Down) => Err(link_error::CancelError::Refused { server }),
            Err(_) => Err(link_error::CancelError::Lost {
                server,
                cause: "cut".to_owned(),
            }),
        }
    }
}

impl port::EngineEvents for StandEvents {
    async fn next(&mut self) -> Result<port::TaggedEvent, link_error::StreamError> {
        let server = String::from("stand");
        loop {
            self.switch.pass().await;
            if let Some(event) = self.queue.pop_front() {
                return Ok(event);
            }
            let event = match self.stream.next().await {
                Some(engine::StreamEvent::Token { seq, text }) => {
                    port::EngineEvent::Token { seq, text }
                }
                Some(engine::StreamEvent::Ping) => port::EngineEvent::Ping,
                Some(engine::StreamEvent::Finish(report)) => {
                    port::EngineEvent::Finish(finish_of(report))
                }
                Some(engine::StreamEvent::Nonsense) => {
                    let cause = "nonsense".to_owned();
                    return Err(link_error::StreamError::Nonsense { server, cause });
                }
                None => {
                    let cause = "ended".to_owned();
                    return Err(link_error::StreamError::Cut { server, cause });
                }
            };
            let tagged = port::TaggedEvent {
                generation: self.generation,
                event,
            };
            let mut state = self.chaos.state.lock().unwrap();
            state.deliver(&mut self.queue, tagged);
        }
    }
}

fn finish_of(report: engine::call::FinishReport) -> port::FinishReport {
    let finish = match report.finish {
        engine::call::FinishReason::Stop => port::FinishReason::Stop,
        engine::call::FinishReason::Length => port::FinishReason::Length,
        engine::call::FinishReason::Cancelled => port::FinishReason::Cancelled,
        engine::call::FinishReason::Error => port::FinishReason::Error,
    };
    port::FinishReport {
        finish,
        produced: report.produced,
        prompt_tokens: report.prompt_tokens,
        cached_tokens: report.cached_tokens,
        preempted: report.preempted,
    }
}

/// Plain service servers in this process.
#[derive(Clone, Debug)]
pub struct StandServices {
    pub handles: collections::BTreeMap<id::ServerKey, service::ServiceHandle>,
    pub switch: ProcessSwitch,
}

impl port::ServiceLink for StandServices {
    async fn call(
        &self,
        target: &port::ServerTarget,
        call: &port::ServiceCall,
        _time_left: Duration,
        permit: proof::SendPermit,
    ) -> Result<port::ServiceAnswer, link_error::CallError> {
        self.switch.pass().await;
        let sent = service::ServiceCall {
            method: call.method.clone(),
            path: call.path.clone(),
            request_id: Some(call.request.to_string()),
            idempotency_key: call.key.clone(),
            body: call.body.clone(),
        };
        let server = target.name.clone();
        let answer = self.handles[&target.key].call(sent).await;
        self.switch.pass().await;
        match answer {
            Ok(answer) => Ok(port::ServiceAnswer {
                status: 200,
                content_type: None,
                body: serde_json::to_vec(&answer).unwrap().into(),
            }),
            Err(service::handle::ServiceError::Refused) => Err(link_error::CallError::NeverSent {
                evidence: permit.never_sent(),
                server,
                cause: "refused".to_owned(),
            }),
            Err(service::handle::ServiceError::Broken) => Err(link_error::CallError::Lost {
                server,
                cause: "cut".to_owned(),
            }),
        }
    }
}

/// Claim store shared by all entry VMs, with outages and late answers.
#[derive(Clone, Debug)]
pub struct SharedClaims {
    pub store: sync::Arc<memory_store::MemoryClaims>,
    pub down: watch::Sender<bool>,
    /// Delay of the answers to claims; the claims themselves are made at once.
    pub late: sync::Arc<sync::Mutex<Duration>>,
    pub switch: ProcessSwitch,
}

/// Maximum duration of a claim, whatever was requested; shorter than the longest call.
const MAX_CLAIM_DURATION: Duration = Duration::from_secs(4);

fn log_down() -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(
        refusal::RefusalCode::Unavailable,
        "the log is down; retry later",
    )
    .retry_after_ms(500)
}

impl port::ClaimStore for SharedClaims {
    async fn claim(&self, mut claim: port::ClaimRequest) -> port::ClaimAnswer {
        self.switch.pass().await;
        claim.holds_for = claim.holds_for.min(MAX_CLAIM_DURATION);
        if *self.down.borrow() {
            return port::ClaimAnswer::Refused(log_down());
        }
        let answer = self.store.claim(claim).await;
        let late = *self.late.lock().unwrap();
        time::sleep(late).await;
        self.switch.pass().await;
        if *self.down.borrow() {
            // The claim is on the log, but this process never learns of it.
            return port::ClaimAnswer::Refused(log_down());
        }
        answer
    }

    async fn store(
        &self,
        hold: port::ClaimHold,
        end: port::ClaimEnd,
    ) -> Result<(), refusal::RefusalBody> {
        self.switch.pass().await;
        if *self.down.borrow() {
            return Err(log_down());
        }
        self.store.store(hold, end).await
    }

    fn seen(&self, organisation: &str, key: &str) -> bool {
        self.store.seen(organisation, key)
    }
}

/// Job store shared by all entry VMs, with outages.
#[derive(Clone, Debug)]
pub struct SharedJobs {
    pub store: sync::Arc<memory_store::MemoryJobs>,
    pub down: watch::Sender<bool>,
    pub switch: ProcessSwitch,
}

impl port::JobStore for SharedJobs {
    async fn accept(&self, job: port::JobRecord) -> port::AcceptAnswer {
        self.switch.pass().await;
        if *self.down.borrow() {
            return port::AcceptAnswer::Refused(log_down());
        }
        self.store.accept(job).await
    }

    async fn fetch(&self, request: id::RequestId) -> port::JobState {
        self.switch.pass().await;
        self.store.fetch(request).await
    }

    async fn take(&self) -> port::JobLease {
        self.switch.pass().await;
        let lease = self.store.take().await;
        self.switch.pass().await;
        lease
    }

    async fn renew(&self, lease: &port::JobLease) -> Option<port::JobLease> {
        self.switch.pass().await;
        self.store.renew(lease).await
    }

    async fn release(&self, lease: &port::JobLease) {
        self.switch.pass().await;
        self.store.release(lease).await;
    }

    async fn store(
        &self,
        lease: &port::JobLease,
        result: port::JobResult,
    ) -> Result<port::StoredResult, refusal::RefusalBody> {
        self.switch.pass().await;
        if *self.down.borrow() {
            return Err(log_down());
        }
        self.store.store(lease, result).await
    }
}

/// Identifiers derived from a counter, the same in every run.
#[derive(Debug)]
pub struct CountedIds {
    pub entry: u128,
    pub next: sync::atomic::AtomicU64,
}

impl port::IdSource for CountedIds {
    fn draw(&self) -> u128 {
        let number = self.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let text = format!("{}-{number}", self.entry);
        let hash = fingerprint::ContentHash::of(text.as_bytes());
        u128::from_le_bytes(hash.0[..16].try_into().unwrap())
    }
}
