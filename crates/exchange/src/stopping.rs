//! How a VM stops without cutting answers off.

use tokio::time;

use crate::{catalog, plane};

/// Time that callers need to learn that this VM stops: a lookup's answer is kept for 1.5 s, by some
/// three times as long.
const STOP_LEAST: time::Duration = time::Duration::from_millis(4_700);
/// Time before the process is killed: what is left is cut off then.
const STOP_SPARE: time::Duration = time::Duration::from_millis(300);
/// Time between two looks whether all has ended.
const STOP_LOOK: time::Duration = time::Duration::from_millis(50);

/// Time after the start of a stop from which streams are refused: some last for longer than what is
/// left, and would be cut when the process ends.
const LAST_STREAM: time::Duration = time::Duration::from_millis(2_500);
/// The same for calls, which take a second at the most.
const LAST_CALL: time::Duration = time::Duration::from_millis(6_000);

/// Whether a VM that stops since `since` still takes a request of this kind.
#[must_use]
pub fn takes(kind: catalog::ExchangeKind, since: time::Instant, now: time::Instant) -> bool {
    let last = match kind {
        catalog::ExchangeKind::Stream => LAST_STREAM,
        _ => LAST_CALL,
    };
    now.saturating_duration_since(since) < last
}

/// Lets callers learn that this VM stops, then waits for what runs, within `grace`.
pub async fn drain<P>(plane: &plane::ExchangePlane<P>, grace: time::Duration) {
    let began = time::Instant::now();
    log::info!(open = plane.open_requests(); "stopping");
    plane.stop();
    let most = grace.saturating_sub(STOP_SPARE);
    loop {
        let elapsed = began.elapsed();
        let idle = plane.open_requests() == 0 && elapsed >= STOP_LEAST.min(most);
        if idle || elapsed >= most {
            return;
        }
        time::sleep(STOP_LOOK).await;
    }
}
