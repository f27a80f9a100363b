//! Decides whether an engine may take one more generation, by its memory, its batch, this VM's
//! share of the free capacity and the capacity reserved for urgent work.

use tokio::time;

use crate::{explain, risk, view};

/// Bounds on an admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionBounds {
    /// Number of standard deviations of the predicted memory that must fit, from the class's
    /// overflow chance.
    pub deviations: f32,
    /// Fraction of the uncertainty about other VMs' batch slots that is kept free.
    pub slot_uncertainty: f32,
    /// Tokens of memory reserved for urgent work.
    pub reserved_tokens: f32,
    /// Batch slots reserved for urgent work.
    pub reserved_slots: f32,
    /// Whether this VM's share limits the admission. It does not for urgent work, which is short
    /// and cannot wait for the next report.
    pub shared: bool,
}

/// Part of one engine's capacity that this VM may take between two reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityShare {
    /// This VM's share of the capacity that a report shows as free, from 0 to 1.
    pub fraction: f32,
    /// Fraction of the capacity freed by this VM's ended generations that it may use again, from 0
    /// to 1.
    pub reuse: f32,
}

impl CapacityShare {
    /// Returns the share of a VM that is due `fraction` of `server`. A VM that holds more than its
    /// share returns the excess gradually, because it may use again only its due fraction of the
    /// capacity that it frees there, but at least `min_reuse`.
    #[must_use]
    pub fn of_server(fraction: f32, server: &view::ServerView, min_reuse: f32) -> Self {
        let own = server.own.memory.mean[0].max(1.0);
        let reuse = (fraction * server.capacity() / own).clamp(min_reuse, 1.0);
        Self { fraction, reuse }
    }
}

/// Free capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreeCapacity {
    /// Expected number of further generations of the same size that fit now, ignoring uncertainty.
    pub free: f32,
    /// Resource that is short for one more generation within the bounds, or `None` if it fits.
    pub shortage: Option<explain::WaitCause>,
}

/// Computes the free capacity of `server` for generations of the size of `extra`.
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
    // An idle engine may take any generation that fits it at all.
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

/// Whether `extra` exceeds this VM's share. Between two reports the VM takes only its share of each
/// engine's free capacity, plus what its own ended generations freed.
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
