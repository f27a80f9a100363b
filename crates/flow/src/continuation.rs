//! Continuation of a broken stream on any entry VM, identified by its continuation token.

use std::time::Duration;

use base::refusal;

use crate::{
    attempt, authenticate, chunk,
    filter::{self, Filter as _},
    pipe, plane,
    port::{self, PeerLink as _},
    proof, refused, relay, request, running, shared, token,
};

/// Retry delay given when this entry VM does not know the generation's server yet.
const UNKNOWN_SERVER_RETRY: Duration = Duration::from_secs(1);

/// Retry delay given after a generation was lost; short, because a new one can start at once.
const LOST_RETRY: Duration = Duration::from_millis(100);

impl<P: port::PortSet> plane::RequestPlane<P> {
    /// Serves `GET /v1/generations/<token>?from=N`: streams the same generation from token
    /// number `from` on.
    ///
    /// # Errors
    ///
    /// A refusal with the known run state; `generation_lost` when the generation no longer exists.
    pub async fn continue_generation(
        &self,
        headers: request::CallerHeaders,
        token: &str,
        from: u32,
    ) -> Result<plane::StreamReply, plane::RefusedRequest> {
        let arrived = self.arrive(headers, ());
        let request = arrived.facts.id;
        let reply = self.continue_arrived(arrived, token, from).await;
        reply.map_err(|end| self.refused(request, end))
    }

    async fn continue_arrived(
        &self,
        arrived: request::Request<(), request::Arrived>,
        token: &str,
        from: u32,
    ) -> Result<plane::StreamReply, filter::EarlyEnd> {
        let (arrived, pass) = self.enter(arrived)?;
        let known = authenticate::AuthenticateFilter.apply(arrived).await?;
        let (facts, target) = match self.resolve(&known, token) {
            Ok(resolved) => resolved,
            Err(body) => return Err(known.refused(body).into()),
        };
        let shared = self.shared();
        let reader = shared.readers.enter(facts.generation);
        if facts.vm != shared.settings.vm {
            shared.ports.peers().adopted(&facts.vm, facts.generation);
        }
        let silence_timeout = running::silence_timeout(&known.facts.view);
        let live = self.connect(&facts, target, from, silence_timeout).await?;
        let (writer_end, stream) = pipe::pipe();
        let run_guard = shared
            .crash_tracker
            .begin(live.target().key, facts.content, false);
        let relay = relay::StreamRelay {
            shared: shared.clone(),
            request: facts.request,
            content: facts.content,
            arrived_at: known.facts.arrived_at,
            live,
            relayed: proof::RelayedAttempt::continued(),
            resources: relay::StreamResources {
                grant: None,
                quota: None,
                run_guard,
                probe: None,
            },
            writer: chunk_writer(&facts),
            pipe: writer_end,
            reader,
            token: token.to_owned(),
        };
        tokio::spawn(async move {
            let _pass = pass;
            relay.run(None).await;
        });
        Ok(plane::StreamReply {
            request: facts.request,
            token: token.to_owned(),
            stream,
        })
    }

    /// Connects to a generation that is already running.
    async fn connect(
        &self,
        facts: &token::ContinuationFacts,
        target: port::ServerTarget,
        from: u32,
        silence_timeout: Duration,
    ) -> Result<attempt::LiveAttempt<P>, refused::Refused> {
        let shared = self.shared();
        let limits = (silence_timeout, shared.settings.opening_reconnect_timeout);
        let mut live = attempt::LiveAttempt::continued(
            shared.clone(),
            facts.request,
            target,
            facts.generation,
            from,
            limits,
        );
        match live.connect().await {
            Ok(()) => {
                live.set_reconnect_timeout(plane::MAX_RECONNECT_TIMEOUT);
                Ok(live)
            }
            Err(loss) => {
                // Another relay may still read the generation, and this caller may retry.
                live.release();
                Err(proof::RelayedAttempt::continued().refused(not_continued(&loss)))
            }
        }
    }

    /// Verifies the token, checks that the caller's organisation owns it and looks up the
    /// generation's server.
    fn resolve(
        &self,
        known: &request::Request<(), request::Authenticated>,
        token: &str,
    ) -> Result<(token::ContinuationFacts, port::ServerTarget), refusal::RefusalBody> {
        let shared = self.shared();
        let facts = shared.settings.token_keys.verify(token, shared.now_ms())?;
        let view = &known.facts.view;
        let organisation = view.config.organisation(known.stage.organisation);
        if organisation.is_none_or(|organisation| organisation.name != facts.organisation) {
            return Err(refusal::RefusalBody::not_run(
                refusal::RefusalCode::Forbidden,
                "the continuation token belongs to another organisation; use the API key that the \
                 request was sent with",
            ));
        }
        let key = view.config.server_key(&facts.server);
        match key.and_then(|key| view.target(key)) {
            Some(target) => Ok((facts, target)),
            // The token was issued under a newer configuration, which this entry VM will soon get.
            None if facts.revision > view.config.revision() => {
                let message = "this entry VM does not know the generation's server yet; retry \
                               after the given time";
                let code = refusal::RefusalCode::NotReady;
                Err(shared::retryable_refusal(
                    code,
                    message,
                    UNKNOWN_SERVER_RETRY,
                ))
            }
            None => Err(lost("its backend server is no longer in the inventory")),
        }
    }
}

fn chunk_writer(facts: &token::ContinuationFacts) -> chunk::ChunkWriter {
    chunk::ChunkWriter::new(
        facts.api(),
        facts.request,
        &facts.model,
        facts.created_s,
        facts.include_usage,
    )
}

fn not_continued(loss: &attempt::AttemptLoss) -> refusal::RefusalBody {
    match loss.kind {
        attempt::LossKind::Unreachable => {
            let message = format!("{}; retry here or at another entry VM", loss.cause);
            let code = refusal::RefusalCode::Unavailable;
            shared::retryable_refusal(code, message, UNKNOWN_SERVER_RETRY)
        }
        attempt::LossKind::ServerDied
        | attempt::LossKind::NotHeld
        | attempt::LossKind::Declined
        | attempt::LossKind::Ended => lost(&loss.cause),
    }
}

fn lost(cause: &str) -> refusal::RefusalBody {
    let message = format!("the generation is lost: {cause}; send the request again");
    shared::retryable_refusal(refusal::RefusalCode::GenerationLost, message, LOST_RETRY)
}
