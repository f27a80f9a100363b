//! Whether one more generation may go to an engine: its memory, its batch, this VM's share of
//! what is left, and what is kept for urgent work.

use tokio::time;

use crate::{explain, risk, view};

/// What bounds an admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomTerms {
    /// Deviations of the memory's spread that must fit; from the class's bound.
    pub deviations: f32,
    /// Tokens of memory kept for urgent work.
    pub reserved_tokens: f32,
    /// Places in the batch kept for urgent work.
    pub reserved_slots: f32,
    /// This VM's share of the room that a report shows, from 0 to 1.
    pub share: f32,
    /// Part that it may use again of what its own ended generations gave back, from 0 to 1.
    pub reuse: f32,
    /// Whether the share binds; it does not for urgent work, which is short and cannot wait for
    /// the next report.
    pub shared: bool,
}

/// How much of an engine an admission would leave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomLeft {
    /// Largest part of the memory needed at any horizon, the class's deviations included.
    pub pressure: f32,
    /// Part of the batch that is taken.
    pub crowding: f32,
}

/// Whether `extra` fits on the server, and how tightly.
///
/// # Errors
///
/// What is short.
pub fn check(
    server: &view::ServerView,
    extra: &risk::MemoryLoad,
    terms: &RoomTerms,
    now: time::Instant,
) -> Result<RoomLeft, explain::WaitCause> {
    let slots = server.spec.max_batch as f32;
    let taken = server.own.running + server.others.running + 1.0;
    if taken > slots {
        return Err(explain::WaitCause::Batch);
    }
    if taken > slots - terms.reserved_slots {
        return Err(explain::WaitCause::Headroom);
    }
    let capacity = server.capacity();
    let whole = server.whole(now);
    let mut pressure = 0.0f32;
    for place in 0..risk::HORIZONS.len() {
        let mean = whole.mean[place] + extra.mean[place];
        let spread = (whole.variance[place] + extra.variance[place]).sqrt();
        pressure = pressure.max(terms.deviations.mul_add(spread, mean));
    }
    if pressure > capacity {
        return Err(explain::WaitCause::Memory);
    }
    if pressure > capacity - terms.reserved_tokens {
        return Err(explain::WaitCause::Headroom);
    }
    if terms.shared && terms.share < 1.0 {
        check_share(server, extra, terms, &whole, slots)?;
    }
    let crowding = taken / slots;
    Ok(RoomLeft {
        pressure: pressure / capacity.max(1.0),
        crowding,
    })
}

/// Between two reports this VM takes of each engine only its share of the room, beside what its
/// own ended generations gave back.
fn check_share(
    server: &view::ServerView,
    extra: &risk::MemoryLoad,
    terms: &RoomTerms,
    whole: &risk::MemoryLoad,
    slots: f32,
) -> Result<(), explain::WaitCause> {
    let (started, ended) = (&server.started, &server.ended);
    let held = server.own.running - started.running + server.others.running + ended.running;
    let room = (slots - terms.reserved_slots - held).max(0.0);
    let allowed = terms.share * room + terms.reuse * ended.running + server.draw;
    if started.running + 1.0 > allowed {
        return Err(explain::WaitCause::Share);
    }
    let capacity = server.capacity() - terms.reserved_tokens;
    for place in 0..risk::HORIZONS.len() {
        let (begun, gone) = (started.memory.mean[place], ended.memory.mean[place]);
        let held = whole.mean[place] - begun + gone;
        let spread = terms.deviations * whole.variance[place].sqrt();
        let room = (capacity - held - spread).max(0.0);
        let added = extra.mean[place];
        let allowed = terms.share * room + terms.reuse * gone + server.draw * added;
        if begun + added > allowed {
            return Err(explain::WaitCause::Share);
        }
    }
    Ok(())
}
