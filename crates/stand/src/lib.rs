//! Stand-ins for the systems around pollenchute: model engine, plain service, log, weight store and
//! VM list.
//!
//! Each consists of a core without I/O or clock, an in-process handle on the runtime's clock (which
//! may be paused), and an HTTP server with the interfaces of `docs/INTERFACES.md`. Faults are
//! injected through methods of the handles, or from other processes through `POST /admin/faults`.

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
pub mod signals;
pub mod vms;
pub mod weights;
