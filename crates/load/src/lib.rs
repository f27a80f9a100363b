//! Seeded load, experiments and the demonstration.
//!
//! [`scenario`] says who calls, [`arrival`] fixes every call ahead from the seed, [`perform`] makes
//! a call through a [`caller`], [`check`] judges each answer, [`measure`] gathers what callers
//! felt, and [`report`], [`compare`] and [`plot`] show it.

pub mod arrival;
pub mod body;
pub mod book;
pub mod caller;
pub mod check;
pub mod cli;
pub mod command;
pub mod compare;
pub mod demo;
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
