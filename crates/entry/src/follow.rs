//! Drives the follower of the configuration: reads the log, fetches states from other entry VMs,
//! appends checkpoints, and puts the resulting configuration in force.

use std::{sync, time::Duration};

use conf::{event, follow, keeper, offer, transfer};
use gossip::handle;
use ledger::{client, client::LogClient};
use tokio::{
    sync::{mpsc, watch},
    time,
};
use trace::kind;
use wire::proto::peer;

use crate::{adapt::peers, clock, configure, recorder};

/// Interval between two ticks of the follower.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum events that wait for the follower; each results from one action.
const MAX_PENDING_EVENTS: usize = 64;
/// Timeout for fetching one part of a state.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of one part of a transferred state, in bytes.
pub const PART_BYTES: usize = 1 << 20;
/// Maximum parts of one fetch; a fetch restarts if the state changes meanwhile.
const MAX_PARTS: usize = 128;

/// Performs the follower's actions and feeds it the resulting events.
#[derive(Clone, Debug)]
pub struct FollowController<C> {
    /// The platform's log.
    pub log: C,
    /// Receives the configuration in force.
    pub active_config: sync::Arc<configure::ActiveConfig>,
    /// Calls to other entry VMs.
    pub caller: peers::PeerCaller,
    /// Announces which revision each other entry VM has in force.
    pub gossip: handle::GossipHandle,
    /// Records changes of state.
    pub recorder: recorder::EventRecorder,
}

