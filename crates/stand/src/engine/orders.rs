//! Orders that set an engine's model, version, adapters and role.

use std::time;

use super::{EngineCore, call, error};

/// Load in progress.
#[derive(Clone, Debug)]
pub struct LoadingState {
    /// Requested state.
    pub want: call::WantedState,
    /// Time at which loading completes.
    pub ready_at: time::Duration,
}

impl EngineCore {
    /// Applies an order whose connection the engine first saw at `opened_at`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the order had no effect.
    pub fn order(
        &mut self,
        now: time::Duration,
        opened_at: time::Duration,
        call: &call::OrderCall,
    ) -> Result<call::EngineState, error::EngineError> {
        self.advance(now);
        if self.down {
            return error::DownSnafu.fail();
        }
        let age = now.saturating_sub(opened_at);
        let limit = time::Duration::from_millis(call.within_ms);
        if age > limit {
            let late_ms = (age - limit).as_millis() as u64;
            return error::LateOrderSnafu { late_ms }.fail();
        }
        let newest = self.fencing.unwrap_or(0);
        let got = call.fencing.unwrap_or(0);
        if self.profile.checks_fencing && got < newest {
            return error::OldFencingSnafu { got, newest }.fail();
        }
        self.fencing = self.fencing.max(call.fencing);
        self.observe(now);
        self.begin_loading(now, &call.want);
        Ok(self.state())
    }

    /// Returns the loaded and the requested state.
    #[must_use]
    pub fn state(&self) -> call::EngineState {
        call::EngineState {
            incarnation: self.incarnation,
            models: self.models.clone(),
            role: self.role.clone(),
            loading: self.loading.as_ref().map(|loading| loading.want.clone()),
            fencing: self.fencing,
            leaving: self.leaving,
        }
    }

    fn begin_loading(&mut self, now: time::Duration, want: &call::WantedState) {
        if self
            .loading
            .as_ref()
            .is_some_and(|loading| loading.want == *want)
        {
            return;
        }
        let is_wanted = |loaded: &&call::LoadedModel| {
            loaded.model == want.model && loaded.version == want.version
        };
        let mut cost_ms = 0;
        let loaded = self.models.iter().find(is_wanted);
        if loaded.is_none() {
            cost_ms += self.profile.model_load_ms;
        }
        let present = loaded.map_or(&[][..], |loaded| &loaded.adapters);
        let missing = want.adapters.iter().filter(|name| !present.contains(name));
        cost_ms += self.profile.adapter_load_ms * missing.count() as u64;
        self.loading = Some(LoadingState {
            want: want.clone(),
            ready_at: now + time::Duration::from_millis(cost_ms),
        });
        self.finish_loading(now);
    }

    /// Replaces the loaded models. Generations of unloaded models or adapters end with an error.
    pub(super) fn finish_loading(&mut self, now: time::Duration) {
        let Some(loading) = self.loading.take_if(|loading| loading.ready_at <= now) else {
            return;
        };
        self.observe(now);
        let want = loading.want;
        let same_version = self
            .models
            .iter()
            .any(|loaded| loaded.model == want.model && loaded.version == want.version);
        let live = self.waiting.values().chain(self.running.values());
        let lost: Vec<_> = live
            .filter(|key| {
                let sequence = &self.sequences[**key];
                let adapter = sequence.adapter.as_ref();
                let keeps_adapter = adapter.is_none_or(|name| want.adapters.contains(name));
                !(same_version && sequence.model == want.model && keeps_adapter)
            })
            .copied()
            .collect();
        for key in lost {
            self.end(now, key, call::FinishReason::Error);
        }
        if !same_version {
            self.pool.clear_idle();
            self.feed.push(now, self.pool.drain_changes());
        }
        self.role = want.role;
        self.models = vec![call::LoadedModel {
            model: want.model,
            version: want.version,
            adapters: want.adapters,
        }];
    }
}
