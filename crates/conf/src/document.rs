//! The whole configuration: inventory and rules together.

use crate::{
    check, fault, inventory,
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
        let mut value = serde_json::to_value(self).map_err(|error| malformed(&error))?;
        json_patch::merge(&mut value, patch);
        let patched = serde_json::from_value(value).map_err(|error| malformed(&error))?;
        check::check(&patched)?;
        Ok(patched)
    }
}

fn malformed(error: &serde_json::Error) -> fault::FaultList {
    let remedy = "correct the change and publish it again";
    fault::FaultList {
        faults: vec![fault::ConfigFault::at(&[], error.to_string(), remedy)],
    }
}
