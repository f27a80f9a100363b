//! The store comes back from an older copy of itself: what it has acknowledged since is gone, and
//! its offsets are given out again. VMs that kept running go by what they know.

mod cluster;

use std::time;

use cluster::{log_store, lossy, running};
use exchange::{link, message, system};
use tokio::time::{self as clock, Instant};

/// Half of the time that the users allow until a server that leaves gets no more work.
const KNOWN_WITHIN: time::Duration = time::Duration::from_millis(1_500);
/// Time until a configuration must be in force.
const IN_FORCE_WITHIN: time::Duration = time::Duration::from_secs(3);
/// Time for which the store is away before it comes back from a copy.
const AWAY: time::Duration = time::Duration::from_millis(500);
/// The same, so short that most VMs make no call meanwhile.
const AWAY_UNNOTICED: time::Duration = time::Duration::from_millis(20);
/// Time that servers and operator take to write again what they wrote.
const WRITTEN_AGAIN: time::Duration = time::Duration::from_millis(1_900);
/// Time after which all VMs know a server that has registered.
const ARRIVED: time::Duration = time::Duration::from_secs(20);
/// Time after which a server is in every copy from which the store may come back.
const LONG_KNOWN: time::Duration = time::Duration::from_secs(31);
/// Time after which entries of servers that no longer run have expired.
const EXPIRED: time::Duration = time::Duration::from_secs(10);

/// Runs `check` again and again for `duration`.
async fn always(duration: time::Duration, check: impl Fn()) {
    let from = Instant::now();
    while from.elapsed() < duration {
        check();
        clock::sleep(running::CHECK_INTERVAL).await;
    }
}

#[test]
fn records_at_offsets_given_out_again_are_not_skipped() {
    // Guards against a VM that goes on reading at an offset of an earlier era and never reads what
    // was written before it meanwhile.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        let copy = running.store.copy();
        for _ in 0..3 {
            let entry = running::entry();
            running.store.append(&running::name(1), Some(entry));
        }
        clock::sleep(KNOWN_WITHIN).await;
        let server = running::name(7);
        let write = |store: &log_store::LogStore| {
            store.append(&server, Some(running::leaving()));
            for _ in 0..5 {
                store.append(&running::name(1), Some(running::entry()));
            }
        };
        running.drill_and(copy, AWAY_UNNOTICED, write).await;
        running.check_known(&server, KNOWN_WITHIN).await;
    });
}

#[test]
fn a_server_that_left_gets_no_work_though_the_copy_lists_it() {
    // Guards against work for servers that leave or are gone, whose records the copy lacks, on VMs
    // that know better.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        let copy = running.store.copy();
        let (leaves, removed, both) = (running::name(7), running::name(8), running::name(9));
        running.store.append(&leaves, Some(running::leaving()));
        running.store.append(&removed, None);
        running.store.append(&both, Some(running::leaving()));
        running.store.append(&both, None);
        clock::sleep(KNOWN_WITHIN).await;
        running.drill(copy, AWAY).await;
        let no_senders = || {
            for server in [&leaves, &removed, &both] {
                assert_eq!(running.senders(server), [0; 0], "{server}");
            }
        };
        always(WRITTEN_AGAIN, no_senders).await;
        running.store.append(&leaves, Some(running::leaving()));
        always(time::Duration::from_secs(2), no_senders).await;
        running.store.append(&removed, None);
        running.store.append(&both, None);
        always(EXPIRED, no_senders).await;
        assert_eq!(running.senders(&running::name(10)).len(), vms);
    });
}

#[test]
fn a_server_that_the_copy_lists_gets_work_again_if_its_entry_does_not_expire() {
    // Guards against a server that runs, was gone from the store for a while, and gets no work for
    // ever after a restore.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        let server = running::name(7);
        running.store.append(&server, None);
        clock::sleep(KNOWN_WITHIN).await;
        running.store.append(&server, Some(running::entry()));
        let copy = running.store.copy();
        running.drill(copy, AWAY_UNNOTICED).await;
        clock::sleep(EXPIRED).await;
        assert_eq!(running.senders(&server).len(), vms);
    });
}

