//! Claims of one partition, appended and read by this process.

use base::id;
use tokio::time;

use crate::client::LogClient;
use crate::{appender, claim_calls, claim_fold, claims, driver, partition};

/// Settings of a [`ClaimStore`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Time limits; equal in all processes.
    pub limits: claims::ClaimLimits,
    /// Bounds of the group commit.
    pub append: appender::AppendLimits,
    /// Keys remembered at the most.
    pub max_keys: MaxKeys,
}

/// Keys remembered at the most by one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxKeys(pub usize);

impl Default for MaxKeys {
    fn default() -> Self {
        Self(200_000)
    }
}

/// The claims of one partition. Its tasks end with it.
pub struct ClaimStore<C> {
    driver: driver::FoldDriver<C, claim_fold::ClaimFold>,
    settings: ClaimSettings,
}

impl<C: LogClient> ClaimStore<C> {
    /// Starts to read the partition's stream; claims wait until it was read to its end.
    pub fn open(
        client: C,
        partition: partition::PartitionIndex,
        vm: &str,
        settings: ClaimSettings,
    ) -> Self {
        let fold = claim_fold::ClaimFold::new(settings.limits.clone());
        let stream = partition::claim_stream(partition);
        let limits = settings.append.clone();
        let driver = driver::FoldDriver::start(client, &stream, vm, fold, limits);
        Self { driver, settings }
    }

    /// Claims a key.
    pub async fn claim(&self, request: claim_calls::ClaimRequest) -> claim_calls::ClaimReply {
        let deadline = time::Instant::now() + time::Duration::from_millis(request.wait_ms);
        let item = claims::ClaimItem {
            organisation: request.organisation,
            key: request.key,
            content: request.content,
            holder: request.holder,
            hold_ms: self.settings.limits.hold_ms,
            run_ms: self.settings.limits.run_ms,
        };
        let claim = request.claim;
        let reply = match self.reply_early(claim, &item) {
            Some(reply) => reply,
            None => self.append(claim, &item, deadline).await,
        };
        if reply == claim_calls::ClaimReply::Unknown {
            return self.prove_unknown(claim, &item, deadline).await;
        }
        reply
    }

    /// Says "unknown" only after a look at the log that began when the holder's time was up.
    ///
    /// A reader that lags behind may not have met the holder's proof that nothing ran, which frees
    /// the key: it would say "unknown", another VM would run the call, and a caller who has acted
    /// on "unknown", say by paying in another way, would be charged. Proofs that come later than
    /// this look free nothing.
    async fn prove_unknown(
        &self,
        claim: id::RecordId,
        item: &claims::ClaimItem,
        deadline: time::Instant,
    ) -> claim_calls::ClaimReply {
        if !self.driver.catch_up(deadline).await {
            return claim_calls::ClaimReply::InProgress;
        }
        match self.reply_early(claim, item) {
            Some(reply) => reply,
            // The key has become free: whoever asks again may run it.
            None => claim_calls::ClaimReply::InProgress,
        }
    }

    async fn append(
        &self,
        claim: id::RecordId,
        item: &claims::ClaimItem,
        deadline: time::Instant,
    ) -> claim_calls::ClaimReply {
        let entry = claims::ClaimEntry::Claim(item.clone());
        let seen = self.driver.position();
        let submitted = self.driver.submit(claim, &entry, seen, deadline);
        match submitted.await {
            Ok(verdict) => self.reply_of(verdict),
            Err(driver::SubmitFault::NotAppended(cause)) => {
                refused(claim_calls::RefusalCause::NotAppended(cause), false)
            }
            Err(driver::SubmitFault::Unsettled) => {
                refused(claim_calls::RefusalCause::Unsettled, true)
            }
        }
    }

