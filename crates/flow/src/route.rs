//! Routing filter: resolves the address of the granted server and checks that it still takes work.

use std::{sync, time::Duration};

use base::refusal;
use tokio::{sync::watch, time};

use crate::{filter, port, quarantine, request, shared, view};

/// Retry delay if no granted server takes work.
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);

/// Delay before requesting another slot, so that the scheduler learns which servers are leaving.
const REQUEUE_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of grants that are checked before a request is refused.
const MAX_GRANTS: u32 = 5;

/// Resolves the granted server.
///
/// The server is checked again after the grant. Otherwise a slot that was granted before the server
/// was known to be leaving would start work there more than two seconds after the first source
/// reported it.
#[derive(Clone, Debug)]
pub struct RouteFilter {
    views: watch::Receiver<sync::Arc<view::PlaneView>>,
}

impl RouteFilter {
    /// Creates the filter of one request plane. It uses the newest view, not the request's own.
    #[must_use]
    pub const fn new(views: watch::Receiver<sync::Arc<view::PlaneView>>) -> Self {
        Self { views }
    }

    fn target<G: port::Grant>(&self, grant: &G) -> Option<port::ServerTarget> {
        let view = self.views.borrow().clone();
        let key = grant.server();
        let target = view.target(key);
        target.filter(|_| view.takes_work(key))
    }

    /// Resolves the grant's server, or requests another grant if that server takes no work.
    async fn resolve<G: port::Grant>(
        &self,
        mut grant: G,
        due_at: time::Instant,
    ) -> Result<(G, port::ServerTarget), refusal::RefusalBody> {
        for _ in 0..MAX_GRANTS {
            if let Some(target) = self.target(&grant) {
                return Ok((grant, target));
            }
            time::sleep(REQUEUE_DELAY).await;
            grant = match time::timeout_at(due_at, grant.requeue()).await {
                Ok(Ok(other)) => other,
                Ok(Err(body)) => return Err(body),
                Err(_) => break,
            };
        }
        let message = "every backend server that was chosen is leaving; retry after the given \
                       time";
        Err(shared::retryable_refusal(
            refusal::RefusalCode::Unavailable,
            message,
            NO_SERVER_RETRY,
        ))
    }
}

/// Stage of a request that was granted a slot.
type AdmittedStage<Q, C, G> = request::Admitted<Q, C, Option<quarantine::ProbePermit>, G>;

/// A request with the address of its server.
pub type RoutedRequest<W, Q, C, G> =
    request::Request<W, request::Routed<Q, C, Option<quarantine::ProbePermit>, G>>;

impl<W, Q, C, G> filter::Filter<request::Request<W, AdmittedStage<Q, C, G>>> for RouteFilter
where
    W: request::Work,
    Q: Send + Sync,
    C: Send + Sync,
    G: port::Grant,
{
    type Out = RoutedRequest<W, Q, C, G>;

    async fn apply(
        &self,
        input: request::Request<W, AdmittedStage<Q, C, G>>,
    ) -> Result<Self::Out, filter::EarlyEnd> {
        let request::Request {
            facts,
            permit,
            stage,
        } = input;
        let due_at = stage.cleared.claimed.terms.due_at;
        match self.resolve(stage.grant, due_at).await {
            Ok((grant, target)) => {
                let admitted = request::Admitted {
                    cleared: stage.cleared,
                    grant,
                };
                let stage = request::Routed { admitted, target };
                Ok(request::Request {
                    facts,
                    permit,
                    stage,
                })
            }
            Err(body) => Err(permit.refused(body).into()),
        }
    }
}
