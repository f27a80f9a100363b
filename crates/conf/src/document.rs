//! The complete configuration, made of inventory and rules.

use std::{collections, mem};

use crate::{
    change, check, fault, inventory,
    place::SourceText,
    rules,
    settings::{self, ParsedText},
};

/// Inventory and rules of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Regions, entry VMs, backend servers, models, services and organisations.
    pub inventory: inventory::Inventory,
    /// Traffic rules.
    pub rules: rules::RuleSet,
}

impl settings::CheckedSettings for Configuration {
    fn contradictions(&self) -> Vec<fault::ConfigFault> {
        check::find(self)
            .into_iter()
            .map(|based| based.fault)
            .collect()
    }
}

/// Parses and validates the two files of a configuration.
///
/// # Errors
/// Returns all faults of both files, each with its location and remedy; neither file then takes
/// effect.
pub fn parse(
    inventory: SourceText<'_>,
    rules: SourceText<'_>,
) -> Result<Configuration, fault::FaultList> {
    let inventory: ParsedText<'_, inventory::Inventory> = ParsedText::new(inventory);
    let rules: ParsedText<'_, rules::RuleSet> = ParsedText::new(rules);
    let mut faults: Vec<fault::ConfigFault> = Vec::new();
    faults.extend(
        inventory
            .faults
            .iter()
            .cloned()
            .map(|it| under("inventory", it)),
    );
    faults.extend(rules.faults.iter().cloned().map(|it| under("rules", it)));
    let configuration = Configuration {
        inventory: inventory.repaired.clone().unwrap_or_default(),
        rules: rules.repaired.clone().unwrap_or_default(),
    };
    let is_unreliable = |path: &[String], basis: Option<check::FaultBasis>| {
        let in_file = |parsed_repairs: &[Vec<String>], root: &str| {
            parsed_repairs.iter().any(|repaired| {
                let repaired = rooted(root, repaired);
                path.starts_with(&repaired)
                    || basis.is_some_and(|it| it.is_invalidated_by(&repaired))
            })
        };
        in_file(&inventory.repaired_paths, "inventory") || in_file(&rules.repaired_paths, "rules")
    };
    let is_readable = inventory.repaired.is_some();
    for based in check::find(&configuration) {
        let is_rules = based.fault.path.first().is_some_and(|root| root == "rules");
        if is_unreliable(&based.fault.path, based.basis) || (!is_readable && based.basis.is_some())
        {
            continue;
        }
        faults.push(if is_rules {
            rules.with_place(based.fault, &["rules"])
        } else {
            inventory.with_place(based.fault, &["inventory"])
        });
    }
    if faults.is_empty() {
        return Ok(configuration);
    }
    Err(fault::FaultList::in_order(faults))
}

fn rooted(root: &str, path: &[String]) -> Vec<String> {
    let mut rooted = vec![root.to_owned()];
    rooted.extend_from_slice(path);
    rooted
}

fn under(root: &str, mut fault: fault::ConfigFault) -> fault::ConfigFault {
    fault.path = rooted(root, &fault.path);
    fault
}

impl Configuration {
    /// Returns a copy of this configuration with a JSON merge patch (RFC 7396) applied.
    ///
    /// # Errors
    /// Returns all faults of the patched configuration if it is invalid.
    pub fn patched(&self, patch: &serde_json::Value) -> Result<Self, fault::FaultList> {
        let mut next = self.clone();
        next.patch(patch)?;
        Ok(next)
    }

    /// Applies a JSON merge patch (RFC 7396) and returns the merge patch that reverts it.
    ///
    /// Only the entries that the patch names are converted to JSON and back, and only the
    /// organisations that it names are validated again, which keeps a small change of a large
    /// configuration cheap. The configuration must be valid beforehand.
    ///
    /// # Errors
    /// Returns all faults of the patched configuration if it is invalid; the configuration is then
    /// unchanged.
    pub fn patch(
        &mut self,
        patch: &serde_json::Value,
    ) -> Result<serde_json::Value, fault::FaultList> {
        let before = self.take_patched(patch);
        match before.merged(patch) {
            Ok((after, reverse)) => {
                self.restore(after.clone());
                let checked = check::check_after(self, patch);
                if checked.is_err() {
                    self.remove_all(&after);
                    self.restore(before);
                }
                checked.map(|()| reverse)
            }
            Err(error) => {
                self.restore(before);
                Err(malformed_patch(&error))
            }
        }
    }

