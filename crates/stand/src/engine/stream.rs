//! One connection's view of a generation.

use base::id;
use tokio::{sync as signal, time};

use super::{call, text};
use crate::gate;

/// A live generation shows at least this often that it lives.
const PING_EVERY: time::Duration = time::Duration::from_millis(500);

/// What a stream delivers. A stream that ends without `Finish` was cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// One token.
    Token {
        /// Its number, from 0.
        seq: u32,
        /// Its text.
        text: String,
    },
    /// The generation lives.
    Ping,
    /// It ended; nothing follows.
    Finish(call::FinishReport),
    /// Bytes that are no event (fault `Nonsense`).
    Nonsense,
}

/// How streams are spoilt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamSpoil {
    /// Tokens after which a stream is cut.
    pub(super) truncate_after: Option<u32>,
    /// Whether tokens are replaced by nonsense.
    pub(super) nonsense: bool,
}

/// One connection's view of a generation.
#[derive(Debug)]
pub struct EngineStream {
    pub(super) generation: id::GenerationId,
    /// Number of the next token to deliver.
    pub(super) next_seq: u32,
    /// Tokens delivered here.
    pub(super) carried: u32,
    pub(super) watcher: signal::watch::Receiver<call::GenerationProgress>,
    pub(super) gate: gate::LinkGate,
    pub(super) silence_epoch: u64,
    pub(super) spoil: StreamSpoil,
    /// Whether nothing follows.
    pub(super) ended: bool,
}

impl EngineStream {
    /// The next event; `None` when the stream has ended or was cut. Safe to cancel.
    pub async fn next(&mut self) -> Option<StreamEvent> {
        loop {
            self.gate.pass(self.silence_epoch).await;
            if let Some(event) = self.ready() {
                return event;
            }
            match time::timeout(PING_EVERY, self.watcher.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    // The engine died or forgot the generation. A silent connection shows neither.
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

    /// What can be said without waiting: `Some(None)` is the end.
    fn ready(&mut self) -> Option<Option<StreamEvent>> {
        let cut = self
            .spoil
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
            if self.spoil.nonsense {
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
