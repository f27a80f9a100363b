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

/// Order in the heap: the lowest tag first, then the lowest key.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeapEntry {
    tag: f64,
    key: usize,
}

impl Eq for HeapEntry {}

impl Ord for HeapEntry {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let tags = other.tag.total_cmp(&self.tag);
        tags.then_with(|| other.key.cmp(&self.key))
    }
}

impl PartialOrd for HeapEntry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Flows that are looked at beyond the first when that cannot be served.
pub const MAX_FRONTS: usize = 4;

/// Empty flows that are kept for their tag before the first clearing.
const INITIAL_IDLE_FLOW_LIMIT: usize = 64;

/// Waiting tickets of one class and model, shared fairly among organisations.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    flows: slab::Slab<QueueFlow>,
    keys: collections::HashMap<id::OrganisationKey, usize>,
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
        let key = self.flow(organisation);
        let flow = &mut self.flows[key];
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
            self.requeue(key);
        }
    }

    /// The ticket that is served next.
    #[must_use]
    pub fn front(&self) -> Option<QueuedTicket> {
        let entry = self.heap.peek()?;
        self.flows[entry.key].tickets.front().copied()
    }

    /// The tickets that are served next, one of each flow, at most `fronts.len()` of them.
    /// Returns how many there are.
    pub fn fronts(&mut self, fronts: &mut [QueuedTicket]) -> usize {
        let mut entries = [HeapEntry { tag: 0.0, key: 0 }; MAX_FRONTS];
        let limit = fronts.len().min(MAX_FRONTS);
        let mut count = 0;
        while count < limit {
            let Some(entry) = self.heap.pop() else {
                break;
            };
            entries[count] = entry;
            fronts[count] = self.flows[entry.key].tickets[0];
            count += 1;
        }
        self.heap.extend(entries[..count].iter().copied());
        count
    }

    /// Takes the front of the organisation's flow and charges it.
    pub fn pop(&mut self, organisation: id::OrganisationKey) -> Option<QueuedTicket> {
        let key = *self.keys.get(&organisation)?;
        if !self.remove_from_heap(key) {
            return None;
        }
        let flow = &mut self.flows[key];
        let queued = flow.tickets.pop_front()?;
        self.time = self.time.max(flow.tag);
        flow.tag += queued.cost / flow.weight;
        self.subtract_ticket(key, queued.cost);
        self.requeue(key);
        Some(queued)
    }

    /// Sets aside a flow that may not be served now; [`Self::unpark`] brings it back.
    pub fn park(&mut self, organisation: id::OrganisationKey) {
        if let Some(&key) = self.keys.get(&organisation)
            && self.remove_from_heap(key)
        {
            self.flows[key].parked = true;
            self.parked.push(key);
        }
    }

    /// Brings back the parked flows that `ready` allows.
    pub fn unpark(&mut self, mut ready: impl FnMut(id::OrganisationKey) -> bool) {
        let mut index = 0;
        while let Some(&key) = self.parked.get(index) {
            if ready(self.flows[key].organisation) {
                self.parked.swap_remove(index);
                self.flows[key].parked = false;
                self.requeue(key);
            } else {
                index += 1;
            }
        }
    }

    /// Takes a ticket out of the middle; its organisation is charged nothing.
    pub fn remove(&mut self, organisation: id::OrganisationKey, ticket: TicketKey) -> bool {
        let Some(&key) = self.keys.get(&organisation) else {
            return false;
        };
        let flow = &mut self.flows[key];
        let Some(index) = flow.tickets.iter().position(|held| held.ticket == ticket) else {
            return false;
        };
        let cost = flow.tickets.remove(index).map_or(0.0, |queued| queued.cost);
        self.subtract_ticket(key, cost);
        if self.flows[key].tickets.is_empty() {
            self.remove_from_heap(key);
            self.requeue(key);
        }
        true
    }

    /// Charges an organisation `tokens` more than it was reckoned, or less when negative.
    ///
    /// A flow in the heap keeps its key there until it is next served: the correction counts
    /// from then on.
    pub fn correct(&mut self, organisation: id::OrganisationKey, tokens: f64) {
        if let Some(&key) = self.keys.get(&organisation) {
            let flow = &mut self.flows[key];
            flow.tag += tokens / flow.weight;
        }
    }

    /// Expected tokens that are served before a ticket appended now.
    #[must_use]
    pub fn ahead(&self, organisation: id::OrganisationKey, weight: f64) -> f64 {
        let flow = self.keys.get(&organisation).map(|&key| &self.flows[key]);
        let own = flow.map_or(0.0, |flow| {
            // A tag ahead of the queue's time is tokens that others are given first.
            (flow.tag - self.time)
                .max(0.0)
                .mul_add(flow.weight, flow.backlog)
        });
        let weight = weight.max(1e-6);
        let active = flow.is_some_and(|flow| flow.active);
        let total_weight = if active {
            self.weight
        } else {
            self.weight + weight
        };
        (own * total_weight / weight).min(self.backlog)
    }

    fn flow(&mut self, organisation: id::OrganisationKey) -> usize {
        if let Some(&key) = self.keys.get(&organisation) {
            return key;
        }
        if self.idle >= self.idle_limit.max(INITIAL_IDLE_FLOW_LIMIT) {
            self.evict_idle_flows();
        }
        let tickets = self.spare.pop().unwrap_or_default();
        let flow = QueueFlow {
            organisation,
            weight: 1.0,
            tickets,
            ..QueueFlow::default()
        };
        let key = self.flows.insert(flow);
        self.keys.insert(organisation, key);
        self.idle += 1;
        key
    }

    fn subtract_ticket(&mut self, key: usize, cost: f64) {
        self.flows[key].backlog -= cost;
        self.backlog = (self.backlog - cost).max(0.0);
        self.len -= 1;
    }

    /// Takes a flow out of the heap; says whether it was there.
    fn remove_from_heap(&mut self, key: usize) -> bool {
        if !self.flows[key].queued {
            return false;
        }
        self.flows[key].queued = false;
        let mut passed = [HeapEntry { tag: 0.0, key: 0 }; MAX_FRONTS];
        let mut count = 0;
        while let Some(entry) = self.heap.pop() {
            if entry.key == key {
                break;
            }
            if count == MAX_FRONTS {
                // Far from the front, which only a withdrawal is: search the rest.
                self.heap.push(entry);
                self.heap.retain(|entry| entry.key != key);
                break;
            }
            passed[count] = entry;
            count += 1;
        }
        self.heap.extend(passed[..count].iter().copied());
        true
    }

    /// Puts a flow that is out of the heap back, or to rest when it is empty.
    fn requeue(&mut self, key: usize) {
        let flow = &mut self.flows[key];
        if flow.tickets.is_empty() {
            flow.backlog = 0.0;
            if std::mem::take(&mut flow.parked) {
                self.parked.retain(|parked| *parked != key);
            }
            if std::mem::take(&mut flow.active) {
                self.weight -= flow.weight;
                self.idle += 1;
            }
        } else if !flow.parked {
            flow.queued = true;
            self.heap.push(HeapEntry { tag: flow.tag, key });
        }
        if self.len == 0 {
            (self.weight, self.backlog) = (0.0, 0.0);
        }
    }

    /// Drops empty flows whose tag the queue's time has reached: nothing is known by them.
    fn evict_idle_flows(&mut self) {
        let (time, keys, spare) = (self.time, &mut self.keys, &mut self.spare);
        let before = self.flows.len();
        self.flows.retain(|_, flow| {
            let keep = flow.active || flow.tag > time;
            if !keep {
                keys.remove(&flow.organisation);
                spare.push(std::mem::take(&mut flow.tickets));
            }
            keep
        });
        self.idle -= before - self.flows.len();
        self.idle_limit = 2 * self.idle;
    }
}
