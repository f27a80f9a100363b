//! HTTP/1.1 between processes, for one thread.
//!
//! [`pool`] keeps connections to servers and never trusts one that may have gone silent;
//! [`listen`] serves callers until it is told to stop; [`output`] writes log lines without ever
//! waiting for whoever reads them.

pub mod listen;
pub mod output;
pub mod pool;
mod socket;
