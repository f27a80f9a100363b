//! Settings of the request plane that are not part of the operators' rules.

use std::time::Duration;

use crate::{silence, suspect, token};

/// Settings of one request plane; constant for the lifetime of the process.
#[derive(Clone, Debug)]
pub struct PlaneSettings {
    /// Name of this entry VM among the entry VMs.
    pub vm: String,
    /// Keys that sign continuation tokens; the same on all entry VMs.
    pub token_keys: token::TokenKeys,
    /// Lifetime of a continuation token.
    pub token_ttl: Duration,
    /// Time for which a generation keeps running after its caller disconnected, so that it can be
    /// continued.
    pub linger: Duration,
    /// Time after which a caller that reads nothing is disconnected.
    pub caller_stall_timeout: Duration,
    /// Maximum interval between two events or heartbeats that a caller receives.
    pub heartbeat_interval: Duration,
    /// Timeout of one call to a backend server that should be answered at once.
    pub call_timeout: Duration,
    /// Minimum silence after which a connection to a model engine is given up.
    pub min_silence_timeout: Duration,
    /// Time limit for reconnecting to a generation that has delivered no token, before it is
    /// cancelled and started elsewhere.
    pub opening_reconnect_timeout: Duration,
    /// Time after which an attempt that can be neither reached nor cancelled is abandoned: another
    /// one is started while a background task continues to cancel it. `None`: never, and the
    /// request is refused when its time limit passes.
    pub abandon_after: Option<Duration>,
    /// Time for which a cancel request is repeated in the background.
    pub cancel_timeout: Duration,
    /// Maximum number of servers that this entry VM reserves for suspects at once.
    pub max_probe_servers: usize,
    /// Limits for remembering crashes.
    pub suspects: suspect::SuspectLimits,
    /// Time by which a claim outlasts the time limit of its call.
    pub claim_margin: Duration,
    /// Maximum number of jobs that run at once.
    pub max_concurrent_jobs: usize,
}

impl PlaneSettings {
    /// Creates the default settings.
    #[must_use]
    pub fn new(vm: String, token_keys: token::TokenKeys) -> Self {
        Self {
            vm,
            token_keys,
            token_ttl: Duration::from_mins(10),
            linger: Duration::from_millis(1_500),
            caller_stall_timeout: Duration::from_secs(10),
            heartbeat_interval: Duration::from_secs(1),
            call_timeout: Duration::from_millis(800),
            min_silence_timeout: silence::PING_INTERVAL + silence::PING_TOLERANCE,
            opening_reconnect_timeout: Duration::from_millis(800),
            abandon_after: None,
            cancel_timeout: Duration::from_mins(1),
            max_probe_servers: 2,
            suspects: suspect::SuspectLimits::default(),
            claim_margin: Duration::from_secs(2),
            max_concurrent_jobs: 32,
        }
    }
}