#[test]
fn a_vm_that_starts_after_a_restore_is_told_what_the_copy_lost() {
    // Guards against a VM that knows servers from the copy alone.
    running::check(|vms| async move {
        let mut running = running::RunningVms::start_with_fresh(vms, 2, 0.05).await;
        let copy = running.store.copy();
        let (leaves, removed) = (running::name(7), running::name(8));
        running.store.append(&leaves, Some(running::leaving()));
        running.store.append(&removed, None);
        clock::sleep(KNOWN_WITHIN).await;
        running.drill(copy, AWAY).await;
        running.start_vm(vms);
        clock::sleep(time::Duration::from_millis(700)).await;
        running.start_vm(vms + 1);
        clock::sleep(KNOWN_WITHIN).await;
        for server in [&leaves, &removed] {
            running.check_known(server, KNOWN_WITHIN).await;
        }
        assert_eq!(running.senders(&running::name(10)).len(), vms + 2);
    });
}

/// Starts VMs, and a server that the returned copy of the store lacks, and waits until all VMs know
/// it.
async fn register_after_copy(
    vms: usize,
) -> (running::RunningVms, log_store::StoreContents, String) {
    let running = running::RunningVms::start(vms, 0.05).await;
    let copy = running.store.copy();
    let server = running::name(running::SERVERS);
    running.store.append(&server, Some(running::entry()));
    let all_know = || running.senders(&server).len() == vms;
    running::wait_until(all_know, ARRIVED).await;
    (running, copy, server)
}

#[test]
fn a_server_whose_entry_the_copy_lacks_gets_work_until_it_is_written_again() {
    // Guards against the loss of servers that registered after the copy was made.
    running::check(|vms| async move {
        let (running, copy, server) = register_after_copy(vms).await;
        assert_eq!(running.senders(&server).len(), vms);
        running.drill(copy, AWAY).await;
        let all_send = || assert_eq!(running.senders(&server).len(), vms);
        always(WRITTEN_AGAIN, all_send).await;
        running.store.append(&server, Some(running::entry()));
        always(EXPIRED, all_send).await;
    });
}

#[test]
fn a_server_written_again_only_after_a_second_restore_gets_work_all_the_while() {
    // Guards against a grace period that ends although its server has had no time to write its
    // entry again since the last restore.
    running::check(|vms| async move {
        let (running, copy, server) = register_after_copy(vms).await;
        let all_send = || assert_eq!(running.senders(&server).len(), vms);
        running.drill(copy.clone(), AWAY).await;
        always(time::Duration::from_millis(1_500), all_send).await;
        running.drill(copy, AWAY).await;
        always(WRITTEN_AGAIN, all_send).await;
        running.store.append(&server, Some(running::entry()));
        always(EXPIRED, all_send).await;
    });
}

#[test]
fn a_server_that_registers_after_it_was_given_up_gets_work_at_once() {
    // Guards against a server that was removed since no list named it, not since its entry was
    // removed, and that VMs do not trust when a later copy lists it.
    running::check(|vms| async move {
        let (running, copy, server) = register_after_copy(vms).await;
        running.drill(copy, AWAY).await;
        running.known_after(&server, EXPIRED).await;
        assert_eq!(running.senders(&server), [0; 0]);
        let all_know = || running.senders(&server).len() == vms;
        let copy = running.store.copy();
        let register = |store: &log_store::LogStore| store.append(&server, Some(running::entry()));
        running.drill_and(copy, AWAY_UNNOTICED, register).await;
        running::wait_until(all_know, KNOWN_WITHIN).await;
        // At 300 VMs a few learn of an arrival by comparing lists.
        assert!(running.senders(&server).len() > vms / 2);
    });
}

