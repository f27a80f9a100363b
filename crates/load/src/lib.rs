//! Seeded load, experiments and the demonstration.
//!
//! [`scenario`] defines the workloads, [`arrival`] plans every call in advance from the seed,
//! [`perform`] makes a call through a [`caller`], [`check`] verifies each answer, [`measure`]
//! collects the latencies and outcomes that callers observe, and [`report`], [`compare`] and
//! [`plot`] present them.

pub mod arrival;
pub mod body;
pub mod caller;
pub mod check;
pub mod cli;
pub mod command;
pub mod compare;
pub mod demo;
pub mod directory;
pub mod env;
pub mod exit;
pub mod length;
pub mod measure;
pub mod perform;
pub mod play;
pub mod plot;
pub mod progress;
pub mod record;
pub mod report;
pub mod runner;
pub mod scenario;
pub mod site;
pub mod sse;
