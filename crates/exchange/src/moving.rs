//! How a stream's run goes on at another server.
//!
//! Its server leaves and a copy is kept up to date elsewhere: go on there at once. Its server leaves
//! and there is none: copy while it runs on, then stop it, copy the rest, go on there. Its server
//! dies: go on at the copy, if there is one. In each case the caller gets the events behind the last
//! whole one that it had, of the same run.

use base::outcome;
use tokio::time;

use crate::{
    fleet, port,
    port::AnswerBody as _,
    serve_stream::{CopyPlace, LiveRun, RelayEnd, StreamDriver, millis},
    server,
};

/// How long a stopped run's last events are waited for.
const STOPPED_REST: time::Duration = time::Duration::from_millis(150);
/// A copy that took less than this found the links free: the rest of the run is copied within a
/// pause that callers still take as on time, 180 ms.
const QUICK_COPY: time::Duration = time::Duration::from_millis(70);
/// Time after a server's notice by which its runs stop to be moved: it is gone 1.5 to 2.1 s after.
const STOP_BY: time::Duration = time::Duration::from_millis(1_150);

/// How long an engine keeps a copy that nobody asks for, less the time to ask for it.
const SPARE_KEPT: time::Duration = time::Duration::from_millis(4_500);

/// A copy that a move made before its source was gone. What the run made since is read anew where the
/// copy is. Without it, runs that waited behind others on their engine's link were lost with it: 50
/// streams of fifteen plays of 34 s at 9 engines, 23 with it.
pub(crate) struct SpareCopy {
    /// Server that holds it.
    to: fleet::ServerKey,
    /// Server that named it.
    origin: fleet::ServerKey,
    handle: String,
    made_at: time::Instant,
}

impl SpareCopy {
    fn new(to: fleet::ServerKey, origin: fleet::ServerKey, handle: String) -> Self {
        Self {
            to,
            origin,
            handle,
            made_at: time::Instant::now(),
        }
    }

    fn place(self) -> Option<CopyPlace> {
        let kept = self.made_at.elapsed() < SPARE_KEPT;
        kept.then_some(CopyPlace {
            to: self.to,
            or: None,
            origin: self.origin,
            handle: self.handle,
        })
    }
}

