//! Tests of which VMs receive which datagrams as the number of VMs grows.

mod cluster;

use std::{collections, time};

use exchange::{announce, catchup, link, message, peers, recipients};
use tokio::time::Instant;

/// Failure domains of these VMs.
const DOMAINS: usize = 9;

/// A datagram that VM `number` sends, with its name and addresses.
fn datagram(number: usize, sequence: u64) -> message::PeerDatagram {
    message::PeerDatagram {
        sender: number as u64 + 1,
        name: cluster::vm_name(number),
        domain: format!("d-{}", number % DOMAINS),
        incarnation: 1,
        sequence,
        stage: message::VmStage::Serving.into(),
        entry_address: String::from("10.0.0.1:80"),
        link_address: cluster::vm_address(number).to_string(),
        system: cluster::SYSTEM,
        ..message::PeerDatagram::default()
    }
}

/// The peer table of VM `own` among `vms` VMs, without those in `unknown`.
fn table(own: usize, vms: usize, unknown: &[usize], now: Instant) -> peers::PeerTable {
    let mut table = peers::PeerTable::new(&format!("d-{}", own % DOMAINS));
    for number in (0..vms).filter(|number| *number != own && !unknown.contains(number)) {
        table.take(&datagram(number, 1), now);
    }
    table
}

#[test]
fn up_to_a_hundred_vms_form_a_full_mesh() {
    cluster::run(async {
        let now = Instant::now();
        for vms in [2, 30, 100] {
            let table = table(0, vms, &[], now);
            assert_eq!(recipients::regular(&table, 3, now).len(), vms - 1);
            assert_eq!(
                recipients::relays(&table, &cluster::vm_name(0), 3, now),
                None
            );
        }
    });
}

#[test]
fn larger_clusters_send_to_other_domains_in_turns() {
    // Guards against traffic that grows with the square of the number of VMs: with a full mesh of
    // 300 VMs each received 1.4 MB a second and used 42 % of a core for it.
    cluster::run(async {
        let now = Instant::now();
        let table = table(0, 410, &[], now);
        let mut received = collections::BTreeMap::<_, u64>::new();
        for turn in 0..recipients::FAR_TURNS {
            let regular = recipients::regular(&table, turn, now);
            assert!(
                regular.len() < 150,
                "{} recipients in one turn",
                regular.len()
            );
            for address in regular {
                *received.entry(address).or_default() += 1;
            }
        }
        for number in 1..410 {
            let times = if number % DOMAINS == 0 {
                recipients::FAR_TURNS
            } else {
                1
            };
            assert_eq!(
                received.get(&cluster::vm_address(number)),
                Some(&times),
                "VM {number}"
            );
        }
    });
}

#[test]
fn vms_of_other_domains_get_a_datagram_each_round_despite_silent_vms() {
    // Guards against VMs that count as silent because other VMs come and go.
    cluster::run(async {
        let vms = 300;
        let mut table = table(0, vms, &[], Instant::now());
        // Consecutive turns in which a VM was alive and not among the recipients.
        let mut missed = collections::BTreeMap::<_, u64>::new();
        for turn in 0..40 {
            tokio::time::advance(time::Duration::from_millis(600)).await;
            let now = Instant::now();
            // Each VM sends for twenty turns and is silent for as many.
            for number in (1..vms).filter(|number| (number * 7 + turn) % 40 >= 20) {
                table.take(&datagram(number, 2 + turn as u64), now);
            }
            let regular = recipients::regular(&table, turn as u64, now);
            for (name, peer) in table.all() {
                let missed = missed.entry(name.clone()).or_default();
                let counts = peer.is_alive(now) && !regular.contains(&peer.link_address);
                *missed = if counts { *missed + 1 } else { 0 };
                assert!(*missed < recipients::FAR_TURNS, "{name}: {missed} turns");
            }
        }
    });
}

#[test]
fn a_silent_vm_of_the_own_domain_is_not_offered_after_two_seconds() {
    // Guards against callers that are sent to a VM which has been dead for five seconds. With many
    // VMs each sends seldom, and a VM counts as alive for three intervals; the interval had no
    // upper bound as the number of VMs grew.
    cluster::run(async {
        let now = Instant::now();
        for vms in [7, 60, 100, 128, 129, 300, 410, 1_000] {
            let table = table(0, vms, &[], now);
            let later = now + time::Duration::from_secs(2);
            let named = table.all().filter(|(_, peer)| peer.serves(later));
            let near = named.filter(|(_, peer)| peer.domain == "d-0");
            assert_eq!(near.count(), 0, "{vms} VMs");
        }
    });
}

