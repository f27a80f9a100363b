//! Semantic validation of a configuration: references, addresses, numbers, contradictions.
//!
//! Files and changes read from the log go through the same validation, so a configuration that
//! passes an operator's check is accepted by every reader of the log.

use std::collections;

use crate::{document, fault, inventory};

/// Maximum number of changed organisations whose keys are compared with all others by a linear
/// scan; with more, building a table of all keys is cheaper.
const MAX_SCANNED_ORGANISATIONS: usize = 8;

/// Section of the document that a semantic fault depends on.
///
/// If that section has structural faults itself, the semantic fault may only be a consequence of
/// them and is omitted from the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FaultBasis {
    /// Path of the section.
    pub section: [&'static str; 2],
    /// Whether the fault depends on the values in the section, or only on the names there.
    pub is_deep: bool,
}

/// A semantic fault and the section that it depends on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct BasedFault {
    pub fault: fault::ConfigFault,
    pub basis: Option<FaultBasis>,
}

impl FaultBasis {
    const fn names(part: &'static str) -> Self {
        let section = ["inventory", part];
        Self {
            section,
            is_deep: false,
        }
    }

    const fn values(part: &'static str) -> Self {
        let section = ["inventory", part];
        Self {
            section,
            is_deep: true,
        }
    }

    /// Whether a repaired value at `path` makes the fault unreliable.
    pub fn is_invalidated_by(&self, path: &[String]) -> bool {
        let shared = path
            .iter()
            .zip(self.section)
            .all(|(name, section)| name == section);
        shared && (self.is_deep || path.len() <= self.section.len())
    }
}

/// Failure domains, which are listed in the entries of the regions.
pub(crate) const DOMAINS: FaultBasis = FaultBasis::values("regions");
/// Names of regions.
pub(crate) const REGIONS: FaultBasis = FaultBasis::names("regions");
/// Models that the engines may serve.
pub(crate) const ENGINES: FaultBasis = FaultBasis::values("backend_servers");
/// Names of models.
pub(crate) const MODELS: FaultBasis = FaultBasis::names("models");
/// Names of services.
pub(crate) const SERVICES: FaultBasis = FaultBasis::names("services");
/// Names of organisations.
pub(crate) const ORGANISATIONS: FaultBasis = FaultBasis::names("organisations");

/// Validates the complete configuration.
///
/// # Errors
/// Returns all faults of the configuration.
pub fn check(configuration: &document::Configuration) -> Result<(), fault::FaultList> {
    into_result(find(configuration))
}

/// Validates `configuration`, the result of applying `patch` to a valid configuration.
///
/// If the patch allows it, only the organisations that it names are validated again; the result is
/// the same as that of a complete validation.
///
/// # Errors
/// Returns all faults of the configuration.
pub fn check_after(
    configuration: &document::Configuration,
    patch: &serde_json::Value,
) -> Result<(), fault::FaultList> {
    into_result(find_in(configuration, touched_organisations(patch)))
}

/// Names of the organisations that a patch may make invalid.
struct TouchedOrganisations<'a> {
    /// Organisations that the patch touches in the inventory.
    inventory: Vec<&'a str>,
    /// Organisations that the patch touches in the rules or in the inventory, because rules refer
    /// to the inventory.
    rules: Vec<&'a str>,
}

/// The organisations that a patch may make invalid; `None` if it may affect all of them.
fn touched_organisations(patch: &serde_json::Value) -> Option<TouchedOrganisations<'_>> {
    let part = |name: &str| patch.get(name);
    let touches = |name| part("inventory").is_some_and(|inventory| inventory.get(name).is_some());
    if touches("regions") || touches("operators") {
        return None;
    }
    let inventory = organisation_names(part("inventory"))?;
    let mut rules = organisation_names(part("rules"))?;
    rules.extend(&inventory);
    let is_few = inventory.len() <= MAX_SCANNED_ORGANISATIONS;
    is_few.then_some(TouchedOrganisations { inventory, rules })
}

/// The organisations named in a patch of the inventory or of the rules; `None` if the patch
/// replaces all of them.
fn organisation_names(part: Option<&serde_json::Value>) -> Option<Vec<&str>> {
    let Some(part) = part else {
        return Some(Vec::new());
    };
    let Some(organisations) = part.as_object()?.get("organisations") else {
        return Some(Vec::new());
    };
    Some(
        organisations
            .as_object()?
            .keys()
            .map(String::as_str)
            .collect(),
    )
}

fn into_result(found: Vec<BasedFault>) -> Result<(), fault::FaultList> {
    if found.is_empty() {
        return Ok(());
    }
    let faults = found.into_iter().map(|based| based.fault).collect();
    Err(fault::FaultList { faults })
}

pub(crate) fn find(configuration: &document::Configuration) -> Vec<BasedFault> {
    find_in(configuration, None)
}

fn find_in(
    configuration: &document::Configuration,
    touched: Option<TouchedOrganisations<'_>>,
) -> Vec<BasedFault> {
    let mut checker = SemanticCheck::new(&configuration.inventory);
    checker.check_inventory(touched.as_ref().map(|names| &names.inventory[..]));
    checker.check_rules(
        &configuration.rules,
        touched.as_ref().map(|names| &names.rules[..]),
    );
    checker.faults
}

/// State of one semantic validation.
pub(crate) struct SemanticCheck<'a> {
    pub inventory: &'a inventory::Inventory,
    /// Region of each failure domain.
    pub domains: collections::HashMap<&'a str, &'a str>,
    faults: Vec<BasedFault>,
}

impl<'a> SemanticCheck<'a> {
    fn new(inventory: &'a inventory::Inventory) -> Self {
        let domains = inventory.regions.iter().flat_map(|(region, entry)| {
            let names = entry.failure_domains.iter();
            names.map(move |domain| (domain.as_str(), region.as_str()))
        });
        Self {
            inventory,
            domains: domains.collect(),
            faults: Vec::new(),
        }
    }

    /// Adds a fault that depends only on the value at `path`.
    pub fn fault(&mut self, path: &[&str], message: impl Into<String>, remedy: impl Into<String>) {
        let fault = fault::ConfigFault::at(path, message, remedy);
        self.faults.push(BasedFault { fault, basis: None });
    }

    /// Adds a fault that also depends on the section `basis`.
    pub fn fault_on(
        &mut self,
        basis: FaultBasis,
        path: &[&str],
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let fault = fault::ConfigFault::at(path, message, remedy);
        self.faults.push(BasedFault {
            fault,
            basis: Some(basis),
        });
    }

    /// Adds a fault if a number is not greater than zero.
    pub fn require_positive(&mut self, path: &[&str], number: f64) {
        if number <= 0.0 {
            self.fault(
                path,
                format!("{number} is not greater than zero"),
                "write a positive number",
            );
        }
    }
}
