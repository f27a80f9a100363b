//! Continuation of a stream's run at the server that holds its proactive copy.
//!
//! The old run goes on until the other server has begun, so that nothing is lost if that has no copy.
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

/// A call that stops the run at a server that may have begun it.
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
            self.stop_other_run(live, other);
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

    /// Stops the run at a server that gave no answer: some servers work on after their connection has
    /// been closed. The call names a server for a copy, which is released.
    fn stop_other_run(&mut self, live: &LiveRun<P>, other: fleet::ServerKey) {
        let server = self.plane.target(other);
        let source = self.plane.target(live.placed.server);
        let (Some(server), Some(source)) = (server, source) else {
            return;
        };
        if !self.plane.may_send(other) {
            return;
        }
        self.plane.count_request(other, "copy");
        let plane = self.plane.clone();
        let call = stop_calls::StopCall {
            server: other,
            source: server,
            run: self.request.id.clone(),
            to: source.address,
        };
        let (answer, answered) = oneshot::channel();
        self.stop_elsewhere = Some(StopElsewhere {
            server: other,
            answered,
        });
        tokio::task::spawn_local(async move {
            let copied = plane.copy_run(&call, true).await;
            let server = call.source;
            log::info!(request:% = call.run, server:% = server.id, outcome:? = copied; "stopped elsewhere");
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
        let stop = self.stop_elsewhere.as_mut();
        let Some(stop) = stop.filter(|stop| stop.server == server) else {
            return false;
        };
        let answered = time::timeout(MAX_STOP_WAIT, &mut stop.answered).await;
        let pending = !matches!(answered, Ok(Ok(())));
        if !pending {
            self.stop_elsewhere = None;
        }
        pending
    }
}
