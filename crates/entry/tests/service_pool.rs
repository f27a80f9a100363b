//! Selection of the plain service server for a call.

use std::{collections, sync, time::Duration};

use base::id;
use entry::adapt::service_pool;
use tokio::time;

fn candidates() -> Vec<service_pool::PoolCandidate> {
    let mut arena = slotmap::SlotMap::<id::ServerKey, ()>::with_key();
    let mut candidate = || service_pool::PoolCandidate {
        server: arena.insert(()),
        max_concurrency: 8,
        suspected: false,
    };
    (0..3).map(|_| candidate()).collect()
}

fn take(
    pool: &sync::Arc<service_pool::ServicePool>,
    candidates: &[service_pool::PoolCandidate],
) -> service_pool::ServiceSlot {
    let slot = pool.try_take(candidates, time::Instant::now());
    slot.expect("a slot is free")
}

/// Guards against answering `overloaded` for seconds while two of a service's three servers are
/// idle. Calls refused by a dead server end at once, so it stays the least busy one; unless a
/// failed call counts against its server, it is selected until the next health check, up to ten
/// seconds later.
#[tokio::test(start_paused = true)]
async fn a_server_that_failed_a_call_is_taken_last_for_a_while() {
    let pool = sync::Arc::new(service_pool::ServicePool::default());
    let candidates = candidates();
    let slot = take(&pool, &candidates);
    let dead = slot.server();
    slot.failed(time::Instant::now());
    for _ in 0..20 {
        assert_ne!(take(&pool, &candidates).server(), dead);
    }
    let alone: Vec<_> = candidates
        .iter()
        .copied()
        .filter(|candidate| candidate.server == dead)
        .collect();
    assert_eq!(
        take(&pool, &alone).server(),
        dead,
        "the failed server is used when there is no other"
    );
    time::advance(Duration::from_secs(2)).await;
    let taken = (0..3).map(|_| take(&pool, &candidates).server());
    assert!(
        taken.collect::<Vec<_>>().contains(&dead),
        "the failed server is used again after the penalty"
    );
}

#[tokio::test(start_paused = true)]
async fn idle_servers_take_turns() {
    let pool = sync::Arc::new(service_pool::ServicePool::default());
    let candidates = candidates();
    let taken = (0..3).map(|_| take(&pool, &candidates).server());
    let taken: collections::HashSet<id::ServerKey> = taken.collect();
    assert_eq!(taken.len(), 3);
}
