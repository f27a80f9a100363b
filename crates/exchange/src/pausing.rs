//! Pauses of running streams: which streams are steady, and what their ends tell.

use tokio::time;

use crate::{fleet, loads, message, pauses, port, serve_stream, state};

/// The longest pause of a stream, for its log line.
pub(crate) struct PauseSummary {
    /// Number of the event before which it was.
    pub(crate) event: Option<u64>,
    /// Server that sent this event.
    pub(crate) server: Option<String>,
    /// Class of that server.
    pub(crate) class: &'static str,
}

impl<P: port::ServerPort + 'static> serve_stream::StreamDriver<P> {
    /// Records that events arrived, and whether the stream is steady.
    pub(crate) fn record_pause(&mut self, live: &serve_stream::LiveRun<P>, now: time::Instant) {
        let events = self.splitter.events();
        self.pace.record_event(events, live.placed.server, now);
        let mut state = self.plane.state();
        let rule = state.service(&self.request.service);
        let engine = rule.and_then(|rule| rule.engine);
        let Some(run) = state.fleet.run_mut(live.placed.run) else {
            return;
        };
        let max_pause = self.request.max_pause;
        let in_time = max_pause.is_some_and(|max| self.pace.max_pause() <= max);
        let size = run.size.as_ref().filter(|_| in_time).zip(engine);
        run.steady =
            size.is_some_and(|(size, engine)| pauses::is_long(size, run.produced, &engine));
    }

    /// Counts the longest pause of a whole stream, and returns it for the log.
    pub(crate) fn record_pauses(&self) -> PauseSummary {
        self.pace.record_metrics(&self.request);
        let worst = self.pace.worst();
        let server = worst.map(|worst| worst.server);
        let state = self.plane.state();
        let pace = server.and_then(|server| state.fleet.paces.pace(server));
        let class = pauses::class_name(pace);
        let long = self.splitter.events() as f64 >= pauses::LONG_EVENTS;
        if let Some(max_pause) = self.request.max_pause.filter(|_| long) {
            let held = self.pace.max_pause() <= max_pause;
            let outcome = if held { "held" } else { "broken" };
            metrics::counter!(
                "pollenchute_exchange_pauses_total",
                "outcome" => outcome, "class" => class
            )
            .increment(1);
        }
        let server = server.and_then(|server| state.fleet.server(server));
        PauseSummary {
            event: worst.map(|worst| worst.event),
            server: server.map(|server| server.id.clone()),
            class,
        }
    }

    /// What was expected of the server when the run was placed there.
    pub(crate) fn expected(&self, live: &serve_stream::LiveRun<P>) -> pauses::ExpectedPauses {
        let state = self.plane.state();
        let run = state.fleet.run(live.placed.run);
        run.map_or_else(Default::default, |run| run.expected)
    }
}

impl state::PlaneState {
    /// Services of which other VMs are told the steady streams on each engine: those with an engine
    /// at risk. Placement on other VMs needs the number for no other service.
    pub(crate) fn steady_services(
        &self,
        own: &slotmap::SparseSecondaryMap<fleet::ServerKey, loads::PeerLoad>,
        now: time::Instant,
    ) -> Vec<&str> {
        let Some(catalog) = &self.catalog else {
            return Vec::new();
        };
        let mut services = Vec::new();
        let steady = own.iter().filter(|(_, load)| load.steady > 0);
        for (key, _) in steady {
            let Some(server) = self.fleet.server(key) else {
                continue;
            };
            let service = server.service.as_str();
            if !services.contains(&service) {
                services.push(service);
            }
        }
        services.retain(|service| {
            let max_pause = catalog.min_max_pause(service);
            max_pause.is_some_and(|max| pauses::has_risk(&self.fleet, service, max, now))
        });
        services
    }
}

/// The steady streams that another VM reports on a server: never more than its attempts there.
pub(crate) fn reported_steady(item: &message::LoadItem) -> u32 {
    if item.steady > item.runs {
        metrics::counter!("pollenchute_exchange_steady_reports_clamped_total").increment(1);
    }
    item.steady.min(item.runs)
}
