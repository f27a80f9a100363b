//! What a daemon does before `main`.
//!
//! A program that links this crate holds back its stop signals from its first instructions on, and must
//! catch them with [`carry::signals::StopSignals::catch`].

use carry::signals;

/// A signal that comes before `main` has set up its handlers waits for them.
#[ctor::ctor(unsafe)]
fn hold_signals() {
    // Refused, a signal at the start ends the process, as it would without this.
    let _ = signals::hold();
}
