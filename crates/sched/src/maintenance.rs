//! Derived state of the core: candidate subsets, shares, load reports and refusals by predicted
//! wait.

use base::{class, id};
use rand::RngExt as _;
use tokio::time;

use crate::{
    core::DispatchCore,
    explain::RefusalReason,
    fleet, request, route, share,
    view::{self, LoadSum},
};

/// Interval at which shares, residual curves and headroom are recomputed.
const MAINTENANCE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Interval at which the accounts of idle organisations are dropped.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Bounds of the retry delay returned with a refusal, in seconds.
const RETRY_AFTER_SECONDS: std::ops::RangeInclusive<f64> = 0.05..=60.0;

impl DispatchCore {
    /// Handles a load report of a server. Reports that are not newer than the latest one are
    /// ignored.
    pub fn server_reported(&mut self, server: id::ServerKey, report: view::LoadReport) {
        let Some(view) = self.servers.get(server) else {
            return;
        };
        if view
            .report
            .is_some_and(|latest| latest.taken_at >= report.taken_at)
        {
            return;
        }
        let (own_at_report, started) = self.own_loads(view, report.taken_at);
        let model = view.spec.models.first().copied().unwrap_or_default();
        let residual = match self.models.get(model) {
            Some(fleet) => fleet.residual,
            None => self.lengths.residual(model),
        };
        let draw = self.rng.random();
        if let Some(view) = self.servers.get_mut(server) {
            view.take_report(report, own_at_report, started, &residual);
            view.draw = draw;
        }
        if !self.reported.contains(&server) {
            self.reported.push(server);
        }
    }

    /// Returns the load of this VM's generations on a server as of `taken_at`, and the load of
    /// those started later.
    fn own_loads(&self, server: &view::ServerView, taken_at: time::Instant) -> (LoadSum, LoadSum) {
        let (mut own_at_report, mut since) = (LoadSum::default(), LoadSum::default());
        for ticket in &server.tickets {
            let Some(state) = self.tickets.get(*ticket) else {
                continue;
            };
            let Some(run) = state.run else { continue };
            if run.started_at > taken_at {
                since.add_generation(&run.load);
                continue;
            }
            own_at_report.add_generation(&run.load);
            // Subtract the tokens that arrived after the report was taken.
            let after = run
                .last_token_at
                .saturating_duration_since(taken_at)
                .as_secs_f32();
            let tokens = (after / server.step.max(1e-3)).min(run.produced as f32);
            own_at_report.memory.mean[0] -= tokens;
        }
        (own_at_report, since)
    }

    /// Recomputes the candidates of every model. Called only when servers or settings change.
    pub(crate) fn rank_candidates(&mut self) {
        let (own, settings) = (self.settings.location, &self.settings);
        for (model, fleet) in &mut self.models {
            let engines = |local: bool| {
                let serves = self.servers.iter().filter(move |(_, view)| {
                    view.spec.models.contains(&model)
                        && fleet::same_region(own, view.spec.location) == local
                });
                serves.map(|(key, _)| key)
            };
            fleet.local = fleet::candidates(engines(true), settings.identity, settings.candidates);
            fleet.remote =
                fleet::candidates(engines(false), settings.identity, settings.candidates);
        }
        self.maintained_at = None;
    }

    /// Refreshes derived state that need not be exact for each decision.
    pub(crate) fn maintain(&mut self, now: time::Instant) {
        let age =
            |then: Option<time::Instant>| then.map(|then| now.saturating_duration_since(then));
        let elapsed = age(self.maintained_at);
        if elapsed.is_none_or(|age| age >= MAINTENANCE_INTERVAL) {
            self.maintained_at = Some(now);
            self.refresh_shares(elapsed.unwrap_or_default(), now);
        }
        if age(self.swept_at).is_none_or(|age| age >= SWEEP_INTERVAL) {
            self.swept_at = Some(now);
            self.organisations.sweep(now);
        }
    }

