//! The entry daemon: HTTP interfaces, controllers and the wiring of the other crates.
//!
//! Every entry VM runs the same daemon. `daemon` starts everything and stops it in order,
//! `http` holds the APIs for callers and operators, `adapt` implements the request plane's ports
//! with the scheduler and the log.

pub mod adapt;
pub mod assemble;
pub mod clock;
pub mod configure;
pub mod daemon;
pub mod digests;
pub mod drain;
pub mod follow;
pub mod http;
pub mod members;
pub mod membership;
pub mod observation;
pub mod peer_service;
pub mod placement;
pub mod ports;
pub mod publish;
pub mod recorder;
pub mod roster;
pub mod settings;
pub mod state;
pub mod status;
pub mod vm_list;
pub mod watch;
