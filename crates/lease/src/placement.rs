//! Decides which model each engine should serve, as a pure comparison of the requested with the
//! actual state.
//!
//! The comparison keeps no state and can be repeated at any time: every round starts from the state
//! that the engines report. A new version of a model is rolled out one engine at a time, and an
//! engine is never changed while that would leave a model with fewer engines than its minimum.

use std::collections;

use base::ops;

use crate::engine;

/// One model as the inventory requests it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedModel {
    /// Name of the model.
    pub model: String,
    /// Requested version of the model.
    pub version: String,
    /// Adapters to load with the model.
    pub adapters: Vec<String>,
    /// Minimum number of engines that must serve the model at any time.
    pub min_engines: u32,
    /// Whether the weight store can provide the version now.
    pub weights: WeightsState,
    /// Whether this VM held the lease on [`model_subject`], with the wait for earlier holders
    /// completed, before the engines were read. Otherwise two VMs could each take one engine away
    /// from the model and leave it with too few.
    pub held: bool,
}

/// Returns the subject of the lease that lets only one VM at a time place the model.
#[must_use]
pub fn model_subject(model: &str) -> String {
    format!("model/{model}")
}

/// Availability of a model's version in the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsState {
    /// The store can provide the version.
    Available,
    /// The store's rate limit is exhausted.
    Limited {
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The store does not answer or does not have the version.
    Missing,
}

/// One engine: the models that it may serve and its last reported state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Name of the engine.
    pub server: String,
    /// Models that the engine may serve. It serves the first one unless another model needs it.
    pub models: Vec<String>,
    /// Last reported state; `None` if the engine cannot be read.
    pub state: Option<engine::EngineState>,
    /// Whether this VM may send orders to the engine.
    pub held: bool,
}

/// An order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Name of the engine.
    pub server: String,
    /// The requested state.
    pub want: engine::WantedState,
}

/// Result of one comparison.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementPlan {
    /// Orders to send, at most one for each model.
    pub orders: Vec<PlannedOrder>,
    /// One entry for each model.
    pub status: Vec<ops::PlacementStatus>,
}

/// Role of the engine that orders request.
pub const SERVING_ROLE: &str = "serve";

/// Compares the requested models with the state of the engines and plans the next orders.
#[must_use]
pub fn reconcile(models: &[WantedModel], engines: &[EngineView]) -> PlacementPlan {
    let mut counts = ServingCounts::of(models, engines);
    let mut plan = PlacementPlan::default();
    for model in models {
        let mut status = status_of(model, engines);
        match next_change(model, models, engines, &status, &counts) {
            Ok(Some(view)) => {
                counts.mark_changing(view);
                plan.orders.push(PlannedOrder {
                    server: view.server.clone(),
                    want: wanted_state(model),
                });
            }
            Ok(None) => {}
            Err(blocked) => status.blocked = Some(blocked),
        }
        plan.status.push(status);
    }
    plan
}

/// For each model, the number of engines that serve any version of it, without those that are about
/// to change.
struct ServingCounts {
    serving: collections::BTreeMap<String, u32>,
    min_engines: collections::BTreeMap<String, u32>,
    changing: collections::BTreeSet<String>,
    /// Models that another VM may place.
    placed_elsewhere: collections::BTreeSet<String>,
}

impl ServingCounts {
    fn of(models: &[WantedModel], engines: &[EngineView]) -> Self {
        let mut serving = collections::BTreeMap::new();
        for view in engines {
            if let Some(model) = served(view) {
                *serving.entry(model.to_owned()).or_insert(0) += 1;
            }
        }
        let min_engines = models
            .iter()
            .map(|model| (model.model.clone(), model.min_engines))
            .collect();
        Self {
            serving,
            min_engines,
            changing: collections::BTreeSet::new(),
            placed_elsewhere: models
                .iter()
                .filter(|model| !model.held)
                .map(|model| model.model.clone())
                .collect(),
        }
    }

    /// Returns the model that would have too few engines if this engine stopped serving it.
    fn needed_by<'a>(&self, view: &'a EngineView) -> Option<&'a str> {
        let model = served(view)?;
        let serving = self.serving.get(model).copied().unwrap_or(0);
        let min_engines = self.min_engines.get(model).copied().unwrap_or(0);
        (serving <= min_engines).then_some(model)
    }

    /// Returns the model that the engine serves if another VM places that model.
    fn model_placed_elsewhere<'a>(&self, view: &'a EngineView) -> Option<&'a str> {
        served(view).filter(|model| self.placed_elsewhere.contains(*model))
    }

    fn mark_changing(&mut self, view: &EngineView) {
        self.changing.insert(view.server.clone());
        if let Some(serving) = served(view).and_then(|model| self.serving.get_mut(model)) {
            *serving = serving.saturating_sub(1);
        }
    }
}

