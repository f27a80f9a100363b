//! The plane of opaque exchanges: requests and answers are bytes, what is known of them is their
//! kind, their deadline and, for generations, the size of their prompt.
//!
//! Decisions are pure and take the time as an argument: [`place`], [`budget`], [`wait`],
//! [`suspect`], [`relocate`], [`directory`]. [`plane`] performs them over the ports of [`port`];
//! [`link`] carries what entry VMs tell each other.

pub mod announce;
pub mod ask;
pub mod budget;
pub mod catalog;
pub mod catchup;
pub mod comeback;
pub mod delta;
pub mod directory;
pub mod evacuation;
pub mod event;
pub mod fleet;
pub mod follow;
pub mod forecast;
pub mod link;
pub mod listing;
pub mod loads;
pub mod message;
mod moving;
pub mod notices;
mod pace;
pub mod peers;
pub mod place;
mod placing;
pub mod plane;
pub mod port;
pub mod recipients;
pub mod relocate;
pub mod reply;
pub mod room;
pub mod runs;
mod serve_call;
mod serve_stream;
pub mod server;
pub mod state;
pub mod stopping;
pub mod suspect;
pub mod system;
pub mod update;
pub mod wait;
