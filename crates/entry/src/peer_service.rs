//! Serves the calls of other entry VMs.

use std::sync;

use ledger::host;
use wire::{identity, proto::peer, server};

use crate::{adapt::peers, configure, follow, ports};

/// Answers calls of other entry VMs.
pub struct EntryPeerService {
    /// The log's partitions.
    pub host: sync::Arc<host::LedgerHost<ledger::http::HttpLog>>,
    /// The configuration in force.
    pub active_config: sync::Arc<configure::ActiveConfig>,
    /// The request plane.
    pub plane: sync::Arc<flow::plane::RequestPlane<ports::EntryPorts>>,
}

impl std::fmt::Debug for EntryPeerService {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EntryPeerService")
            .finish_non_exhaustive()
    }
}

fn failure(kind: peer::FailureKind, message: impl Into<String>) -> server::CallFailure {
    server::CallFailure {
        kind,
        message: message.into(),
    }
}

fn malformed(error: impl std::fmt::Display) -> server::CallFailure {
    let message = format!(
        "the body cannot be parsed ({error}); check that all entry VMs run compatible releases"
    );
    failure(peer::FailureKind::Refused, message)
}

impl EntryPeerService {
    async fn ledger(&self, body: &[u8]) -> Result<Vec<u8>, server::CallFailure> {
        let request: host::LedgerRequest = serde_json::from_slice(body).map_err(malformed)?;
        let reply = self.host.handle(request).await;
        serde_json::to_vec(&reply)
            .map_err(|error| failure(peer::FailureKind::Unknown, error.to_string()))
    }

    /// Returns a part of the encoded state in force.
    fn configuration(
        &self,
        from_byte: u64,
    ) -> Result<peer::ConfigurationAnswer, server::CallFailure> {
        let transfer = if from_byte == 0 {
            self.active_config.renewed_transfer()
        } else {
            self.active_config.transfer()
        };
        let Some(transfer) = transfer else {
            let message = "no configuration is in force here; ask another entry VM";
            return Err(failure(peer::FailureKind::Refused, message));
        };
        let bytes = serde_json::to_vec(&*transfer)
            .map_err(|error| failure(peer::FailureKind::Refused, error.to_string()))?;
        let start = usize::try_from(from_byte)
            .unwrap_or(usize::MAX)
            .min(bytes.len());
        let end = bytes.len().min(start + follow::PART_BYTES);
        let part = peer::StatePart {
            total_bytes: bytes.len() as u64,
            from_byte,
            part: bytes[start..end].to_vec(),
        };
        Ok(peer::ConfigurationAnswer {
            revision: transfer.offer.revision,
            offset: transfer.offer.offset,
            kind: Some(peer::configuration_answer::Kind::State(part)),
        })
    }

    fn adopted(&self, body: &[u8]) -> Result<Vec<u8>, server::CallFailure> {
        let text = std::str::from_utf8(body).map_err(malformed)?;
        self.plane
            .adopted_elsewhere(text.parse().map_err(malformed)?);
        Ok(Vec::new())
    }

    fn suspects(&self, body: &[u8]) -> Result<Vec<u8>, server::CallFailure> {
        let digest = serde_json::from_slice(body).map_err(malformed)?;
        self.plane.suspects().merge(digest);
        Ok(Vec::new())
    }
}

impl server::PeerService for EntryPeerService {
    async fn handle(
        &self,
        _caller: &identity::ProcessIdentity,
        request: peer::request::Kind,
    ) -> Result<peer::response::Kind, server::CallFailure> {
        let extension = match request {
            peer::request::Kind::Extension(extension) => extension,
            peer::request::Kind::FetchConfiguration(fetch) => {
                return self
                    .configuration(fetch.from_byte)
                    .map(peer::response::Kind::Configuration);
            }
            peer::request::Kind::ForwardAppend(_) => {
                let message = "entries are forwarded by the extension \"ledger\"";
                return Err(failure(peer::FailureKind::Unsupported, message));
            }
        };
        let body = match extension.name.as_str() {
            peers::LEDGER => self.ledger(&extension.body).await?,
            peers::ADOPTED => self.adopted(&extension.body)?,
            peers::SUSPECTS => self.suspects(&extension.body)?,
            name => {
                let message = format!(
                    "there is no extension \"{name}\"; check that all entry VMs run compatible releases"
                );
                return Err(failure(peer::FailureKind::Unsupported, message));
            }
        };
        Ok(peer::response::Kind::Extension(body))
    }
}
