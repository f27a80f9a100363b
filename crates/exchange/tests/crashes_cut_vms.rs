//! Requests that crash servers, while VMs reach the store and not each other.

mod cluster;

use std::time;

use cluster::crashing::{self, CONTACT, CallEnd, MAX_RETRIES, QUARANTINED};
use exchange::{catalog::ExchangeKind, unsaved::CrashSharing};

const BAD: u64 = 77;
const VMS: usize = 7;
const STEP: time::Duration = time::Duration::from_millis(50);
/// Time between the cut and the first bad request, in which VMs find that they hear no other.
const CUT_TIME: time::Duration = time::Duration::from_secs(2);

const fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// Which VMs do not hear each other.
#[derive(Clone, Copy, Debug)]
enum CutShape {
    /// None hears any other.
    All,
    /// The first four and the last three.
    Halves,
    /// Nobody hears the first three; they hear all.
    Unheard,
}

/// What is sent while VMs are cut.
#[derive(Clone, Copy, Debug)]
struct Play {
    shape: CutShape,
    kind: ExchangeKind,
    interval: time::Duration,
    delay: time::Duration,
    /// Number of different bad requests that come at the same moment.
    causes: u64,
    /// Time after which callers of bad requests leave, whose servers go on with them.
    leaves: Option<time::Duration>,
}

const PLAY: Play = Play {
    shape: CutShape::All,
    kind: ExchangeKind::Idempotent,
    interval: ms(200),
    delay: ms(48),
    causes: 1,
    leaves: None,
};

impl Play {
    fn start(self) -> crashing::CrashingVms {
        let mut vms = crashing::CrashingVms::start(VMS, 3, 9);
        vms.board.bad_requests.borrow_mut().extend(self.causes());
        vms.board.delay.set(Some(self.delay));
        vms.board.keeps_on.set(self.leaves.is_some());
        vms.add_store();
        vms
    }

    fn causes(self) -> std::ops::Range<u64> {
        BAD..BAD + self.causes
    }

    /// Starts VMs that know by now that they are cut from each other.
    async fn start_cut(self) -> crashing::CrashingVms {
        let mut vms = self.start();
        self.cut(&mut vms);
        vms.pass(CUT_TIME).await;
        vms
    }

    fn cut(self, vms: &mut crashing::CrashingVms) {
        match self.shape {
            CutShape::All => (0..VMS).for_each(|own| vms.cut(|vm| vm == own)),
            CutShape::Halves => vms.cut(|vm| vm < 4),
            CutShape::Unheard => {
                let paths = (0..3).flat_map(|from| (0..VMS).map(move |to| (from, to)));
                vms.cut_paths.extend(paths);
            }
        }
    }

    /// Sends equal bad requests to the VMs in turn, and sound ones beside them.
    async fn send(self, vms: &mut crashing::CrashingVms, span: time::Duration) {
        let bad_steps = (self.interval.as_millis() / STEP.as_millis()) as usize;
        let steps = (span.as_millis() / STEP.as_millis()) as usize;
        for step in 0..steps {
            let running = vms.vms.len();
            for cause in self.causes().filter(|_| step % bad_steps == 0) {
                let request = vms.alike("bad", self.kind, cause);
                let vm = (step / bad_steps + (cause - BAD) as usize) % running;
                match self.leaves {
                    Some(after) => vms.send_and_leave(vm, request, after),
                    None => vms.send(vm, request),
                }
            }
            let sound = vms.request("sound", ExchangeKind::Idempotent);
            vms.send(step % running, sound);
            if self.kind == ExchangeKind::Stream {
                let sound = vms.request("sound", self.kind);
                vms.send(step % running, sound);
            }
            vms.pass(STEP).await;
        }
    }

    /// Whether the cause was refused in time, and no sound request was.
    fn check(self, vms: &crashing::CrashingVms) -> bool {
        let late = |cause| vms.board.late_of(cause, 3, CONTACT);
        let late: Vec<_> = self.causes().map(late).collect();
        let crashes = vms.board.crashes.borrow().len();
        let (sent, whole, refused) = (
            vms.ends_of("sound").len(),
            vms.count("sound", CallEnd::Whole),
            vms.count("sound", QUARANTINED),
        );
        println!(
            "{self:?}: {late:?} late, {crashes} crashes, sound {whole} of {sent}, {refused} refused"
        );
        late.iter().all(|late| *late <= MAX_RETRIES) && refused == 0
    }
}