/// Returns the model that an engine serves and will continue to serve. An engine that is loading is
/// about to change and does not count.
fn served(view: &EngineView) -> Option<&str> {
    let state = view.state.as_ref()?;
    if state.leaving || state.loading.is_some() {
        return None;
    }
    state.models.first().map(|ready| ready.model.as_str())
}

fn wanted_state(model: &WantedModel) -> engine::WantedState {
    engine::WantedState {
        model: model.model.clone(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
        role: SERVING_ROLE.to_owned(),
    }
}

fn status_of(model: &WantedModel, engines: &[EngineView]) -> ops::PlacementStatus {
    let mut status = ops::PlacementStatus {
        model: model.model.clone(),
        wanted_version: model.version.clone(),
        min_engines: model.min_engines,
        ready: Vec::new(),
        outdated: Vec::new(),
        loading: Vec::new(),
        blocked: None,
    };
    let want = wanted_state(model);
    for view in engines {
        let Some(state) = &view.state else { continue };
        let loads = state.loading.as_ref();
        if loads.is_some_and(|loading| loading.model == model.model) {
            status.loading.push(view.server.clone());
        } else if state.matches(&want) {
            status.ready.push(view.server.clone());
        } else if served(view) == Some(model.model.as_str()) {
            status.outdated.push(view.server.clone());
        }
    }
    status
}

/// Returns the engine to change next for `model`, `Ok(None)` if no change is needed, or an error
/// text that says what blocks the change.
fn next_change<'a>(
    model: &WantedModel,
    models: &[WantedModel],
    engines: &'a [EngineView],
    status: &ops::PlacementStatus,
    counts: &ServingCounts,
) -> Result<Option<&'a EngineView>, String> {
    let candidates = candidates(model, models, engines, counts);
    if candidates.is_empty() {
        let serving = counts.serving.get(&model.model).copied().unwrap_or(0);
        if serving < model.min_engines && status.loading.is_empty() {
            return Err(format!(
                "{serving} of {} engines serve the model and no other engine may: add one to the inventory",
                model.min_engines
            ));
        }
        return Ok(None);
    }
    if !model.held {
        return Err("another VM places the model".to_owned());
    }
    if let Some(server) = status.loading.first() {
        return Err(format!(
            "{server} is loading: the next engine changes after it"
        ));
    }
    match model.weights {
        WeightsState::Available => {}
        WeightsState::Limited { retry_after_ms } => {
            return Err(format!(
                "the weight store's rate limit is exhausted for {retry_after_ms} ms"
            ));
        }
        WeightsState::Missing => {
            return Err(format!(
                "the weight store does not provide version {}: check that it is up and has it",
                model.version
            ));
        }
    }
    choose(&candidates, counts).map(Some)
}

/// Returns the engines that should change for `model`: those that serve it in another state than
/// requested, those that serve no requested model and, while `model` has too few engines, those
/// that another model can spare.
fn candidates<'a>(
    model: &WantedModel,
    models: &[WantedModel],
    engines: &'a [EngineView],
    counts: &ServingCounts,
) -> Vec<&'a EngineView> {
    let want = wanted_state(model);
    let serving = counts.serving.get(&model.model).copied().unwrap_or(0);
    let wanted = |name: &str| models.iter().any(|other| other.model == name);
    let is_candidate = |view: &&EngineView| {
        let Some(state) = &view.state else {
            return false;
        };
        let is_changeable = !state.leaving && state.loading.is_none();
        if !is_changeable
            || counts.changing.contains(&view.server)
            || !view.models.contains(&model.model)
        {
            return false;
        }
        match served(view) {
            Some(name) if name == model.model => !state.matches(&want),
            Some(name) if wanted(name) => {
                serving < model.min_engines && counts.needed_by(view).is_none()
            }
            _ => serving < model.min_engines || view.models.first() == Some(&model.model),
        }
    };
    engines.iter().filter(is_candidate).collect()
}

/// Chooses an engine that may be changed now, preferably one that serves no model.
fn choose<'a>(
    candidates: &[&'a EngineView],
    counts: &ServingCounts,
) -> Result<&'a EngineView, String> {
    let mut blocked = None;
    let mut ranking = candidates.to_vec();
    ranking.sort_by_key(|view| served(view).is_some());
    for view in ranking {
        let cause = if let Some(needed) = counts.needed_by(view) {
            format!(
                "{} cannot stop serving {needed}, which would have too few engines: add an engine",
                view.server
            )
        } else if let Some(other) = counts.model_placed_elsewhere(view) {
            format!("another VM places {other}, which {} serves", view.server)
        } else if !view.held {
            format!("another VM sends orders to {}", view.server)
        } else {
            return Ok(view);
        };
        blocked.get_or_insert(cause);
    }
    Err(blocked.unwrap_or_default())
}
