//! The request plane as a daemon calls it.

use std::{sync, time::Duration};

use base::{id, outcome, refusal};
use bytes::Bytes;
use tokio::{sync::watch, time};
use trace::kind;

use crate::{
    admit, attempt, authenticate, body, calling, chunk, classify, collect, crash_tracker,
    deduplicate,
    filter::{self, Chain, Filter as _},
    gate, opening, pipe,
    port::{self, Grant as _, IdSource as _},
    proof, quarantine, quota, relay, request, route, settings, shared, token, view,
};

/// A stream that broke is sought for this long at most, or for its class's time limit.
pub(crate) const RESUME_PATIENCE: Duration = Duration::from_secs(30);

/// What a caller is sent.
#[derive(Debug)]
pub enum GenerationReply {
    /// A whole answer.
    Whole {
        /// The caller's request, for `x-request-id`.
        request: id::RequestId,
        /// The body, JSON.
        body: Bytes,
    },
    /// A stream that has begun.
    Stream(StreamReply),
}

/// A stream that has begun.
#[derive(Debug)]
pub struct StreamReply {
    /// The caller's request, for `x-request-id`.
    pub request: id::RequestId,
    /// For `x-generation-token`.
    pub token: String,
    /// Server-sent events.
    pub stream: pipe::CallerStream,
}

/// A request that was refused, and its identifier.
#[derive(Debug)]
pub struct RefusedRequest {
    /// For `x-request-id`.
    pub request: id::RequestId,
    /// The body of the answer.
    pub body: refusal::RefusalBody,
}

/// A plain service's answer.
#[derive(Debug)]
pub struct ServiceReply {
    /// The caller's request, for `x-request-id`.
    pub request: id::RequestId,
    /// The answer.
    pub answer: port::ServiceAnswer,
}

/// Filters from the known organisation up to the claim.
type KnownChain<P> = Chain<
    Chain<classify::ClassifyFilter<P>, quota::QuotaFilter<P>>,
    deduplicate::DeduplicateFilter<P>,
>;

/// The request plane of one entry VM.
#[derive(Debug)]
pub struct RequestPlane<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    views: watch::Receiver<sync::Arc<view::PlaneView>>,
    known: KnownChain<P>,
    placing: opening::PlacingChain<P>,
    opener: opening::GenerationOpener<P>,
    caller: calling::CallFilter<P>,
}

impl<P: port::PortSet> RequestPlane<P> {
    /// A plane that goes by the newest of `views`.
    pub fn new(
        ports: P,
        settings: settings::PlaneSettings,
        views: watch::Receiver<sync::Arc<view::PlaneView>>,
    ) -> Self {
        let shared = sync::Arc::new(shared::SharedPlane::new(ports, settings));
        let placing = || {
            Chain::new(
                quarantine::QuarantineFilter::new(shared.clone()),
                admit::AdmitFilter::new(shared.clone()),
            )
            .then(route::RouteFilter::new(views.clone()))
        };
        let known = Chain::new(
            classify::ClassifyFilter::new(shared.clone()),
            quota::QuotaFilter::new(shared.clone()),
        )
        .then(deduplicate::DeduplicateFilter::new(shared.clone()));
        let routing = route::RouteFilter::new(views.clone());
        Self {
            known,
            opener: opening::GenerationOpener::new(shared.clone(), placing(), routing),
            caller: calling::CallFilter::new(shared.clone(), placing()),
            placing: placing(),
            shared,
            views,
        }
    }

    /// What runs, and a graceful end.
    #[must_use]
    pub fn gate(&self) -> &gate::FlowGate {
        &self.shared.gate
    }

    /// Content that crashes backend servers.
    #[must_use]
    pub fn suspects(&self) -> &crash_tracker::CrashTracker {
        &self.shared.crash_tracker
    }

    /// The ports.
    #[must_use]
    pub fn ports(&self) -> &P {
        &self.shared.ports
    }

    /// Another entry VM goes on with a generation that this one began to relay.
    pub fn adopted_elsewhere(&self, generation: id::GenerationId) {
        self.shared.readers.adopted_elsewhere(generation);
    }

    /// A call of `/v1/chat/completions` or `/v1/completions`. Returns a stream once its first
    /// token is there. Dropping the future gives the request up.
    ///
    /// # Errors
    ///
    /// An honest refusal.
    pub async fn generate(
        &self,
        headers: request::CallerHeaders,
        face: body::CallerFace,
        body: Bytes,
    ) -> Result<GenerationReply, RefusedRequest> {
        let raw = request::RawGeneration {
            face,
            body,
            job: false,
        };
        let arrived = self.arrive(headers, raw);
        let request = arrived.facts.id;
        let reply = self.generate_arrived(arrived).await;
        reply.map_err(|end| self.refused(request, end))
    }

