//! Which runs of a leaving server go where, and in which order.
//!
//! Load pattern: an engine is taken away about two seconds after its notice, with several streams
//! of ten seconds on it. Copies of a run's memory queue on the engine's link, 0.2 s each, so the
//! ones with the most to lose go first, and what ends in time by itself is left alone.

use tokio::time;

use crate::{catalog, fleet, place};

/// A run that is expected to end within this is left where it is: servers serve on for longer.
const LEFT_ALONE: time::Duration = time::Duration::from_millis(600);

/// What to do with one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelocationOrder {
    /// Its copy is at this server already: go on there.
    Switch(fleet::ServerKey),
    /// Copy it to this server, then go on there.
    Move(fleet::ServerKey),
}

/// Orders for the runs of servers that leave, most to lose first. Runs that have an order already
/// get no other; those for which there is no room get none yet.
pub fn plan(
    fleet: &mut fleet::ServerFleet,
    service: &str,
    engine: &catalog::EngineRule,
    now: time::Instant,
    rng: &mut impl rand::Rng,
) -> Vec<(fleet::RunKey, RelocationOrder)> {
    let mut due = due_runs(fleet, service, now);
    due.sort_by_key(|&(_, progress)| std::cmp::Reverse(progress));
    let mut orders = Vec::new();
    for (key, _) in due {
        if let Some(order) = order_of(fleet, key, service, engine, now, rng) {
            if let (Some(run), RelocationOrder::Switch(to) | RelocationOrder::Move(to)) =
                (fleet.run_mut(key), order)
            {
                run.moving_to = Some(to);
            }
            orders.push((key, order));
        }
    }
    orders
}

/// Runs that should move, with what would be lost of each.
fn due_runs(
    fleet: &fleet::ServerFleet,
    service: &str,
    now: time::Instant,
) -> Vec<(fleet::RunKey, u64)> {
    fleet
        .runs()
        .filter(|(_, run)| run.size.is_some() && run.moving_to.is_none())
        .filter(|(_, run)| run.move_after.is_none_or(|after| after <= now))
        .filter(|(_, run)| {
            fleet
                .server(run.server)
                .is_some_and(|server| server.service == service && !server.takes_work(now))
        })
        .filter(|(_, run)| run.expected_rest(now) > LEFT_ALONE)
        .map(|(key, run)| (key, run.held_tokens()))
        .collect()
}

fn order_of(
    fleet: &fleet::ServerFleet,
    key: fleet::RunKey,
    service: &str,
    engine: &catalog::EngineRule,
    now: time::Instant,
    rng: &mut impl rand::Rng,
) -> Option<RelocationOrder> {
    let run = fleet.run(key)?;
    let backup = run.backup.filter(|&backup| {
        fleet
            .server(backup)
            .is_some_and(|server| fleet.gives_work(server, now))
    });
    if let Some(backup) = backup
        && run.first_at.is_some()
    {
        return Some(RelocationOrder::Switch(backup));
    }
    let superseded = fleet
        .server(run.server)
        .is_some_and(|server| server.superseded);
    if !engine.moves || superseded {
        return None;
    }
    let ask = place::CopyAsk {
        source: run.server,
        tokens: run.planned_tokens(),
        beforehand: false,
        service,
    };
    place::choose_copy(fleet, engine, &ask, now, rng).map(RelocationOrder::Move)
}
