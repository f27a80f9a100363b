//! In-memory stores of claims and jobs, for tests and for a plane without a log.

use std::{collections, sync, time::Duration};

use base::{id, refusal};
use tokio::{sync::Notify, time};

use crate::{memory::locked, port};

/// State of one idempotency key.
#[derive(Clone, Debug)]
struct ClaimEntry {
    hold: port::ClaimHold,
    end: Option<port::ClaimEnd>,
}

/// Claim store of one process.
#[derive(Debug, Default)]
pub struct MemoryClaims {
    entries: sync::Mutex<collections::BTreeMap<(String, String), ClaimEntry>>,
}

/// Retry delay given while a call with the same key is running.
const IN_PROGRESS_RETRY_MS: u64 = 500;

impl port::ClaimStore for MemoryClaims {
    async fn claim(&self, claim: port::ClaimRequest) -> port::ClaimAnswer {
        let now = time::Instant::now();
        let mut entries = locked(&self.entries);
        let key = (claim.organisation.clone(), claim.key.clone());
        if let Some(entry) = entries.get(&key) {
            if entry.hold.claim.content != claim.content {
                return port::ClaimAnswer::Mismatch;
            }
            match &entry.end {
                Some(port::ClaimEnd::Answered(answer)) => {
                    return port::ClaimAnswer::Stored(answer.clone());
                }
                Some(port::ClaimEnd::Unknown) => return port::ClaimAnswer::Unknown,
                None if now < entry.hold.deadline => {
                    return port::ClaimAnswer::InProgress {
                        retry_after_ms: IN_PROGRESS_RETRY_MS,
                    };
                }
                None => return port::ClaimAnswer::Unknown,
                Some(port::ClaimEnd::NotRun) => {}
            }
        }
        let hold = port::ClaimHold {
            record: id::RecordId(claim.request.0),
            deadline: now + claim.holds_for,
            claim,
        };
        let entry = ClaimEntry {
            hold: hold.clone(),
            end: None,
        };
        entries.insert(key, entry);
        port::ClaimAnswer::Fresh(hold)
    }

    async fn store(
        &self,
        hold: port::ClaimHold,
        end: port::ClaimEnd,
    ) -> Result<(), refusal::RefusalBody> {
        let key = (hold.claim.organisation.clone(), hold.claim.key.clone());
        if let Some(entry) = locked(&self.entries).get_mut(&key)
            && entry.hold.record == hold.record
            && entry.end.is_none()
        {
            entry.end = Some(end);
        }
        Ok(())
    }

    fn seen(&self, organisation: &str, key: &str) -> bool {
        let key = (organisation.to_owned(), key.to_owned());
        locked(&self.entries).contains_key(&key)
    }
}

/// Duration of a job's lease.
const LEASE_DURATION: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct JobEntry {
    job: port::JobRecord,
    leased_until: Option<time::Instant>,
    /// Number of the current lease; a lease with a lower number is outdated.
    lease: u128,
    result: Option<port::JobResult>,
}

/// Job store of one process.
#[derive(Debug, Default)]
pub struct MemoryJobs {
    entries: sync::Mutex<collections::BTreeMap<id::RequestId, JobEntry>>,
    accepted: Notify,
}

impl MemoryJobs {
    fn lease_one(&self) -> Option<port::JobLease> {
        let now = time::Instant::now();
        let mut entries = locked(&self.entries);
        let entry = entries.values_mut().find(|entry| {
            entry.result.is_none() && entry.leased_until.is_none_or(|until| until <= now)
        })?;
        entry.lease += 1;
        entry.leased_until = Some(now + LEASE_DURATION);
        Some(port::JobLease {
            record: id::RecordId(entry.lease),
            job: entry.job.clone(),
            deadline: now + LEASE_DURATION,
        })
    }

    fn with_entry<R>(
        &self,
        lease: &port::JobLease,
        change: impl FnOnce(&mut JobEntry) -> R,
    ) -> Option<R> {
        let mut entries = locked(&self.entries);
        let entry = entries.get_mut(&lease.job.request)?;
        Some(change(entry))
    }
}

impl port::JobStore for MemoryJobs {
    async fn accept(&self, job: port::JobRecord) -> port::AcceptAnswer {
        let entry = JobEntry {
            job,
            leased_until: None,
            lease: 0,
            result: None,
        };
        locked(&self.entries).insert(entry.job.request, entry);
        self.accepted.notify_one();
        port::AcceptAnswer::Accepted
    }

    async fn fetch(&self, request: id::RequestId) -> port::JobState {
        match locked(&self.entries).get(&request) {
            None => port::JobState::Absent,
            Some(entry) => match &entry.result {
                None => port::JobState::Waiting(entry.job.organisation.clone()),
                Some(result) => {
                    port::JobState::Done(entry.job.organisation.clone(), result.clone())
                }
            },
        }
    }

    async fn take(&self) -> port::JobLease {
        loop {
            if let Some(lease) = self.lease_one() {
                return lease;
            }
            // A lease may expire without a new job being accepted.
            let _ = time::timeout(LEASE_DURATION / 10, self.accepted.notified()).await;
        }
    }

    async fn renew(&self, lease: &port::JobLease) -> Option<port::JobLease> {
        let now = time::Instant::now();
        self.with_entry(lease, |entry| {
            let held = id::RecordId(entry.lease) == lease.record && entry.result.is_none();
            held.then(|| {
                entry.leased_until = Some(now + LEASE_DURATION);
                port::JobLease {
                    deadline: now + LEASE_DURATION,
                    ..lease.clone()
                }
            })
        })
        .flatten()
    }

    async fn release(&self, lease: &port::JobLease) {
        self.with_entry(lease, |entry| {
            if id::RecordId(entry.lease) == lease.record {
                entry.leased_until = None;
            }
        });
        self.accepted.notify_one();
    }

    async fn store(
        &self,
        lease: &port::JobLease,
        result: port::JobResult,
    ) -> Result<port::StoredResult, refusal::RefusalBody> {
        let stored = self.with_entry(lease, |entry| {
            if entry.result.is_some() {
                return port::StoredResult::Superseded;
            }
            entry.result = Some(result);
            port::StoredResult::Stored
        });
        Ok(stored.unwrap_or(port::StoredResult::Superseded))
    }
}
