//! Choice of what to stop when an engine's memory will run out all the same.
//!
//! The engine would stop something by itself, by its own order. Stopping here first is better
//! only where it loses less: the most deferrable, and among those the one that loses the fewest
//! tokens, and only what may be started again.

use crate::{request::TicketKey, ticket};

/// What stopping `state` would lose, in order of preference; absent when it may not be stopped.
fn loss(state: &ticket::TicketState) -> Option<(usize, u32)> {
    let run = state.run?;
    if run.stopping || !state.restartable() {
        return None;
    }
    let deferral = 2 - state.request.class.index();
    Some((deferral, run.produced + run.prefill as u32 / 8))
}

/// The ticket to stop among `tickets`, with the tokens that are lost.
pub fn choose<'a>(
    tickets: impl Iterator<Item = (TicketKey, &'a ticket::TicketState)>,
) -> Option<(TicketKey, u32)> {
    tickets
        .filter_map(|(key, state)| loss(state).map(|loss| (loss, key)))
        .min_by_key(|(loss, _)| *loss)
        .map(|((_, lost), key)| (key, lost))
}
