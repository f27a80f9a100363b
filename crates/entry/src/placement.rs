//! Places models on engines: holds leases on engines and models, reads the state of the region's
//! engines, compares it with the inventory, and orders the changes on the engines that it leases.

use std::{sync, time::Duration};

use base::ops;
use conf::{inventory, snapshot};
use futures_util::future;
use lease::{choice, driver, engine, order, placement};
use tokio::time;
use trace::kind;

use crate::{configure, members, recorder};

/// Interval between two comparisons.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one call to an engine or to the weight store.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes requested from the weight store before an order, to check whether its rate limit allows
/// the load.
const PROBE_BYTES: u64 = 1;

type EngineClient = lease::http::HttpEngines;

/// Placement of the models as this VM last observed it.
#[derive(Debug, Default)]
pub struct PlacementBoard {
    rows: sync::Mutex<Vec<ops::PlacementStatus>>,
}

impl PlacementBoard {
    /// One row for each model.
    #[must_use]
    pub fn rows(&self) -> Vec<ops::PlacementStatus> {
        self.rows
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    fn replace(&self, rows: Vec<ops::PlacementStatus>) {
        *self
            .rows
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner) = rows;
    }
}

/// Places models on engines.
pub struct PlacementController {
    /// Leases on engines and models.
    pub leases: sync::Arc<driver::LeaseDriver<ledger::http::HttpLog>>,
    /// The configuration in force.
    pub active_config: sync::Arc<configure::ActiveConfig>,
    /// The live members.
    pub members: sync::Arc<members::MemberTable>,
    /// Receives the observed placement.
    pub board: sync::Arc<PlacementBoard>,
    /// Records orders.
    pub recorder: recorder::EventRecorder,
    /// Connections to the weight store.
    pub http: reqwest::Client,
    /// URL of the weight store.
    pub weight_store: String,
    /// Name of this VM.
    pub vm: String,
    /// Region of this VM.
    pub region: String,
}

impl std::fmt::Debug for PlacementController {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("PlacementController")
            .finish_non_exhaustive()
    }
}

impl PlacementController {
    /// Runs until cancelled.
    pub async fn run(self) {
        let client = EngineClient::new(CALL_TIMEOUT);
        let mut tick = time::interval(ROUND_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let config = self.active_config.snapshot();
            if config.revision() == 0 {
                continue;
            }
            self.leases.update_hints(self.hints(&config));
            self.round(&config, &client).await;
        }
    }

    fn hints(&self, config: &snapshot::ConfigSnapshot) -> driver::LeaseHints {
        let mut live = self.members.live_regions();
        live.push(choice::RegionMember {
            name: self.vm.clone(),
            region: self.region.clone(),
        });
        let mut servers: Vec<choice::RegionMember> = config
            .servers()
            .filter(|(_, server)| engine_entry(server).is_some())
            .map(|(_, server)| choice::RegionMember {
                name: server.name.clone(),
                region: server.region.clone(),
            })
            .collect();
        for model in config.inventory().models.keys() {
            let first = config
                .servers_of_model(model)
                .first()
                .and_then(|key| config.server(*key));
            let region = first.map_or_else(|| self.region.clone(), |server| server.region.clone());
            servers.push(choice::RegionMember {
                name: placement::model_subject(model),
                region,
            });
        }
        live.sort();
        servers.sort();
        driver::LeaseHints { live, servers }
    }

    /// Compares once and sends orders, if this VM holds the lease of any model.
    async fn round(&self, config: &snapshot::ConfigSnapshot, client: &EngineClient) {
        let models: Vec<placement::WantedModel> = config
            .inventory()
            .models
            .iter()
            .map(|(name, entry)| self.wanted(name, entry))
            .collect();
        let holds_any = models.iter().any(|model| model.held);
        if !holds_any {
            self.board.replace(Vec::new());
            return;
        }
        let engines: Vec<&snapshot::ServerView> = config
            .servers()
            .map(|(_, server)| server)
            .filter(|server| engine_entry(server).is_some() && server.region == self.region)
            .collect();
        let views = future::join_all(engines.iter().map(|server| self.view(server, client))).await;
        let mut plan = placement::reconcile(&models, &views);
        if !plan.orders.is_empty() {
            let probed = self.probed(models).await;
            plan = placement::reconcile(&probed, &views);
        }
        self.board.replace(plan.status);
        for planned in plan.orders {
            let Some(server) = engines.iter().find(|server| server.name == planned.server) else {
                continue;
            };
            self.send_order(server, planned.want, client).await;
        }
    }

