//! Semantic validation of the inventory.

use std::{collections, net};

use crate::{
    check::{self, SemanticCheck},
    inventory, structure,
};

/// Maximum number of concurrently valid keys of one organisation or operator, so that a key can be
/// rotated.
const MAX_VALID_KEYS: usize = 2;

/// Path of the field that uses each address.
type AddressOwners<'a> = collections::HashMap<net::SocketAddr, [&'a str; 3]>;

impl<'a> SemanticCheck<'a> {
    /// Validates the inventory. With `organisations`, only these organisations are validated among
    /// all organisations.
    pub(crate) fn check_inventory(&mut self, organisations: Option<&[&str]>) {
        self.check_regions();
        self.check_addresses();
        self.check_vms();
        self.check_servers();
        self.check_models();
        self.check_services();
        match organisations {
            None => self.check_organisations(),
            Some(names) => self.check_some_organisations(names),
        }
    }

    fn check_regions(&mut self) {
        let mut owners: collections::HashMap<&str, &str> = collections::HashMap::new();
        for (region, entry) in &self.inventory.regions {
            let path = ["inventory", "regions", region, "failure_domains"];
            if entry.failure_domains.is_empty() {
                self.fault(
                    &path,
                    "the region has no failure domain",
                    "list at least one",
                );
            }
            for (index, domain) in entry.failure_domains.iter().enumerate() {
                let index = index.to_string();
                let path = ["inventory", "regions", region, "failure_domains", &index];
                if domain.is_empty() {
                    self.fault(&path, "the name of the failure domain is empty", "name it");
                }
                if let Some(owner) = owners.insert(domain, region) {
                    let message = format!("failure domain \"{domain}\" is already in \"{owner}\"");
                    self.fault(&path, message, "list it once, in one region only");
                }
            }
        }
    }

    /// Checks that no two listeners share an address: the second one could not start, or would
    /// receive connections meant for the first.
    fn check_addresses(&mut self) {
        let mut owners = AddressOwners::new();
        let inventory = self.inventory;
        for (name, entry) in &inventory.entry_vms {
            for (field, address) in [("callers", entry.callers), ("peers", entry.peers)] {
                self.check_address(&mut owners, ["entry_vms", name, field], address);
            }
        }
        for (name, entry) in &inventory.backend_servers {
            let path = ["backend_servers", name, "address"];
            self.check_address(&mut owners, path, entry.address);
        }
    }

