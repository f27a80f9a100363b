//! Settling a lost try, so that another may be started.

use std::sync;

use base::{id, refusal};
use tokio::time;

use crate::{attempt, port, proof, shared};

/// Pause between two orders to cancel.
const CANCEL_RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// A try that is to be settled.
#[derive(Debug)]
pub struct LostAttempt {
    /// Its server.
    pub target: port::ServerTarget,
    /// Its generation.
    pub generation: id::GenerationId,
    /// What stayed here.
    pub ticket: proof::AttemptTicket<proof::GenerationKind>,
}

impl LostAttempt {
    /// Cancels the generation until that is answered, its server's process is found gone, or
    /// `until`. Only then is there a permit for another.
    ///
    /// What goes wrong otherwise: the first generation runs on beside the second. One would
    /// notice engines that work on answers which nobody reads, most of all when they are short
    /// of memory.
    ///
    /// # Errors
    ///
    /// The ticket, when the try could not be settled; a standing order to cancel it remains.
    pub async fn settle<P: port::PortSet>(
        self,
        shared: &sync::Arc<shared::SharedPlane<P>>,
        loss: attempt::LossKind,
        until: time::Instant,
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
            if abandoned || until <= now {
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

/// What a caller is told when a try could be neither continued nor settled.
pub(crate) fn unsettled(cause: &str) -> refusal::RefusalBody {
    let message = format!("{cause}; it may have run there; ask again after the time given");
    refusal::RefusalBody::not_run(refusal::RefusalCode::BackendFault, message)
        .retry_after_ms(UNSETTLED_RETRY_MS)
}

/// When to come back after a try was lost.
const UNSETTLED_RETRY_MS: u64 = 1_000;
