//! Tests of VMs that are cut from servers and hand their requests over to others.

mod cluster;

use std::time;

use base::outcome;
use bytes::Bytes;
use cluster::{
    PathCut, ServerScript,
    handing::{CALLS, TestVms, is_served},
};
use exchange::{
    catalog, directory, fleet, handed, handover, message, peers, reach, reply, request, state,
};
use tokio::time::Instant;

const CUTS: [PathCut; 2] = [PathCut::Refused, PathCut::Silent];

#[test]
fn requests_of_a_cut_vm_are_served_by_others_at_most_once() {
    // Guards against first tries that fail at a VM that reaches no server, and against requests that
    // run twice because two VMs serve them.
    for cut in CUTS {
        cluster::run(async move {
            let vms = TestVms::new(3);
            vms.cut(0, cut).await;
            for number in 0..30 {
                let kind = CALLS[number % 3];
                let id = format!("a{number}");
                let request = cluster::request(&id, kind);
                let serving = async { is_served(vms.planes[0].serve(request).await).await };
                let (served, ()) =
                    tokio::join!(serving, vms.pass(time::Duration::from_millis(500)));
                assert!(served, "{cut:?}, request {number} ({kind:?})");
                assert_eq!(vms.attempts(&id), 1, "{cut:?}, request {number}");
            }
            let others = vms.planes[1..].iter();
            let seen = others.map(|plane| plane.port().seen.borrow().len());
            assert!(seen.min() > Some(5), "both others serve some of them");
        });
    }
}

#[test]
fn the_request_that_finds_the_cut_is_served_too() {
    // Guards against a first try that fails only because the loss of the links is not known yet.
    for cut in CUTS {
        for kind in CALLS {
            cluster::run(async move {
                let vms = TestVms::new(2);
                vms.planes[0].port().cut.set(Some(cut));
                let serving = async {
                    let request = cluster::request("a", kind);
                    is_served(vms.planes[0].serve(request).await).await
                };
                let (served, ()) =
                    tokio::join!(serving, vms.pass(time::Duration::from_millis(900)));
                assert!(served, "{cut:?}, {kind:?}");
                assert_eq!(vms.attempts("a"), 1);
            });
        }
    }
}

#[test]
fn a_request_that_was_handed_over_is_not_handed_on() {
    // Guards against requests that go round between VMs that are all cut from the servers.
    for cut in CUTS {
        for kind in CALLS {
            cluster::run(async move {
                let vms = TestVms::new(4);
                for plane in &vms.planes {
                    plane.port().cut.set(Some(cut));
                }
                // Nobody knows of the cut yet.
                let started = Instant::now();
                let serving = async {
                    let request = cluster::request("a", kind);
                    let answer = vms.planes[0].serve(request).await;
                    (answer, started.elapsed())
                };
                let passing = vms.pass(time::Duration::from_secs(3));
                let ((answer, took), ()) = tokio::join!(serving, passing);
                let refusal = answer.expect_err("nobody reaches a server");
                assert_eq!(
                    refusal.ran,
                    outcome::RanState::No,
                    "{cut:?}, {kind:?}, {refusal:?} {took:?}"
                );
                assert!(refusal.retry_after.is_some(), "{cut:?}, {kind:?}");
                assert!(took < time::Duration::from_secs(8), "{took:?}");
                let handed = vms.planes[0].port().handed.borrow().len();
                assert!(
                    (1..=2).contains(&handed),
                    "{cut:?}, {kind:?}: {handed} asked"
                );
                for plane in &vms.planes[1..] {
                    assert!(plane.port().handed.borrow().is_empty());
                }
            });
        }
    }
}

