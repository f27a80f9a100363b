//! What one holder may do by its own monotonic clock.
//!
//! A deadline is counted from *before* the append that took or renewed the lease. Whoever takes
//! the lease later does so by a record that follows it on the log, hence after that instant; so a
//! successor that waits out the whole time from when it *read* its own record acts only after
//! the deadline, however long the append, its answer or a pause of the holder took.

use std::{cmp, collections};

use snafu::Snafu;
use tokio::time;

use crate::{fold, limits};

/// One lease in this process's hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OwnLease {
    fencing: u64,
    /// Nothing is sent after this.
    until: time::Instant,
    /// Orders of earlier holders are over by then, also at servers that ignore fencing numbers.
    quiet_from: time::Instant,
}

/// Leave to give orders to one server. Only a [`LeaseHolder`] makes it; it is checked again right
/// before an order leaves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderPermit {
    subject: String,
    lease: OwnLease,
    limits: limits::LeaseLimits,
}

/// Why no order may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PermitFault {
    /// The lease is not held here.
    #[snafu(display("this VM does not hold the lease; its holder gives the orders"))]
    NotHeld,
    /// The lease's time is over, or too little of it is left for an order.
    #[snafu(display("the lease's time does not allow an order; it is renewed first"))]
    Lapsed,
    /// An earlier holder's orders may still be under way.
    #[snafu(display("an earlier holder's orders may be under way; wait {left_ms} ms"))]
    Quiet {
        /// Time left to wait, in milliseconds.
        left_ms: u64,
    },
}

impl OrderPermit {
    /// The server.
    #[must_use]
    pub fn subject(&self) -> &str {
        &self.subject
    }

    /// The fencing number.
    #[must_use]
    pub const fn fencing(&self) -> u64 {
        self.lease.fencing
    }

    /// Time limit that its orders carry, in milliseconds.
    #[must_use]
    pub const fn order_ms(&self) -> u64 {
        self.limits.order_ms
    }

    /// Whether an order may leave at `now` for a server that refuses old fencing numbers.
    ///
    /// # Errors
    /// When the lease's time is over.
    pub fn check_fenced(&self, now: time::Instant) -> Result<(), PermitFault> {
        if now > self.lease.until {
            return Err(PermitFault::Lapsed);
        }
        Ok(())
    }

    /// Whether an order may leave at `now` for a server that ignores fencing numbers: the order
    /// must be over within the lease, and those of earlier holders before it.
    ///
    /// # Errors
    /// When it may not.
    pub fn check_unfenced(&self, now: time::Instant) -> Result<(), PermitFault> {
        if now < self.lease.quiet_from {
            let left = self.lease.quiet_from - now;
            let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            return Err(PermitFault::Quiet { left_ms });
        }
        if now + self.limits.stretched(self.limits.order_ms) > self.lease.until {
            return Err(PermitFault::Lapsed);
        }
        Ok(())
    }
}

/// The leases of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    id: fold::HolderId,
    limits: limits::LeaseLimits,
    leases: collections::BTreeMap<String, OwnLease>,
}

impl LeaseHolder {
    /// A holder without leases.
    #[must_use]
    pub const fn new(id: fold::HolderId, limits: limits::LeaseLimits) -> Self {
        Self {
            id,
            limits,
            leases: collections::BTreeMap::new(),
        }
    }

    /// Who it is.
    #[must_use]
    pub const fn id(&self) -> &fold::HolderId {
        &self.id
    }

    /// What to ask of the log so that it holds `assigned` and nothing else; `None`: nothing.
    /// `log_ms` is the log's clock as far as it is known.
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

    /// Before `item` is appended: no order follows for what it releases.
    pub fn asking(&mut self, item: &fold::HoldItem) {
        for subject in item.released.keys() {
            self.leases.remove(subject);
        }
    }

    /// Takes the log's verdict about `item`. `asked` is an instant before the item was first
    /// appended, `read` one after its verdict was read.
    pub fn settled(
        &mut self,
        item: &fold::HoldItem,
        verdict: &fold::LeaseVerdict,
        asked: time::Instant,
        read: time::Instant,
    ) {
        let until = asked + time::Duration::from_millis(item.hold_ms);
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
                    let lease = self.taken(held, until, read);
                    self.leases.insert(subject.clone(), lease);
                }
            }
        }
    }

    /// An unknown predecessor is taken to have had the limits of this process.
    fn taken(&self, held: &fold::HeldLease, until: time::Instant, read: time::Instant) -> OwnLease {
        let own_ms = self.limits.hold_ms + self.limits.order_ms;
        let wait_ms = cmp::max(held.wait_ms, own_ms);
        OwnLease {
            fencing: held.fencing,
            until,
            quiet_from: read + self.limits.stretched(wait_ms),
        }
    }

    /// Drops leases that the log has given to others.
    pub fn observe(&mut self, leases: &fold::LeaseFold) {
        let id = &self.id;
        self.leases.retain(|subject, own| {
            leases.find(subject).is_some_and(|lease| {
                lease.holder.as_ref() == Some(id) && lease.fencing == own.fencing
            })
        });
    }

    /// A server answered that a newer holder exists.
    pub fn lost(&mut self, subject: &str, fencing: u64) {
        if self
            .leases
            .get(subject)
            .is_some_and(|own| own.fencing == fencing)
        {
            self.leases.remove(subject);
        }
    }

    /// Leave to give orders to `subject`.
    ///
    /// # Errors
    /// When the lease is not held, or its time is over.
    pub fn permit(&self, subject: &str, now: time::Instant) -> Result<OrderPermit, PermitFault> {
        let lease = *self.leases.get(subject).ok_or(PermitFault::NotHeld)?;
        let permit = OrderPermit {
            subject: subject.to_owned(),
            lease,
            limits: self.limits,
        };
        permit.check_fenced(now).map(|()| permit)
    }
}
