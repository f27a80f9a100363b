//! Signals that a daemon takes.

use std::io;

use tokio::signal::unix;

/// SIGTERM, SIGINT and SIGHUP, caught.
///
/// A daemon catches them before all else. One that comes while settings are read, or listeners are
/// opened, would end the process by the system's default, SIGHUP too, although nothing is wrong: a VM
/// would be gone without a line in its log, and answers that it had begun would be cut.
#[derive(Debug)]
pub struct StopSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl StopSignals {
    /// Catches them from now on. To be called in the context of a runtime.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn catch() -> io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
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
