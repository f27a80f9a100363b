//! Identifier source and wall clock of the request plane.

use base::id;

use crate::clock;

/// Draws identifiers from the operating system's randomness.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomIds;

impl flow::port::IdSource for RandomIds {
    fn draw(&self) -> u128 {
        id::RequestId::draw(&mut rand::rng()).0
    }
}

/// This VM's wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl flow::port::WallClock for SystemClock {
    fn unix_ms(&self) -> u64 {
        clock::unix_ms()
    }
}
