//! Gossip membership with suspicion (SWIM), and the state disseminated with it.
//!
//! All of this is best-effort information. No guarantee may depend on whether a member is reported
//! alive or dead here.

pub mod claim;
pub mod core;
pub mod digest;
pub mod driver;
pub mod event;
mod greeting;
pub mod handle;
pub mod in_force;
pub mod item;
mod keeping;
mod linking;
pub mod list;
pub mod loads;
pub mod member;
pub mod news;
pub mod packet;
pub mod probe;
mod probing;
mod roster;
mod sending;
pub mod settings;
pub mod spread;
mod sync;
mod taking;
pub mod view;
pub mod watching;

pub use driver::{start, start_stamped};
