//! A request on its way through the filter chain.
//!
//! Each filter takes a request in one stage and returns it in the next, so that a chain with a
//! missing filter does not compile.

use std::{sync, time::Duration};

use base::{class, fingerprint, id, refusal};
use conf::snapshot;
use tokio::time;

use crate::{body, path, port, proof, refused, view};

/// Headers that a caller sends with the body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// From `Authorization: Bearer`.
    pub api_key: Option<String>,
    /// From `X-Traffic-Class`.
    pub requested_class: Option<class::TrafficClass>,
    /// From `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// From `X-Time-Limit-Ms`: the maximum time that the caller waits.
    pub time_limit_ms: Option<u64>,
}

/// Unparsed work.
pub trait RawWork: Send + Sync + 'static {
    /// The parsed work.
    type Parsed: Work;

    /// Parses the work.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states the problem.
    fn parse(self, view: &view::PlaneView) -> Result<Self::Parsed, refusal::RefusalBody>;
}

/// Parsed work, to which the rules apply.
pub trait Work: Send + Sync + 'static {
    /// Model or service that the work targets.
    fn target(&self) -> snapshot::RequestTarget<'_>;

    /// Description of the work for the scheduler and the quotas.
    fn requested(&self) -> port::RequestedWork;

    /// Prompt; empty for a plain service call.
    fn prompt(&self) -> sync::Arc<str>;

    /// Servers that can run the work, including those that are leaving.
    fn candidates<'a>(&self, view: &'a view::PlaneView) -> &'a [id::ServerKey];

    /// Fingerprint of the content.
    fn fingerprint(&self) -> fingerprint::ContentHash;

    /// Whether the answer is buffered until it is complete.
    fn buffered(&self) -> bool;

    /// Time limit by the rules, to the first token or to the answer.
    fn time_limit(&self, view: &view::PlaneView, class: class::TrafficClass) -> Duration;

    /// Returns the service and content hash of a call that must run at most once.
    fn at_most_once(&self) -> Option<AtMostOnceCall<'_>>;
}

/// A call that must run at most once.
#[derive(Clone, Copy, Debug)]
pub struct AtMostOnceCall<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Hash of service, method, path and body, which distinguishes two calls.
    pub content: fingerprint::ContentHash,
}

/// Facts of a request that every stage carries.
#[derive(Debug)]
pub struct RequestFacts<W> {
    /// Identifier, generated on arrival.
    pub id: id::RequestId,
    /// Time of arrival.
    pub arrived_at: time::Instant,
    /// View as of the arrival.
    pub view: view::PlaneView,
    /// Headers that the caller sent.
    pub headers: CallerHeaders,
    /// Work that is requested.
    pub work: W,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Servers of failed attempts.
    pub avoid: Vec<id::ServerKey>,
}

/// A request in stage `S`.
#[derive(Debug)]
pub struct Request<W, S> {
    /// Facts that every stage carries.
    pub facts: RequestFacts<W>,
    /// Right to start an attempt; carries the evidence about earlier ones.
    pub permit: proof::StartPermit,
    /// Results of the filters so far.
    pub stage: S,
}

impl<W, S> Request<W, S> {
    /// Advances the request to its next stage.
    pub fn advance<T, F: FnOnce(S) -> T>(self, stage: F) -> Request<W, T> {
        Request {
            facts: self.facts,
            permit: self.permit,
            stage: stage(self.stage),
        }
    }

    /// Ends the request with a refusal.
    pub fn refused(self, body: refusal::RefusalBody) -> refused::Refused {
        self.permit.refused(body)
    }
}

/// Stage of a request that has arrived and passed no filter.
#[derive(Debug)]
pub struct Arrived;

/// Stage of a request whose API key is known.
#[derive(Clone, Copy, Debug)]
pub struct Authenticated {
    /// Organisation that the key belongs to.
    pub organisation: id::OrganisationKey,
}

/// Stage of a request to which the rules were applied.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Organisation of the caller.
    pub organisation: id::OrganisationKey,
    /// Traffic class, which determines how long the request may wait.
    pub class: class::TrafficClass,
    /// Deadline for the first token, or for the complete answer of a plain service call.
    pub due_at: time::Instant,
    /// Time from arrival to `due_at`.
    pub time_limit: Duration,
}

/// Stage of a request that is within its organisation's limits.
#[derive(Debug)]
pub struct Metered<Q> {
    /// Terms by the rules.
    pub terms: Terms,
    /// Permit for its share of the organisation's limits.
    pub quota: Q,
}

