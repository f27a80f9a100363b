//! What a caller remembers of the entry VMs.

use std::{net, time::Duration};

use load::directory;
use tokio::time;

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_kept_for_its_time_and_no_longer() {
    let mut directory = directory::EntryDirectory::new(vec![address(1)]);
    assert!(directory.is_stale(time::Instant::now()));
    let keep = Duration::from_secs(30);
    directory.store_entries(vec![address(2), address(3)], keep, time::Instant::now());
    time::advance(keep - Duration::from_millis(1)).await;
    assert!(!directory.is_stale(time::Instant::now()));
    time::advance(Duration::from_millis(1)).await;
    assert!(directory.is_stale(time::Instant::now()));
}

/// Symptom: a caller keeps on asking an entry VM that is gone, or never comes back to one.
/// Sequence: the first of two named entry VMs fails a call; two seconds pass.
/// Cause: the named order alone does not say who answers.
#[tokio::test(start_paused = true)]
async fn a_suspect_is_tried_last_for_a_while() {
    let mut directory = directory::EntryDirectory::new(vec![address(1)]);
    let now = time::Instant::now();
    directory.store_entries(vec![address(2), address(3)], Duration::from_secs(30), now);
    directory.suspect(address(2), now);
    assert_eq!(directory.ranking(now), [address(3), address(1), address(2)]);
    time::advance(Duration::from_secs(2)).await;
    let ranking = directory.ranking(time::Instant::now());
    assert_eq!(ranking, [address(2), address(3), address(1)]);
}
