//! Choice of the generation to preempt when an engine is about to run out of memory.
//!
//! The engine would preempt a generation by its own order. Preempting one here first is better only
//! where it loses less, so only restartable generations are considered: the most deferrable class
//! first, and within it the generation that loses the fewest tokens.

use crate::{request::TicketKey, ticket};

/// Returns the preemption cost of `state` in order of preference, or `None` if it must not be
/// preempted.
fn loss(state: &ticket::TicketState) -> Option<(usize, u32)> {
    let run = state.run?;
    if run.stopping || !state.restartable() {
        return None;
    }
    let deferral = 2 - state.request.class.index();
    Some((deferral, run.produced + run.prefill as u32 / 8))
}

/// Returns the ticket to preempt among `tickets` and the number of tokens lost.
pub fn choose<'a>(
    tickets: impl Iterator<Item = (TicketKey, &'a ticket::TicketState)>,
) -> Option<(TicketKey, u32)> {
    tickets
        .filter_map(|(key, state)| loss(state).map(|loss| (loss, key)))
        .min_by_key(|(loss, _)| *loss)
        .map(|((_, lost), key)| (key, lost))
}
