//! Leases on the platform log, fenced orders to model engines and the placement controller.
//!
//! The order of records on the log alone determines who holds a lease, and the offset of the
//! record that took the lease is its fencing number. Whether a holder may still act under the
//! lease depends on the holder's own monotonic clock, never on the log's clock: see [`holder`] and
//! [`order`].

pub mod choice;
pub mod driver;
pub mod engine;
pub mod fold;
pub mod holder;
pub mod http;
pub mod limits;
pub mod order;
pub mod placement;
