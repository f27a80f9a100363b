//! The follower among others: random histories against an oracle, and situations with names.

mod fuzz;
mod situations;
mod world;
