//! Routes claims and deferrable jobs of the request plane to the entry VMs of their partitions.

use std::sync;

use base::{id, outcome};
use rand::SeedableRng as _;
use tokio::{runtime, sync as tokio_sync, time};

use crate::client::LogClient;
use crate::{appender, claim_calls, claims, host, job_calls, jobs, partition, permit};

/// Client interface to the other entry VMs.
pub trait LedgerPeers: Clone + Send + Sync + 'static {
    /// Returns the names of the live entry VMs, including this one, according to membership.
    fn live_vms(&self) -> Vec<String>;

    /// Sends a request to another entry VM and waits at most `limit` for the reply.
    fn call(
        &self,
        vm: &str,
        request: &host::LedgerRequest,
        limit: time::Duration,
    ) -> impl Future<Output = Result<host::LedgerReply, PeerError>> + Send;
}

/// The reason why another entry VM gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The request did not reach the VM.
    NotDelivered,
    /// The request may have taken effect.
    Lost,
}

/// Settings of a [`LedgerRouter`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSettings {
    /// Timeout of one request to one entry VM.
    pub attempt_timeout: time::Duration,
    /// Time for which the report of a claim's end or of a result is retried until it is recorded.
    pub report_timeout: time::Duration,
    /// Interval between two attempts to report.
    pub report_interval: time::Duration,
    /// Maximum number of claims that are being withdrawn in the background.
    pub max_withdrawals: usize,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            attempt_timeout: time::Duration::from_millis(1_500),
            report_timeout: time::Duration::from_secs(120),
            report_interval: time::Duration::from_millis(500),
            max_withdrawals: 1_024,
        }
    }
}

/// Routes claims and deferrable jobs to the entry VMs that append to their partitions.
pub struct LedgerRouter<C, P> {
    host: sync::Arc<host::LedgerHost<C>>,
    peers: P,
    settings: RouteSettings,
    rng: sync::Arc<sync::Mutex<rand_chacha::ChaCha20Rng>>,
    withdrawals: sync::Arc<tokio_sync::Semaphore>,
}

impl<C, P: Clone> Clone for LedgerRouter<C, P> {
    fn clone(&self) -> Self {
        Self {
            host: sync::Arc::clone(&self.host),
            peers: self.peers.clone(),
            settings: self.settings.clone(),
            rng: sync::Arc::clone(&self.rng),
            withdrawals: sync::Arc::clone(&self.withdrawals),
        }
    }
}

/// Result of sending a request to the entry VMs of its stream.
struct RequestResult {
    reply: Option<host::LedgerReply>,
    /// Whether the request may have taken effect at an entry VM whose reply was lost.
    lost: bool,
}

/// Maximum number of ranked entry VMs to try before this VM executes the request itself.
const MAX_PEER_ATTEMPTS: usize = 2;

impl<C: LogClient, P: LedgerPeers> LedgerRouter<C, P> {
    /// Creates a router that generates its ids from `seed`. No other process and no earlier
    /// incarnation of this one may have used the same seed.
    pub fn new(
        host: sync::Arc<host::LedgerHost<C>>,
        peers: P,
        settings: RouteSettings,
        seed: [u8; 32],
    ) -> Self {
        let rng = rand_chacha::ChaCha20Rng::from_seed(seed);
        let withdrawals = tokio_sync::Semaphore::new(settings.max_withdrawals);
        Self {
            host,
            peers,
            settings,
            rng: sync::Arc::new(sync::Mutex::new(rng)),
            withdrawals: sync::Arc::new(withdrawals),
        }
    }

