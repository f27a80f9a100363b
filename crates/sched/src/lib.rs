//! Request scheduling: memory-aware admission, fair queues, routing to servers, preemption and
//! limits of organisations.
//!
//! [`core::DispatchCore`] decides without I/O and without a clock or random source of its own;
//! [`driver::Driver`] runs it on the runtime's clock for the request plane.

pub mod admission;
pub mod affinity;
pub mod core;
mod dispatch;
pub mod driver;
pub mod explain;
pub mod fleet;
pub mod headroom;
pub mod length;
pub mod limit;
mod maintenance;
pub mod organisation;
pub mod queue;
pub mod request;
pub mod risk;
pub mod route;
pub mod settings;
pub mod share;
pub mod ticket;
pub mod victim;
pub mod view;
