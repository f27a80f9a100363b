//! Keeps one entry VM's configuration up to date from the log, its checkpoints and other entry VMs.
//!
//! The follower is a state machine without I/O: the daemon passes in events and performs the
//! actions that it returns.

use std::collections;

use tokio::time;

use crate::{
    checkpoint,
    event::{FollowAction, FollowEvent, FollowReport, ReadyState, TailRecord},
    keeper::{CheckpointKeeper, ClockReading},
    offer,
    pace::FollowSettings,
    peers::PeerTable,
    search, state, transfer,
};

/// Configuration follower of one entry VM.
#[derive(Clone, Debug)]
pub struct ConfigFollower {
    vm: String,
    settings: FollowSettings,
    state: Option<state::ConfigState>,
    /// Whether the state has ever been the newest available from the log or another VM. Until then
    /// it may be an arbitrarily old prefix, and serving from it would revert later changes.
    was_current: bool,
    search: search::LogSearch,
    keeper: CheckpointKeeper,
    peers: PeerTable,
    is_reading: bool,
    read_after: Option<time::Instant>,
    /// Whether the latest read succeeded.
    is_log_live: bool,
    is_log_lost: bool,
}

impl ConfigFollower {
    /// Creates the follower of a fresh VM, which has no state.
    #[must_use]
    pub fn new(vm: impl Into<String>, settings: FollowSettings) -> Self {
        Self {
            vm: vm.into(),
            settings,
            state: None,
            was_current: false,
            search: search::LogSearch::new(settings.lookback_records),
            keeper: CheckpointKeeper::new(settings.keeper),
            peers: PeerTable::default(),
            is_reading: false,
            read_after: None,
            is_log_live: false,
            is_log_lost: false,
        }
    }

    /// Processes an event and returns the actions to perform.
    pub fn handle(&mut self, event: FollowEvent, clock: ClockReading) -> Vec<FollowAction> {
        let mut actions = Vec::new();
        let before = self.in_force();
        match event {
            FollowEvent::Tick => {}
            FollowEvent::Page {
                first,
                next,
                records,
            } => {
                self.on_page(first, next, &records, &mut actions);
                self.continue_search(clock);
            }
            FollowEvent::Dropped { first } => self.on_dropped(first),
            FollowEvent::ReadFailed => self.on_read_failed(clock),
            FollowEvent::Offer { peer, offer } => self.on_offer(peer, offer, &mut actions),
            FollowEvent::PeerDeparted { peer } => self.peers.remove(&peer),
            FollowEvent::State { peer, transfer } => self.on_state(&peer, &transfer, &mut actions),
            FollowEvent::FetchFailed { peer } => self.peers.remove(&peer),
            FollowEvent::Appended => self.keeper.append_succeeded(clock),
            FollowEvent::AppendFailed => self.keeper.append_failed(clock),
        }
        let after = self.in_force();
        if let Some(offer) = after.filter(|_| after.map(revision) != before.map(revision)) {
            actions.push(FollowAction::InForce(offer));
        }
        self.next_actions(clock, &mut actions);
        actions
    }

    fn on_page(
        &mut self,
        first: u64,
        next: u64,
        records: &[TailRecord],
        actions: &mut Vec<FollowAction>,
    ) {
        self.is_reading = false;
        self.is_log_live = true;
        self.keeper.observe_first(first);
        self.search.observe_bounds(first, next);
        if self.state.is_none() && first == 0 && !self.search.is_searching() {
            self.state = Some(state::ConfigState::new());
        }
        for record in records {
            self.on_record(record, actions);
        }
        let Some(state) = &self.state else {
            return;
        };
        let is_lost = next < state.offset();
        if is_lost && !self.is_log_lost {
            actions.push(FollowAction::Report(FollowReport::LogLost { next }));
        }
        self.is_log_lost = is_lost;
        self.was_current |= !self.search.is_searching() && state.offset() >= next;
    }