    /// Claims a key for a call that this process is about to send.
    pub async fn claim(&self, call: permit::ClaimCall) -> permit::ClaimAnswer {
        let limits = &self.host.settings().claims.limits;
        let deadline = time::Instant::now() + time::Duration::from_millis(limits.hold_ms);
        let permit = permit::SendPermit {
            claim: self.new_id(),
            organisation: call.organisation.clone(),
            key: call.key.clone(),
            deadline,
        };
        let request = host::LedgerRequest::Claim(claim_calls::ClaimRequest {
            claim: permit.claim,
            organisation: call.organisation,
            key: call.key,
            content: call.content,
            holder: self.host.vm().to_owned(),
            wait_ms: self.attempt_timeout_ms(),
        });
        let mut guard = WithdrawGuard {
            router: self,
            permit: Some(permit),
        };
        let result = self.send_request(&request, Some(deadline)).await;
        let Some(permit) = guard.permit.take() else {
            return refused(None);
        };
        self.claim_answer(permit, result)
    }

    fn claim_answer(
        &self,
        permit: permit::SendPermit,
        result: RequestResult,
    ) -> permit::ClaimAnswer {
        let held = host::LedgerReply::Claim(claim_calls::ClaimReply::Held);
        let is_held = result.reply.as_ref() == Some(&held);
        if is_held && permit.may_send(time::Instant::now()) {
            return permit::ClaimAnswer::Granted(permit);
        }
        if is_held || result.lost {
            self.withdraw(permit);
        }
        let Some(host::LedgerReply::Claim(reply)) = result.reply else {
            return refused(None);
        };
        match reply {
            claim_calls::ClaimReply::Held => refused(Some(claim_calls::RefusalCause::Unsettled)),
            claim_calls::ClaimReply::Stored(outcome) => permit::ClaimAnswer::Stored(outcome),
            claim_calls::ClaimReply::InProgress => permit::ClaimAnswer::InProgress,
            claim_calls::ClaimReply::Unknown => permit::ClaimAnswer::Unknown,
            claim_calls::ClaimReply::OtherContent => permit::ClaimAnswer::OtherContent,
            claim_calls::ClaimReply::Refused(refusal) => refused(Some(refusal.cause)),
        }
    }

    /// Records the outcome of a permitted call, with retries until it is recorded or
    /// `report_timeout` has passed. The answer to the caller need not wait for this.
    ///
    /// `NotRun` is only for a call that *provably* did not run or was never sent.
    pub async fn settle(
        &self,
        permit: permit::SendPermit,
        outcome: claims::SettledOutcome,
    ) -> claim_calls::RecordReply {
        let request = host::LedgerRequest::Settle(claim_calls::SettleRequest {
            entry: self.new_id(),
            item: claims::SettleItem {
                claim: permit.claim,
                organisation: permit.organisation,
                key: permit.key,
                outcome,
            },
            wait_ms: self.attempt_timeout_ms(),
        });
        self.report_until_recorded(&request).await
    }

    /// Settles a claim that this process will never use as not run, so that the outcome of its key
    /// does not stay unknown. Taking the permit by value ensures that the call can no longer be
    /// sent.
    fn withdraw(&self, permit: permit::SendPermit) {
        let Ok(slot) = sync::Arc::clone(&self.withdrawals).try_acquire_owned() else {
            metrics::counter!("pollenchute_ledger_withdrawals_dropped_total").increment(1);
            return;
        };
        let Ok(runtime) = runtime::Handle::try_current() else {
            return;
        };
        let router = self.clone();
        runtime.spawn(async move {
            router.settle(permit, claims::SettledOutcome::NotRun).await;
            drop(slot);
        });
    }

    /// Accepts a deferrable job.
    pub async fn accept(
        &self,
        job: id::RequestId,
        organisation: &str,
        kept_ms: u64,
        body: bytes::Bytes,
    ) -> job_calls::AcceptReply {
        let request = host::LedgerRequest::Accept(job_calls::AcceptRequest {
            entry: self.new_id(),
            job,
            organisation: organisation.to_owned(),
            kept_ms,
            body,
            wait_ms: self.attempt_timeout_ms(),
        });
        let result = self.send_request(&request, None).await;
        match result.reply {
            Some(host::LedgerReply::Accept(job_calls::AcceptReply::NotAccepted(refusal)))
                if !result.lost =>
            {
                job_calls::AcceptReply::NotAccepted(refusal)
            }
            Some(host::LedgerReply::Accept(job_calls::AcceptReply::Accepted)) => {
                job_calls::AcceptReply::Accepted
            }
            None if !result.lost => {
                let cause = appender::NotAppended::Down;
                job_calls::AcceptReply::NotAccepted(job_calls::AcceptRefusal::NotAppended(cause))
            }
            _ => job_calls::AcceptReply::Unknown,
        }
    }

