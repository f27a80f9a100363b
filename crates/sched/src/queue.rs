//! Queues in which work waits here, not in an engine: weighted fair share in tokens among
//! organisations, by start-time fair queueing.
//!
//! Each organisation's flow has a tag, in tokens over weight. The flow with the lowest tag is
//! served next; serving it raises its tag by what it was given. A flow that was idle starts at
//! the queue's own time, so idling saves up nothing. A flow that empties keeps its tag while that
//! lies ahead of the queue's time: else an organisation could clear its debt by pausing.

use std::{cmp, collections};

use base::id;

use crate::request::TicketKey;

/// One organisation's part of a queue.
#[derive(Clone, Debug, Default)]
struct QueueFlow {
    organisation: id::OrganisationKey,
    weight: f64,
    /// Tokens over weight at which it is due.
    tag: f64,
    /// In order of service.
    tickets: collections::VecDeque<QueuedTicket>,
    /// Sum of `cost` over `tickets`.
    backlog: f64,
    /// Whether it has tickets.
    active: bool,
    /// Whether the heap holds it: it is active and not parked.
    queued: bool,
    /// Whether it is set aside until a limit allows more.
    parked: bool,
}

/// One waiting ticket with what serving it is reckoned to cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuedTicket {
    /// The ticket.
    pub ticket: TicketKey,
    /// Expected tokens.
    pub cost: f64,
}

/// Order in the heap: the lowest tag first, then the lowest place.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeapEntry {
    tag: f64,
    place: usize,
}

impl Eq for HeapEntry {}

impl Ord for HeapEntry {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let tags = other.tag.total_cmp(&self.tag);
        tags.then_with(|| other.place.cmp(&self.place))
    }
}

impl PartialOrd for HeapEntry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Flows that are looked at beyond the first when that cannot be served.
pub const MOST_FRONTS: usize = 4;

/// Empty flows that are kept for their tag before the first clearing.
const IDLE_FLOWS: usize = 64;

/// Waiting tickets of one class and model, shared fairly among organisations.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    flows: slab::Slab<QueueFlow>,
    places: collections::HashMap<id::OrganisationKey, usize>,
    heap: collections::BinaryHeap<HeapEntry>,
    /// Places of the flows that are set aside.
    parked: Vec<usize>,
    /// Tag of the flow served last; never falls.
    time: f64,
    /// Sum over flows of their tickets.
    len: usize,
    /// Sum over flows of their backlog.
    backlog: f64,
    /// Sum of the weights of flows with tickets.
    weight: f64,
    /// Number of flows without tickets.
    idle: usize,
    /// Number of them at which they are next cleared; twice what the last clearing left.
    idle_limit: usize,
    /// Emptied deques, kept for their memory.
    spare: Vec<collections::VecDeque<QueuedTicket>>,
}

impl FairQueue {
    /// Waiting tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Expected tokens of all that waits.
    #[must_use]
    pub fn backlog(&self) -> f64 {
        self.backlog
    }

    /// Appends a ticket to its organisation's flow, or puts it in front of that.
    pub fn push(
        &mut self,
        organisation: id::OrganisationKey,
        weight: f64,
        queued: QueuedTicket,
        in_front: bool,
    ) {
        let place = self.flow(organisation);
        let flow = &mut self.flows[place];
        if in_front {
            flow.tickets.push_front(queued);
        } else {
            flow.tickets.push_back(queued);
        }
        flow.backlog += queued.cost;
        self.backlog += queued.cost;
        self.len += 1;
        if !flow.active {
            flow.active = true;
            flow.weight = weight.max(1e-6);
            flow.tag = flow.tag.max(self.time);
            self.weight += flow.weight;
            self.idle -= 1;
            self.requeue(place);
        }
    }

    /// The ticket that is served next.
    #[must_use]
    pub fn front(&self) -> Option<QueuedTicket> {
        let entry = self.heap.peek()?;
        self.flows[entry.place].tickets.front().copied()
    }

    /// The tickets that are served next, one of each flow, at most `fronts.len()` of them.
    /// Returns how many there are.
    pub fn fronts(&mut self, fronts: &mut [QueuedTicket]) -> usize {
        let mut entries = [HeapEntry { tag: 0.0, place: 0 }; MOST_FRONTS];
        let wanted = fronts.len().min(MOST_FRONTS);
        let mut count = 0;
        while count < wanted {
            let Some(entry) = self.heap.pop() else {
                break;
            };
            entries[count] = entry;
            fronts[count] = self.flows[entry.place].tickets[0];
            count += 1;
        }
        self.heap.extend(entries[..count].iter().copied());
        count
    }

    /// Takes the front of the organisation's flow and charges it.
    pub fn take(&mut self, organisation: id::OrganisationKey) -> Option<QueuedTicket> {
        let place = *self.places.get(&organisation)?;
        if !self.unqueue(place) {
            return None;
        }
        let flow = &mut self.flows[place];
        let queued = flow.tickets.pop_front()?;
        self.time = self.time.max(flow.tag);
        flow.tag += queued.cost / flow.weight;
        self.forget(place, queued.cost);
        self.requeue(place);
        Some(queued)
    }

