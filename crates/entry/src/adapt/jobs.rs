//! Deferrable jobs of the request plane, stored on the log.

use std::{collections, sync, time::Duration};

use base::{id, refusal};
use flow::port;
use ledger::{job_calls, jobs, partition, permit};
use tokio::time;

use crate::{adapt::peers, configure};

/// Interval between two rounds over the partitions when no job was found.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Retry delay for a job that the log could not record.
const LOG_DOWN_RETRY_MS: u64 = 2_000;

/// Deferrable jobs on the log, with the tickets of those that this process runs.
pub struct LogJobs {
    router: peers::EntryRouter,
    active_config: sync::Arc<configure::ActiveConfig>,
    /// One ticket for each lease that is held.
    tickets: sync::Mutex<collections::HashMap<id::RecordId, permit::JobTicket>>,
    /// Partition at which the next round starts.
    next: sync::atomic::AtomicU16,
}

impl std::fmt::Debug for LogJobs {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("LogJobs").finish_non_exhaustive()
    }
}

impl LogJobs {
    /// Creates a store that reaches jobs through `router`; `active_config` holds the retention of
    /// results.
    #[must_use]
    pub fn new(
        router: peers::EntryRouter,
        active_config: sync::Arc<configure::ActiveConfig>,
    ) -> Self {
        Self {
            router,
            active_config,
            tickets: sync::Mutex::default(),
            next: sync::atomic::AtomicU16::new(0),
        }
    }

    fn tickets(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<id::RecordId, permit::JobTicket>> {
        self.tickets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Tries to take a job in one round over all partitions.
    async fn take_round(&self) -> Option<port::JobLease> {
        let start = self.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
        for step in 0..partition::JOB_PARTITIONS {
            let index = start.wrapping_add(step) % partition::JOB_PARTITIONS;
            let taken = self
                .router
                .take_next(partition::PartitionIndex(index))
                .await;
            let Some(ticket) = taken else { continue };
            let Ok(job) = serde_json::from_slice::<port::JobRecord>(&ticket.grant.body) else {
                // Written by a version that this one cannot read; another VM may be able to.
                metrics::counter!("pollenchute_entry_jobs_unread_total").increment(1);
                self.router.release(ticket).await;
                continue;
            };
            let lease = port::JobLease {
                record: ticket.grant.claim,
                job,
                deadline: ticket.deadline(),
            };
            self.tickets().insert(lease.record, ticket);
            return Some(lease);
        }
        None
    }
}

impl port::JobStore for LogJobs {
    async fn accept(&self, job: port::JobRecord) -> port::AcceptAnswer {
        let kept_ms = self
            .active_config
            .snapshot()
            .rules()
            .time_limits
            .result_kept_ms;
        let Ok(body) = serde_json::to_vec(&job) else {
            return port::AcceptAnswer::Refused(log_down());
        };
        let accepted = self
            .router
            .accept(job.request, &job.organisation, kept_ms, body.into())
            .await;
        match accepted {
            job_calls::AcceptReply::Accepted => port::AcceptAnswer::Accepted,
            job_calls::AcceptReply::NotAccepted(refused) => {
                port::AcceptAnswer::Refused(refusal(refused))
            }
            job_calls::AcceptReply::Unknown => port::AcceptAnswer::Unknown,
        }
    }

    async fn fetch(&self, request: id::RequestId) -> port::JobState {
        match self.router.fetch(request).await {
            job_calls::FetchReply::Found(found) => job_state(found),
            job_calls::FetchReply::NotFound => port::JobState::Absent,
            job_calls::FetchReply::Unavailable => port::JobState::Unreadable(log_down()),
        }
    }

    async fn take(&self) -> port::JobLease {
        loop {
            if let Some(lease) = self.take_round().await {
                return lease;
            }
            time::sleep(ROUND_INTERVAL).await;
        }
    }

    async fn renew(&self, lease: &port::JobLease) -> Option<port::JobLease> {
        let mut ticket = self.tickets().get(&lease.record).cloned()?;
        let state = self.router.renew(&mut ticket).await;
        if state == job_calls::RenewState::Superseded {
            self.tickets().remove(&lease.record);
            return None;
        }
        let renewed = port::JobLease {
            deadline: ticket.deadline(),
            ..lease.clone()
        };
        self.tickets().insert(lease.record, ticket);
        Some(renewed)
    }

    async fn release(&self, lease: &port::JobLease) {
        let ticket = self.tickets().remove(&lease.record);
        if let Some(ticket) = ticket {
            self.router.release(ticket).await;
        }
    }

    async fn store(
        &self,
        lease: &port::JobLease,
        result: port::JobResult,
    ) -> Result<port::StoredResult, refusal::RefusalBody> {
        let ticket = self.tickets().get(&lease.record).cloned();
        let (Some(ticket), Ok(body)) = (ticket, serde_json::to_vec(&result)) else {
            return Ok(port::StoredResult::Superseded);
        };
        let stored = match self.router.finish(&ticket, body.into()).await {
            job_calls::FinishReply::Kept => port::StoredResult::Stored,
            job_calls::FinishReply::Superseded => port::StoredResult::Superseded,
            job_calls::FinishReply::NotRecorded => return Err(log_down()),
        };
        self.tickets().remove(&lease.record);
        Ok(stored)
    }
}

fn job_state(found: job_calls::FoundJob) -> port::JobState {
    match found.view {
        jobs::JobView::Waiting | jobs::JobView::Running => {
            port::JobState::Waiting(found.organisation)
        }
        jobs::JobView::Finished(result) => match serde_json::from_slice(&result.bytes) {
            Ok(result) => port::JobState::Done(found.organisation, result),
            Err(_) => port::JobState::Unreadable(log_down()),
        },
    }
}

fn log_down() -> refusal::RefusalBody {
    let message = "the log does not answer now; retry after the given time";
    refusal::RefusalBody::not_run(refusal::RefusalCode::Unavailable, message)
        .retry_after_ms(LOG_DOWN_RETRY_MS)
}

fn refusal(refused: job_calls::AcceptRefusal) -> refusal::RefusalBody {
    match refused {
        job_calls::AcceptRefusal::Full => refusal::RefusalBody::not_run(
            refusal::RefusalCode::Overloaded,
            "too many accepted jobs are waiting; retry after the given time",
        )
        .retry_after_ms(LOG_DOWN_RETRY_MS),
        job_calls::AcceptRefusal::NotAppended(_) => log_down(),
    }
}
