//! Claims and deferrable work as the request plane uses them, on any entry VM.

use std::sync;

use base::{id, outcome};
use rand::SeedableRng as _;
use tokio::{runtime, sync as tokio_sync, time};

use crate::client::LogClient;
use crate::{appender, claim_calls, claims, host, job_calls, jobs, partition, permit};

/// The way to the other entry VMs.
pub trait LedgerPeers: Clone + Send + Sync + 'static {
    /// Names of the live entry VMs, this one included, as membership sees them now.
    fn live_vms(&self) -> Vec<String>;

    /// Asks another entry VM and waits `limit` at the most.
    fn call(
        &self,
        vm: &str,
        request: &host::LedgerRequest,
        limit: time::Duration,
    ) -> impl Future<Output = Result<host::LedgerReply, PeerFault>> + Send;
}

/// Why another entry VM gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFault {
    /// The request did not reach it.
    NotDelivered,
    /// It may have done what was asked.
    Lost,
}

/// Times of a [`LedgerRouter`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSettings {
    /// How long one entry VM is given for one request.
    pub try_limit: time::Duration,
    /// How long an end of a claim, or a result, is reported again until it is recorded.
    pub report_limit: time::Duration,
    /// Pause between two reports.
    pub report_pause: time::Duration,
    /// Claims that are ended as not run in the background at the most.
    pub max_withdrawals: usize,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            try_limit: time::Duration::from_millis(1_500),
            report_limit: time::Duration::from_secs(120),
            report_pause: time::Duration::from_millis(500),
            max_withdrawals: 1_024,
        }
    }
}

/// Claims and deferrable work, wherever their partitions are appended.
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

/// What asking brought.
struct AskResult {
    reply: Option<host::LedgerReply>,
    /// Whether some entry VM may have done what was asked without saying so.
    lost: bool,
}

/// Entry VMs that are asked in turn, before this one does it itself.
const PEER_TRIES: usize = 2;

impl<C: LogClient, P: LedgerPeers> LedgerRouter<C, P> {
    /// A router that draws its ids from `seed`, which no other process and no earlier life of
    /// this one may have had.
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

