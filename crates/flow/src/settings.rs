//! Limits of the plane that are no business of operators' rules.

use std::time::Duration;

use crate::{silence, suspect, token};

/// Settings of one request plane; the same for its whole life.
#[derive(Clone, Debug)]
pub struct PlaneSettings {
    /// Name of this entry VM, as other entry VMs know it.
    pub vm: String,
    /// Secrets of continuation tokens; the same on all entry VMs.
    pub token_keys: token::TokenKeys,
    /// A continuation token is honoured for this long.
    pub token_kept: Duration,
    /// A generation whose caller is gone is kept for this long, to be continued.
    pub linger: Duration,
    /// A caller that reads nothing for this long is given up.
    pub caller_stall: Duration,
    /// A caller is shown a sign of life at least this often.
    pub heartbeat: Duration,
    /// One call to a backend server that should be answered at once is given up after this.
    pub call_limit: Duration,
    /// A connection to a model engine is given up no sooner than after this silence.
    pub silence_floor: Duration,
    /// A generation of which no token came is sought on its server for this long before it is
    /// cancelled and started elsewhere.
    pub opening_patience: Duration,
    /// Give a try up that can neither be reached nor cancelled after this, and start another
    /// while a standing order to cancel it remains; absent: never, the request is refused when
    /// its time limit passes.
    pub abandon_after: Option<Duration>,
    /// An order to cancel is repeated for this long.
    pub cancel_for: Duration,
    /// Servers that suspects may have to themselves at once, by this entry VM.
    pub probe_servers: usize,
    /// How long crashes are remembered.
    pub suspects: suspect::SuspectLimits,
    /// A claim holds for the time limit of its call and this much more.
    pub claim_margin: Duration,
    /// Jobs that run at once.
    pub jobs_at_once: usize,
}

impl PlaneSettings {
    /// The defaults.
    #[must_use]
    pub fn new(vm: String, token_keys: token::TokenKeys) -> Self {
        Self {
            vm,
            token_keys,
            token_kept: Duration::from_mins(10),
            linger: Duration::from_millis(1_500),
            caller_stall: Duration::from_secs(10),
            heartbeat: Duration::from_secs(1),
            call_limit: Duration::from_millis(800),
            silence_floor: silence::PING_INTERVAL + silence::PING_TOLERANCE,
            opening_patience: Duration::from_millis(800),
            abandon_after: None,
            cancel_for: Duration::from_mins(1),
            probe_servers: 2,
            suspects: suspect::SuspectLimits::default(),
            claim_margin: Duration::from_secs(2),
            jobs_at_once: 32,
        }
    }
}
