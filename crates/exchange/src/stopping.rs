//! Graceful stop of a VM, without truncated responses.

use tokio::time;

use crate::{catalog, message, plane, request};

/// Min duration of a stop, in which callers learn of it: a lookup's result is cached for 1.5 s, by
/// some callers for three times as long.
const MIN_STOP_TIME: time::Duration = time::Duration::from_millis(4_700);
/// Margin before the process is killed: requests that still run are cut off then.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(300);
/// Interval between checks whether all requests have ended.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time before the end of a stop at which each request has its answer, or its head: the answers are
/// written in it.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(100);

/// How long after the start of a stop requests are accepted and sent to servers that may last longer
/// than the time that is left: streams, and calls whose time limit is later. Some would be given up
/// before the process ends.
const LONG_ACCEPT_TIME: time::Duration = time::Duration::from_millis(2_500);
/// How long after the start of a stop calls are accepted whose time limit is earlier.
const SHORT_ACCEPT_TIME: time::Duration = time::Duration::from_millis(6_000);

/// Times of a stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    began: time::Instant,
    /// When the process stops waiting for running requests; shortly before it is killed.
    end: time::Instant,
}

impl StopTimes {
    /// A stop that begins at `began`, of a process that is killed after `grace`.
    #[must_use]
    pub fn new(began: time::Instant, grace: time::Duration) -> Self {
        let end = began + grace.saturating_sub(KILL_MARGIN);
        Self { began, end }
    }

    /// When each request without an answer gets its final one.
    #[must_use]
    pub fn answers_due(&self) -> time::Instant {
        self.began.max(self.end - ANSWER_MARGIN)
    }

    /// Until when a request is accepted.
    #[must_use]
    pub fn accepts_until(&self, request: &request::ExchangeRequest) -> time::Instant {
        let until = self.starts_until(request);
        until.min(self.began + SHORT_ACCEPT_TIME)
    }

    /// Until when a request may be sent to servers, and wait for them.
    #[must_use]
    pub fn starts_until(&self, request: &request::ExchangeRequest) -> time::Instant {
        let due = self.answers_due();
        let is_stream = request.kind == catalog::ExchangeKind::Stream;
        if is_stream || request.limit > due {
            due.min(self.began + LONG_ACCEPT_TIME)
        } else {
            due
        }
    }
}

impl<P> plane::ExchangePlane<P> {
    /// Begins to stop: this VM is no longer listed for callers, and finishes its running requests
    /// within `grace`.
    pub fn stop(&self, grace: time::Duration) {
        {
            let mut state = self.state();
            state.stage = message::VmStage::Stopping;
            state.stop = Some(StopTimes::new(time::Instant::now(), grace));
        }
        self.announce.notify_one();
        self.stop_begins.notify_waiters();
    }

    /// Until when a request may be sent to a server, if this VM stops.
    pub(crate) fn starts_until(&self, request: &request::ExchangeRequest) -> Option<time::Instant> {
        let stop = self.state().stop;
        stop.map(|stop| stop.starts_until(request))
    }

    /// Waits until a request without an answer gets its final one: at `limit`, or before this VM has
    /// stopped.
    pub(crate) async fn answer_due(&self, limit: time::Instant) {
        loop {
            let begins = self.stop_begins.notified();
            let stop = self.state().stop;
            let due = stop.map_or(limit, |stop| stop.answers_due().min(limit));
            if time::timeout_at(due, begins).await.is_err() {
                return;
            }
        }
    }
}

/// Announces the stop to callers, then waits until the running requests end, within `grace`.
pub async fn drain<P>(plane: &plane::ExchangePlane<P>, grace: time::Duration) {
    let started = time::Instant::now();
    log::info!(open = plane.open_requests(); "stopping");
    plane.stop(grace);
    let max = grace.saturating_sub(KILL_MARGIN);
    loop {
        let elapsed = started.elapsed();
        let idle = plane.open_requests() == 0 && elapsed >= MIN_STOP_TIME.min(max);
        if idle || elapsed >= max {
            return;
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}