#[test]
fn requests_are_refused_at_once_while_no_vm_reaches_a_server() {
    // Guards against requests that are held although it is known that nobody can serve them.
    for cut in CUTS {
        cluster::run(async move {
            let vms = TestVms::new(3);
            for number in 0..3 {
                vms.cut(number, cut).await;
            }
            vms.pass(time::Duration::from_secs(1)).await;
            for plane in &vms.planes {
                for kind in CALLS {
                    let started = Instant::now();
                    let answer = plane.serve(cluster::request("a", kind)).await;
                    let refusal = answer.expect_err("no server");
                    let took = started.elapsed();
                    assert!(took < time::Duration::from_millis(50), "{cut:?}: {took:?}");
                    assert_eq!(refusal.cause, reply::RefusalCause::NoServer);
                    assert_eq!(refusal.ran, outcome::RanState::No);
                    let after = refusal.retry_after.expect("a time to come back");
                    assert!(after >= time::Duration::from_millis(400), "{after:?}");
                }
            }
        });
    }
}

#[test]
fn a_vm_serves_by_itself_again_once_servers_are_reached() {
    for cut in CUTS {
        cluster::run(async move {
            let vms = TestVms::new(2);
            vms.cut(0, cut).await;
            vms.planes[0].port().cut.set(None);
            vms.pass(time::Duration::from_secs(1)).await;
            let handed = vms.planes[0].port().handed.borrow().len();
            for kind in CALLS {
                assert!(is_served(vms.planes[0].serve(cluster::request("a", kind)).await).await);
            }
            assert_eq!(vms.planes[0].port().handed.borrow().len(), handed);
            assert!(!vms.planes[0].state().reach.is_cut_off());
        });
    }
}

#[test]
fn the_loss_of_some_servers_is_not_the_loss_of_all() {
    // Guards against requests that take a way round because one server has crashed or is silent for
    // a moment.
    cluster::run(async {
        let vms = TestVms::new(2);
        let plane = &vms.planes[0];
        let unreachable = ["s1", "e1"].map(String::from);
        plane.port().unreachable.borrow_mut().extend(unreachable);
        for number in 0..30 {
            let request = cluster::request(&format!("a{number}"), CALLS[number % 3]);
            let answer = plane.serve(request).await;
            assert!(is_served(answer).await, "request {number}");
            vms.pass(time::Duration::from_millis(100)).await;
        }
        assert!(plane.port().handed.borrow().is_empty());
    });
}

#[test]
fn a_server_that_is_silent_for_a_second_is_not_taken_for_lost() {
    // Guards against calls that are lost, or take a way round, because a sound server pauses.
    cluster::run(async {
        let vms = TestVms::new(2);
        let plane = &vms.planes[0];
        for round in 0..4 {
            let silent_until = Instant::now() + time::Duration::from_millis(1_100);
            let server = ["s1", "s2"][round % 2].to_owned();
            plane
                .port()
                .stalled
                .borrow_mut()
                .insert(server, silent_until);
            let calls = (0..6).map(|number| {
                let kind = CALLS[number % 2];
                let request = cluster::request(&format!("a{round}-{number}"), kind);
                async { is_served(plane.serve(request).await).await }
            });
            let calls = futures_util::future::join_all(calls);
            let passing = vms.pass(time::Duration::from_millis(1_500));
            let (served, ()) = tokio::join!(calls, passing);
            assert_eq!(served, [true; 6], "round {round}");
        }
        assert!(plane.port().handed.borrow().is_empty());
        let once = (0..4).flat_map(|round| [1, 3, 5].map(|number| format!("a{round}-{number}")));
        assert!(once.into_iter().all(|id| vms.attempts(&id) == 1));
    });
}

#[test]
fn only_vms_of_this_system_hand_requests_over() {
    // Guards against callers that pass for a VM: they do not know the number of the system.
    cluster::run(async {
        let plane = cluster::plane();
        let request = cluster::request("a", catalog::ExchangeKind::Once);
        let now = Instant::now();
        for system in [0, cluster::SYSTEM + 1] {
            let forged = handed::HandedRequest::of(&request, system, "vm-9", now);
            assert!(handover::take_request(&plane, forged).is_none());
        }
        let own = handed::HandedRequest::of(&request, cluster::SYSTEM, "vm-9", now);
        assert!(handover::take_request(&plane, own).is_some());
        plane.state().system = exchange::system::SystemBelief::Unasked;
        let own = handed::HandedRequest::of(&request, 0, "vm-9", now);
        assert!(handover::take_request(&plane, own).is_none());
    });
}

