//! Process-wide monotonic clock in microseconds.

use std::{sync, time};

static ORIGIN: sync::OnceLock<time::Instant> = sync::OnceLock::new();

/// Returns the microseconds since the first call.
pub fn now_us() -> u64 {
    ORIGIN.get_or_init(time::Instant::now).elapsed().as_micros() as u64
}
