//! Servers that start again under the name that they had.

mod world;

use std::{collections, time};

use exchange::{catalog, fleet, port, room, server, update};
use tokio::time::Instant;
use world::ServerScript;

const HISTORIES: u64 = 2_000;
const GAP: time::Duration = time::Duration::from_millis(40);

fn born(millis: u64) -> update::StartTime {
    update::StartTime::from_millis(millis)
}

fn entry(number: u8, millis: u64, leaving: bool) -> update::ServerEntry {
    let mut entry = world::entry("llm", number, "a");
    entry.started_at = born(millis);
    entry.leaving = leaving;
    entry
}

/// How the newest incarnation of one name stands, from all words that there are: the greatest birth
/// counts; it is gone if the newest of its words and of the ends is an end; it leaves if any of its
/// words said so.
fn oracle(words: &[update::ServerUpdate]) -> Option<(update::StartTime, server::ServerStanding)> {
    let entries = || {
        words
            .iter()
            .filter_map(|word| Some((word.offset, word.entry.as_ref()?)))
    };
    let newest = entries().map(|(_, entry)| entry.started_at).max()?;
    let own = || entries().filter(|(_, entry)| entry.started_at == newest);
    let written = own().map(|(offset, _)| offset).max()?;
    let ends = words.iter().filter(|word| word.entry.is_none());
    let ended = ends.map(|word| word.offset).max();
    let standing = if ended.is_some_and(|ended| ended > written) {
        server::ServerStanding::Gone
    } else if own().any(|(_, entry)| entry.leaving) {
        server::ServerStanding::Leaving
    } else {
        server::ServerStanding::Ready
    };
    Some((newest, standing))
}

#[test]
fn vms_agree_on_the_newest_incarnation_whatever_overtakes_what() {
    // Symptom: one VM sends work to an engine that left, or none to one that is back.
    // Sequence: words on two or three incarnations of a name come late, twice and in any order, among
    // them heartbeats of an earlier incarnation that were written after the later one's first.
    // Cause: the store's order taken for the order of the incarnations, or one record for both.
    world::run(async {
        world::histories(HISTORIES, |u| {
            let now = Instant::now();
            let first = update::ServerUpdate {
                id: String::from("e1"),
                offset: 1,
                entry: Some(entry(1, 1_000, false)),
            };
            let mut words = vec![first.clone()];
            for offset in 2..u.int_in_range(3..=9)? {
                let named = u.ratio(3, 4)?;
                let birth = 1_000 * u.int_in_range(1..=3)?;
                let entry = named.then_some(entry(1, birth, u.ratio(1, 4)?));
                words.push(world::news("e1", offset, entry));
            }
            let mut hashes = collections::BTreeSet::new();
            for _ in 0..2 {
                let mut order: Vec<_> = words.iter().chain(&words).collect();
                for last in (1..order.len()).rev() {
                    let other = u.int_in_range(0..=last)?;
                    order.swap(last, other);
                }
                let mut fleet = fleet::ServerFleet::default();
                fleet.take_news(&first, None, now);
                for word in order {
                    fleet.take_news(word, None, now);
                }
                let record = fleet.server(fleet.find("e1").expect("known"));
                let record = record.expect("known");
                assert_eq!(Some((record.born, record.standing)), oracle(&words));
                let taking = fleet.ready("llm", now).count();
                assert!(taking <= 1, "one incarnation takes work");
                hashes.insert(fleet.standing_hash());
            }
            assert_eq!(hashes.len(), 1, "VMs that know the same say the same");
            Ok(())
        });
    });
}

#[test]
fn nothing_of_the_earlier_incarnation_is_believed_of_the_later() {
    // Symptom: an engine that is back gets no work for as long as the system runs.
    // Sequence: it leaves, fails and is full; it crashes, and starts again under its name.
    // Cause: leaving is never unlearnt, and was kept by name.
    world::run(async {
        let now = Instant::now();
        let mut fleet = fleet::ServerFleet::default();
        fleet.take_news(
            &world::news("e1", 1, Some(entry(1, 1_000, false))),
            None,
            now,
        );
        let before = fleet.find("e1").expect("known");
        for _ in 0..8 {
            fleet.judge(before, server::ServerVerdict::Failed, now);
        }
        fleet.note_full(before, now + GAP);
        let load = exchange::loads::PeerLoad {
            runs: 3,
            tokens: 9_000,
            backlog: 500,
            failing: true,
        };
        for vm in 1..4 {
            fleet.take_peer_loads(vm, [(before, load)].into_iter(), now);
        }
        fleet.take_news(
            &world::news("e1", 2, Some(entry(1, 1_000, true))),
            None,
            now,
        );
        let hash = fleet.server(before).expect("known").name_hash();

        let back = world::news("e1", 3, Some(entry(1, 2_000, false)));
        let change = fleet.take_news(&back, None, now);
        let after = fleet.find("e1").expect("known");
        assert_eq!(change, fleet::FleetChange::Arrived(after));
        assert_ne!(before, after);
        let record = fleet.server(after).expect("known");
        assert!(record.takes_work(now) && !record.is_full(now) && !record.is_warm(now));
        assert!(record.failure_rate(now) < 0.01 && !fleet.is_failing(after, now));
        let loads = fleet.loads("llm", now);
        assert_eq!((loads[after].runs, loads[after].tokens), (0, 0));
        let engine = world::engine_rule();
        let room = room::MemoryRoom::measure(&fleet, "llm", &engine, &loads, now);
        assert!(
            room.moving < 1.0,
            "what ran there is over, and needs no room"
        );
        // What a VM that has not heard of it still tells is of the earlier one.
        assert_eq!(fleet.find_hash(hash), Some(before));
        let old = fleet.server(before).expect("kept");
        assert!(!old.takes_work(now) && old.superseded);
        // Nor does a late word of the earlier one end or revive anything.
        let late = world::news("e1", 9, Some(entry(1, 1_000, true)));
        assert_eq!(
            fleet.take_news(&late, None, now),
            fleet::FleetChange::Nothing
        );
        assert!(fleet.server(after).expect("known").takes_work(now));
    });
}

