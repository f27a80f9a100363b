//! Stream of a generation's tokens over one connection.

use base::id;
use tokio::{sync as signal, time};

use super::{call, text};
use crate::gate;

/// Maximum interval between events of a live generation; a ping fills longer pauses.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Event of a stream. A stream that ends without `Finish` was cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// One token.
    Token {
        /// Number of the token, from 0.
        seq: u32,
        /// Text of the token.
        text: String,
    },
    /// Keep-alive: the generation is still live.
    Ping,
    /// The generation ended; no events follow.
    Finish(call::FinishReport),
    /// Bytes that don't form an event (fault `Nonsense`).
    Nonsense,
}

/// Injected stream faults.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamFaults {
    /// Tokens after which a stream is cut.
    pub(super) truncate_after: Option<u32>,
    /// Whether tokens are replaced by malformed data.
    pub(super) nonsense: bool,
}

/// Stream of a generation's tokens over one connection.
#[derive(Debug)]
pub struct EngineStream {
    pub(super) generation: id::GenerationId,
    /// Number of the next token to deliver.
    pub(super) next_seq: u32,
    /// Tokens delivered over this connection.
    pub(super) carried: u32,
    pub(super) watcher: signal::watch::Receiver<call::GenerationProgress>,
    pub(super) gate: gate::LinkGate,
    pub(super) silence_epoch: u64,
    pub(super) faults: StreamFaults,
    /// Whether the stream has ended.
    pub(super) ended: bool,
}

impl EngineStream {
    /// Returns the next event, or `None` when the stream has ended or was cut. Cancel safe.
    pub async fn next(&mut self) -> Option<StreamEvent> {
        loop {
            self.gate.pass(self.silence_epoch).await;
            if let Some(event) = self.ready() {
                return event;
            }
            match time::timeout(PING_INTERVAL, self.watcher.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    // The engine crashed or forgot the generation; a silent connection shows
                    // neither.
                    self.gate.pass(self.silence_epoch).await;
                    self.ended = true;
                    return None;
                }
                Err(_) => {
                    self.gate.pass(self.silence_epoch).await;
                    return Some(StreamEvent::Ping);
                }
            }
        }
    }

    /// Returns the event that is ready without waiting; `Some(None)` is the end.
    fn ready(&mut self) -> Option<Option<StreamEvent>> {
        let cut = self
            .faults
            .truncate_after
            .is_some_and(|limit| self.carried >= limit);
        if self.ended || cut {
            return Some(None);
        }
        let progress = *self.watcher.borrow_and_update();
        if self.next_seq < progress.produced {
            let seq = self.next_seq;
            self.next_seq += 1;
            self.carried += 1;
            if self.faults.nonsense {
                return Some(Some(StreamEvent::Nonsense));
            }
            let text = progress.mark.map_or_else(
                || text::token(self.generation, seq),
                |mark| text::marked_token(self.generation, seq, mark),
            );
            return Some(Some(StreamEvent::Token { seq, text }));
        }
        let report = progress.finish?;
        self.ended = true;
        Some(Some(StreamEvent::Finish(report)))
    }
}