    async fn generate_arrived(
        &self,
        arrived: request::Request<request::RawGeneration, request::Arrived>,
    ) -> Result<GenerationReply, filter::EarlyEnd> {
        let (arrived, pass) = self.enter(arrived)?;
        let known = authenticate::AuthenticateFilter.apply(arrived).await?;
        let opened = self.open(known).await?;
        if opened.facts.work.body.stream {
            return Ok(GenerationReply::Stream(self.stream(opened, pass)));
        }
        let request = opened.facts.id;
        let text = self.whole(opened).await?;
        Ok(GenerationReply::Whole {
            request,
            body: Bytes::from(text),
        })
    }

    /// A call of `/v1/services/<service>/<path>`. Dropping the future gives the request up.
    ///
    /// # Errors
    ///
    /// An honest refusal.
    pub async fn call_service(
        &self,
        headers: request::CallerHeaders,
        call: request::RawCall,
    ) -> Result<ServiceReply, RefusedRequest> {
        let arrived = self.arrive(headers, call);
        let request = arrived.facts.id;
        match self.call_arrived(arrived).await {
            Ok(answer) | Err(filter::EarlyEnd::Stored(answer)) => {
                self.shared.record(request, called(answer.status));
                Ok(ServiceReply { request, answer })
            }
            Err(end) => Err(self.refused(request, end)),
        }
    }

    async fn call_arrived(
        &self,
        arrived: request::Request<request::RawCall, request::Arrived>,
    ) -> Result<port::ServiceAnswer, filter::EarlyEnd> {
        let (arrived, _pass) = self.enter(arrived)?;
        let known = authenticate::AuthenticateFilter.apply(arrived).await?;
        let claimed = self.known.apply(known).await?;
        let routed = self.placing.apply(claimed).await?;
        self.caller.apply(routed).await
    }

    /// Runs a known organisation's generation to its first step.
    pub(crate) async fn open(
        &self,
        known: request::Request<request::RawGeneration, request::Known>,
    ) -> Result<opening::OpenedRequest<P>, filter::EarlyEnd> {
        let claimed = self.known.apply(known).await?;
        let routed = self.placing.apply(claimed).await?;
        self.opener.open(routed).await
    }

    /// Lets a request in, unless this entry VM is leaving.
    pub(crate) fn enter<W>(
        &self,
        arrived: request::Request<W, request::Arrived>,
    ) -> Result<(request::Request<W, request::Arrived>, gate::GatePass), filter::EarlyEnd> {
        match self.shared.gate.enter() {
            Ok(pass) => Ok((arrived, pass)),
            Err(body) => Err(arrived.refused(body).into()),
        }
    }

    pub(crate) const fn shared(&self) -> &sync::Arc<shared::SharedPlane<P>> {
        &self.shared
    }

    /// The newest view.
    pub(crate) fn view(&self) -> view::PlaneView {
        view::PlaneView::clone(&self.views.borrow())
    }

    pub(crate) fn arrive<W>(
        &self,
        headers: request::CallerHeaders,
        work: W,
    ) -> request::Request<W, request::Arrived> {
        let facts = request::RequestFacts {
            id: id::RequestId(self.shared.ports.ids().draw()),
            arrived_at: time::Instant::now(),
            view: self.view(),
            headers,
            work,
            tries: 0,
            avoid: Vec::new(),
        };
        request::Request {
            facts,
            permit: proof::NotRunProof::at_arrival().into(),
            stage: request::Arrived,
        }
    }