    /// Takes a job from a partition; `None` if no job can be taken now.
    pub async fn take_next(
        &self,
        partition: partition::PartitionIndex,
    ) -> Option<permit::JobTicket> {
        let requested_at = time::Instant::now();
        let request = host::LedgerRequest::Take(host::PartitionTake {
            partition,
            request: job_calls::TakeRequest {
                claim: self.new_id(),
                holder: self.host.vm().to_owned(),
                wait_ms: self.attempt_timeout_ms(),
            },
        });
        let result = self.send_request(&request, None).await;
        let Some(host::LedgerReply::Take(job_calls::TakeReply::Taken(grant))) = result.reply else {
            return None;
        };
        let deadline = requested_at + time::Duration::from_millis(grant.hold_ms);
        Some(permit::JobTicket { grant, deadline })
    }

    /// Renews the claim on a job. If the renewal is not confirmed, the ticket keeps its deadline.
    /// `Superseded` means that another VM holds the job now: the caller must stop and discard its
    /// work.
    pub async fn renew(&self, ticket: &mut permit::JobTicket) -> job_calls::RenewState {
        let requested_at = time::Instant::now();
        let entry = job_calls::RenewEntry {
            entry: self.new_id(),
            item: holder_item(ticket),
        };
        let request = host::LedgerRequest::Renew(host::PartitionRenew {
            partition: partition::of_request(ticket.grant.job),
            request: job_calls::RenewRequest {
                entries: vec![entry],
                wait_ms: self.attempt_timeout_ms(),
            },
        });
        let result = self.send_request(&request, Some(ticket.deadline)).await;
        let state = match result.reply {
            Some(host::LedgerReply::Renew(states)) => states.first().copied(),
            _ => None,
        };
        let state = state.unwrap_or(job_calls::RenewState::Unsettled);
        if state == job_calls::RenewState::Renewed {
            let hold = time::Duration::from_millis(ticket.grant.hold_ms);
            ticket.deadline = ticket.deadline.max(requested_at + hold);
        }
        state
    }

    /// Releases a job, for instance when this process is leaving.
    pub async fn release(&self, ticket: permit::JobTicket) -> claim_calls::RecordReply {
        let request = host::LedgerRequest::Release(host::ReleaseRequest {
            renewal: job_calls::RenewEntry {
                entry: self.new_id(),
                item: holder_item(&ticket),
            },
            wait_ms: self.attempt_timeout_ms(),
        });
        self.report_until_recorded(&request).await
    }

    /// Records a result, with retries until the log has decided or `report_timeout` has passed.
    pub async fn finish(
        &self,
        ticket: &permit::JobTicket,
        result: bytes::Bytes,
    ) -> job_calls::FinishReply {
        let request = host::LedgerRequest::Finish(job_calls::FinishRequest {
            entry: self.new_id(),
            job: ticket.grant.job,
            claim: ticket.grant.claim,
            result,
            wait_ms: self.attempt_timeout_ms(),
        });
        let until = time::Instant::now() + self.settings.report_timeout;
        loop {
            match self.send_request(&request, Some(until)).await.reply {
                Some(host::LedgerReply::Finish(job_calls::FinishReply::NotRecorded)) | None => {}
                Some(host::LedgerReply::Finish(reply)) => return reply,
                Some(_) => return job_calls::FinishReply::NotRecorded,
            }
            if time::Instant::now() + self.settings.report_interval >= until {
                return job_calls::FinishReply::NotRecorded;
            }
            time::sleep(self.settings.report_interval).await;
        }
    }

    /// Fetches the state of a job.
    pub async fn fetch(&self, job: id::RequestId) -> job_calls::FetchReply {
        let request = host::LedgerRequest::Fetch(host::FetchRequest {
            job,
            wait_ms: self.attempt_timeout_ms(),
        });
        match self.send_request(&request, None).await.reply {
            Some(host::LedgerReply::Fetch(reply)) => reply,
            _ => job_calls::FetchReply::Unavailable,
        }
    }

