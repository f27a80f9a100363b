//! Classification filter: parses the work and determines its traffic class and deadline.

use std::{sync, time::Duration};

use base::id;
use conf::snapshot;
use trace::kind;

use crate::{
    filter, port,
    request::{self, RawWork, Work as _},
    shared,
};

/// Parses the work and applies the rules to it.
#[derive(Clone, Debug)]
pub struct ClassifyFilter<P> {
    shared: sync::Arc<shared::SharedPlane<P>>,
}

impl<P: port::PortSet> ClassifyFilter<P> {
    /// Creates the filter of one request plane.
    #[must_use]
    pub const fn new(shared: sync::Arc<shared::SharedPlane<P>>) -> Self {
        Self { shared }
    }
}

impl<P: port::PortSet, W: RawWork> filter::Filter<request::Request<W, request::Authenticated>>
    for ClassifyFilter<P>
{
    type Out = request::Request<W::Parsed, request::Terms>;

    async fn apply(
        &self,
        input: request::Request<W, request::Authenticated>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        let request::Request {
            facts,
            permit,
            stage,
        } = input;
        let work = match facts.work.parse(&facts.view) {
            Ok(work) => work,
            Err(body) => return Err(permit.refused(body).into()),
        };
        let config = &facts.view.config;
        let requested = facts.headers.requested_class;
        let class = config.class_of(stage.organisation, work.target(), requested);
        let default_limit = work.time_limit(&facts.view, class);
        let caller_limit = facts.headers.time_limit_ms.map(Duration::from_millis);
        let time_limit = caller_limit.map_or(default_limit, |limit| limit.min(default_limit));
        let taken = taken(config, stage.organisation, work.target());
        self.shared.record(facts.id, taken);
        self.shared.record(
            facts.id,
            kind::EventKind::RequestClassified {
                class,
                reason: requested
                    .map_or("rules", |_| "rules, class requested by the caller")
                    .to_owned(),
            },
        );
        let terms = request::Terms {
            organisation: stage.organisation,
            class,
            due_at: facts.arrived_at + time_limit,
            time_limit,
        };
        let facts = request::RequestFacts {
            work,
            id: facts.id,
            arrived_at: facts.arrived_at,
            view: facts.view,
            headers: facts.headers,
            attempts: facts.attempts,
            avoid: facts.avoid,
        };
        Ok(request::Request {
            facts,
            permit,
            stage: terms,
        })
    }
}

/// Builds the first event of a request: its organisation and its target.
fn taken(
    config: &snapshot::ConfigSnapshot,
    organisation: id::OrganisationKey,
    target: snapshot::RequestTarget<'_>,
) -> kind::EventKind {
    let organisation = config.organisation(organisation);
    let target = match target {
        snapshot::RequestTarget::Model(name) | snapshot::RequestTarget::Service(name) => name,
    };
    kind::EventKind::RequestTaken {
        organisation: organisation.map_or_else(String::new, |view| view.name.clone()),
        target: target.to_owned(),
    }
}