#[test]
fn a_server_whose_entry_the_copy_lacks_is_removed_if_it_is_not_written_again() {
    // Guards against a server that is gone and that no record of the later era names.
    running::check(|vms| async move {
        let (running, copy, server) = register_after_copy(vms).await;
        assert_eq!(running.senders(&server).len(), vms);
        running.drill(copy, AWAY).await;
        let limit = time::Duration::from_millis(2_700) + KNOWN_WITHIN;
        running.check_known(&server, limit).await;
    });
}

/// A server leaves just before a restore and another one just after it, when all VMs have known them
/// for a while.
async fn leave_in_different_eras(vms: usize, known_for: time::Duration) {
    let running = running::RunningVms::start(vms, 0.2).await;
    clock::sleep(known_for).await;
    let copy = running.store.copy();
    let (before, after) = (running::name(7), running::name(8));
    running.store.append(&before, Some(running::leaving()));
    clock::sleep(time::Duration::from_millis(400)).await;
    running.drill(copy, time::Duration::from_millis(50)).await;
    let known_before = running.senders(&before).len() < vms;
    running.store.append(&after, None);
    let took = running.known_after(&after, KNOWN_WITHIN).await;
    assert!(took <= KNOWN_WITHIN, "{:?}", running.senders(&after));
    if known_before {
        let took = running.known_after(&before, KNOWN_WITHIN).await;
        assert!(took <= KNOWN_WITHIN, "{:?}", running.senders(&before));
    }
}

#[test]
fn servers_that_leave_while_vms_are_in_different_eras_get_no_work() {
    // Guards against notices and lists that VMs in an earlier or a later era pass over.
    running::check(|vms| leave_in_different_eras(vms, time::Duration::ZERO));
}

#[test]
fn long_known_servers_that_leave_in_different_eras_get_no_work() {
    // The same with servers that are in every copy from which the store may come back.
    running::check(|vms| leave_in_different_eras(vms, LONG_KNOWN));
}

/// The evacuated domains that VMs apply, without duplicates.
fn evacuated(running: &running::RunningVms) -> Vec<Vec<String>> {
    let vms = running.vms.vms.iter();
    let mut sets: Vec<Vec<String>> = vms
        .map(|vm| vm.plane.state().fleet.evacuations().all())
        .collect();
    sets.sort();
    sets.dedup();
    sets
}

fn evacuation(domain: &str, evacuated: bool) -> log_store::OperatorRecord {
    log_store::OperatorRecord::Evacuation(domain.to_owned(), evacuated)
}

#[test]
fn an_evacuated_domain_stays_evacuated_though_the_copy_lacks_it() {
    // Guards against work for a domain that the operator evacuates, until the operator has written
    // that again.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        let copy = running.store.copy();
        running.store.operate(evacuation("d-1", true));
        clock::sleep(KNOWN_WITHIN).await;
        assert_eq!(evacuated(&running), [["d-1"]]);
        running.drill(copy, AWAY).await;
        always(WRITTEN_AGAIN, || assert_eq!(evacuated(&running), [["d-1"]])).await;
        running.store.operate(evacuation("d-1", true));
        always(EXPIRED, || assert_eq!(evacuated(&running), [["d-1"]])).await;
        running.store.operate(evacuation("d-1", false));
        clock::sleep(KNOWN_WITHIN).await;
        assert_eq!(evacuated(&running), [[""; 0]]);
    });
}

#[test]
fn an_evacuation_at_an_offset_given_out_again_is_in_force_in_time() {
    // Guards against a VM that compares positions of different eras and takes the later set for the
    // older one.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        let copy = running.store.copy();
        for evacuated in [true, false, true, false] {
            running.store.operate(evacuation("d-1", evacuated));
        }
        clock::sleep(KNOWN_WITHIN).await;
        let write = |store: &log_store::LogStore| {
            store.operate(evacuation("d-2", true));
            for evacuated in [true, false, true, false] {
                store.operate(evacuation("d-3", evacuated));
            }
        };
        running.drill_and(copy, AWAY_UNNOTICED, write).await;
        clock::sleep(KNOWN_WITHIN).await;
        assert_eq!(evacuated(&running), [["d-2"]]);
    });
}

