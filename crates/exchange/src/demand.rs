//! Demand of organisations for one service over the last ten seconds, in bounded memory.
//!
//! Counted are the planned tokens ([`crate::forecast::planned_tokens`]) of each generation of an
//! organisation: once as demand, when its request arrives and is not the expected retry of a refused
//! one, and once as served, when an engine answers it. Generations without an organisation count as
//! neither.
//!
//! The window consists of spans of five seconds: the current one, the one before, and the part of a
//! third one that is not older than ten seconds. Its tokens are assumed to be spread evenly.

use tokio::time;

use crate::message;

/// Duration of a span.
pub const SPAN: time::Duration = time::Duration::from_secs(5);
/// Number of spans that are kept: a window of ten seconds touches three.
const SPANS: usize = 3;
/// Maximum number of counters in a sketch, 24 bytes each.
pub const MAX_COUNTERS: usize = 64;
/// Number of organisations in a report.
pub const MAX_HEAVY: usize = 8;
/// Words of the bit set from which the number of organisations is estimated: 2,048 bits estimate up
/// to 10,000 organisations within a tenth.
const SEEN_WORDS: usize = 32;

/// Counter of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DemandCounter {
    /// Hash of the organisation's name.
    organisation: u32,
    /// Tokens; never less than the organisation asked for since the sketch began.
    tokens: u64,
    /// Part of `tokens` that may be due to organisations that had the counter before.
    error: u64,
}

/// Space-Saving sketch: tokens of the organisations that ask for most, with at most
/// [`MAX_COUNTERS`] counters. A new organisation takes the counter with the fewest tokens over,
/// so that no counter is off by more than the sketch's total / [`MAX_COUNTERS`].
#[derive(Clone, Debug, Default)]
pub struct DemandSketch {
    counters: Vec<DemandCounter>,
}

impl DemandSketch {
    /// Adds tokens of an organisation.
    pub fn add(&mut self, organisation: u32, tokens: u64) {
        let mut counters = self.counters.iter_mut();
        if let Some(counter) = counters.find(|counter| counter.organisation == organisation) {
            counter.tokens = counter.tokens.saturating_add(tokens);
            return;
        }
        if self.counters.len() < MAX_COUNTERS {
            self.counters.push(DemandCounter {
                organisation,
                tokens,
                error: 0,
            });
            return;
        }
        let smallest = self
            .counters
            .iter_mut()
            .min_by_key(|counter| counter.tokens);
        if let Some(counter) = smallest {
            *counter = DemandCounter {
                organisation,
                tokens: counter.tokens.saturating_add(tokens),
                error: counter.tokens,
            };
        }
    }

    /// Number of counters in use.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.counters.len()
    }

    /// Returns whether nothing was counted.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// Tokens that each organisation with a counter asked for at least. An organisation that took a
    /// counter over does not inherit the tokens of others.
    pub fn at_least(&self) -> impl Iterator<Item = (u32, u64)> {
        let counters = self.counters.iter();
        counters.map(|counter| (counter.organisation, counter.tokens - counter.error))
    }
}

/// Set of organisations of which only the size is estimated (linear counting).
#[derive(Clone, Copy, Debug, Default)]
struct SeenSet([u64; SEEN_WORDS]);

impl SeenSet {
    const fn add(&mut self, organisation: u32) {
        let bit = organisation as usize % (SEEN_WORDS * 64);
        self.0[bit / 64] |= 1 << (bit % 64);
    }

    fn join(&mut self, other: &Self) {
        for (own, word) in self.0.iter_mut().zip(other.0) {
            *own |= word;
        }
    }

    fn estimate(&self) -> u32 {
        let bits = (SEEN_WORDS * 64) as f64;
        let zeros: u32 = self.0.iter().map(|word| word.count_zeros()).sum();
        (bits * (bits / f64::from(zeros.max(1))).ln()).round() as u32
    }
}

/// Demand of one span.
#[derive(Clone, Debug, Default)]
struct DemandSpan {
    sketch: DemandSketch,
    seen: SeenSet,
    total: u64,
    served: u64,
}

/// Demand for one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceDemand {
    /// Spans, the newest first.
    spans: [DemandSpan; SPANS],
    /// When the newest span began; `None` before the first request.
    began: Option<time::Instant>,
}

