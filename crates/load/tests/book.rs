//! Tests of the callers' directory of entry VMs.

use std::{net, time::Duration};

use load::directory;
use tokio::time;

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

#[tokio::test(start_paused = true)]
async fn an_entry_list_expires_after_its_lifetime() {
    let mut directory = directory::EntryDirectory::new(vec![address(1)]);
    assert!(directory.is_stale(time::Instant::now()));
    let keep = Duration::from_secs(30);
    directory.store_entries(vec![address(2), address(3)], keep, time::Instant::now());
    time::advance(keep - Duration::from_millis(1)).await;
    assert!(!directory.is_stale(time::Instant::now()));
    time::advance(Duration::from_millis(1)).await;
    assert!(directory.is_stale(time::Instant::now()));
}

/// Guards against callers that keep using a failed entry VM, or never return to it after the
/// suspicion expires. The first of two listed entry VMs fails a call; two seconds pass. The order
/// of the list alone does not tell which entry VM answers.
#[tokio::test(start_paused = true)]
async fn a_suspect_is_ranked_last_until_the_suspicion_expires() {
    let mut directory = directory::EntryDirectory::new(vec![address(1)]);
    let now = time::Instant::now();
    directory.store_entries(vec![address(2), address(3)], Duration::from_secs(30), now);
    directory.suspect(address(2), now);
    assert_eq!(directory.ranking(now), [address(3), address(1), address(2)]);
    time::advance(Duration::from_secs(2)).await;
    let ranking = directory.ranking(time::Instant::now());
    assert_eq!(ranking, [address(2), address(3), address(1)]);
}