#[test]
fn updates_reach_all_vms_through_relays() {
    // Load: 3,000 servers, a hundred of which join, leave or are removed each second. If the VMs
    // that read them sent them to all others, each would send 5 MB a second.
    cluster::run(async {
        let now = Instant::now();
        for vms in [130, 200, 300, 410] {
            for (reader, turn) in [(0, 0), (7, 5), (vms / 2, 91), (vms - 1, 12_345)] {
                let own = table(reader, vms, &[], now);
                let relays =
                    recipients::relays(&own, &cluster::vm_name(reader), turn, now).expect("large");
                assert!(relays.len() < 25, "{} relays", relays.len());
                let mut reached: collections::BTreeSet<_> = relays.iter().copied().collect();
                for relay in 0..vms {
                    if !relays.contains(&cluster::vm_address(relay)) {
                        continue;
                    }
                    // The relay does not know one of the VMs yet.
                    let unknown = [(relay + 3) % vms];
                    let table = table(relay, vms, &unknown, now);
                    let group = recipients::relay_group(&table, &cluster::vm_name(relay), now);
                    assert!(group.len() < 26, "{} recipients of one relay", group.len());
                    reached.extend(group);
                }
                let missed = (0..vms).filter(|number| {
                    *number != reader && !reached.contains(&cluster::vm_address(*number))
                });
                // Each relay may miss the VM that it does not know; the second sending reaches it.
                assert!(missed.count() <= relays.len(), "{vms} VMs, reader {reader}");
            }
        }
    });
}

#[test]
fn a_new_vm_is_answered_without_a_storm_of_datagrams() {
    // Guards against a storm of datagrams when 300 VMs start: each announced itself to all others
    // whenever it first received a datagram from one, 27 million datagrams in all, although only
    // that one VM had to learn something.
    cluster::run(async {
        let plane = cluster::plane();
        let first = link::take_datagram(&plane, &datagram(5, 1));
        assert_eq!(
            first,
            Some(cluster::vm_address(5)),
            "a new VM gets an answer"
        );
        let second = link::take_datagram(&plane, &datagram(5, 2));
        assert_eq!(second, None);
        let stale = link::take_datagram(&plane, &datagram(5, 2));
        assert_eq!(stale, None);
        tokio::time::advance(time::Duration::from_secs(9)).await;
        let back = link::take_datagram(&plane, &datagram(5, 3));
        assert_eq!(
            back,
            Some(cluster::vm_address(5)),
            "a VM that was silent gets an answer"
        );
    });
}

#[test]
fn a_state_reply_carries_only_differences() {
    // Guards against VMs that send each other their complete state, 300 KB with 300 VMs and 3,000
    // servers, whenever hundreds of servers change each second and no two VMs have the same view.
    // The traffic between failure domains cost 0.65 of a day's worth.
    cluster::run(async {
        let now = Instant::now();
        let (here, there) = (cluster::plane(), cluster::plane());
        for number in 0..3_000 {
            let entry = cluster::entry("llm", 9, "a");
            let update = cluster::update(&format!("i-{number}"), 10, Some(entry));
            here.state().apply_update(update.clone(), false, now);
            there.state().apply_update(update, false, now);
        }
        let mut leaving = cluster::entry("llm", 9, "a");
        leaving.leaving = true;
        let changes = [
            cluster::update("i-5", 20, Some(leaving)),
            cluster::update("i-6", 21, None),
            cluster::update("i-new", 22, Some(cluster::entry("llm", 8, "a"))),
        ];
        for update in &changes {
            there.state().apply_update(update.clone(), false, now);
        }
        let request = catchup::state_request(&here.state());
        let reply = catchup::state_reply(&mut there.state(), &request);
        let sent: collections::BTreeSet<_> = reply.updates.iter().map(|item| &item.id).collect();
        assert_eq!(sent.len(), 3, "{sent:?}");
        for item in &reply.updates {
            let update = item.decode_update().expect("valid update");
            here.state().apply_update(update, false, now);
        }
        let hash = |plane: &cluster::TestPlane| plane.state().fleet.standing_hash();
        assert_eq!(hash(&here), hash(&there));
        let request = catchup::state_request(&there.state());
        assert!(
            catchup::state_reply(&mut here.state(), &request)
                .updates
                .is_empty()
        );
        let nothing = message::StateRequest::default();
        let complete = catchup::state_reply(&mut here.state(), &nothing);
        assert_eq!(
            complete.updates.len(),
            3_000 + 4,
            "complete state for a VM that knows nothing"
        );
    });
}

