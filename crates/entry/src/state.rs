//! State shared by the HTTP interfaces and the controllers of one daemon.

use std::sync;

use base::{id, ops, refusal};
use carry::memory;
use conf::snapshot;
use flow::plane;

use crate::{configure, http::head, members, placement, ports, recorder, roster, settings};

/// Shared components of one daemon.
pub struct EntryState {
    /// The daemon's own settings; constant while the process runs.
    pub settings: settings::DaemonSettings,
    /// Incarnation of this process.
    pub incarnation: id::Incarnation,
    /// Memory for the bodies of callers' requests.
    pub body_memory: memory::CallerMemory,
    /// The configuration in force.
    pub active_config: sync::Arc<configure::ActiveConfig>,
    /// The backend servers as this process observes them.
    pub roster: sync::Arc<roster::ServerRoster>,
    /// The other entry VMs as this process observes them.
    pub members: sync::Arc<members::MemberTable>,
    /// The time line of this process.
    pub recorder: recorder::EventRecorder,
    /// Leases on engines and models.
    pub leases: sync::Arc<lease::driver::LeaseDriver<ledger::http::HttpLog>>,
    /// Placement of the models, as this VM last observed it.
    pub placement: sync::Arc<placement::PlacementBoard>,
    /// The decision core.
    pub driver: sched::driver::Driver,
    /// The request plane.
    pub plane: sync::Arc<plane::RequestPlane<ports::EntryPorts>>,
    /// The log, for operators' changes.
    pub log: ledger::http::HttpLog,
    /// Membership of this daemon.
    pub gossip: gossip::handle::GossipHandle,
    /// Address for other entry VMs.
    pub peers: std::net::SocketAddr,
    /// Renders the metrics of this process.
    pub metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
}

impl std::fmt::Debug for EntryState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EntryState")
            .field("vm", &self.settings.vm)
            .finish_non_exhaustive()
    }
}

impl EntryState {
    /// Whether this daemon takes requests.
    #[must_use]
    pub fn readiness(&self) -> ops::ReadyState {
        if self.plane.gate().is_closed() || self.is_leaving() {
            return ops::ReadyState::Leaving;
        }
        if self.active_config.snapshot().revision() == 0 {
            return ops::ReadyState::Starting;
        }
        ops::ReadyState::Ready
    }

    /// Whether this incarnation of this VM is known to be leaving, from any source.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let seen = self.gossip.snapshot();
        seen.members
            .get(&self.settings.vm)
            .is_some_and(|member| member.leaving)
    }

    /// The organisation whose key the caller sent.
    ///
    /// # Errors
    ///
    /// A refusal when there is no configuration, or when the key is missing or unknown.
    pub fn organisation(
        &self,
        head: &head::CallHead,
        snapshot: &snapshot::ConfigSnapshot,
    ) -> Result<id::OrganisationKey, refusal::RefusalBody> {
        if snapshot.revision() == 0 {
            let message = "this entry VM has no configuration yet; use another, or retry shortly";
            let body = refusal::RefusalBody::not_run(refusal::RefusalCode::NotReady, message);
            return Err(body.retry_after_ms(1_000));
        }
        let key = head
            .api_key
            .as_deref()
            .ok_or_else(|| unauthenticated("there is no API key"))?;
        snapshot
            .organisation_by_api_key(key)
            .ok_or_else(|| unauthenticated("the API key is not known"))
    }

    /// The operator whose key was sent.
    ///
    /// # Errors
    ///
    /// A refusal when the key is missing or unknown.
    pub fn operator(&self, head: &head::CallHead) -> Result<String, refusal::RefusalBody> {
        let key = head
            .api_key
            .as_deref()
            .ok_or_else(|| unauthenticated("there is no operator key"))?;
        let snapshot = self.active_config.snapshot();
        if snapshot.revision() == 0 {
            // The operators' keys come with the first configuration. Anyone who can reach the log
            // can write that configuration, so a refusal here would protect nothing and make the
            // first start impossible.
            return Ok("bootstrap".to_owned());
        }
        snapshot
            .operator_by_key(key)
            .map(str::to_owned)
            .ok_or_else(|| unauthenticated("the operator key is not known"))
    }
}

fn unauthenticated(what: &str) -> refusal::RefusalBody {
    let message = format!("{what}; send `Authorization: Bearer <key>`");
    refusal::RefusalBody::not_run(refusal::RefusalCode::Unauthenticated, message)
}
