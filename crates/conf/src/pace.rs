//! Timing and batch settings of the configuration follower and its checkpoint keeper.

use std::time::Duration;

use crate::part;

/// Settings of the configuration follower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowSettings {
    /// Maximum number of records per read.
    pub page_records: u32,
    /// How long a read at the end of the log waits for a new record.
    pub read_wait: Duration,
    /// Delay before the next read after a failed one.
    pub retry_after: Duration,
    /// How long a VM without a state collects offers before it fetches the best one.
    pub offer_wait: Duration,
    /// How long a VM may be behind another one without progress on the log before it fetches that
    /// VM's state.
    pub behind_timeout: Duration,
    /// Delay before the next search after one that found no usable checkpoint in the log.
    pub search_retry_after: Duration,
    /// Number of records before the end of the log that the first search pass covers.
    pub lookback_records: u64,
    /// Settings of the checkpoint keeper.
    pub keeper: KeeperSettings,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self {
            page_records: 64,
            read_wait: Duration::from_secs(5),
            retry_after: Duration::from_millis(500),
            offer_wait: Duration::from_secs(1),
            behind_timeout: Duration::from_secs(1),
            search_retry_after: Duration::from_secs(5),
            lookback_records: 256,
            keeper: KeeperSettings::default(),
        }
    }
}

/// Settings that decide when a checkpoint is due and how it is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeeperSettings {
    /// Number of records after the newest checkpoint that makes another one due; bounds the
    /// catch-up time.
    pub records: u64,
    /// Age of the newest checkpoint that makes another one due; a third of the log's retention.
    pub age: Duration,
    /// The VM of rank N, counted from 1, waits N times this long for another VM to append.
    pub rank_step: Duration,
    /// Delay after a failed append, and minimum interval between two checkpoints of one VM.
    pub retry_after: Duration,
    /// Bytes of checkpoint text per record; equal on all VMs, so that their parts are identical.
    pub part_bytes: usize,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        Self {
            records: 128,
            age: Duration::from_secs(4 * 3_600),
            rank_step: Duration::from_secs(2),
            retry_after: Duration::from_secs(1),
            part_bytes: part::MAX_PART_BYTES,
        }
    }
}
