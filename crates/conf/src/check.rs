//! Checks the meaning of a whole configuration: references, addresses, numbers, contradictions.
//!
//! Files and changes read from the log go through the same check, so what an operator's check
//! accepts is what every reader of the log accepts.

use std::collections;

use crate::{document, fault, inventory};

/// Changed organisations whose keys are compared with all others one by one; with more, building
/// a table of all keys is cheaper.
const SCANNED_ORGANISATIONS: usize = 8;

/// Part of the document that a fault's finding rests on.
///
/// While that part itself has faults of structure, the finding may be a mere consequence of them
/// and is left out of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FaultBasis {
    /// Path of the part.
    pub section: [&'static str; 2],
    /// Whether the values below matter, or only the names in the section itself.
    pub is_deep: bool,
}

/// A fault together with what its finding rests on.
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

    /// Whether a repaired value at `path` makes the finding doubtful.
    pub fn is_shaken_by(&self, path: &[String]) -> bool {
        let shared = path
            .iter()
            .zip(self.section)
            .all(|(name, section)| name == section);
        shared && (self.is_deep || path.len() <= self.section.len())
    }
}

/// Failure domains stand in the entries of the regions.
pub(crate) const DOMAINS: FaultBasis = FaultBasis::values("regions");
/// Names of regions.
pub(crate) const REGIONS: FaultBasis = FaultBasis::names("regions");
/// What the engines may serve.
pub(crate) const ENGINES: FaultBasis = FaultBasis::values("backend_servers");
/// Names of models.
pub(crate) const MODELS: FaultBasis = FaultBasis::names("models");
/// Names of services.
pub(crate) const SERVICES: FaultBasis = FaultBasis::names("services");
/// Names of organisations.
pub(crate) const ORGANISATIONS: FaultBasis = FaultBasis::names("organisations");

/// Checks the whole of `configuration`.
///
/// # Errors
/// The list of faults, when there is any.
pub fn check(configuration: &document::Configuration) -> Result<(), fault::FaultList> {
    listed(find(configuration))
}

/// Checks `configuration`, which `patch` made from a valid one.
///
/// Where the patch allows it, only the organisations that it names are checked again; the verdict
/// is that of the whole check.
///
/// # Errors
/// The list of faults, when there is any.
pub fn check_after(
    configuration: &document::Configuration,
    patch: &serde_json::Value,
) -> Result<(), fault::FaultList> {
    listed(find_in(configuration, touched_organisations(patch)))
}

/// Names of the organisations that a patch may make wrong.
struct TouchedOrganisations<'a> {
    /// In the inventory.
    inventory: Vec<&'a str>,
    /// In the rules: those named there, and those of the inventory, which rules refer to.
    rules: Vec<&'a str>,
}

/// The organisations that a patch may make wrong; nothing when it may be all.
fn touched_organisations(patch: &serde_json::Value) -> Option<TouchedOrganisations<'_>> {
    let part = |name: &str| patch.get(name);
    let touches = |name| part("inventory").is_some_and(|inventory| inventory.get(name).is_some());
    if touches("regions") || touches("operators") {
        return None;
    }
    let inventory = organisation_names(part("inventory"))?;
    let mut rules = organisation_names(part("rules"))?;
    rules.extend(&inventory);
    let is_few = inventory.len() <= SCANNED_ORGANISATIONS;
    is_few.then_some(TouchedOrganisations { inventory, rules })
}

/// Organisations that a patch of the inventory or of the rules names; nothing when it replaces
/// them all.
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

fn listed(found: Vec<BasedFault>) -> Result<(), fault::FaultList> {
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
    let mut checker = MeaningCheck::new(&configuration.inventory);
    checker.check_inventory(touched.as_ref().map(|names| &names.inventory[..]));
    checker.check_rules(
        &configuration.rules,
        touched.as_ref().map(|names| &names.rules[..]),
    );
    checker.faults
}

/// The check at work.
pub(crate) struct MeaningCheck<'a> {
    pub inventory: &'a inventory::Inventory,
    /// Region of each failure domain.
    pub domains: collections::HashMap<&'a str, &'a str>,
    faults: Vec<BasedFault>,
}

impl<'a> MeaningCheck<'a> {
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

    /// Adds a fault that rests on nothing but the value at `path`.
    pub fn fault(&mut self, path: &[&str], message: impl Into<String>, remedy: impl Into<String>) {
        let fault = fault::ConfigFault::at(path, message, remedy);
        self.faults.push(BasedFault { fault, basis: None });
    }

    /// Adds a fault whose finding rests on `basis`.
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

    /// Adds a fault when a number is zero.
    pub fn positive(&mut self, path: &[&str], number: f64) {
        if number <= 0.0 {
            self.fault(
                path,
                format!("{number} is not above zero"),
                "write a greater number",
            );
        }
    }
}
