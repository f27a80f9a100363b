//! Calls that copy a run to another server, and that release a copy.

use std::rc;

use tokio::time;

use crate::{
    plane, port,
    port::ResponseBody as _,
    serve_stream::{LiveRun, RelayEnd, StreamDriver},
};

/// Time for which a call to stop a run is repeated after one without an answer. A copy takes some
/// 300 ms, and is answered once it is complete.
const MAX_STOP_REPEATS: time::Duration = time::Duration::from_millis(600);
/// Interval between these calls.
const STOP_REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Result of a copy, and how the stream of its run ended, if it did.
pub(crate) type CopyEnd = (Result<port::CopyDone, port::CopyFault>, Option<RelayEnd>);

/// Whether a server may have stopped a run for a copy with this result.
const fn may_have_stopped(copied: &Result<port::CopyDone, port::CopyFault>) -> bool {
    !matches!(copied, Err(port::CopyFault::NoRun | port::CopyFault::Busy))
}

/// Whether it is unknown what became of a call with this result.
const fn is_in_doubt(copied: &Result<port::CopyDone, port::CopyFault>) -> bool {
    matches!(
        copied,
        Err(port::CopyFault::Unreachable | port::CopyFault::Busy)
    )
}

impl<P: port::ServerPort + 'static> plane::ExchangePlane<P> {
    /// Releases an unused copy. Otherwise it would hold a run's memory on its engine for another
    /// five seconds, and keep other runs from moving there.
    pub(crate) fn release_copy(
        self: &rc::Rc<Self>,
        source: port::ServerTarget,
        handle: Option<String>,
    ) {
        let Some(handle) = handle else { return };
        let key = self.state().fleet.find(&source.id);
        if let Some(key) = key {
            // A restricted server frees the copy itself once it expires.
            if self.is_restricted(key) {
                return;
            }
            self.count_request(key, "release");
        }
        let plane = self.clone();
        tokio::task::spawn_local(async move {
            let sent = time::Instant::now();
            let reply = plane.port.release(source, handle).await;
            if let Some(key) = key {
                plane.take_signals(key, sent, reply);
            }
        });
    }
}

impl<P: port::ServerPort + 'static> StreamDriver<P> {
    /// Copies a run. With `stop`, the call is repeated while it is unknown what became of it: the
    /// server may have stopped the run, and keeps its memory. Without an answer nobody could use that.
    pub(crate) async fn copy(
        &mut self,
        live: &mut LiveRun<P>,
        source: &port::ServerTarget,
        target: &port::ServerTarget,
        stop: bool,
    ) -> CopyEnd {
        let (mut copied, mut ended) = self.copy_once(live, source, target, stop, None).await;
        let until = time::Instant::now() + MAX_STOP_REPEATS;
        while stop && is_in_doubt(&copied) {
            time::sleep(STOP_REPEAT_INTERVAL).await;
            let server = live.placed.server;
            let is_late = time::Instant::now() >= until;
            if is_late || live.body.is_none() || !self.plane.may_send(server) {
                break;
            }
            self.plane.count_request(server, "copy");
            (copied, ended) = self.copy_once(live, source, target, true, ended).await;
        }
        (copied, ended)
    }

    /// Copies a run once, and forwards its output meanwhile, unless its stream has ended. Also returns
    /// how its stream ended, if it did.
    async fn copy_once(
        &mut self,
        live: &mut LiveRun<P>,
        source: &port::ServerTarget,
        target: &port::ServerTarget,
        stop: bool,
        mut ended: Option<RelayEnd>,
    ) -> CopyEnd {
        let plane = self.plane.clone();
        let run = self.request.id.clone();
        let from = live.placed.server;
        let sent = time::Instant::now();
        if stop {
            self.pace.arrivals.interrupt();
        }
        let copying = plane.port.copy(source.clone(), run, target.address, stop);
        tokio::pin!(copying);
        let mut was_reset = false;
        let copied = loop {
            let Some(body) = live.body.as_mut() else {
                return (Err(port::CopyFault::Unreachable), Some(RelayEnd::Broken));
            };
            tokio::select! {
                biased;
                copied = &mut copying => break plane.take_signals(from, sent, copied),
                part = body.next(), if ended.is_none() => match part {
                    Some(Ok(bytes)) if self.forward_event(live, &bytes).await => {
                        ended = Some(RelayEnd::Broken);
                    }
                    Some(Ok(_)) => {}
                    Some(Err(_)) => {
                        was_reset = true;
                        ended = Some(RelayEnd::Broken);
                    }
                    None => ended = Some(self.end_of_body(live)),
                },
            }
        };
        if was_reset {
            live.body = None;
        }
        if stop && may_have_stopped(&copied) {
            live.may_be_stopped = true;
            if matches!(ended, Some(RelayEnd::Finished)) {
                ended = Some(self.end_of_body(live));
            }
        }
        (copied, ended)
    }
}