fn play_all(plays: impl IntoIterator<Item = Play>) {
    crashing::check_all(plays, |play| async move {
        let mut vms = play.start_cut().await;
        play.send(&mut vms, time::Duration::from_secs(40)).await;
        play.check(&vms)
    });
}

#[test]
fn a_call_that_crashes_servers_is_refused_by_vms_that_hear_no_other_vm() {
    // Guards against each VM that finds the cause by crashes of its own, though all reach the store.
    let intervals = [ms(200), ms(2_000), ms(6_000)];
    let delays = [ms(8), ms(48)];
    play_all(intervals.into_iter().flat_map(|interval| {
        delays.map(|delay| Play {
            interval,
            delay,
            ..PLAY
        })
    }));
}

#[test]
fn a_stream_that_crashes_engines_is_refused_by_vms_that_hear_no_other_vm() {
    // Guards against the same with streams, of whose engines most are up.
    let intervals = [ms(200), ms(2_000), ms(6_000)];
    play_all(intervals.map(|interval| Play {
        kind: ExchangeKind::Stream,
        interval,
        ..PLAY
    }));
}

#[test]
fn a_hedged_call_that_crashes_servers_is_refused_by_vms_that_hear_no_other_vm() {
    // Guards against the same with a call that is sent to a second server before the first crashes.
    play_all([ms(200), ms(2_000)].map(|interval| Play {
        interval,
        delay: ms(90),
        ..PLAY
    }));
}

#[test]
fn a_request_whose_caller_leaves_is_refused_by_vms_that_hear_no_other_vm() {
    // Guards against crashes under attempts that were dropped, which cut VMs do not share.
    let kinds = [ExchangeKind::Idempotent, ExchangeKind::Stream];
    play_all(kinds.into_iter().flat_map(|kind| {
        [ms(200), ms(2_000)].map(|interval| Play {
            kind,
            interval,
            leaves: Some(ms(20)),
            ..PLAY
        })
    }));
}

#[test]
fn requests_that_crash_servers_together_are_refused_by_vms_that_hear_no_other_vm() {
    // Guards against causes that are tied at one VM and never at three crashes there.
    let kinds = [ExchangeKind::Idempotent, ExchangeKind::Stream];
    play_all(kinds.into_iter().flat_map(|kind| {
        [2, 4].map(|causes| Play {
            kind,
            causes,
            interval: ms(300),
            ..PLAY
        })
    }));
}

#[test]
fn a_part_that_crashes_engines_is_refused_by_vms_that_hear_no_other_vm() {
    // Guards against requests, no two alike, whose part each VM finds by five crashes of its own.
    const FIRST: u64 = 1;
    cluster::run(async {
        let mut vms = PLAY.start_cut().await;
        vms.board.bad_parts.borrow_mut().insert(BAD);
        for number in 0..60_usize {
            let request = vms.stream_of("bad", &[FIRST, BAD]);
            vms.send(number * 3 % VMS, request);
            for _ in 0..3 {
                vms.pass(ms(130)).await;
                let request = vms.stream_of("sound", &[FIRST, 2 + number as u64 % 3]);
                vms.send(number % VMS, request);
            }
        }
        vms.pass(ms(2_000)).await;
        let late = vms.board.arrivals_after(5, CONTACT);
        let crashes = vms.board.crashes.borrow().len();
        let refused = vms.count("sound", QUARANTINED);
        println!("part: {late} late, {crashes} crashes, {refused} refused");
        assert!(late <= MAX_RETRIES, "{late} late");
        assert_eq!(refused, 0);
    });
}

#[test]
fn a_call_that_crashes_servers_is_refused_by_vms_that_nobody_hears() {
    // Guards against crashes that only one side of a cut knows.
    let intervals = [ms(200), ms(2_000)];
    play_all(intervals.into_iter().flat_map(|interval| {
        [CutShape::Halves, CutShape::Unheard].map(|shape| Play {
            shape,
            interval,
            ..PLAY
        })
    }));
}

#[test]
fn a_vm_that_hears_all_others_learns_that_they_do_not_hear_it() {
    // Guards against a VM that keeps to itself what it finds, since it hears all others.
    cluster::run(async {
        let mut vms = PLAY.start();
        vms.pass(CUT_TIME).await;
        let sharing = |vms: &crashing::CrashingVms| vms.vms[0].state().crashes.unsaved.sharing();
        assert_eq!(sharing(&vms), CrashSharing::Off);
        vms.cut_paths.extend((1..VMS).map(|to| (0, to)));
        vms.pass(CONTACT).await;
        assert_ne!(sharing(&vms), CrashSharing::Off);
        vms.cut_paths.clear();
        vms.pass(CUT_TIME).await;
        assert_eq!(sharing(&vms), CrashSharing::Off);
    });
}