#[test]
fn a_late_heartbeat_does_not_bring_a_leaving_server_back() {
    // Symptom: an engine that left gets new work, and is cut with it.
    // Sequence: it says that it leaves, its entry is removed, then a heartbeat from before is written.
    // Cause: leaving forgotten with the entry.
    world::run(async {
        let now = Instant::now();
        let mut fleet = fleet::ServerFleet::default();
        let ready = || Some(entry(1, 1_000, false));
        fleet.take_news(&world::news("e1", 1, ready()), None, now);
        let leaving = Some(entry(1, 1_000, true));
        fleet.take_news(&world::news("e1", 2, leaving), None, now);
        fleet.take_news(&world::news("e1", 3, None), None, now);
        fleet.take_news(&world::news("e1", 4, ready()), None, now);
        assert_eq!(fleet.ready("llm", now).count(), 0);
    });
}

#[test]
fn a_word_that_does_not_say_which_incarnation_it_means_names_none() {
    world::run(async {
        let now = Instant::now();
        let mut fleet = fleet::ServerFleet::default();
        let told = world::news("e1", 1, Some(entry(1, 1_000, false)));
        assert!(!fleet.names_none(&told));
        fleet.take_news(&told, None, now);
        assert!(fleet.names_none(&world::news("e1", 2, Some(entry(1, 0, false)))));
        assert!(!fleet.names_none(&world::news("e2", 2, Some(entry(2, 0, false)))));
    });
}

#[test]
fn a_run_is_not_sent_for_where_its_copy_was_lost() {
    // Symptom: a caller gets the rest of another caller's answer.
    // Sequence: a stream's backup crashes and starts again under its name; then its engine dies.
    // Cause: the copy asked for by name and address, at an engine that never had it.
    world::run(async {
        let plane = world::plane();
        for server in ["e1", "e2"] {
            plane.port().tell(server, ServerScript::Breaks(9, GAP));
        }
        let now = Instant::now();
        for (number, id) in [(11, "e1"), (12, "e2")] {
            let told = world::news(id, 2, Some(entry(number, 1_000, false)));
            plane.state().take_news(told, false, now);
        }
        let ask = world::ask("a", catalog::ExchangeKind::Stream);
        let reply = plane.serve(ask).await.expect("served");
        let (other, number) = {
            let seen = plane.port().seen.borrow();
            assert!(seen[0].backup.is_some());
            if seen[0].server == "e1" {
                ("e2", 12)
            } else {
                ("e1", 11)
            }
        };
        let back = world::news(other, 3, Some(entry(number, 2_000, false)));
        plane.state().take_news(back, false, Instant::now());
        let read = world::read(world::parts(reply)).await;
        assert!(!read.whole);
        assert_eq!(read.text, world::events(9));
        assert_eq!(plane.port().seen.borrow().len(), 1);
    });
}

#[test]
fn a_run_whose_engine_is_known_to_have_started_again_goes_on_at_its_backup() {
    // Symptom: a stream stays silent until its caller leaves, though a copy of it is kept.
    // Sequence: its engine crashes behind a cut, so that no connection breaks; it starts again.
    // Cause: nothing tells the stream that its run is over.
    world::run(async {
        let plane = world::plane();
        world::start(&plane);
        let now = Instant::now();
        for (number, id) in [(11, "e1"), (12, "e2")] {
            let told = world::news(id, 2, Some(entry(number, 1_000, false)));
            plane.state().take_news(told, false, now);
            plane.port().tell(id, ServerScript::Events(100, GAP));
        }
        let ask = world::ask("a", catalog::ExchangeKind::Stream);
        let reply = plane.serve(ask).await.expect("served");
        let first = plane.port().seen.borrow()[0].server.clone();
        let number = if first == "e1" { 11 } else { 12 };
        tokio::time::sleep(GAP * 6).await;
        let back = world::news(&first, 3, Some(entry(number, 2_000, false)));
        plane.state().take_news(back, false, Instant::now());
        plane.stir();
        let read = world::read(world::parts(reply)).await;
        assert!(read.whole);
        assert_eq!(read.text, world::events(100));
        let seen = plane.port().seen.borrow();
        assert_ne!(seen[1].server, first);
        assert!(seen[1].resume.is_some());
        assert!(plane.port().copied.borrow().is_empty(), "nothing to copy");
    });
}

#[test]
fn a_kept_connection_leads_to_the_incarnation_that_it_was_made_to() {
    let target = port::ServerTarget {
        id: String::from("e1"),
        address: world::address(1),
        known_for: time::Duration::from_millis(300),
    };
    assert_eq!(target.kept(port::ReuseRule::Any), target.known_for);
    assert_eq!(target.kept(port::ReuseRule::FRESH), target.known_for);
}