    fn check_address(
        &mut self,
        owners: &mut AddressOwners<'a>,
        field: [&'a str; 3],
        address: net::SocketAddr,
    ) {
        let path = ["inventory", field[0], field[1], field[2]];
        if address.port() == 0 || address.ip().is_unspecified() {
            let message = format!("no client can connect to {address}");
            self.fault(&path, message, "write the address and port that others use");
        }
        if let Some(owner) = owners.insert(address, field) {
            let owner = owner.join(".");
            let message = format!("{address} is already the address of {owner}");
            self.fault(&path, message, "give each its own address or port");
        }
    }

    fn check_vms(&mut self) {
        let inventory = self.inventory;
        for (name, entry) in &inventory.entry_vms {
            self.check_domain(["entry_vms", name], &entry.failure_domain);
        }
    }

    fn check_domain(&mut self, owner: [&str; 2], domain: &str) {
        if !self.domains.contains_key(domain) {
            let path = ["inventory", owner[0], owner[1], "failure_domain"];
            let message = format!("no region has a failure domain \"{domain}\"");
            let remedy = "add it to a region's failure_domains, or use one that is listed there";
            self.fault_on(check::DOMAINS, &path, message, remedy);
        }
    }

    fn check_servers(&mut self) {
        let inventory = self.inventory;
        for (name, entry) in &inventory.backend_servers {
            self.check_domain(["backend_servers", name], &entry.failure_domain);
            match &entry.kind {
                inventory::ServerKind::ModelEngine(engine) => self.check_engine(name, engine),
                inventory::ServerKind::PlainService { service } => {
                    if !inventory.services.contains_key(service) {
                        let tail = ["kind", "plain_service", "service"];
                        let path = [&["inventory", "backend_servers", name][..], &tail].concat();
                        let message = format!("no service \"{service}\" in the inventory");
                        let remedy = "add it to services, or use one that is listed there";
                        self.fault_on(check::SERVICES, &path, message, remedy);
                    }
                }
            }
        }
    }

    fn check_engine(&mut self, name: &str, engine: &inventory::EngineEntry) {
        let base = ["inventory", "backend_servers", name, "kind", "model_engine"];
        let path = |field| [&base[..], &[field]].concat();
        let numbers = [
            ("kv_blocks", engine.kv_blocks),
            ("block_tokens", engine.block_tokens),
            ("max_batch", engine.max_batch),
        ];
        for (field, number) in numbers.into_iter().filter(|(_, number)| *number == 0) {
            self.require_positive(&path(field), f64::from(number));
        }
        if engine.models.is_empty() {
            self.fault(
                &path("models"),
                "the engine has no models",
                "list at least one",
            );
        }
        for (index, model) in engine.models.iter().enumerate() {
            let is_repeated = engine.models[..index].contains(model);
            let fault = self.engine_model_fault(engine, model);
            if !is_repeated && fault.is_none() {
                continue;
            }
            let number = index.to_string();
            let path = [&path("models")[..], &[number.as_str()]].concat();
            if is_repeated {
                self.fault(
                    &path,
                    format!("\"{model}\" is listed twice"),
                    "list it once",
                );
            }
            if let Some((basis, message, remedy)) = fault {
                self.fault_on(basis, &path, message, remedy);
            }
        }
    }

    /// The fault of an engine that cannot serve a model in its list.
    fn engine_model_fault(
        &self,
        engine: &inventory::EngineEntry,
        model: &str,
    ) -> Option<(check::FaultBasis, String, &'static str)> {
        let Some(entry) = self.inventory.models.get(model) else {
            let message = format!("no model \"{model}\" in the inventory");
            let remedy = "add it to models, or use one that is listed there";
            return Some((check::MODELS, message, remedy));
        };
        let held = u64::from(engine.kv_blocks) * u64::from(engine.block_tokens);
        let max_tokens = u64::from(entry.context_tokens);
        let is_too_long = held > 0 && max_tokens > held;
        is_too_long.then(|| {
            let message = format!(
                "the engine's KV cache holds {held} tokens, but one generation of \"{model}\" may \
                 need up to {max_tokens}"
            );
            let remedy = "lower the model's context_tokens, or serve it on larger engines";
            (check::MODELS, message, remedy)
        })
    }

    fn check_models(&mut self) {
        let inventory = self.inventory;
        let mut engines: collections::HashMap<&str, u32> = collections::HashMap::new();
        for entry in inventory.backend_servers.values() {
            if let inventory::ServerKind::ModelEngine(engine) = &entry.kind {
                for model in &engine.models {
                    *engines.entry(model.as_str()).or_default() += 1;
                }
            }
        }
        for (name, entry) in &inventory.models {
            let path = |field| ["inventory", "models", name, field];
            if entry.version.is_empty() {
                self.fault(&path("version"), "the version is empty", "name one");
            }
            self.require_positive(&path("context_tokens"), f64::from(entry.context_tokens));
            let available = engines.get(name.as_str()).copied().unwrap_or_default();
            if entry.min_engines > available {
                let message = format!(
                    "at least {} engines are required, but only {available} may serve the model",
                    entry.min_engines
                );
                let remedy = "lower min_engines, or add the model to more engines";
                self.fault_on(check::ENGINES, &path("min_engines"), message, remedy);
            }
            for (index, adapter) in entry.adapters.iter().enumerate() {
                if entry.adapters[..index].contains(adapter) {
                    let message = format!("adapter \"{adapter}\" is listed twice");
                    self.fault(&path("adapters"), message, "list it once");
                }
            }
        }
    }

    fn check_services(&mut self) {
        let inventory = self.inventory;
        for (name, entry) in &inventory.services {
            let path = |field| ["inventory", "services", name, field];
            if name.is_empty() || name.contains('/') {
                let message = "the name cannot be used in a path";
                let path = ["inventory", "services", name];
                self.fault(&path, message, "use a name without \"/\"");
            }
            self.require_positive(&path("max_concurrency"), f64::from(entry.max_concurrency));
            if entry.non_idempotent_paths.iter().any(String::is_empty) {
                let message = "an empty prefix matches every path";
                let remedy = "write \"/\" to match all calls, otherwise a prefix";
                self.fault(&path("non_idempotent_paths"), message, remedy);
            }
        }
    }

    fn check_organisations(&mut self) {
        let inventory = self.inventory;
        let mut owners: collections::HashMap<&str, &str> =
            collections::HashMap::with_capacity(inventory.organisations.len());
        for (section, name, hashes) in key_owners(inventory) {
            self.check_key_hashes(section, name, hashes);
            for (index, hash) in hashes.iter().enumerate() {
                if let Some(owner) = owners.insert(hash, name) {
                    self.shared_key(section, name, index, owner);
                }
            }
        }
        for (name, entry) in &inventory.organisations {
            self.check_region(name, entry);
        }
    }

    fn check_some_organisations(&mut self, names: &[&str]) {
        let inventory = self.inventory;
        for name in names {
            let Some(entry) = inventory.organisations.get(*name) else {
                continue;
            };
            self.check_region(name, entry);
            self.check_key_hashes("organisations", name, &entry.key_hashes);
            for (index, hash) in entry.key_hashes.iter().enumerate() {
                let twice = entry.key_hashes[..index].contains(hash).then_some(*name);
                let owner = key_owners(inventory)
                    .find(|(section, owner, hashes)| {
                        (*section, *owner) != ("organisations", *name) && hashes.contains(hash)
                    })
                    .map(|(_, owner, _)| owner);
                if let Some(owner) = twice.or(owner) {
                    self.shared_key("organisations", name, index, owner);
                }
            }
        }
    }

    fn check_region(&mut self, name: &str, entry: &inventory::OrganisationEntry) {
        if !self.inventory.regions.contains_key(&entry.region) {
            let path = ["inventory", "organisations", name, "region"];
            let message = format!("no region \"{}\" in the inventory", entry.region);
            let remedy = "add it to regions, or use one that is listed there";
            self.fault_on(check::REGIONS, &path, message, remedy);
        }
    }

    fn check_key_hashes(&mut self, section: &str, name: &str, hashes: &[String]) {
        let path = ["inventory", section, name, "key_hashes"];
        if hashes.len() > MAX_VALID_KEYS {
            let message = format!("{} keys are listed", hashes.len());
            self.fault(&path, message, "keep at most two, the old and the new one");
        }
        for (index, hash) in hashes.iter().enumerate() {
            if !structure::is_hash_text(hash) {
                let number = index.to_string();
                let path = [&path[..], &[number.as_str()]].concat();
                let remedy = "write the key's SHA-256 in 64 lower-case hexadecimal digits";
                self.fault(&path, "this is not a key hash", remedy);
            }
        }
    }

    /// Adds a fault for a key that two owners share: callers of one would be identified as the
    /// other.
    fn shared_key(&mut self, section: &str, name: &str, index: usize, owner: &str) {
        let path = ["inventory", section, name, "key_hashes", &index.to_string()];
        let message = format!("\"{owner}\" has the same key");
        self.fault(&path, message, "generate a new key for one of them");
    }
}

/// Section, name and key hashes of all organisations and operators.
fn key_owners(
    inventory: &inventory::Inventory,
) -> impl Iterator<Item = (&'static str, &str, &Vec<String>)> {
    let organisations = inventory.organisations.iter();
    let operators = inventory.operators.iter();
    organisations
        .map(|(name, entry)| ("organisations", name.as_str(), &entry.key_hashes))
        .chain(operators.map(|(name, entry)| ("operators", name.as_str(), &entry.key_hashes)))
}
