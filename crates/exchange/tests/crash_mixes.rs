//! Random mixes of requests that crash servers, callers that leave, crashes without a cause, VMs that
//! start and VMs that are cut.

mod cluster;

use std::{cell, rc, time};

use cluster::crashing::{self, CONTACT, CallEnd, MAX_RETRIES, QUARANTINED};
use exchange::catalog::ExchangeKind;

/// Number of random mixes.
const MIXES: u64 = 40;
const STEP: time::Duration = time::Duration::from_millis(20);
const STEPS: usize = 1_500;
const FIRST: u64 = 1;

/// Something that crashes servers, and how it is sent.
#[derive(Clone, Copy, Debug)]
struct BadSource {
    cause: u64,
    /// Crashes after which few may follow.
    crashes: usize,
    /// Steps between two requests, and before the first one.
    every: usize,
    offset: usize,
    /// Time after which its callers leave.
    leave: Option<time::Duration>,
}

impl BadSource {
    fn draw(u: &mut arbitrary::Unstructured<'_>, number: u64) -> arbitrary::Result<Self> {
        let base = *u.choose(&[100, 200, 300])?;
        let leaves = u.ratio(1, 4)?;
        Ok(Self {
            cause: base + number,
            crashes: if base == 300 { 5 } else { 3 },
            every: u.int_in_range(8..=40)?,
            offset: u.int_in_range(0..=100)?,
            leave: match leaves {
                true => Some(time::Duration::from_millis(u.int_in_range(20..=300)?)),
                false => None,
            },
        })
    }

    fn send(&self, vms: &mut crashing::CrashingVms, vm: usize) {
        let request = match self.cause {
            100..200 => vms.alike("bad", ExchangeKind::Idempotent, self.cause),
            200..300 => vms.alike("bad", ExchangeKind::Stream, self.cause),
            _ => vms.stream_of("bad", &[FIRST, self.cause]),
        };
        match self.leave {
            Some(after) => vms.send_and_leave(vm, request, after),
            None => vms.send(vm, request),
        }
    }
}

/// A mix, drawn from a seed.
#[derive(Clone, Debug)]
struct CrashMix {
    sources: Vec<BadSource>,
    /// Events after which streams crash their servers.
    events: u32,
    draws_events: bool,
    keeps_on: bool,
    /// Steps between two crashes of engines without a cause.
    crashes_every: Option<usize>,
    /// Steps at which a VM starts.
    starts: Vec<usize>,
}

impl CrashMix {
    fn draw(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Self> {
        let sources = (0..u.int_in_range(1..=6)?).map(|number| BadSource::draw(u, number));
        Ok(Self {
            sources: sources.collect::<arbitrary::Result<_>>()?,
            events: *u.choose(&[0, 0, 1, 2, 5, 12, 30])?,
            draws_events: u.arbitrary()?,
            keeps_on: u.arbitrary()?,
            crashes_every: match u.ratio(1, 3)? {
                true => Some(u.int_in_range(100..=300)?),
                false => None,
            },
            starts: match u.ratio(1, 3)? {
                true => vec![u.int_in_range(100..=800)?, u.int_in_range(100..=800)?],
                false => Vec::new(),
            },
        })
    }

    async fn play(&self, vms: &mut crashing::CrashingVms) {
        let causes = self.sources.iter().map(|source| source.cause);
        let (parts, requests): (Vec<_>, Vec<_>) = causes.partition(|cause| *cause >= 300);
        vms.board.bad_requests.borrow_mut().extend(requests);
        vms.board.bad_parts.borrow_mut().extend(parts);
        vms.board.events_before.set(self.events);
        vms.board.draws_events.set(self.draws_events);
        vms.board.keeps_on.set(self.keeps_on);
        for step in 0..STEPS {
            let running = vms.vms.len();
            for source in &self.sources {
                if step >= source.offset && (step - source.offset).is_multiple_of(source.every) {
                    source.send(vms, (step / source.every * 3 + source.offset) % running);
                }
            }
            if step.is_multiple_of(5) {
                let request = vms.request("sound", ExchangeKind::Idempotent);
                vms.send(step / 5 % running, request);
                let request = vms.stream_of("sound", &[FIRST, 2 + step as u64 / 5 % 3]);
                vms.send((step / 5 + 3) % running, request);
            }
            if self
                .crashes_every
                .is_some_and(|every| step % every == every - 1)
            {
                let engine = vms.current_name(&format!("e{}", step % 9 + 1));
                vms.board.crash(&engine);
            }
            if self.starts.contains(&step) {
                vms.add_vm();
            }
            vms.pass(STEP).await;
        }
        vms.pass(time::Duration::from_secs(2)).await;
    }

    /// What broke the bounds, if anything did.
    fn broken(&self, vms: &crashing::CrashingVms) -> Option<String> {
        let late = self.sources.iter().map(|source| {
            let late = vms.board.late_of(source.cause, source.crashes, CONTACT);
            (source.cause, late)
        });
        let late: Vec<_> = late.filter(|(_, late)| *late > MAX_RETRIES).collect();
        let refused = vms.count("sound", QUARANTINED);
        let (sent, crashes) = (vms.ends_of("sound").len(), vms.board.crashes.borrow().len());
        let whole = vms.count("sound", CallEnd::Whole);
        println!(
            "{} sources, {crashes} crashes, sound {whole} of {sent}, {refused} refused, late {late:?}",
            self.sources.len()
        );
        (!late.is_empty() || refused > 0)
            .then(|| format!("late {late:?}, {refused} refused: {self:?}"))
    }
}

#[test]
fn mixes_of_bad_requests_are_refused_and_sound_ones_are_not() {
    // Guards against shapes of crashes that no other test has: several causes, early and late, with
    // callers that leave, beside engines that crash by themselves and VMs that start.
    let broken = rc::Rc::new(cell::RefCell::new(Vec::new()));
    let found = broken.clone();
    cluster::histories(MIXES, move |u| {
        let mix = CrashMix::draw(u)?;
        let found = found.clone();
        cluster::run(async move {
            let mut vms = crashing::CrashingVms::start(7, 3, 9);
            mix.play(&mut vms).await;
            found.borrow_mut().extend(mix.broken(&vms));
        });
        Ok(())
    });
    let broken = broken.borrow();
    assert!(
        broken.is_empty(),
        "{} of {MIXES}: {broken:#?}",
        broken.len()
    );
}
