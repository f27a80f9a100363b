//! Continuation of a stream's run at the server that holds its proactive copy.
//!
//! The old run goes on until the other server has begun, so that nothing is lost if that has no copy.
//! Then it is stopped, as after each continuation of a run that was not stopped before: some servers
//! work on after their connection has been closed.
//! If it is unknown whether the other server has begun, the old run is stopped, since both would work
//! on the request, and the stream goes on from the memory of the stopped run.

use tokio::{sync::oneshot, time};

use crate::{
    fleet, moving, port, relocate,
    serve_stream::{CopyPlace, LiveRun, RelayEnd, StreamDriver},
    stop_calls,
};

/// Time for which a server gets no copy after an attempt there without a known outcome.
const AVOID_TIME: time::Duration = time::Duration::from_millis(500);
/// Timeout for the answer to a call that stops the run at a server where it is to go on: callers leave
/// after a pause of two seconds.
const MAX_STOP_WAIT: time::Duration = time::Duration::from_millis(1_300);

/// Time for a server to notice that the connection of a run was closed, before it is asked to stop the
/// run: most servers drop it then, and have nothing to copy.
const CLOSE_NOTICE_TIME: time::Duration = time::Duration::from_millis(50);

/// Why a run is stopped at a server other than that of the live attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopCause {
    /// The server gave no answer, and may have begun the run.
    NoAnswer,
    /// The run went on at another server.
    WentOn,
}

impl StopCause {
    const fn name(self) -> &'static str {
        match self {
            Self::NoAnswer => "no_answer",
            Self::WentOn => "went_on",
        }
    }
}

/// A call that stops the run at a server that may be at work on it.
pub(crate) struct StopElsewhere {
    server: fleet::ServerKey,
    /// Completes once the server has answered the call.
    answered: oneshot::Receiver<()>,
}

