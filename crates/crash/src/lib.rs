//! Infers from crashes of backend servers which content causes them.
//!
//! [`table`] holds the evidence, which entry VMs merge by set union: crashes, each with the contents
//! that it speaks against, and contents that ran well. [`verdict`] infers the causes from it.
//!
//! Nothing here does I/O or reads a clock.

pub mod table;
pub mod verdict;
