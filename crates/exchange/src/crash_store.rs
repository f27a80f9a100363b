//! Keeps in the store which contents crash servers, for the case that all VMs start again at once.

use std::rc;

use bytes::Bytes;
use prost::Message as _;
use tokio::time;

use crate::{follow, message, plane, state};

/// Maximum size in bytes of the crashes that are saved, newest first.
const MAX_SAVED_BYTES: usize = 8 * 1_024;

/// Crashes whose cause is refused, as the store has them.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SavedCrashes {
    /// Wall clock of the VM that saved them, in milliseconds since 1970.
    #[prost(uint64, tag = "1")]
    pub saved_ms: u64,
    /// Crashes, with their ages at that time.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<message::CrashItem>,
}

/// Takes what the store has, and saves what this VM finds; never ends.
pub async fn keep_crashes<P, S: follow::StorePort>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    store: rc::Rc<S>,
) {
    let saved = loop {
        match store.saved_crashes().await {
            Ok(saved) => break saved,
            Err(_) => time::sleep(follow::STORE_RETRY_INTERVAL).await,
        }
    };
    if let Some(saved) = saved {
        take_saved(&plane, &saved);
    }
    loop {
        plane.crashes_unsaved.notified().await;
        loop {
            let record = record(&plane.state());
            if store.save_crashes(record).await.is_ok() {
                break;
            }
            time::sleep(follow::STORE_RETRY_INTERVAL).await;
        }
    }
}

fn record(state: &state::PlaneState) -> Bytes {
    let now = time::Instant::now();
    let saved = SavedCrashes {
        saved_ms: wall_clock(state, now),
        crashes: state.crashes.refused_items(MAX_SAVED_BYTES, now),
    };
    Bytes::from(saved.encode_to_vec())
}

fn take_saved<P>(plane: &plane::ExchangePlane<P>, saved: &Bytes) {
    let Ok(saved) = SavedCrashes::decode(saved.clone()) else {
        log::warn!("the crashes that the store has can't be decoded; starting without them");
        return;
    };
    let now = time::Instant::now();
    let mut state = plane.state();
    let passed_ms = wall_clock(&state, now).saturating_sub(saved.saved_ms);
    let passed_ms = u32::try_from(passed_ms).unwrap_or(u32::MAX);
    let mut taken = 0;
    for mut item in saved.crashes {
        item.grow_older(passed_ms);
        taken += usize::from(state.crashes.take_item(&item, now));
    }
    drop(state);
    log::info!(taken, passed_ms; "crashes read from the store");
    plane.wake_decisions();
}

/// Wall clock in milliseconds since 1970, as it was when this VM started.
fn wall_clock(state: &state::PlaneState, now: time::Instant) -> u64 {
    let uptime = now.saturating_duration_since(state.started_at);
    let uptime_ms = u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX);
    state.settings.incarnation.saturating_add(uptime_ms)
}
