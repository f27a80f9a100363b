//! Identifiers, traffic classes, outcomes and refusals shared by every pollenchute crate.
//!
//! Nothing here does I/O or reads a clock.

pub mod class;
pub mod fingerprint;
pub mod id;
pub mod ops;
pub mod outcome;
pub mod prefix;
pub mod refusal;
pub mod rendezvous;
