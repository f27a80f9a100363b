//! Decisions under load: admission by memory at risk, fair queues, routing, limits and steering.
//!
//! [`core::DispatchCore`] decides without I/O, clock or random source of its own;
//! [`driver::Driver`] runs it on the runtime's clock for the request plane.

pub mod ask;
pub mod core;
pub mod driver;
pub mod explain;
pub mod settings;
pub mod view;
