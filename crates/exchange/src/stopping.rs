//! Graceful stop of a VM, without truncated responses.

use tokio::time;

use crate::{catalog, plane};

/// Min duration of a stop, in which callers learn of it: a lookup's result is cached for 1.5 s, by
/// some callers for three times as long.
const MIN_STOP_TIME: time::Duration = time::Duration::from_millis(4_700);
/// Margin before the process is killed: requests that still run are cut off then.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(300);
/// Interval between checks whether all requests have ended.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// How long after the start of a stop streams are accepted: some last longer than the time that is
/// left, and would be cut off when the process ends.
const STREAM_ACCEPT_TIME: time::Duration = time::Duration::from_millis(2_500);
/// How long after the start of a stop calls are accepted; they take at most a second.
const CALL_ACCEPT_TIME: time::Duration = time::Duration::from_millis(6_000);

/// Returns whether a VM that has been stopping since `since` still accepts a request of this kind.
#[must_use]
pub fn takes(kind: catalog::ExchangeKind, since: time::Instant, now: time::Instant) -> bool {
    let accept_time = match kind {
        catalog::ExchangeKind::Stream => STREAM_ACCEPT_TIME,
        _ => CALL_ACCEPT_TIME,
    };
    now.saturating_duration_since(since) < accept_time
}

/// Announces the stop to callers, then waits until the running requests end, within `grace`.
pub async fn drain<P>(plane: &plane::ExchangePlane<P>, grace: time::Duration) {
    let started = time::Instant::now();
    log::info!(open = plane.open_requests(); "stopping");
    plane.stop();
    let max = grace.saturating_sub(KILL_MARGIN);
    loop {
        let elapsed = started.elapsed();
        let idle = plane.open_requests() == 0 && elapsed >= MIN_STOP_TIME.min(max);
        if idle || elapsed >= max {
            return;
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}
