//! In-process engine that runs on the runtime's clock.

use std::{collections, sync};

use base::id;
use tokio::{sync as signal, time};

use super::{EngineCore, call, error, fault, feeds, profile, stream};
use crate::{draw, gate, signals};

/// State behind the lock.
#[derive(Debug)]
struct EngineShared {
    core: EngineCore,
    /// Progress sender of each generation that the core holds.
    progress:
        collections::HashMap<id::GenerationId, signal::watch::Sender<call::GenerationProgress>>,
    faults: stream::StreamFaults,
    lose_answers: u32,
    incarnation_seed: u64,
    /// Number of incarnations so far.
    incarnations: u64,
    starts_while_leaving: u64,
}

/// Handle of a running engine, shared between clones. Its task ends after the last clone is
/// dropped.
#[derive(Clone, Debug)]
pub struct EngineHandle {
    shared: sync::Arc<sync::Mutex<EngineShared>>,
    wake: sync::Arc<signal::Notify>,
    gate: gate::LinkGate,
    signals: signals::StatedSignals,
    origin: time::Instant,
}

impl EngineHandle {
    /// Starts an engine on the current runtime. Equal profiles yield equal incarnations.
    #[must_use]
    pub fn spawn(profile: profile::EngineProfile) -> Self {
        Self::spawn_salted(profile, 0)
    }

    /// Like `spawn`, but mixes `salt` into the seed of the incarnations only, so that two processes
    /// don't share them.
    #[must_use]
    pub fn spawn_salted(profile: profile::EngineProfile, salt: u64) -> Self {
        let incarnation_seed = draw::bits(profile.seed, salt);
        let incarnation = nth_incarnation(incarnation_seed, 0);
        let core = EngineCore::new(profile, incarnation, time::Duration::ZERO);
        let shared = EngineShared {
            core,
            progress: collections::HashMap::new(),
            faults: stream::StreamFaults::default(),
            lose_answers: 0,
            incarnation_seed,
            incarnations: 1,
            starts_while_leaving: 0,
        };
        let handle = Self {
            shared: sync::Arc::new(sync::Mutex::new(shared)),
            wake: sync::Arc::new(signal::Notify::new()),
            gate: gate::LinkGate::default(),
            signals: signals::StatedSignals::default(),
            origin: time::Instant::now(),
        };
        let shared = sync::Arc::downgrade(&handle.shared);
        let (wake, gate) = (handle.wake.clone(), handle.gate.clone());
        tokio::spawn(drive(shared, wake, gate, handle.origin));
        handle
    }

    /// Starts a generation and streams it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the generation was not started, or `AnswerLost`.
    pub async fn start(
        &self,
        call: call::StartCall,
    ) -> Result<stream::EngineStream, error::EngineError> {
        let silence_epoch = self.connect().await?;
        let mut shared = self.lock();
        let now = self.now();
        shared.core.start(now, &call)?;
        if shared.core.state().leaving {
            shared.starts_while_leaving += 1;
        }
        let progress = signal::watch::Sender::new(call::GenerationProgress::default());
        let watcher = progress.subscribe();
        shared.progress.insert(call.id, progress);
        shared.publish(now, &self.gate);
        let lost = shared.loses_answer();
        drop(shared);
        self.wake.notify_one();
        if lost {
            return error::AnswerLostSnafu.fail();
        }
        Ok(self.open_stream(call.id, 0, watcher, silence_epoch))
    }

    /// Resumes the stream of a generation at token `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine doesn't hold the generation.
    pub async fn resume(
        &self,
        generation: id::GenerationId,
        from: u32,
    ) -> Result<stream::EngineStream, error::EngineError> {
        let silence_epoch = self.connect().await?;
        let mut shared = self.lock();
        shared.publish(self.now(), &self.gate);
        shared.core.progress(generation)?;
        let progress = shared.progress.get(&generation);
        let watcher = progress
            .map(signal::watch::Sender::subscribe)
            .ok_or(error::EngineError::NotHeld { id: generation })?;
        drop(shared);
        Ok(self.open_stream(generation, from, watcher, silence_epoch))
    }

