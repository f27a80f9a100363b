//! What each engine should serve: a pure comparison of what is wanted with what there is.
//!
//! It may be run at any time again: it keeps nothing, and every round starts from what the engines
//! say they are. A model's version is rolled out one engine at a time, and an engine is never
//! changed while that would leave a model with fewer engines than its least.

use std::collections;

use base::ops;

use crate::engine;

/// One model as the inventory wants it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedModel {
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
    /// Adapters beside it.
    pub adapters: Vec<String>,
    /// Engines that must serve it at any moment.
    pub min_engines: u32,
    /// Whether the weight store can give the version now.
    pub weights: WeightsState,
    /// Whether this VM holds the lease on [`model_subject`], past its waiting time, since before
    /// the engines were read. Two VMs that each take one engine away would leave too few.
    pub held: bool,
}

/// The lease that lets one VM at a time place a model.
#[must_use]
pub fn model_subject(model: &str) -> String {
    format!("model/{model}")
}

/// Whether the weight store can give a model's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsState {
    /// It can.
    Available,
    /// Its rate is used up.
    Limited {
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
    },
    /// It does not answer, or has no such version.
    Missing,
}

/// One engine: what it may serve and what it last said it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Its name.
    pub server: String,
    /// Models that it may serve; it serves the first unless another one needs it.
    pub models: Vec<String>,
    /// What it said; absent: it cannot be read.
    pub state: Option<engine::EngineState>,
    /// Whether this VM may give it orders.
    pub held: bool,
}

/// An order that should be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine.
    pub server: String,
    /// What it should be.
    pub want: engine::WantedState,
}

/// The outcome of one comparison.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementPlan {
    /// Orders to give, at the most one for each model.
    pub orders: Vec<PlannedOrder>,
    /// One row for each model.
    pub status: Vec<ops::PlacementStatus>,
}

/// The role that orders ask for.
pub const SERVING_ROLE: &str = "serve";

/// Compares what is wanted with what there is.
#[must_use]
pub fn reconcile(models: &[WantedModel], engines: &[EngineView]) -> PlacementPlan {
    let mut counts = ServingCounts::of(models, engines);
    let mut plan = PlacementPlan::default();
    for model in models {
        let mut status = status_of(model, engines);
        match next_change(model, models, engines, &status, &counts) {
            Ok(Some(view)) => {
                counts.leave(view);
                plan.orders.push(PlannedOrder {
                    server: view.server.clone(),
                    want: want_of(model),
                });
            }
            Ok(None) => {}
            Err(blocked) => status.blocked = Some(blocked),
        }
        plan.status.push(status);
    }
    plan
}

/// Engines that serve each model now, in whatever version, less those that are about to change.
struct ServingCounts {
    serving: collections::BTreeMap<String, u32>,
    least: collections::BTreeMap<String, u32>,
    changing: collections::BTreeSet<String>,
    /// Models that this VM may not place.
    elsewhere: collections::BTreeSet<String>,
}

impl ServingCounts {
    fn of(models: &[WantedModel], engines: &[EngineView]) -> Self {
        let mut serving = collections::BTreeMap::new();
        for view in engines {
            if let Some(model) = served(view) {
                *serving.entry(model.to_owned()).or_insert(0) += 1;
            }
        }
        let least = models
            .iter()
            .map(|model| (model.model.clone(), model.min_engines))
            .collect();
        Self {
            serving,
            least,
            changing: collections::BTreeSet::new(),
            elsewhere: models
                .iter()
                .filter(|model| !model.held)
                .map(|model| model.model.clone())
                .collect(),
        }
    }

    /// Whether the engine can stop serving what it serves; else the model that needs it.
    fn needed_by<'a>(&self, view: &'a EngineView) -> Option<&'a str> {
        let model = served(view)?;
        let serving = self.serving.get(model).copied().unwrap_or(0);
        let least = self.least.get(model).copied().unwrap_or(0);
        (serving <= least).then_some(model)
    }

    /// The model that the engine serves when another VM counts its engines.
    fn rolled_elsewhere<'a>(&self, view: &'a EngineView) -> Option<&'a str> {
        served(view).filter(|model| self.elsewhere.contains(*model))
    }

    fn leave(&mut self, view: &EngineView) {
        self.changing.insert(view.server.clone());
        if let Some(serving) = served(view).and_then(|model| self.serving.get_mut(model)) {
            *serving = serving.saturating_sub(1);
        }
    }
}

/// The model that an engine serves and goes on serving; one that loads is about to change.
fn served(view: &EngineView) -> Option<&str> {
    let state = view.state.as_ref()?;
    if state.leaving || state.loading.is_some() {
        return None;
    }
    state.models.first().map(|ready| ready.model.as_str())
}

fn want_of(model: &WantedModel) -> engine::WantedState {
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
    let want = want_of(model);
    for view in engines {
        let Some(state) = &view.state else { continue };
        let loads = state.loading.as_ref();
        if loads.is_some_and(|loading| loading.model == model.model) {
            status.loading.push(view.server.clone());
        } else if state.is(&want) {
            status.ready.push(view.server.clone());
        } else if served(view) == Some(model.model.as_str()) {
            status.outdated.push(view.server.clone());
        }
    }
    status
}

/// The engine to change next for `model`; `Ok(None)` when nothing is to be done, else what
/// holds it up.
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
                "{serving} of {} engines serve it and no other engine may: add one to the inventory",
                model.min_engines
            ));
        }
        return Ok(None);
    }
    if !model.held {
        return Err("another VM places it".to_owned());
    }
    if let Some(server) = status.loading.first() {
        return Err(format!("{server} is loading: the next engine follows it"));
    }
    match model.weights {
        WeightsState::Available => {}
        WeightsState::Limited { retry_after_ms } => {
            return Err(format!(
                "the weight store's rate is used up for {retry_after_ms} ms"
            ));
        }
        WeightsState::Missing => {
            return Err(format!(
                "the weight store gives no version {}: check that it is up and has it",
                model.version
            ));
        }
    }
    choose(&candidates, counts).map(Some)
}

/// Engines that should be changed for `model`: those that serve it otherwise than wanted, those
/// that serve nothing wanted, and, while it has too few, those that another model can spare.
fn candidates<'a>(
    model: &WantedModel,
    models: &[WantedModel],
    engines: &'a [EngineView],
    counts: &ServingCounts,
) -> Vec<&'a EngineView> {
    let want = want_of(model);
    let serving = counts.serving.get(&model.model).copied().unwrap_or(0);
    let wanted = |name: &str| models.iter().any(|other| other.model == name);
    let suits = |view: &&EngineView| {
        let Some(state) = &view.state else {
            return false;
        };
        let open = !state.leaving && state.loading.is_none();
        if !open || counts.changing.contains(&view.server) || !view.models.contains(&model.model) {
            return false;
        }
        match served(view) {
            Some(name) if name == model.model => !state.is(&want),
            Some(name) if wanted(name) => {
                serving < model.min_engines && counts.needed_by(view).is_none()
            }
            _ => serving < model.min_engines || view.models.first() == Some(&model.model),
        }
    };
    engines.iter().filter(suits).collect()
}

/// An engine that may be changed now, one that serves nothing wanted first.
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
        } else if let Some(other) = counts.rolled_elsewhere(view) {
            format!("another VM places {other}, which {} serves", view.server)
        } else if !view.held {
            format!("another VM gives orders to {}", view.server)
        } else {
            return Ok(view);
        };
        blocked.get_or_insert(cause);
    }
    Err(blocked.unwrap_or_default())
}
