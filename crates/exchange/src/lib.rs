//! Exchange plane: routes opaque requests and responses, of which only the kind, the deadline and,
//! for generations, the prompt size are known.
//!
//! Decisions are pure functions that take the time as an argument: [`place`], [`pauses`], [`budget`], [`shares`], [`wait`],
//! [`crashes`], [`relocate`], [`directory`]. [`plane`] executes them over the interface in
//! [`port`]; [`link`] carries the messages between entry VMs.

mod accusing;
pub mod announce;
mod arrivals;
mod backups;
pub mod body;
pub mod budget;
pub mod capacity;
pub mod catalog;
pub mod catchup;
pub mod cold;
pub mod content;
pub mod crash_items;
pub mod crash_news;
pub mod crash_store;
pub mod crashes;
pub mod delta;
pub mod demand;
pub mod directory;
pub mod dropped;
mod endless;
pub mod era;
pub mod evacuation;
pub mod event;
mod event_pace;
pub mod fair;
pub mod fleet;
pub mod follow;
pub mod forecast;
pub mod handed;
pub mod handover;
pub mod limits;
pub mod link;
pub mod listing;
pub mod loads;
pub mod loans;
pub mod message;
mod moving;
pub mod notices;
pub mod pace_reports;
pub mod paces;
pub mod pauses;
mod pausing;
pub mod peers;
pub mod permit;
pub mod place;
mod placing;
pub mod plane;
pub mod port;
pub mod position;
pub mod reach;
mod reaching;
pub mod readers;
pub mod recipients;
pub mod reload;
pub mod relocate;
pub mod repeats;
pub mod reply;
pub mod request;
pub mod returning;
pub mod runs;
mod serve_call;
mod serve_stream;
pub mod server;
pub mod shares;
pub mod state;
pub mod stopping;
mod switching;
pub mod system;
pub mod unsaved;
pub mod update;
pub mod wait;
pub mod withheld;
