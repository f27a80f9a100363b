//! HTTP/1.1 between processes, for one thread.
//!
//! [`pool`] keeps connections to servers alive and reuses only those that are not stale; [`bounded`]
//! limits what their answers may take;
//! [`listen`] serves callers until it is stopped, at [`places`] for connections, and [`intake`] reads their
//! bodies into [`memory`] that is limited; [`logging`] is the log, whose lines are chosen by
//! [`sampling`] and written by [`output`], which never blocks on the reader; [`signals`] handles
//! the signals that stop a daemon; [`transfer`] limits the time of transfers of unknown size.

pub mod bounded;
pub mod call;
mod caller;
pub mod intake;
pub mod listen;
pub mod logging;
pub mod memory;
pub mod output;
pub mod places;
pub mod pool;
pub mod sampling;
pub mod share;
pub mod signals;
mod socket;
pub mod transfer;
