//! All stand-ins of one process, by name.

use std::{net, time};

use crate::{admin, engine, http, log, service, settings, vms, weights};

/// Handle of a stand-in, through which faults are injected.
#[derive(Clone, Debug)]
pub enum StandHandle {
    /// A model engine.
    Engine(engine::EngineHandle),
    /// The log.
    Log(log::LogHandle),
    /// A plain service server.
    Service(service::ServiceHandle),
    /// The weight store.
    Weights(weights::WeightsHandle),
    /// The VM list.
    Vms(vms::VmsHandle),
}

impl StandHandle {
    /// Injects or clears the fault described by `fault`.
    ///
    /// # Errors
    ///
    /// Returns an error if this kind of stand-in doesn't support the fault.
    pub fn apply(&self, fault: serde_json::Value) -> Result<(), serde_json::Error> {
        match self {
            Self::Engine(handle) => handle.apply(&serde_json::from_value(fault)?),
            Self::Log(handle) => handle.apply(&serde_json::from_value(fault)?),
            Self::Service(handle) => handle.apply(&serde_json::from_value(fault)?),
            Self::Weights(handle) => handle.apply(serde_json::from_value(fault)?),
            Self::Vms(handle) => handle.apply(&serde_json::from_value(fault)?),
        }
        Ok(())
    }

    /// Returns the kind, as named in the settings.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Engine(_) => "engine",
            Self::Log(_) => "log",
            Self::Service(_) => "service",
            Self::Weights(_) => "weights",
            Self::Vms(_) => "vms",
        }
    }
}

/// One stand-in of a fleet.
#[derive(Clone, Debug)]
pub struct FleetMember {
    /// Name: `log`, `weights`, `vms`, or the group's name with a number.
    pub name: String,
    /// Address on which the stand-in listens.
    pub address: net::SocketAddr,
    /// Handle of the stand-in.
    pub handle: StandHandle,
}

/// All stand-ins of one process. They stop when this is dropped.
#[derive(Debug)]
pub struct StandFleet {
    members: Vec<FleetMember>,
    servers: Vec<http::RunningServer>,
    admin: Option<http::RunningServer>,
}

impl StandFleet {
    /// Starts all stand-ins that the settings list.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound; all stand-ins are stopped then.
    pub async fn start(settings: &settings::StandSettings) -> Result<Self, http::ServeError> {
        let mut fleet = Self {
            members: Vec::new(),
            servers: Vec::new(),
            admin: None,
        };
        fleet.start_platform(settings).await?;
        for group in &settings.engines {
            fleet.start_engines(group).await?;
        }
        for group in &settings.services {
            fleet.start_services(group).await?;
        }
        if let Some(address) = settings.admin {
            fleet.admin = Some(admin::serve(fleet.members.clone(), address).await?);
        }
        Ok(fleet)
    }

    /// Returns all stand-ins.
    #[must_use]
    pub fn members(&self) -> &[FleetMember] {
        &self.members
    }

    /// Returns the address of the admin listener, if any.
    #[must_use]
    pub fn admin_address(&self) -> Option<net::SocketAddr> {
        self.admin.as_ref().map(http::RunningServer::address)
    }

    /// Stops all stand-ins and cuts open connections.
    pub async fn stop(self) {
        for server in self.servers.into_iter().chain(self.admin) {
            server.stop().await;
        }
    }

    async fn start_platform(
        &mut self,
        settings: &settings::StandSettings,
    ) -> Result<(), http::ServeError> {
        if let Some(log) = &settings.log {
            let handle = log::LogHandle::new(log.profile.clone());
            let server = log::serve(handle.clone(), log.address).await?;
            self.add("log", server, StandHandle::Log(handle));
        }
        if let Some(weights) = &settings.weights {
            let handle = weights::WeightsHandle::new(weights.profile.clone());
            let server = weights::serve(handle.clone(), weights.address).await?;
            self.add("weights", server, StandHandle::Weights(handle));
        }
        if let Some(vms) = &settings.vms {
            let handle = vms::VmsHandle::new(&vms.profile);
            let server = vms::serve(handle.clone(), vms.address).await?;
            self.add("vms", server, StandHandle::Vms(handle));
        }
        Ok(())
    }

    async fn start_engines(
        &mut self,
        group: &settings::EngineGroup,
    ) -> Result<(), http::ServeError> {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let salt = since.map_or(0, |since| since.as_nanos() as u64);
        for index in 0..group.count {
            let mut profile = group.profile.clone();
            // Engines of one group must not draw the same random values.
            profile.seed = profile.seed.wrapping_add(self.members.len() as u64);
            let handle = engine::EngineHandle::spawn_salted(profile, salt);
            let address = member_address(group.address, index)?;
            let server = engine::serve(handle.clone(), address).await?;
            let name = format!("{}-{index}", group.name);
            self.add(&name, server, StandHandle::Engine(handle));
        }
        Ok(())
    }

    async fn start_services(
        &mut self,
        group: &settings::ServiceGroup,
    ) -> Result<(), http::ServeError> {
        for index in 0..group.count {
            let name = format!("{}-{index}", group.name);
            let handle = service::ServiceHandle::new(service::ServiceProfile {
                server: name.clone(),
                latency_ms: group.latency_ms,
            });
            let address = member_address(group.address, index)?;
            let server = service::serve(handle.clone(), address).await?;
            self.add(&name, server, StandHandle::Service(handle));
        }
        Ok(())
    }

    fn add(&mut self, name: &str, server: http::RunningServer, handle: StandHandle) {
        self.members.push(FleetMember {
            name: String::from(name),
            address: server.address(),
            handle,
        });
        self.servers.push(server);
    }
}

fn member_address(first: net::SocketAddr, index: u16) -> Result<net::SocketAddr, http::ServeError> {
    let address = settings::nth_address(first, index);
    address.ok_or_else(|| http::ServeError {
        address: first,
        reason: format!("there is no port {index} above it"),
    })
}
