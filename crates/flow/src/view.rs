//! View of one request: the configuration and the leaving servers as of its arrival.

use std::{collections, sync};

use base::{id, refusal};
use conf::{inventory, snapshot};

use crate::port;

/// Immutable snapshot that one request uses from its arrival to its end.
#[derive(Clone, Debug, Default)]
pub struct PlaneView {
    /// Configuration in force.
    pub config: sync::Arc<snapshot::ConfigSnapshot>,
    /// Servers known to be leaving. A server stays in the set for the rest of its incarnation.
    pub leaving: sync::Arc<collections::BTreeSet<id::ServerKey>>,
}

impl PlaneView {
    /// Whether a server may be given new work.
    #[must_use]
    pub fn takes_work(&self, server: id::ServerKey) -> bool {
        self.config.server(server).is_some() && !self.leaving.contains(&server)
    }

    /// Returns the target by which links address a server; `None` once it was removed.
    #[must_use]
    pub fn target(&self, key: id::ServerKey) -> Option<port::ServerTarget> {
        self.config.server(key).map(|server| port::ServerTarget {
            key,
            name: server.name.clone(),
            address: server.entry.address,
        })
    }

    /// Resolves a caller's `model` or `model:adapter` to a model and an adapter.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no such model or adapter.
    pub fn model(&self, name: &str) -> Result<ModelChoice<'_>, refusal::RefusalBody> {
        let models = &self.config.inventory().models;
        if let Some((model, entry)) = models.get_key_value(name) {
            return Ok(ModelChoice {
                model,
                adapter: None,
                entry,
            });
        }
        let choice = name.rsplit_once(':').and_then(|(model, adapter)| {
            let (model, entry) = models.get_key_value(model)?;
            let adapter = entry.adapters.iter().find(|known| *known == adapter)?;
            Some(ModelChoice {
                model,
                adapter: Some(adapter),
                entry,
            })
        });
        choice.ok_or_else(|| {
            refusal::RefusalBody::not_run(
                refusal::RefusalCode::NotFound,
                format!("there is no model \"{name}\"; GET /v1/models lists those in force"),
            )
        })
    }
}

/// A model of the inventory with an optional adapter.
#[derive(Clone, Copy, Debug)]
pub struct ModelChoice<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Name of the adapter.
    pub adapter: Option<&'a str>,
    /// Inventory entry of the model.
    pub entry: &'a inventory::ModelEntry,
}
