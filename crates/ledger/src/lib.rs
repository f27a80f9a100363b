//! Records on the platform log: client, group commit, idempotency claims and deferrable work.
//!
//! The log's order is the only authority. Everything that decides is a pure fold over the records
//! of one stream; the drivers around the folds append, read and wait, and may be replaced at any
//! moment without loss.

pub mod appender;
pub mod claim_calls;
pub mod claim_fold;
pub mod claim_store;
pub mod claims;
pub mod client;
pub mod driver;
pub mod host;
pub mod http;
pub mod job_calls;
pub mod job_fold;
pub mod job_memory;
pub mod job_store;
pub mod jobs;
pub mod memory;
pub mod partition;
pub mod parts;
pub mod permit;
pub mod record;
pub mod route;
pub mod seek;
pub mod signal;
pub mod tail;
