//! A request on its way through the filters.
//!
//! Each filter takes a request in one stage and returns it in the next, so that a filter that
//! was left out does not compile.

use std::{sync, time::Duration};

use base::{class, fingerprint, id, refusal};
use conf::snapshot;
use tokio::time;

use crate::{body, path, port, proof, refused, view};

/// What a caller sends beside the body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// From `Authorization: Bearer`.
    pub api_key: Option<String>,
    /// From `X-Traffic-Class`.
    pub requested_class: Option<class::TrafficClass>,
    /// From `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// From `X-Time-Limit-Ms`: the caller waits no longer than this.
    pub time_limit_ms: Option<u64>,
}

/// Work as it came, not yet understood.
pub trait RawWork: Send + Sync + 'static {
    /// The same, understood.
    type Parsed: Work;

    /// Understands it.
    ///
    /// # Errors
    ///
    /// A refusal that says what is wrong.
    fn parse(self, view: &view::PlaneView) -> Result<Self::Parsed, refusal::RefusalBody>;
}

/// Work that the rules can be applied to.
pub trait Work: Send + Sync + 'static {
    /// The model or service.
    fn target(&self) -> snapshot::RequestTarget<'_>;

    /// What it needs a place for.
    fn asked(&self) -> port::RequestedWork;

    /// Its prompt; empty for a plain service call.
    fn prompt(&self) -> sync::Arc<str>;

    /// Servers that can do it, whoever is leaving.
    fn candidates<'a>(&self, view: &'a view::PlaneView) -> &'a [id::ServerKey];

    /// Fingerprint of its content.
    fn fingerprint(&self) -> fingerprint::ContentHash;

    /// Whether its answer is held until whole.
    fn buffered(&self) -> bool;

    /// How long it may take to its first token, or its answer, by the rules.
    fn time_limit(&self, view: &view::PlaneView, class: class::TrafficClass) -> Duration;

    /// Content that must run at most once, with the hash that tells two calls apart.
    fn run_once(&self) -> Option<OnceFacts<'_>>;
}

/// A call that must run at most once.
#[derive(Clone, Copy, Debug)]
pub struct OnceFacts<'a> {
    /// The service.
    pub service: &'a str,
    /// Of method, path and body.
    pub content: fingerprint::ContentHash,
}

/// What stays the same from filter to filter.
#[derive(Debug)]
pub struct RequestFacts<W> {
    /// Drawn at arrival.
    pub id: id::RequestId,
    /// When it arrived.
    pub arrived_at: time::Instant,
    /// What it goes by.
    pub view: view::PlaneView,
    /// What the caller sent beside the body.
    pub headers: CallerHeaders,
    /// The work.
    pub work: W,
    /// Tries so far.
    pub tries: u32,
    /// Servers of failed tries.
    pub avoid: Vec<id::ServerKey>,
}

/// A request in stage `S`.
#[derive(Debug)]
pub struct Request<W, S> {
    /// What stays the same.
    pub facts: RequestFacts<W>,
    /// Right to start a try; says what is known of earlier ones.
    pub permit: proof::StartPermit,
    /// What the filters found.
    pub stage: S,
}

impl<W, S> Request<W, S> {
    /// The same request in its next stage.
    pub fn advance<T, F: FnOnce(S) -> T>(self, stage: F) -> Request<W, T> {
        Request {
            facts: self.facts,
            permit: self.permit,
            stage: stage(self.stage),
        }
    }

    /// Ends the request.
    pub fn refused(self, body: refusal::RefusalBody) -> refused::Refused {
        self.permit.refused(body)
    }
}

/// Nothing is known yet.
#[derive(Debug)]
pub struct Arrived;

/// The caller's key is known.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// Whose key it is.
    pub organisation: id::OrganisationKey,
}

/// The rules were applied.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Who asks.
    pub organisation: id::OrganisationKey,
    /// How long it may wait.
    pub class: class::TrafficClass,
    /// First token, or the whole answer of a plain service call, by then.
    pub due_at: time::Instant,
    /// Time from arrival to `due_at`.
    pub time_limit: Duration,
}

/// It is within its organisation's limits.
#[derive(Debug)]
pub struct Metered<Q> {
    /// What the rules say.
    pub terms: Terms,
    /// Its share of the limits.
    pub quota: Q,
}

/// It is the one call with its key, or needs none.
#[derive(Debug)]
pub struct Claimed<Q, C> {
    /// What the rules say.
    pub terms: Terms,
    /// Its share of the limits.
    pub quota: Q,
    /// Its claim.
    pub claim: C,
}

/// Its content is not quarantined.
#[derive(Debug)]
pub struct Cleared<Q, C, S> {
    /// What was found before.
    pub claimed: Claimed<Q, C>,
    /// Held by content that may crash its server.
    pub probe: S,
}

/// It has a place.
#[derive(Debug)]
pub struct Admitted<Q, C, S, G> {
    /// What was found before.
    pub cleared: Cleared<Q, C, S>,
    /// The place.
    pub grant: G,
}

/// It has a server's address.
#[derive(Debug)]
pub struct Routed<Q, C, S, G> {
    /// What was found before.
    pub admitted: Admitted<Q, C, S, G>,
    /// The server.
    pub target: port::ServerTarget,
}

/// A generation as it came.
#[derive(Debug)]
pub struct RawGeneration {
    /// The face that it came by.
    pub face: body::CallerFace,
    /// Its body.
    pub body: bytes::Bytes,
    /// It is deferrable work that was accepted: no time limit applies, the answer is whole.
    pub job: bool,
}

/// Bytes of text that are taken for one token when a prompt is estimated.
const BYTES_PER_TOKEN: usize = 4;

