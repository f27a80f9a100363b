//! Settles a lost attempt, so that another one may be started.

use std::sync;

use base::{id, refusal};
use tokio::time;

use crate::{attempt, port, proof, shared};

/// Interval between two cancel requests.
const CANCEL_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// A lost attempt that must be settled.
#[derive(Debug)]
pub struct LostAttempt {
    /// Server of the attempt.
    pub target: port::ServerTarget,
    /// Generation of the attempt.
    pub generation: id::GenerationId,
    /// Ticket of the attempt.
    pub ticket: proof::AttemptTicket<proof::GenerationKind>,
}

impl LostAttempt {
    /// Repeats the cancel request until it is answered, the server process is found to have ended,
    /// or `deadline` is reached. Only the first two permit another attempt, unless
    /// [`abandon_after`](crate::settings::PlaneSettings::abandon_after) is set and has passed.
    ///
    /// Otherwise the first generation would run beside the second, and engines would work on
    /// answers that nobody reads, which hurts most when they are short of memory.
    ///
    /// # Errors
    ///
    /// Returns the ticket if the attempt could not be settled; a background task continues to
    /// cancel it.
    pub async fn settle<P: port::PortSet>(
        self,
        shared: &sync::Arc<shared::SharedPlane<P>>,
        loss: attempt::LossKind,
        deadline: time::Instant,
    ) -> Result<proof::StartPermit, proof::AttemptTicket<proof::GenerationKind>> {
        if loss == attempt::LossKind::ServerDied {
            return Ok(self.ticket.server_died());
        }
        let abandon_at = shared
            .settings
            .abandon_after
            .map(|limit| time::Instant::now() + limit);
        loop {
            match shared.cancel_once(&self.target, self.generation).await {
                Ok(Some(answer)) => {
                    return Ok(self.ticket.cancelled(&answer));
                }
                Ok(None) => return Ok(self.ticket.server_died()),
                Err(_) => {}
            }
            let now = time::Instant::now();
            let abandoned = abandon_at.is_some_and(|abandon_at| abandon_at <= now);
            if abandoned || deadline <= now {
                shared.cancel_in_background(self.target, self.generation);
                return if abandoned {
                    Ok(self.ticket.abandoned())
                } else {
                    Err(self.ticket)
                };
            }
            time::sleep(CANCEL_RETRY_INTERVAL).await;
        }
    }
}

/// Refusal for an attempt that could be neither continued nor settled.
pub(crate) fn unsettled(cause: &str) -> refusal::RefusalBody {
    let message = format!("{cause}; the generation may have run there; retry after the given time");
    refusal::RefusalBody::not_run(refusal::RefusalCode::BackendFault, message)
        .retry_after_ms(UNSETTLED_RETRY_MS)
}

/// Retry delay after an attempt that could not be settled, in milliseconds.
const UNSETTLED_RETRY_MS: u64 = 1_000;