impl ServiceDemand {
    /// Records a generation that an organisation asks for.
    pub fn record_asked(&mut self, organisation: u32, tokens: u64, now: time::Instant) {
        self.advance(now);
        let span = &mut self.spans[0];
        span.sketch.add(organisation, tokens);
        span.seen.add(organisation);
        span.total = span.total.saturating_add(tokens);
    }

    /// Records a generation that an engine answered.
    pub fn record_served(&mut self, tokens: u64, now: time::Instant) {
        self.advance(now);
        let span = &mut self.spans[0];
        span.served = span.served.saturating_add(tokens);
    }

    /// Returns whether nothing was recorded in the last ten seconds.
    #[must_use]
    pub fn is_idle(&self, now: time::Instant) -> bool {
        self.weights(now).all(|weight| weight == 0.0)
    }

    /// Number of counters in use; at most three times [`MAX_COUNTERS`].
    #[must_use]
    pub fn counters(&self) -> usize {
        let spans = self.spans.iter();
        spans.map(|span| span.sketch.len()).sum()
    }

    /// Begins new spans, as many as are due.
    fn advance(&mut self, now: time::Instant) {
        let began = *self.began.get_or_insert(now);
        let passed = self.passed_spans(now).floor() as usize;
        for _ in 0..passed.min(SPANS) {
            self.spans.rotate_right(1);
            self.spans[0] = DemandSpan::default();
        }
        if passed >= SPANS {
            self.began = Some(now);
        } else {
            self.began = Some(began + SPAN * passed as u32);
        }
    }

    /// Number of spans since the newest one began.
    fn passed_spans(&self, now: time::Instant) -> f64 {
        self.began.map_or(f64::INFINITY, |began| {
            now.saturating_duration_since(began).as_secs_f64() / SPAN.as_secs_f64()
        })
    }

    /// Fraction of each span that lies in the window.
    fn weights(&self, now: time::Instant) -> impl Iterator<Item = f64> + use<> {
        let passed = self.passed_spans(now);
        // A span of age 1 ended between zero and one span ago.
        (0..SPANS)
            .map(move |age| (SPANS as f64 - 1.0 - (passed + age as f64 - 1.0)).clamp(0.0, 1.0))
    }

    /// What this VM reports of the window; `None` if nothing was recorded.
    #[must_use]
    pub fn report(&self, service: u32, now: time::Instant) -> Option<message::DemandItem> {
        let (mut total, mut served) = (0.0, 0.0);
        let mut seen = SeenSet::default();
        let mut heavy: Vec<(u32, f64)> = Vec::new();
        for (span, weight) in self.spans.iter().zip(self.weights(now)) {
            if weight == 0.0 {
                continue;
            }
            total += span.total as f64 * weight;
            served += span.served as f64 * weight;
            seen.join(&span.seen);
            heavy.extend(
                span.sketch
                    .at_least()
                    .map(|(organisation, tokens)| (organisation, tokens as f64 * weight)),
            );
        }
        if total == 0.0 && served == 0.0 {
            return None;
        }
        let heavy = heaviest(heavy);
        let listed = u32::try_from(heavy.len()).unwrap_or(u32::MAX);
        Some(message::DemandItem {
            service,
            total: total.ceil() as u64,
            organisations: seen.estimate().max(listed),
            heavy,
            served: served.round() as u64,
        })
    }
}

/// Sums the tokens of each organisation, and returns those with most, in a fixed order.
fn heaviest(mut tokens: Vec<(u32, f64)>) -> Vec<message::HeavyItem> {
    tokens.sort_unstable_by_key(|(organisation, _)| *organisation);
    tokens.dedup_by(|next, first| {
        let same = next.0 == first.0;
        if same {
            first.1 += next.1;
        }
        same
    });
    let items = tokens.into_iter().map(|(organisation, tokens)| {
        let tokens = tokens as u64;
        message::HeavyItem {
            organisation,
            tokens,
        }
    });
    let mut items: Vec<_> = items.filter(|item| item.tokens > 0).collect();
    items.sort_by_key(|item| std::cmp::Reverse(item.tokens));
    items.truncate(MAX_HEAVY);
    items
}
