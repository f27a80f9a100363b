//! What follows from answers that do not end.

use std::{cell, io, net, rc};

use bytes::Bytes;
use carry::{bounded, transfer};
use tokio::{sync::mpsc, time};

use crate::{fleet, plane, port, reply, serve_stream, server};

/// Size of the length before each message between VMs.
const LENGTH_BYTES: usize = 4;

/// Reports a message of another VM whose stated length is more than a message may have.
pub(crate) fn report_frame(fault: &io::Error, max_bytes: usize, address: &net::SocketAddr) {
    if fault.kind() == io::ErrorKind::InvalidData {
        let limit = bounded::EndlessLimit::Bytes(max_bytes);
        let answer = bounded::EndlessAnswer {
            read: LENGTH_BYTES,
            limit,
        };
        answer.report(bounded::EndlessPlace::Link, address);
    }
}

/// Reports a transfer from another VM that went on until its whole time was over.
pub(crate) fn report_stalled(
    stalled: &transfer::StalledTransfer,
    limit: &transfer::TransferLimit,
    address: &net::SocketAddr,
) {
    if stalled.received > 0 && stalled.waited >= limit.total {
        let read = stalled.received;
        let limit = bounded::EndlessLimit::Time(limit.total);
        let answer = bounded::EndlessAnswer { read, limit };
        answer.report(bounded::EndlessPlace::Link, address);
    }
}

impl<P: port::ServerPort + 'static> serve_stream::StreamDriver<P> {
    /// Records what an attempt to go on at a server that was lost there tells of the server.
    pub(crate) async fn record_lost_resume<B>(
        &self,
        server: fleet::ServerKey,
        outcome: &port::CallOutcome<B>,
    ) {
        match outcome {
            port::CallOutcome::Lost(port::LostCause::Broken) => self.record_lost_at(server).await,
            port::CallOutcome::Lost(port::LostCause::Endless | port::LostCause::Silent) => {
                let failed = server::ServerVerdict::Failed;
                self.plane.record_outcome(server, failed);
            }
            _ => {}
        }
    }
}

/// Maximum size of a part of an answer that is buffered beside others.
const MAX_SMALL_PART_BYTES: usize = 4 * 1_024;

/// Maximum size of a body that is kept until it is complete. A longer one is forwarded as it comes, and
/// can't be retried.
pub(crate) const MAX_KEPT_BODY_BYTES: usize = 256 * 1_024;
/// Maximum size of all bodies and events that are kept, from which those above [`MIN_KEPT_BODY_BYTES`]
/// are forwarded as they come: fifty servers that send bytes without end would take 13 MB of a VM of 88.
const MAX_KEPT_BYTES: usize = 4 * 1_024 * 1_024;
/// Size up to which a body is kept however many others are.
pub(crate) const MIN_KEPT_BODY_BYTES: usize = 16 * 1_024;

thread_local! {
    /// Bytes of bodies, events and parts that this thread keeps.
    static KEPT_BYTES: cell::Cell<usize> = const { cell::Cell::new(0) };
}

/// A number of bytes that are kept, counted until dropped.
#[derive(Debug, Default)]
pub(crate) struct KeptBytes(usize);

impl Drop for KeptBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl KeptBytes {
    /// Sets the number; returns whether a body or an event of this size is kept on.
    fn set(&mut self, bytes: usize) -> bool {
        let total = KEPT_BYTES.get().saturating_sub(self.0) + bytes;
        KEPT_BYTES.set(total);
        self.0 = bytes;
        let fits = bytes <= MIN_KEPT_BODY_BYTES || total <= MAX_KEPT_BYTES;
        bytes <= MAX_KEPT_BODY_BYTES && fits
    }
}

/// A part of an answer that is counted until it is written.
struct KeptPart {
    bytes: Bytes,
    _kept: KeptBytes,
}

impl AsRef<[u8]> for KeptPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl KeptPart {
    fn count(bytes: Bytes) -> Bytes {
        let mut kept = KeptBytes::default();
        kept.set(bytes.len());
        Bytes::from_owner(Self { bytes, _kept: kept })
    }
}

