//! Orders to engines: two designs, one for servers that check fencing numbers and one for those
//! that ignore them.
//!
//! [`FencedOrder`]: the server refuses a number lower than the newest that it saw, so an order of
//! an old holder cannot land after a new holder's first, whatever clocks and pauses do.
//!
//! [`UnfencedOrder`]: nothing but time keeps an old order out. The giver first reads the state
//! over a new connection; the answer proves that the server has seen the connection. The order
//! follows on the same connection only when its whole time limit, counted from then, fits within
//! the lease. The giver may be paused between that check and sending, or the network may hold the
//! order back: the server then refuses it as too late. A successor's first order comes after the
//! longest earlier lease and order together, counted from when it read that the lease is its own.
//!
//! Both state what is wanted, so giving one again is harmless, and a lost answer is settled by the
//! reading that opens the next attempt.

use tokio::time;

use crate::engine::{EngineClient, EngineConnection};
use crate::{engine, holder};

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server is as wanted, or becomes it; nothing was sent.
    InPlace(engine::EngineState),
    /// The order took effect.
    Given(engine::EngineState),
    /// A newer holder exists; give no further orders under this lease.
    Lost,
    /// Nothing was sent.
    NotSent(holder::PermitFault),
    /// The server did not answer as hoped; the next attempt reads what became of it.
    Failed(engine::EngineFault),
}

/// An order to a server that refuses old fencing numbers.
#[derive(Clone, Debug)]
pub struct FencedOrder {
    /// Leave to give it.
    pub permit: holder::OrderPermit,
    /// Leave to place the model: whoever has it alone counts the model's engines.
    pub rollout: Option<holder::OrderPermit>,
    /// What is wanted.
    pub want: engine::WantedState,
}

/// An order to a server that ignores fencing numbers.
#[derive(Clone, Debug)]
pub struct UnfencedOrder {
    /// Leave to give it.
    pub permit: holder::OrderPermit,
    /// Leave to place the model: whoever has it alone counts the model's engines.
    pub rollout: Option<holder::OrderPermit>,
    /// What is wanted.
    pub want: engine::WantedState,
}

impl FencedOrder {
    /// Reads the server's state and gives the order where it differs.
    pub async fn give<C: EngineClient>(
        &self,
        client: &C,
        address: std::net::SocketAddr,
    ) -> OrderOutcome {
        give(client, address, &self.permit, &self.want, |now| {
            check_rollout(self.rollout.as_ref(), now)?;
            self.permit.check_fenced(now)
        })
        .await
    }
}

impl UnfencedOrder {
    /// Reads the server's state and gives the order where it differs.
    pub async fn give<C: EngineClient>(
        &self,
        client: &C,
        address: std::net::SocketAddr,
    ) -> OrderOutcome {
        give(client, address, &self.permit, &self.want, |now| {
            check_rollout(self.rollout.as_ref(), now)?;
            self.permit.check_unfenced(now)
        })
        .await
    }
}

/// No server checks the number of the lease on a model, so its rule is the one for such servers.
fn check_rollout(
    rollout: Option<&holder::OrderPermit>,
    now: time::Instant,
) -> Result<(), holder::PermitFault> {
    rollout.map_or(Ok(()), |permit| permit.check_unfenced(now))
}

async fn give<C: EngineClient>(
    client: &C,
    address: std::net::SocketAddr,
    permit: &holder::OrderPermit,
    want: &engine::WantedState,
    check: impl Fn(time::Instant) -> Result<(), holder::PermitFault>,
) -> OrderOutcome {
    let mut connection = match client.open(address).await {
        Ok(connection) => connection,
        Err(fault) => return OrderOutcome::Failed(fault),
    };
    let state = match connection.state().await {
        Ok(state) => state,
        Err(fault) => return OrderOutcome::Failed(fault),
    };
    if let Some(outcome) = settled(permit, want, &state) {
        return outcome;
    }
    let body = engine::OrderBody {
        fencing: Some(permit.fencing()),
        want: want.clone(),
        within_ms: permit.order_ms(),
    };
    // After the reading, not before it: the reading may have taken longer than the lease.
    if let Err(fault) = check(time::Instant::now()) {
        return OrderOutcome::NotSent(fault);
    }
    match connection.order(&body).await {
        Ok(state) => OrderOutcome::Given(state),
        Err(engine::EngineFault::OldFencing) => OrderOutcome::Lost,
        Err(fault) => OrderOutcome::Failed(fault),
    }
}

/// What the reading alone decides. Servers tell the newest number also when they ignore it.
fn settled(
    permit: &holder::OrderPermit,
    want: &engine::WantedState,
    state: &engine::EngineState,
) -> Option<OrderOutcome> {
    if state
        .fencing
        .is_some_and(|newest| newest > permit.fencing())
    {
        return Some(OrderOutcome::Lost);
    }
    if state.is(want) || state.becomes(want) {
        return Some(OrderOutcome::InPlace(state.clone()));
    }
    None
}
