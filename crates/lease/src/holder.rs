//! The leases of one process, timed by its own monotonic clock.
//!
//! A deadline is counted from *before* the append that took or renewed the lease. A successor takes
//! the lease with a record that follows on the log, hence after that instant. A successor that
//! waits for the full lease time after it *read* its own record therefore acts only after the
//! deadline, regardless of how long the append, its answer or a pause of the holder took.

use std::{cmp, collections};

use snafu::Snafu;
use tokio::time;

use crate::{fold, limits};

/// One lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OwnLease {
    fencing: u64,
    /// Deadline after which no order is sent.
    until: time::Instant,
    /// When the orders of earlier holders have expired, also at servers that ignore fencing
    /// numbers.
    earlier_orders_end: time::Instant,
}

/// Permission to send orders to one server. Only a [`LeaseHolder`] issues permits; a permit is
/// checked again right before an order is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderPermit {
    subject: String,
    lease: OwnLease,
    limits: limits::LeaseLimits,
}

/// The reason why no order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PermitError {
    /// This process does not hold the lease.
    #[snafu(display("this VM does not hold the lease; only its holder may send orders"))]
    NotHeld,
    /// The lease has lapsed, or lapses before an order could complete.
    #[snafu(display(
        "the lease has lapsed or lapses too soon for an order; it must be renewed first"
    ))]
    Lapsed,
    /// Orders of an earlier holder may still be in flight.
    #[snafu(display("orders of an earlier holder may be in flight; wait {left_ms} ms"))]
    PendingOrders {
        /// Remaining time to wait, in milliseconds.
        left_ms: u64,
    },
}

impl OrderPermit {
    /// Returns the name of the server or, for a model, the subject of its lease.
    #[must_use]
    pub fn subject(&self) -> &str {
        &self.subject
    }

    /// Returns the fencing number.
    #[must_use]
    pub const fn fencing(&self) -> u64 {
        self.lease.fencing
    }

    /// Returns the time limit for orders under this permit, in milliseconds.
    #[must_use]
    pub const fn order_ms(&self) -> u64 {
        self.limits.order_ms
    }

    /// Checks whether an order may be sent at `now` to a server that refuses old fencing numbers.
    ///
    /// # Errors
    /// Returns an error if the lease has lapsed.
    pub fn check_fenced(&self, now: time::Instant) -> Result<(), PermitError> {
        if now > self.lease.until {
            return Err(PermitError::Lapsed);
        }
        Ok(())
    }

    /// Checks whether an order may be sent at `now` to a server that ignores fencing numbers. The
    /// order must expire before the lease does, and the orders of earlier holders must have
    /// expired.
    ///
    /// # Errors
    /// Returns an error if the order may not be sent.
    pub fn check_unfenced(&self, now: time::Instant) -> Result<(), PermitError> {
        if now < self.lease.earlier_orders_end {
            let left = self.lease.earlier_orders_end - now;
            let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            return Err(PermitError::PendingOrders { left_ms });
        }
        if now + self.limits.drift_adjusted(self.limits.order_ms) > self.lease.until {
            return Err(PermitError::Lapsed);
        }
        Ok(())
    }
}

/// The leases that one process holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    id: fold::HolderId,
    limits: limits::LeaseLimits,
    leases: collections::BTreeMap<String, OwnLease>,
}

impl LeaseHolder {
    /// Creates a holder without leases.
    #[must_use]
    pub const fn new(id: fold::HolderId, limits: limits::LeaseLimits) -> Self {
        Self {
            id,
            limits,
            leases: collections::BTreeMap::new(),
        }
    }

    /// Returns the identity of this holder.
    #[must_use]
    pub const fn id(&self) -> &fold::HolderId {
        &self.id
    }

