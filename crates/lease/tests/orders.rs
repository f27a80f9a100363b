//! Orders, driver and placement with small fakes of engine and log.

use std::{net, sync};

use base::id;
use lease::engine::{EngineClient, EngineConnection};
use lease::{choice, driver, engine, holder, limits, order, placement};
use ledger::memory;
use tokio::time;

fn state(version: &str, loading: bool) -> engine::EngineState {
    let ready = engine::ReadyModel {
        model: "verse".to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
    };
    engine::EngineState {
        incarnation: id::Incarnation(1),
        models: vec![ready],
        role: placement::SERVING_ROLE.to_owned(),
        loading: loading.then(|| want("2")),
        fencing: None,
        leaving: false,
    }
}

fn want(version: &str) -> engine::WantedState {
    engine::WantedState {
        model: "verse".to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
        role: placement::SERVING_ROLE.to_owned(),
    }
}

/// An engine with slow answers to state requests. It records the fencing numbers of the orders that
/// it receives.
#[derive(Clone)]
struct SlowEngine {
    state_delay: time::Duration,
    received: sync::Arc<sync::Mutex<Vec<Option<u64>>>>,
}

impl EngineClient for SlowEngine {
    type Connection = Self;

    async fn open(&self, _address: net::SocketAddr) -> Result<Self, engine::EngineError> {
        Ok(self.clone())
    }
}

impl EngineConnection for SlowEngine {
    async fn state(&mut self) -> Result<engine::EngineState, engine::EngineError> {
        time::sleep(self.state_delay).await;
        Ok(state("1", false))
    }

    async fn order(
        &mut self,
        body: &engine::OrderBody,
    ) -> Result<engine::EngineState, engine::EngineError> {
        self.received.lock().expect("received").push(body.fencing);
        Ok(state("1", true))
    }
}

fn member(name: &str) -> choice::RegionMember {
    choice::RegionMember {
        name: name.to_owned(),
        region: "north".to_owned(),
    }
}

fn start(
    log: &memory::MemoryLog,
    vm: &str,
    live: &[&str],
) -> driver::LeaseDriver<memory::MemoryLog> {
    let limits = limits::LeaseLimits::default();
    let driver = driver::LeaseDriver::start(log.clone(), vm, limits).expect("limits");
    driver.update_hints(driver::LeaseHints {
        live: live.iter().map(|name| member(name)).collect(),
        servers: vec![member("engine-1")],
    });
    driver
}

async fn send(permit: &holder::OrderPermit, state_delay_ms: u64) -> (order::OrderOutcome, usize) {
    let client = SlowEngine {
        state_delay: time::Duration::from_millis(state_delay_ms),
        received: sync::Arc::default(),
    };
    let address = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let order = order::UnfencedOrder {
        permit: permit.clone(),
        rollout: None,
        want: want("2"),
    };
    let outcome = order.send(&client, address).await;
    let sent = client.received.lock().expect("received").len();
    (outcome, sent)
}

/// Guards against a permit that is checked before the state request or not at all: an order would
/// be sent after the lease has lapsed, or while orders of an earlier holder may be pending. Sends
/// an order right after the lease is taken, one later, and one after a slow state request.
#[tokio::test(start_paused = true)]
async fn orders_are_sent_only_while_the_lease_allows() {
    let log = memory::MemoryLog::new(1, 1_000_000);
    let driver = start(&log, "vm-1", &["vm-1"]);
    time::sleep(time::Duration::from_secs(1)).await;
    let permit = driver.permit("engine-1").expect("held");
    let (early, sent) = send(&permit, 0).await;
    assert!(matches!(
        early,
        order::OrderOutcome::NotSent(holder::PermitError::PendingOrders { .. })
    ));
    assert_eq!(sent, 0);
    time::sleep(time::Duration::from_secs(12)).await;
    let permit = driver.permit("engine-1").expect("held");
    let (accepted, sent) = send(&permit, 10).await;
    assert!(matches!(accepted, order::OrderOutcome::Accepted(_)));
    assert_eq!(sent, 1);
    let (late, sent) = send(&permit, 10_000).await;
    assert_eq!(
        late,
        order::OrderOutcome::NotSent(holder::PermitError::Lapsed)
    );
    assert_eq!(sent, 0);
}

