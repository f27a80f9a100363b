//! Several requests that crash servers at the same time.

mod cluster;

use std::time;

use cluster::crashing::{self, CONTACT, CallEnd, MAX_RETRIES, QUARANTINED};
use exchange::{catalog::ExchangeKind, reply::RefusalCause};

/// Number of crashes after which few of a request may follow, and of a part.
const REQUEST_CRASHES: usize = 3;
const PART_CRASHES: usize = 5;
/// Interval between equal requests that crash servers, as a number of steps.
const BAD_STEPS: usize = 30;
const STEP: time::Duration = time::Duration::from_millis(10);
/// First part of all prompts.
const FIRST: u64 = 1;

/// What is sent beside each other.
#[derive(Clone, Copy, Debug)]
struct Mix {
    /// Number of requests that crash servers, and of parts of prompts that do.
    calls: u64,
    streams: u64,
    parts: u64,
    /// Steps between two different bad requests.
    offset: usize,
    /// Duration in seconds.
    seconds: usize,
}

const NO_MIX: Mix = Mix {
    calls: 0,
    streams: 0,
    parts: 0,
    offset: 0,
    seconds: 30,
};

impl Mix {
    fn causes(self) -> impl Iterator<Item = (u64, usize)> {
        let requests = (100..100 + self.calls).chain(200..200 + self.streams);
        let requests = requests.map(|cause| (cause, REQUEST_CRASHES));
        requests.chain((300..300 + self.parts).map(|cause| (cause, PART_CRASHES)))
    }

    fn start(self) -> crashing::CrashingVms {
        let vms = crashing::CrashingVms::start(7, 3, 9);
        let requests = (100..100 + self.calls).chain(200..200 + self.streams);
        vms.board.bad_requests.borrow_mut().extend(requests);
        let parts = 300..300 + self.parts;
        vms.board.bad_parts.borrow_mut().extend(parts);
        vms
    }

    /// Sends the bad requests, each every 0.3 s to the next VM, and sound ones beside them.
    async fn play(self, vms: &mut crashing::CrashingVms) {
        for step in 0..self.seconds * 100 {
            let running = vms.vms.len();
            for (number, (cause, _)) in self.causes().enumerate() {
                if !(step + number * self.offset).is_multiple_of(BAD_STEPS) {
                    continue;
                }
                let request = match cause {
                    100..200 => vms.alike("bad", ExchangeKind::Idempotent, cause),
                    200..300 => vms.alike("bad", ExchangeKind::Stream, cause),
                    _ => vms.stream_of("bad", &[FIRST, cause]),
                };
                vms.send((step / BAD_STEPS * 3 + number) % running, request);
            }
            if step % 10 == 0 {
                let request = vms.request("sound", ExchangeKind::Idempotent);
                vms.send(step / 10 % running, request);
            }
            if step % 10 == 5 {
                let request = vms.stream_of("sound", &[FIRST, 2 + step as u64 / 10 % 3]);
                vms.send(step / 10 % running, request);
            }
            vms.pass(STEP).await;
        }
        vms.pass(time::Duration::from_secs(2)).await;
    }

    /// Whether each cause was refused in time, and no sound request was.
    fn check(self, vms: &crashing::CrashingVms) -> bool {
        let late: Vec<_> = self
            .causes()
            .map(|(cause, crashes)| vms.board.late_of(cause, crashes, CONTACT))
            .collect();
        let crashes = vms.board.crashes.borrow().len();
        let ends = vms.ends_of("sound");
        let whole = vms.count("sound", CallEnd::Whole);
        let refused = vms.count("sound", QUARANTINED);
        println!(
            "{self:?}: late {late:?}, {crashes} crashes, sound {whole} of {}, {refused} quarantined",
            ends.len()
        );
        late.iter().all(|late| *late <= MAX_RETRIES) && refused == 0
    }
}

/// Mixes whose bad requests come at the same moment, and shortly after each other.
fn of_offsets<const N: usize>(mixes: [Mix; N]) -> impl Iterator<Item = Mix> {
    let offsets = [0, 2, 7];
    let offsets = offsets.into_iter();
    offsets.flat_map(move |offset| mixes.map(|mix| Mix { offset, ..mix }))
}

