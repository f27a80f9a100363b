//! Relaying a generation to a caller, token by token.

use std::{pin, sync, time::Duration};

use base::{fingerprint, id, outcome, refusal};
use tokio::time;
use trace::kind;

use crate::{
    admit, attempt, chunk, crash_tracker, pipe,
    port::{self, Grant as _, QuotaPermit as _},
    proof, quarantine, quota, readers, shared,
};

/// Tokens are reported to the scheduler in lots of this many.
pub(crate) const PROGRESS_LOT: u32 = 16;

/// When to come back after a generation was lost: a new one can start at once.
const LOST_RETRY: Duration = Duration::from_millis(100);

/// What a stream holds besides its generation.
pub struct StreamResources<P: port::PortSet> {
    /// Its place; absent when another entry VM holds it.
    pub grant: Option<admit::PlaceGrant<P>>,
    /// Its share of its organisation's limits.
    pub quota: Option<quota::QuotaPermit<P>>,
    /// Marks its content as running.
    pub mark: Option<crash_tracker::RunGuard>,
    /// Held by a suspect.
    pub probe: Option<quarantine::ProbePass>,
}

/// A generation on its way to a caller.
pub struct StreamRelay<P: port::PortSet> {
    pub(crate) shared: sync::Arc<shared::SharedPlane<P>>,
    pub(crate) request: id::RequestId,
    pub(crate) content: fingerprint::ContentHash,
    pub(crate) arrived_at: time::Instant,
    pub(crate) live: attempt::LiveTry<P>,
    /// Nothing but the same generation may follow.
    pub(crate) flowing: proof::FlowingTry,
    pub(crate) resources: StreamResources<P>,
    pub(crate) writer: chunk::ChunkWriter,
    pub(crate) pipe: pipe::PipeWriter,
    pub(crate) reader: readers::ReaderGuard,
    pub(crate) token: String,
}

/// How a stream ended.
enum StreamEnd {
    /// Whole.
    Finished(port::FinishReport),
    /// The rest is not coming.
    Lost(attempt::TryLoss),
    /// The caller is gone.
    CallerDisconnected,
    /// The caller reads nothing.
    CallerStalled,
    /// Another entry VM goes on.
    HandedOver,
}

impl<P: port::PortSet> StreamRelay<P> {
    /// Relays to the end, beginning with `first` when it is there already.
    pub async fn run(mut self, first: Option<attempt::TryStep>) {
        let end = self.relay(first).await;
        self.finish(end);
    }

    async fn relay(&mut self, first: Option<attempt::TryStep>) -> StreamEnd {
        let mut unreported = 0;
        let mut beat = Box::pin(time::sleep(self.shared.settings.heartbeat));
        let mut step = match first {
            Some(step) => step,
            None => match self.wait(beat.as_mut()).await {
                Ok(step) => step,
                Err(end) => return end,
            },
        };
        loop {
            let has_space = match step {
                attempt::TryStep::Token { index, text } => {
                    unreported += 1;
                    if unreported == PROGRESS_LOT || index == 0 {
                        self.report(std::mem::take(&mut unreported));
                    }
                    let writer = &self.writer;
                    self.pipe.append(|out| writer.token(out, index, &text))
                }
                attempt::TryStep::Finished(report) => {
                    self.report(unreported);
                    return StreamEnd::Finished(report);
                }
                attempt::TryStep::Lost(loss) => return StreamEnd::Lost(loss),
            };
            match has_space {
                Ok(true) => {}
                Ok(false) => {
                    let limit = self.shared.settings.caller_stall;
                    if let Err(end) = caller_reads(&self.pipe, limit).await {
                        return end;
                    }
                }
                Err(pipe::CallerDisconnected) => return StreamEnd::CallerDisconnected,
            }
            step = match self.wait(beat.as_mut()).await {
                Ok(step) => step,
                Err(end) => return end,
            };
        }
    }

    /// The next step; shows the caller a sign of life while there is none.
    async fn wait(
        &mut self,
        mut beat: pin::Pin<&mut time::Sleep>,
    ) -> Result<attempt::TryStep, StreamEnd> {
        if self.shared.gate.hands_over() {
            return Err(StreamEnd::HandedOver);
        }
        let heartbeat = self.shared.settings.heartbeat;
        let mut shown_at = time::Instant::now();
        let next = self.live.next();
        tokio::pin!(next);
        loop {
            tokio::select! {
                biased;
                step = &mut next => return Ok(step),
                () = self.pipe.disconnected() => return Err(StreamEnd::CallerDisconnected),
                () = beat.as_mut() => {}
            }
            if self.shared.gate.hands_over() {
                return Err(StreamEnd::HandedOver);
            }
            // The beat is set anew only when it rings, so that a token costs no timer.
            let now = time::Instant::now();
            if shown_at + heartbeat <= now {
                shown_at = now;
                let shown = self
                    .pipe
                    .append(|out| out.extend_from_slice(chunk::HEARTBEAT));
                if shown.is_err() {
                    return Err(StreamEnd::CallerDisconnected);
                }
            }
            beat.as_mut().reset(shown_at + heartbeat);
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
                    .book
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
                let message = "this entry VM is leaving; go on at another with the request in \
                               `pollenchute.continue`";
                self.end_early(refusal::RefusalCode::NotReady, message.to_owned(), true);
                self.live.release();
            }
            StreamEnd::CallerStalled => {
                let message = "nothing was read for too long; go on with the request in \
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

    fn end_lost(mut self, loss: attempt::TryLoss) {
        metrics::counter!("pollenchute_flow_generations_lost_total").increment(1);
        let message = format!(
            "the generation was lost after token {}: {}; send the request anew",
            self.live.next_index(),
            loss.cause
        );
        // One that could not be reached from here may be reached from another entry VM.
        let lives = loss.kind == attempt::LossKind::Unreachable;
        self.end_early(refusal::RefusalCode::GenerationLost, message, lives);
        if let Some(grant) = self.resources.grant.take() {
            grant.failed(loss.kind.failure());
        }
        if lives {
            self.linger();
        } else if !self.reader.is_last() {
            self.live.release();
        }
    }

    /// Tells the caller that no more comes by this stream, and whether the rest may be had.
    fn end_early(&self, code: refusal::RefusalCode, message: String, lives: bool) {
        let body = shared::come_back(code, message, LOST_RETRY);
        let refused = self.flowing.refused(body);
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
        let rest = lives.then(|| chunk::ContinuationLink {
            token: &self.token,
            from: self.live.next_index(),
        });
        // A caller that is gone meanwhile is told nothing.
        let _ = self
            .pipe
            .append(|out| chunk::write_refusal(out, body, rest));
    }

    /// Keeps the generation of a gone caller for a while, to be continued here or elsewhere.
    fn linger(self) {
        let linger = self.shared.settings.linger;
        let (request, shared) = (self.request, self.shared.clone());
        // Neither the pipe nor the connection is needed any longer.
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
                    reason: "its caller is gone".to_owned(),
                },
            );
            // Dropping the try cancels its generation.
        });
    }
}

/// Waits for space in the pipe, as long as a caller may take to read.
async fn caller_reads(pipe: &pipe::PipeWriter, limit: Duration) -> Result<(), StreamEnd> {
    match time::timeout(limit, pipe.space()).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(pipe::CallerDisconnected)) => Err(StreamEnd::CallerDisconnected),
        Err(_) => Err(StreamEnd::CallerStalled),
    }
}
