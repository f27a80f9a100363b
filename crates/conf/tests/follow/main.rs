//! Tests of a cluster of followers: random histories against an oracle, and single scenarios.

mod cluster;
mod fuzz;
mod situations;