/// Stage of a request that holds the claim on its idempotency key, or needs none.
#[derive(Debug)]
pub struct Claimed<Q, C> {
    /// Terms by the rules.
    pub terms: Terms,
    /// Permit for its share of the organisation's limits.
    pub quota: Q,
    /// Claim on the idempotency key.
    pub claim: C,
}

/// Stage of a request whose content is not quarantined.
#[derive(Debug)]
pub struct Cleared<Q, C, S> {
    /// The previous stage.
    pub claimed: Claimed<Q, C>,
    /// Probe permit of content that may crash its server.
    pub probe: S,
}

/// Stage of a request with a granted slot.
#[derive(Debug)]
pub struct Admitted<Q, C, S, G> {
    /// The previous stage.
    pub cleared: Cleared<Q, C, S>,
    /// Grant of the slot.
    pub grant: G,
}

/// Stage of a request with the address of its server.
#[derive(Debug)]
pub struct Routed<Q, C, S, G> {
    /// The previous stage.
    pub admitted: Admitted<Q, C, S, G>,
    /// Server that runs the request.
    pub target: port::ServerTarget,
}

/// An unparsed generation request.
#[derive(Debug)]
pub struct RawGeneration {
    /// API of the request.
    pub api: body::CompletionApi,
    /// Body of the request.
    pub body: bytes::Bytes,
    /// Whether this is an accepted job: no time limit applies and the answer is not streamed.
    pub job: bool,
}

/// Bytes per token in the estimate of a prompt's length.
const BYTES_PER_TOKEN: usize = 4;

/// Time limit for the first token of work that no caller waits for.
const DEFERRABLE_TIME_LIMIT: Duration = Duration::from_hours(1);

/// A parsed generation request.
#[derive(Debug)]
pub struct GenerationWork {
    /// Parsed body.
    pub body: body::GenerationBody,
    /// Name of the model in the inventory.
    pub model: String,
    /// Name of the adapter in the inventory.
    pub adapter: Option<String>,
    /// Maximum number of tokens to produce.
    pub max_tokens: u32,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Fingerprint of model, adapter and prompt.
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
        let mut body = body::GenerationBody::parse(self.api, &self.body)
            .map_err(|fault| bad(fault.to_string()))?;
        let choice = view.model(&body.model)?;
        let (model, adapter) = (choice.model.to_owned(), choice.adapter.map(str::to_owned));
        let context = choice.entry.context_tokens;
        let prompt_tokens =
            u32::try_from(body.prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
        let available = context.saturating_sub(prompt_tokens).max(1);
        let max_tokens = body.max_tokens.unwrap_or(available);
        if max_tokens > context {
            return Err(bad(format!(
                "`max_tokens` is {max_tokens}, but the context of model \"{model}\" is {context}; request fewer"
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
    /// Returns a copy of the prompt for one start request.
    #[must_use]
    pub fn prompt_text(&self) -> String {
        String::from(&*self.prompt)
    }
}

impl Work for GenerationWork {
    fn target(&self) -> snapshot::RequestTarget<'_> {
        snapshot::RequestTarget::Model(&self.model)
    }

    fn requested(&self) -> port::RequestedWork {
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
            _ if self.job => DEFERRABLE_TIME_LIMIT,
            class::TrafficClass::Urgent => Duration::from_millis(limits.urgent_first_token_ms),
            class::TrafficClass::Normal => Duration::from_millis(limits.normal_first_token_ms),
            class::TrafficClass::Deferrable => DEFERRABLE_TIME_LIMIT,
        }
    }

    fn at_most_once(&self) -> Option<AtMostOnceCall<'_>> {
        None
    }
}

/// An unparsed plain service call.
#[derive(Debug)]
pub struct RawCall {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service, with the query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: bytes::Bytes,
}

/// A parsed plain service call.
#[derive(Debug)]
pub struct CallWork {
    /// The call as it was received.
    pub raw: RawCall,
    /// Permit to repeat the call by the rules; `None`: it must run at most once.
    pub repeat: Option<proof::RepeatPermit>,
    /// Fingerprint of service, method, path and body.
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

    fn requested(&self) -> port::RequestedWork {
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

    fn at_most_once(&self) -> Option<AtMostOnceCall<'_>> {
        self.repeat.is_none().then_some(AtMostOnceCall {
            service: &self.raw.service,
            content: self.content,
        })
    }
}