impl<P: port::ServerPort + 'static> StreamDriver<P> {
    /// Goes on at the server that holds a copy. Relaying pauses meanwhile, so that no event is
    /// passed on twice; the run here goes on until the one there has begun.
    pub(crate) async fn switch(
        &mut self,
        live: &mut LiveRun<P>,
        to: fleet::ServerKey,
    ) -> Option<RelayEnd> {
        let copy = CopyPlace {
            to,
            or: None,
            origin: to,
            handle: self.ask.id.clone(),
        };
        log::info!(
            request:% = self.ask.id, from:% = self.plane.server_id(live.placed.server),
            to:% = self.plane.server_id(to), events = self.splitter.events();
            "goes on at its backup"
        );
        let old = live.body.take();
        if self.resume(live, copy).await {
            self.splitter.drop_partial();
            drop(old);
            return None;
        }
        live.body = old;
        if let Some(run) = self.plane.state().fleet.run_mut(live.placed.run) {
            run.backup = None;
        }
        None
    }

    /// Copies the run while it goes on, then stops it and copies the rest.
    pub(crate) async fn move_run(
        &mut self,
        live: &mut LiveRun<P>,
        to: fleet::ServerKey,
    ) -> Option<RelayEnd> {
        let source = self.plane.target(live.placed.server)?;
        let target = self.plane.target(to)?;
        let started = time::Instant::now();
        let notice = self.plane.state().fleet.server(live.placed.server)?.since;
        let mut quick = false;
        loop {
            // Copies of other runs queue on the same links. While this one waits behind them the
            // run goes on; it stops for the last part only once that is quick, or time is short.
            let stop = quick || notice.elapsed() > STOP_BY;
            let began = time::Instant::now();
            let (copied, ended) = self.copy_once(live, &source, &target, stop).await;
            log::info!(
                request:% = self.ask.id, from:% = source.id, to:% = target.id, stop,
                outcome:? = copied, ms = millis(started); "copied"
            );
            let from = live.placed.server;
            let copy = |to, or, handle| CopyPlace {
                to,
                or,
                origin: from,
                handle,
            };
            let stopped = match (copied, stop) {
                (Ok(done), false) if !matches!(ended, Some(RelayEnd::Finished)) => {
                    self.keep_spare(SpareCopy::new(to, from, done.handle), &source);
                    if ended.is_some() {
                        return ended;
                    }
                    quick = began.elapsed() < QUICK_COPY;
                    continue;
                }
                (Ok(done), true) => copy(to, Some(from), done.handle),
                (Err(port::CopyFault::NoRoom(Some(handle))), true) => copy(from, None, handle),
                (copied, _) => {
                    self.end_move(copied, ended.as_ref(), source, to);
                    return ended;
                }
            };
            if ended.is_none() {
                self.read_rest(live).await;
            }
            return Some(RelayEnd::Stopped(stopped));
        }
    }

    /// A move came to nothing: frees what was copied, unless it is all that is left of the run.
    fn end_move(
        &mut self,
        copied: Result<port::CopyDone, port::CopyFault>,
        ended: Option<&RelayEnd>,
        source: port::ServerTarget,
        to: fleet::ServerKey,
    ) {
        if matches!(copied, Err(port::CopyFault::NoRoom(_))) {
            self.note_full(to);
        }
        let gone = matches!(copied, Err(port::CopyFault::Unreachable));
        if gone || matches!(ended, Some(RelayEnd::Broken)) {
            return;
        }
        let spare = self.spare.take().map(|spare| spare.handle);
        let made = copied.ok().map(|done| done.handle).or(spare);
        self.release(source, made);
    }

    /// Copies a run once, passing on what it makes meanwhile. Tells also how its stream ended, if it
    /// did.
    async fn copy_once(
        &mut self,
        live: &mut LiveRun<P>,
        source: &port::ServerTarget,
        target: &port::ServerTarget,
        stop: bool,
    ) -> (Result<port::CopyDone, port::CopyFault>, Option<RelayEnd>) {
        let plane = self.plane.clone();
        let run = self.ask.id.clone();
        let copying = plane.port.copy(source.clone(), run, target.address, stop);
        tokio::pin!(copying);
        let mut ended = None;
        loop {
            let Some(body) = live.body.as_mut() else {
                return (Err(port::CopyFault::Unreachable), Some(RelayEnd::Broken));
            };
            tokio::select! {
                biased;
                copied = &mut copying => return (copied, ended),
                part = body.next(), if ended.is_none() => match part {
                    Some(Ok(bytes)) => self.pass(live, &bytes).await,
                    Some(Err(_)) => ended = Some(RelayEnd::Broken),
                    None => ended = Some(RelayEnd::Finished),
                },
            }
        }
    }

    /// Keeps the copy that a run can go on from should its server be gone; of two the later.
    fn keep_spare(&mut self, spare: SpareCopy, source: &port::ServerTarget) {
        let handle = spare.handle.clone();
        let before = self.spare.replace(spare);
        if let Some(before) = before.filter(|before| before.handle != handle) {
            self.release(source.clone(), Some(before.handle));
        }
    }

    /// Frees a copy that will not be used. Left alone it would take a run's memory at its engine
    /// for another five seconds, and keep other runs from moving there.
    fn release(&self, source: port::ServerTarget, handle: Option<String>) {
        let Some(handle) = handle else { return };
        let plane = self.plane.clone();
        tokio::task::spawn_local(async move { plane.port.release(source, handle).await });
    }

    /// Passes on what a stopped run had still made.
    async fn read_rest(&mut self, live: &mut LiveRun<P>) {
        let until = time::Instant::now() + STOPPED_REST;
        while let Some(body) = live.body.as_mut() {
            match time::timeout_at(until, body.next()).await {
                Ok(Some(Ok(bytes))) => self.pass(live, &bytes).await,
                _ => return,
            }
        }
    }

    /// Sends the request to where it goes on. On success the run is counted there.
    pub(crate) async fn resume(&mut self, live: &mut LiveRun<P>, copy: CopyPlace) -> bool {
        let now = time::Instant::now();
        for server in std::iter::once(copy.to).chain(copy.or) {
            let moves = server != live.placed.server;
            if moves && self.plane.state().fleet.is_evacuated(server) {
                continue;
            }
            self.plane.state().force_retry(&self.ask.service, now);
            let backup = self.next_backup(server);
            let Some(origin) = self.plane.target(copy.origin) else {
                return false;
            };
            let resume = port::ResumePoint {
                origin: origin.address,
                handle: copy.handle.clone(),
                last_event: self.splitter.last_id().map(str::to_owned),
            };
            let held = self.set_backup(live, backup);
            let Some(call) = self.call(live, Some(resume), server) else {
                continue;
            };
            let opened = self.plane.port.open(call).await;
            match opened {
                port::CallOutcome::Answered(answer) if answer.status.is_success() => {
                    self.moved(live, server);
                    self.spare = None;
                    live.body = Some(answer.body);
                    self.passed += 1;
                    metrics::counter!("pollenchute_exchange_resumed_total").increment(1);
                    log::info!(
                        request:% = self.ask.id, server:% = self.plane.server_id(server),
                        ms = millis(now), last_event:? = self.splitter.last_id(); "goes on"
                    );
                    return true;
                }
                other => {
                    let ran = other.ran();
                    self.set_backup(live, held);
                    log::info!(
                        request:% = self.ask.id, server:% = self.plane.server_id(server),
                        ran:? = ran, ms = millis(now); "does not go on there"
                    );
                    if ran != outcome::RanState::No {
                        return false;
                    }
                }
            }
        }
        false
    }

    /// Where the copy of a run that goes on at `server` is kept from now on.
    fn next_backup(&self, server: fleet::ServerKey) -> Option<fleet::ServerKey> {
        let mut state = self.plane.state();
        let engine = state.service(&self.ask.service)?.engine?;
        state.backup_for(&self.ask, server, &engine, time::Instant::now())
    }

    fn set_backup(
        &self,
        live: &LiveRun<P>,
        backup: Option<fleet::ServerKey>,
    ) -> Option<fleet::ServerKey> {
        let mut state = self.plane.state();
        let run = state.fleet.run_mut(live.placed.run)?;
        std::mem::replace(&mut run.backup, backup)
    }

    fn moved(&self, live: &mut LiveRun<P>, server: fleet::ServerKey) {
        live.placed.server = server;
        if let Some(run) = self.plane.state().fleet.run_mut(live.placed.run) {
            run.server = server;
            run.moving_to = None;
        }
        self.plane.tell_loads();
        self.plane.stir();
    }

    /// The copy that a run whose server broke off can go on from.
    pub(crate) fn copy_of_broken(&mut self, live: &LiveRun<P>) -> Option<CopyPlace> {
        let server = live.placed.server;
        log::info!(
            request:% = self.ask.id, server:% = self.plane.server_id(server),
            events = self.splitter.events(); "stream broke off"
        );
        self.plane.judge(server, server::ServerVerdict::Failed);
        self.accuse(server);
        let backup = {
            let state = self.plane.state();
            state.fleet.run(live.placed.run)?.backup
        };
        let Some(to) = backup else {
            return self.spare.take().and_then(SpareCopy::place);
        };
        Some(CopyPlace {
            to,
            or: None,
            origin: to,
            handle: self.ask.id.clone(),
        })
    }
}
