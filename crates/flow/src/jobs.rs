//! Deferrable work: accepted durably, run to a complete answer, fetched from any entry VM.

use std::{sync, time::Duration};

use base::{class, id, outcome, refusal};
use bytes::Bytes;
use tokio::time;

use crate::{
    authenticate, body,
    filter::{self, Filter as _},
    gate, plane,
    port::{self, JobStore as _, QuotaLimiter as _},
    proof, refused,
    request::{self, RawWork as _, Work as _},
};

/// Minimum delay before a refused job is retried or a failed store is repeated.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay before a refused job is retried or a failed store is repeated; a quarantined job
/// may wait for its full quarantine instead.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Maximum number of quarantines after which a job is retried.
const MAX_QUARANTINE_RETRIES: u32 = 2;

/// State of a job as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// Accepted, not finished.
    Waiting,
    /// Finished: the complete answer, JSON.
    Answer(String),
    /// The job is refused for good.
    Refused(refusal::RefusalBody),
}

impl<P: port::PortSet> plane::RequestPlane<P> {
    /// Accepts a call with `Prefer: respond-async`; returns once the work is durable.
    ///
    /// # Errors
    ///
    /// A refusal with the known run state.
    pub async fn accept_job(
        &self,
        headers: request::CallerHeaders,
        api: body::CompletionApi,
        body: Bytes,
    ) -> Result<id::RequestId, plane::RefusedRequest> {
        let arrived = self.arrive(headers, ());
        let request = arrived.facts.id;
        match self.accept_arrived(arrived, api, body).await {
            Ok(()) => Ok(request),
            Err(end) => Err(self.refused(request, end)),
        }
    }

    async fn accept_arrived(
        &self,
        arrived: request::Request<(), request::Arrived>,
        api: body::CompletionApi,
        body: Bytes,
    ) -> Result<(), filter::EarlyEnd> {
        let (arrived, _pass) = self.enter(arrived)?;
        let known = authenticate::AuthenticateFilter.apply(arrived).await?;
        let job = match self.check_job(&known, api, &body) {
            Ok(job) => job,
            Err(body) => return Err(known.refused(body).into()),
        };
        let id = job.request;
        match self.shared().ports.jobs().accept(job).await {
            port::AcceptAnswer::Accepted => Ok(()),
            port::AcceptAnswer::Refused(body) => Err(known.refused(body).into()),
            port::AcceptAnswer::Unknown => {
                // The record may be on the log: an entry VM that finds it there will run the job.
                let (_, ticket) = known.permit.send::<proof::CallKind>();
                Err(ticket.refused(unknown_acceptance(id)).into())
            }
        }
    }

    /// Validates a job before it is accepted.
    fn check_job(
        &self,
        known: &request::Request<(), request::Authenticated>,
        api: body::CompletionApi,
        body: &Bytes,
    ) -> Result<port::JobRecord, refusal::RefusalBody> {
        let facts = &known.facts;
        let raw = request::RawGeneration {
            api,
            body: body.clone(),
            job: true,
        };
        let work = raw.parse(&facts.view)?;
        let config = &facts.view.config;
        let organisation = known.stage.organisation;
        let view = config.organisation(organisation);
        let default = &config.rules().default_organisation;
        let rule = view.map_or(default, |view| &view.rule);
        let now = time::Instant::now();
        // Only checks the quota: the job is charged against it when it runs.
        drop(
            self.shared()
                .ports
                .quotas()
                .take(organisation, rule, &work.requested(), now)?,
        );
        Ok(port::JobRecord {
            request: facts.id,
            organisation: view.map(|view| view.name.clone()).unwrap_or_default(),
            chat: api == body::CompletionApi::Chat,
            body: String::from_utf8_lossy(body).into_owned(),
            accepted_ms: self.shared().now_ms(),
        })
    }

    /// Serves `GET /v1/requests/<id>`.
    ///
    /// # Errors
    ///
    /// A refusal.
    pub async fn fetch_job(
        &self,
        headers: request::CallerHeaders,
        job: id::RequestId,
    ) -> Result<JobReply, plane::RefusedRequest> {
        let arrived = self.arrive(headers, ());
        let reply = self.fetch_arrived(arrived, job).await;
        reply.map_err(|end| self.refused(job, end))
    }

    async fn fetch_arrived(
        &self,
        arrived: request::Request<(), request::Arrived>,
        job: id::RequestId,
    ) -> Result<JobReply, filter::EarlyEnd> {
        let known = authenticate::AuthenticateFilter.apply(arrived).await?;
        let config = &known.facts.view.config;
        let organisation = config.organisation(known.stage.organisation);
        let is_own = |owner: &String| organisation.is_some_and(|view| view.name == *owner);
        match self.shared().ports.jobs().fetch(job).await {
            port::JobState::Waiting(owner) if is_own(&owner) => Ok(JobReply::Waiting),
            port::JobState::Done(owner, result) if is_own(&owner) => Ok(match result {
                port::JobResult::Answer(text) => JobReply::Answer(text),
                port::JobResult::Refused(body) => JobReply::Refused(body),
            }),
            port::JobState::Unreadable(body) => Err(refuse_fetch(body).into()),
            port::JobState::Absent | port::JobState::Waiting(_) | port::JobState::Done(..) => {
                let message = "no such request is stored; its result may have expired";
                let code = refusal::RefusalCode::NotFound;
                Err(refuse_fetch(refusal::RefusalBody::not_run(code, message)).into())
            }
        }
    }

