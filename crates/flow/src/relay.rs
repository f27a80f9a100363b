//! Relays a generation to a caller, token by token.

use std::{pin, sync, time::Duration};

use base::{fingerprint, id, outcome, refusal};
use tokio::time;
use trace::kind;

use crate::{
    admit, attempt, chunk, crash_tracker, pipe,
    port::{self, Grant as _, QuotaPermit as _},
    proof, quarantine, quota, readers, shared,
};

/// Number of tokens that are reported to the scheduler together.
pub(crate) const PROGRESS_BATCH: u32 = 16;

/// Retry delay given after a generation was lost; short, because a new one can start at once.
const LOST_RETRY: Duration = Duration::from_millis(100);

/// Resources that a stream holds besides its generation.
pub struct StreamResources<P: port::PortSet> {
    /// Its slot on the server; absent if another entry VM holds it.
    pub grant: Option<admit::SlotGrant<P>>,
    /// Its part of its organisation's quota.
    pub quota: Option<quota::QuotaPermit<P>>,
    /// Counts its content as running.
    pub run_guard: Option<crash_tracker::RunGuard>,
    /// Held if the content is a suspect, which runs alone.
    pub probe: Option<quarantine::ProbePermit>,
}

/// Relays one generation to one caller.
pub struct StreamRelay<P: port::PortSet> {
    pub(crate) shared: sync::Arc<shared::SharedPlane<P>>,
    pub(crate) request: id::RequestId,
    pub(crate) content: fingerprint::ContentHash,
    pub(crate) arrived_at: time::Instant,
    pub(crate) live: attempt::LiveAttempt<P>,
    /// Proof that tokens were delivered: only the same generation may continue the answer.
    pub(crate) relayed: proof::RelayedAttempt,
    pub(crate) resources: StreamResources<P>,
    pub(crate) writer: chunk::ChunkWriter,
    pub(crate) pipe: pipe::PipeWriter,
    pub(crate) reader: readers::ReaderGuard,
    pub(crate) token: String,
}

/// How a stream ended.
enum StreamEnd {
    /// All tokens were delivered.
    Finished(port::FinishReport),
    /// The generation cannot be continued from here.
    Lost(attempt::AttemptLoss),
    /// The caller closed its connection.
    CallerDisconnected,
    /// The caller stopped reading.
    CallerStalled,
    /// This entry VM is shutting down and another one continues the stream.
    HandedOver,
}

impl<P: port::PortSet> StreamRelay<P> {
    /// Relays to the end, starting with `first` if it has already arrived.
    pub async fn run(mut self, first: Option<attempt::AttemptStep>) {
        let end = self.relay(first).await;
        self.finish(end);
    }

    async fn relay(&mut self, first: Option<attempt::AttemptStep>) -> StreamEnd {
        let mut unreported = 0;
        let mut heartbeat = Box::pin(time::sleep(self.shared.settings.heartbeat_interval));
        let mut step = match first {
            Some(step) => step,
            None => match self.wait(heartbeat.as_mut()).await {
                Ok(step) => step,
                Err(end) => return end,
            },
        };
        loop {
            let has_space = match step {
                attempt::AttemptStep::Token { index, text } => {
                    unreported += 1;
                    if unreported == PROGRESS_BATCH || index == 0 {
                        self.report(std::mem::take(&mut unreported));
                    }
                    let writer = &self.writer;
                    self.pipe.append(|out| writer.token(out, index, &text))
                }
                attempt::AttemptStep::Finished(report) => {
                    self.report(unreported);
                    return StreamEnd::Finished(report);
                }
                attempt::AttemptStep::Lost(loss) => return StreamEnd::Lost(loss),
            };
            match has_space {
                Ok(true) => {}
                Ok(false) => {
                    let limit = self.shared.settings.caller_stall_timeout;
                    if let Err(end) = wait_for_space(&self.pipe, limit).await {
                        return end;
                    }
                }
                Err(pipe::CallerDisconnected) => return StreamEnd::CallerDisconnected,
            }
            step = match self.wait(heartbeat.as_mut()).await {
                Ok(step) => step,
                Err(end) => return end,
            };
        }
    }

    /// Waits for the next step and sends the caller heartbeats meanwhile.
    async fn wait(
        &mut self,
        mut timer: pin::Pin<&mut time::Sleep>,
    ) -> Result<attempt::AttemptStep, StreamEnd> {
        if self.shared.gate.is_handing_over() {
            return Err(StreamEnd::HandedOver);
        }
        let heartbeat = self.shared.settings.heartbeat_interval;
        let mut sent_at = time::Instant::now();
        let next = self.live.next();
        tokio::pin!(next);
        loop {
            tokio::select! {
                biased;
                step = &mut next => return Ok(step),
                () = self.pipe.disconnected() => return Err(StreamEnd::CallerDisconnected),
                () = timer.as_mut() => {}
            }
            if self.shared.gate.is_handing_over() {
                return Err(StreamEnd::HandedOver);
            }
            // The timer is reset only when it fires, so that a token costs no timer operation.
            let now = time::Instant::now();
            if sent_at + heartbeat <= now {
                sent_at = now;
                let sent = self
                    .pipe
                    .append(|out| out.extend_from_slice(chunk::HEARTBEAT));
                if sent.is_err() {
                    return Err(StreamEnd::CallerDisconnected);
                }
            }
            timer.as_mut().reset(sent_at + heartbeat);
        }
    }

