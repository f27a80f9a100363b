//! Orders to engines, in two variants: for servers that check fencing numbers and for servers that
//! ignore them.
//!
//! [`FencedOrder`]: the server refuses a number lower than the highest that it has received. An
//! order of an old holder therefore cannot take effect after the first order of a new holder,
//! regardless of clocks and pauses.
//!
//! [`UnfencedOrder`]: old orders are excluded by time alone. The sender first reads the state over
//! a new connection; the answer proves that the server has accepted the connection. The order
//! follows on the same connection, and only if its full time limit, counted from then, ends before
//! the lease does. If the sender is paused between that check and sending, or the network delays
//! the order, the server refuses the order as too late. A successor waits for the maximum lease
//! time plus order time of earlier holders, counted from when it read that it holds the lease,
//! before it sends its first order.
//!
//! Both variants carry the complete requested state, so sending an order twice is harmless, and the
//! state request at the start of the next attempt shows the effect of an order whose answer was
//! lost.

use tokio::time;

use crate::engine::{EngineClient, EngineConnection};
use crate::{engine, holder};

/// Outcome of one attempt to send an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server is already in the requested state or is loading it; no order was sent.
    InPlace(engine::EngineState),
    /// The server accepted the order.
    Accepted(engine::EngineState),
    /// A newer holder exists; no further orders may be sent under this lease.
    Lost,
    /// No order was sent.
    NotSent(holder::PermitError),
    /// A call failed; the next attempt reads whether the order took effect.
    Failed(engine::EngineError),
}

/// An order to a server that refuses old fencing numbers.
#[derive(Clone, Debug)]
pub struct FencedOrder {
    /// Permit to send orders to the server.
    pub permit: holder::OrderPermit,
    /// Permit to place the model, for which one VM at a time counts the serving engines.
    pub rollout: Option<holder::OrderPermit>,
    /// The requested state.
    pub want: engine::WantedState,
}

/// An order to a server that ignores fencing numbers.
#[derive(Clone, Debug)]
pub struct UnfencedOrder {
    /// Permit to send orders to the server.
    pub permit: holder::OrderPermit,
    /// Permit to place the model, for which one VM at a time counts the serving engines.
    pub rollout: Option<holder::OrderPermit>,
    /// The requested state.
    pub want: engine::WantedState,
}

impl FencedOrder {
    /// Reads the server's state and sends the order if that state differs from the requested one.
    pub async fn send<C: EngineClient>(
        &self,
        client: &C,
        address: std::net::SocketAddr,
    ) -> OrderOutcome {
        send(client, address, &self.permit, &self.want, |now| {
            check_rollout(self.rollout.as_ref(), now)?;
            self.permit.check_fenced(now)
        })
        .await
    }
}

impl UnfencedOrder {
    /// Reads the server's state and sends the order if that state differs from the requested one.
    pub async fn send<C: EngineClient>(
        &self,
        client: &C,
        address: std::net::SocketAddr,
    ) -> OrderOutcome {
        send(client, address, &self.permit, &self.want, |now| {
            check_rollout(self.rollout.as_ref(), now)?;
            self.permit.check_unfenced(now)
        })
        .await
    }
}

/// Checks the permit to place a model. No server checks the fencing number of a model's lease, so
/// the rule for unfenced servers applies.
fn check_rollout(
    rollout: Option<&holder::OrderPermit>,
    now: time::Instant,
) -> Result<(), holder::PermitError> {
    rollout.map_or(Ok(()), |permit| permit.check_unfenced(now))
}

async fn send<C: EngineClient>(
    client: &C,
    address: std::net::SocketAddr,
    permit: &holder::OrderPermit,
    want: &engine::WantedState,
    check: impl Fn(time::Instant) -> Result<(), holder::PermitError>,
) -> OrderOutcome {
    let mut connection = match client.open(address).await {
        Ok(connection) => connection,
        Err(error) => return OrderOutcome::Failed(error),
    };
    let state = match connection.state().await {
        Ok(state) => state,
        Err(error) => return OrderOutcome::Failed(error),
    };
    if let Some(outcome) = outcome_from_state(permit, want, &state) {
        return outcome;
    }
    let body = engine::OrderBody {
        fencing: Some(permit.fencing()),
        want: want.clone(),
        within_ms: permit.order_ms(),
    };
    // Checked after the state request, which may have taken longer than the rest of the lease.
    if let Err(error) = check(time::Instant::now()) {
        return OrderOutcome::NotSent(error);
    }
    match connection.order(&body).await {
        Ok(state) => OrderOutcome::Accepted(state),
        Err(engine::EngineError::OldFencing) => OrderOutcome::Lost,
        Err(error) => OrderOutcome::Failed(error),
    }
}

/// Returns the outcome if the server's state alone determines it. Servers report the highest
/// fencing number that they received even if they do not check fencing numbers.
fn outcome_from_state(
    permit: &holder::OrderPermit,
    want: &engine::WantedState,
    state: &engine::EngineState,
) -> Option<OrderOutcome> {
    if state
        .fencing
        .is_some_and(|highest| highest > permit.fencing())
    {
        return Some(OrderOutcome::Lost);
    }
    if state.matches(want) || state.is_loading(want) {
        return Some(OrderOutcome::InPlace(state.clone()));
    }
    None
}
