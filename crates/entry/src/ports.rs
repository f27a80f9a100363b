//! The ports of this daemon's request plane.

use flow::port;

use crate::{
    adapt::{claims, identity, jobs, peers, quota, schedule},
    recorder,
};

/// The ports of this daemon's request plane.
#[derive(Debug)]
pub struct EntryPorts {
    /// Model engines.
    pub engines: flow::http::HttpEngines,
    /// Plain services.
    pub services: flow::http::HttpServices,
    /// Placement.
    pub schedule: schedule::PlaneScheduler,
    /// Limits.
    pub quotas: quota::CoreQuota,
    /// Claims.
    pub claims: claims::LogClaims,
    /// Deferrable work.
    pub jobs: jobs::LogJobs,
    /// Time line.
    pub events: recorder::EventRecorder,
    /// Wall clock.
    pub clock: identity::SystemClock,
    /// Identifiers.
    pub ids: identity::RandomIds,
    /// Other entry VMs.
    pub peers: peers::PeerNotes,
}

impl port::PortSet for EntryPorts {
    type Claims = claims::LogClaims;
    type Clock = identity::SystemClock;
    type Engines = flow::http::HttpEngines;
    type Events = recorder::EventRecorder;
    type Ids = identity::RandomIds;
    type Jobs = jobs::LogJobs;
    type Peers = peers::PeerNotes;
    type Quotas = quota::CoreQuota;
    type Schedule = schedule::PlaneScheduler;
    type Services = flow::http::HttpServices;

    fn engines(&self) -> &Self::Engines {
        &self.engines
    }

    fn services(&self) -> &Self::Services {
        &self.services
    }

    fn schedule(&self) -> &Self::Schedule {
        &self.schedule
    }

    fn quotas(&self) -> &Self::Quotas {
        &self.quotas
    }

    fn claims(&self) -> &Self::Claims {
        &self.claims
    }

    fn jobs(&self) -> &Self::Jobs {
        &self.jobs
    }

    fn events(&self) -> &Self::Events {
        &self.events
    }

    fn clock(&self) -> &Self::Clock {
        &self.clock
    }

    fn ids(&self) -> &Self::Ids {
        &self.ids
    }

    fn peers(&self) -> &Self::Peers {
        &self.peers
    }
}