    fn refresh_shares(&mut self, age: time::Duration, now: time::Instant) {
        let weight = self.organisations.busy_weight() as f32;
        let rule = share::ShareRule {
            floor: self.settings.deferrable_floor as f32,
            common_fraction: self.settings.common_fraction,
            demand_factor: self.settings.demand_factor,
        };
        for (model, fleet) in &mut self.models {
            fleet.residual = self.lengths.residual(model);
            fleet.advance_drains(now);
            fleet.headroom.advance(now);
            fleet.ring.clear();
            let (mut running, mut deferrable) = (0.0, 0.0);
            for (server, view) in &self.servers {
                let local = fleet::same_region(self.settings.location, view.spec.location);
                if local && view.spec.models.contains(&model) {
                    running += view.own.memory.mean[0];
                    deferrable += view.own_deferrable.memory.mean[0];
                    if route::healthy(view, now) {
                        let (identity, capacity) = (view.spec.identity, view.capacity());
                        fleet.ring.push(share::RingEngine {
                            server,
                            identity,
                            capacity,
                        });
                    }
                }
            }
            fleet.ring.sort_unstable_by_key(|engine| engine.identity);
            fleet.measure_demand(running - deferrable, deferrable, age);
            let own = fleet.digest(self.settings.identity, weight);
            fleet.shares.refresh(&own, &fleet.ring, &rule, now);
            fleet.follow_shares(self.settings.candidates);
        }
    }

    /// Returns the reason to refuse `request` instead of queueing it, if there is one, and the
    /// retry delay.
    pub(crate) fn early_refusal(
        &mut self,
        request: &request::GenerationRequest,
        now: time::Instant,
    ) -> Option<(RefusalReason, Option<time::Duration>)> {
        let largest = self.largest_engine(request.model);
        if largest.is_some_and(|tokens| request.prompt_tokens as f32 >= tokens) {
            return Some((RefusalReason::TooLarge, None));
        }
        if request.class == class::TrafficClass::Deferrable {
            return None;
        }
        if largest.is_none() {
            return Some((RefusalReason::NoServer, Some(time::Duration::from_secs(1))));
        }
        let wait = self.predicted_wait(request);
        let queued = self
            .models
            .get(request.model)
            .map_or(0, |fleet| fleet.queues[request.class.index()].len());
        if queued >= self.settings.queue_limit[request.class.index()] {
            return Some((RefusalReason::QueueFull, Some(Self::retry_after(wait, 0.0))));
        }
        let left = request
            .deadline?
            .saturating_duration_since(now)
            .as_secs_f64();
        let wait = wait?;
        let late = wait > left * self.settings.early_refusal_factor;
        late.then(|| {
            (
                RefusalReason::Deadline,
                Some(Self::retry_after(Some(wait), left)),
            )
        })
    }

    /// Returns the predicted wait of one more request like `request` in seconds, from its position
    /// in the fair order and the drain rate of the queue.
    pub(crate) fn predicted_wait(&self, request: &request::GenerationRequest) -> Option<f64> {
        let fleet = self.models.get(request.model)?;
        let class = request.class.index();
        let weight = self.organisations.weight(request.organisation);
        let ahead = fleet.queues[class].ahead(request.organisation, weight);
        if ahead <= 0.0 {
            return None;
        }
        fleet.drains[class].wait(ahead)
    }

    /// Returns the retry delay of a refused request: the time until the work ahead of it can be
    /// served in half of the time `left` to its deadline.
    pub(crate) fn retry_after(wait: Option<f64>, left: f64) -> time::Duration {
        let seconds = wait.unwrap_or(1.0) - left / 2.0;
        let seconds = seconds.clamp(*RETRY_AFTER_SECONDS.start(), *RETRY_AFTER_SECONDS.end());
        time::Duration::from_secs_f64(seconds)
    }

    /// Returns the memory of the largest engine that serves `model`, in tokens.
    fn largest_engine(&self, model: id::ModelKey) -> Option<f32> {
        let fleet = self.models.get(model)?;
        let engines = fleet.local.iter().chain(&fleet.remote);
        let sizes = engines
            .filter_map(|key| self.servers.get(*key))
            .map(view::ServerView::capacity);
        sizes.max_by(f32::total_cmp)
    }
}
