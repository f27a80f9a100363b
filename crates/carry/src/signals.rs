//! Handling of the signals that stop a daemon.

use std::io;

use nix::sys::signal;
use tokio::signal::unix;

/// Blocks SIGTERM, SIGINT and SIGHUP until [`StopSignals::catch`]; signals sent meanwhile stay
/// pending.
///
/// A daemon calls it from a constructor, which runs before the Rust runtime and `main`: until a
/// handler is installed, the default action of these signals, SIGHUP included, ends the process. A
/// daemon that calls it and never calls [`StopSignals::catch`] can be ended by SIGKILL only.
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

/// Handlers of SIGTERM, SIGINT and SIGHUP.
#[derive(Debug)]
pub struct StopSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl StopSignals {
    /// Installs the handlers and unblocks the signals that [`hold`] blocked. Must be called within
    /// a Tokio runtime, on the thread that called `hold`.
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

    /// Waits for SIGTERM or SIGINT, including one received earlier. SIGHUP is only logged.
    pub async fn wait(self) {
        self.wait_with(|| log::info!("settings may have changed; nothing to reload"))
            .await;
    }

    /// Waits for SIGTERM or SIGINT, including one received earlier; calls `reload` on each SIGHUP.
    pub async fn wait_with(mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}