/// Plays mixes, and fails if any broke the bound or had sound requests refused.
fn play(mixes: impl IntoIterator<Item = Mix>) {
    crashing::check_all(mixes, |mix| async move {
        let mut vms = mix.start();
        mix.play(&mut vms).await;
        mix.check(&vms)
    });
}

#[test]
fn calls_that_crash_servers_at_the_same_time_are_refused() {
    // Guards against bad requests whose crashes coincide, so that none of them is identified.
    play(of_offsets([2, 3, 8].map(|calls| Mix { calls, ..NO_MIX })));
}

#[test]
fn streams_that_crash_servers_at_the_same_time_are_refused() {
    // Guards against the same with streams.
    play(of_offsets(
        [2, 5, 8].map(|streams| Mix { streams, ..NO_MIX }),
    ));
}

#[test]
fn parts_that_crash_servers_at_the_same_time_are_refused() {
    // Guards against bad parts of prompts whose crashes coincide.
    play(of_offsets([2, 4].map(|parts| Mix { parts, ..NO_MIX })));
}

#[test]
fn bad_requests_of_all_kinds_are_refused_at_the_same_time() {
    // Guards against streams and parts that crash the same engines.
    play(of_offsets([Mix {
        calls: 3,
        streams: 3,
        parts: 2,
        ..NO_MIX
    }]));
}

#[test]
fn tied_requests_stay_refused_when_they_are_tried_again() {
    // Guards against bad requests that are tied, and crash servers each time they are tried again.
    let mixes = [(2, 0), (8, 0), (0, 2), (0, 8)];
    play(mixes.map(|(calls, streams)| Mix {
        calls,
        streams,
        seconds: 200,
        ..NO_MIX
    }));
}

#[test]
fn a_sound_call_that_is_polled_is_served_beside_many_bad_ones() {
    // Guards against a sound call that is refused since it is at the crashes of all bad ones.
    const POLLED: u64 = 9;
    cluster::run(async {
        let mix = Mix { calls: 8, ..NO_MIX };
        let mut vms = mix.start();
        for step in 0..2_000 {
            if step % BAD_STEPS == 0 {
                for (cause, _) in mix.causes() {
                    let request = vms.alike("bad", ExchangeKind::Idempotent, cause);
                    vms.send((step + cause as usize) % 7, request);
                }
            }
            let request = vms.alike("polled", ExchangeKind::Idempotent, POLLED);
            vms.send(step % 7, request);
            vms.pass(STEP).await;
        }
        assert_eq!(vms.count("polled", QUARANTINED), 0);
        let ends = vms.ends_of("polled");
        let last = &ends[ends.len() - 800..];
        assert!(last.iter().all(|end| *end == CallEnd::Whole), "{last:?}");
    });
}

#[test]
fn a_sound_request_that_was_tied_is_served_a_minute_later() {
    // Guards against a sound request that stays refused since it was at three crashes of a bad one.
    const SOUND: u64 = 9;
    cluster::run(async {
        let mut vms = crashing::CrashingVms::start(2, 1, 0);
        vms.board.bad_requests.borrow_mut().insert(100);
        for plane in &vms.vms {
            plane
                .port()
                .pace
                .set(Some(time::Duration::from_millis(100)));
        }
        for _ in 0..3 {
            for (name, fingerprint) in [("bad", 100), ("sound", SOUND)] {
                let mut request = vms.alike(name, ExchangeKind::Once, fingerprint);
                request.attempts = 1;
                vms.send(0, request);
            }
            vms.pass(time::Duration::from_secs(6)).await;
        }
        let request = vms.alike("sound", ExchangeKind::Once, SOUND);
        vms.send(0, request);
        vms.pass(time::Duration::from_secs(60)).await;
        let request = vms.alike("sound", ExchangeKind::Once, SOUND);
        vms.send(1, request);
        vms.pass(time::Duration::from_secs(1)).await;
        let lost = CallEnd::Refused(RefusalCause::ServerLost);
        let ends = [lost, lost, lost, QUARANTINED, CallEnd::Whole];
        assert_eq!(vms.ends_of("sound"), ends);
    });
}