#[test]
fn overtaken_updates_are_applied() {
    // Guards against a server that leaves but gets work for seconds on some VMs. A VM sends several
    // datagrams with updates at once, two of them arrive in reverse order, and the older one is
    // dropped with its updates.
    cluster::run(async {
        let plane = cluster::plane();
        let item = |id, offset| {
            let entry = cluster::entry("llm", 9, "a");
            message::UpdateItem::from(&cluster::update(id, offset, Some(entry)))
        };
        let (mut first, mut second) = (datagram(5, 1), datagram(5, 2));
        first.updates = vec![item("i-1", 10)];
        second.updates = vec![item("i-2", 11)];
        link::take_datagram(&plane, &second);
        link::take_datagram(&plane, &first);
        for id in ["i-1", "i-2"] {
            assert!(plane.state().fleet.find(id).is_some(), "{id}");
        }
    });
}

#[test]
fn state_is_requested_from_a_vm_with_the_most_common_view() {
    // Guards against a VM that missed updates and sends requests again and again without learning
    // them. The VMs of its failure domain were cut off with it, and it requested the difference
    // from any VM with a different view, preferring these.
    cluster::run(async {
        let now = Instant::now();
        let mut table = peers::PeerTable::new("d-0");
        for number in 1..60 {
            let mut datagram = datagram(number, 1);
            datagram.standing_hash = match number % DOMAINS {
                0 => number as u64,
                8 if number > 40 => 7,
                _ => 1_000,
            };
            table.take(&datagram, now);
        }
        let others = || table.all().map(|(_, peer)| peer).collect::<Vec<_>>();
        let sources = catchup::preferred_sources(others(), "d-0");
        assert!(sources.iter().all(|peer| peer.standing_hash == 1_000));
        let sources = catchup::preferred_sources(others(), "d-3");
        assert!(sources.iter().all(|peer| peer.domain == "d-3"));
        assert_eq!(catchup::preferred_sources(Vec::new(), "d-3").len(), 0);
    });
}

#[test]
fn updates_do_not_postpone_regular_datagrams() {
    // Guards against VMs that are missing in lookups because updates postpone their regular
    // datagrams. Of 300 VMs, those that read the store or relay updates send to a few others 450
    // times a second, and each sending restarted the announce interval.
    cluster::run(async {
        let plane = cluster::plane();
        for number in 1..300 {
            link::take_datagram(&plane, &datagram(number, 1));
        }
        let began = Instant::now();
        let (mut regular, mut due) = (0, began);
        while began.elapsed() < time::Duration::from_secs(12) {
            let cause = announce::wait_for_cause(&plane, true, due).await;
            due = announce::next_regular(&plane.state(), cause, due);
            regular += usize::from(cause == announce::AnnounceCause::Regular);
        }
        assert!((20..=80).contains(&regular), "{regular} in 12 s");
    });
}

#[test]
fn a_lost_notice_is_recovered_within_two_seconds() {
    // Guards against a server that leaves but gets work for five seconds from one VM of 300. Both
    // datagrams with the notice are lost, and the VM requested differences only every 3.3 s at
    // 3,000 servers.
    for servers in [44, 600, 3_000, 4_100] {
        let found = catchup::DIFFERENCE_DELAY + catchup::request_interval(servers);
        assert!(
            found < time::Duration::from_millis(2_000),
            "{servers}: {found:?}"
        );
    }
}

#[test]
fn a_late_datagram_of_an_earlier_process_is_stale() {
    // Guards against a restarted VM that looks silent to others because its sequence numbers start
    // again.
    let now = Instant::now();
    let mut table = peers::PeerTable::new("d-0");
    let before = datagram(5, 5_000);
    let mut after = message::PeerDatagram {
        sender: 1_005,
        incarnation: 2,
        ..datagram(5, 1)
    };
    let mut late = message::PeerDatagram {
        name: String::new(),
        sequence: 5_001,
        ..before.clone()
    };
    assert_eq!(table.take(&before, now), peers::PeerChange::Changed);
    table.take(&after, now);
    assert_eq!(table.take(&late, now), peers::PeerChange::Stale);
    after.sequence = 2;
    assert_eq!(table.take(&after, now), peers::PeerChange::Same);
    late.sequence = 5_002;
    assert_eq!(table.take(&late, now), peers::PeerChange::Stale);
}
