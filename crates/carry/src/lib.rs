//! HTTP/1.1 between processes, for one thread.
//!
//! [`pool`] keeps connections to servers and never trusts one that may have gone silent;
//! [`listen`] serves callers until it is told to stop; [`logging`] is the log, which [`output`]
//! writes without ever waiting for whoever reads it, after [`sampling`] has chosen its lines;
//! [`signals`] are what stops a daemon; [`transfer`] limits the time of what may be large.

pub mod listen;
pub mod logging;
pub mod output;
pub mod pool;
pub mod sampling;
pub mod signals;
mod socket;
pub mod transfer;
