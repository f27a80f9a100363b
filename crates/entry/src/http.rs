//! HTTP interfaces of the entry daemon, built on Rocket.
//!
//! Rocket boxes the futures of its handlers; the project's own code on the request path uses no
//! `dyn`.

pub mod answer;
pub mod caller;
pub mod catch;
pub mod head;
pub mod health;
mod intake;
pub mod ops;
pub mod serve;