#[test]
fn a_handed_request_has_the_time_that_is_left() {
    // Guards against servers that get more time than the caller has.
    cluster::run(async {
        let mut request = cluster::request("a", catalog::ExchangeKind::Once);
        request.deadline = request.arrived + time::Duration::from_millis(900);
        request.limit = request.arrived + time::Duration::from_millis(700);
        tokio::time::sleep(time::Duration::from_millis(250)).await;
        let message = handed::HandedRequest::of(&request, 1, "vm-9", Instant::now());
        let taken = message.into_request(Instant::now()).expect("valid");
        let left = |until: Instant| until.saturating_duration_since(Instant::now()).as_millis();
        assert_eq!((left(taken.limit), left(taken.deadline)), (450, 650));
        assert!(taken.handed_over);
    });
}

#[test]
fn a_request_is_handed_over_unchanged() {
    cluster::run(async {
        let mut request = cluster::request("a", catalog::ExchangeKind::Stream);
        let name = http::HeaderName::from_static("x-a");
        for value in [&b"1"[..], &b"\xff 2"[..]] {
            let value = http::HeaderValue::from_bytes(value).expect("valid");
            request.headers.append(name.clone(), value);
        }
        request.body = Bytes::from_static(b"\0\xffbody");
        request.max_pause = Some(time::Duration::from_micros(180_500));
        let parts = [request::PromptPart { hash: 7, tokens: 9 }];
        request.size.as_mut().expect("sized").parts = parts.to_vec();
        let now = Instant::now();
        let message = handed::HandedRequest::of(&request, 1, "vm-9", now);
        let taken = message.into_request(now).expect("valid");
        let expected = request::ExchangeRequest {
            handed_over: true,
            ..request
        };
        assert_eq!(format!("{taken:?}"), format!("{expected:?}"));
    });
}

#[test]
fn heads_of_answers_are_read_from_any_parts() {
    let refusal = reply::Refusal {
        cause: reply::RefusalCause::Overload,
        ran: outcome::RanState::No,
        retry_after: Some(time::Duration::from_millis(450)),
    };
    let mut headers = http::HeaderMap::new();
    headers.insert("signature", http::HeaderValue::from_static("s"));
    let reply = reply::Reply {
        status: http::StatusCode::CREATED,
        headers: headers.clone(),
        body: reply::ReplyBody::Complete(Bytes::new()),
    };
    let heads = [
        handed::AnswerHead::of_refusal(&refusal),
        handed::AnswerHead::of_reply(&reply),
    ];
    for head in heads {
        let whole = [&head.encode_with_length()[..], b"rest"].concat();
        for split in 0..whole.len() {
            let mut bytes = bytes::BytesMut::from(&whole[..split]);
            let early = handed::AnswerHead::take(&mut bytes).expect("a head");
            let taken = early.unwrap_or_else(|| {
                bytes.extend_from_slice(&whole[split..]);
                let taken = handed::AnswerHead::take(&mut bytes).expect("a head");
                taken.expect("complete")
            });
            assert_eq!(taken, head, "split at {split}");
        }
    }
    let expected = Some(Ok((reply.status, headers)));
    assert_eq!(handed::AnswerHead::of_reply(&reply).into_result(), expected);
    let expected = Some(Err(refusal));
    assert_eq!(
        handed::AnswerHead::of_refusal(&refusal).into_result(),
        expected
    );
    let mut long = bytes::BytesMut::from(&[0xff; 8][..]);
    assert!(handed::AnswerHead::take(&mut long).is_err());
}

#[test]
fn a_call_that_the_other_vm_lost_is_not_run_again() {
    // Guards against a booking that runs twice: the other VM's server may have run it.
    cluster::run(async {
        let vms = TestVms::new(3);
        vms.cut(0, PathCut::Refused).await;
        for plane in &vms.planes[1..] {
            for server in ["s1", "s2"] {
                plane.port().push_script(server, ServerScript::Lost);
            }
        }
        let request = cluster::request("a", catalog::ExchangeKind::Once);
        let refusal = vms.planes[0].serve(request).await.expect_err("lost");
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
        assert_eq!(vms.attempts("a"), 1);
    });
}

