//! The time line of events: hybrid logical clocks, event rings, merging and drawing.
//!
//! A process records into one [`journal::EventJournal`]; an operators' client fetches the retained
//! events of each process and merges them into one causal order with [`merge::merge`].

pub mod clock;
pub mod event;
pub mod explain;
pub mod field;
pub mod journal;
pub mod kind;
pub mod lines;
pub mod merge;
pub mod moment;
pub mod picture;
pub mod query;
pub mod ring;
pub mod stamper;
pub mod svg;
pub mod text;
