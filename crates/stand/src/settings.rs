//! Settings of `pollenstand`: which stand-ins to run, and where.

use std::{collections, net};

use conf::{fault, settings};

use crate::{engine, log, service, vms, weights};

/// Settings of all stand-ins of one process.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct StandSettings {
    /// Address of the admin listener, which switches faults of all stand-ins, including those down.
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
    /// Listen address; port 0 is any free port.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// Capacity and behaviour of the log.
    #[serde(default)]
    pub profile: log::LogProfile,
}

/// The weight store.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsSettings {
    /// Listen address; port 0 is any free port.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// Capacity of the weight store.
    #[serde(default)]
    pub profile: weights::WeightsProfile,
}

/// The VM list.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmsSettings {
    /// Listen address; port 0 is any free port.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// Behaviour of the VM list.
    #[serde(default)]
    pub profile: vms::VmsProfile,
}

/// Group of identical model engines.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// Prefix of the names, followed by `-0`, `-1` and so on.
    pub name: String,
    /// Listen address of the first; the others use the following ports. Port 0 is any free port.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// Number of servers; 1 if absent.
    #[serde(default = "one")]
    pub count: u16,
    /// Capacity, costs and behaviour of each engine.
    #[serde(default)]
    pub profile: engine::EngineProfile,
}

/// Group of identical plain service servers.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroup {
    /// Prefix of the names, followed by `-0`, `-1` and so on.
    pub name: String,
    /// Listen address of the first; the others use the following ports. Port 0 is any free port.
    #[schemars(extend("format" = "socket-address"))]
    pub address: net::SocketAddr,
    /// Number of servers; 1 if absent.
    #[serde(default = "one")]
    pub count: u16,
    /// Duration of a call, which takes effect halfway through.
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
    /// Creates settings for the platform, `engines` model engines and `services` plain servers on
    /// loopback. Admin, log, weight store and VM list use the ports from `first_port`, engines
    /// those from 100 above and plain servers those from 1,000 above. With 0 every port is any free
    /// port.
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

    /// Returns every listener with its path in the settings and its name.
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
                    "\"{}\" would listen on {address}, which another stand-in uses",
                    claim.name
                );
                faults.push(fault::ConfigFault::at(&path, message, "take another port"));
            }
        }
        faults
    }
}

/// Listener that the settings configure.
struct ListenerClaim {
    path: Vec<String>,
    name: String,
    /// Listen address; `None` if the port would exceed 65535.
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

/// Returns the address of member `index` of a group, or `None` if its port would exceed 65535.
#[must_use]
pub fn nth_address(first: net::SocketAddr, index: u16) -> Option<net::SocketAddr> {
    if first.port() == 0 {
        return Some(first);
    }
    let port = first.port().checked_add(index)?;
    Some(net::SocketAddr::new(first.ip(), port))
}
