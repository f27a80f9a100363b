//! Maps keys and requests to partitions, and partitions to streams of the log.

use base::{id, rendezvous};
use xxhash_rust::xxh3;

/// Index of a partition: one of a fixed number of streams that share the records of one kind.
///
/// The number of partitions is part of the log's layout: two processes with different numbers would
/// look up the same key in different streams, and both would run its call.
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

/// Number of partitions for idempotency claims.
pub const CLAIM_PARTITIONS: u16 = 4;

/// Number of partitions for deferrable jobs.
pub const JOB_PARTITIONS: u16 = 4;

/// Returns the partition of an organisation's idempotency key.
#[must_use]
pub fn of_key(organisation: &str, key: &str) -> PartitionIndex {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&(organisation.len() as u64).to_le_bytes());
    hasher.update(organisation.as_bytes());
    hasher.update(key.as_bytes());
    PartitionIndex(remainder(hasher.digest(), CLAIM_PARTITIONS))
}

/// Returns the partition of a deferrable request. It depends on the request's id alone, so any
/// entry VM can determine it.
#[must_use]
pub fn of_request(request: id::RequestId) -> PartitionIndex {
    let digest = xxh3::xxh3_64(&request.0.to_le_bytes());
    PartitionIndex(remainder(digest, JOB_PARTITIONS))
}

/// Returns the name of the stream that holds a partition's claims.
#[must_use]
pub fn claim_stream(partition: PartitionIndex) -> String {
    format!("calls-{}", partition.0)
}

/// Returns the name of the stream that holds a partition's deferrable jobs.
#[must_use]
pub fn job_stream(partition: PartitionIndex) -> String {
    format!("jobs-{}", partition.0)
}

/// Returns the `count` live entry VMs that should append to a stream, in order of rank.
///
/// The ranking only serves to reduce the number of appends. If two entry VMs disagree on it, both
/// append, which is harmless because the log's order decides.
pub fn appenders<'a, I>(stream: &str, live: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    rendezvous::highest(stream, live, count)
}

fn remainder(digest: u64, count: u16) -> u16 {
    u16::try_from(digest % u64::from(count)).unwrap_or_default()
}
