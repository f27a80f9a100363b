//! One event of one process.

use base::id;

use crate::{clock, kind};

/// One event, as it leaves its process.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Event {
    /// When; unique and growing within one incarnation.
    pub stamp: clock::HybridStamp,
    /// The entry VM that recorded it.
    pub vm: String,
    /// The life of its process.
    pub incarnation: id::Incarnation,
    /// Number within the incarnation, from 0, without gaps where it was recorded.
    pub seq: u64,
    /// The request that it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::RequestId>,
    /// What happened.
    #[serde(flatten)]
    pub kind: kind::EventKind,
}