impl<P: port::ServerPort + 'static> StreamDriver<P> {
    /// Continues the run on the server that holds its copy. Forwarding pauses meanwhile, so that no
    /// event is sent twice.
    pub(crate) async fn switch(
        &mut self,
        live: &mut LiveRun<P>,
        to: fleet::ServerKey,
    ) -> Option<RelayEnd> {
        log::info!(
            request:% = self.request.id, from:% = self.plane.server_id(live.placed.server),
            to:% = self.plane.server_id(to), events = self.splitter.events();
            "goes on at its backup"
        );
        match self.resume(live, self.proactive_copy(to, true)).await {
            moving::ResumeEnd::WentOn => {
                self.splitter.drop_partial();
                return None;
            }
            moving::ResumeEnd::NotRun => {}
            moving::ResumeEnd::MayRun => return Some(self.stop_old_run(live, to).await),
        }
        // Events that arrived meanwhile waited for this VM, not for the engine.
        self.pace.arrivals.interrupt();
        if let Some(run) = self.plane.state().fleet.run_mut(live.placed.run) {
            run.backup = None;
        }
        None
    }

    /// The proactive copy of the run at a server.
    pub(crate) fn proactive_copy(&self, at: fleet::ServerKey, counted: bool) -> CopyPlace {
        CopyPlace {
            to: at,
            counted,
            fallback: None,
            origin: at,
            handle: self.request.id.clone(),
            is_stopped: false,
        }
    }

    /// Ends a run that may go on at another server as well. It is stopped and copied to a third one if
    /// that has room, and the stream goes on from the memory of the stopped run. Where that fails, the
    /// run is dropped, and the stream goes on at the other server if that has not used its copy yet.
    async fn stop_old_run(&mut self, live: &mut LiveRun<P>, other: fleet::ServerKey) -> RelayEnd {
        let to = self.stop_target(live, other);
        log::info!(
            request:% = self.request.id, server:% = self.plane.server_id(live.placed.server),
            other:% = self.plane.server_id(other),
            to:? = to.map(|to| self.plane.server_id(to)); "may run at its backup; stopping the old run"
        );
        if let Some(to) = to {
            self.stop_elsewhere(other, live.placed.server, StopCause::NoAnswer);
            self.plane.count_request(live.placed.server, "copy");
            self.plane.count_request(to, "copy");
            if let Some(end) = self.move_run(live, to, true).await {
                return end;
            }
        }
        RelayEnd::Stopped(self.proactive_copy(other, false))
    }

    /// Chooses the server to which the run is copied when it is stopped: a third one, or `other`.
    /// `None` if the run can't be stopped.
    fn stop_target(&self, live: &LiveRun<P>, other: fleet::ServerKey) -> Option<fleet::ServerKey> {
        let now = time::Instant::now();
        let mut state = self.plane.state();
        let service = &self.request.service;
        let engine = state.service(service)?.engine?;
        if !engine.moves || !state.fleet.may_send(live.placed.server, now) {
            return None;
        }
        state.fleet.mark_full(other, now + AVOID_TIME);
        let (fleet, rng) = state.fleet_and_rng();
        let third = relocate::copy_target(fleet, live.placed.run, service, &engine, now, rng);
        third.or(Some(other))
    }

    /// Stops the run at a server. The call names another server for a copy, which is released.
    pub(crate) fn stop_elsewhere(
        &mut self,
        server: fleet::ServerKey,
        copy_to: fleet::ServerKey,
        cause: StopCause,
    ) {
        let (source, to) = (self.plane.target(server), self.plane.target(copy_to));
        let (Some(source), Some(to)) = (source, to) else {
            return;
        };
        if !self.plane.may_send(server) {
            return;
        }
        self.plane.count_request(server, "copy");
        let plane = self.plane.clone();
        let call = stop_calls::StopCall {
            server,
            source,
            run: self.request.id.clone(),
            to: to.address,
        };
        let (answer, answered) = oneshot::channel();
        self.stops_elsewhere.retain(|stop| stop.server != server);
        self.stops_elsewhere
            .push(StopElsewhere { server, answered });
        tokio::task::spawn_local(async move {
            let copied = match cause {
                StopCause::NoAnswer => plane.copy_run(&call, true).await,
                StopCause::WentOn => {
                    time::sleep(CLOSE_NOTICE_TIME).await;
                    plane.stop_run(&call).await
                }
            };
            let (server, outcome) = (call.source, outcome_name(&copied));
            metrics::counter!("pollenchute_exchange_stops_elsewhere_total", "cause" => cause.name(), "outcome" => outcome)
                .increment(1);
            log::info!(
                request:% = call.run, server:% = server.id, cause = cause.name(), outcome:? = copied;
                "stopped elsewhere"
            );
            if copied != Err(port::CopyFault::Unreachable) {
                // The driver may have gone on without waiting.
                let _ = answer.send(());
            }
            if let Ok(port::CopyDone { handle, .. }) | Err(port::CopyFault::NoRoom(Some(handle))) =
                copied
            {
                plane.release_copy(server, Some(handle));
            }
        });
    }

    /// Waits until a server has answered the call that stops the run there, if there was one: read later,
    /// it would stop the run that goes on. Returns whether it may still do so.
    pub(crate) async fn is_stop_pending(&mut self, server: fleet::ServerKey) -> bool {
        let mut stops = self.stops_elsewhere.iter_mut();
        let Some(stop) = stops.find(|stop| stop.server == server) else {
            return false;
        };
        let answered = time::timeout(MAX_STOP_WAIT, &mut stop.answered).await;
        let pending = !matches!(answered, Ok(Ok(())));
        if !pending {
            self.stops_elsewhere.retain(|stop| stop.server != server);
        }
        pending
    }
}

/// What a call to stop a run found, in metrics.
const fn outcome_name(copied: &stop_calls::CopyResult) -> &'static str {
    match copied {
        Ok(_) | Err(port::CopyFault::NoRoom(Some(_))) => "stopped",
        Err(port::CopyFault::NoRun) => "no_run",
        Err(_) => "unknown",
    }
}
