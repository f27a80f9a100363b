//! Collects a complete answer of one generation and restarts generations that are lost.

use crate::{
    attempt, filter, opening,
    port::{self, Grant as _, QuotaPermit as _},
    relay,
};

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteText {
    /// Text of all tokens of one generation.
    pub text: String,
    /// Finish report of the generation.
    pub report: port::FinishReport,
}

/// Next step of a generation that is being collected.
enum CollectStep {
    Step(attempt::AttemptStep),
    Preempted,
}

/// Collects the answer to its end. If a generation is lost, all its tokens are discarded and
/// another one starts from the beginning, since none of them has been sent to the caller.
///
/// # Errors
///
/// Returns a refusal that states whether any attempt ran.
pub async fn collect<P: port::PortSet>(
    opener: &opening::GenerationOpener<P>,
    opened: opening::OpenedRequest<P>,
) -> Result<(opening::OpenedRequest<P>, CompleteText), filter::EarlyEnd> {
    let mut opened = opened;
    loop {
        match collect_one(&mut opened).await {
            Ok(answer) => return Ok((opened, answer)),
            Err(loss) => opened = opener.reopen(opened, loss).await?,
        }
    }
}

/// Collects one generation; `Err(None)` means that the scheduler preempted it.
async fn collect_one<P: port::PortSet>(
    opened: &mut opening::OpenedRequest<P>,
) -> Result<CompleteText, Option<attempt::AttemptLoss>> {
    let mut text = String::new();
    let mut unreported = 0;
    let mut step = opened.step.clone();
    let running = &mut opened.running;
    loop {
        match step {
            attempt::AttemptStep::Token { text: token, .. } => {
                text.push_str(&token);
                opened.claimed.quota.charge(1);
                unreported += 1;
                if unreported == relay::PROGRESS_BATCH {
                    running.grant.progress(std::mem::take(&mut unreported));
                }
            }
            attempt::AttemptStep::Finished(report) => return Ok(CompleteText { text, report }),
            attempt::AttemptStep::Lost(loss) => return Err(Some(loss)),
        }
        let next = tokio::select! {
            biased;
            step = running.live.next() => CollectStep::Step(step),
            () = running.grant.preempted() => CollectStep::Preempted,
        };
        step = match next {
            CollectStep::Step(step) => step,
            CollectStep::Preempted => return Err(None),
        };
    }
}
