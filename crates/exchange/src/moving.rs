//! Continuation of a stream's run on another server.
//!
//! If the server leaves and a current proactive copy exists, the run continues there at once. If it
//! leaves and there is none, the run is copied while it continues, then stopped, the rest is
//! copied, and it continues on the target. If the server crashes, the run continues from its copy,
//! if there is one. In each case the caller gets the events of the same run after the last complete
//! one that it received.

use base::outcome;
use tokio::time;

use crate::{
    budget, fleet, loans, permit, port,
    port::ResponseBody as _,
    serve_stream::{CopyPlace, LiveRun, RelayEnd, StreamDriver, millis},
    server, switching,
};

/// Timeout for the last events of a stopped run.
const REST_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Max duration of a copy for the links to count as free: the remainder is then copied within a
/// pause of 180 ms, which callers still accept as on time.
const MAX_QUICK_COPY: time::Duration = time::Duration::from_millis(70);
/// Delay after a server's notice from which its runs are stopped for the move: the server ends
/// 1.5 to 2.1 s after the notice.
const STOP_DELAY: time::Duration = time::Duration::from_millis(1_150);

/// Delay before a run is moved again that was stopped and found no room.
const NO_ROOM_DELAY: time::Duration = time::Duration::from_millis(800);
/// Time after a server's notice within which a run may continue there: the users allow new work for
/// two seconds.
const MAX_RESUME_AFTER_NOTICE: time::Duration = time::Duration::from_millis(1_500);

/// How long a copy can be used: the time that an engine keeps an unused copy, minus the time to
/// request it.
const SPARE_RETENTION: time::Duration = time::Duration::from_millis(4_500);

/// Max wait until a repeat is left and the server on which a run continues takes the request: callers
/// leave after a pause of two seconds.
const MAX_RESUME_WAIT: time::Duration = time::Duration::from_millis(1_500);

/// Timeout for the answer of the server on which a run continues, while the old run goes on. Both may
/// work on the request for 400 ms at most, in which the old one is also stopped; servers answer within
/// 50 ms.
const MAX_OVERLAP: time::Duration = time::Duration::from_millis(250);

/// Result of the attempts to continue a run on other servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResumeEnd {
    /// It goes on there.
    WentOn,
    /// No other server has run it.
    NotRun,
    /// Another server may have run it, and may be at work on it.
    MayRun,
}

/// A copy completed before its source ended. The output produced since is recomputed on the
/// server that holds the copy. Without these copies, runs that waited for others on their engine's
/// link were lost with the engine, about twice as many streams.
pub(crate) struct SpareCopy {
    /// Server that holds the copy.
    to: fleet::ServerKey,
    /// Server that issued the handle.
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
        let kept = self.made_at.elapsed() < SPARE_RETENTION;
        kept.then_some(CopyPlace {
            to: self.to,
            counted: false,
            fallback: None,
            origin: self.origin,
            handle: self.handle,
            is_stopped: false,
        })
    }
}

