//! Records on the platform log: client, group commit, idempotency claims and deferrable work.
//!
//! The log's order is the only authority. Everything that decides is a pure fold over the records
//! of one stream; the drivers around the folds append, read and wait, and may be replaced at any
//! moment without loss.

pub mod client;
pub mod http;
pub mod memory;
pub mod partition;
pub mod tail;
