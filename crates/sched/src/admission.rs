//! Whether one more generation may go to an engine: its memory, its batch, this VM's share of
//! what is left, and what is kept for urgent work.

use tokio::time;

use crate::{explain, risk, view};

/// What bounds an admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomTerms {
    /// Deviations of the memory's spread that must fit; from the class's bound.
    pub deviations: f32,
    /// Part of the doubt on others' places in the batch that is kept free.
    pub slot_doubt: f32,
    /// Tokens of memory kept for urgent work.
    pub reserved_tokens: f32,
    /// Places in the batch kept for urgent work.
    pub reserved_slots: f32,
    /// Whether the share binds; it does not for urgent work, which is short and cannot wait for
    /// the next report.
    pub shared: bool,
}

/// What this VM may take of one engine between two reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomShare {
    /// Its share of the room that a report shows, from 0 to 1.
    pub share: f32,
    /// Part that it may use again of what its own ended generations gave back, from 0 to 1.
    pub reuse: f32,
}

impl RoomShare {
    /// The terms of a VM with `share`: what it holds beyond that it gives back bit by bit, since
    /// it may use again only the part of what comes free there that it is due, at least `least`.
    #[must_use]
    pub fn of(share: f32, server: &view::ServerView, least: f32) -> Self {
        let own = server.own.memory.mean[0].max(1.0);
        let reuse = (share * server.capacity() / own).clamp(least, 1.0);
        Self { share, reuse }
    }
}

/// What an engine has room for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomState {
    /// Further generations of the same size that are expected to fit now, whatever the doubt.
    pub free: f32,
    /// What is short for one more, within bounds; absent when there is room.
    pub lack: Option<explain::WaitCause>,
}

/// What the server has room for, generation by generation like `extra`.
#[must_use]
pub fn assess(
    server: &view::ServerView,
    extra: &risk::MemoryLoad,
    terms: &RoomTerms,
    part: RoomShare,
    now: time::Instant,
) -> RoomState {
    let slots = server.spec.max_batch as f32;
    let running = server.own.running + server.others.running;
    let whole = server.whole(now);
    let capacity = server.capacity();
    let fitting = (capacity - whole.mean[0]) / extra.mean[0].max(1.0);
    let free = fitting.min(slots - running).max(0.0);
    if !terms.shared {
        let lack = (free < 1.0).then_some(explain::WaitCause::Batch);
        return RoomState { free, lack };
    }
    let mut needed = 0.0f32;
    for place in 0..risk::HORIZONS.len() {
        let mean = whole.mean[place] + extra.mean[place];
        let spread = (whole.variance[place] + extra.variance[place]).sqrt();
        needed = needed.max(terms.deviations.mul_add(spread, mean));
    }
    let taken = running + 1.0;
    let doubt = terms.deviations * server.running_spread(now) * terms.slot_doubt;
    // Alone on an engine anything may run that fits it at all.
    let alone = running < 0.5;
    let lack = if taken > slots {
        Some(explain::WaitCause::Batch)
    } else if taken + doubt + terms.reserved_slots > slots && !alone {
        Some(explain::WaitCause::Headroom)
    } else if needed > capacity && !alone {
        Some(explain::WaitCause::Memory)
    } else if needed > capacity - terms.reserved_tokens && !alone {
        Some(explain::WaitCause::Headroom)
    } else if lacks_share(server, extra, terms, part, &whole) {
        Some(explain::WaitCause::Share)
    } else {
        None
    };
    RoomState { free, lack }
}

/// Whether `extra` is beyond this VM's part: between two reports it takes of each engine only its
/// share of the room, beside what its own ended generations gave back.
fn lacks_share(
    server: &view::ServerView,
    extra: &risk::MemoryLoad,
    terms: &RoomTerms,
    part: RoomShare,
    whole: &risk::MemoryLoad,
) -> bool {
    let slots = server.spec.max_batch as f32;
    let (started, ended) = (&server.started, &server.ended);
    let held = server.own.running - started.running + server.others.running + ended.running;
    let room = (slots - terms.reserved_slots - held).max(0.0);
    let allowed = part.share * room + part.reuse * ended.running + server.draw;
    if started.running + 1.0 > allowed {
        return true;
    }
    let capacity = server.capacity() - terms.reserved_tokens;
    (0..risk::HORIZONS.len()).any(|place| {
        let (begun, gone) = (started.memory.mean[place], ended.memory.mean[place]);
        let held = whole.mean[place] - begun + gone;
        let spread = terms.deviations * whole.variance[place].sqrt();
        let room = (capacity - held - spread).max(0.0);
        let added = extra.mean[place];
        begun + added > part.share * room + part.reuse * gone + server.draw * added
    })
}