    fn report(&mut self, tokens: u32) {
        if let Some(grant) = &self.resources.grant {
            grant.progress(tokens);
        }
        if let Some(quota) = &mut self.resources.quota {
            quota.charge(tokens);
        }
    }

    fn finish(mut self, end: StreamEnd) {
        match end {
            StreamEnd::Finished(report) => {
                let writer = &self.writer;
                let _ = self.pipe.append(|out| writer.finish(out, &report));
                self.shared
                    .crash_tracker
                    .record_success(self.content, self.shared.now_ms());
                if let Some(grant) = self.resources.grant.take() {
                    grant.finished(report.produced);
                }
                self.shared.record(
                    self.request,
                    kind::EventKind::RequestFinished {
                        tokens: report.produced,
                        after_ms: shared::millis_since(self.arrived_at),
                        finish: chunk::finish_name(report.finish).to_owned(),
                    },
                );
            }
            StreamEnd::Lost(loss) => self.end_lost(loss),
            StreamEnd::HandedOver => {
                let message = "this entry VM is shutting down; continue at another one with the \
                               request in `pollenchute.continue`";
                self.end_early(refusal::RefusalCode::NotReady, message.to_owned(), true);
                self.live.release();
            }
            StreamEnd::CallerStalled => {
                let message = "the caller did not read in time; continue with the request in \
                               `pollenchute.continue`";
                self.end_early(
                    refusal::RefusalCode::DeadlineExceeded,
                    message.to_owned(),
                    true,
                );
                self.linger();
            }
            StreamEnd::CallerDisconnected => self.linger(),
        }
    }

    fn end_lost(mut self, loss: attempt::AttemptLoss) {
        metrics::counter!("pollenchute_flow_generations_lost_total").increment(1);
        let message = format!(
            "the generation was lost after token {}: {}; send the request again",
            self.live.next_index(),
            loss.cause
        );
        // A server that is unreachable from here may be reachable from another entry VM.
        let can_continue = loss.kind == attempt::LossKind::Unreachable;
        self.end_early(refusal::RefusalCode::GenerationLost, message, can_continue);
        if let Some(grant) = self.resources.grant.take() {
            grant.failed(loss.kind.failure());
        }
        if can_continue {
            self.linger();
        } else if !self.reader.is_last() {
            self.live.release();
        }
    }

    /// Ends the caller's stream with a refusal, which links to the rest if `can_continue`.
    fn end_early(&self, code: refusal::RefusalCode, message: String, can_continue: bool) {
        let body = shared::retryable_refusal(code, message, LOST_RETRY);
        let refused = self.relayed.refused(body);
        let body = refused.body();
        self.shared.record(
            self.request,
            kind::EventKind::RequestRefused {
                code,
                ran: body.ran,
                retry_after_ms: body.retry_after_ms.unwrap_or(0),
                reason: body.message.clone(),
            },
        );
        let rest = can_continue.then(|| chunk::ContinuationLink {
            token: &self.token,
            from: self.live.next_index(),
        });
        // The caller may have disconnected meanwhile.
        let _ = self
            .pipe
            .append(|out| chunk::write_refusal(out, body, rest));
    }

    /// Keeps the generation of a disconnected caller for a while, so that the caller can continue
    /// it here or at another entry VM.
    fn linger(self) {
        let linger = self.shared.settings.linger;
        let (request, shared) = (self.request, self.shared.clone());
        // The pipe and the connection are no longer needed.
        let pass = shared.gate.extend();
        let Self {
            live,
            resources,
            reader,
            ..
        } = self;
        tokio::spawn(async move {
            let _held = (resources, pass);
            let mut live = live;
            live.disconnect();
            time::sleep(linger).await;
            if !reader.is_last() {
                live.release();
                return;
            }
            shared.record(
                request,
                kind::EventKind::RequestCancelled {
                    ran: outcome::RanState::Yes,
                    reason: "its caller disconnected".to_owned(),
                },
            );
            // Dropping `live` cancels its generation.
        });
    }
}

/// Waits until the caller has read enough to leave space in the pipe, at most for `limit`.
async fn wait_for_space(pipe: &pipe::PipeWriter, limit: Duration) -> Result<(), StreamEnd> {
    match time::timeout(limit, pipe.space()).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(pipe::CallerDisconnected)) => Err(StreamEnd::CallerDisconnected),
        Err(_) => Err(StreamEnd::CallerStalled),
    }
}
