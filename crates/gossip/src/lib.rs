//! SWIM-style gossip membership with suspicion, and the state disseminated with it.
//!
//! All of this is best-effort information. No guarantee may depend on whether a member is reported
//! alive or dead here.

pub mod claim;
pub mod core;
pub mod digest;
pub mod digest_state;
mod discovery;
pub mod driver;
pub mod event;
pub mod handle;
pub mod in_force;
pub mod item;
mod linking;
pub mod list;
mod maintenance;
pub mod member;
pub mod packet;
pub mod probe;
mod probing;
mod receiving;
mod roster;
mod sending;
pub mod settings;
pub mod spread;
mod sync;
pub mod update;
pub mod view;
pub mod watching;

pub use driver::{start, start_stamped};
