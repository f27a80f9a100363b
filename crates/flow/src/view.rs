//! What one request goes by: the configuration and who is leaving, as of its arrival.

use std::{collections, sync};

use base::{id, refusal};
use conf::{inventory, snapshot};

use crate::port;

/// Immutable view that one request keeps from its arrival to its end.
#[derive(Clone, Debug, Default)]
pub struct PlaneView {
    /// The configuration in force.
    pub config: sync::Arc<snapshot::ConfigSnapshot>,
    /// Servers known to be leaving; only ever grows within one life of a server.
    pub leaving: sync::Arc<collections::BTreeSet<id::ServerKey>>,
}

impl PlaneView {
    /// Whether a server may get new work.
    #[must_use]
    pub fn takes_work(&self, server: id::ServerKey) -> bool {
        self.config.server(server).is_some() && !self.leaving.contains(&server)
    }

    /// How links address a server; absent once it was removed.
    #[must_use]
    pub fn target(&self, key: id::ServerKey) -> Option<port::ServerTarget> {
        self.config.server(key).map(|server| port::ServerTarget {
            key,
            name: server.name.clone(),
            address: server.entry.address,
        })
    }

    /// The model and adapter that a caller means by `model` or `model:adapter`.
    ///
    /// # Errors
    ///
    /// A refusal when there is no such model or adapter.
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

/// A model of the inventory, perhaps with an adapter.
#[derive(Clone, Copy, Debug)]
pub struct ModelChoice<'a> {
    /// Its name.
    pub model: &'a str,
    /// The adapter.
    pub adapter: Option<&'a str>,
    /// Its entry.
    pub entry: &'a inventory::ModelEntry,
}
