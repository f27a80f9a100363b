//! Bodies of callers' requests: what they may cost while they arrive and as long as they are kept.
//!
//! A body is copied into one buffer, since a part of it would keep the whole read buffer of its
//! connection. The buffer counts against the memory for callers until the last user of the body is gone.

use std::{cell, rc};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{body, body::Body as _};
use snafu::Snafu;
use tokio::time;

use crate::{memory, places, share};

/// Bytes of a request's head and body that the fixed cost of its connection covers.
pub const COVERED_BYTES: usize = 8 * 1_024;
/// Memory of a parsed header beside its bytes, in the request and in the copy that is forwarded.
const HEADER_BYTES: usize = 256;
/// Time for which a body waits for memory: bodies that hold it have stalled by then, or have arrived.
const MEMORY_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Interval at which a body that waits for memory checks for stalled ones.
const MEMORY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Limits on a body.
#[derive(Clone, Copy, Debug)]
pub struct IntakeLimit {
    /// Maximum size.
    pub bytes: usize,
    /// When it must have arrived.
    pub until: time::Instant,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum IntakeError {
    /// It is larger than its limit.
    #[snafu(display("the body is larger than {limit} bytes; send less"))]
    TooLarge {
        /// The limit.
        limit: usize,
    },
    /// The memory for callers has no room.
    #[snafu(display("{source}"))]
    Full {
        /// What is in use.
        source: memory::MemoryFull,
    },
    /// It stopped arriving, and its memory or its connection was given to another caller.
    #[snafu(display("the body stalled after {received} bytes; send it again, whole"))]
    Stalled {
        /// Bytes that had arrived.
        received: usize,
    },
    /// It did not arrive in time.
    #[snafu(display("{received} bytes of the body arrived in time; send it faster"))]
    Late {
        /// Bytes that had arrived.
        received: usize,
    },
    /// The caller has as many requests in progress as there are places for.
    #[snafu(display("too many requests like this are in progress; send it again later"))]
    Crowded,
    /// Its connection broke, or it is not framed well.
    #[snafu(display("the body broke off; send it again"))]
    Broken,
}

impl IntakeError {
    /// Name for logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too_large",
            Self::Full { .. } => "memory",
            Self::Stalled { .. } => "stalled",
            Self::Late { .. } => "late",
            Self::Crowded => "crowded",
            Self::Broken => "broken",
        }
    }
}

/// What the bytes of callers may cost, over all listeners of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct CallerIntake {
    pub(crate) memory: memory::CallerMemory,
    pub(crate) places: places::PlaceTable,
}

impl CallerIntake {
    /// Bodies may take `memory` bytes.
    #[must_use]
    pub fn new(memory: usize) -> Self {
        Self {
            memory: memory::CallerMemory::new(memory),
            places: places::PlaceTable::default(),
        }
    }

    /// Sizes the memory for the machine and the largest body in force.
    pub fn fit(&self, machine: share::MachineLimit, body_bytes: usize) {
        let before = self.memory.largest_grant();
        self.memory.set_limit(machine.body_memory(body_bytes));
        let largest = self.memory.largest_grant();
        if largest != before && largest < body_bytes {
            log::warn!(
                limit = body_bytes, largest, machine = machine.memory;
                "the largest body in force does not fit the memory of this VM; larger ones are refused"
            );
        }
    }

    /// Memory for bodies.
    #[must_use]
    pub const fn memory(&self) -> &memory::CallerMemory {
        &self.memory
    }

    /// Places for connections.
    #[must_use]
    pub const fn places(&self) -> &places::PlaceTable {
        &self.places
    }
}

/// Body of a request that has not been read.
#[derive(Debug)]
pub struct CallerBody {
    incoming: body::Incoming,
    /// Memory of the head.
    head_bytes: usize,
    intake: CallerIntake,
    place: rc::Rc<places::HeldPlace>,
}

