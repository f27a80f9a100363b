//! Records on the platform log: client, group commit, idempotency claims and deferrable jobs.
//!
//! The order of records on the log is the only authority. Every decision is made by a pure fold
//! over the records of one stream. The drivers around the folds append, read and wait, and can be
//! replaced at any moment without loss.

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
pub mod job_store;
pub mod job_tombstones;
pub mod jobs;
pub mod memory;
pub mod partition;
pub mod parts;
pub mod permit;
mod recent;
pub mod record;
pub mod route;
pub mod seek;
pub mod signal;
pub mod tail;
