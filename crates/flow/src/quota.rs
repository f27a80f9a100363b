//! Filter: is the organisation within its limits, and is there any hope of a place?

use std::sync;

use base::outcome;
use tokio::time;

use crate::{
    admit, filter,
    port::{self, ClaimStore as _, QuotaLimiter as _, Scheduler as _},
    refused, request, shared,
};

/// Takes the request's share of its organisation's limits, and refuses early under overload.
///
/// Early, because a request that will be refused should cost neither a place in a queue nor an
/// append on the log.
#[derive(Clone, Debug)]
pub struct QuotaFilter<P> {
    shared: sync::Arc<shared::SharedPlane<P>>,
}

impl<P: port::PortSet> QuotaFilter<P> {
    /// The filter of one plane.
    #[must_use]
    pub const fn new(shared: sync::Arc<shared::SharedPlane<P>>) -> Self {
        Self { shared }
    }

    /// Whether this is a repeat of a keyed call that this process knows of.
    fn repeats_known<W: request::Work>(&self, input: &request::Request<W, request::Terms>) -> bool {
        let facts = &input.facts;
        let organisation = facts.view.config.organisation(input.stage.organisation);
        let key = facts.headers.idempotency_key.as_deref();
        match (facts.work.run_once(), key, organisation) {
            (Some(_), Some(key), Some(view)) => self.shared.ports.claims().seen(&view.name, key),
            _ => false,
        }
    }
}

/// What a request holds of its organisation's limits.
pub type QuotaPermit<P> = <<P as port::PortSet>::Quotas as port::QuotaLimiter>::Permit;

impl<P: port::PortSet, W: request::Work> filter::Filter<request::Request<W, request::Terms>>
    for QuotaFilter<P>
{
    type Out = request::Request<W, request::Metered<QuotaPermit<P>>>;

    async fn apply(
        &self,
        input: request::Request<W, request::Terms>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        let ask = admit::ask_of(&input.facts, &input.stage, Vec::new(), false);
        let repeats = self.repeats_known(&input);
        let refused = |input: request::Request<W, request::Terms>, body| {
            if repeats {
                // Not run, this time; but the caller asks about its first call.
                refused::Refused::of_claim(body, outcome::RanState::Unknown)
            } else {
                input.refused(body)
            }
        };
        // A repeat costs no place: it is given the stored answer, also under overload.
        if !repeats && let Some(body) = self.shared.ports.schedule().early_refusal(&ask) {
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
            .take(organisation, rule, &ask.work, now)
        {
            Ok(quota) => Ok(input.advance(|terms| request::Metered { terms, quota })),
            Err(body) => Err(refused(input, body).into()),
        }
    }
}
