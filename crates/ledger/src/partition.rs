//! Which stream of the log holds what.

use base::{id, rendezvous};
use xxhash_rust::xxh3;

/// One of a fixed number of streams that share the records of one kind.
///
/// The number of partitions is part of the log's layout: two processes with different numbers
/// would look for the same key in different streams and both run it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Deserialize,
    serde::Serialize
)]
pub struct PartitionIndex(pub u16);

/// Partitions of the streams for idempotency claims.
pub const CLAIM_PARTITIONS: u16 = 4;

/// Partitions of the streams for deferrable work.
pub const JOB_PARTITIONS: u16 = 4;

/// The partition of an organisation's idempotency key.
#[must_use]
pub fn of_key(organisation: &str, key: &str) -> PartitionIndex {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&(organisation.len() as u64).to_le_bytes());
    hasher.update(organisation.as_bytes());
    hasher.update(key.as_bytes());
    PartitionIndex(remainder(hasher.digest(), CLAIM_PARTITIONS))
}

/// The partition of a request that may wait; its id alone tells it, so any entry VM finds it.
#[must_use]
pub fn of_request(request: id::RequestId) -> PartitionIndex {
    let digest = xxh3::xxh3_64(&request.0.to_le_bytes());
    PartitionIndex(remainder(digest, JOB_PARTITIONS))
}

/// The stream that holds a partition's claims.
#[must_use]
pub fn claim_stream(partition: PartitionIndex) -> String {
    format!("calls-{}", partition.0)
}

/// The stream that holds a partition's deferrable work.
#[must_use]
pub fn job_stream(partition: PartitionIndex) -> String {
    format!("jobs-{}", partition.0)
}

/// The `count` live entry VMs through which a stream is appended, best first.
///
/// A hint that keeps appends few. Two entry VMs that disagree both append, which is harmless: the
/// log's order decides.
pub fn appenders<'a, I>(stream: &str, live: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    rendezvous::highest(stream, live, count)
}

fn remainder(digest: u64, count: u16) -> u16 {
    u16::try_from(digest % u64::from(count)).unwrap_or_default()
}