#[test]
fn crashes_that_only_a_vm_found_that_nobody_hears_are_known_to_all() {
    // Guards against a VM that hears all others, and so does not know that they do not hear it.
    cluster::run(async {
        let play = PLAY;
        let mut vms = play.start();
        vms.cut_paths.extend((1..VMS).map(|to| (0, to)));
        vms.pass(CUT_TIME).await;
        for vm in 0..2 {
            let mut request = vms.alike("first", play.kind, BAD);
            request.attempts = 1;
            vms.send(vm, request);
            vms.pass(CONTACT).await;
        }
        assert_eq!(vms.board.crashes_under(BAD), 2);
        for vm in 0..VMS {
            let request = vms.alike("bad", play.kind, BAD);
            vms.send(vm, request);
        }
        vms.pass(CONTACT).await;
        assert_eq!(vms.board.crashes_under(BAD), 2);
        assert_eq!(vms.count("bad", QUARANTINED), VMS);
    });
}

#[test]
fn a_vm_that_starts_without_hearing_another_refuses_what_crashes_servers() {
    // Guards against VMs that start while all are cut, and find the cause by crashes of their own.
    cluster::run(async {
        let play = PLAY;
        let mut vms = play.start_cut().await;
        play.send(&mut vms, time::Duration::from_secs(5)).await;
        for own in VMS..VMS + 5 {
            vms.add_vm();
            vms.cut(|vm| vm == own);
            vms.pass(CUT_TIME).await;
            play.send(&mut vms, time::Duration::from_secs(4)).await;
        }
        assert!(play.check(&vms));
    });
}

#[test]
fn crashes_are_told_once_the_store_is_back_to_vms_that_hear_no_other_vm() {
    // Guards against crashes that were found while the store was away and never reach other VMs.
    cluster::run(async {
        let play = PLAY;
        let mut vms = play.start_cut().await;
        let store = vms.store.clone().expect("a store");
        store.away.set(true);
        for vm in 0..2 {
            let request = vms.alike("bad", play.kind, BAD);
            vms.send(vm, request);
            vms.pass(ms(200)).await;
        }
        vms.pass(ms(4_000)).await;
        store.away.set(false);
        // The users' time after which a VM is in touch with the store.
        vms.pass(CONTACT).await;
        let before = vms.board.crashes_under(BAD);
        play.send(&mut vms, time::Duration::from_secs(20)).await;
        let after = vms.board.crashes_under(BAD);
        assert_eq!(after, before, "crashes of a cause that the store has");
        assert!(play.check(&vms));
    });
}

#[test]
fn what_runs_well_at_one_vm_is_not_refused_at_vms_that_do_not_hear_it() {
    // Guards against a sound call that is refused since only crashes pass between cut VMs.
    const SOUND: u64 = 5;
    cluster::run(async {
        let play = PLAY;
        let mut vms = play.start_cut().await;
        for step in 0..600_usize {
            if step % 4 == 0 {
                let request = vms.alike("bad", play.kind, BAD);
                vms.send(step / 4 % VMS, request);
            }
            let request = vms.alike("polled", play.kind, SOUND);
            vms.send(step * 3 % VMS, request);
            vms.pass(STEP).await;
        }
        assert_eq!(vms.count("polled", QUARANTINED), 0);
        assert!(play.check(&vms));
    });
}

#[test]
fn a_crash_that_clocks_date_differently_counts_once() {
    // Guards against one crash that counts as two, since wall clocks of VMs differ by 10 s.
    cluster::run(async {
        let play = PLAY;
        let mut vms = play.start();
        for (number, vm) in vms.vms.iter().enumerate() {
            vm.state().settings.incarnation += 10_000 * (number as u64 % 2);
        }
        play.cut(&mut vms);
        vms.pass(CUT_TIME).await;
        // Two VMs lose an attempt of the same cause on one server, a third one on none.
        vms.board.crash("s1");
        vms.board.crash("s2");
        for vm in 0..2 {
            let request = vms.alike("bad", ExchangeKind::Once, BAD);
            vms.send(vm, request);
        }
        vms.pass(ms(1_000)).await;
        assert_eq!(vms.board.crashes_under(BAD), 1);
        vms.cut_paths.clear();
        vms.pass(ms(1_000)).await;
        vms.board.restart_all();
        let request = vms.alike("bad", ExchangeKind::Once, BAD);
        vms.send(2, request);
        vms.pass(ms(500)).await;
        assert_eq!(vms.count("bad", QUARANTINED), 0, "refused after one crash");
    });
}

