//! Deferrable work: accepted durably, run to a whole answer, fetched from any entry VM.

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

/// Shortest pause before a job that found no place is tried again.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause before a job that found no place is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// Quarantines of one job after which it is tried again.
const QUARANTINES_OUTLASTED: u32 = 2;

/// What a caller is told of its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// Accepted, not finished.
    Waiting,
    /// Finished: the whole answer, JSON.
    Answer(String),
    /// It cannot be done.
    Refused(refusal::RefusalBody),
}

impl<P: port::PortSet> plane::RequestPlane<P> {
    /// A call with `Prefer: respond-async`: returns once the work is durable.
    ///
    /// # Errors
    ///
    /// An honest refusal.
    pub async fn accept_job(
        &self,
        headers: request::CallerHeaders,
        face: body::CallerFace,
        body: Bytes,
    ) -> Result<id::RequestId, plane::RefusedRequest> {
        let arrived = self.arrive(headers, ());
        let request = arrived.facts.id;
        match self.accept_arrived(arrived, face, body).await {
            Ok(()) => Ok(request),
            Err(end) => Err(self.refused(request, end)),
        }
    }

    async fn accept_arrived(
        &self,
        arrived: request::Request<(), request::Arrived>,
        face: body::CallerFace,
        body: Bytes,
    ) -> Result<(), filter::EarlyEnd> {
        let (arrived, _pass) = self.enter(arrived)?;
        let known = authenticate::AuthenticateFilter.apply(arrived).await?;
        let job = match self.check_job(&known, face, &body) {
            Ok(job) => job,
            Err(body) => return Err(known.refused(body).into()),
        };
        let id = job.request;
        match self.shared().ports.jobs().accept(job).await {
            port::AcceptAnswer::Accepted => Ok(()),
            port::AcceptAnswer::Refused(body) => Err(known.refused(body).into()),
            port::AcceptAnswer::Unknown => {
                // Its record may be on the log: a runner that finds it there will run it.
                let (_, ticket) = known.permit.send::<proof::CallKind>();
                Err(ticket.refused(maybe_accepted(id)).into())
            }
        }
    }

    /// Finds what is wrong with a job before it is accepted.
    fn check_job(
        &self,
        known: &request::Request<(), request::Known>,
        face: body::CallerFace,
        body: &Bytes,
    ) -> Result<port::JobRecord, refusal::RefusalBody> {
        let facts = &known.facts;
        let raw = request::RawGeneration {
            face,
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
        // What the job takes of the limits while it runs is taken when it runs.
        drop(
            self.shared()
                .ports
                .quotas()
                .take(organisation, rule, &work.asked(), now)?,
        );
        Ok(port::JobRecord {
            request: facts.id,
            organisation: view.map(|view| view.name.clone()).unwrap_or_default(),
            chat: face == body::CallerFace::Chat,
            body: String::from_utf8_lossy(body).into_owned(),
            accepted_ms: self.shared().now_ms(),
        })
    }

    /// A call of `GET /v1/requests/<id>`.
    ///
    /// # Errors
    ///
    /// An honest refusal.
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
            port::JobState::Unreadable(body) => Err(of_job(body).into()),
            port::JobState::Absent | port::JobState::Waiting(_) | port::JobState::Done(..) => {
                let message = "no such request is kept; its result's time may be up";
                let code = refusal::RefusalCode::NotFound;
                Err(of_job(refusal::RefusalBody::not_run(code, message)).into())
            }
        }
    }

    /// Takes jobs and runs them until this entry VM leaves. Spawn it once.
    pub async fn run_jobs(self: sync::Arc<Self>) {
        let places = sync::Arc::new(tokio::sync::Semaphore::new(
            self.shared().settings.jobs_at_once,
        ));
        while !self.gate().is_closed() {
            let Ok(place) = places.clone().acquire_owned().await else {
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
                drop(place);
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
                    // A lease that was lost is another's: two runs would only waste an engine,
                    // as the first result in the order of the log stands.
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
        let mut pause = SHORTEST_PAUSE;
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
            // The log is down. Nothing is lost by waiting; if this process dies, the job is run
            // again by another, from its beginning.
            time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// `None`: this entry VM leaves before the job was begun.
    async fn run_until_done(&self, job: &port::JobRecord) -> Option<port::JobResult> {
        let mut quarantines = 0;
        loop {
            let body = match self.run_once(job).await {
                Ok(text) => return Some(port::JobResult::Answer(text)),
                Err(body) => body,
            };
            // Servers that died by chance can convict innocent content. Nobody waits for a job,
            // so it outlasts its quarantine and is tried again before it is given up.
            quarantines += u32::from(body.code == refusal::RefusalCode::Quarantined);
            if is_final(body.code) || quarantines > QUARANTINES_OUTLASTED {
                return Some(port::JobResult::Refused(body));
            }
            if self.gate().is_closed() {
                return None;
            }
            let longest = if body.code == refusal::RefusalCode::Quarantined {
                self.shared().settings.suspects.quarantined_for
            } else {
                LONGEST_PAUSE
            };
            let pause = Duration::from_millis(body.retry_after_ms.unwrap_or(0));
            time::sleep(pause.clamp(SHORTEST_PAUSE, longest)).await;
        }
    }

    async fn run_once(&self, job: &port::JobRecord) -> Result<String, refusal::RefusalBody> {
        let face = if job.chat {
            body::CallerFace::Chat
        } else {
            body::CallerFace::Completion
        };
        let raw = request::RawGeneration {
            face,
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
            let message = "the organisation is no longer in the inventory; add it and send anew";
            let code = refusal::RefusalCode::Forbidden;
            return Err(refusal::RefusalBody::not_run(code, message));
        };
        let known = arrived.advance(|_| request::Known { organisation });
        let end = async { self.whole(self.open(known).await?).await };
        end.await.map_err(|end| self.refused(job.request, end).body)
    }
}

/// Whether trying again is no use.
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

/// A refusal to say anything about a job: whether the job ran is not known by it.
fn of_job(body: refusal::RefusalBody) -> refused::Refused {
    refused::Refused::of_claim(body, outcome::RanState::Unknown)
}

fn maybe_accepted(job: id::RequestId) -> refusal::RefusalBody {
    let message = format!(
        "the log did not answer whether the work was accepted; GET /v1/requests/{job} tells later"
    );
    let code = refusal::RefusalCode::Unavailable;
    refusal::RefusalBody::not_run(code, message).retry_after_ms(MAYBE_RETRY_MS)
}

/// When to ask whether work was accepted after all.
const MAYBE_RETRY_MS: u64 = 2_000;
