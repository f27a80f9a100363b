//! Public interface of the request plane.

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

/// Maximum time for reconnecting to a stream; a shorter time limit of its class takes precedence.
pub(crate) const MAX_RECONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// Answer to a generation request.
#[derive(Debug)]
pub enum GenerationReply {
    /// A complete answer.
    Complete {
        /// Request identifier, for `x-request-id`.
        request: id::RequestId,
        /// JSON body.
        body: Bytes,
    },
    /// A stream that has started.
    Stream(StreamReply),
}

/// A stream that has started.
#[derive(Debug)]
pub struct StreamReply {
    /// Request identifier, for `x-request-id`.
    pub request: id::RequestId,
    /// Continuation token, for `x-generation-token`.
    pub token: String,
    /// Server-sent events.
    pub stream: pipe::CallerStream,
}

/// A refused request and its identifier.
#[derive(Debug)]
pub struct RefusedRequest {
    /// Request identifier, for `x-request-id`.
    pub request: id::RequestId,
    /// Body of the answer.
    pub body: refusal::RefusalBody,
}

/// Answer of a plain service.
#[derive(Debug)]
pub struct ServiceReply {
    /// Request identifier, for `x-request-id`.
    pub request: id::RequestId,
    /// Answer of the service.
    pub answer: port::ServiceAnswer,
}

/// Filters from classification to the claim on the idempotency key.
type PreparationChain<P> = Chain<
    Chain<classify::ClassifyFilter<P>, quota::QuotaFilter<P>>,
    deduplicate::DeduplicateFilter<P>,
>;

/// The request plane of one entry VM.
#[derive(Debug)]
pub struct RequestPlane<P: port::PortSet> {
    shared: sync::Arc<shared::SharedPlane<P>>,
    views: watch::Receiver<sync::Arc<view::PlaneView>>,
    preparation: PreparationChain<P>,
    placement: opening::PlacementChain<P>,
    opener: opening::GenerationOpener<P>,
    caller: calling::CallFilter<P>,
}

impl<P: port::PortSet> RequestPlane<P> {
    /// Creates a plane that uses the newest of `views`.
    pub fn new(
        ports: P,
        settings: settings::PlaneSettings,
        views: watch::Receiver<sync::Arc<view::PlaneView>>,
    ) -> Self {
        let shared = sync::Arc::new(shared::SharedPlane::new(ports, settings));
        let placement = || {
            Chain::new(
                quarantine::QuarantineFilter::new(shared.clone()),
                admit::AdmitFilter::new(shared.clone()),
            )
            .then(route::RouteFilter::new(views.clone()))
        };
        let preparation = Chain::new(
            classify::ClassifyFilter::new(shared.clone()),
            quota::QuotaFilter::new(shared.clone()),
        )
        .then(deduplicate::DeduplicateFilter::new(shared.clone()));
        let routing = route::RouteFilter::new(views.clone());
        Self {
            preparation,
            opener: opening::GenerationOpener::new(shared.clone(), placement(), routing),
            caller: calling::CallFilter::new(shared.clone(), placement()),
            placement: placement(),
            shared,
            views,
        }
    }

    /// Gate that counts running requests and drains them.
    #[must_use]
    pub fn gate(&self) -> &gate::FlowGate {
        &self.shared.gate
    }

    /// Record of content that crashes backend servers.
    #[must_use]
    pub fn suspects(&self) -> &crash_tracker::CrashTracker {
        &self.shared.crash_tracker
    }

    /// Ports of this plane.
    #[must_use]
    pub fn ports(&self) -> &P {
        &self.shared.ports
    }

    /// Records that another entry VM has taken over a generation that this one relayed first.
    pub fn adopted_elsewhere(&self, generation: id::GenerationId) {
        self.shared.readers.adopted_elsewhere(generation);
    }