    /// Returns a patched copy of this configuration and the reverse patch, without validation.
    fn merged(
        &self,
        patch: &serde_json::Value,
    ) -> Result<(Self, serde_json::Value), serde_json::Error> {
        let before = serde_json::to_value(self)?;
        let mut after = before.clone();
        json_patch::merge(&mut after, patch);
        let merged: Self = serde_json::from_value(after)?;
        let after = serde_json::to_value(&merged)?;
        Ok((merged, change::merge_patch(&after, &before)))
    }

    /// Moves out everything that `patch` may touch: the entries that it names, and all fields that
    /// are not maps of entries.
    fn take_patched(&mut self, patch: &serde_json::Value) -> Self {
        let inventory = patch.get("inventory");
        let part = |name: &str| inventory.map(|inventory| inventory.get(name));
        let from = &mut self.inventory;
        let inventory = inventory::Inventory {
            regions: take(&mut from.regions, part("regions")),
            entry_vms: take(&mut from.entry_vms, part("entry_vms")),
            backend_servers: take(&mut from.backend_servers, part("backend_servers")),
            models: take(&mut from.models, part("models")),
            services: take(&mut from.services, part("services")),
            organisations: take(&mut from.organisations, part("organisations")),
            operators: take(&mut from.operators, part("operators")),
        };
        let part = patch.get("rules").map(|rules| rules.get("organisations"));
        let named = take(&mut self.rules.organisations, part);
        let untouched = mem::replace(&mut self.rules.organisations, named);
        let rules = mem::take(&mut self.rules);
        self.rules.organisations = untouched;
        Self { inventory, rules }
    }

    fn remove_all(&mut self, named: &Self) {
        let from = &mut self.inventory;
        let named_inventory = &named.inventory;
        remove(&mut from.regions, &named_inventory.regions);
        remove(&mut from.entry_vms, &named_inventory.entry_vms);
        remove(&mut from.backend_servers, &named_inventory.backend_servers);
        remove(&mut from.models, &named_inventory.models);
        remove(&mut from.services, &named_inventory.services);
        remove(&mut from.organisations, &named_inventory.organisations);
        remove(&mut from.operators, &named_inventory.operators);
        remove(&mut self.rules.organisations, &named.rules.organisations);
    }

    fn restore(&mut self, excerpt: Self) {
        let inventory = excerpt.inventory;
        self.inventory.regions.extend(inventory.regions);
        self.inventory.entry_vms.extend(inventory.entry_vms);
        self.inventory
            .backend_servers
            .extend(inventory.backend_servers);
        self.inventory.models.extend(inventory.models);
        self.inventory.services.extend(inventory.services);
        self.inventory.organisations.extend(inventory.organisations);
        self.inventory.operators.extend(inventory.operators);
        let mut organisations = mem::take(&mut self.rules.organisations);
        self.rules = excerpt.rules;
        organisations.extend(mem::take(&mut self.rules.organisations));
        self.rules.organisations = organisations;
    }
}

/// Removes from `map` the entries whose names are in `named`.
fn remove<V>(map: &mut EntryMap<V>, named: &EntryMap<V>) {
    for name in named.keys() {
        map.remove(name);
    }
}

type EntryMap<V> = collections::BTreeMap<String, V>;

/// Moves out of `map` the entries that a patch may touch: those that it names, or all entries if
/// the patch replaces the map because it is not an object.
fn take<V>(map: &mut EntryMap<V>, patch: Option<Option<&serde_json::Value>>) -> EntryMap<V> {
    match patch {
        None | Some(None) => EntryMap::new(),
        Some(Some(serde_json::Value::Object(named))) => named
            .keys()
            .filter_map(|name| map.remove_entry(name))
            .collect(),
        Some(Some(_)) => mem::take(map),
    }
}

fn malformed_patch(error: &serde_json::Error) -> fault::FaultList {
    let remedy = "correct the change and publish it again";
    fault::FaultList {
        faults: vec![fault::ConfigFault::at(&[], error.to_string(), remedy)],
    }
}