/// Guards against a lease that does not change hands, or keeps its fencing number, after its holder
/// ended and another VM is the only live one: nobody could send orders to the engine.
#[tokio::test(start_paused = true)]
async fn a_successor_gets_a_higher_fencing_number() {
    let log = memory::MemoryLog::new(2, 1_000_000);
    let first = start(&log, "vm-1", &["vm-1"]);
    time::sleep(time::Duration::from_secs(20)).await;
    let old = first.permit("engine-1").expect("held");
    let second = start(&log, "vm-2", &["vm-2"]);
    time::sleep(time::Duration::from_secs(5)).await;
    assert_eq!(second.permit("engine-1"), Err(holder::PermitError::NotHeld));
    assert_eq!(second.status()[0].holder.as_deref(), Some("vm-1"));
    drop(first);
    time::sleep(time::Duration::from_secs(20)).await;
    let new = second.permit("engine-1").expect("taken over");
    assert!(new.fencing() > old.fencing());
}

fn engines(versions: &[&str]) -> Vec<placement::EngineView> {
    let view = |(index, version): (usize, &&str)| placement::EngineView {
        server: format!("engine-{index}"),
        models: vec!["verse".to_owned()],
        state: Some(state(version, *version == "loading")),
        held: true,
    };
    versions.iter().enumerate().map(view).collect()
}

fn model(min_engines: u32) -> placement::WantedModel {
    placement::WantedModel {
        model: "verse".to_owned(),
        version: "2".to_owned(),
        adapters: Vec::new(),
        min_engines,
        weights: placement::WeightsState::Available,
        held: true,
    }
}

/// Guards against a loading engine that counts as serving: a rollout over three engines, of which
/// two are needed, would leave the model with fewer engines than its minimum.
#[test]
fn a_rollout_keeps_the_minimum_number_of_engines() {
    let mut versions = ["1", "1", "1"];
    for _ in 0..3 {
        let plan = placement::reconcile(&[model(2)], &engines(&versions));
        assert_eq!(plan.orders.len(), 1);
        let chosen = versions
            .iter()
            .position(|version| *version == "1")
            .expect("old");
        assert_eq!(plan.orders[0].server, format!("engine-{chosen}"));
        versions[chosen] = "loading";
        let plan = placement::reconcile(&[model(2)], &engines(&versions));
        assert!(
            plan.orders.is_empty(),
            "two engines would change at once: {plan:?}"
        );
        versions[chosen] = "2";
    }
    let plan = placement::reconcile(&[model(2)], &engines(&versions));
    assert!(plan.orders.is_empty() && plan.status[0].blocked.is_none());
    assert_eq!(plan.status[0].ready.len(), 3);
}

#[test]
fn a_blocked_rollout_reports_its_cause() {
    let plan = placement::reconcile(&[model(2)], &engines(&["1", "1"]));
    assert!(plan.orders.is_empty());
    let blocked = plan.status[0].blocked.as_deref().expect("blocked");
    assert!(
        blocked.contains("engine-0") && blocked.contains("too few"),
        "{blocked}"
    );
    let mut limited = model(1);
    limited.weights = placement::WeightsState::Limited { retry_after_ms: 70 };
    let plan = placement::reconcile(&[limited], &engines(&["1", "1"]));
    assert!(
        plan.status[0]
            .blocked
            .as_deref()
            .expect("blocked")
            .contains("70 ms")
    );
    let mut placed_elsewhere = model(1);
    placed_elsewhere.held = false;
    let plan = placement::reconcile(&[placed_elsewhere], &engines(&["1", "1"]));
    assert!(
        plan.orders.is_empty(),
        "without the lease on the model two VMs would count the same engines"
    );
    assert!(
        plan.status[0]
            .blocked
            .as_deref()
            .expect("blocked")
            .contains("another VM")
    );
}

/// Guards against a loading engine that counts as serving: one of a model's three engines loads a
/// new version while a second model needs an engine. The first model would be left with fewer
/// engines than its minimum.
#[test]
fn a_loading_engine_does_not_count_as_serving() {
    let mut views = engines(&["loading", "1", "1"]);
    for view in &mut views {
        view.models.push("prose".to_owned());
    }
    let mut prose = model(1);
    prose.model = "prose".to_owned();
    let plan = placement::reconcile(&[model(2), prose], &views);
    assert!(
        plan.orders.is_empty(),
        "verse would be left with one engine: {plan:?}"
    );
}
