//! Settings of `pollenstand`: which stand-ins to run, and where.

use std::{collections, net};

use conf::{fault, settings};

use crate::{engine, log, service, vms, weights};

/// All stand-ins of one process.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StandSettings {
    /// Where faults are switched for all of them, also for those that are down.
    #[schemars(extend("format" = "socket-address"))]
    pub admin: Option<net::SocketAddr>,
    /// The append-only log.
    pub log: Option<LogSettings>,
    /// The weight store.
    pub weights: Option<WeightsSettings>,
    /// The VM list.
    pub vms: Option<VmsSettings>,
    /// Model engines.
    #[serde(default)]
    pub engines: Vec<EngineGroup>,
    /// Plain service servers.
    #[serde(default)]
    pub services: Vec<ServiceGroup>,
}

/// The log.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Where it listens; port 0 is any.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// Its capacity and manners.
    #[serde(default)]
    pub profile: log::LogProfile,
}

/// The weight store.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsSettings {
    /// Where it listens; port 0 is any.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// Its capacity.
    #[serde(default)]
    pub profile: weights::WeightsProfile,
}

/// The VM list.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmsSettings {
    /// Where it listens; port 0 is any.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// Its manners.
    #[serde(default)]
    pub profile: vms::VmsProfile,
}

/// Model engines that are alike.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// Their names are this with `-0`, `-1` and so on.
    pub name: String,
    /// Where the first listens; the others take the ports after it. Port 0 is any for each.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// How many; 1 when absent.
    #[serde(default = "one")]
    pub count: u16,
    /// Their capacity, costs and manners.
    #[serde(default)]
    pub profile: engine::EngineProfile,
}

/// Plain service servers that are alike.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroup {
    /// Their names are this with `-0`, `-1` and so on.
    pub name: String,
    /// Where the first listens; the others take the ports after it. Port 0 is any for each.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// How many; 1 when absent.
    #[serde(default = "one")]
    pub count: u16,
    /// Time that a call takes; it takes effect halfway.
    #[serde(default = "usual_latency_ms")]
    pub latency_ms: u64,
}

const fn one() -> u16 {
    1
}

fn usual_latency_ms() -> u64 {
    service::ServiceProfile::default().latency_ms
}

impl StandSettings {
    /// The platform, `engines` model engines and `services` plain servers on loopback, from
    /// `first_port` on: admin, log, weight store, VM list, then engines from 100 and plain servers
    /// from 1,000 ports above. With 0 all ports are any.
    #[must_use]
    pub fn on_loopback(first_port: u16, engines: u16, services: u16) -> Self {
        let at = |above: u16| {
            let port = if first_port == 0 {
                0
            } else {
                first_port.saturating_add(above)
            };
            net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
        };
        let engine_group = EngineGroup {
            name: String::from("engine"),
            address: at(100),
            count: engines,
            profile: engine::EngineProfile::default(),
        };
        let service_group = ServiceGroup {
            name: String::from("service"),
            address: at(1_000),
            count: services,
            latency_ms: usual_latency_ms(),
        };
        Self {
            admin: Some(at(0)),
            log: Some(LogSettings {
                address: at(1),
                profile: log::LogProfile::default(),
            }),
            weights: Some(WeightsSettings {
                address: at(2),
                profile: weights::WeightsProfile::default(),
            }),
            vms: Some(VmsSettings {
                address: at(3),
                profile: vms::VmsProfile::default(),
            }),
            engines: vec![engine_group],
            services: vec![service_group],
        }
    }

    /// Every listener with its path in the settings and its name.
    fn listeners(&self) -> Vec<ListenerClaim> {
        let mut claims = Vec::new();
        let mut single = |name: &str, address: Option<net::SocketAddr>| {
            if let Some(address) = address {
                claims.push(ListenerClaim::new(vec![String::from(name)], name, address));
            }
        };
        single("admin", self.admin);
        single("log", self.log.as_ref().map(|log| log.address));
        single(
            "weights",
            self.weights.as_ref().map(|weights| weights.address),
        );
        single("vms", self.vms.as_ref().map(|vms| vms.address));
        for (index, group) in self.engines.iter().enumerate() {
            claims.extend(claims_of(
                "engines",
                index,
                &group.name,
                group.address,
                group.count,
            ));
        }
        for (index, group) in self.services.iter().enumerate() {
            claims.extend(claims_of(
                "services",
                index,
                &group.name,
                group.address,
                group.count,
            ));
        }
        claims
    }
}

impl settings::CheckedSettings for StandSettings {
    fn contradictions(&self) -> Vec<fault::ConfigFault> {
        let mut faults = Vec::new();
        let mut names = collections::HashSet::new();
        let mut addresses = collections::HashSet::new();
        for claim in self.listeners() {
            let path: Vec<&str> = claim.path.iter().map(String::as_str).collect();
            if !names.insert(claim.name.clone()) {
                let message = format!("two stand-ins would be called \"{}\"", claim.name);
                faults.push(fault::ConfigFault::at(
                    &path,
                    message,
                    "give one another name",
                ));
            }
            let Some(address) = claim.address else {
                let message = format!("\"{}\" would need a port above 65535", claim.name);
                faults.push(fault::ConfigFault::at(&path, message, "take a lower port"));
                continue;
            };
            if address.port() != 0 && !addresses.insert(address) {
                let message = format!(
                    "\"{}\" would listen on {address} beside another",
                    claim.name
                );
                faults.push(fault::ConfigFault::at(&path, message, "take another port"));
            }
        }
        faults
    }
}

/// One listener that the settings ask for.
struct ListenerClaim {
    path: Vec<String>,
    name: String,
    /// Absent when there is no such port.
    address: Option<net::SocketAddr>,
}

impl ListenerClaim {
    fn new(path: Vec<String>, name: &str, address: net::SocketAddr) -> Self {
        Self {
            path,
            name: String::from(name),
            address: Some(address),
        }
    }
}

fn claims_of(
    section: &str,
    group: usize,
    name: &str,
    first: net::SocketAddr,
    count: u16,
) -> impl Iterator<Item = ListenerClaim> {
    (0..count).map(move |index| ListenerClaim {
        path: vec![String::from(section), group.to_string()],
        name: format!("{name}-{index}"),
        address: nth_address(first, index),
    })
}

/// The address of member `index` of a group; absent when there is no such port.
#[must_use]
pub fn nth_address(first: net::SocketAddr, index: u16) -> Option<net::SocketAddr> {
    if first.port() == 0 {
        return Some(first);
    }
    let port = first.port().checked_add(index)?;
    Some(net::SocketAddr::new(first.ip(), port))
}
