//! Collecting a whole answer, of one generation, over as many generations as that takes.

use crate::{
    attempt, filter, opening,
    port::{self, Grant as _, QuotaPermit as _},
    relay,
};

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeText {
    /// All tokens of one generation.
    pub text: String,
    /// How it ended.
    pub report: port::FinishReport,
}

/// What came next of a generation that is collected.
enum CollectStep {
    Step(attempt::TryStep),
    Preempted,
}

/// Collects to the end. A generation that is lost on the way is thrown away whole, and another
/// begins from nothing: none of it has left for the caller.
///
/// # Errors
///
/// An honest refusal that says what is known of the tries.
pub async fn collect<P: port::PortSet>(
    opener: &opening::GenerationOpener<P>,
    opened: opening::OpenedRequest<P>,
) -> Result<(opening::OpenedRequest<P>, WholeText), filter::EarlyEnd> {
    let mut opened = opened;
    loop {
        match collect_one(&mut opened).await {
            Ok(whole) => return Ok((opened, whole)),
            Err(loss) => opened = opener.reopen(opened, loss).await?,
        }
    }
}

/// Collects one generation; `Err(None)`: the scheduler stopped it.
async fn collect_one<P: port::PortSet>(
    opened: &mut opening::OpenedRequest<P>,
) -> Result<WholeText, Option<attempt::TryLoss>> {
    let mut text = String::new();
    let mut unreported = 0;
    let mut step = opened.step.clone();
    let running = &mut opened.running;
    loop {
        match step {
            attempt::TryStep::Token { text: token, .. } => {
                text.push_str(&token);
                opened.claimed.quota.charge(1);
                unreported += 1;
                if unreported == relay::PROGRESS_BATCH {
                    running.grant.progress(std::mem::take(&mut unreported));
                }
            }
            attempt::TryStep::Finished(report) => return Ok(WholeText { text, report }),
            attempt::TryStep::Lost(loss) => return Err(Some(loss)),
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