#[test]
fn a_call_that_a_vm_may_have_served_is_not_told_as_not_run() {
    // Guards against a refusal of the second VM that hides that the answer of the first one was lost.
    cluster::run(async {
        let vms = TestVms::new(3);
        vms.cut(0, PathCut::Refused).await;
        for plane in &vms.planes[1..] {
            for server in ["s1", "s2"] {
                let full = exchange::port::NotRunCause::Rejected;
                for _ in 0..4 {
                    plane.port().push_script(server, ServerScript::NotRun(full));
                }
            }
        }
        vms.planes[0].port().lost_answers.set(1);
        let request = cluster::request("a", catalog::ExchangeKind::Idempotent);
        let refusal = vms.planes[0].serve(request).await.expect_err("no room");
        let handed = vms.planes[0].port().handed.borrow();
        assert_eq!(handed.iter().filter(|(id, _)| id == "a").count(), 2);
        assert_eq!(refusal.ran, outcome::RanState::Unknown);
    });
}

#[test]
fn a_handed_stream_goes_on_elsewhere_when_its_server_breaks_it_off() {
    cluster::run(async {
        let vms = TestVms::new(2);
        vms.cut(0, PathCut::Refused).await;
        let interval = time::Duration::from_millis(20);
        for server in ["e1", "e2"] {
            let port = vms.planes[1].port();
            port.scripts.borrow_mut().remove(server);
            port.push_script(server, ServerScript::Breaks(5, interval));
            port.push_script(server, ServerScript::Events(20, interval));
        }
        let request = cluster::request("a", catalog::ExchangeKind::Stream);
        let reply = vms.planes[0].serve(request).await.expect("served");
        let first = vms.planes[1].port().seen.borrow().last().cloned();
        let first = first.expect("sent").server;
        let other = if first == "e1" { "e2" } else { "e1" };
        let scripts = &vms.planes[1].port().scripts;
        scripts
            .borrow_mut()
            .get_mut(other)
            .expect("two")
            .pop_front();
        let read = cluster::read(cluster::parts(reply)).await;
        let whole = cluster::ReadStream {
            text: cluster::events(20),
            complete: true,
        };
        assert_eq!(read, whole);
    });
}

#[test]
fn a_handed_stream_is_cancelled_when_its_caller_leaves() {
    // Guards against runs whose caller has left, and against VMs that wait for them when they stop.
    cluster::run(async {
        let vms = TestVms::new(2);
        vms.cut(0, PathCut::Refused).await;
        let request = cluster::request("a", catalog::ExchangeKind::Stream);
        let reply = vms.planes[0].serve(request).await.expect("served");
        assert_eq!(vms.planes[0].open_requests(), 1, "a stop waits for it");
        assert_eq!(vms.planes[1].open_requests(), 1, "a stop waits for it");
        drop(reply);
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        for plane in &vms.planes {
            assert_eq!(plane.open_requests(), 0);
            assert!(plane.port().open.borrow().values().all(|open| *open == 0));
        }
    });
}

#[test]
fn a_vm_that_stops_takes_no_more_requests_over() {
    cluster::run(async {
        let vms = TestVms::new(3);
        vms.cut(0, PathCut::Refused).await;
        vms.planes[1].stop(cluster::GRACE);
        tokio::time::sleep(time::Duration::from_millis(6_500)).await;
        vms.tell_all();
        let before = vms.planes[1].port().seen.borrow().len();
        for number in 0..12 {
            let kind = CALLS[number % 3];
            let request = cluster::request(&format!("a{number}"), kind);
            let answer = vms.planes[0].serve(request).await;
            assert!(is_served(answer).await, "request {number}");
            vms.tell_all();
        }
        assert_eq!(vms.planes[1].port().seen.borrow().len(), before);
    });
}

