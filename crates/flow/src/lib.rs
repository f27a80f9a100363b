//! The request plane: filter chain, attempts and their outcomes, stream relay and continuation.
//!
//! [`plane::RequestPlane`] takes a caller's request and returns an answer, a stream of bytes or a
//! refusal that states whether the request ran. It reaches the rest of the system through the
//! traits of [`port`]. What it knows of its own attempts is held in types of [`proof`], which are
//! moved, never copied.

pub mod admit;
pub mod attempt;
pub mod authenticate;
pub mod body;
pub mod budget;
pub mod calling;
pub mod chunk;
pub mod claim;
pub mod classify;
pub mod collect;
mod continuation;
pub mod crash_tracker;
pub mod cursor;
pub mod deduplicate;
pub mod filter;
pub mod gate;
pub mod http;
pub mod jobs;
pub mod link_error;
pub mod memory;
pub mod memory_store;
pub mod opening;
pub mod path;
pub mod pipe;
pub mod plane;
pub mod port;
pub mod proof;
pub mod quarantine;
pub mod quota;
pub mod readers;
pub mod refused;
pub mod relay;
pub mod request;
pub mod route;
pub mod running;
pub mod settings;
pub mod settle;
pub mod shared;
pub mod silence;
pub mod sse;
pub mod suspect;
pub mod token;
pub mod view;