    /// Takes jobs and runs them until this entry VM shuts down. Spawned once per process.
    pub async fn run_jobs(self: sync::Arc<Self>) {
        let slots = sync::Arc::new(tokio::sync::Semaphore::new(
            self.shared().settings.max_concurrent_jobs,
        ));
        while !self.gate().is_closed() {
            let Ok(slot) = slots.clone().acquire_owned().await else {
                return;
            };
            let taken = tokio::select! {
                lease = self.shared().ports.jobs().take() => Some(lease),
                () = self.gate().closed() => None,
            };
            let (Some(lease), Ok(pass)) = (taken, self.gate().enter()) else {
                return;
            };
            let plane = self.clone();
            tokio::spawn(async move {
                plane.run_lease(lease, pass).await;
                drop(slot);
            });
        }
    }

    /// Runs one job for as long as its lease is held.
    async fn run_lease(&self, lease: port::JobLease, _pass: gate::GatePass) {
        let mut lease = lease;
        let job = lease.job.clone();
        let run = self.run_until_done(&job);
        tokio::pin!(run);
        let result = loop {
            let left = lease
                .deadline
                .saturating_duration_since(time::Instant::now());
            tokio::select! {
                biased;
                result = &mut run => break result,
                () = time::sleep(left / 2) => {
                    // A lost lease belongs to another process: a second run would only waste
                    // engine time, because the first result on the log is the one that counts.
                    match self.shared().ports.jobs().renew(&lease).await {
                        Some(renewed) => lease = renewed,
                        None => return,
                    }
                }
            }
        };
        let Some(result) = result else {
            self.shared().ports.jobs().release(&lease).await;
            return;
        };
        self.store(&lease, result).await;
    }

    async fn store(&self, lease: &port::JobLease, result: port::JobResult) {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let stored = self
                .shared()
                .ports
                .jobs()
                .store(lease, result.clone())
                .await;
            if stored.is_ok() {
                return;
            }
            // The log is down. Waiting loses nothing; if this process dies, another one runs the
            // job again from the start.
            time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Runs a job until it has a final result. Returns `None` if this entry VM shuts down first.
    async fn run_until_done(&self, job: &port::JobRecord) -> Option<port::JobResult> {
        let mut quarantines = 0;
        loop {
            let body = match self.run_once(job).await {
                Ok(text) => return Some(port::JobResult::Answer(text)),
                Err(body) => body,
            };
            // Unrelated server deaths can quarantine innocent content. Nobody waits for a job, so
            // it waits until its quarantine ends and is retried before it is refused for good.
            quarantines += u32::from(body.code == refusal::RefusalCode::Quarantined);
            if is_final(body.code) || quarantines > MAX_QUARANTINE_RETRIES {
                return Some(port::JobResult::Refused(body));
            }
            if self.gate().is_closed() {
                return None;
            }
            let max_delay = if body.code == refusal::RefusalCode::Quarantined {
                self.shared().settings.suspects.quarantined_for
            } else {
                MAX_RETRY_DELAY
            };
            let delay = Duration::from_millis(body.retry_after_ms.unwrap_or(0));
            time::sleep(delay.clamp(MIN_RETRY_DELAY, max_delay)).await;
        }
    }

    async fn run_once(&self, job: &port::JobRecord) -> Result<String, refusal::RefusalBody> {
        let api = if job.chat {
            body::CompletionApi::Chat
        } else {
            body::CompletionApi::Completion
        };
        let raw = request::RawGeneration {
            api,
            body: Bytes::from(job.body.clone()),
            job: true,
        };
        let headers = request::CallerHeaders {
            requested_class: Some(class::TrafficClass::Deferrable),
            ..request::CallerHeaders::default()
        };
        let mut arrived = self.arrive(headers, raw);
        arrived.facts.id = job.request;
        let config = arrived.facts.view.config.clone();
        let Some(organisation) = config.organisation_key(&job.organisation) else {
            let message = "the organisation is no longer in the inventory; add it and send again";
            let code = refusal::RefusalCode::Forbidden;
            return Err(refusal::RefusalBody::not_run(code, message));
        };
        let known = arrived.advance(|_| request::Authenticated { organisation });
        let end = async { self.collect_answer(self.open(known).await?).await };
        end.await.map_err(|end| self.refused(job.request, end).body)
    }
}

/// Whether the refusal is permanent, so that a retry cannot succeed.
const fn is_final(code: refusal::RefusalCode) -> bool {
    matches!(
        code,
        refusal::RefusalCode::BadRequest
            | refusal::RefusalCode::TooLarge
            | refusal::RefusalCode::Unauthenticated
            | refusal::RefusalCode::Forbidden
            | refusal::RefusalCode::NotFound
    )
}

/// Refusal of a fetch, which does not tell whether the job ran.
fn refuse_fetch(body: refusal::RefusalBody) -> refused::Refused {
    refused::Refused::for_repeat(body, outcome::RanState::Unknown)
}

fn unknown_acceptance(job: id::RequestId) -> refusal::RefusalBody {
    let message = format!(
        "the log did not confirm that the work was accepted; check later with GET /v1/requests/{job}"
    );
    let code = refusal::RefusalCode::Unavailable;
    refusal::RefusalBody::not_run(code, message).retry_after_ms(UNKNOWN_ACCEPTANCE_RETRY_MS)
}

/// Delay after which the caller should check whether its work was accepted.
const UNKNOWN_ACCEPTANCE_RETRY_MS: u64 = 2_000;