    /// Cancels a generation, or records an unknown id so that its start is refused.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is down.
    pub async fn cancel(
        &self,
        generation: id::GenerationId,
    ) -> Result<call::CancelAnswer, error::EngineError> {
        let silence_epoch = self.connect().await?;
        let answer = self.change(|core, now| core.cancel(now, generation));
        self.deliver(silence_epoch, answer).await
    }

    /// Returns the newest published load report.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is down.
    pub async fn load(&self) -> Result<call::LoadReport, error::EngineError> {
        self.connect().await?;
        self.change(EngineCore::load)
    }

    /// Returns cache events with numbers above `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is down.
    pub async fn cache_events(&self, after: u64) -> Result<feeds::CachePage, error::EngineError> {
        self.connect().await?;
        self.change(|core, now| core.cache_events(now, after))
    }

    /// Applies an order whose connection was first seen at `opened_at`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the order had no effect, or `AnswerLost`.
    pub async fn order(
        &self,
        call: call::OrderCall,
        opened_at: time::Instant,
    ) -> Result<call::EngineState, error::EngineError> {
        let silence_epoch = self.connect().await?;
        let opened_at = opened_at.saturating_duration_since(self.origin);
        let answer = self.change(|core, now| core.order(now, opened_at, &call));
        self.deliver(silence_epoch, answer).await
    }

    /// Returns the loaded and the requested state.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is down.
    pub async fn state(&self) -> Result<call::EngineState, error::EngineError> {
        self.connect().await?;
        Ok(self.change(|core, _| core.state()))
    }

    /// Returns the current load without lag, for checkers.
    #[must_use]
    pub fn report(&self) -> call::LoadReport {
        self.change(|core, _| core.report())
    }

    /// Returns the preemptions since the start by priority of the preempted generation, for
    /// checkers. Unlike the counter of the load report, they survive a crash.
    #[must_use]
    pub fn preemptions_by_priority(&self) -> [u64; 3] {
        self.lock().core.preemptions_by_priority()
    }

    /// Returns the number of generations started after the engine announced that it is leaving.
    #[must_use]
    pub fn starts_while_leaving(&self) -> u64 {
        self.lock().starts_while_leaving
    }

