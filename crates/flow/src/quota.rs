//! Quota filter: enforces the limits of organisations and refuses early under overload.

use std::sync;

use base::outcome;
use tokio::time;

use crate::{
    admit, filter,
    port::{self, ClaimStore as _, QuotaLimiter as _, Scheduler as _},
    refused, request, shared,
};

/// Charges a request to its organisation's limits and refuses early under overload.
///
/// Refusing early saves a place in the queue and an append on the log for a request that would be
/// refused anyway.
#[derive(Clone, Debug)]
pub struct QuotaFilter<P> {
    shared: sync::Arc<shared::SharedPlane<P>>,
}

impl<P: port::PortSet> QuotaFilter<P> {
    /// Creates the filter of one request plane.
    #[must_use]
    pub const fn new(shared: sync::Arc<shared::SharedPlane<P>>) -> Self {
        Self { shared }
    }

    /// Whether this repeats a call whose idempotency key this process has already seen.
    fn is_known_repeat<W: request::Work>(
        &self,
        input: &request::Request<W, request::Terms>,
    ) -> bool {
        let facts = &input.facts;
        let organisation = facts.view.config.organisation(input.stage.organisation);
        let key = facts.headers.idempotency_key.as_deref();
        match (facts.work.at_most_once(), key, organisation) {
            (Some(_), Some(key), Some(view)) => self.shared.ports.claims().seen(&view.name, key),
            _ => false,
        }
    }
}

/// Permit for a request's share of its organisation's limits.
pub type QuotaPermit<P> = <<P as port::PortSet>::Quotas as port::QuotaLimiter>::Permit;

impl<P: port::PortSet, W: request::Work> filter::Filter<request::Request<W, request::Terms>>
    for QuotaFilter<P>
{
    type Out = request::Request<W, request::Metered<QuotaPermit<P>>>;

    async fn apply(
        &self,
        input: request::Request<W, request::Terms>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        let request = admit::admission_request(&input.facts, &input.stage, Vec::new(), false);
        let is_repeat = self.is_known_repeat(&input);
        let refused = |input: request::Request<W, request::Terms>, body| {
            if is_repeat {
                // This call did not run, but the answer must hold for the first call.
                refused::Refused::for_repeat(body, outcome::RanState::Unknown)
            } else {
                input.refused(body)
            }
        };
        // A repeat needs no slot: it gets the stored answer, also under overload.
        if !is_repeat && let Some(body) = self.shared.ports.schedule().early_refusal(&request) {
            return Err(input.refused(body).into());
        }
        let config = &input.facts.view.config;
        let rules = config.rules();
        let rule = config
            .organisation(input.stage.organisation)
            .map_or(&rules.default_organisation, |organisation| {
                &organisation.rule
            });
        let organisation = input.stage.organisation;
        let now = time::Instant::now();
        match self
            .shared
            .ports
            .quotas()
            .take(organisation, rule, &request.work, now)
        {
            Ok(quota) => Ok(input.advance(|terms| request::Metered { terms, quota })),
            Err(body) => Err(refused(input, body).into()),
        }
    }
}
