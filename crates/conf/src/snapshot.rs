//! Immutable, indexed snapshot of one revision for the request path, shared through an `Arc`.

use std::{collections, sync};

use base::{class, fingerprint, id, rendezvous};

use crate::{
    arena::NamedArena,
    document, index, inventory,
    matcher::{self, ClassMatcher},
    path, rules,
};

/// An organisation in a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationView {
    /// Name in the inventory.
    pub name: String,
    /// Home region.
    pub region: String,
    /// The organisation's own rule, or the default rule.
    pub rule: rules::OrganisationRule,
}

/// A backend server in a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Name in the inventory.
    pub name: String,
    /// Region of the failure domain.
    pub region: String,
    /// Entry in the inventory.
    pub entry: inventory::ServerEntry,
}

/// An entry VM in a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct VmView {
    /// Name in the inventory.
    pub name: String,
    /// Region of the failure domain.
    pub region: String,
    /// Entry in the inventory.
    pub entry: inventory::VmEntry,
}

/// Target of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTarget<'a> {
    /// Generation by the named model.
    Model(&'a str),
    /// Call of the named plain service.
    Service(&'a str),
}

/// One revision of the configuration, indexed for lookups by the request path.
///
/// Within a process, a key stays valid across snapshots for as long as its name is in the
/// inventory; the key of a removed entry resolves to `None`.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    revision: u64,
    /// Offset of the first log record that the snapshot does not include.
    offset: u64,
    configuration: sync::Arc<document::Configuration>,
    organisations: NamedArena<id::OrganisationKey, OrganisationView>,
    servers: NamedArena<id::ServerKey, ServerView>,
    vms: NamedArena<id::VmKey, VmView>,
    api_keys: collections::HashMap<fingerprint::ContentHash, id::OrganisationKey>,
    operator_keys: collections::HashMap<fingerprint::ContentHash, String>,
    model_servers: collections::HashMap<String, Vec<id::ServerKey>>,
    service_servers: collections::HashMap<String, Vec<id::ServerKey>>,
    region_vms: collections::HashMap<String, Vec<id::VmKey>>,
    matchers: Vec<ClassMatcher>,
}

impl ConfigSnapshot {
    /// Builds the successor of this snapshot from a valid configuration.
    ///
    /// `offset` is the offset of the first log record that the configuration does not include.
    #[must_use]
    pub fn next(
        &self,
        revision: u64,
        offset: u64,
        configuration: sync::Arc<document::Configuration>,
    ) -> Self {
        let inventory = &configuration.inventory;
        let regions = index::region_of_domain(inventory);
        let servers = self.servers.next(index::server_views(inventory, &regions));
        let vms = self.vms.next(index::vm_views(inventory, &regions));
        let organisations = self
            .organisations
            .next(index::organisation_views(&configuration));
        let (model_servers, service_servers) = index::servers_by_use(inventory, &servers);
        Self {
            revision,
            offset,
            api_keys: index::api_keys(inventory, &organisations),
            operator_keys: index::operator_keys(inventory),
            model_servers,
            service_servers,
            region_vms: index::vms_by_region(&vms),
            matchers: matcher::matchers(&configuration.rules, &organisations.keys),
            organisations,
            servers,
            vms,
            configuration,
        }
    }

    /// Revision number; 0 is the empty configuration before any change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Offset of the first log record that the snapshot does not include.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// The inventory.
    #[must_use]
    pub fn inventory(&self) -> &inventory::Inventory {
        &self.configuration.inventory
    }

    /// The rules.
    #[must_use]
    pub fn rules(&self) -> &rules::RuleSet {
        &self.configuration.rules
    }

    /// The complete configuration.
    #[must_use]
    pub const fn configuration(&self) -> &sync::Arc<document::Configuration> {
        &self.configuration
    }

    /// The organisation that owns an API key.
    #[must_use]
    pub fn organisation_by_api_key(&self, api_key: &str) -> Option<id::OrganisationKey> {
        let hash = fingerprint::ContentHash::of(api_key.as_bytes());
        self.api_keys.get(&hash).copied()
    }

    /// The operator that owns a key.
    #[must_use]
    pub fn operator_by_key(&self, operator_key: &str) -> Option<&str> {
        let hash = fingerprint::ContentHash::of(operator_key.as_bytes());
        self.operator_keys.get(&hash).map(String::as_str)
    }

    /// The key of an organisation, by name.
    #[must_use]
    pub fn organisation_key(&self, name: &str) -> Option<id::OrganisationKey> {
        self.organisations.keys.get(name).copied()
    }

    /// The organisation with this key; `None` once it has been removed.
    #[must_use]
    pub fn organisation(&self, key: id::OrganisationKey) -> Option<&OrganisationView> {
        self.organisations.entries.get(key)
    }

    /// All organisations.
    pub fn organisations(&self) -> impl Iterator<Item = (id::OrganisationKey, &OrganisationView)> {
        self.organisations.entries.iter()
    }

