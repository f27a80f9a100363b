//! Entries of servers that are removed from the store while it is away, after that, or beyond what
//! its records still show: every VM stops sending in time, and none too early.

mod cluster;

use std::time;

use cluster::running;
use exchange::{catchup, fleet};
use tokio::time::{self as clock, Instant};

/// Half of the time that the users allow until a server that leaves gets no more work.
const KNOWN_WITHIN: time::Duration = time::Duration::from_millis(1_500);
/// Duration of an outage of the store.
const OUTAGE: time::Duration = time::Duration::from_secs(2);
/// Time after an outage at which the store has been answering all VMs for long.
const SETTLED: time::Duration = time::Duration::from_secs(8);
/// Maximum time until a VM that reads the store notes that it answers again.
const RETURN_NOTED: time::Duration = time::Duration::from_millis(500);

#[test]
fn a_removal_after_an_outage_is_known_to_all_in_time() {
    // Guards against VMs that noted an outage of the store once and then tell nobody of removals.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        running.outage(OUTAGE).await;
        clock::sleep(SETTLED).await;
        let server = running::name(7);
        running.store.append(&server, None);
        running.check_known(&server, KNOWN_WITHIN).await;
    });
}

#[test]
fn an_entry_that_expired_in_an_outage_ends_on_all_vms_with_the_grace_period() {
    // Guards against a grace period whose end only the VMs that read the store notice.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        let server = running::name(7);
        running.store.append(&server, None);
        running.outage(OUTAGE).await;
        let limit = RETURN_NOTED + fleet::LAPSE_GRACE + KNOWN_WITHIN;
        running.check_known(&server, limit).await;
    });
}

#[test]
fn servers_whose_entries_expired_in_an_outage_get_work_on_all_vms_until_they_are_back() {
    // Guards against VMs that hear of an expired entry from another one and grant it no grace.
    running::check(lose_entries_for_a_while);
}

#[test]
fn a_vm_that_reads_the_store_no_longer_ends_no_grace_period() {
    // Guards against a VM that took the place of others in an outage, read that an entry had expired, and
    // tells all that the server is gone, though the entry has been back since.
    for vms in [200, 280, 301] {
        cluster::run(lose_entries_for_a_while(vms));
    }
}

/// All entries expire in an outage and are back 1.9 s after it. All VMs send work all the time.
async fn lose_entries_for_a_while(vms: usize) {
    let running = running::RunningVms::start(vms, 0.05).await;
    running.store.away.set(true);
    clock::sleep(OUTAGE).await;
    for number in 0..running::SERVERS {
        running.store.append(&running::name(number), None);
    }
    running.store.away.set(false);
    let server = running::name(7);
    let back_at = Instant::now();
    while back_at.elapsed() < time::Duration::from_millis(1_900) {
        clock::sleep(running::CHECK_INTERVAL).await;
        let senders = running.senders(&server).len();
        assert_eq!(senders, vms, "after {:?}", back_at.elapsed());
    }
    for number in 0..running::SERVERS {
        let entry = running::entry();
        running.store.append(&running::name(number), Some(entry));
    }
    while back_at.elapsed() < SETTLED {
        clock::sleep(running::CHECK_INTERVAL).await;
        let senders = running.senders(&server).len();
        assert_eq!(senders, vms, "after {:?}", back_at.elapsed());
    }
}

#[test]
fn a_removal_that_only_the_complete_list_shows_is_known_to_all_in_time() {
    // Guards against VMs that find a server missing from the list and tell nobody.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        let server = running::name(7);
        running.store.append(&server, None);
        running.store.trim();
        running.check_known(&server, KNOWN_WITHIN).await;
    });
}

#[test]
fn a_reply_of_another_vm_ends_no_grace_period() {
    // Guards against a VM that asks another one for state and gets removals that are not final.
    cluster::run(async {
        let asked = cluster::plane();
        let now = Instant::now();
        asked.state().note_store(false, now);
        asked.state().note_store(true, now);
        asked
            .state()
            .apply_update(cluster::update("s1", 2, None), true, now);
        let asking = cluster::plane();
        let request = catchup::state_request(&asking.state());
        let reply = catchup::state_reply(&mut asked.state(), &request);
        assert_eq!(reply.updates, []);
    });
}

#[test]
fn a_vm_that_starts_takes_no_removed_server_from_vms_that_the_store_turns_away() {
    // Guards against a fresh VM that adds servers which its complete list no longer has, since VMs that
    // know nothing newer name them.
    for stale in [1, 3, 9] {
        cluster::run(async move {
            let mut running = running::RunningVms::start_with_fresh(stale, 1, 0.05).await;
            running.store.turned_away.borrow_mut().extend(0..stale);
            clock::sleep(OUTAGE).await;
            let server = running::name(7);
            running.store.append(&server, None);
            running.start_vm(stale);
            let started = Instant::now();
            while started.elapsed() < SETTLED {
                clock::sleep(running::CHECK_INTERVAL).await;
                let senders = running.senders(&server);
                let after = started.elapsed();
                assert!(!senders.contains(&stale), "{stale} stale VMs, {after:?}");
            }
            let senders = running.senders(&server);
            assert!(senders.is_empty(), "{senders:?} of {stale} stale VMs send");
            let (known, fresh) = (running.senders(&running::name(8)), stale);
            assert_eq!(known.len(), stale + 1, "VM {fresh} knows the others");
        });
    }
}

#[test]
fn a_removal_is_known_in_time_while_the_store_turns_other_vms_away() {
    // Guards against VMs that the store answers and that defer removals, since another VM reports an
    // outage.
    for vms in [3, 7, 9, 78] {
        cluster::run(async move {
            let running = running::RunningVms::start(vms, 0.05).await;
            for round in 0..6 {
                let refused = (0..vms).filter(|number| (number + round) % 3 == 0);
                let refused: std::collections::BTreeSet<_> = refused.collect();
                running.store.turned_away.replace(refused.clone());
                clock::sleep(time::Duration::from_millis(170 * (1 + round as u64))).await;
                let server = running::name(round);
                running.store.append(&server, None);
                let no_sender = || {
                    let senders = running.senders(&server);
                    senders.iter().all(|number| refused.contains(number))
                };
                let took = running::wait_until(no_sender, KNOWN_WITHIN).await;
                assert!(took <= KNOWN_WITHIN, "{vms} VMs, round {round}");
                running.store.turned_away.borrow_mut().clear();
                clock::sleep(time::Duration::from_millis(3_300)).await;
            }
        });
    }
}

#[test]
fn an_outage_that_loses_no_heartbeat_defers_no_removal() {
    // Guards against a single failed call after which removals are deferred for longer than servers that
    // leave may get work.
    cluster::run(async {
        let plane = cluster::plane();
        plane.state().note_store(true, Instant::now());
        clock::sleep(time::Duration::from_millis(600)).await;
        plane.state().note_store(false, Instant::now());
        clock::sleep(time::Duration::from_millis(400)).await;
        plane.state().note_store(true, Instant::now());
        let now = Instant::now();
        let change = plane
            .state()
            .apply_update(cluster::update("s1", 2, None), true, now);
        assert!(
            matches!(change, fleet::FleetChange::Leaves(_)),
            "{change:?}"
        );
    });
}
