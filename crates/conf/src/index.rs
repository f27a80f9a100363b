//! Builds the lookup tables of a snapshot.

use std::collections;

use base::{fingerprint, id};

use crate::{
    arena::NamedArena,
    document, inventory,
    snapshot::{OrganisationView, ServerView, VmView},
};

/// Region names by failure domain.
pub(crate) type RegionNames = collections::HashMap<String, String>;

pub(crate) fn server_views<'a>(
    inventory: &'a inventory::Inventory,
    regions: &'a RegionNames,
) -> impl Iterator<Item = (String, ServerView)> + 'a {
    inventory.backend_servers.iter().map(|(name, entry)| {
        let view = ServerView {
            name: name.clone(),
            region: regions
                .get(&entry.failure_domain)
                .cloned()
                .unwrap_or_default(),
            entry: entry.clone(),
        };
        (name.clone(), view)
    })
}

pub(crate) fn vm_views<'a>(
    inventory: &'a inventory::Inventory,
    regions: &'a RegionNames,
) -> impl Iterator<Item = (String, VmView)> + 'a {
    inventory.entry_vms.iter().map(|(name, entry)| {
        let view = VmView {
            name: name.clone(),
            region: regions
                .get(&entry.failure_domain)
                .cloned()
                .unwrap_or_default(),
            entry: entry.clone(),
        };
        (name.clone(), view)
    })
}

/// The region of each failure domain.
pub(crate) fn region_of_domain(inventory: &inventory::Inventory) -> RegionNames {
    let mut regions = collections::HashMap::new();
    for (region, entry) in &inventory.regions {
        for domain in &entry.failure_domains {
            regions.insert(domain.clone(), region.clone());
        }
    }
    regions
}

pub(crate) fn organisation_views(
    configuration: &document::Configuration,
) -> impl Iterator<Item = (String, OrganisationView)> {
    let rules = &configuration.rules;
    configuration
        .inventory
        .organisations
        .iter()
        .map(|(name, entry)| {
            let rule = rules
                .organisations
                .get(name)
                .unwrap_or(&rules.default_organisation);
            let view = OrganisationView {
                name: name.clone(),
                region: entry.region.clone(),
                rule: rule.clone(),
            };
            (name.clone(), view)
        })
}

pub(crate) fn api_keys(
    inventory: &inventory::Inventory,
    organisations: &NamedArena<id::OrganisationKey, OrganisationView>,
) -> collections::HashMap<fingerprint::ContentHash, id::OrganisationKey> {
    let mut keys = collections::HashMap::with_capacity(inventory.organisations.len());
    for (name, entry) in &inventory.organisations {
        for hash in entry.key_hashes.iter().filter_map(|text| parse_hash(text)) {
            keys.insert(hash, organisations.keys[name]);
        }
    }
    keys
}

pub(crate) fn operator_keys(
    inventory: &inventory::Inventory,
) -> collections::HashMap<fingerprint::ContentHash, String> {
    let mut keys = collections::HashMap::new();
    for (name, entry) in &inventory.operators {
        for hash in entry.key_hashes.iter().filter_map(|text| parse_hash(text)) {
            keys.insert(hash, name.clone());
        }
    }
    keys
}

/// Parses a SHA-256 hash of 64 hexadecimal digits.
pub(crate) fn parse_hash(text: &str) -> Option<fingerprint::ContentHash> {
    let mut bytes = [0_u8; 32];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(fingerprint::ContentHash(bytes))
}

pub(crate) type ServersByName = collections::HashMap<String, Vec<id::ServerKey>>;

pub(crate) fn servers_by_use(
    inventory: &inventory::Inventory,
    servers: &NamedArena<id::ServerKey, ServerView>,
) -> (ServersByName, ServersByName) {
    let mut by_model = ServersByName::new();
    let mut by_service = ServersByName::new();
    for (name, entry) in &inventory.backend_servers {
        let key = servers.keys[name];
        match &entry.kind {
            inventory::ServerKind::ModelEngine(engine) => {
                for model in &engine.models {
                    by_model.entry(model.clone()).or_default().push(key);
                }
            }
            inventory::ServerKind::PlainService { service } => {
                by_service.entry(service.clone()).or_default().push(key);
            }
        }
    }
    (by_model, by_service)
}

pub(crate) fn vms_by_region(
    vms: &NamedArena<id::VmKey, VmView>,
) -> collections::HashMap<String, Vec<id::VmKey>> {
    let mut regions: collections::HashMap<String, Vec<id::VmKey>> = collections::HashMap::new();
    for (key, view) in &vms.entries {
        regions.entry(view.region.clone()).or_default().push(key);
    }
    regions
}
