//! Whether one more generation may go to an engine: its memory, its batch, this VM's share of
//! what is left, and what is kept for urgent work.

use tokio::time;

use crate::{explain, risk, view};

/// What bounds an admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionBounds {
    /// Deviations of the memory's spread that must fit; from the class's bound.
    pub deviations: f32,
    /// Part of the uncertainty on others' places in the batch that is kept free.
    pub slot_uncertainty: f32,
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
pub struct CapacityShare {
    /// Its share of the free that a report shows, from 0 to 1.
    pub fraction: f32,
    /// Part that it may use again of what its own ended generations gave back, from 0 to 1.
    pub reuse: f32,
}

impl CapacityShare {
    /// The bounds of a VM with `share`: what it holds beyond that it gives back bit by bit, since
    /// it may use again only the share of what comes free there that it is due, at min_reuse `min_reuse`.
    #[must_use]
    pub fn of_server(fraction: f32, server: &view::ServerView, min_reuse: f32) -> Self {
        let own = server.own.memory.mean[0].max(1.0);
        let reuse = (fraction * server.capacity() / own).clamp(min_reuse, 1.0);
        Self { fraction, reuse }
    }
}

/// What an engine has free for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreeCapacity {
    /// Further generations of the same size that are expected to fit now, whatever the uncertainty.
    pub free: f32,
    /// What is short for one more, within bounds; absent when there is free.
    pub shortage: Option<explain::WaitCause>,
}

/// What the server has free for, generation by generation like `extra`.
#[must_use]
pub fn assess(
    server: &view::ServerView,
    extra: &risk::MemoryLoad,
    bounds: &AdmissionBounds,
    share: CapacityShare,
    now: time::Instant,
) -> FreeCapacity {
    let slots = server.spec.max_batch as f32;
    let running = server.own.running + server.others.running;
    let total = server.total_memory(now);
    let capacity = server.capacity();
    let fitting = (capacity - total.mean[0]) / extra.mean[0].max(1.0);
    let free = fitting.min(slots - running).max(0.0);
    if !bounds.shared {
        let shortage = (free < 1.0).then_some(explain::WaitCause::Batch);
        return FreeCapacity { free, shortage };
    }
    let mut needed = 0.0f32;
    for index in 0..risk::HORIZONS.len() {
        let mean = total.mean[index] + extra.mean[index];
        let spread = (total.variance[index] + extra.variance[index]).sqrt();
        needed = needed.max(bounds.deviations.mul_add(spread, mean));
    }
    let batch_size = running + 1.0;
    let uncertainty = bounds.deviations * server.running_spread(now) * bounds.slot_uncertainty;
    // Alone on an engine anything may run that fits it at all.
    let alone = running < 0.5;
    let shortage = if batch_size > slots {
        Some(explain::WaitCause::Batch)
    } else if batch_size + uncertainty + bounds.reserved_slots > slots && !alone {
        Some(explain::WaitCause::Headroom)
    } else if needed > capacity && !alone {
        Some(explain::WaitCause::Memory)
    } else if needed > capacity - bounds.reserved_tokens && !alone {
        Some(explain::WaitCause::Headroom)
    } else if exceeds_share(server, extra, bounds, share, &total) {
        Some(explain::WaitCause::Share)
    } else {
        None
    };
    FreeCapacity { free, shortage }
}

/// Whether `extra` is beyond this VM's share: between two reports it takes of each engine only its
/// share of the free, beside what its own ended generations gave back.
fn exceeds_share(
    server: &view::ServerView,
    extra: &risk::MemoryLoad,
    bounds: &AdmissionBounds,
    share: CapacityShare,
    total: &risk::MemoryLoad,
) -> bool {
    let slots = server.spec.max_batch as f32;
    let (started, ended) = (&server.started, &server.ended);
    let held = server.own.running - started.running + server.others.running + ended.running;
    let free = (slots - bounds.reserved_slots - held).max(0.0);
    let allowed = share.fraction * free + share.reuse * ended.running + server.draw;
    if started.running + 1.0 > allowed {
        return true;
    }
    let capacity = server.capacity() - bounds.reserved_tokens;
    (0..risk::HORIZONS.len()).any(|index| {
        let (started_tokens, ended_tokens) = (started.memory.mean[index], ended.memory.mean[index]);
        let held = total.mean[index] - started_tokens + ended_tokens;
        let spread = bounds.deviations * total.variance[index].sqrt();
        let free = (capacity - held - spread).max(0.0);
        let added = extra.mean[index];
        started_tokens + added
            > share.fraction * free + share.reuse * ended_tokens + server.draw * added
    })
}
