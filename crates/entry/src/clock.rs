//! The wall clock, for stamps that people read and for times that callers write. No deadline
//! rests on it.

use std::time;

/// Milliseconds since 1970 by this VM's clock.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
