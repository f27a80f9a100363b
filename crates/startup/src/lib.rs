//! Blocks the stop signals of a daemon before `main`.
//!
//! A program that links this crate blocks its stop signals from its first instructions on, and must
//! unblock them with [`carry::signals::StopSignals::catch`].

use carry::signals;

/// Blocks the stop signals, so that one sent before `main` has installed its handlers stays
/// pending.
#[ctor::ctor(unsafe)]
fn hold_signals() {
    // If this fails, a signal during the start ends the process, as it would without this crate.
    let _ = signals::hold();
}