    /// Plans the record that makes this process hold exactly the leases `assigned`; `None` if no
    /// record is needed. `log_ms` is the estimate of the log's clock, if there is one.
    #[must_use]
    pub fn plan(
        &self,
        assigned: &collections::BTreeSet<String>,
        leases: &fold::LeaseFold,
        log_ms: Option<u64>,
    ) -> Option<fold::HoldItem> {
        if leases.is_warming() {
            return None;
        }
        let mut item = fold::HoldItem {
            holder: self.id.clone(),
            hold_ms: self.limits.hold_ms,
            order_ms: self.limits.order_ms,
            held: collections::BTreeMap::new(),
            wanted: collections::BTreeSet::new(),
            released: collections::BTreeMap::new(),
        };
        for (subject, lease) in leases.leases() {
            if lease.holder.as_ref() == Some(&self.id) {
                let list = if assigned.contains(subject) {
                    &mut item.held
                } else {
                    &mut item.released
                };
                list.insert(subject.to_owned(), lease.fencing);
            }
        }
        for subject in assigned {
            let known = leases.find(subject);
            let free = known.is_none_or(|lease| lease.holder.is_none())
                || log_ms.is_some_and(|log_ms| leases.is_free(subject, log_ms));
            if free && !item.held.contains_key(subject) {
                item.wanted.insert(subject.clone());
            }
        }
        let empty = item.held.is_empty() && item.wanted.is_empty() && item.released.is_empty();
        (!empty).then_some(item)
    }

    /// Drops the leases that `item` releases. Must be called before `item` is appended, so that no
    /// order is sent under a released lease.
    pub fn begin_request(&mut self, item: &fold::HoldItem) {
        for subject in item.released.keys() {
            self.leases.remove(subject);
        }
    }

    /// Applies the verdict of the fold on `item`. `requested_at` is an instant before the first
    /// append of the item, `read_at` one after its verdict was read.
    pub fn apply_verdict(
        &mut self,
        item: &fold::HoldItem,
        verdict: &fold::LeaseVerdict,
        requested_at: time::Instant,
        read_at: time::Instant,
    ) {
        let until = requested_at + time::Duration::from_millis(item.hold_ms);
        for subject in item.held.keys().chain(&item.wanted) {
            let Some(held) = verdict.held.get(subject) else {
                self.leases.remove(subject);
                continue;
            };
            match self.leases.get_mut(subject) {
                Some(lease) if lease.fencing == held.fencing => {
                    lease.until = cmp::max(lease.until, until);
                }
                _ => {
                    let lease = self.new_lease(held, until, read_at);
                    self.leases.insert(subject.clone(), lease);
                }
            }
        }
    }

    /// Creates the entry of a lease that was just taken. An unknown earlier holder is assumed to
    /// have used the same limits as this process.
    fn new_lease(
        &self,
        held: &fold::HeldLease,
        until: time::Instant,
        read_at: time::Instant,
    ) -> OwnLease {
        let own_ms = self.limits.hold_ms + self.limits.order_ms;
        let wait_ms = cmp::max(held.wait_ms, own_ms);
        OwnLease {
            fencing: held.fencing,
            until,
            earlier_orders_end: read_at + self.limits.drift_adjusted(wait_ms),
        }
    }

    /// Drops the leases that others hold according to the fold.
    pub fn observe(&mut self, leases: &fold::LeaseFold) {
        let id = &self.id;
        self.leases.retain(|subject, own| {
            leases.find(subject).is_some_and(|lease| {
                lease.holder.as_ref() == Some(id) && lease.fencing == own.fencing
            })
        });
    }

    /// Drops a lease after a server reported a newer holder.
    pub fn mark_lost(&mut self, subject: &str, fencing: u64) {
        if self
            .leases
            .get(subject)
            .is_some_and(|own| own.fencing == fencing)
        {
            self.leases.remove(subject);
        }
    }

    /// Issues a permit to send orders to `subject`.
    ///
    /// # Errors
    /// Returns an error if the lease is not held or has lapsed.
    pub fn permit(&self, subject: &str, now: time::Instant) -> Result<OrderPermit, PermitError> {
        let lease = *self.leases.get(subject).ok_or(PermitError::NotHeld)?;
        let permit = OrderPermit {
            subject: subject.to_owned(),
            lease,
            limits: self.limits,
        };
        permit.check_fenced(now).map(|()| permit)
    }
}