impl CallerBody {
    pub(crate) fn new(
        head: &http::request::Parts,
        incoming: body::Incoming,
        intake: CallerIntake,
        place: rc::Rc<places::HeldPlace>,
    ) -> Self {
        let headers = head.headers.iter();
        let cost = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
            name.as_str().len() + value.len() + HEADER_BYTES
        };
        let target = head.uri.path_and_query().map_or(0, |it| it.as_str().len());
        Self {
            head_bytes: 2 * target + headers.map(cost).sum::<usize>(),
            incoming,
            intake,
            place,
        }
    }

    /// Reads the whole body and accepts its request as one of `group`. Its memory counts until the
    /// last clone of the bytes is dropped.
    ///
    /// # Errors
    ///
    /// When the body exceeds a limit, breaks off, or there is no room for it. It is then not read on, and
    /// its connection closes after the answer.
    pub async fn collect(self, limit: IntakeLimit, group: u64) -> Result<Bytes, IntakeError> {
        let place = self.place.clone();
        let read = self.read(limit).await;
        let read = read.and_then(|bytes| {
            let accepted = place.accept(group);
            accepted.then_some(bytes).ok_or(IntakeError::Crowded)
        });
        read.inspect_err(|error| {
            place.refuse_body();
            metrics::counter!("pollenchute_carry_requests_refused_total", "reason" => error.name())
                .increment(1);
        })
    }

    /// Leaves the body unread, for a request that its head decides.
    pub fn refuse(self) {
        if !self.incoming.is_end_stream() {
            self.place.refuse_body();
        }
    }

    async fn read(self, limit: IntakeLimit) -> Result<Bytes, IntakeError> {
        let hint = self.incoming.size_hint();
        let largest = self
            .intake
            .memory
            .largest_grant()
            .saturating_sub(self.head_bytes);
        let max_bytes = limit.bytes.min(largest);
        if hint.lower() > max_bytes as u64 {
            return Err(IntakeError::TooLarge { limit: max_bytes });
        }
        let mut buffer = BodyBuffer {
            bytes: Vec::new(),
            base: self.head_bytes,
            max_bytes,
            advanced: 0,
            grant: self.intake.memory.grant(),
            intake: self.intake,
            place: self.place,
        };
        let length = hint.exact().and_then(|length| usize::try_from(length).ok());
        if length == Some(0) {
            buffer.reserve(0).await?;
            return Ok(buffer.finish());
        }
        buffer.place.begin_body();
        buffer.reserve(length.unwrap_or(0)).await?;
        let incoming = self.incoming;
        let place = buffer.place.clone();
        let received = rc::Rc::new(cell::Cell::new(0));
        let counted = received.clone();
        let reading = async move {
            let mut incoming = incoming;
            while let Some(frame) = incoming.frame().await {
                let frame = frame.map_err(|_| IntakeError::Broken)?;
                if let Ok(part) = frame.into_data() {
                    buffer.push(&part).await?;
                    counted.set(buffer.bytes.len());
                }
            }
            Ok(buffer.finish())
        };
        tokio::select! {
            biased;
            // An evicted place must not accept a request any more.
            _ = place.evicted() => Err(IntakeError::Stalled { received: received.get() }),
            read = reading => read,
            () = time::sleep_until(limit.until) => Err(IntakeError::Late { received: received.get() }),
        }
    }
}

/// Body that is being read.
#[derive(Debug)]
struct BodyBuffer {
    /// What has arrived; the capacity is never more than what is granted, unless it is covered.
    bytes: Vec<u8>,
    /// Memory of the head.
    base: usize,
    max_bytes: usize,
    /// Length at which the body last advanced.
    advanced: usize,
    grant: memory::MemoryGrant,
    intake: CallerIntake,
    place: rc::Rc<places::HeldPlace>,
}

impl BodyBuffer {
    async fn push(&mut self, part: &[u8]) -> Result<(), IntakeError> {
        let length = self.bytes.len() + part.len();
        if length > self.max_bytes {
            let limit = self.max_bytes;
            return Err(IntakeError::TooLarge { limit });
        }
        if length > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(COVERED_BYTES / 2);
            self.reserve(doubled.clamp(length, self.max_bytes)).await?;
        }
        self.bytes.extend_from_slice(part);
        if length - self.advanced >= places::ADVANCE_BYTES {
            self.advanced = length;
            self.place.advance_body(self.grant.bytes());
        }
        Ok(())
    }

    /// Makes room for a body of this size, once there is memory.
    async fn reserve(&mut self, capacity: usize) -> Result<(), IntakeError> {
        let cost = self.base + capacity;
        if cost > COVERED_BYTES {
            self.grow_grant(cost).await?;
            self.place.advance_body(self.grant.bytes());
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// Waits for memory as long as bodies that have not arrived may release enough of it.
    async fn grow_grant(&mut self, bytes: usize) -> Result<(), IntakeError> {
        let until = time::Instant::now() + MEMORY_TIMEOUT;
        loop {
            let Err(source) = self.grant.resize(bytes) else {
                return Ok(());
            };
            let missing = bytes - self.grant.bytes();
            let held = self.intake.places.held_by_bodies();
            let may_end = held.saturating_sub(self.grant.bytes());
            self.intake.memory.note_full(missing);
            if may_end < missing || time::Instant::now() >= until {
                return Err(IntakeError::Full { source });
            }
            self.intake.places.evict_stalled(missing);
            // The caller does not stall while it waits for this VM.
            self.place.advance_body(self.grant.bytes());
            let released = self.intake.memory.released();
            let _ = time::timeout(MEMORY_POLL_INTERVAL, released).await;
        }
    }

    /// The complete body, with its memory.
    fn finish(mut self) -> Bytes {
        if self.grant.bytes() == 0 {
            return self.bytes.into();
        }
        self.bytes.shrink_to_fit();
        // A grant that shrinks is never refused.
        let _ = self.grant.resize(self.base + self.bytes.capacity());
        self.grant.hold(self.bytes)
    }
}