    /// Returns whether the engine is up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.gate.state().up
    }

    /// Returns the gate for connections to this engine.
    #[must_use]
    pub const fn gate(&self) -> &gate::LinkGate {
        &self.gate
    }

    /// Injects or clears a fault.
    pub fn apply(&self, fault: &fault::EngineFault) {
        match *fault {
            fault::EngineFault::Crash { down_ms } => {
                self.crash();
                if let Some(down_ms) = down_ms {
                    self.later(down_ms, Self::restart);
                }
            }
            fault::EngineFault::Restart => self.restart(),
            fault::EngineFault::Stall { on } => self.change(|core, now| core.set_stalled(now, on)),
            fault::EngineFault::Silence => self.gate.silence(),
            fault::EngineFault::Hang { on } => self.gate.set_hanging(on),
            fault::EngineFault::Slow { factor } => {
                self.change(|core, now| core.set_slow_factor(now, factor))
            }
            fault::EngineFault::Reclaim { notice_ms } => {
                self.change(|core, now| core.set_leaving(now, true));
                self.signals.set_leaving(true);
                self.later(notice_ms, Self::crash);
            }
            fault::EngineFault::Truncate { after_tokens } => {
                self.lock().faults.truncate_after = after_tokens;
            }
            fault::EngineFault::LoseAnswers { count } => self.lock().lose_answers = count,
            fault::EngineFault::Nonsense { on } => self.lock().faults.nonsense = on,
            fault::EngineFault::Limit { per_second } => self.signals.set_limit(per_second),
            fault::EngineFault::TurnAway { count, rest_ms } => {
                let rest = time::Duration::from_millis(rest_ms);
                self.signals.turn_away(count, rest);
            }
        }
    }

    /// Returns what the engine states in the headers of its answers.
    #[must_use]
    pub const fn signals(&self) -> &signals::StatedSignals {
        &self.signals
    }

    /// Crashes the engine: streams are cut, state is lost, new connections are refused.
    pub fn crash(&self) {
        self.change(EngineCore::crash);
    }

    /// Restarts the engine as a new incarnation.
    pub fn restart(&self) {
        let mut shared = self.lock();
        if !shared.core.is_down() {
            return;
        }
        let incarnation = nth_incarnation(shared.incarnation_seed, shared.incarnations);
        shared.incarnations += 1;
        shared.core.restart(self.now(), incarnation);
        drop(shared);
        self.signals.set_leaving(false);
        self.gate.set_up(true);
        self.wake.notify_one();
    }

    fn later(&self, delay_ms: u64, action: fn(&Self)) {
        let handle = self.clone();
        tokio::spawn(async move {
            time::sleep(time::Duration::from_millis(delay_ms)).await;
            action(&handle);
        });
    }

    /// Opens a connection and returns its silence epoch.
    async fn connect(&self) -> Result<u64, error::EngineError> {
        let silence_epoch = self.gate.state().silence_epoch;
        self.gate.pass(silence_epoch).await;
        if self.gate.state().up {
            Ok(silence_epoch)
        } else {
            error::DownSnafu.fail()
        }
    }

    /// Delivers the answer of a completed call to its caller, or drops it.
    async fn deliver<T>(
        &self,
        silence_epoch: u64,
        answer: Result<T, error::EngineError>,
    ) -> Result<T, error::EngineError> {
        self.gate.pass(silence_epoch).await;
        if answer.is_ok() && self.lock().loses_answer() {
            return error::AnswerLostSnafu.fail();
        }
        answer
    }

    fn change<T>(&self, action: impl FnOnce(&mut EngineCore, time::Duration) -> T) -> T {
        let mut shared = self.lock();
        let now = self.now();
        let answer = action(&mut shared.core, now);
        shared.publish(now, &self.gate);
        drop(shared);
        self.wake.notify_one();
        answer
    }

    fn open_stream(
        &self,
        generation: id::GenerationId,
        from: u32,
        watcher: signal::watch::Receiver<call::GenerationProgress>,
        silence_epoch: u64,
    ) -> stream::EngineStream {
        stream::EngineStream {
            generation,
            next_seq: from,
            carried: 0,
            watcher,
            gate: self.gate.clone(),
            silence_epoch,
            faults: self.lock().faults,
            ended: false,
        }
    }

    fn now(&self) -> time::Duration {
        self.origin.elapsed()
    }

    fn lock(&self) -> sync::MutexGuard<'_, EngineShared> {
        self.shared
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl EngineShared {
    fn loses_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }

    /// Advances the core to `now` and notifies the streams.
    fn publish(&mut self, now: time::Duration, gate: &gate::LinkGate) {
        for event in self.core.step(now) {
            match event {
                call::EngineEvent::Token { id, .. } | call::EngineEvent::Finished { id, .. } => {
                    if let (Some(sender), Ok(progress)) =
                        (self.progress.get(&id), self.core.progress(id))
                    {
                        sender.send_replace(progress);
                    }
                }
                call::EngineEvent::Forgotten { id } => {
                    self.progress.remove(&id);
                }
                call::EngineEvent::Crashed { .. } => {
                    self.progress.clear();
                    gate.set_up(false);
                }
                call::EngineEvent::Admitted { .. } | call::EngineEvent::Preempted { .. } => {}
            }
        }
    }
}

fn nth_incarnation(seed: u64, number: u64) -> id::Incarnation {
    let high = u128::from(draw::bits(seed, number));
    id::Incarnation((high << 64) | u128::from(draw::bits(!seed, number)))
}

/// Steps the core whenever it has work, as long as a handle exists.
async fn drive(
    shared: sync::Weak<sync::Mutex<EngineShared>>,
    wake: sync::Arc<signal::Notify>,
    gate: gate::LinkGate,
    origin: time::Instant,
) {
    /// Bounds the time for which the task outlives the last handle.
    const MAX_SLEEP: time::Duration = time::Duration::from_secs(3_600);
    loop {
        let next = {
            let Some(shared) = shared.upgrade() else {
                return;
            };
            let mut shared = shared.lock().unwrap_or_else(sync::PoisonError::into_inner);
            shared.publish(origin.elapsed(), &gate);
            shared.core.next_wake()
        };
        let deadline = next.map_or_else(|| time::Instant::now() + MAX_SLEEP, |at| origin + at);
        tokio::select! {
            () = time::sleep_until(deadline) => {}
            () = wake.notified() => {}
        }
    }
}