    /// Handles `/v1/chat/completions` and `/v1/completions`. Returns a stream once its first token
    /// has arrived. Dropping the future abandons the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states whether the request ran.
    pub async fn generate(
        &self,
        headers: request::CallerHeaders,
        api: body::CompletionApi,
        body: Bytes,
    ) -> Result<GenerationReply, RefusedRequest> {
        let raw = request::RawGeneration {
            api,
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
        let authenticated = authenticate::AuthenticateFilter.apply(arrived).await?;
        let opened = self.open(authenticated).await?;
        if opened.facts.work.body.stream {
            return Ok(GenerationReply::Stream(self.stream(opened, pass)));
        }
        let request = opened.facts.id;
        let text = self.collect_answer(opened).await?;
        Ok(GenerationReply::Complete {
            request,
            body: Bytes::from(text),
        })
    }

    /// Handles `/v1/services/<service>/<path>`. Dropping the future abandons the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states whether the call ran.
    pub async fn call_service(
        &self,
        headers: request::CallerHeaders,
        call: request::RawCall,
    ) -> Result<ServiceReply, RefusedRequest> {
        let arrived = self.arrive(headers, call);
        let request = arrived.facts.id;
        match self.call_arrived(arrived).await {
            Ok(answer) | Err(filter::EarlyEnd::Stored(answer)) => {
                self.shared.record(request, call_finished(answer.status));
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
        let authenticated = authenticate::AuthenticateFilter.apply(arrived).await?;
        let claimed = self.preparation.apply(authenticated).await?;
        let routed = self.placement.apply(claimed).await?;
        self.caller.apply(routed).await
    }

    /// Runs the generation of an authenticated request to its first step.
    pub(crate) async fn open(
        &self,
        authenticated: request::Request<request::RawGeneration, request::Authenticated>,
    ) -> Result<opening::OpenedRequest<P>, filter::EarlyEnd> {
        let claimed = self.preparation.apply(authenticated).await?;
        let routed = self.placement.apply(claimed).await?;
        self.opener.open(routed).await
    }

    /// Admits a request unless this entry VM is leaving.
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

    /// Returns the newest view.
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
            attempts: 0,
            avoid: Vec::new(),
        };
        request::Request {
            facts,
            permit: proof::NotRunProof::at_arrival().into(),
            stage: request::Arrived,
        }
    }

    /// Starts to relay a stream in a separate task.
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
            work.body.api,
            facts.id,
            &work.body.model,
            created_s,
            work.body.include_usage,
        );
        self.record_first_token(&facts, &running.live);
        let mut live = running.live;
        live.set_reconnect_timeout(claimed.terms.time_limit.min(MAX_RECONNECT_TIMEOUT));
        let relay = relay::StreamRelay {
            reader: self.shared.readers.enter(live.generation()),
            shared: self.shared.clone(),
            request: facts.id,
            content: work.content,
            arrived_at: facts.arrived_at,
            live,
            relayed: running.ticket.into_relayed(),
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
            relay.run(Some(step)).await;
        });
        reply
    }

    /// Collects a complete answer as JSON text.
    pub(crate) async fn collect_answer(
        &self,
        opened: opening::OpenedRequest<P>,
    ) -> Result<String, filter::EarlyEnd> {
        self.record_first_token(&opened.facts, &opened.running.live);
        let (opened, answer) = collect::collect(&self.opener, opened).await?;
        let facts = &opened.facts;
        let text = chunk::complete_answer(
            facts.work.body.api,
            facts.id,
            &facts.work.body.model,
            self.shared.now_ms() / 1_000,
            &answer.text,
            &answer.report,
        );
        let content = facts.work.content;
        self.shared
            .crash_tracker
            .record_success(content, self.shared.now_ms());
        self.shared.record(
            facts.id,
            kind::EventKind::RequestFinished {
                tokens: answer.report.produced,
                after_ms: shared::millis_since(facts.arrived_at),
                finish: chunk::finish_name(answer.report.finish).to_owned(),
            },
        );
        opened.running.grant.finished(answer.report.produced);
        Ok(text)
    }

    fn token_of(
        &self,
        facts: &request::RequestFacts<request::GenerationWork>,
        terms: &request::Terms,
        live: &attempt::LiveAttempt<P>,
        created_s: u64,
    ) -> String {
        let organisation = facts.view.config.organisation(terms.organisation);
        let kept = self.shared.settings.token_ttl;
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
                chat: facts.work.body.api == body::CompletionApi::Chat,
                model: facts.work.body.model.clone(),
                created_s,
                include_usage: facts.work.body.include_usage,
                expires_ms: self.shared.now_ms().saturating_add(kept_ms),
            })
    }

    fn record_first_token(
        &self,
        facts: &request::RequestFacts<request::GenerationWork>,
        live: &attempt::LiveAttempt<P>,
    ) {
        self.shared.record(
            facts.id,
            kind::EventKind::RequestFirstToken {
                server: live.target().name.clone(),
                after_ms: shared::millis_since(facts.arrived_at),
            },
        );
    }

    /// Records a refusal on the time line and returns it for the caller.
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

/// Refusal for a stored answer at a generation, which holds no claim and so cannot have one.
fn misplaced_answer() -> refusal::RefusalBody {
    let message =
        "internal error: a generation got the stored answer of a service call; report this error";
    refusal::RefusalBody::not_run(refusal::RefusalCode::Internal, message)
        .ran(outcome::RanState::Unknown)
}

fn call_finished(status: u16) -> kind::EventKind {
    kind::EventKind::RequestFinished {
        tokens: 0,
        after_ms: 0,
        finish: status.to_string(),
    }
}
