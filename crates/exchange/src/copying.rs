//! Calls that copy a run to another server, and that release a copy.

use std::rc;

use tokio::time;

use crate::{
    plane, port,
    port::ResponseBody as _,
    serve_stream::{LiveRun, RelayEnd, StreamDriver},
    stop_calls,
};

/// Result of a copy, and how the stream of its run ended, if it did.
pub(crate) type CopyEnd = (stop_calls::CopyResult, Option<RelayEnd>);

/// Whether a server may have stopped a run for a copy with this result.
const fn may_have_stopped(copied: &stop_calls::CopyResult) -> bool {
    !matches!(copied, Err(port::CopyFault::NoRun | port::CopyFault::Busy))
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
    /// Copies a run, and forwards its output meanwhile. Also returns how its stream ended, if it did.
    pub(crate) async fn copy(
        &mut self,
        live: &mut LiveRun<P>,
        source: &port::ServerTarget,
        target: &port::ServerTarget,
        stop: bool,
    ) -> CopyEnd {
        let plane = self.plane.clone();
        let call = stop_calls::StopCall {
            server: live.placed.server,
            source: source.clone(),
            run: self.request.id.clone(),
            to: target.address,
        };
        if stop {
            self.pace.arrivals.interrupt();
        }
        let copying = async {
            if stop {
                plane.stop_run(&call).await
            } else {
                plane.copy_run(&call, false).await
            }
        };
        tokio::pin!(copying);
        let mut ended = None;
        let copied = loop {
            let Some(body) = live.body.as_mut() else {
                return (Err(port::CopyFault::Unreachable), Some(RelayEnd::Broken));
            };
            tokio::select! {
                biased;
                copied = &mut copying => break copied,
                part = body.next(), if ended.is_none() => match part {
                    Some(Ok(bytes)) if self.forward_event(live, &bytes).await => {
                        ended = Some(RelayEnd::Broken);
                    }
                    Some(Ok(_)) => {}
                    Some(Err(_)) => ended = Some(RelayEnd::Broken),
                    None => ended = Some(self.end_of_body(live)),
                },
            }
        };
        if stop && may_have_stopped(&copied) {
            live.may_be_stopped = true;
            if matches!(ended, Some(RelayEnd::Finished)) {
                ended = Some(self.end_of_body(live));
            }
        }
        (copied, ended)
    }
}