/// Sends a part of an answer towards its caller, if it is still there. A large part is sent once the
/// caller has taken all parts before it, so that buffered parts have a limit in bytes, and counts as kept
/// until it is written.
pub(crate) async fn send_part(parts: &mpsc::Sender<reply::StreamPart>, bytes: Bytes) {
    let is_large = bytes.len() > MAX_SMALL_PART_BYTES;
    let room = if is_large { parts.max_capacity() } else { 1 };
    let bytes = if is_large {
        KeptPart::count(bytes)
    } else {
        bytes
    };
    if let Ok(mut permits) = parts.reserve_many(room).await
        && let Some(permit) = permits.next()
    {
        permit.send(reply::StreamPart::Bytes(bytes));
    }
}

/// The body of a short answer while it is read. Dropped when the request's time is over, it had no end.
pub(crate) struct BodyWatch<'a, P> {
    plane: &'a plane::ExchangePlane<P>,
    server: fleet::ServerKey,
    limit: time::Instant,
    began: time::Instant,
    /// Present until the body has ended, or is long.
    kept: Option<KeptBytes>,
}

impl<'a, P: port::ServerPort> BodyWatch<'a, P> {
    pub(crate) fn new(placed: &'a plane::PlacedRun<P>, limit: time::Instant) -> Self {
        Self {
            plane: &placed.plane,
            server: placed.server,
            limit,
            began: time::Instant::now(),
            kept: Some(KeptBytes::default()),
        }
    }
}

impl<P> BodyWatch<'_, P> {
    /// Notes how much was read; returns whether the body is kept on.
    pub(crate) fn keeps(&mut self, read: usize) -> bool {
        self.kept.as_mut().is_some_and(|kept| kept.set(read))
    }

    /// Notes that the body ended, or is long. Returns it, counted until its caller has received it.
    pub(crate) fn end(&mut self, bytes: Bytes) -> Bytes {
        self.kept = None;
        if bytes.len() <= MAX_SMALL_PART_BYTES {
            return bytes;
        }
        KeptPart::count(bytes)
    }
}

impl<P> Drop for BodyWatch<'_, P> {
    /// The failure of the server is counted with all attempts whose time is over.
    fn drop(&mut self) {
        let read = self.kept.as_ref().map_or(0, |kept| kept.0);
        if read == 0 || time::Instant::now() < self.limit {
            return;
        }
        let limit = bounded::EndlessLimit::Time(self.began.elapsed());
        let answer = bounded::EndlessAnswer { read, limit };
        let server = self.plane.server_id(self.server);
        answer.report(bounded::EndlessPlace::Body, server);
    }
}

/// Size from which a long answer counts as one without end, however slow its caller reads.
const MIN_ENDLESS_BYTES: usize = 16 * 1_024 * 1_024;

/// Who is waited for while a long answer is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LongWait {
    /// The server that sends it.
    Server,
    /// The caller that reads it.
    Caller,
}

/// Progress of a long answer; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LongProgress(rc::Rc<cell::RefCell<LongState>>);

#[derive(Debug, Default)]
struct LongState {
    read: usize,
    server_time: time::Duration,
    caller_time: time::Duration,
    waiting: Option<(LongWait, time::Instant)>,
}

impl LongState {
    fn end_wait(&mut self) {
        let Some((party, since)) = self.waiting.take() else {
            return;
        };
        match party {
            LongWait::Server => self.server_time += since.elapsed(),
            LongWait::Caller => self.caller_time += since.elapsed(),
        }
    }
}

/// Whether an answer that goes on when the time of its request is over has no end. One that its caller
/// reads slowly may have one.
const fn is_endless(read: usize, server_ms: u128, caller_ms: u128) -> bool {
    read >= MIN_ENDLESS_BYTES || server_ms > caller_ms
}

impl LongProgress {
    /// Notes bytes that were read.
    pub(crate) fn note(&self, bytes: usize) {
        self.0.borrow_mut().read += bytes;
    }

    /// Waits for one of the two parties.
    pub(crate) async fn wait<T>(&self, party: LongWait, wait: impl Future<Output = T>) -> T {
        self.0.borrow_mut().waiting = Some((party, time::Instant::now()));
        let output = wait.await;
        self.0.borrow_mut().end_wait();
        output
    }

