//! The real request plane against in-process stand-ins, on a paused clock.

mod basic;
mod callers;
mod calls;
mod crashing;
mod faults;
mod fuzz;
mod links;
mod streams;
mod world;