#[test]
fn a_refused_link_of_a_vm_that_hears_no_other_does_not_pass_for_a_crash() {
    // Guards against a sound call that all refuse, since a VM whose links are cut tells of crashes.
    const SOUND: u64 = 5;
    cluster::run(async {
        let play = PLAY;
        let mut vms = play.start_cut().await;
        for plane in &vms.vms {
            plane.port().pace.set(Some(ms(40)));
        }
        let plane = vms.vms[0].clone();
        for step in 0..600_usize {
            match step % 60 {
                20 => {
                    for _ in 0..4 {
                        let request = vms.alike("polled", play.kind, SOUND);
                        vms.send(0, request);
                        let other = vms.request("sound", play.kind);
                        vms.send(0, other);
                    }
                    vms.pass(ms(10)).await;
                    plane.port().sever();
                }
                40 => plane.port().cut.set(None),
                _ => {}
            }
            let request = vms.alike("polled", play.kind, SOUND);
            vms.send(step % VMS, request);
            for vm in 1..VMS {
                let other = vms.request("sound", play.kind);
                vms.send(vm, other);
            }
            vms.pass(STEP).await;
        }
        let crashes = vms.vms[0].state().crashes.knows_crashes();
        assert!(crashes, "the cut links broke nothing off");
        assert_eq!(vms.count("polled", QUARANTINED), 0);
        assert_eq!(vms.count("sound", QUARANTINED), 0);
    });
}

#[test]
fn a_vm_that_hears_no_other_learns_that_servers_did_not_crash() {
    // Guards against a VM that refuses a sound call after its links were cut, since it is not
    // told that the servers answered others.
    const SOUND: u64 = 6;
    cluster::run(async {
        let play = PLAY;
        let mut vms = play.start_cut().await;
        let plane = vms.vms[0].clone();
        plane.port().pace.set(Some(ms(40)));
        for step in 0..200_usize {
            if step % 50 == 20 {
                let mut request = vms.alike("once", ExchangeKind::Once, SOUND);
                request.attempts = 1;
                vms.send(0, request);
                vms.pass(ms(10)).await;
                plane.port().sever();
            }
            if step % 50 == 30 {
                plane.port().cut.set(None);
            }
            for vm in 1..VMS {
                let other = vms.request("sound", play.kind);
                vms.send(vm, other);
            }
            vms.pass(STEP).await;
        }
        let now = tokio::time::Instant::now();
        let alleged = vms.vms[0].state().crashes.saved_items(8_192, now);
        assert!(alleged.len() >= 2, "{alleged:?}");
        let refuted = alleged.iter().filter(|crash| crash.answered_ms.is_some());
        assert_eq!(refuted.count(), alleged.len(), "{alleged:?}");
        let request = vms.alike("last", ExchangeKind::Once, SOUND);
        vms.send(0, request);
        vms.pass(ms(500)).await;
        assert_eq!(vms.ends_of("last"), [CallEnd::Whole]);
        assert_eq!(vms.count("once", QUARANTINED), 0);
    });
}

#[test]
fn vms_that_hear_each_other_do_not_read_crashes_in_the_store() {
    // Guards against calls to the store that tell what datagrams have told.
    cluster::run(async {
        let play = PLAY;
        let mut vms = play.start();
        vms.pass(CUT_TIME).await;
        let store = vms.store.clone().expect("a store");
        let first = store.crash_calls.get();
        assert_eq!(first, VMS as u32, "each reads as it starts");
        play.send(&mut vms, time::Duration::from_secs(40)).await;
        let calls = store.crash_calls.get() - first;
        assert!(calls <= VMS as u32, "{calls} calls for one cause");
    });
}

#[test]
fn vms_that_are_cut_call_the_store_within_its_limits() {
    // Guards against a store that is busy with crashes: 2 calls a second and VM at most.
    cluster::run(async {
        let play = PLAY;
        let mut vms = play.start_cut().await;
        let store = vms.store.clone().expect("a store");
        let first = store.crash_calls.get();
        let seconds = 40;
        play.send(&mut vms, time::Duration::from_secs(seconds))
            .await;
        let calls = u64::from(store.crash_calls.get() - first);
        assert!(calls <= 2 * seconds * VMS as u64, "{calls} calls");
        assert!(play.check(&vms));
    });
}