    /// The key of a backend server, by name.
    #[must_use]
    pub fn server_key(&self, name: &str) -> Option<id::ServerKey> {
        self.servers.keys.get(name).copied()
    }

    /// The backend server with this key; `None` once it has been removed.
    #[must_use]
    pub fn server(&self, key: id::ServerKey) -> Option<&ServerView> {
        self.servers.entries.get(key)
    }

    /// All backend servers.
    pub fn servers(&self) -> impl Iterator<Item = (id::ServerKey, &ServerView)> {
        self.servers.entries.iter()
    }

    /// The key of an entry VM, by name.
    #[must_use]
    pub fn vm_key(&self, name: &str) -> Option<id::VmKey> {
        self.vms.keys.get(name).copied()
    }

    /// The entry VM with this key; `None` once it has been removed.
    #[must_use]
    pub fn vm(&self, key: id::VmKey) -> Option<&VmView> {
        self.vms.entries.get(key)
    }

    /// All entry VMs.
    pub fn vms(&self) -> impl Iterator<Item = (id::VmKey, &VmView)> {
        self.vms.entries.iter()
    }

    /// Model engines that may serve a model, ordered by server name.
    #[must_use]
    pub fn servers_of_model(&self, model: &str) -> &[id::ServerKey] {
        self.model_servers.get(model).map_or(&[], Vec::as_slice)
    }

    /// Servers of a plain service, ordered by server name.
    #[must_use]
    pub fn servers_of_service(&self, service: &str) -> &[id::ServerKey] {
        self.service_servers.get(service).map_or(&[], Vec::as_slice)
    }

    /// The traffic class of a request: that of the first matching rule, or normal if none matches.
    #[must_use]
    pub fn class_of(
        &self,
        organisation: id::OrganisationKey,
        target: RequestTarget<'_>,
        requested: Option<class::TrafficClass>,
    ) -> class::TrafficClass {
        self.matchers
            .iter()
            .find(|matcher| matcher.matches(organisation, target, requested))
            .map_or(class::TrafficClass::Normal, |matcher| matcher.class)
    }

    /// Whether calls of this path are not idempotent; such calls require an idempotency key and run
    /// at most once.
    #[must_use]
    pub fn is_non_idempotent(&self, service: &str, path: &str) -> bool {
        let Some(entry) = self.inventory().services.get(service) else {
            return false;
        };
        let path = path::plain_path(path);
        entry
            .non_idempotent_paths
            .iter()
            .any(|prefix| path.starts_with(&path::plain_path(prefix)))
    }

    /// The entry VMs listed to callers of an organisation, in order of preference.
    ///
    /// Rendezvous hashing distributes the first position evenly over the usable VMs of the home
    /// region. The following positions go to failure domains that are not in the list yet, so that
    /// callers can still reach a VM when one domain fails. VMs of other regions are listed only if
    /// the home region has no usable VM.
    #[must_use]
    pub fn entries_of<F>(&self, organisation: id::OrganisationKey, usable: F) -> Vec<id::VmKey>
    where
        F: Fn(id::VmKey) -> bool,
    {
        let Some(view) = self.organisation(organisation) else {
            return Vec::new();
        };
        let home = self
            .region_vms
            .get(&view.region)
            .map_or(&[][..], Vec::as_slice);
        let mut candidates: Vec<id::VmKey> =
            home.iter().copied().filter(|key| usable(*key)).collect();
        if candidates.is_empty() {
            candidates = self.vms.entries.keys().filter(|key| usable(*key)).collect();
        }
        self.spread(&view.name, candidates)
    }

    /// Ranks `candidates` for `subject`, taking one VM of each failure domain before a second one
    /// of any domain.
    fn spread(&self, subject: &str, candidates: Vec<id::VmKey>) -> Vec<id::VmKey> {
        let mut ranking: Vec<(u64, &VmView, id::VmKey)> = candidates
            .into_iter()
            .map(|key| {
                let view = &self.vms.entries[key];
                (rendezvous::score(subject, &view.name), view, key)
            })
            .collect();
        ranking
            .sort_unstable_by(|left, right| (right.0, &right.1.name).cmp(&(left.0, &left.1.name)));
        let mut taken: collections::HashMap<&str, usize> = collections::HashMap::new();
        let mut order: Vec<(usize, usize, id::VmKey)> = ranking
            .iter()
            .enumerate()
            .map(|(rank, (_, view, key))| {
                let round = taken.entry(view.entry.failure_domain.as_str()).or_default();
                *round += 1;
                (*round, rank, *key)
            })
            .collect();
        order.sort_unstable_by_key(|(round, rank, _)| (*round, *rank));
        order.truncate(self.rules().entries.per_organisation as usize);
        order.into_iter().map(|(_, _, key)| key).collect()
    }
}