    /// Claims a key for a call that this process would send.
    pub async fn claim(&self, call: permit::ClaimCall) -> permit::ClaimAnswer {
        let limits = &self.host.settings().claims.limits;
        let deadline = time::Instant::now() + time::Duration::from_millis(limits.hold_ms);
        let permit = permit::SendPermit {
            claim: self.draw(),
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
            wait_ms: self.try_ms(),
        });
        let mut guard = WithdrawGuard {
            router: self,
            permit: Some(permit),
        };
        let asked = self.ask(&request, Some(deadline)).await;
        let Some(permit) = guard.permit.take() else {
            return refused(None);
        };
        self.claim_answer(permit, asked)
    }

    fn claim_answer(&self, permit: permit::SendPermit, asked: AskResult) -> permit::ClaimAnswer {
        let held = host::LedgerReply::Claim(claim_calls::ClaimReply::Held);
        let is_held = asked.reply.as_ref() == Some(&held);
        if is_held && permit.may_send(time::Instant::now()) {
            return permit::ClaimAnswer::Fresh(permit);
        }
        if is_held || asked.lost {
            self.withdraw(permit);
        }
        let Some(host::LedgerReply::Claim(reply)) = asked.reply else {
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

    /// Records how a permitted call ended, again and again until it is recorded or the time for
    /// it is up. The caller's answer need not wait for this.
    ///
    /// `NotRun` is for a call that is *proved* not to have run, or was never sent.
    pub async fn settle(
        &self,
        permit: permit::SendPermit,
        outcome: claims::SettledOutcome,
    ) -> claim_calls::RecordReply {
        let request = host::LedgerRequest::Settle(claim_calls::SettleRequest {
            entry: self.draw(),
            item: claims::SettleItem {
                claim: permit.claim,
                organisation: permit.organisation,
                key: permit.key,
                outcome,
            },
            wait_ms: self.try_ms(),
        });
        self.report(&request).await
    }

    /// Ends a claim that this process has decided never to use, so that its key does not stay
    /// unknown. Taking the permit by value makes sure that the call can no longer be sent.
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

    /// Accepts work that may wait.
    pub async fn accept(
        &self,
        job: id::RequestId,
        organisation: &str,
        kept_ms: u64,
        body: bytes::Bytes,
    ) -> job_calls::AcceptReply {
        let request = host::LedgerRequest::Accept(job_calls::AcceptRequest {
            entry: self.draw(),
            job,
            organisation: organisation.to_owned(),
            kept_ms,
            body,
            wait_ms: self.try_ms(),
        });
        let asked = self.ask(&request, None).await;
        match asked.reply {
            Some(host::LedgerReply::Accept(job_calls::AcceptReply::NotAccepted(refusal)))
                if !asked.lost =>
            {
                job_calls::AcceptReply::NotAccepted(refusal)
            }
            Some(host::LedgerReply::Accept(job_calls::AcceptReply::Accepted)) => {
                job_calls::AcceptReply::Accepted
            }
            None if !asked.lost => {
                let cause = appender::NotAppended::Down;
                job_calls::AcceptReply::NotAccepted(job_calls::AcceptRefusal::NotAppended(cause))
            }
            _ => job_calls::AcceptReply::Unknown,
        }
    }

    /// Takes work from a partition; `None` when there is none that can be taken now.
    pub async fn take_next(
        &self,
        partition: partition::PartitionIndex,
    ) -> Option<permit::JobTicket> {
        let asked_at = time::Instant::now();
        let request = host::LedgerRequest::Take(host::PartitionTake {
            partition,
            request: job_calls::TakeRequest {
                claim: self.draw(),
                holder: self.host.vm().to_owned(),
                wait_ms: self.try_ms(),
            },
        });
        let asked = self.ask(&request, None).await;
        let Some(host::LedgerReply::Take(job_calls::TakeReply::Taken(grant))) = asked.reply else {
            return None;
        };
        let deadline = asked_at + time::Duration::from_millis(grant.hold_ms);
        Some(permit::JobTicket { grant, deadline })
    }

    /// Renews work; a ticket whose renewal is not confirmed keeps its deadline. `Superseded`
    /// means that the work belongs to somebody else now: stop and throw away what was done.
    pub async fn renew(&self, ticket: &mut permit::JobTicket) -> job_calls::RenewState {
        let asked_at = time::Instant::now();
        let entry = job_calls::RenewEntry {
            entry: self.draw(),
            item: holder_item(ticket),
        };
        let request = host::LedgerRequest::Renew(host::PartitionRenew {
            partition: partition::of_request(ticket.grant.job),
            request: job_calls::RenewRequest {
                entries: vec![entry],
                wait_ms: self.try_ms(),
            },
        });
        let asked = self.ask(&request, Some(ticket.deadline)).await;
        let state = match asked.reply {
            Some(host::LedgerReply::Renew(states)) => states.first().copied(),
            _ => None,
        };
        let state = state.unwrap_or(job_calls::RenewState::Unsettled);
        if state == job_calls::RenewState::Renewed {
            let hold = time::Duration::from_millis(ticket.grant.hold_ms);
            ticket.deadline = ticket.deadline.max(asked_at + hold);
        }
        state
    }

    /// Gives work back, for instance when this process leaves.
    pub async fn release(&self, ticket: permit::JobTicket) -> claim_calls::RecordReply {
        let request = host::LedgerRequest::Release(host::ReleaseRequest {
            renewal: job_calls::RenewEntry {
                entry: self.draw(),
                item: holder_item(&ticket),
            },
            wait_ms: self.try_ms(),
        });
        self.report(&request).await
    }

    /// Records a result, again and again until the log has decided or the time for it is up.
    pub async fn finish(
        &self,
        ticket: &permit::JobTicket,
        result: bytes::Bytes,
    ) -> job_calls::FinishReply {
        let request = host::LedgerRequest::Finish(job_calls::FinishRequest {
            entry: self.draw(),
            job: ticket.grant.job,
            claim: ticket.grant.claim,
            result,
            wait_ms: self.try_ms(),
        });
        let until = time::Instant::now() + self.settings.report_limit;
        loop {
            match self.ask(&request, Some(until)).await.reply {
                Some(host::LedgerReply::Finish(job_calls::FinishReply::NotRecorded)) | None => {}
                Some(host::LedgerReply::Finish(reply)) => return reply,
                Some(_) => return job_calls::FinishReply::NotRecorded,
            }
            if time::Instant::now() + self.settings.report_pause >= until {
                return job_calls::FinishReply::NotRecorded;
            }
            time::sleep(self.settings.report_pause).await;
        }
    }

    /// Asks about work.
    pub async fn fetch(&self, job: id::RequestId) -> job_calls::FetchReply {
        let request = host::LedgerRequest::Fetch(host::FetchRequest {
            job,
            wait_ms: self.try_ms(),
        });
        match self.ask(&request, None).await.reply {
            Some(host::LedgerReply::Fetch(reply)) => reply,
            _ => job_calls::FetchReply::Unavailable,
        }
    }

    async fn report(&self, request: &host::LedgerRequest) -> claim_calls::RecordReply {
        let until = time::Instant::now() + self.settings.report_limit;
        let recorded = host::LedgerReply::Recorded(claim_calls::RecordReply::Recorded);
        loop {
            if self.ask(request, Some(until)).await.reply.as_ref() == Some(&recorded) {
                return claim_calls::RecordReply::Recorded;
            }
            if time::Instant::now() + self.settings.report_pause >= until {
                return claim_calls::RecordReply::NotRecorded;
            }
            time::sleep(self.settings.report_pause).await;
        }
    }

    /// Asks the entry VMs that rank for the request's stream in turn, and at last does it here,
    /// until one replies that could use the log. The same request may then have been done twice,
    /// which its ids make harmless.
    async fn ask(
        &self,
        request: &host::LedgerRequest,
        deadline: Option<time::Instant>,
    ) -> AskResult {
        let mut result = AskResult {
            reply: None,
            lost: false,
        };
        for vm in self.targets(request) {
            let now = time::Instant::now();
            let left = deadline.map_or(self.settings.try_limit, |until| {
                self.settings
                    .try_limit
                    .min(until.saturating_duration_since(now))
            });
            if left.is_zero() {
                break;
            }
            match self.ask_one(&vm, request, left).await {
                Ok(reply) => {
                    let usable = reply.could_use_log();
                    result.lost |= reply.may_have_taken_effect();
                    result.reply = Some(reply);
                    if usable {
                        break;
                    }
                }
                Err(PeerFault::NotDelivered) => {}
                Err(PeerFault::Lost) => result.lost = true,
            }
        }
        result
    }

    async fn ask_one(
        &self,
        vm: &str,
        request: &host::LedgerRequest,
        limit: time::Duration,
    ) -> Result<host::LedgerReply, PeerFault> {
        if vm != self.host.vm() {
            return self.peers.call(vm, request, limit).await;
        }
        time::timeout(limit, self.host.handle(request.clone()))
            .await
            .map_err(|_| PeerFault::Lost)
    }

    fn targets(&self, request: &host::LedgerRequest) -> Vec<String> {
        let live = self.peers.live_vms();
        let names = live.iter().map(String::as_str);
        let ranking = partition::appenders(&request.stream(), names, PEER_TRIES);
        let mut targets: Vec<String> = ranking.into_iter().map(str::to_owned).collect();
        if !targets.iter().any(|name| name == self.host.vm()) {
            targets.push(self.host.vm().to_owned());
        }
        targets
    }

    fn try_ms(&self) -> u64 {
        u64::try_from(self.settings.try_limit.as_millis()).unwrap_or(u64::MAX)
    }

    fn draw(&self) -> id::RecordId {
        let mut rng = self
            .rng
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        id::RecordId::draw(&mut *rng)
    }
}

/// Ends the claim of a caller that went away while it was asked for.
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
