//! State shared by all requests of one plane.

use std::{sync, time::Duration};

use base::{fingerprint::ContentHash, id, refusal};
use conf::snapshot;
use tokio::time;
use trace::kind;

use crate::{
    budget, crash_tracker, gate,
    port::{self, EngineLink as _, EventSink as _, IdSource as _, WallClock as _},
    readers, settings,
    suspect::ContentStanding,
};

/// Initial delay between two cancel requests; it doubles each time.
const INITIAL_CANCEL_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay between two cancel requests.
const MAX_CANCEL_DELAY: Duration = Duration::from_secs(5);

/// State shared by all requests of one plane.
#[derive(Debug)]
pub struct SharedPlane<P> {
    pub(crate) ports: P,
    pub(crate) settings: settings::PlaneSettings,
    pub(crate) gate: gate::FlowGate,
    pub(crate) crash_tracker: sync::Arc<crash_tracker::CrashTracker>,
    pub(crate) readers: sync::Arc<readers::ReaderTable>,
    pub(crate) budget: sync::Mutex<budget::RetryBudget>,
    /// One permit for each server that may be reserved for a suspect.
    pub(crate) probe_permits: sync::Arc<tokio::sync::Semaphore>,
}

impl<P: port::PortSet> SharedPlane<P> {
    pub(crate) fn new(ports: P, settings: settings::PlaneSettings) -> Self {
        Self {
            ports,
            gate: gate::FlowGate::default(),
            crash_tracker: sync::Arc::new(crash_tracker::CrashTracker::new(settings.suspects)),
            readers: sync::Arc::default(),
            budget: sync::Mutex::new(budget::RetryBudget::new(time::Instant::now())),
            probe_permits: sync::Arc::new(tokio::sync::Semaphore::new(settings.max_probe_servers)),
            settings,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.ports.clock().unix_ms()
    }

    pub(crate) fn draw_generation(&self) -> id::GenerationId {
        id::GenerationId(self.ports.ids().draw())
    }

    pub(crate) fn record(&self, request: id::RequestId, kind: kind::EventKind) {
        self.ports.events().record(Some(request), kind);
    }

    /// Counts a first attempt, or takes a retry from the budget.
    pub(crate) fn take_attempt(
        &self,
        attempts: u32,
        config: &snapshot::ConfigSnapshot,
    ) -> Result<(), Duration> {
        let now = time::Instant::now();
        let mut budget = self
            .budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if attempts == 0 {
            budget.record_first_attempt(now);
            return Ok(());
        }
        metrics::counter!("pollenchute_flow_retries_total").increment(1);
        let rule = budget::BudgetRule {
            fraction: config.rules().retries.budget_fraction,
            vms: config.inventory().entry_vms.len(),
        };
        budget.take_retry(rule, now)
    }

    /// Records that a server process has ended; the content that ran there becomes suspect.
    pub(crate) fn record_server_death(&self, target: &port::ServerTarget, reason: &str) {
        let contents = self
            .crash_tracker
            .record_death(target.key, &target.name, self.now_ms());
        if contents.is_empty() {
            return;
        }
        metrics::counter!("pollenchute_flow_server_deaths_total").increment(1);
        log::warn!(server = target.name.as_str(), suspects = contents.len(); "backend server died");
        let events = self.ports.events();
        let dead = kind::EventKind::ServerDead {
            server: target.name.clone(),
            reason: reason.to_owned(),
        };
        events.record(None, dead);
        for content in contents {
            if let Some(found) = self.quarantine_event(content, &target.name) {
                events.record(None, found);
            }
        }
    }

    /// Returns the time line event for content that a server's death made suspect or quarantined.
    fn quarantine_event(&self, content: ContentHash, server: &str) -> Option<kind::EventKind> {
        match self.crash_tracker.standing(content, self.now_ms()) {
            ContentStanding::Clear => None,
            ContentStanding::Suspect { deaths } => Some(kind::EventKind::QuarantineSuspected {
                fingerprint: content,
                deaths,
            }),
            ContentStanding::Quarantined { .. } => Some(kind::EventKind::QuarantineAdded {
                fingerprint: content,
                reason: format!("it crashed {server}, and another server before"),
            }),
        }
    }

    /// Cancels a generation in the background, until a cancel is answered or the timeout passes.
    pub(crate) fn cancel_in_background(
        self: &sync::Arc<Self>,
        target: port::ServerTarget,
        generation: id::GenerationId,
    ) {
        // Without a runtime the process is shutting down, which closes its connections.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let shared = self.clone();
        runtime.spawn(async move { shared.cancel_until_answered(&target, generation).await });
    }

    async fn cancel_until_answered(
        &self,
        target: &port::ServerTarget,
        generation: id::GenerationId,
    ) {
        let give_up_at = time::Instant::now() + self.settings.cancel_timeout;
        let mut delay = INITIAL_CANCEL_DELAY;
        while time::Instant::now() < give_up_at {
            if self.cancel_once(target, generation).await.is_ok() {
                metrics::counter!("pollenchute_flow_cancels_total").increment(1);
                return;
            }
            time::sleep(delay).await;
            delay = (delay * 2).min(MAX_CANCEL_DELAY);
        }
        metrics::counter!("pollenchute_flow_cancels_unanswered_total").increment(1);
    }

    /// Sends one cancel request. `Ok(None)` means that the server process has ended.
    pub(crate) async fn cancel_once(
        &self,
        target: &port::ServerTarget,
        generation: id::GenerationId,
    ) -> Result<Option<port::CancelAnswer>, String> {
        let cancel = self.ports.engines().cancel(target, generation);
        match time::timeout(self.settings.call_timeout, cancel).await {
            Ok(Ok(answer)) => Ok(Some(answer)),
            Ok(Err(crate::link_error::CancelError::Refused { .. })) => Ok(None),
            Ok(Err(fault)) => Err(fault.to_string()),
            Err(_) => Err(format!("{} did not answer a cancel in time", target.name)),
        }
    }
}

/// Creates a refusal body with a retry delay.
pub(crate) fn retryable_refusal(
    code: refusal::RefusalCode,
    message: impl Into<String>,
    delay: Duration,
) -> refusal::RefusalBody {
    let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
    refusal::RefusalBody::not_run(code, message).retry_after_ms(delay_ms)
}

/// Milliseconds since `earlier`, for the time line.
pub(crate) fn millis_since(earlier: time::Instant) -> u64 {
    let passed = time::Instant::now().saturating_duration_since(earlier);
    u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
}
