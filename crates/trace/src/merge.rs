//! Merging the recorded events of several processes into one causal order.

use std::{cmp, collections};

use base::{id, ops};

use crate::{clock, event, kind};

/// Events of several processes in one order, and the known gaps.
///
/// An event follows every event that could have caused it, and events of one process keep the order
/// in which they were recorded. Concurrent events are ordered by stamp, then by VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedTimeline {
    /// The events, earliest first, without duplicates.
    pub events: Vec<event::Event>,
    /// Gaps in the events.
    pub gaps: Vec<TimelineGap>,
}

/// A reason why a merged time line is incomplete or its order uncertain.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(tag = "gap", rename_all = "snake_case")]
pub enum TimelineGap {
    /// A full ring evicted events.
    Lost {
        /// The VM.
        vm: String,
        /// Events of every kind evicted since the process started.
        lost: u64,
        /// Time of the newest evicted event; milliseconds since 1970.
        up_to_ms: u64,
    },
    /// The answer was truncated to its newest events.
    Omitted {
        /// The VM.
        vm: String,
        /// Number of matching events omitted.
        omitted: u64,
    },
    /// A VM did not answer, so its events are missing.
    Silent {
        /// The VM.
        vm: String,
        /// Why there was no answer.
        reason: String,
    },
    /// The clocks of two VMs differ by more than the maximum drift; their events are ordered by
    /// those clocks alone.
    Unordered {
        /// The VM that observed the difference.
        vm: String,
        /// The VM whose clock is ahead.
        member: String,
        /// Difference of the clocks in milliseconds.
        ahead_ms: u64,
    },
}

/// Merges the answers of several processes to a query with `since_ms`.
///
/// Losses that ended before `since_ms` are not reported, because no requested event is missing.
#[must_use]
pub fn merge(
    bodies: Vec<ops::TimelineBody<event::Event>>,
    since_ms: Option<u64>,
) -> MergedTimeline {
    let mut timeline = MergedTimeline::default();
    for body in &bodies {
        timeline.gaps.extend(gaps_of(body, since_ms));
    }
    let mut sources: Vec<_> = bodies
        .into_iter()
        .map(|body| body.events.into_iter())
        .collect();
    let mut heap = collections::BinaryHeap::new();
    for index in 0..sources.len() {
        push_head(&mut heap, &mut sources, index);
    }
    while let Some(cmp::Reverse(head)) = heap.pop() {
        push_head(&mut heap, &mut sources, head.source);
        if timeline
            .events
            .last()
            .is_none_or(|last| !is_same(last, &head.event))
        {
            timeline.events.push(head.event);
        }
    }
    timeline.gaps.extend(unordered_gaps(&timeline.events));
    timeline
}

/// The next event of one source, ordered by [`SourceHead::rank`] in the merge heap.
#[derive(Debug)]
struct SourceHead {
    event: event::Event,
    source: usize,
}

impl SourceHead {
    fn rank(&self) -> (clock::HybridStamp, &str, id::Incarnation, u64, usize) {
        let event = &self.event;
        (
            event.stamp,
            event.vm.as_str(),
            event.incarnation,
            event.seq,
            self.source,
        )
    }
}

impl PartialEq for SourceHead {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl Eq for SourceHead {}

impl PartialOrd for SourceHead {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SourceHead {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        self.rank().cmp(&other.rank())
    }
}

fn push_head(
    heap: &mut collections::BinaryHeap<cmp::Reverse<SourceHead>>,
    sources: &mut [std::vec::IntoIter<event::Event>],
    source: usize,
) {
    if let Some(event) = sources[source].next() {
        heap.push(cmp::Reverse(SourceHead { event, source }));
    }
}

/// Returns whether both are the same event, received twice because one VM was queried twice.
fn is_same(left: &event::Event, right: &event::Event) -> bool {
    left.seq == right.seq && left.incarnation == right.incarnation && left.vm == right.vm
}

fn gaps_of(
    body: &ops::TimelineBody<event::Event>,
    since_ms: Option<u64>,
) -> impl Iterator<Item = TimelineGap> + '_ {
    let is_in_range = |up_to_ms: &u64| since_ms.is_none_or(|since_ms| *up_to_ms >= since_ms);
    let lost = body
        .lost_up_to_ms
        .filter(is_in_range)
        .map(|up_to_ms| TimelineGap::Lost {
            vm: body.vm.clone(),
            lost: body.lost,
            up_to_ms,
        });
    let omitted = (body.omitted > 0).then(|| TimelineGap::Omitted {
        vm: body.vm.clone(),
        omitted: body.omitted,
    });
    lost.into_iter().chain(omitted)
}

fn unordered_gaps(events: &[event::Event]) -> Vec<TimelineGap> {
    let mut gaps: collections::BTreeMap<(&str, &str), u64> = collections::BTreeMap::new();
    for event in events {
        if let kind::EventKind::ClockAhead { member, ahead_ms } = &event.kind {
            let worst_ms = gaps.entry((&event.vm, member)).or_default();
            *worst_ms = (*worst_ms).max(*ahead_ms);
        }
    }
    gaps.into_iter()
        .map(|((vm, member), ahead_ms)| TimelineGap::Unordered {
            vm: vm.to_owned(),
            member: member.to_owned(),
            ahead_ms,
        })
        .collect()
}