    fn wanted(&self, name: &str, entry: &inventory::ModelEntry) -> placement::WantedModel {
        placement::WantedModel {
            model: name.to_owned(),
            version: entry.version.clone(),
            adapters: entry.adapters.clone(),
            min_engines: entry.min_engines,
            weights: placement::WeightsState::Available,
            held: self.leases.permit(&placement::model_subject(name)).is_ok(),
        }
    }

    /// Queries the weight store for the versions of the models whose leases this VM holds.
    async fn probed(&self, mut models: Vec<placement::WantedModel>) -> Vec<placement::WantedModel> {
        for model in models.iter_mut().filter(|model| model.held) {
            model.weights = self.weights(&model.model, &model.version).await;
        }
        models
    }

    async fn weights(&self, model: &str, version: &str) -> placement::WeightsState {
        let url = format!(
            "{}/v1/weights/{model}/{version}?bytes={PROBE_BYTES}",
            self.weight_store
        );
        let Ok(answer) = self.http.get(url).timeout(CALL_TIMEOUT).send().await else {
            return placement::WeightsState::Missing;
        };
        match answer.status().as_u16() {
            200..=299 => placement::WeightsState::Available,
            429 => placement::WeightsState::Limited {
                retry_after_ms: retry_after(answer).await,
            },
            _ => placement::WeightsState::Missing,
        }
    }

    async fn view(
        &self,
        server: &snapshot::ServerView,
        client: &EngineClient,
    ) -> placement::EngineView {
        use engine::{EngineClient as _, EngineConnection as _};
        let read = async { client.open(server.entry.address).await?.state().await };
        placement::EngineView {
            server: server.name.clone(),
            models: engine_entry(server)
                .map(|entry| entry.models.clone())
                .unwrap_or_default(),
            state: read.await.ok(),
            held: self.leases.permit(&server.name).is_ok(),
        }
    }

    async fn send_order(
        &self,
        server: &snapshot::ServerView,
        want: engine::WantedState,
        client: &EngineClient,
    ) {
        let (Ok(permit), Ok(rollout), Some(entry)) = (
            self.leases.permit(&server.name),
            self.leases.permit(&placement::model_subject(&want.model)),
            engine_entry(server),
        ) else {
            return;
        };
        let fencing = permit.fencing();
        let wanted_text = format!("{} version {}", want.model, want.version);
        self.recorder.record(kind::EventKind::OrderSent {
            server: server.name.clone(),
            fencing,
            want: wanted_text,
        });
        let rollout = Some(rollout);
        let address = server.entry.address;
        let outcome = if entry.checks_fencing {
            order::FencedOrder {
                permit: permit.clone(),
                rollout,
                want,
            }
            .send(client, address)
            .await
        } else {
            order::UnfencedOrder {
                permit: permit.clone(),
                rollout,
                want,
            }
            .send(client, address)
            .await
        };
        if outcome == order::OrderOutcome::Lost {
            self.leases.mark_lost(&permit);
        }
        log::info!(server = server.name.as_str(), fencing = fencing; "order given");
        self.recorder.record(kind::EventKind::OrderAnswered {
            server: server.name.clone(),
            fencing,
            answer: answer_text(&outcome),
        });
    }
}

fn engine_entry(server: &snapshot::ServerView) -> Option<&inventory::EngineEntry> {
    match &server.entry.kind {
        inventory::ServerKind::ModelEngine(engine) => Some(engine),
        inventory::ServerKind::PlainService { .. } => None,
    }
}

fn answer_text(outcome: &order::OrderOutcome) -> String {
    match outcome {
        order::OrderOutcome::InPlace(_) => "already as wanted".to_owned(),
        order::OrderOutcome::Accepted(_) => "took effect".to_owned(),
        order::OrderOutcome::Lost => "a newer holder gives the orders".to_owned(),
        order::OrderOutcome::NotSent(fault) => format!("not sent: {fault}"),
        order::OrderOutcome::Failed(fault) => fault.to_string(),
    }
}

/// Answer of the weight store when its rate limit is reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(default)]
struct LimitedBody {
    retry_after_ms: u64,
}

async fn retry_after(answer: reqwest::Response) -> u64 {
    let body: LimitedBody = answer.json().await.unwrap_or_default();
    body.retry_after_ms
}
