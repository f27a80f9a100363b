//! Typed contents of disseminated items.

use std::time;

use base::{fingerprint, id};
use prost::Message as _;
use wire::proto::gossip as proto;

use crate::{claim, in_force, item};

/// Separates the parts of a subject; neither names nor incarnations contain it.
const SEPARATOR: char = '\n';

/// A leaving mark is disseminated for this long after it was created or renewed.
pub const LEAVING_TTL: time::Duration = time::Duration::from_secs(24 * 3600);

/// A configuration state is disseminated for this long after a VM last renewed it.
const STATE_TTL: time::Duration = time::Duration::from_secs(3600);

/// Maximum length of the reason of a quarantine.
const MAX_REASON_BYTES: usize = 200;

/// An incarnation of a VM or a backend server that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeavingSubject {
    /// An entry VM.
    Vm {
        /// Name of the VM or server.
        name: String,
        /// The incarnation that is leaving.
        incarnation: id::Incarnation,
    },
    /// A backend server.
    Server {
        /// Name of the VM or server.
        name: String,
        /// The incarnation that is leaving, as reported by the server.
        incarnation: String,
    },
}

/// Content of an item that is disseminated to every VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemUpdate {
    /// Configuration in force on a VM.
    Configuration(ConfigurationUpdate),
    /// An incarnation accepts no new work; never revoked.
    Leaving(LeavingSubject),
    /// Content was quarantined, or its quarantine was lifted.
    Quarantine(QuarantineUpdate),
}

/// Configuration in force on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationUpdate {
    /// The VM.
    pub vm: String,
    /// Revision in force.
    pub revision: u64,
    /// Offset after the last record applied.
    pub offset: u64,
    /// Hash of the chain of changes that led to the revision.
    pub chain_hash: fingerprint::ContentHash,
}

/// Quarantine of content that crashes backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineUpdate {
    /// Hash of the content.
    pub fingerprint: fingerprint::ContentHash,
    /// Whether the quarantine is lifted.
    pub lifted: bool,
    /// Maximum remaining time for which this applies.
    pub ttl: time::Duration,
    /// Reason for operators; truncated to 200 bytes.
    pub reason: String,
}

impl LeavingSubject {
    /// The incarnation that a claim is about.
    #[must_use]
    pub fn of_vm(claim: &claim::MemberClaim) -> Self {
        Self::Vm {
            name: claim.name.clone(),
            incarnation: claim.version.incarnation.id,
        }
    }

    fn to_subject(&self) -> String {
        let (kind, name, incarnation) = match self {
            Self::Vm { name, incarnation } => ("vm", name, incarnation.to_string()),
            Self::Server { name, incarnation } => ("server", name, incarnation.clone()),
        };
        format!("{kind}{SEPARATOR}{name}{SEPARATOR}{incarnation}")
    }

    fn from_subject(subject: &str) -> Option<Self> {
        let mut parts = subject.splitn(3, SEPARATOR);
        let (kind, name, incarnation) = (parts.next()?, parts.next()?, parts.next()?);
        let name = name.to_owned();
        match kind {
            "vm" => incarnation
                .parse()
                .ok()
                .map(|incarnation| Self::Vm { name, incarnation }),
            "server" => Some(Self::Server {
                name,
                incarnation: incarnation.to_owned(),
            }),
            _ => None,
        }
    }
}

impl ItemUpdate {
    /// Decodes an item; `None` when its subject or body is invalid, or its kind is internal to the
    /// core.
    #[must_use]
    pub fn from_item(item: &item::Item, now: time::Duration) -> Option<Self> {
        let subject = item.key.subject.as_str();
        Some(match item.key.kind {
            item::ItemKind::Link | item::ItemKind::Configuration => return None,
            item::ItemKind::Leaving => Self::Leaving(LeavingSubject::from_subject(subject)?),
            item::ItemKind::Quarantine => {
                let body = proto::QuarantineBody::decode(item.body.as_slice()).ok()?;
                let mut hash = [0; 32];
                hex::decode_to_slice(subject, &mut hash).ok()?;
                let ttl = item
                    .expires_at
                    .map(|expires_at| expires_at.saturating_sub(now));
                Self::Quarantine(QuarantineUpdate {
                    fingerprint: fingerprint::ContentHash(hash),
                    lifted: body.lifted,
                    ttl: ttl.unwrap_or(time::Duration::MAX),
                    reason: body.reason,
                })
            }
        })
    }

    /// Key of the item that carries this content.
    #[must_use]
    pub fn key(&self) -> item::ItemKey {
        let (kind, subject) = match self {
            Self::Configuration(update) => return in_force::StateKey::of(update).item_key(),
            Self::Leaving(subject) => (item::ItemKind::Leaving, subject.to_subject()),
            Self::Quarantine(update) => {
                (item::ItemKind::Quarantine, update.fingerprint.to_string())
            }
        };
        item::ItemKey { kind, subject }
    }

    /// Body of the item that carries this content.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        match self {
            Self::Configuration(update) => proto::ConfigurationBody {
                revision: update.revision,
                offset: update.offset,
                chain_hash: update.chain_hash.0.to_vec(),
            }
            .encode_to_vec(),
            Self::Leaving(_) => Vec::new(),
            Self::Quarantine(update) => proto::QuarantineBody {
                lifted: update.lifted,
                reason: truncate(&update.reason, MAX_REASON_BYTES),
            }
            .encode_to_vec(),
        }
    }

    /// How long the item is disseminated unless it is renewed.
    #[must_use]
    pub const fn ttl(&self) -> time::Duration {
        match self {
            Self::Configuration(_) => STATE_TTL,
            Self::Leaving(_) => LEAVING_TTL,
            Self::Quarantine(update) => update.ttl,
        }
    }
}

/// The longest prefix of `text` that has at most `bytes` bytes.
fn truncate(text: &str, bytes: usize) -> String {
    let end = (0..=bytes.min(text.len()))
        .rev()
        .find(|end| text.is_char_boundary(*end));
    text[..end.unwrap_or(0)].to_owned()
}
