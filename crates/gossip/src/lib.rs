//! Membership by gossip with suspicion, and the state that spreads with it.
//!
//! All of it is a hint. Nothing that must hold may rest on who is called alive or dead here.

pub mod claim;
pub mod core;
pub mod driver;
pub mod event;
pub mod handle;
pub mod item;
pub mod member;
pub mod news;
pub mod packet;
pub mod probe;
mod probing;
pub mod settings;
pub mod spread;
mod sync;
pub mod view;

pub use driver::start;
