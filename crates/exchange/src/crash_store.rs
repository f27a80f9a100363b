//! Keeps in the store which contents crash servers: for VMs that all start again at once, and for VMs
//! that reach the store and not each other.
//!
//! VMs that hear each other tell each other of crashes. Where a VM knows of others that it does not
//! hear, those that find a crash, and the first of those that read the store for all, write what they
//! know to the store, and those that read it for all read it there.

use std::rc;

use bytes::Bytes;
use prost::Message as _;
use tokio::time;

use crate::{follow, message, plane, position, state, unsaved};

/// Maximum size in bytes of the crashes that are saved.
const MAX_SAVED_BYTES: usize = 8 * 1_024;
/// Interval between two checks whether all VMs are heard.
const SPLIT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time for which VMs must not be heard until crashes are shared: VMs that start have not heard the
/// others yet.
const MIN_SPLIT_TIME: time::Duration = time::Duration::from_millis(400);
/// Wait of a call for crashes. One that went silent is given up within the time after which the users
/// count a VM as in touch with the store, 3 s.
const CRASHES_LONG_POLL: time::Duration = time::Duration::from_millis(1_500);
/// Minimum interval between two writes of a VM that shares crashes.
const SHARE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum random delay of such a write for each VM that is heard. At 410 VMs that find crashes at the
/// same moment the store gets 200 writes a second, half of its limit.
const SHARE_JITTER_PER_VM: time::Duration = time::Duration::from_millis(5);
/// Number of records before the newest ones that a VM reads as it begins to follow crashes: VMs that
/// do not hear each other write at the same moment, each without what the others write.
const FIRST_RECORDS: u64 = 16;

/// Crashes, as the store has them.
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

/// Takes what the store has, saves what this VM finds and follows what VMs find that it does not hear;
/// never ends.
pub async fn keep_crashes<P, S: follow::StorePort>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    store: rc::Rc<S>,
) {
    let page = loop {
        let called_at = time::Instant::now();
        match store.saved_crashes().await {
            Ok(page) => break page,
            Err(_) => follow::pause_after_failure(called_at).await,
        }
    };
    take_page(&plane, &page);
    tokio::join!(
        save_crashes(&plane, &*store),
        follow_crashes(&plane, &*store)
    );
}

/// Saves crashes each time there are some that the store may not have; never ends.
async fn save_crashes<P, S: follow::StorePort>(plane: &plane::ExchangePlane<P>, store: &S) {
    loop {
        plane.crashes_unsaved.notified().await;
        let shares = plane.state().crashes.unsaved.sharing() != unsaved::CrashSharing::Off;
        if shares {
            let jitter = share_jitter(&mut plane.state());
            time::sleep(jitter).await;
        }
        loop {
            let record = record(&plane.state());
            let called_at = time::Instant::now();
            if store.save_crashes(record).await.is_ok() {
                break;
            }
            follow::pause_after_failure(called_at).await;
        }
        if shares {
            metrics::counter!("pollenchute_exchange_crash_shares_total").increment(1);
            time::sleep(SHARE_INTERVAL).await;
        }
    }
}

/// Random delay before crashes are shared.
fn share_jitter(state: &mut state::PlaneState) -> time::Duration {
    let heard = state.peers.alive_count(time::Instant::now());
    (SHARE_JITTER_PER_VM * heard).mul_f64(state.draw())
}

/// Follows the crashes that others save while VMs do not hear each other, and this VM reads the store
/// for all; never ends.
async fn follow_crashes<P, S: follow::StorePort>(plane: &plane::ExchangePlane<P>, store: &S) {
    let mut cursor = None::<position::StorePosition>;
    let mut split_at = None;
    loop {
        let now = time::Instant::now();
        if plane.state().peers.is_split(now) {
            split_at.get_or_insert(now);
        } else {
            split_at = None;
        }
        let is_split = split_at.is_some_and(|at| at + MIN_SPLIT_TIME <= now);
        let sharing = sharing(&plane.state(), is_split, now);
        plane.state().crashes.unsaved.set_sharing(sharing);
        plane.save_crashes();
        let reads = plane.state().reads_store(now);
        if sharing == unsaved::CrashSharing::Off || !reads {
            cursor = None;
            time::sleep(SPLIT_CHECK_INTERVAL).await;
            continue;
        }
        let from = cursor;
        let page = match from {
            None => first_page(store).await,
            Some(from) => store.wait_crashes(from, CRASHES_LONG_POLL).await,
        };
        match page {
            Ok(page) => {
                take_page(plane, &page);
                // Offsets of another era name other records: all are read.
                cursor = Some(page.end).filter(|end| from.is_none_or(|from| from.era == end.era));
                if cursor.is_none() {
                    plane.state().crashes.unsaved.add_lost();
                }
            }
            Err(follow::StoreError::Trimmed) => {
                plane.state().crashes.unsaved.add_lost();
                cursor = None;
            }
            Err(follow::StoreError::Unavailable) => follow::pause_after_failure(now).await,
        }
    }
}

/// Which crashes a VM shares through the store.
fn sharing(state: &state::PlaneState, is_split: bool, now: time::Instant) -> unsaved::CrashSharing {
    if !is_split {
        unsaved::CrashSharing::Off
    } else if state.reads_store_first(now) {
        unsaved::CrashSharing::All
    } else {
        unsaved::CrashSharing::Found
    }
}

/// The newest crashes in the store, and those of a few records before them that are still there.
async fn first_page<S: follow::StorePort>(
    store: &S,
) -> Result<follow::CrashPage, follow::StoreError> {
    let mut page = store.saved_crashes().await?;
    let offset = page.end.offset.saturating_sub(FIRST_RECORDS);
    let from = position::StorePosition::new(page.end.era, offset);
    if from < page.end
        && let Ok(earlier) = store.wait_crashes(from, time::Duration::ZERO).await
    {
        page.records.extend(earlier.records);
        page.end = earlier.end;
    }
    Ok(page)
}

fn record(state: &state::PlaneState) -> Bytes {
    let now = time::Instant::now();
    let saved = SavedCrashes {
        saved_ms: wall_clock(state, now),
        crashes: state.crashes.saved_items(MAX_SAVED_BYTES, now),
    };
    Bytes::from(saved.encode_to_vec())
}

fn take_page<P>(plane: &plane::ExchangePlane<P>, page: &follow::CrashPage) {
    for record in &page.records {
        take_saved(plane, record);
    }
}

fn take_saved<P>(plane: &plane::ExchangePlane<P>, saved: &Bytes) {
    let Ok(saved) = SavedCrashes::decode(saved.clone()) else {
        log::warn!("the crashes that the store has can't be decoded; going on without them");
        return;
    };
    let now = time::Instant::now();
    let mut state = plane.state();
    let passed_ms = wall_clock(&state, now).saturating_sub(saved.saved_ms);
    let passed_ms = u32::try_from(passed_ms).unwrap_or(u32::MAX);
    let mut taken = 0;
    for mut item in saved.crashes {
        item.grow_older(passed_ms);
        taken += usize::from(state.crashes.take_saved_item(&item, now));
    }
    drop(state);
    if taken > 0 {
        log::info!(taken, passed_ms; "crashes read from the store");
        plane.wake_decisions();
    }
}

/// Wall clock in milliseconds since 1970, as it was when this VM started.
fn wall_clock(state: &state::PlaneState, now: time::Instant) -> u64 {
    let uptime = now.saturating_duration_since(state.started_at);
    let uptime_ms = u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX);
    state.settings.incarnation.saturating_add(uptime_ms)
}