    /// Continues a checkpoint search after a page.
    fn continue_search(&mut self, clock: ClockReading) {
        match self.search.finish_page() {
            search::PageOutcome::SamePass => {}
            search::PageOutcome::NextPass => self.keeper.restart_search(),
            search::PageOutcome::NothingFound => {
                // A pass that started between the parts of a checkpoint misses it; the next pass
                // may find it.
                self.keeper.restart_search();
                self.read_after = Some(clock.now + self.settings.search_retry_after);
            }
        }
    }

    fn on_record(&mut self, record: &TailRecord, actions: &mut Vec<FollowAction>) {
        let own = self.state.as_ref();
        let seen = self
            .keeper
            .observe(record.offset, record.at_ms, &record.body, own);
        if self.search.is_searching() {
            if self.search.advance(record.offset) {
                self.on_found(seen, actions);
            }
            return;
        }
        if let Err(error) = seen {
            actions.push(refused(&error));
        }
        let Some(state) = &mut self.state else {
            return;
        };
        let (id, verdict) = state.apply_with_id(record.offset, &record.body);
        match (id, verdict) {
            (
                _,
                state::ApplyVerdict::Checkpoint {
                    is_contradictory: true,
                },
            ) => {
                let source = format!("checkpoint at offset {}", record.offset);
                actions.push(FollowAction::Report(FollowReport::Contradiction { source }));
            }
            (_, state::ApplyVerdict::Part | state::ApplyVerdict::Duplicate) | (None, _) => {}
            (Some(id), verdict) => {
                actions.push(FollowAction::Decided {
                    id,
                    offset: record.offset,
                    verdict,
                });
            }
        }
    }

    /// Adopts the checkpoint that a record completed during a search.
    fn on_found(
        &mut self,
        seen: Result<Option<checkpoint::FoundCheckpoint>, checkpoint::CheckpointError>,
        actions: &mut Vec<FollowAction>,
    ) {
        match seen {
            // A checkpoint is adopted even if the log no longer holds the records that follow it.
            // The search then continues, and a fresh VM has no configuration in force until the
            // search ends.
            Ok(Some(found)) => {
                self.adopt(found.state, "a checkpoint", actions);
            }
            Ok(None) => {}
            Err(error) => actions.push(refused(&error)),
        }
    }

    /// Replaces the own state with `other` if that is newer; returns whether it did.
    fn adopt(
        &mut self,
        other: state::ConfigState,
        source: &str,
        actions: &mut Vec<FollowAction>,
    ) -> bool {
        let outcome = match &mut self.state {
            None => {
                self.state = Some(other);
                Ok(())
            }
            Some(state) => state.adopt(other),
        };
        match outcome {
            Ok(()) => {
                self.search.finish(self.offset());
                self.read_after = None;
            }
            Err(state::AdoptRefusal::Older) => {}
            Err(state::AdoptRefusal::Contradictory) => {
                let source = source.to_owned();
                actions.push(FollowAction::Report(FollowReport::Contradiction { source }));
            }
        }
        outcome.is_ok()
    }

    fn on_dropped(&mut self, first: u64) {
        self.is_reading = false;
        self.is_log_live = true;
        self.keeper.observe_first(first);
        self.search.start(first);
        self.keeper.restart_search();
    }

    fn on_read_failed(&mut self, clock: ClockReading) {
        self.is_reading = false;
        self.is_log_live = false;
        self.read_after = Some(clock.now + self.settings.retry_after);
    }

    fn on_offer(
        &mut self,
        peer: String,
        offer: offer::StateOffer,
        actions: &mut Vec<FollowAction>,
    ) {
        let is_contradictory = self
            .state
            .as_ref()
            .is_some_and(|state| state.is_contradicted_by(&offer));
        let is_changed = self.peers.update(&peer, offer);
        if is_contradictory && is_changed {
            actions.push(FollowAction::Report(FollowReport::Contradiction {
                source: peer,
            }));
        }
    }

