//! The wall clock, for timestamps that people read and for times that callers send. No deadline
//! depends on it.

use std::time;

/// Returns the milliseconds since 1970 by this VM's clock.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
