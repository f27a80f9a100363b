//! Filter: whose API key is it?

use base::refusal;

use crate::{filter, request};

/// Finds the organisation of the caller's API key.
#[derive(Clone, Copy, Debug, Default)]
pub struct AuthenticateFilter;

impl<W: Send> filter::Filter<request::Request<W, request::Arrived>> for AuthenticateFilter {
    type Out = request::Request<W, request::Known>;

    async fn apply(
        &self,
        input: request::Request<W, request::Arrived>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        let config = &input.facts.view.config;
        let key = input.facts.headers.api_key.as_deref();
        match key.and_then(|key| config.organisation_by_api_key(key)) {
            Some(organisation) => Ok(input.advance(|_| request::Known { organisation })),
            None => {
                let body = refusal::RefusalBody::not_run(
                    refusal::RefusalCode::Unauthenticated,
                    "no known API key; send `Authorization: Bearer <key>` of an organisation in \
                     the inventory",
                );
                Err(input.refused(body).into())
            }
        }
    }
}
