//! HTTP faces of the entry daemon, on rocket.
//!
//! Rocket boxes its handlers' futures; nothing of ours on the request path uses `dyn`.

pub mod answer;
pub mod caller;
pub mod catch;
pub mod head;
pub mod health;
pub mod ops;
pub mod serve;