    /// Sets aside a flow that may not be served now; [`Self::unpark`] brings it back.
    pub fn park(&mut self, organisation: id::OrganisationKey) {
        if let Some(&place) = self.places.get(&organisation)
            && self.unqueue(place)
        {
            self.flows[place].parked = true;
            self.parked.push(place);
        }
    }

    /// Brings back the parked flows that `ready` allows.
    pub fn unpark(&mut self, mut ready: impl FnMut(id::OrganisationKey) -> bool) {
        let mut index = 0;
        while let Some(&place) = self.parked.get(index) {
            if ready(self.flows[place].organisation) {
                self.parked.swap_remove(index);
                self.flows[place].parked = false;
                self.requeue(place);
            } else {
                index += 1;
            }
        }
    }

    /// Takes a ticket out of the middle; its organisation is charged nothing.
    pub fn remove(&mut self, organisation: id::OrganisationKey, ticket: TicketKey) -> bool {
        let Some(&place) = self.places.get(&organisation) else {
            return false;
        };
        let flow = &mut self.flows[place];
        let Some(index) = flow.tickets.iter().position(|held| held.ticket == ticket) else {
            return false;
        };
        let cost = flow.tickets.remove(index).map_or(0.0, |queued| queued.cost);
        self.forget(place, cost);
        if self.flows[place].tickets.is_empty() {
            self.unqueue(place);
            self.requeue(place);
        }
        true
    }

    /// Charges an organisation `tokens` more than it was reckoned, or less when negative.
    ///
    /// A flow in the heap keeps its place there until it is next served: the correction counts
    /// from then on.
    pub fn correct(&mut self, organisation: id::OrganisationKey, tokens: f64) {
        if let Some(&place) = self.places.get(&organisation) {
            let flow = &mut self.flows[place];
            flow.tag += tokens / flow.weight;
        }
    }

    /// Expected tokens that are served before a ticket appended now.
    #[must_use]
    pub fn ahead(&self, organisation: id::OrganisationKey, weight: f64) -> f64 {
        let flow = self
            .places
            .get(&organisation)
            .map(|&place| &self.flows[place]);
        let own = flow.map_or(0.0, |flow| {
            // A tag ahead of the queue's time is tokens that others are given first.
            (flow.tag - self.time)
                .max(0.0)
                .mul_add(flow.weight, flow.backlog)
        });
        let weight = weight.max(1e-6);
        let active = flow.is_some_and(|flow| flow.active);
        let whole = if active {
            self.weight
        } else {
            self.weight + weight
        };
        (own * whole / weight).min(self.backlog)
    }

    fn flow(&mut self, organisation: id::OrganisationKey) -> usize {
        if let Some(&place) = self.places.get(&organisation) {
            return place;
        }
        if self.idle >= self.idle_limit.max(IDLE_FLOWS) {
            self.clear_idle();
        }
        let tickets = self.spare.pop().unwrap_or_default();
        let flow = QueueFlow {
            organisation,
            weight: 1.0,
            tickets,
            ..QueueFlow::default()
        };
        let place = self.flows.insert(flow);
        self.places.insert(organisation, place);
        self.idle += 1;
        place
    }

    fn forget(&mut self, place: usize, cost: f64) {
        self.flows[place].backlog -= cost;
        self.backlog = (self.backlog - cost).max(0.0);
        self.len -= 1;
    }

    /// Takes a flow out of the heap; says whether it was there.
    fn unqueue(&mut self, place: usize) -> bool {
        if !self.flows[place].queued {
            return false;
        }
        self.flows[place].queued = false;
        let mut passed = [HeapEntry { tag: 0.0, place: 0 }; MOST_FRONTS];
        let mut count = 0;
        while let Some(entry) = self.heap.pop() {
            if entry.place == place {
                break;
            }
            if count == MOST_FRONTS {
                // Far from the front, which only a withdrawal is: search the rest.
                self.heap.push(entry);
                self.heap.retain(|entry| entry.place != place);
                break;
            }
            passed[count] = entry;
            count += 1;
        }
        self.heap.extend(passed[..count].iter().copied());
        true
    }

    /// Puts a flow that is out of the heap back, or to rest when it is empty.
    fn requeue(&mut self, place: usize) {
        let flow = &mut self.flows[place];
        if flow.tickets.is_empty() {
            flow.backlog = 0.0;
            if std::mem::take(&mut flow.parked) {
                self.parked.retain(|parked| *parked != place);
            }
            if std::mem::take(&mut flow.active) {
                self.weight -= flow.weight;
                self.idle += 1;
            }
        } else if !flow.parked {
            flow.queued = true;
            self.heap.push(HeapEntry {
                tag: flow.tag,
                place,
            });
        }
        if self.len == 0 {
            (self.weight, self.backlog) = (0.0, 0.0);
        }
    }

    /// Drops empty flows whose tag the queue's time has reached: nothing is known by them.
    fn clear_idle(&mut self) {
        let (time, places, spare) = (self.time, &mut self.places, &mut self.spare);
        let before = self.flows.len();
        self.flows.retain(|_, flow| {
            let keep = flow.active || flow.tag > time;
            if !keep {
                places.remove(&flow.organisation);
                spare.push(std::mem::take(&mut flow.tickets));
            }
            keep
        });
        self.idle -= before - self.flows.len();
        self.idle_limit = 2 * self.idle;
    }
}
