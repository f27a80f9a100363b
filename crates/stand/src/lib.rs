//! Stand-ins for what pollenchute meets: model engine, plain service, log, weight store, VM list.
//!
//! Each is a pure core without I/O and clock, an in-process handle on the runtime's clock (paused
//! or not), and an HTTP front with the faces of `docs/INTERFACES.md`. Faults are switched on by
//! methods of the handles, or from outside by `POST /admin/faults`.

pub mod admin;
pub mod bucket;
pub mod cli;
pub mod command;
pub mod draw;
pub mod engine;
pub mod exit;
pub mod fleet;
pub mod gate;
pub mod http;
pub mod log;
pub mod service;
pub mod settings;
pub mod vms;
pub mod weights;
