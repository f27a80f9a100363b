//! Chooses target servers and order for the runs of leaving servers.
//!
//! Load pattern: an engine is removed about two seconds after its notice, while it serves several
//! streams of ten seconds. Copies of the runs' memory queue on the engine's link for 0.2 s each, so
//! the runs with the most to lose go first, and runs that end in time by themselves stay.

use tokio::time;

use crate::{catalog, fleet, place};

/// A run that is expected to end within this time is not moved: servers serve for longer than this
/// after their notice.
const MIN_REMAINING_TO_MOVE: time::Duration = time::Duration::from_millis(600);

/// How one run is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelocationOrder {
    /// Continue on this server, which already has a copy.
    Switch(fleet::ServerKey),
    /// Copy the run to this server, then continue there.
    Move(fleet::ServerKey),
}

/// Returns orders for the `due` runs of leaving servers, the runs with the most to lose first. Runs with
/// a pending order get no second one; runs that fit on no server get one later, and so do those
/// beyond the first `max_orders`. The first request of each order to either server is counted
/// against its limit.
pub fn plan(
    fleet: &mut fleet::ServerFleet,
    mut due: Vec<(fleet::RunKey, u64)>,
    service: &str,
    engine: &catalog::EngineRule,
    now: time::Instant,
    rng: &mut impl rand::Rng,
    max_orders: usize,
) -> Vec<(fleet::RunKey, RelocationOrder)> {
    due.sort_by_key(|&(_, progress)| std::cmp::Reverse(progress));
    let mut orders = Vec::new();
    for (key, _) in due {
        if orders.len() >= max_orders {
            break;
        }
        if let Some(order) = choose_order(fleet, key, service, engine, now, rng) {
            let source = fleet.run(key).map(|run| run.server);
            let (RelocationOrder::Switch(to) | RelocationOrder::Move(to)) = order;
            if let (Some(source), RelocationOrder::Move(_)) = (source, order) {
                fleet.count_request(source, now);
            }
            fleet.count_request(to, now);
            if let Some(run) = fleet.run_mut(key) {
                run.moving_to = Some(to);
            }
            orders.push((key, order));
        }
    }
    orders
}

/// Runs of leaving servers that should move, with the tokens that would be lost with each.
#[must_use]
pub fn due_runs(
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
        .filter(|(_, run)| run.expected_remaining(now) > MIN_REMAINING_TO_MOVE)
        .map(|(key, run)| (key, run.used_tokens()))
        .collect()
}

fn choose_order(
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
            .is_some_and(|server| fleet.is_eligible(server, now) && server.allows_request(now))
    });
    if let Some(backup) = backup
        && run.first_at.is_some()
    {
        return Some(RelocationOrder::Switch(backup));
    }
    copy_target(fleet, key, service, engine, now, rng).map(RelocationOrder::Move)
}

/// Returns the server to which a run can be copied from its server.
pub fn copy_target(
    fleet: &fleet::ServerFleet,
    key: fleet::RunKey,
    service: &str,
    engine: &catalog::EngineRule,
    now: time::Instant,
    rng: &mut impl rand::Rng,
) -> Option<fleet::ServerKey> {
    let run = fleet.run(key)?;
    let superseded = fleet
        .server(run.server)
        .is_some_and(|server| server.superseded);
    if !engine.moves || superseded || !fleet.may_send(run.server, now) {
        return None;
    }
    let request = place::CopyRequest {
        source: run.server,
        tokens: run.planned_tokens(),
        proactive: false,
        service,
        need: run.pause_need(engine),
    };
    place::choose_copy(fleet, engine, &request, now, rng)
}
