//! Merged time lines respect causal order, checked with vector clocks as the oracle.

mod sample;

use std::collections;

use arbtest::arbitrary;
use base::id;
use trace::{journal, kind, merge, query};

const PROCESSES: usize = 4;

/// Processes with independent clocks, and the causal order of their events by vector clocks.
struct History {
    journals: Vec<journal::EventJournal>,
    /// Offset of each process's wall clock from the true time.
    offsets_ms: Vec<i64>,
    vectors: Vec<[u64; PROCESSES]>,
    /// Vector clock of each event, by process and sequence number.
    events: collections::BTreeMap<(usize, u64), [u64; PROCESSES]>,
    /// Messages in flight: stamp and vector clock of the sender.
    messages: Vec<(trace::clock::HybridStamp, [u64; PROCESSES])>,
    true_ms: u64,
}

impl History {
    fn new(max_events: usize) -> Self {
        let journals = (0..PROCESSES).map(|number| sample::journal(number as u128, max_events));
        Self {
            journals: journals.collect(),
            offsets_ms: vec![0; PROCESSES],
            vectors: vec![[0; PROCESSES]; PROCESSES],
            events: collections::BTreeMap::new(),
            messages: Vec::new(),
            true_ms: sample::START_MS,
        }
    }

    fn step(&mut self, unstructured: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let process = unstructured.choose_index(PROCESSES)?;
        let now_ms = self.true_ms.saturating_add_signed(self.offsets_ms[process]);
        let journal = &self.journals[process];
        match unstructured.int_in_range(0..=9)? {
            0 => self.offsets_ms[process] = unstructured.int_in_range(-900..=900)?,
            1..=2 => self.true_ms += unstructured.int_in_range(0..=300_u64)?,
            3..=4 => self
                .messages
                .push((journal.stamp(now_ms), self.vectors[process])),
            5..=6 if !self.messages.is_empty() => {
                let (stamp, vector) = *unstructured.choose(&self.messages)?;
                journal.observe(now_ms, "peer", stamp);
                for (own, peer) in self.vectors[process].iter_mut().zip(vector) {
                    *own = (*own).max(peer);
                }
            }
            _ => {
                let seq = self.vectors[process][process];
                self.vectors[process][process] += 1;
                self.events.insert((process, seq), self.vectors[process]);
                journal.record(now_ms, sample::member_up("x"));
            }
        }
        Ok(())
    }

    fn merged(&self) -> merge::MergedTimeline {
        let query = query::EventQuery::default();
        let bodies = self.journals.iter().map(|journal| journal.timeline(&query));
        merge::merge(bodies.collect(), None)
    }
}

#[test]
fn merge_respects_causal_order_and_reports_losses() {
    sample::for_seeds(200, |unstructured| {
        let max_events = unstructured.int_in_range(3..=60)?;
        let mut history = History::new(max_events);
        for _ in 0..200 {
            history.step(unstructured)?;
        }
        let timeline = history.merged();
        check_order(&history, &timeline);
        for (process, journal) in history.journals.iter().enumerate() {
            let lost = history.vectors[process][process].saturating_sub(max_events as u64);
            assert_eq!(journal.usage().lost, lost);
            assert_eq!(reported_loss(&timeline, &sample::vm(process as u128)), lost);
        }
        Ok(())
    });
}

fn check_order(history: &History, timeline: &merge::MergedTimeline) {
    let vector = |index: usize| {
        let event = &timeline.events[index];
        let process = usize::try_from(event.incarnation.0).unwrap();
        ((process, event.seq), history.events[&(process, event.seq)])
    };
    for earlier in 0..timeline.events.len() {
        for later in earlier + 1..timeline.events.len() {
            let ((process, seq), later_vector) = vector(later);
            let (_, earlier_vector) = vector(earlier);
            let is_cause = earlier_vector[process] > seq;
            assert!(
                !is_cause,
                "{later_vector:?} is ordered after its effect {earlier_vector:?}"
            );
        }
    }
}

fn reported_loss(timeline: &merge::MergedTimeline, name: &str) -> u64 {
    let lost = timeline.gaps.iter().filter_map(|gap| match gap {
        merge::TimelineGap::Lost { vm, lost, .. } if vm == name => Some(*lost),
        _ => None,
    });
    lost.sum()
}

#[test]
fn losses_before_the_requested_time_are_not_reported() {
    let journal = sample::journal(1, 2);
    for now_ms in 0..10 {
        journal.record(1_000 + now_ms, sample::member_up("x"));
    }
    let timeline = |since_ms| {
        let query = query::EventQuery {
            since_ms,
            ..query::EventQuery::default()
        };
        merge::merge(vec![journal.timeline(&query)], since_ms)
    };
    assert_eq!(timeline(Some(1_008)).gaps, []);
    assert_eq!(reported_loss(&timeline(Some(1_007)), "hall-a-1"), 8);
    assert_eq!(reported_loss(&timeline(None), "hall-a-1"), 8);
}

#[test]
fn events_fetched_twice_are_deduplicated() {
    // Guards against a time line that shows each event of one VM twice: a slow answer makes the
    // client query the VM again, and both answers arrive.
    let (first, second) = (sample::journal(1, 10), sample::journal(2, 10));
    for now_ms in 0..5 {
        first.record(now_ms, sample::member_up("x"));
        second.record(now_ms, sample::member_up("x"));
    }
    let query = query::EventQuery::default();
    let bodies = vec![
        first.timeline(&query),
        second.timeline(&query),
        first.timeline(&query),
    ];
    assert_eq!(merge::merge(bodies, None).events.len(), 10);
}

#[test]
fn clock_ahead_events_are_rate_limited() {
    let (behind, ahead) = (sample::journal(1, 100), sample::journal(2, 100));
    for now_ms in 0..50 {
        let now_ms = sample::START_MS + now_ms;
        behind.observe(now_ms, "hall-a-2", ahead.stamp(now_ms + 60_000));
    }
    let query = query::EventQuery::default();
    let timeline = merge::merge(vec![behind.timeline(&query), ahead.timeline(&query)], None);
    assert!(matches!(
        timeline.events[..],
        [trace::event::Event {
            kind: kind::EventKind::ClockAhead { .. },
            incarnation: id::Incarnation(1),
            ..
        }]
    ));
    assert_eq!(
        timeline.gaps,
        [merge::TimelineGap::Unordered {
            vm: "hall-a-1".to_owned(),
            member: "hall-a-2".to_owned(),
            ahead_ms: 60_000,
        }]
    );
}