    fn on_state(
        &mut self,
        peer: &str,
        transfer: &transfer::StateTransfer,
        actions: &mut Vec<FollowAction>,
    ) {
        self.peers.finish_fetch();
        match transfer.state() {
            Ok(state) => {
                if self.adopt(state, peer, actions) {
                    self.was_current = true;
                    self.keeper.set_cover(transfer.cover);
                } else {
                    // The peer sent an older state than it offered; an immediate retry would
                    // return the same one.
                    self.peers.remove(peer);
                }
            }
            Err(error) => {
                self.peers.remove(peer);
                actions.push(refused(&error));
            }
        }
    }

    fn next_actions(&mut self, clock: ClockReading, actions: &mut Vec<FollowAction>) {
        let own = self.state.as_ref();
        let is_log_truncated = self.search.is_searching();
        if let Some(peer) = self
            .peers
            .next_fetch(own, is_log_truncated, &self.settings, clock)
        {
            actions.push(FollowAction::Fetch { peer });
        }
        self.next_read(clock, actions);
        let Some(state) = self
            .state
            .as_ref()
            .filter(|_| self.was_current && self.is_log_live)
        else {
            return;
        };
        // A checkpoint of a state whose next record the log has dropped would not help a fresh VM.
        if self.search.is_searching() {
            return;
        }
        if let Some(record) = self.keeper.next_record(&self.vm, state, clock) {
            actions.push(FollowAction::Append { record });
        }
    }

    fn next_read(&mut self, clock: ClockReading, actions: &mut Vec<FollowAction>) {
        let is_early = self.read_after.is_some_and(|after| clock.now < after);
        if self.is_reading || is_early {
            return;
        }
        self.is_reading = true;
        actions.push(FollowAction::Read {
            from: self.search.position().unwrap_or_else(|| self.offset()),
            max: self.settings.page_records,
            wait: self.settings.read_wait,
        });
    }

    fn offset(&self) -> u64 {
        self.state.as_ref().map_or(0, state::ConfigState::offset)
    }

    /// The offer that this VM announces to others; `None` while its state may be an old prefix of
    /// the log.
    #[must_use]
    pub fn in_force(&self) -> Option<offer::StateOffer> {
        let state = self.state.as_ref().filter(|_| self.was_current)?;
        (state.revision() > 0).then(|| state.offer())
    }

    /// Whether this VM may serve requests.
    #[must_use]
    pub fn ready(&self) -> ReadyState {
        match &self.state {
            None => ReadyState::NoState,
            Some(_) if !self.was_current => ReadyState::CatchingUp,
            Some(state) if state.revision() == 0 => ReadyState::NothingPublished,
            Some(_) => ReadyState::Ready,
        }
    }

    /// The current state, even if this VM may not serve from it yet.
    #[must_use]
    pub const fn state(&self) -> Option<&state::ConfigState> {
        self.state.as_ref()
    }

    /// The state in force, packed for transfer to another VM.
    #[must_use]
    pub fn transfer(&self) -> Option<transfer::StateTransfer> {
        let state = self.state.as_ref().filter(|_| self.in_force().is_some())?;
        Some(transfer::StateTransfer::new(state, self.keeper.cover()))
    }

    /// The latest known state in force on each VM, including this one.
    #[must_use]
    pub fn in_force_by_vm(&self) -> collections::BTreeMap<String, offer::StateOffer> {
        let mut known = self.peers.offers().clone();
        known.extend(self.in_force().map(|offer| (self.vm.clone(), offer)));
        known
    }
}

const fn revision(offer: offer::StateOffer) -> u64 {
    offer.revision
}

fn refused(error: &checkpoint::CheckpointError) -> FollowAction {
    FollowAction::Report(FollowReport::Refused {
        reason: error.to_string(),
    })
}