impl<C: LogClient> FollowController<C> {
    /// Runs until cancelled.
    pub async fn run(self) {
        let vm = self.gossip.identity().name.clone();
        let mut follower = follow::ConfigFollower::new(vm, conf::pace::FollowSettings::default());
        let (sender, mut events) = mpsc::channel(MAX_PENDING_EVENTS);
        let mut members = self.gossip.members();
        let mut tick = time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let happened = tokio::select! {
                event = events.recv() => event.into_iter().collect(),
                _ = tick.tick() => vec![event::FollowEvent::Tick],
                changed = members.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.offers(&mut members)
                }
            };
            for event in happened {
                self.handle(&mut follower, event, &sender);
            }
        }
    }

    /// Returns the states that the other members offer.
    fn offers(
        &self,
        members: &mut watch::Receiver<sync::Arc<gossip::view::MemberSnapshot>>,
    ) -> Vec<event::FollowEvent> {
        let seen = members.borrow_and_update().clone();
        let own = &self.gossip.identity().name;
        let others = seen.members.values().filter(|member| member.name != *own);
        others
            .map(|member| {
                let peer = member.name.clone();
                match &member.configuration {
                    Some(offered) if member.state.is_present() => {
                        let hash = offer::ChainHash(offered.chain_hash);
                        let (revision, offset) = (offered.revision, offered.offset);
                        let offer = offer::StateOffer {
                            revision,
                            offset,
                            hash,
                        };
                        event::FollowEvent::Offer { peer, offer }
                    }
                    _ => event::FollowEvent::PeerDeparted { peer },
                }
            })
            .collect()
    }

    fn handle(
        &self,
        follower: &mut follow::ConfigFollower,
        event: event::FollowEvent,
        events: &mpsc::Sender<event::FollowEvent>,
    ) {
        let source = self.note(&event);
        let clock = keeper::ClockReading {
            now: time::Instant::now(),
            unix_ms: clock::unix_ms(),
        };
        let actions = follower.handle(event, clock);
        let mut decided = false;
        for action in actions {
            match action {
                event::FollowAction::InForce(offer) => self.put_in_force(follower, offer, &source),
                event::FollowAction::Decided {
                    id,
                    offset,
                    verdict,
                } => {
                    decided = true;
                    self.note_decision(id, offset, &verdict, follower);
                }
                event::FollowAction::Report(report) => note_report(&report),
                action => self.perform(action, events.clone()),
            }
        }
        if let Some(state) = follower.state() {
            self.active_config.advance(state, follower.ready());
        }
        if decided {
            self.active_config.note_decision();
        }
    }

    /// Records whether an event shows the log as reachable; returns the source of a state that the
    /// event leads to.
    fn note(&self, event: &event::FollowEvent) -> String {
        match event {
            event::FollowEvent::Page { .. } | event::FollowEvent::Dropped { .. } => {
                if let Some(down_ms) = self.active_config.note_answer() {
                    let stream = configure::STREAM.to_owned();
                    self.recorder
                        .record(kind::EventKind::LogUp { stream, down_ms });
                }
                "log".to_owned()
            }
            event::FollowEvent::State { peer, .. } => format!("peer {peer}"),
            event::FollowEvent::ReadFailed => {
                if self.active_config.note_outage() {
                    log::warn!(stream = configure::STREAM; "log does not answer");
                    let stream = configure::STREAM.to_owned();
                    let reason = "a read failed".to_owned();
                    self.recorder
                        .record(kind::EventKind::LogDown { stream, reason });
                }
                String::new()
            }
            _ => String::new(),
        }
    }

    fn put_in_force(
        &self,
        follower: &follow::ConfigFollower,
        offer: offer::StateOffer,
        source: &str,
    ) {
        let Some(state) = follower.state() else {
            return;
        };
        self.active_config
            .put_in_force(state, follower.transfer(), source);
        log::info!(revision = offer.revision, offset = offer.offset, source = source; "configuration in force");
        let (revision, source) = (offer.revision, source.to_owned());
        self.recorder
            .record(kind::EventKind::ConfigurationInForce { revision, source });
    }

    fn note_decision(
        &self,
        id: base::id::RecordId,
        offset: u64,
        verdict: &conf::state::ApplyVerdict,
        follower: &follow::ConfigFollower,
    ) {
        let history = follower.state().map(conf::state::ConfigState::history);
        let summary = history.and_then(|history| {
            let accepted = history.accepted().map(|entry| &entry.summary);
            let refused = history.refused().map(|entry| &entry.summary);
            accepted.chain(refused).find(|summary| summary.id == id)
        });
        let author = summary
            .map(|summary| summary.author.clone())
            .unwrap_or_default();
        let base_revision = summary.map_or(0, |summary| summary.base_revision);
        self.recorder.record(match verdict {
            conf::state::ApplyVerdict::Accepted { revision } => {
                kind::EventKind::ConfigurationAccepted {
                    revision: *revision,
                    offset,
                    author,
                }
            }
            verdict => kind::EventKind::ConfigurationRefused {
                base_revision,
                offset,
                author,
                reason: configure::describe(verdict),
            },
        });
    }

    fn perform(&self, action: event::FollowAction, events: mpsc::Sender<event::FollowEvent>) {
        let controller = self.clone();
        tokio::spawn(async move {
            let event = match action {
                event::FollowAction::Read { from, max, wait } => {
                    controller.read(from, max, wait).await
                }
                event::FollowAction::Fetch { peer } => controller.fetch(peer).await,
                event::FollowAction::Append { record } => controller.append(record).await,
                _ => return,
            };
            // A closed channel means that the controller ended with its daemon.
            let _ = events.send(event).await;
        });
    }

    async fn read(&self, from: u64, max: u32, wait: Duration) -> event::FollowEvent {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let stream = configure::STREAM.to_owned();
        match self
            .log
            .read(&client::ReadQuery {
                stream,
                from,
                max,
                wait_ms,
            })
            .await
        {
            Ok(page) => {
                let record = |record: client::LogRecord| event::TailRecord {
                    offset: record.offset,
                    at_ms: record.at_ms,
                    body: record.body.to_vec(),
                };
                let records = page.records.into_iter().map(record).collect();
                event::FollowEvent::Page {
                    first: page.first,
                    next: page.next,
                    records,
                }
            }
            Err(client::ReadError::Dropped { first, .. }) => event::FollowEvent::Dropped { first },
            Err(client::ReadError::Failed { .. }) => event::FollowEvent::ReadFailed,
        }
    }

    async fn append(&self, record: Vec<u8>) -> event::FollowEvent {
        match self.log.append(configure::STREAM, record.into()).await {
            Ok(_) => event::FollowEvent::Appended,
            Err(_) => event::FollowEvent::AppendFailed,
        }
    }

    async fn fetch(&self, peer: String) -> event::FollowEvent {
        match self.fetch_parts(&peer).await {
            Some(transfer) => event::FollowEvent::State {
                peer,
                transfer: Box::new(transfer),
            },
            None => {
                metrics::counter!("pollenchute_entry_state_fetches_failed_total").increment(1);
                event::FollowEvent::FetchFailed { peer }
            }
        }
    }

    /// Fetches the parts of one state; `None` when the state changed meanwhile or a fetch failed.
    async fn fetch_parts(&self, peer: &str) -> Option<transfer::StateTransfer> {
        let mut bytes = Vec::new();
        let mut offset = None;
        for _ in 0..MAX_PARTS {
            let answer = self
                .caller
                .configuration(peer, bytes.len() as u64, FETCH_TIMEOUT)
                .await?;
            let peer::configuration_answer::Kind::State(part) = answer.kind? else {
                return None;
            };
            let is_same = offset.is_none_or(|offset| offset == answer.offset);
            if !is_same || part.from_byte != bytes.len() as u64 || part.part.is_empty() {
                return None;
            }
            offset = Some(answer.offset);
            bytes.extend_from_slice(&part.part);
            if bytes.len() as u64 >= part.total_bytes {
                return serde_json::from_slice(&bytes).ok();
            }
        }
        None
    }
}

fn note_report(report: &event::FollowReport) {
    metrics::counter!("pollenchute_entry_configuration_reports_total").increment(1);
    match report {
        event::FollowReport::Refused { reason } => {
            log::warn!(reason = reason.as_str(); "configuration state was refused");
        }
        event::FollowReport::Contradiction { source } => {
            log::error!(source = source.as_str(); "received a conflicting configuration history");
        }
        event::FollowReport::LogLost { next } => {
            log::error!(next = next; "the log ends before the configuration in force");
        }
    }
}
