//! The whole configuration: inventory and rules together.

use crate::{fault, inventory, rules};

/// Inventory and rules of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// What exists.
    pub inventory: inventory::Inventory,
    /// What is wanted of the traffic.
    pub rules: rules::RuleSet,
}

impl Configuration {
    /// This configuration with a JSON merge patch (RFC 7396) applied, when the outcome is valid.
    ///
    /// # Errors
    /// All faults that the outcome would have.
    pub fn patched(&self, patch: &serde_json::Value) -> Result<Self, fault::FaultList> {
        let mut value = serde_json::to_value(self).map_err(|error| malformed(&error))?;
        json_patch::merge(&mut value, patch);
        serde_json::from_value(value).map_err(|error| malformed(&error))
    }
}

fn malformed(error: &serde_json::Error) -> fault::FaultList {
    fault::FaultList {
        faults: vec![fault::ConfigFault {
            path: Vec::new(),
            place: None,
            message: error.to_string(),
            remedy: "correct the change and publish it again".to_owned(),
        }],
    }
}
