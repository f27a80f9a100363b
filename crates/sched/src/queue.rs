//! Weighted fair queues: waiting requests are held here instead of in an engine, and tokens are
//! shared among organisations by start-time fair queueing.
//!
//! Each organisation has a flow with a tag in tokens per weight. The flow with the lowest tag is
//! served next, which raises its tag by the cost over its weight. A flow that was idle starts at
//! the queue's virtual time, so it earns no credit while idle. A flow that becomes empty keeps a
//! tag that is ahead of the virtual time; otherwise an organisation could clear its debt by
//! pausing.

use std::{cmp, collections};

use base::id;

use crate::request::TicketKey;

/// The flow of one organisation.
#[derive(Clone, Debug, Default)]
struct QueueFlow {
    organisation: id::OrganisationKey,
    weight: f64,
    /// Virtual time at which the flow is due, in tokens over weight.
    tag: f64,
    /// Tickets in the order of service.
    tickets: collections::VecDeque<QueuedTicket>,
    /// Sum of `cost` over `tickets`.
    backlog: f64,
    /// Whether the flow has tickets.
    active: bool,
    /// Whether the heap contains the flow: it is active and not parked.
    in_heap: bool,
    /// Whether the flow is parked until a limit permits more work.
    parked: bool,
}

/// A waiting ticket and its estimated cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuedTicket {
    /// Key of the ticket.
    pub ticket: TicketKey,
    /// Expected cost in tokens.
    pub cost: f64,
}

/// Entry of the heap, ordered by lowest tag, then by lowest key.
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

/// Maximum number of flows considered at once, so that a flow that cannot be served does not block
/// the others.
pub const MAX_FRONTS: usize = 4;

/// Minimum number of empty flows kept for their tags before idle flows are evicted.
const MIN_IDLE_FLOW_LIMIT: usize = 64;

/// Waiting tickets of one class and model, shared fairly among organisations.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    flows: slab::Slab<QueueFlow>,
    keys: collections::HashMap<id::OrganisationKey, usize>,
    heap: collections::BinaryHeap<HeapEntry>,
    /// Keys of the parked flows.
    parked: Vec<usize>,
    /// Virtual time: the tag of the flow served last; never decreases.
    virtual_time: f64,
    /// Number of tickets in all flows.
    len: usize,
    /// Sum of the backlogs of all flows.
    backlog: f64,
    /// Sum of the weights of flows with tickets.
    weight: f64,
    /// Number of flows without tickets.
    idle: usize,
    /// Number of idle flows at which they are next evicted: twice the number left by the last
    /// eviction.
    idle_limit: usize,
    /// Empty deques, kept to reuse their memory.
    spare: Vec<collections::VecDeque<QueuedTicket>>,
}

impl FairQueue {
    /// Returns the number of waiting tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no ticket is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the expected tokens of all waiting tickets.
    #[must_use]
    pub fn backlog(&self) -> f64 {
        self.backlog
    }

    /// Adds a ticket at the back of its organisation's flow, or at the front if `in_front`.
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
            flow.tag = flow.tag.max(self.virtual_time);
            self.weight += flow.weight;
            self.idle -= 1;
            self.requeue(key);
        }
    }

    /// Returns the ticket that is served next.
    #[must_use]
    pub fn front(&self) -> Option<QueuedTicket> {
        let entry = self.heap.peek()?;
        self.flows[entry.key].tickets.front().copied()
    }

    /// Writes the tickets that are served next to `fronts`, one of each flow and at most
    /// `fronts.len()`, and returns their number.
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

    /// Removes the first ticket of the organisation's flow and charges the flow for it.
    pub fn pop(&mut self, organisation: id::OrganisationKey) -> Option<QueuedTicket> {
        let key = *self.keys.get(&organisation)?;
        if !self.remove_from_heap(key) {
            return None;
        }
        let flow = &mut self.flows[key];
        let queued = flow.tickets.pop_front()?;
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag += queued.cost / flow.weight;
        self.subtract_ticket(key, queued.cost);
        self.requeue(key);
        Some(queued)
    }

    /// Parks a flow that may not be served now, until [`Self::unpark`] returns it to the heap.
    pub fn park(&mut self, organisation: id::OrganisationKey) {
        if let Some(&key) = self.keys.get(&organisation)
            && self.remove_from_heap(key)
        {
            self.flows[key].parked = true;
            self.parked.push(key);
        }
    }

    /// Returns the parked flows for which `ready` is true to the heap.
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

    /// Removes a ticket from any position of its flow without charging the organisation. Returns
    /// whether the ticket was found.
    pub fn remove(&mut self, organisation: id::OrganisationKey, ticket: TicketKey) -> bool {
        let Some(&key) = self.keys.get(&organisation) else {
            return false;
        };
        let flow = &mut self.flows[key];
        let Some(index) = flow
            .tickets
            .iter()
            .position(|queued| queued.ticket == ticket)
        else {
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

    /// Charges an organisation `tokens` more than the estimate, or less if negative.
    ///
    /// A flow that is in the heap keeps its position there until it is next served; the correction
    /// takes effect afterwards.
    pub fn correct(&mut self, organisation: id::OrganisationKey, tokens: f64) {
        if let Some(&key) = self.keys.get(&organisation) {
            let flow = &mut self.flows[key];
            flow.tag += tokens / flow.weight;
        }
    }

    /// Returns the expected tokens that are served before a ticket appended now.
    #[must_use]
    pub fn ahead(&self, organisation: id::OrganisationKey, weight: f64) -> f64 {
        let flow = self.keys.get(&organisation).map(|&key| &self.flows[key]);
        let own = flow.map_or(0.0, |flow| {
            // While the tag is ahead of the virtual time, other flows are served first.
            (flow.tag - self.virtual_time)
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
        if self.idle >= self.idle_limit.max(MIN_IDLE_FLOW_LIMIT) {
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

    /// Removes a flow from the heap. Returns whether it was there.
    fn remove_from_heap(&mut self, key: usize) -> bool {
        if !self.flows[key].in_heap {
            return false;
        }
        self.flows[key].in_heap = false;
        let mut passed = [HeapEntry { tag: 0.0, key: 0 }; MAX_FRONTS];
        let mut count = 0;
        while let Some(entry) = self.heap.pop() {
            if entry.key == key {
                break;
            }
            if count == MAX_FRONTS {
                // Only a withdrawal removes a flow this far from the front, so a linear search is
                // acceptable.
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

    /// Returns a flow to the heap, or marks it idle if it is empty.
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
            flow.in_heap = true;
            self.heap.push(HeapEntry { tag: flow.tag, key });
        }
        if self.len == 0 {
            (self.weight, self.backlog) = (0.0, 0.0);
        }
    }

    /// Drops empty flows whose tag is not ahead of the virtual time. Recreating such a flow gives
    /// the same tag.
    fn evict_idle_flows(&mut self) {
        let (virtual_time, keys, spare) = (self.virtual_time, &mut self.keys, &mut self.spare);
        let before = self.flows.len();
        self.flows.retain(|_, flow| {
            let keep = flow.active || flow.tag > virtual_time;
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
