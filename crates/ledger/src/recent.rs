//! The records of one stream that this process has read lately. After the log came back from an
//! older copy, those that it lacks are appended again.

use std::collections;

/// Age up to which records are kept, in milliseconds on the log's clock: copies are some seconds
/// old.
const MAX_AGE_MS: u64 = 90_000;
/// Maximum total size of the kept records.
const MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// One record that was applied.
#[derive(Clone, Debug)]
struct RecentRecord {
    at_ms: u64,
    body: bytes::Bytes,
    /// Whether the restored log has not shown it yet.
    missing: bool,
}

/// Recent records, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentRecords {
    records: collections::VecDeque<RecentRecord>,
    bytes: usize,
}

impl RecentRecords {
    /// Adds a record that was applied.
    pub(crate) fn add(&mut self, at_ms: u64, body: bytes::Bytes) {
        self.bytes += body.len();
        let missing = false;
        self.records.push_back(RecentRecord {
            at_ms,
            body,
            missing,
        });
        let oldest_ms = at_ms.saturating_sub(MAX_AGE_MS);
        while let Some(oldest) = self.records.front()
            && (oldest.at_ms < oldest_ms || self.bytes > MAX_BYTES)
        {
            self.bytes -= oldest.body.len();
            self.records.pop_front();
        }
    }

    /// Takes all records as missing, before the restored log is read.
    pub(crate) fn begin_restore(&mut self) {
        for record in &mut self.records {
            record.missing = true;
        }
    }

    /// Whether a record was applied before; it is then no longer missing.
    pub(crate) fn take(&mut self, body: &bytes::Bytes) -> bool {
        let known = self.records.iter_mut().find(|known| known.body == *body);
        known.is_some_and(|known| {
            known.missing = false;
            true
        })
    }

    /// Records that the restored log has not shown, oldest first.
    pub(crate) fn missing(&self) -> Vec<bytes::Bytes> {
        let missing = self.records.iter().filter(|record| record.missing);
        missing.map(|record| record.body.clone()).collect()
    }
}