    /// Records the end of a claim.
    pub async fn settle(&self, request: claim_calls::SettleRequest) -> claim_calls::RecordReply {
        let deadline = time::Instant::now() + time::Duration::from_millis(request.wait_ms);
        let mut item = request.item;
        if let claims::SettledOutcome::Ran(outcome) = item.outcome {
            let outcome = claims::bounded(outcome, self.settings.limits.max_kept_bytes);
            item.outcome = claims::SettledOutcome::Ran(outcome);
        }
        let entry = claims::ClaimEntry::Settle(item);
        let seen = self.driver.position();
        let submitted = self.driver.submit(request.entry, &entry, seen, deadline);
        match submitted.await {
            Ok(_) => claim_calls::RecordReply::Recorded,
            Err(_) => claim_calls::RecordReply::NotRecorded,
        }
    }

    /// Whether the partition was read to its end at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.driver.is_loaded()
    }

    /// Answers what needs no record: a key that is taken as far as this process has read stays
    /// taken, so this holds also while the log is down.
    fn reply_early(
        &self,
        claim: id::RecordId,
        item: &claims::ClaimItem,
    ) -> Option<claim_calls::ClaimReply> {
        let Some(key_ms) = claims::key_time_ms(&item.key) else {
            return Some(refused(claim_calls::RefusalCause::KeyMalformed, false));
        };
        let now = time::Instant::now();
        let known = self.driver.view(|state| {
            let fold = &state.fold;
            if let Some(verdict) = fold.find_claim(claim, item) {
                return Some(EarlyView::Verdict(verdict));
            }
            if let Some(verdict) = fold.find(&item.organisation, &item.key, item.content) {
                return Some(EarlyView::Verdict(verdict));
            }
            // The reading is never ahead of the log's clock, but may be far behind it after a
            // pause; so it shows that a key is too old, never that it lies in the future.
            let oldest_ms = key_ms.saturating_add(fold.limits().window_ms);
            let outside = state
                .clock
                .is_some_and(|clock| clock.now_ms(now) > oldest_ms);
            if outside {
                return Some(EarlyView::Verdict(claims::ClaimVerdict::OutsideWindow));
            }
            (fold.len() >= self.settings.max_keys.0).then_some(EarlyView::Full)
        });
        known.map(|view| match view {
            EarlyView::Verdict(verdict) => self.reply_of(verdict),
            EarlyView::Full => refused(claim_calls::RefusalCause::Full, false),
        })
    }

    fn reply_of(&self, verdict: claims::ClaimVerdict) -> claim_calls::ClaimReply {
        match verdict {
            claims::ClaimVerdict::Held => claim_calls::ClaimReply::Held,
            claims::ClaimVerdict::Taken(claims::KeyView::Stored(outcome)) => {
                claim_calls::ClaimReply::Stored(outcome)
            }
            claims::ClaimVerdict::Taken(claims::KeyView::Open { until_ms }) => {
                self.reply_open(until_ms)
            }
            claims::ClaimVerdict::OtherContent => claim_calls::ClaimReply::OtherContent,
            claims::ClaimVerdict::OutsideWindow => {
                refused(claim_calls::RefusalCause::OutsideWindow, false)
            }
            claims::ClaimVerdict::Withdrawn | claims::ClaimVerdict::Settled => {
                refused(claim_calls::RefusalCause::Withdrawn, false)
            }
        }
    }

    /// "Unknown" is said only when the holder can no longer send: its deadline counts from before
    /// its append, so it has passed when the log's clock is `until_ms`. Without a reading of the
    /// log's clock "in progress" is said, which promises less.
    fn reply_open(&self, until_ms: u64) -> claim_calls::ClaimReply {
        let now = time::Instant::now();
        let late_ms = until_ms + self.settings.limits.drift_ms;
        let passed = self.driver.view(|state| {
            state
                .clock
                .is_some_and(|clock| clock.now_ms(now) >= late_ms)
        });
        if passed {
            claim_calls::ClaimReply::Unknown
        } else {
            claim_calls::ClaimReply::InProgress
        }
    }
}

enum EarlyView {
    Verdict(claims::ClaimVerdict),
    Full,
}

const fn refused(cause: claim_calls::RefusalCause, may_be_on_log: bool) -> claim_calls::ClaimReply {
    claim_calls::ClaimReply::Refused(claim_calls::ClaimRefusal {
        cause,
        may_be_on_log,
    })
}
