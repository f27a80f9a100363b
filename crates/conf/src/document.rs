//! The whole configuration: inventory and rules together.

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
    /// What exists.
    pub inventory: inventory::Inventory,
    /// What is wanted of the traffic.
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

/// Reads the two files of a configuration.
///
/// # Errors
/// All faults of both files, each with its place and its remedy; then nothing of them takes
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
    let is_shaken = |path: &[String], basis: Option<check::FaultBasis>| {
        let in_file = |parsed_repairs: &[Vec<String>], root: &str| {
            parsed_repairs.iter().any(|repaired| {
                let repaired = rooted(root, repaired);
                path.starts_with(&repaired) || basis.is_some_and(|it| it.is_shaken_by(&repaired))
            })
        };
        in_file(&inventory.repaired_paths, "inventory") || in_file(&rules.repaired_paths, "rules")
    };
    let is_readable = inventory.repaired.is_some();
    for based in check::find(&configuration) {
        let is_rules = based.fault.path.first().is_some_and(|root| root == "rules");
        if is_shaken(&based.fault.path, based.basis) || (!is_readable && based.basis.is_some()) {
            continue;
        }
        faults.push(if is_rules {
            rules.placed(based.fault, &["rules"])
        } else {
            inventory.placed(based.fault, &["inventory"])
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
    /// This configuration with a JSON merge patch (RFC 7396) applied, when the outcome is valid.
    ///
    /// # Errors
    /// All faults that the outcome would have.
    pub fn patched(&self, patch: &serde_json::Value) -> Result<Self, fault::FaultList> {
        let mut next = self.clone();
        next.patch(patch)?;
        Ok(next)
    }

    /// Applies a JSON merge patch (RFC 7396) when the outcome is valid, else changes nothing.
    /// Gives the merge patch that leads back.
    ///
    /// Only the entries that the patch names go through JSON, and of the organisations only these
    /// are checked again: a small change of a large configuration costs little. It relies on the
    /// configuration being valid before.
    ///
    /// # Errors
    /// All faults that the outcome would have.
    pub fn patch(
        &mut self,
        patch: &serde_json::Value,
    ) -> Result<serde_json::Value, fault::FaultList> {
        let before = self.take_named(patch);
        match before.merged(patch) {
            Ok((after, reverse)) => {
                self.put_back(after.clone());
                let checked = check::check_after(self, patch);
                if checked.is_err() {
                    self.remove_all(&after);
                    self.put_back(before);
                }
                checked.map(|()| reverse)
            }
            Err(error) => {
                self.put_back(before);
                Err(malformed(&error))
            }
        }
    }

    /// This configuration with a patch applied, and the patch that leads back.
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

    /// Moves out all that `patch` may touch: the entries that it names, and what is not a map.
    fn take_named(&mut self, patch: &serde_json::Value) -> Self {
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

    fn put_back(&mut self, excerpt: Self) {
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

/// Removes from `map` the entries that `named` has.
fn remove<V>(map: &mut EntryMap<V>, named: &EntryMap<V>) {
    for name in named.keys() {
        map.remove(name);
    }
}

type EntryMap<V> = collections::BTreeMap<String, V>;

/// Moves out of `map` what a patch of it may touch: the entries that it names, everything when
/// the patch of the map or of what is around it is no object and so replaces all.
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

fn malformed(error: &serde_json::Error) -> fault::FaultList {
    let remedy = "correct the change and publish it again";
    fault::FaultList {
        faults: vec![fault::ConfigFault::at(&[], error.to_string(), remedy)],
    }
}
