//! Arrivals of events: samples of the pace of engines, and the watch over stalls of this VM.

use pace::{arrival, stretch};
use tokio::time;

use crate::{fleet, plane, port, runs, serve_stream, state};

/// Interval of the timer that detects stalls while streams run, well below the stall that counts.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// The same while no stream runs; estimates are then merged from the reports of other VMs alone.
const IDLE_WATCH_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time without a known prompt after which none is being prefilled: a prefill takes about 400 ms, and
/// load reports of other VMs are up to 150 ms old.
const PROMPT_TIME: time::Duration = time::Duration::from_millis(500);

impl<P: port::ServerPort + 'static> serve_stream::StreamDriver<P> {
    /// Records the arrival of events that are about to be sent to the caller.
    pub(crate) fn record_arrival(&mut self, live: &serve_stream::LiveRun<P>) {
        let now = time::Instant::now();
        let ends_prompt = self.pace.first_ms(&self.request).is_none();
        self.record_pause(live, now);
        if !live.has_events || self.request.size.is_none() {
            return;
        }
        let server = live.placed.server;
        let arrivals = &mut self.pace.arrivals;
        let body = (server, live.first_event);
        let interval = arrivals.arrive(body, self.splitter.events(), now.into_std());
        let mut state = self.plane.state();
        if ends_prompt {
            state.fleet.paces.note_prompt(server, now);
        }
        if let Some(interval) = interval {
            let stalled = state
                .fleet
                .paces
                .stalls
                .is_within(interval.since, now.into_std());
            if stalled {
                arrivals.interrupt();
            } else if !live.may_be_stopped {
                state.fleet.record_interval(server, &interval, now);
            }
        }
        // While its caller reads slowly, the stream is not read as its events arrive.
        if self.parts.capacity() == 0 {
            arrivals.interrupt();
        }
    }
}

impl fleet::ServerFleet {
    /// Records an interval between events on a server.
    pub fn record_interval(
        &mut self,
        key: fleet::ServerKey,
        interval: &arrival::EventInterval,
        now: time::Instant,
    ) {
        let waits = |run: &runs::RunRecord| run.server == key && run.backlog() > 0;
        if self.runs().any(|(_, run)| waits(run)) {
            self.paces.note_prompt(key, now);
        }
        let prompt_at = self
            .paces
            .prompt_at(key)
            .max(self.peers.backlogged_at(key, now));
        let began = time::Instant::from_std(interval.since);
        let known_for = PROMPT_TIME.max(now.saturating_duration_since(began));
        let prompt = match prompt_at.map(|at| now.saturating_duration_since(at)) {
            Some(time::Duration::ZERO) => stretch::PromptState::Waiting,
            Some(age) if age <= known_for => stretch::PromptState::Recent,
            _ => stretch::PromptState::Absent,
        };
        let record = self.server(key);
        if let Some(service) = record.map(|record| state::service_hash(&record.service)) {
            self.paces
                .record_interval(key, service, interval, prompt, now);
        }
    }
}

impl<P> plane::ExchangePlane<P> {
    /// Watches for stalls of this VM and keeps the estimates up to date; never returns.
    pub(crate) async fn watch_paces(&self) {
        loop {
            let now = time::Instant::now();
            let interval = {
                let mut state = self.state();
                let has_streams = state.fleet.runs().any(|(_, run)| run.size.is_some());
                let interval = if has_streams {
                    WATCH_INTERVAL
                } else {
                    IDLE_WATCH_INTERVAL
                };
                state.fleet.paces.stalls.tick(interval, now.into_std());
                state.fleet.refresh_paces(now);
                interval
            };
            time::sleep(interval).await;
        }
    }
}
