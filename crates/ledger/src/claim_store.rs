//! Appends and reads the claims of one partition.

use base::id;
use tokio::time;

use crate::client::LogClient;
use crate::{appender, claim_calls, claim_fold, claims, driver, partition};

/// Settings of a [`ClaimStore`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Time limits, which must be equal in all processes.
    pub limits: claims::ClaimLimits,
    /// Limits of the group commit.
    pub append: appender::AppendLimits,
    /// Maximum number of keys held.
    pub max_keys: MaxKeys,
}

/// Maximum number of keys that one store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxKeys(pub usize);

impl Default for MaxKeys {
    fn default() -> Self {
        Self(200_000)
    }
}

/// The claims of one partition. Dropping the store stops its tasks.
pub struct ClaimStore<C> {
    driver: driver::FoldDriver<C, claim_fold::ClaimFold>,
    settings: ClaimSettings,
}

impl<C: LogClient> ClaimStore<C> {
    /// Starts reading the partition's stream. Claims wait until the stream was read to its end.
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
        let reply = match self.reply_without_append(claim, &item) {
            Some(reply) => reply,
            None => self.append(claim, &item, deadline).await,
        };
        if reply == claim_calls::ClaimReply::Unknown {
            return self.confirm_unknown(claim, &item, deadline).await;
        }
        reply
    }

    /// Returns `Unknown` only after a read of the log that began after the holder's time had
    /// expired.
    ///
    /// A lagging reader may not have read the holder's proof that nothing ran, which frees the key.
    /// Such a reader would reply "unknown" while another VM runs the call, and a caller that acted
    /// on "unknown", for instance by paying in another way, would be charged twice. Proofs that
    /// follow on the log after this read do not free the key.
    async fn confirm_unknown(
        &self,
        claim: id::RecordId,
        item: &claims::ClaimItem,
        deadline: time::Instant,
    ) -> claim_calls::ClaimReply {
        if !self.driver.catch_up(deadline).await {
            return claim_calls::ClaimReply::InProgress;
        }
        match self.reply_without_append(claim, item) {
            Some(reply) => reply,
            // The key has become free: the next request may run the call.
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
            Err(driver::SubmitError::NotAppended(cause)) => {
                refused(claim_calls::RefusalCause::NotAppended(cause), false)
            }
            Err(driver::SubmitError::Unsettled) => {
                refused(claim_calls::RefusalCause::Unsettled, true)
            }
        }
    }

    /// Records the end of a claim.
    pub async fn settle(&self, request: claim_calls::SettleRequest) -> claim_calls::RecordReply {
        let deadline = time::Instant::now() + time::Duration::from_millis(request.wait_ms);
        let mut item = request.item;
        if let claims::SettledOutcome::Ran(outcome) = item.outcome {
            let outcome = claims::without_large_body(outcome, self.settings.limits.max_kept_bytes);
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

    /// Whether the partition's stream was read to its end at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.driver.is_loaded()
    }

    /// Replies to claims that need no append. A key that is taken according to the records read so
    /// far stays taken, so this also works while the log is down.
    fn reply_without_append(
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
                return Some(LocalResult::Verdict(verdict));
            }
            if let Some(verdict) = fold.find(&item.organisation, &item.key, item.content) {
                return Some(LocalResult::Verdict(verdict));
            }
            // The estimate is never ahead of the log's clock but may be far behind it after a
            // pause. It can show that a key is too old, but not that a key lies in the future.
            let oldest_ms = key_ms.saturating_add(fold.limits().window_ms);
            let outside = state
                .clock
                .is_some_and(|clock| clock.now_ms(now) > oldest_ms);
            if outside {
                return Some(LocalResult::Verdict(claims::ClaimVerdict::OutsideWindow));
            }
            (fold.len() >= self.settings.max_keys.0).then_some(LocalResult::Full)
        });
        known.map(|result| match result {
            LocalResult::Verdict(verdict) => self.reply_of(verdict),
            LocalResult::Full => refused(claim_calls::RefusalCause::Full, false),
        })
    }

    fn reply_of(&self, verdict: claims::ClaimVerdict) -> claim_calls::ClaimReply {
        match verdict {
            claims::ClaimVerdict::Held => claim_calls::ClaimReply::Held,
            claims::ClaimVerdict::Taken(claims::KeyView::Stored(outcome)) => {
                claim_calls::ClaimReply::Stored(outcome)
            }
            claims::ClaimVerdict::Taken(claims::KeyView::Pending { until_ms }) => {
                self.reply_pending(until_ms)
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

    /// Replies to a claim of a key whose call has no outcome yet. The reply is `Unknown` only if
    /// the holder can no longer send: the holder's deadline counts from before its append, so it
    /// has passed when the log's clock reaches `until_ms`. Without an estimate of the log's clock
    /// the reply is `InProgress`, which promises less.
    fn reply_pending(&self, until_ms: u64) -> claim_calls::ClaimReply {
        let now = time::Instant::now();
        let expired_ms = until_ms + self.settings.limits.drift_ms;
        let passed = self.driver.view(|state| {
            state
                .clock
                .is_some_and(|clock| clock.now_ms(now) >= expired_ms)
        });
        if passed {
            claim_calls::ClaimReply::Unknown
        } else {
            claim_calls::ClaimReply::InProgress
        }
    }
}

enum LocalResult {
    Verdict(claims::ClaimVerdict),
    Full,
}

const fn refused(cause: claim_calls::RefusalCause, may_be_on_log: bool) -> claim_calls::ClaimReply {
    claim_calls::ClaimReply::Refused(claim_calls::ClaimRefusal {
        cause,
        may_be_on_log,
    })
}
