//! Calls to other entry VMs: requests to the VMs that append to the log's partitions, and
//! notifications about streams that continue on another VM.

use std::sync;

use base::{id, outcome};
use ledger::{host, route};
use tokio::time;
use wire::proto::peer;

use crate::members;

/// Name of the extension that carries a [`host::LedgerRequest`].
pub const LEDGER: &str = "ledger";
/// Name of the extension that announces a stream that continues on another VM.
pub const ADOPTED: &str = "adopted";
/// Name of the extension that sends content suspected of crashing backend servers.
pub const SUSPECTS: &str = "suspects";

/// Timeout for delivering a note.
const NOTE_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// The router through which this daemon uses the log.
pub type EntryRouter = route::LedgerRouter<ledger::http::HttpLog, PeerLedger>;

/// Calls other entry VMs by name.
#[derive(Clone, Debug)]
pub struct PeerCaller {
    client: wire::client::PeerClient,
    members: sync::Arc<members::MemberTable>,
}

impl PeerCaller {
    /// Creates a caller that looks up addresses in `members`.
    #[must_use]
    pub const fn new(
        client: wire::client::PeerClient,
        members: sync::Arc<members::MemberTable>,
    ) -> Self {
        Self { client, members }
    }

    /// Calls an extension on a member.
    ///
    /// # Errors
    ///
    /// The error says whether the call may have had an effect.
    pub async fn call_extension(
        &self,
        vm: &str,
        name: &str,
        body: Vec<u8>,
        timeout: time::Duration,
    ) -> Result<Vec<u8>, outcome::RanState> {
        let address = self.members.peer_address(vm).ok_or(outcome::RanState::No)?;
        let request = peer::request::Kind::Extension(peer::Extension {
            name: name.to_owned(),
            body,
        });
        let options = wire::client::CallOptions {
            timeout,
            repeatable: true,
        };
        match self.client.call(address, request, options).await {
            Ok(peer::response::Kind::Extension(body)) => Ok(body),
            Ok(_) => Err(outcome::RanState::Unknown),
            Err(error) => Err(error.ran()),
        }
    }

    /// Fetches a part of a member's configuration, starting at `from_byte` of the encoded state.
    pub async fn configuration(
        &self,
        vm: &str,
        from_byte: u64,
        timeout: time::Duration,
    ) -> Option<peer::ConfigurationAnswer> {
        let address = self.members.peer_address(vm)?;
        let fetch = peer::FetchConfiguration {
            have_revision: 0,
            have_offset: 0,
            from_byte,
        };
        let request = peer::request::Kind::FetchConfiguration(fetch);
        let options = wire::client::CallOptions {
            timeout,
            repeatable: true,
        };
        match self.client.call(address, request, options).await {
            Ok(peer::response::Kind::Configuration(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Sends a note to a member by name without waiting for its delivery.
    pub fn note(&self, vm: &str, name: &'static str, body: Vec<u8>) {
        let (caller, vm) = (self.clone(), vm.to_owned());
        tokio::spawn(async move {
            if caller
                .call_extension(&vm, name, body, NOTE_TIMEOUT)
                .await
                .is_err()
            {
                metrics::counter!("pollenchute_entry_notes_lost_total").increment(1);
            }
        });
    }
}

/// Sends the request plane's notes to other entry VMs.
#[derive(Clone, Debug)]
pub struct PeerNotes(pub PeerCaller);

impl flow::port::PeerLink for PeerNotes {
    fn adopted(&self, vm: &str, generation: id::GenerationId) {
        self.0
            .note(vm, ADOPTED, generation.to_string().into_bytes());
    }
}

/// Transport of ledger requests to the entry VMs that append to the log's partitions.
#[derive(Clone, Debug)]
pub struct PeerLedger(pub PeerCaller);

impl route::LedgerPeers for PeerLedger {
    fn live_vms(&self) -> Vec<String> {
        self.0.members.live_names()
    }

    async fn call(
        &self,
        vm: &str,
        request: &host::LedgerRequest,
        timeout: time::Duration,
    ) -> Result<host::LedgerReply, route::PeerError> {
        let body = serde_json::to_vec(request).map_err(|_| route::PeerError::NotDelivered)?;
        match self.0.call_extension(vm, LEDGER, body, timeout).await {
            Ok(body) => serde_json::from_slice(&body).map_err(|_| route::PeerError::Lost),
            Err(outcome::RanState::No) => Err(route::PeerError::NotDelivered),
            Err(_) => Err(route::PeerError::Lost),
        }
    }
}
