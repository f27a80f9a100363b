//! Signals that a daemon takes.

use std::io;

use nix::sys::signal;
use tokio::signal::unix;

/// Blocks SIGTERM, SIGINT and SIGHUP until [`StopSignals::catch`]; one that comes meanwhile waits.
///
/// A daemon calls it from a constructor, which runs before the language's runtime and `main`: until a
/// signal is caught, the system's default ends the process, SIGHUP too. A daemon that calls it and then
/// never [`StopSignals::catch`] can be ended by SIGKILL only.
///
/// # Errors
///
/// When the system refuses.
pub fn hold() -> io::Result<()> {
    Ok(stop_set().thread_block()?)
}

fn stop_set() -> signal::SigSet {
    [
        signal::Signal::SIGTERM,
        signal::Signal::SIGINT,
        signal::Signal::SIGHUP,
    ]
    .into_iter()
    .collect()
}

/// SIGTERM, SIGINT and SIGHUP, caught.
#[derive(Debug)]
pub struct StopSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl StopSignals {
    /// Catches them from now on, and those that [`hold`] held back. To be called in the context of a
    /// runtime, by the thread that called `hold`.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn catch() -> io::Result<Self> {
        let signals = Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        };
        stop_set().thread_unblock()?;
        Ok(signals)
    }

    /// Ends at SIGTERM or SIGINT, also one that came before. SIGHUP is noted: nothing that settings
    /// hold can change while a process runs, what changes comes from the store.
    pub async fn wait(mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => log::info!("settings may have changed; nothing to reload"),
            }
        }
    }
}