    async fn report_until_recorded(
        &self,
        request: &host::LedgerRequest,
    ) -> claim_calls::RecordReply {
        let until = time::Instant::now() + self.settings.report_timeout;
        let recorded = host::LedgerReply::Recorded(claim_calls::RecordReply::Recorded);
        loop {
            if self.send_request(request, Some(until)).await.reply.as_ref() == Some(&recorded) {
                return claim_calls::RecordReply::Recorded;
            }
            if time::Instant::now() + self.settings.report_interval >= until {
                return claim_calls::RecordReply::NotRecorded;
            }
            time::sleep(self.settings.report_interval).await;
        }
    }

    /// Sends the request in turn to the entry VMs that rank for its stream, and finally executes it
    /// here, until a VM replies that could use the log. The request may then have been executed
    /// twice, which its ids make harmless.
    async fn send_request(
        &self,
        request: &host::LedgerRequest,
        deadline: Option<time::Instant>,
    ) -> RequestResult {
        let mut result = RequestResult {
            reply: None,
            lost: false,
        };
        for vm in self.targets(request) {
            let now = time::Instant::now();
            let left = deadline.map_or(self.settings.attempt_timeout, |until| {
                self.settings
                    .attempt_timeout
                    .min(until.saturating_duration_since(now))
            });
            if left.is_zero() {
                break;
            }
            match self.send_to(&vm, request, left).await {
                Ok(reply) => {
                    let usable = reply.could_use_log();
                    result.lost |= reply.may_have_taken_effect();
                    result.reply = Some(reply);
                    if usable {
                        break;
                    }
                }
                Err(PeerError::NotDelivered) => {}
                Err(PeerError::Lost) => result.lost = true,
            }
        }
        result
    }

    async fn send_to(
        &self,
        vm: &str,
        request: &host::LedgerRequest,
        limit: time::Duration,
    ) -> Result<host::LedgerReply, PeerError> {
        if vm != self.host.vm() {
            return self.peers.call(vm, request, limit).await;
        }
        time::timeout(limit, self.host.handle(request.clone()))
            .await
            .map_err(|_| PeerError::Lost)
    }

    fn targets(&self, request: &host::LedgerRequest) -> Vec<String> {
        let live = self.peers.live_vms();
        let names = live.iter().map(String::as_str);
        let ranking = partition::appenders(&request.stream(), names, MAX_PEER_ATTEMPTS);
        let mut targets: Vec<String> = ranking.into_iter().map(str::to_owned).collect();
        if !targets.iter().any(|name| name == self.host.vm()) {
            targets.push(self.host.vm().to_owned());
        }
        targets
    }

    fn attempt_timeout_ms(&self) -> u64 {
        u64::try_from(self.settings.attempt_timeout.as_millis()).unwrap_or(u64::MAX)
    }

    fn new_id(&self) -> id::RecordId {
        let mut rng = self
            .rng
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        id::RecordId::draw(&mut *rng)
    }
}

/// Withdraws the claim if the caller disconnects while the claim is being requested.
struct WithdrawGuard<'a, C: LogClient, P: LedgerPeers> {
    router: &'a LedgerRouter<C, P>,
    permit: Option<permit::SendPermit>,
}

impl<C: LogClient, P: LedgerPeers> Drop for WithdrawGuard<'_, C, P> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.router.withdraw(permit);
        }
    }
}

fn refused(cause: Option<claim_calls::RefusalCause>) -> permit::ClaimAnswer {
    let ran = cause.map_or(outcome::RanState::No, claim_calls::RefusalCause::ran);
    permit::ClaimAnswer::Refused(permit::ClaimRefused { cause, ran })
}

const fn holder_item(ticket: &permit::JobTicket) -> jobs::HolderItem {
    jobs::HolderItem {
        job: ticket.grant.job,
        claim: ticket.grant.claim,
    }
}
