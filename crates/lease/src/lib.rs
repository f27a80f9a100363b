//! Leases on the platform log, fenced orders to model engines and the placement controller.
//!
//! The log's order alone says who holds a lease, and the offset of the record that took it is its
//! fencing number. What a holder may do with it is decided by the holder's own monotonic clock,
//! never by the log's: see [`holder`] and [`order`].

pub mod choice;
pub mod driver;
pub mod engine;
pub mod fold;
pub mod holder;
pub mod http;
pub mod limits;
pub mod order;
pub mod placement;
