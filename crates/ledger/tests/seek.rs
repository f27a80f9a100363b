//! Finding where to begin in a stream.

mod cluster;

use ledger::client::LogClient as _;
use ledger::{memory, seek};
use tokio::time;

#[test]
fn the_start_is_the_first_record_that_is_young_enough() {
    // Symptom: a new appender misses a claim, or reads an hour of records before its first answer.
    // Sequence: streams of all small lengths, one record a second, some of them dropped.
    // Cause: a search that is off by one, or that takes a dropped record for the end.
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
        let young = length.saturating_sub(lookback_s + 1).max(dropped);
        let wanted = if dropped == length {
            start.clone().unwrap_or(0)
        } else {
            young
        };
        assert_eq!(
            start,
            Ok(wanted),
            "{length} records, {dropped} dropped, {lookback_s} s"
        );
    }
}