    /// Records that the time of the request is over.
    pub(crate) fn record_timeout<P: port::ServerPort>(&self, placed: &plane::PlacedRun<P>) {
        let mut state = self.0.borrow_mut();
        state.end_wait();
        let (server, caller) = (state.server_time, state.caller_time);
        if !is_endless(state.read, server.as_millis(), caller.as_millis()) {
            return;
        }
        let plane = &placed.plane;
        plane.record_outcome(placed.server, server::ServerVerdict::Failed);
        let limit = bounded::EndlessLimit::Time(server + caller);
        let read = state.read;
        let answer = bounded::EndlessAnswer { read, limit };
        answer.report(bounded::EndlessPlace::Body, plane.server_id(placed.server));
    }
}

/// Maximum size of one event of a stream. The largest that an engine sends has some 100 KB.
const MAX_EVENT_BYTES: usize = 4 * 1_024 * 1_024;
/// Maximum time that the parts of one event take to arrive. An event is sent as a whole; callers of
/// streams tolerate pauses of up to a second, and the run may go on from a copy.
const MAX_EVENT_TIME: time::Duration = time::Duration::from_secs(2);
/// Maximum time that counts between two parts of an event: a VM without a processor, or a path that
/// stalls, is no trickle.
const MAX_PART_GAP: time::Duration = time::Duration::from_millis(250);

/// Progress of the event that a stream is in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventProgress {
    /// Number of complete events before it.
    events: u64,
    /// Bytes received since it began, with those received beside its beginning.
    bytes: usize,
    /// Time that was spent waiting for its parts.
    time: time::Duration,
    /// When its last part had been forwarded; `None` between two events.
    last: Option<time::Instant>,
}

impl EventProgress {
    /// Takes a part that arrived and was forwarded at these times, after which the stream has `events`
    /// complete events.
    fn take(
        &mut self,
        bytes: usize,
        (events, is_in_event): (u64, bool),
        (arrived, forwarded): (time::Instant, time::Instant),
    ) {
        if !is_in_event || events != self.events {
            *self = Self {
                events,
                ..Self::default()
            };
        }
        if is_in_event {
            self.bytes += bytes;
            let gap = self
                .last
                .map(|last| arrived.saturating_duration_since(last));
            self.time += gap.unwrap_or_default().min(MAX_PART_GAP);
            self.last = Some(forwarded);
        }
    }

    /// The limit that the event exceeds, if it exceeds one.
    fn exceeded(&self) -> Option<bounded::EndlessAnswer> {
        let limit = if self.bytes > MAX_EVENT_BYTES {
            bounded::EndlessLimit::Bytes(MAX_EVENT_BYTES)
        } else if self.time > MAX_EVENT_TIME {
            bounded::EndlessLimit::Time(MAX_EVENT_TIME)
        } else {
            return None;
        };
        let read = self.bytes;
        Some(bounded::EndlessAnswer { read, limit })
    }
}

impl<P: port::ServerPort + 'static> serve_stream::StreamDriver<P> {
    /// Counts the partial event with so many more bytes.
    fn keep_partial(&mut self, more: usize) {
        let bytes = self.splitter.partial_bytes() + more;
        self.splitter.crowded = !self.splitter.kept.set(bytes);
    }

    /// Forwards bytes; returns whether they belong to an event without end, after which the stream has
    /// broken off. A break of the stream counts as a failure of its server.
    pub(crate) async fn forward_event(
        &mut self,
        live: &serve_stream::LiveRun<P>,
        bytes: &[u8],
    ) -> bool {
        let arrived = time::Instant::now();
        self.keep_partial(bytes.len());
        self.forward(live, bytes).await;
        self.keep_partial(0);
        if !live.has_events {
            return false;
        }
        let times = (arrived, time::Instant::now());
        let position = (self.splitter.events(), self.splitter.is_in_event());
        let progress = &mut self.splitter.progress;
        progress.take(bytes.len(), position, times);
        let Some(answer) = progress.exceeded() else {
            return false;
        };
        let server = self.plane.server_id(live.placed.server);
        answer.report(bounded::EndlessPlace::Event, server);
        true
    }
}