impl<P: port::ServerPort + 'static> StreamDriver<P> {
    /// Copies the run while it continues, then stops it and copies the rest. With `at_once`, it is
    /// stopped for the first copy.
    pub(crate) async fn move_run(
        &mut self,
        live: &mut LiveRun<P>,
        to: fleet::ServerKey,
        at_once: bool,
    ) -> Option<RelayEnd> {
        let source = self.plane.target(live.placed.server)?;
        let target = self.plane.target(to)?;
        let started = time::Instant::now();
        let notice = self.plane.state().fleet.server(live.placed.server)?.since;
        let mut links_free = false;
        // The first copy was counted against the limit of the server when the move was ordered.
        let mut copies = 0;
        loop {
            // Copies of other runs queue on the same links. The run continues while its copy waits
            // for them, and stops for the last part only once that is fast or time is short.
            // A limited server gets a single request for the copy.
            let limited = self.plane.is_limited(live.placed.server);
            let stop = at_once || limited || links_free || notice.elapsed() > STOP_DELAY;
            let copy_started = time::Instant::now();
            if copies > 0 {
                // The move is ordered again once the server takes the request.
                if !self.plane.may_send(live.placed.server) {
                    return None;
                }
                self.plane.count_request(live.placed.server, "copy");
            }
            copies += 1;
            let (copied, ended) = self.copy(live, &source, &target, stop).await;
            log::info!(
                request:% = self.request.id, from:% = source.id, to:% = target.id, stop,
                outcome:? = copied, ms = millis(started); "copied"
            );
            let from = live.placed.server;
            let copy = |place, fallback, handle| CopyPlace {
                to: place,
                counted: place == to,
                fallback,
                origin: from,
                handle,
                is_stopped: true,
            };
            let stopped = match (copied, stop) {
                (Ok(done), false) if !matches!(ended, Some(RelayEnd::Finished)) => {
                    self.keep_spare(SpareCopy::new(to, from, done.handle), &source);
                    if ended.is_some() {
                        return ended;
                    }
                    links_free = copy_started.elapsed() < MAX_QUICK_COPY;
                    continue;
                }
                (Ok(done), true) => copy(to, Some(from), done.handle),
                (Err(port::CopyFault::NoRoom(Some(handle))), true) => {
                    self.delay_move(live, to);
                    copy(from, None, handle)
                }
                (copied, _) => {
                    let run_lost = live.may_be_stopped || matches!(ended, Some(RelayEnd::Broken));
                    self.end_move(copied, run_lost, source, to);
                    return ended;
                }
            };
            if ended.is_none() {
                self.forward_rest(live).await;
            }
            return Some(RelayEnd::Stopped(stopped));
        }
    }

    /// Delays the next move of a run that was stopped in vain, because it is resumed where it was.
    fn delay_move(&self, live: &LiveRun<P>, full: fleet::ServerKey) {
        self.mark_full(full);
        if let Some(run) = self.plane.state().fleet.run_mut(live.placed.run) {
            run.move_after = Some(time::Instant::now() + NO_ROOM_DELAY);
        }
    }

    /// Ends a failed move: releases its copies, unless they may be all that is left of the run.
    fn end_move(
        &mut self,
        copied: Result<port::CopyDone, port::CopyFault>,
        run_lost: bool,
        source: port::ServerTarget,
        to: fleet::ServerKey,
    ) {
        if matches!(copied, Err(port::CopyFault::NoRoom(_))) {
            self.mark_full(to);
        }
        let source_lost = matches!(copied, Err(port::CopyFault::Unreachable));
        if source_lost || run_lost {
            return;
        }
        let spare = self.spare.take().map(|spare| spare.handle);
        let made = copied.ok().map(|done| done.handle).or(spare);
        self.plane.release_copy(source, made);
    }

    /// Keeps the newest copy, from which the run can continue if its server is lost, and releases
    /// the one before.
    fn keep_spare(&mut self, spare: SpareCopy, source: &port::ServerTarget) {
        let handle = spare.handle.clone();
        let before = self.spare.replace(spare);
        if let Some(before) = before.filter(|before| before.handle != handle) {
            self.plane.release_copy(source.clone(), Some(before.handle));
        }
    }

    /// Forwards the last events of a stopped run.
    async fn forward_rest(&mut self, live: &mut LiveRun<P>) {
        let until = time::Instant::now() + REST_TIMEOUT;
        while let Some(body) = live.body.as_mut() {
            match time::timeout_at(until, body.next()).await {
                Ok(Some(Ok(bytes))) if !self.forward_event(live, &bytes).await => {}
                _ => return,
            }
        }
    }

    /// Sends the request to the server on which it continues. On success the run is assigned to
    /// that server, and the body of the old run is dropped if it still goes on.
    pub(crate) async fn resume(&mut self, live: &mut LiveRun<P>, copy: CopyPlace) -> ResumeEnd {
        let now = time::Instant::now();
        for server in std::iter::once(copy.to).chain(copy.fallback) {
            let moves = server != live.placed.server;
            if moves && self.plane.state().fleet.is_evacuated(server) {
                continue;
            }
            let may_be_stopped = self.is_stop_pending(server).await;
            let counted = copy.counted && server == copy.to;
            if !self.count_resume(server, counted).await {
                continue;
            }
            let until = now + MAX_RESUME_WAIT;
            let permit = self.permit_resume(until).await;
            let Some(permit) = permit.filter(|_| !moves || !self.left_long_ago(server)) else {
                continue;
            };
            let backup = self.next_backup(server);
            let Some(origin) = self.plane.target(copy.origin) else {
                return ResumeEnd::NotRun;
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
            match self.send_resume(live, call, server, permit).await {
                port::CallOutcome::Responded(response) if response.status.is_success() => {
                    let left = live.placed.server;
                    self.go_on(live, server, response.body, may_be_stopped);
                    if moves && !copy.is_stopped {
                        self.stop_elsewhere(left, server, switching::StopCause::WentOn);
                    }
                    log::info!(
                        request:% = self.request.id, server:% = self.plane.server_id(server),
                        ms = millis(now), last_event:? = self.splitter.last_id(); "goes on"
                    );
                    return ResumeEnd::WentOn;
                }
                other => {
                    self.record_lost_resume(server, &other).await;
                    let ran = other.ran();
                    self.set_backup(live, held);
                    log::info!(
                        request:% = self.request.id, server:% = self.plane.server_id(server),
                        ran:? = ran, ms = millis(now); "does not go on there"
                    );
                    if ran != outcome::RanState::No {
                        return ResumeEnd::MayRun;
                    }
                }
            }
        }
        ResumeEnd::NotRun
    }

    /// Continues with the body of a server on which the run goes on.
    fn go_on(
        &mut self,
        live: &mut LiveRun<P>,
        server: fleet::ServerKey,
        body: P::Body,
        may_be_stopped: bool,
    ) {
        self.moved(live, server);
        self.spare = None;
        let (watch, events) = (self.watch(server), self.splitter.events());
        live.continue_with(body, watch, events, may_be_stopped);
        self.moves += 1;
        metrics::counter!("pollenchute_exchange_resumed_total").increment(1);
    }

    /// Sends an attempt to continue. While the old run goes on, the wait for the answer is limited:
    /// the server may have begun, and both would work on the request.
    async fn send_resume(
        &self,
        live: &LiveRun<P>,
        call: port::ServerCall,
        server: fleet::ServerKey,
        permit: permit::AttemptPermit,
    ) -> port::CallOutcome<P::Body> {
        let sending = self.plane.send_attempt(call, server, permit);
        if live.body.is_none() {
            return sending.await;
        }
        let answer = time::timeout(MAX_OVERLAP, sending).await;
        answer.unwrap_or(port::CallOutcome::Lost(port::LostCause::Silent))
    }

    /// Counts an attempt to go on against the limit of its server, unless that is done already.
    /// Returns false if the server takes none soon.
    async fn count_resume(&self, server: fleet::ServerKey, counted: bool) -> bool {
        if counted {
            self.plane.count_limited(server, "resume");
        } else if self.may_send_soon(server).await {
            self.plane.count_request(server, "resume");
        } else {
            return false;
        }
        true
    }

    /// Whether a server announced its end too long ago for a run to be sent there.
    fn left_long_ago(&self, server: fleet::ServerKey) -> bool {
        let now = time::Instant::now();
        let state = self.plane.state();
        state.fleet.server(server).is_none_or(|server| {
            let known_for = now.saturating_duration_since(server.since);
            !server.takes_work(now) && known_for > MAX_RESUME_AFTER_NOTICE
        })
    }

    /// Permits an attempt to go on. Waits until one is left or another VM has lent one,
    /// at most until `until`.
    async fn permit_resume(&self, until: time::Instant) -> Option<permit::AttemptPermit> {
        let plane = self.plane.clone();
        let service = &self.request.service;
        let mut ask_at = time::Instant::now();
        loop {
            let lent = plane.repeats_lent.notified();
            let now = time::Instant::now();
            if plane.state().resumes_left(service, now) > 0 || now >= until {
                break;
            }
            // A loan to another stream also wakes this one, which must not ask again at once.
            if now >= ask_at {
                plane.state().borrow_repeats(service, 1, now);
                plane.loans_due.notify_one();
                ask_at = now + loans::ASK_INTERVAL;
            }
            let _ = time::timeout_at(until.min(ask_at), lent).await;
        }
        let (kind, now) = (budget::RepeatKind::Resume, time::Instant::now());
        let mut state = plane.state();
        state.permit(&self.request, &self.attempts, kind, now)
    }

    /// Waits until a server may get a request; returns whether that is within `MAX_RESUME_WAIT`.
    async fn may_send_soon(&self, server: fleet::ServerKey) -> bool {
        let until = time::Instant::now() + MAX_RESUME_WAIT;
        loop {
            let now = time::Instant::now();
            let next = {
                let state = self.plane.state();
                let server = state.fleet.server(server);
                server.and_then(|server| server.next_request(now))
            };
            match next {
                Some(at) if at <= now => return true,
                Some(at) if at <= until => time::sleep_until(at).await,
                _ => return false,
            }
        }
    }

    /// Chooses the server for the proactive copy of a run that continues on `server`.
    fn next_backup(&self, server: fleet::ServerKey) -> Option<fleet::ServerKey> {
        let mut state = self.plane.state();
        let engine = state.service(&self.request.service)?.engine?;
        state.backup_for(&self.request, server, &engine, time::Instant::now())
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
        self.plane.announce_loads();
        self.plane.wake_decisions();
    }

    /// Returns the copy from which a run can continue after its server broke it off.
    pub(crate) async fn copy_after_break(&mut self, live: &LiveRun<P>) -> Option<CopyPlace> {
        let server = live.placed.server;
        log::info!(
            request:% = self.request.id, server:% = self.plane.server_id(server),
            events = self.splitter.events(); "stream broke off"
        );
        self.plane
            .record_outcome(server, server::ServerVerdict::Failed);
        self.plane.record_reach(server, time::Instant::now(), false);
        self.record_broken(live).await;
        let backup = {
            let state = self.plane.state();
            state.fleet.run(live.placed.run)?.backup
        };
        let Some(to) = backup else {
            return self.spare.take().and_then(SpareCopy::place);
        };
        Some(self.proactive_copy(to, false))
    }
}