#[test]
fn repeats_of_handed_requests_stay_within_the_allowance() {
    // Guards against an allowance that is counted on both VMs.
    cluster::run(async {
        let vms = TestVms::new(2);
        vms.cut(0, PathCut::Refused).await;
        let first = |plane: &cluster::TestPlane| {
            let mut state = plane.state();
            let rule = state.settings.retries;
            state.repeats.budget("app").counts(&rule, Instant::now()).0
        };
        let before = (first(&vms.planes[0]), first(&vms.planes[1]));
        for number in 0..10 {
            let id = format!("a{number}");
            let request = cluster::request(&id, catalog::ExchangeKind::Once);
            assert!(vms.planes[0].serve(request).await.is_ok());
        }
        assert_eq!(first(&vms.planes[0]), before.0 + 10);
        assert_eq!(first(&vms.planes[1]), before.1);
    });
}

fn serving(name: &str, number: u8, cut_off: bool) -> message::PeerDatagram {
    message::PeerDatagram {
        sender: number.into(),
        name: name.to_owned(),
        domain: String::from("a"),
        sequence: 1,
        stage: message::VmStage::Serving.into(),
        entry_address: cluster::address(number).to_string(),
        link_address: cluster::address(number + 100).to_string(),
        cut_off,
        ..message::PeerDatagram::default()
    }
}

#[test]
fn lookups_leave_out_vms_that_reach_no_server_unless_all_do() {
    // Guards against lookups that name VMs that can't serve, and against one VM's view, or a loss
    // that all VMs see, that empties them.
    cluster::run(async {
        let now = Instant::now();
        for own_cut in [false, true] {
            for others_cut in [[false, false], [false, true], [true, true]] {
                let mut peers = peers::PeerTable::default();
                let own = directory::OwnEntry {
                    domain: String::from("a"),
                    stage: message::VmStage::Serving,
                    address: cluster::address(1),
                    cut_off: own_cut,
                };
                peers.take(&serving("vm-2", 2, others_cut[0]), now);
                peers.take(&serving("vm-3", 3, others_cut[1]), now);
                let named = directory::addresses(&own, &peers, "a", now);
                let cut = [own_cut, others_cut[0], others_cut[1]];
                let all_cut = cut.iter().all(|cut| *cut);
                let numbers = (1..=3).zip(cut);
                let expected = numbers.filter(|(_, cut)| all_cut || !cut);
                let expected: Vec<_> = expected
                    .map(|(number, _)| cluster::address(number))
                    .collect();
                assert_eq!(named, expected, "cut off: {cut:?}");
            }
        }
    });
}

#[test]
fn a_vm_is_cut_off_when_none_of_its_services_is_reached() {
    cluster::run(async {
        let keys: Vec<fleet::ServerKey> = {
            let plane = cluster::plane();
            let state = plane.state();
            ["s1", "s2", "e1", "e2"]
                .iter()
                .map(|id| state.fleet.find(id).expect("known"))
                .collect()
        };
        let mut table = reach::ReachTable::default();
        let at = |ms| Instant::now() + time::Duration::from_millis(ms);
        assert!(!table.record_reached("llm", at(0)));
        assert!(!table.record_unreached("app", keys[0], 2, at(5)));
        assert!(
            !table.record_unreached("app", keys[0], 2, at(6)),
            "the same"
        );
        assert!(table.record_unreached("app", keys[1], 2, at(7)));
        assert_eq!(table.stage("app"), reach::ReachStage::Suspect);
        assert!(!table.is_cut_off());
        assert!(table.confirm_cut("app"));
        assert_eq!(table.cut_services().collect::<Vec<_>>(), ["app"]);
        assert!(
            !table.is_cut_off(),
            "engines were reached later than plain servers"
        );
        assert!(table.record_unreached("llm", keys[2], 1, at(20)));
        assert!(table.confirm_cut("llm"));
        assert!(table.is_cut_off());
        assert!(table.record_reached("app", at(30)));
        assert!(!table.is_cut_off());
        let late = table.record_unreached("app", keys[0], 1, at(10));
        assert!(!late, "sent before a server was reached");
        assert_eq!(state::service_hash("app"), state::service_hash("app"));
    });
}