fn document(version: u64) -> log_store::OperatorRecord {
    log_store::OperatorRecord::Document(version.to_string().into())
}

fn versions(running: &running::RunningVms) -> Vec<u64> {
    let vms = running.vms.vms.iter();
    vms.map(|vm| vm.plane.state().version()).collect()
}

/// Whether this configuration is in force on all of the first VMs.
fn in_force(running: &running::RunningVms, vms: usize, version: u64) -> bool {
    versions(running)[..vms]
        .iter()
        .all(|known| *known == version)
}

#[test]
fn a_configuration_at_an_offset_given_out_again_is_in_force_in_time() {
    // Guards against a VM that skips a configuration at an offset that was given out again.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        let copy = running.store.copy();
        for version in [5, 6, 7] {
            running.store.operate(document(version));
        }
        running::wait_until(|| in_force(&running, vms, 7), IN_FORCE_WITHIN).await;
        let write = |store: &log_store::LogStore| {
            store.operate(document(9));
            for evacuated in [true, false, true, false] {
                store.operate(evacuation("d-1", evacuated));
            }
        };
        running.drill_and(copy, AWAY_UNNOTICED, write).await;
        running::wait_until(|| in_force(&running, vms, 9), IN_FORCE_WITHIN).await;
        assert!(in_force(&running, vms, 9), "{:?}", versions(&running));
    });
}

#[test]
fn a_newer_configuration_stays_in_force_though_the_copy_has_an_older_one() {
    // Guards against a VM that takes an older configuration from the copy, or that starts with it
    // and is not told of the newer one.
    running::check(|vms| async move {
        let mut running = running::RunningVms::start_with_fresh(vms, 1, 0.05).await;
        let copy = running.store.copy();
        for version in [5, 6, 7] {
            running.store.operate(document(version));
        }
        running::wait_until(|| in_force(&running, vms, 7), IN_FORCE_WITHIN).await;
        running.drill(copy, AWAY).await;
        running.start_vm(vms);
        let from = Instant::now();
        while from.elapsed() < IN_FORCE_WITHIN {
            assert!(in_force(&running, vms, 7), "{:?}", versions(&running));
            clock::sleep(running::CHECK_INTERVAL).await;
        }
        assert!(in_force(&running, vms + 1, 7), "{:?}", versions(&running));
    });
}

#[test]
fn addresses_that_the_copy_lost_are_registered_again() {
    // Guards against VMs without seeds that find nobody in the store.
    cluster::run(async {
        let running = running::RunningVms::start(9, 0.0).await;
        let mut copy = running.store.copy();
        let registered = std::mem::take(&mut copy.vms);
        assert!(!registered.is_empty());
        running.drill(copy, AWAY_UNNOTICED).await;
        clock::sleep(time::Duration::from_secs(3)).await;
        assert_eq!(running.store.contents.borrow().vms, registered);
    });
}

#[test]
fn the_number_of_the_system_that_the_copy_lost_is_written_again() {
    // Guards against a VM that starts after a restore, finds no number and founds another system.
    cluster::run(async {
        let running = running::RunningVms::start(9, 0.0).await;
        let mut copy = running.store.copy();
        copy.system = None;
        running.drill(copy, AWAY).await;
        clock::sleep(time::Duration::from_secs(2)).await;
        let system = running.store.contents.borrow().system;
        assert_eq!(system, Some(cluster::system_id(cluster::SYSTEM)));
    });
}

#[test]
fn vms_follow_the_number_of_the_system_in_the_restored_store() {
    // Guards against a system that splits in two, because a VM that starts after a restore has
    // written another number before the others wrote theirs again.
    cluster::run(async {
        let running = running::RunningVms::start(9, 0.0).await;
        let other = cluster::system_id(cluster::SYSTEM + 1);
        let mut copy = running.store.copy();
        copy.system = Some(other);
        running.drill(copy, AWAY).await;
        clock::sleep(time::Duration::from_secs(4)).await;
        for vm in &running.vms.vms {
            assert_eq!(vm.plane.state().system, system::SystemBelief::Known(other));
            let state = vm.plane.state();
            assert_eq!(state.peers.alive_count(Instant::now()), 9);
        }
    });
}

