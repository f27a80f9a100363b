//! Calls that stop a run and copy it, repeated until one tells what became of the run.
//!
//! A call without an answer may have stopped the run. Its server then keeps the memory, and answers a later
//! call with a handle of it, so that the stream can go on.

use std::net;

use futures_util::{StreamExt as _, stream};
use tokio::time;

use crate::{fleet, plane, port};

/// Time without an answer after which another call is sent beside those before, whose connections may be
/// dead. A server that is copying answers it at once.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(400);
/// First and largest interval between calls whose answers do not tell what became of the run.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(40);
const MAX_INTERVAL: time::Duration = time::Duration::from_millis(160);
/// Time for which calls are repeated after the last sign that the server is copying the run.
const MAX_REPEATS: time::Duration = time::Duration::from_millis(600);
/// Time limit of all calls for one run: that of a copy.
const MAX_TIME: time::Duration = time::Duration::from_millis(2_500);

/// Result of a copy.
pub(crate) type CopyResult = Result<port::CopyDone, port::CopyFault>;

/// A run that is stopped and copied.
#[derive(Clone, Debug)]
pub(crate) struct StopCall {
    /// Server at which it runs.
    pub(crate) server: fleet::ServerKey,
    pub(crate) source: port::ServerTarget,
    pub(crate) run: String,
    /// Address of the server to which it is copied.
    pub(crate) to: net::SocketAddr,
}

impl<P: port::ServerPort + 'static> plane::ExchangePlane<P> {
    /// Copies a run once; with `stop`, it is stopped first.
    pub(crate) async fn copy_run(&self, call: &StopCall, stop: bool) -> CopyResult {
        let sent = time::Instant::now();
        let (source, run) = (call.source.clone(), call.run.clone());
        let copied = self.port.copy(source, run, call.to, stop).await;
        self.take_signals(call.server, sent, copied)
    }

    /// Stops a run and copies it. Returns `NoRun` or `Busy` only if the run was certainly not stopped. The
    /// first call has been counted against the limit of its server.
    pub(crate) async fn stop_run(&self, call: &StopCall) -> CopyResult {
        let began = time::Instant::now();
        let mut calls = stream::FuturesUnordered::new();
        calls.push(self.copy_run(call, true));
        let mut sent = 1;
        let mut repeat_until = None;
        let mut interval = MIN_INTERVAL;
        let mut next_at = began + MAX_SILENCE;
        let mut unknown = Err(port::CopyFault::Unreachable);
        loop {
            let copied = tokio::select! {
                biased;
                Some(copied) = calls.next() => copied,
                () = time::sleep_until(next_at) => {
                    let now = time::Instant::now();
                    let is_over = calls.is_empty() && repeat_until.is_some_and(|until| now >= until);
                    let may_send = self.may_send(call.server);
                    if is_over || now >= began + MAX_TIME || calls.is_empty() && !may_send {
                        return unknown;
                    }
                    if may_send {
                        self.count_request(call.server, "copy");
                        calls.push(self.copy_run(call, true));
                        sent += 1;
                    }
                    next_at = now + MAX_SILENCE;
                    continue;
                }
            };
            let now = time::Instant::now();
            match copied {
                Ok(_) | Err(port::CopyFault::NoRoom(Some(_))) => return copied,
                Err(port::CopyFault::NoRun | port::CopyFault::Busy) if sent == 1 => return copied,
                // It may have been stopped, and nothing keeps its memory.
                Err(port::CopyFault::NoRun) => return Err(port::CopyFault::Unreachable),
                Err(port::CopyFault::Busy) => repeat_until = Some(now + MAX_REPEATS),
                Err(_) => {
                    repeat_until.get_or_insert(now + MAX_REPEATS);
                    unknown = copied;
                }
            }
            if calls.is_empty() {
                next_at = now + interval;
                interval = (interval * 2).min(MAX_INTERVAL);
            }
        }
    }
}
