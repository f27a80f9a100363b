//! Generates valid, deterministic configurations of any size for tests and benchmarks.

use std::{collections, net};

use base::{class, fingerprint};

use crate::{document, inventory, rules};

/// Number of entries of each kind in a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleSize {
    /// Number of regions, each with [`SampleSize::domains`] failure domains.
    pub regions: usize,
    /// Number of failure domains per region.
    pub domains: usize,
    /// Number of entry VMs.
    pub entry_vms: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain service servers.
    pub service_servers: usize,
    /// Number of models.
    pub models: usize,
    /// Number of organisations.
    pub organisations: usize,
}

impl SampleSize {
    /// Planned deployment size, which the design must support.
    pub const PLANNED: Self = Self {
        regions: 3,
        domains: 3,
        entry_vms: 410,
        engines: 600,
        service_servers: 60,
        models: 6,
        organisations: 38_000,
    };

    /// Typical size of a deployment today.
    pub const TODAY: Self = Self {
        regions: 1,
        domains: 3,
        entry_vms: 8,
        engines: 9,
        service_servers: 3,
        models: 1,
        organisations: 10,
    };
}

/// The API key of a sample organisation.
#[must_use]
pub fn api_key(organisation: usize) -> String {
    format!("sample-key-{organisation}")
}

/// The name of a sample organisation.
#[must_use]
pub fn organisation_name(organisation: usize) -> String {
    format!("organisation-{organisation:05}")
}

/// Generates a valid configuration of the given size.
#[must_use]
pub fn configuration(size: SampleSize) -> document::Configuration {
    document::Configuration {
        inventory: inventory(size),
        rules: rules(size),
    }
}

fn inventory(size: SampleSize) -> inventory::Inventory {
    inventory::Inventory {
        regions: named(size.regions, region_name, |region| inventory::RegionEntry {
            failure_domains: (0..size.domains)
                .map(|it| domain_name(region, it))
                .collect(),
        }),
        entry_vms: named(
            size.entry_vms,
            |it| format!("entry-{it:03}"),
            |vm| inventory::VmEntry {
                failure_domain: member_domain(size, vm),
                callers: address(1, vm),
                peers: address(2, vm),
            },
        ),
        backend_servers: servers(size),
        models: named(size.models, model_name, |_| inventory::ModelEntry {
            version: "1".to_owned(),
            adapters: vec!["general".to_owned()],
            min_engines: 1,
            context_tokens: 16_384,
        }),
        services: named(
            1,
            |_| "bookings".to_owned(),
            |_| inventory::ServiceEntry {
                non_idempotent_paths: vec!["confirm".to_owned()],
                max_concurrency: 32,
            },
        ),
        organisations: named(size.organisations, organisation_name, |organisation| {
            inventory::OrganisationEntry {
                key_hashes: vec![hash(&api_key(organisation))],
                region: region_name(organisation % size.regions),
            }
        }),
        operators: named(
            4,
            |it| format!("operator-{it}"),
            |operator| inventory::OperatorEntry {
                key_hashes: vec![hash(&format!("sample-operator-{operator}"))],
            },
        ),
    }
}

/// Generates rules in which every tenth organisation has its own limits.
fn rules(size: SampleSize) -> rules::RuleSet {
    let own = (0..size.organisations).step_by(10).map(|organisation| {
        let rule = rules::OrganisationRule {
            weight: 2.0,
            requests_per_second: Some(20.0),
            ..rules::OrganisationRule::default()
        };
        (organisation_name(organisation), rule)
    });
    rules::RuleSet {
        classes: vec![rules::ClassRule {
            organisations: None,
            models: None,
            services: Some(vec!["bookings".to_owned()]),
            requested: None,
            class: class::TrafficClass::Urgent,
        }],
        organisations: own.collect(),
        ..rules::RuleSet::default()
    }
}

fn servers(size: SampleSize) -> collections::BTreeMap<String, inventory::ServerEntry> {
    let engine = |engine: usize| inventory::ServerEntry {
        failure_domain: member_domain(size, engine),
        address: address(3, engine),
        kind: inventory::ServerKind::ModelEngine(inventory::EngineEntry {
            models: vec![model_name(engine % size.models)],
            checks_fencing: engine.is_multiple_of(2),
            kv_blocks: 8_192,
            block_tokens: 16,
            max_batch: 128,
        }),
    };
    let service = |server: usize| inventory::ServerEntry {
        failure_domain: member_domain(size, server),
        address: address(4, server),
        kind: inventory::ServerKind::PlainService {
            service: "bookings".to_owned(),
        },
    };
    let mut servers = named(size.engines, |it| format!("engine-{it:03}"), engine);
    servers.extend(named(
        size.service_servers,
        |it| format!("booking-{it:02}"),
        service,
    ));
    servers
}

fn named<V>(
    count: usize,
    name: impl Fn(usize) -> String,
    value: impl Fn(usize) -> V,
) -> collections::BTreeMap<String, V> {
    (0..count)
        .map(|index| (name(index), value(index)))
        .collect()
}

fn region_name(region: usize) -> String {
    format!("region-{region}")
}

fn domain_name(region: usize, domain: usize) -> String {
    format!("domain-{region}-{domain}")
}

/// Assigns members to all failure domains in round-robin order.
fn member_domain(size: SampleSize, member: usize) -> String {
    domain_name(member % size.regions, member / size.regions % size.domains)
}

fn model_name(model: usize) -> String {
    format!("model-{model}")
}

/// Each kind of listener has its own network, and each member its own address.
fn address(kind: u8, member: usize) -> net::SocketAddr {
    let [.., high, low] = member.to_be_bytes();
    net::SocketAddr::from(([10, kind, high, low], 8_000))
}

fn hash(key: &str) -> String {
    fingerprint::ContentHash::of(key.as_bytes()).to_string()
}