    /// Begins to relay a stream in a task of its own.
    fn stream(&self, opened: opening::OpenedRequest<P>, pass: gate::GatePass) -> StreamReply {
        let opening::OpenedRequest {
            facts,
            claimed,
            running,
            step,
        } = opened;
        let (writer_end, stream) = pipe::pipe();
        let created_s = self.shared.now_ms() / 1_000;
        let work = &facts.work;
        let token = self.token_of(&facts, &claimed.terms, &running.live, created_s);
        let writer = chunk::ChunkWriter::new(
            work.body.face,
            facts.id,
            &work.body.model,
            created_s,
            work.body.include_usage,
        );
        self.record_first_token(&facts, &running.live);
        let mut live = running.live;
        live.set_patience(claimed.terms.time_limit.min(RESUME_PATIENCE));
        let flowing = relay::StreamRelay {
            reader: self.shared.readers.enter(live.generation()),
            shared: self.shared.clone(),
            request: facts.id,
            content: work.content,
            arrived_at: facts.arrived_at,
            live,
            flowing: running.ticket.flowing(),
            resources: relay::StreamResources {
                grant: Some(running.grant),
                quota: Some(claimed.quota),
                run_guard: Some(running.run_guard),
                probe: running.probe,
            },
            writer,
            pipe: writer_end,
            token: token.clone(),
        };
        let reply = StreamReply {
            request: facts.id,
            token,
            stream,
        };
        drop(facts);
        tokio::spawn(async move {
            let _pass = pass;
            flowing.run(Some(step)).await;
        });
        reply
    }

    /// Collects a whole answer, as JSON text.
    pub(crate) async fn whole(
        &self,
        opened: opening::OpenedRequest<P>,
    ) -> Result<String, filter::EarlyEnd> {
        self.record_first_token(&opened.facts, &opened.running.live);
        let (opened, whole) = collect::collect(&self.opener, opened).await?;
        let facts = &opened.facts;
        let text = chunk::complete_answer(
            facts.work.body.face,
            facts.id,
            &facts.work.body.model,
            self.shared.now_ms() / 1_000,
            &whole.text,
            &whole.report,
        );
        let content = facts.work.content;
        self.shared
            .crash_tracker
            .record_success(content, self.shared.now_ms());
        self.shared.record(
            facts.id,
            kind::EventKind::RequestFinished {
                tokens: whole.report.produced,
                after_ms: shared::millis_since(facts.arrived_at),
                finish: chunk::finish_name(whole.report.finish).to_owned(),
            },
        );
        opened.running.grant.finished(whole.report.produced);
        Ok(text)
    }

    fn token_of(
        &self,
        facts: &request::RequestFacts<request::GenerationWork>,
        terms: &request::Terms,
        live: &attempt::LiveTry<P>,
        created_s: u64,
    ) -> String {
        let organisation = facts.view.config.organisation(terms.organisation);
        let kept = self.shared.settings.token_kept;
        let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
        self.shared
            .settings
            .token_keys
            .sign(&token::ContinuationFacts {
                request: facts.id,
                generation: live.generation(),
                server: live.target().name.clone(),
                organisation: organisation
                    .map(|view| view.name.clone())
                    .unwrap_or_default(),
                vm: self.shared.settings.vm.clone(),
                content: facts.work.content,
                revision: facts.view.config.revision(),
                chat: facts.work.body.face == body::CallerFace::Chat,
                model: facts.work.body.model.clone(),
                created_s,
                include_usage: facts.work.body.include_usage,
                expires_ms: self.shared.now_ms().saturating_add(kept_ms),
            })
    }

    fn record_first_token(
        &self,
        facts: &request::RequestFacts<request::GenerationWork>,
        live: &attempt::LiveTry<P>,
    ) {
        self.shared.record(
            facts.id,
            kind::EventKind::RequestFirstToken {
                server: live.target().name.clone(),
                after_ms: shared::millis_since(facts.arrived_at),
            },
        );
    }

    /// A refusal as the caller and the time line are told.
    pub(crate) fn refused(&self, request: id::RequestId, end: filter::EarlyEnd) -> RefusedRequest {
        let body = match end {
            filter::EarlyEnd::Refused(refused) => refused.into_body(),
            filter::EarlyEnd::Stored(_) => misplaced_answer(),
        };
        metrics::counter!("pollenchute_flow_refusals_total").increment(1);
        self.shared.record(
            request,
            kind::EventKind::RequestRefused {
                code: body.code,
                ran: body.ran,
                retry_after_ms: body.retry_after_ms.unwrap_or(0),
                reason: body.message.clone(),
            },
        );
        RefusedRequest { request, body }
    }
}

/// A generation holds no claim, so that no stored answer can belong to one.
fn misplaced_answer() -> refusal::RefusalBody {
    let message = "a stored service answer came up for a generation; report this fault";
    refusal::RefusalBody::not_run(refusal::RefusalCode::Internal, message)
        .ran(outcome::RanState::Unknown)
}

fn called(status: u16) -> kind::EventKind {
    kind::EventKind::RequestFinished {
        tokens: 0,
        after_ms: 0,
        finish: status.to_string(),
    }
}
