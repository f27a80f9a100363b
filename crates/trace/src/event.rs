//! One event of one process.

use base::id;

use crate::{clock, kind};

/// One recorded event, in the form in which it is serialised.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Event {
    /// Timestamp; unique and strictly increasing within one incarnation.
    pub stamp: clock::HybridStamp,
    /// The entry VM that recorded it.
    pub vm: String,
    /// Incarnation of the process that recorded it.
    pub incarnation: id::Incarnation,
    /// Sequence number within the incarnation, from 0, contiguous at the recording process.
    pub seq: u64,
    /// The request that the event concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<id::RequestId>,
    /// Kind of the event, with its fields.
    #[serde(flatten)]
    pub kind: kind::EventKind,
}
