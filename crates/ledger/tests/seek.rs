//! Finding the start position in a stream.

mod cluster;

use ledger::client::LogClient as _;
use ledger::{memory, seek};
use tokio::time;

#[test]
fn the_start_is_the_oldest_record_within_the_lookback() {
    // Guards against a search that is off by one or mistakes a dropped record for the end: a new
    // appender would miss a claim, or read an hour of records before its first answer. Covers
    // streams of all small lengths with one record per second, some of them dropped.
    for length in 0..70_u64 {
        for dropped in [0, length.min(1), length / 2, length] {
            cluster::run_paused(check(length, dropped));
        }
    }
}

async fn check(length: u64, dropped: u64) {
    let log = memory::MemoryLog::new(1, 1_000_000);
    for _ in 0..length {
        log.append("calls-0", bytes::Bytes::new())
            .await
            .expect("an append");
        time::sleep(time::Duration::from_secs(1)).await;
    }
    let kept_ms = (length - dropped) * 1_000;
    log.change_faults(|faults| faults.retention_ms = Some(kept_ms));
    for lookback_s in [0, 1, 10, 100] {
        let start = seek::find_start(&log, "calls-0", lookback_s * 1_000).await;
        let first_within_lookback = length.saturating_sub(lookback_s + 1).max(dropped);
        let expected = if dropped == length {
            start.clone().unwrap_or(0)
        } else {
            first_within_lookback
        };
        assert_eq!(
            start,
            Ok(expected),
            "{length} records, {dropped} dropped, {lookback_s} s"
        );
    }
}
