//! Inventory, rules and settings: parsing, validation, patches and revisions.
//!
//! The configuration in force is a pure function of a prefix of the log: [`state::ConfigState`]
//! applies records in order, and every reader of the same records reaches the same state.
//! This crate performs no I/O and reads no clock.

mod arena;
pub mod change;
pub mod check;
pub mod checkpoint;
pub mod document;
pub mod event;
pub mod fault;
pub mod follow;
pub mod history;
mod index;
pub mod inventory;
mod inventory_check;
pub mod keeper;
mod matcher;
pub mod offer;
pub mod pace;
pub mod part;
mod path;
mod peers;
pub mod place;
pub mod reference;
pub mod rules;
mod rules_check;
pub mod sample;
mod schema;
mod search;
pub mod settings;
pub mod snapshot;
pub mod state;
mod structure;
pub mod transfer;