/// A first token may take this long when nobody waits for it.
const UNHURRIED: Duration = Duration::from_hours(1);

/// A generation, understood.
#[derive(Debug)]
pub struct GenerationWork {
    /// What the caller asks for.
    pub body: body::GenerationBody,
    /// The model in the inventory.
    pub model: String,
    /// The adapter in the inventory.
    pub adapter: Option<String>,
    /// Most tokens to produce.
    pub max_tokens: u32,
    /// Estimate.
    pub prompt_tokens: u32,
    /// Of model, adapter and prompt.
    pub content: fingerprint::ContentHash,
    prompt: sync::Arc<str>,
    job: bool,
}

impl RawWork for RawGeneration {
    type Parsed = GenerationWork;

    fn parse(self, view: &view::PlaneView) -> Result<GenerationWork, refusal::RefusalBody> {
        let bad = |message: String| {
            refusal::RefusalBody::not_run(refusal::RefusalCode::BadRequest, message)
        };
        let mut body = body::GenerationBody::parse(self.face, &self.body)
            .map_err(|fault| bad(fault.to_string()))?;
        let choice = view.model(&body.model)?;
        let (model, adapter) = (choice.model.to_owned(), choice.adapter.map(str::to_owned));
        let context = choice.entry.context_tokens;
        let prompt_tokens =
            u32::try_from(body.prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
        let room = context.saturating_sub(prompt_tokens).max(1);
        let max_tokens = body.max_tokens.unwrap_or(room);
        if max_tokens > context {
            return Err(bad(format!(
                "`max_tokens` is {max_tokens}, model \"{model}\" holds {context}; ask for fewer"
            )));
        }
        if self.job {
            body.stream = false;
        }
        Ok(GenerationWork {
            content: body.fingerprint(),
            prompt: sync::Arc::from(std::mem::take(&mut body.prompt)),
            body,
            model,
            adapter,
            max_tokens,
            prompt_tokens,
            job: self.job,
        })
    }
}

impl GenerationWork {
    /// The prompt, for one start.
    #[must_use]
    pub fn prompt_text(&self) -> String {
        String::from(&*self.prompt)
    }
}

impl Work for GenerationWork {
    fn target(&self) -> snapshot::RequestTarget<'_> {
        snapshot::RequestTarget::Model(&self.model)
    }

    fn asked(&self) -> port::RequestedWork {
        port::RequestedWork::Generation {
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
        }
    }

    fn prompt(&self) -> sync::Arc<str> {
        self.prompt.clone()
    }

    fn candidates<'a>(&self, view: &'a view::PlaneView) -> &'a [id::ServerKey] {
        view.config.servers_of_model(&self.model)
    }

    fn fingerprint(&self) -> fingerprint::ContentHash {
        self.content
    }

    fn buffered(&self) -> bool {
        !self.body.stream
    }

    fn time_limit(&self, view: &view::PlaneView, class: class::TrafficClass) -> Duration {
        let limits = &view.config.rules().time_limits;
        match class {
            _ if self.job => UNHURRIED,
            class::TrafficClass::Urgent => Duration::from_millis(limits.urgent_first_token_ms),
            class::TrafficClass::Normal => Duration::from_millis(limits.normal_first_token_ms),
            class::TrafficClass::Deferrable => UNHURRIED,
        }
    }

    fn run_once(&self) -> Option<OnceFacts<'_>> {
        None
    }
}

/// A plain service call as it came.
#[derive(Debug)]
pub struct RawCall {
    /// The service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service, with its query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: bytes::Bytes,
}

/// A plain service call, understood.
#[derive(Debug)]
pub struct CallWork {
    /// What came.
    pub raw: RawCall,
    /// Whether the rules let it be repeated; absent: it must run at most once.
    pub repeat: Option<proof::RepeatPermit>,
    /// Of service, method, path and body.
    pub content: fingerprint::ContentHash,
}

impl RawWork for RawCall {
    type Parsed = CallWork;

    fn parse(self, view: &view::PlaneView) -> Result<CallWork, refusal::RefusalBody> {
        if !view.config.inventory().services.contains_key(&self.service) {
            return Err(refusal::RefusalBody::not_run(
                refusal::RefusalCode::NotFound,
                format!(
                    "there is no service \"{}\"; check the name in the path",
                    self.service
                ),
            ));
        }
        let path = path::plain_path(&self.path)?;
        let once = view.config.is_non_idempotent(&self.service, &path);
        let content = fingerprint::ContentHash::of_parts(&[
            self.service.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ]);
        Ok(CallWork {
            raw: self,
            repeat: (!once).then(proof::RepeatPermit::idempotent),
            content,
        })
    }
}

impl Work for CallWork {
    fn target(&self) -> snapshot::RequestTarget<'_> {
        snapshot::RequestTarget::Service(&self.raw.service)
    }

    fn asked(&self) -> port::RequestedWork {
        port::RequestedWork::Service {
            service: self.raw.service.clone(),
        }
    }

    fn prompt(&self) -> sync::Arc<str> {
        sync::Arc::from("")
    }

    fn candidates<'a>(&self, view: &'a view::PlaneView) -> &'a [id::ServerKey] {
        view.config.servers_of_service(&self.raw.service)
    }

    fn fingerprint(&self) -> fingerprint::ContentHash {
        self.content
    }

    fn buffered(&self) -> bool {
        true
    }

    fn time_limit(&self, view: &view::PlaneView, _class: class::TrafficClass) -> Duration {
        Duration::from_millis(view.config.rules().time_limits.service_call_ms)
    }

    fn run_once(&self) -> Option<OnceFacts<'_>> {
        self.repeat.is_none().then_some(OnceFacts {
            service: &self.raw.service,
            content: self.content,
        })
    }
}
