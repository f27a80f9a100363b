//! Authentication filter: identifies the organisation by its API key.

use base::refusal;

use crate::{filter, request};

/// Looks up the organisation of the caller's API key.
#[derive(Clone, Copy, Debug, Default)]
pub struct AuthenticateFilter;

impl<W: Send> filter::Filter<request::Request<W, request::Arrived>> for AuthenticateFilter {
    type Out = request::Request<W, request::Authenticated>;

    async fn apply(
        &self,
        input: request::Request<W, request::Arrived>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        let config = &input.facts.view.config;
        // Without a configuration no key is known. Callers treat "unauthenticated" as final, so
        // those that reach a VM in its first second would never retry.
        if config.revision() == 0 {
            return Err(input.refused(no_configuration()).into());
        }
        let key = input.facts.headers.api_key.as_deref();
        match key.and_then(|key| config.organisation_by_api_key(key)) {
            Some(organisation) => Ok(input.advance(|_| request::Authenticated { organisation })),
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

/// Retry delay of an entry VM that has no configuration yet, in milliseconds.
const NO_CONFIGURATION_RETRY_MS: u64 = 500;

fn no_configuration() -> refusal::RefusalBody {
    let message = "this entry VM has no configuration yet; use another one, or come back later";
    refusal::RefusalBody::not_run(refusal::RefusalCode::NotReady, message)
        .retry_after_ms(NO_CONFIGURATION_RETRY_MS)
}