#[test]
fn a_vm_that_joined_others_writes_their_number_and_not_its_own() {
    // Guards against a VM that starts while the store is away, joins the others, and founds another
    // system when the store comes back from a copy without a number.
    cluster::run(async {
        let mut running = running::RunningVms::start_with_fresh(3, 1, 0.0).await;
        let mut copy = running.store.copy();
        copy.system = None;
        running.store.away.set(true);
        running.vms.vms[3].plane.state().system = system::SystemBelief::Unasked;
        running.start_vm(3);
        clock::sleep(time::Duration::from_secs(2)).await;
        let told = system::SystemBelief::Told(cluster::system_id(cluster::SYSTEM));
        assert_eq!(running.vms.vms[3].plane.state().system, told);
        running.store.restore(copy);
        running.store.away.set(false);
        clock::sleep(time::Duration::from_secs(2)).await;
        let known = system::SystemBelief::Known(cluster::system_id(cluster::SYSTEM));
        for vm in &running.vms.vms {
            assert_eq!(vm.plane.state().system, known);
        }
    });
}

#[test]
fn a_notice_of_an_earlier_era_reaches_a_vm_that_read_the_copy() {
    // Guards against a notice that is late and loses against an entry of the copy, though the entry
    // is older.
    cluster::run(async {
        let plane = cluster::plane();
        let now = Instant::now();
        let key = plane.state().fleet.find("s1").expect("s1");
        let mut listed = cluster::update("s1", 1, Some(cluster::entry("app", 1, "a")));
        listed.position.era = 2;
        plane.state().note_era(2, "store", now);
        plane.state().apply_update(listed, true, now);
        let server = {
            let state = plane.state();
            state.fleet.server(key).expect("s1").incarnation_hash()
        };
        let datagram = message::PeerDatagram {
            name: String::from("vm-2"),
            domain: String::from("b"),
            sender: 7,
            sequence: 1,
            incarnation: 1,
            entry_address: String::from("10.1.0.2:80"),
            link_address: String::from("10.1.0.2:81"),
            system: cluster::SYSTEM,
            notices: vec![message::NoticeItem {
                server,
                offset: 9,
                ..message::NoticeItem::default()
            }],
            ..message::PeerDatagram::default()
        };
        link::take_datagram(&plane, &datagram);
        let state = plane.state();
        assert!(!state.fleet.server(key).expect("s1").takes_work(now));
    });
}

#[test]
fn a_store_that_comes_back_twice_revives_no_server() {
    // Guards against a VM that remembers what the copy lost for one era only.
    running::check(|vms| async move {
        let running = running::RunningVms::start(vms, 0.05).await;
        let copy = running.store.copy();
        let (leaves, removed) = (running::name(7), running::name(8));
        running.store.append(&leaves, Some(running::leaving()));
        running.store.append(&removed, None);
        clock::sleep(KNOWN_WITHIN).await;
        running.drill(copy.clone(), AWAY).await;
        clock::sleep(time::Duration::from_secs(1)).await;
        running.drill(copy, AWAY).await;
        always(2 * WRITTEN_AGAIN, || {
            for server in [&leaves, &removed] {
                assert_eq!(running.senders(server), [0; 0], "{server}");
            }
        })
        .await;
    });
}

#[test]
fn a_vm_that_reads_only_later_learns_of_the_era_from_others() {
    // Guards against a VM that is behind: it hears of the later era before it reads the store.
    cluster::run(async {
        let running = running::RunningVms::start(30, 0.0).await;
        let copy = running.store.copy();
        running.drill(copy, AWAY).await;
        clock::sleep(KNOWN_WITHIN).await;
        let later = |vm: &lossy::LossyVm| vm.plane.state().era() == 2;
        assert!(running.vms.vms.iter().all(later));
    });
}
