//! The operators' client.
//!
//! Calls the operators' API of any entry VM; when one does not answer, it tries the next.

pub mod args;
pub mod attention;
pub mod capacity;
pub mod client;
pub mod command;
pub mod completions;
pub mod configuration;
pub mod error;
pub mod in_force;
pub mod operate;
pub mod overview;
pub mod publish;
pub mod saved_logs;
pub mod settings;
pub mod status;
pub mod table;
pub mod timeline;
