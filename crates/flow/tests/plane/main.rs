//! Tests of the request plane against in-process stand-ins, on a paused clock.

mod basic;
mod callers;
mod calls;
mod cluster;
mod crashing;
mod faults;
mod fuzz;
mod links;
mod streams;
