//! Changes of settings while a process runs.
//!
//! All VMs share the allowance of repeats. One that keeps an older one than the others takes a share of
//! another whole, and the sum of all shares is that of neither. The time of a stop and the bounds of the
//! store hold for a process as its file states them when they matter, not as it read them at its start.

use std::rc;

use tokio::time;

use crate::{budget, cold, plane, state};

/// Interval at which the settings are read again; they may change without a signal.
const RELOAD_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Settings that apply without a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReloadedSettings {
    /// Limit on retries, over all VMs.
    pub retries: budget::BudgetRule,
    /// Time from SIGTERM until the process is killed.
    pub grace: time::Duration,
    /// Interval at which servers write their entries.
    pub server_heartbeat: time::Duration,
    /// Time after the end of a disruption of the store within which this VM must know of changes.
    pub contact: time::Duration,
    /// Limit on requests to cold engines, over all VMs.
    pub cold: cold::ColdRule,
}

impl state::PlaneSettings {
    /// The settings that apply without a restart.
    #[must_use]
    pub const fn reloaded(&self) -> ReloadedSettings {
        ReloadedSettings {
            retries: self.retries,
            grace: self.grace,
            server_heartbeat: self.server_heartbeat,
            contact: self.contact,
            cold: self.cold,
        }
    }
}

impl<P> plane::ExchangePlane<P> {
    /// Applies settings that were read again. Those that can't be read leave the ones in force.
    pub fn apply_settings(&self, read: Result<ReloadedSettings, String>) {
        let new = match read {
            Ok(new) => new,
            Err(error) => {
                log::warn!(error:%; "settings not read, the ones in force stay");
                return;
            }
        };
        let mut state = self.state();
        let before = state.settings.reloaded();
        if new == before {
            return;
        }
        let settings = &mut state.settings;
        settings.retries = new.retries;
        settings.grace = new.grace;
        settings.server_heartbeat = new.server_heartbeat;
        settings.contact = new.contact;
        settings.cold = new.cold;
        drop(state);
        log::info!(settings:? = new, before:?; "settings changed");
    }
}

/// Reads the settings again on each `signal` and at an interval, and applies them. Never ends.
pub async fn follow_settings<P>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    signal: rc::Rc<tokio::sync::Notify>,
    read: impl Fn() -> Result<ReloadedSettings, String>,
) {
    loop {
        let _ = time::timeout(RELOAD_INTERVAL, signal.notified()).await;
        plane.apply_settings(read());
    }
}
