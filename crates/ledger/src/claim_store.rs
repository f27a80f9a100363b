//! Claims of one partition, appended and read by this process.

use base::{fingerprint, id, outcome};
use tokio::time;

use crate::client::LogClient;
use crate::{appender, claims, driver, partition};

/// A claim that is asked for, possibly by another entry VM.
///
/// Asking twice, also two processes at once, is harmless as long as `claim` is the same: the fold
/// knows it again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimRequest {
    /// Id of the claim, drawn by its holder.
    pub claim: id::RecordId,
    /// The organisation that the key belongs to.
    pub organisation: String,
    /// The idempotency key as the caller sent it.
    pub key: String,
    /// Hash of the call's content.
    pub content: fingerprint::ContentHash,
    /// Name of the entry VM that would send the call.
    pub holder: String,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claim holds its key: its holder may send the call before its deadline.
    Held,
    /// The key's call ran; this was its answer.
    Stored(claims::StoredOutcome),
    /// The key's call is under way.
    InProgress,
    /// The key's call may have run; its outcome will not be known unless its holder reports late.
    Unknown,
    /// The key was used for a call with another content.
    OtherContent,
    /// The claim holds nothing.
    Refused(ClaimRefusal),
}

/// A claim that holds nothing, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// Whether the claim may be on the log all the same: its holder, once it has decided never to
    /// send, ends it as not run so that the key becomes free.
    pub may_be_on_log: bool,
}

/// Why a claim holds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The key does not carry its own time.
    KeyMalformed,
    /// The key's own time is too old, or lies in the future.
    OutsideWindow,
    /// The claim was withdrawn before.
    Withdrawn,
    /// This process remembers as many keys as it can.
    Full,
    /// The claim is not on the log.
    NotAppended(appender::NotAppended),
    /// The claim's record was not read back in time.
    Unsettled,
}

impl RefusalCause {
    /// Whether a call with this key may have run *earlier*, as far as the refusal tells.
    ///
    /// The refused try itself never runs. But a key that is refused for its age may have run
    /// within its window, and cannot be asked about any more.
    #[must_use]
    pub const fn ran(self) -> outcome::RanState {
        match self {
            Self::OutsideWindow => outcome::RanState::Unknown,
            _ => outcome::RanState::No,
        }
    }
}

/// An end of a claim, possibly reported by another entry VM. Asking twice is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SettleRequest {
    /// Id of the entry, drawn by the holder.
    pub entry: id::RecordId,
    /// The end of the claim.
    pub item: claims::SettleItem,
    /// How long the asker waits for a reply, in milliseconds.
    pub wait_ms: u64,
}

/// Whether a report is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordReply {
    /// It is on the log, or too late to matter.
    Recorded,
    /// It may not be on the log; report it again.
    NotRecorded,
}

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
    driver: driver::FoldDriver<C, claims::ClaimFold>,
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
        let fold = claims::ClaimFold::new(settings.limits.clone());
        let stream = partition::claim_stream(partition);
        let limits = settings.append.clone();
        let driver = driver::FoldDriver::start(client, &stream, vm, fold, limits);
        Self { driver, settings }
    }

    /// Claims a key.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        let deadline = time::Instant::now() + time::Duration::from_millis(request.wait_ms);
        let item = claims::ClaimItem {
            organisation: request.organisation,
            key: request.key,
            content: request.content,
            holder: request.holder,
            hold_ms: self.settings.limits.hold_ms,
            run_ms: self.settings.limits.run_ms,
        };
        if let Some(reply) = self.reply_early(request.claim, &item) {
            return reply;
        }
        let entry = claims::ClaimEntry::Claim(item);
        let seen = self.driver.position();
        let submitted = self.driver.submit(request.claim, &entry, seen, deadline);
        match submitted.await {
            Ok(verdict) => self.reply_of(verdict),
            Err(driver::SubmitFault::NotAppended(cause)) => {
                refused(RefusalCause::NotAppended(cause), false)
            }
            Err(driver::SubmitFault::Unsettled) => refused(RefusalCause::Unsettled, true),
        }
    }

    /// Records the end of a claim.
    pub async fn settle(&self, request: SettleRequest) -> RecordReply {
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
            Ok(_) => RecordReply::Recorded,
            Err(_) => RecordReply::NotRecorded,
        }
    }

    /// Whether the partition was read to its end at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.driver.is_loaded()
    }

    /// Answers what needs no record: a key that is taken as far as this process has read stays
    /// taken, so this holds also while the log is down.
    fn reply_early(&self, claim: id::RecordId, item: &claims::ClaimItem) -> Option<ClaimReply> {
        let Some(key_ms) = claims::key_time_ms(&item.key) else {
            return Some(refused(RefusalCause::KeyMalformed, false));
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
            EarlyView::Full => refused(RefusalCause::Full, false),
        })
    }

    fn reply_of(&self, verdict: claims::ClaimVerdict) -> ClaimReply {
        match verdict {
            claims::ClaimVerdict::Held => ClaimReply::Held,
            claims::ClaimVerdict::Taken(claims::KeyView::Stored(outcome)) => {
                ClaimReply::Stored(outcome)
            }
            claims::ClaimVerdict::Taken(claims::KeyView::Open { until_ms }) => {
                self.reply_open(until_ms)
            }
            claims::ClaimVerdict::OtherContent => ClaimReply::OtherContent,
            claims::ClaimVerdict::OutsideWindow => refused(RefusalCause::OutsideWindow, false),
            claims::ClaimVerdict::Withdrawn | claims::ClaimVerdict::Settled => {
                refused(RefusalCause::Withdrawn, false)
            }
        }
    }

    /// "Unknown" is said only when the holder can no longer send: its deadline counts from before
    /// its append, so it has passed when the log's clock is `until_ms`. Without a reading of the
    /// log's clock "in progress" is said, which promises less.
    fn reply_open(&self, until_ms: u64) -> ClaimReply {
        let now = time::Instant::now();
        let late_ms = until_ms + self.settings.limits.drift_ms;
        let passed = self.driver.view(|state| {
            state
                .clock
                .is_some_and(|clock| clock.now_ms(now) >= late_ms)
        });
        if passed {
            ClaimReply::Unknown
        } else {
            ClaimReply::InProgress
        }
    }
}

enum EarlyView {
    Verdict(claims::ClaimVerdict),
    Full,
}

const fn refused(cause: RefusalCause, may_be_on_log: bool) -> ClaimReply {
    ClaimReply::Refused(ClaimRefusal {
        cause,
        may_be_on_log,
    })
}
