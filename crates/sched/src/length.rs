//! How long outputs turn out to be: decayed histograms, finest first.
//!
//! The length of an output is unknown when it starts. What is known is how long those of the same
//! organisation, class and model were, and how far this one has come. A thin histogram is filled
//! up from the next coarser one, so that a new organisation begins with what its class does.

use std::collections;

use base::{class, id};

use crate::risk;

/// Buckets of one histogram: two an octave from 4 tokens to 65,536, and one below.
const BUCKETS: usize = 30;

/// Upper end of the first bucket, in tokens.
const FIRST_EDGE: f32 = 4.0;

/// Lengths after which an older one counts half in the histogram of an organisation.
const FINE_HALF_LIFE: f32 = 200.0;

/// The same for a class of a model over all organisations.
const COARSE_HALF_LIFE: f32 = 2_000.0;

/// Lengths that the next coarser histogram counts for.
const PRIOR_WEIGHT: f32 = 12.0;

/// Longest output reckoned with where a generation's own limit is unknown.
const DEFAULT_MAX_TOKENS: f32 = 8_192.0;

/// Place of `tokens` on the axis of buckets; the fraction tells how far into its bucket.
fn bucket_position(tokens: f32) -> f32 {
    if tokens < FIRST_EDGE {
        tokens.max(0.0) / FIRST_EDGE
    } else {
        let position = 2.0f32.mul_add((tokens / FIRST_EDGE).log2(), 1.0);
        position.min(BUCKETS as f32)
    }
}

/// Tokens at bucket edge `edge`.
fn edge_tokens(edge: usize) -> f32 {
    if edge == 0 {
        0.0
    } else {
        FIRST_EDGE * ((edge as f32 - 1.0) / 2.0).exp2()
    }
}

/// Decayed lengths, kept as the weight of those longer than each bucket edge.
#[derive(Clone, Debug)]
pub struct LengthHistogram {
    /// Weight of lengths survival edge `i`; descends, and the first is the all weight.
    weight_above_edge: [f32; BUCKETS + 1],
    /// What one further length multiplies the older ones with.
    decay: f32,
}

impl LengthHistogram {
    fn new(half_life: f32) -> Self {
        Self {
            weight_above_edge: [0.0; BUCKETS + 1],
            decay: (-1.0 / half_life).exp2(),
        }
    }

    /// Adds one length.
    pub fn add(&mut self, tokens: u32) {
        let position = bucket_position(tokens as f32);
        for (edge, weight) in self.weight_above_edge.iter_mut().enumerate() {
            *weight *= self.decay;
            // Spread over its bucket, so that the survival function has no steps.
            *weight += (position + 1.0 - edge as f32).clamp(0.0, 1.0);
        }
    }

    /// Weight of all lengths.
    #[must_use]
    pub fn weight(&self) -> f32 {
        self.weight_above_edge[0]
    }

    /// Weight of the lengths survival `position`.
    fn weight_above(&self, position: f32) -> f32 {
        let edge = (position as usize).min(BUCKETS - 1);
        let fraction = (position - edge as f32).min(1.0);
        let (near, far) = (
            self.weight_above_edge[edge],
            self.weight_above_edge[edge + 1],
        );
        fraction.mul_add(far - near, near)
    }
}

slotmap::new_key_type! {
    /// Key of an organisation's histogram; a stale one falls back to its class's.
    pub struct HistogramKey;
}

/// Whose lengths to go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LengthSource {
    /// The organisation.
    pub organisation: id::OrganisationKey,
    /// The model.
    pub model: id::ModelKey,
    /// The class.
    pub class: class::TrafficClass,
}

/// Survival function of one generation's all length.
#[derive(Clone, Copy, Debug)]
pub struct LengthCurve<'a> {
    fine: Option<&'a LengthHistogram>,
    coarse: Option<&'a LengthHistogram>,
    /// The most that the generation may produce.
    max_tokens: f32,
    /// Place of `max_tokens`; the prior is uniform up to it on the axis of buckets.
    max_position: f32,
}

impl LengthCurve<'_> {
    /// Chance of a length survival `tokens`.
    #[must_use]
    pub fn survival(&self, tokens: f32) -> f32 {
        if tokens >= self.max_tokens {
            return 0.0;
        }
        let position = bucket_position(tokens);
        let prior = 1.0 - position / self.max_position;
        let coarse = Self::blend(self.coarse, position, prior);
        Self::blend(self.fine, position, coarse)
    }

    /// Expected further tokens of a generation that has come to `produced`.
    #[must_use]
    pub fn expected_remaining(&self, produced: f32) -> f32 {
        let alive = self.survival(produced);
        if alive <= f32::EPSILON {
            return 1.0;
        }
        let mut sum = 0.0;
        let (mut from, mut chance) = (produced, alive);
        let first = bucket_position(produced) as usize + 1;
        for edge in first..=BUCKETS {
            let to = edge_tokens(edge).min(self.max_tokens);
            let next = self.survival(to);
            sum += (to - from) * (chance + next) / 2.0;
            (from, chance) = (to, next);
            if next <= 1e-4 * alive {
                break;
            }
        }
        (sum / alive).max(1.0)
    }

    fn blend(histogram: Option<&LengthHistogram>, position: f32, coarser: f32) -> f32 {
        histogram.map_or(coarser, |histogram| {
            let weight = histogram.weight_above(position) + PRIOR_WEIGHT * coarser;
            weight / (histogram.weight() + PRIOR_WEIGHT)
        })
    }
}

/// One organisation's histogram with what finds it.
#[derive(Clone, Debug)]
struct FineEntry {
    source: LengthSource,
    histogram: LengthHistogram,
    /// Cleared by the hand that looks for one to drop; set by use.
    recent: bool,
}

/// Histograms of one model over all organisations.
#[derive(Clone, Debug)]
struct CoarseEntry {
    classes: [LengthHistogram; 3],
    /// All classes together.
    all: LengthHistogram,
}

impl Default for CoarseEntry {
    fn default() -> Self {
        let histogram = LengthHistogram::new(COARSE_HALF_LIFE);
        Self {
            classes: std::array::from_fn(|_| histogram.clone()),
            all: histogram,
        }
    }
}

/// What is known of a generation met at a random moment, not at its start.
#[derive(Clone, Copy, Debug)]
pub struct ResidualCurve {
    /// Chance that it still runs at each horizon.
    pub alive: risk::HorizonRow,
    /// Expected all length of an output, in tokens.
    pub mean_length: f32,
}

/// All histograms of this process, bounded in number.
#[derive(Clone, Debug)]
pub struct LengthTable {
    coarse: slotmap::SecondaryMap<id::ModelKey, CoarseEntry>,
    fine: slotmap::SlotMap<HistogramKey, FineEntry>,
    /// Holds exactly the keys of `fine`.
    index: collections::HashMap<LengthSource, HistogramKey>,
    /// Keys of `fine` in a ring; the hand goes round it.
    ring: Vec<HistogramKey>,
    hand: usize,
    /// Never more organisations' histograms than this.
    capacity: usize,
}

impl LengthTable {
    /// A table of at most `capacity` organisations' histograms.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            coarse: slotmap::SecondaryMap::new(),
            fine: slotmap::SlotMap::with_key(),
            index: collections::HashMap::new(),
            ring: Vec::new(),
            hand: 0,
            capacity: capacity.max(1),
        }
    }

    /// Learns one all length.
    pub fn learn(&mut self, source: LengthSource, tokens: u32) {
        if !self.coarse.contains_key(source.model) {
            self.coarse.insert(source.model, CoarseEntry::default());
        }
        let coarse = &mut self.coarse[source.model];
        coarse.classes[source.class.index()].add(tokens);
        coarse.all.add(tokens);
        let key = match self.index.get(&source) {
            Some(key) => *key,
            None => self.insert(source),
        };
        let entry = &mut self.fine[key];
        entry.histogram.add(tokens);
        entry.recent = true;
    }

    /// The key of the organisation's histogram; null while there is none.
    #[must_use]
    pub fn find(&self, source: LengthSource) -> HistogramKey {
        self.index.get(&source).copied().unwrap_or_default()
    }

    /// The curve that fits best.
    #[must_use]
    pub fn curve(&self, source: LengthSource, key: HistogramKey, max: u32) -> LengthCurve<'_> {
        let max_tokens = max.max(1) as f32;
        let coarse = self.coarse.get(source.model);
        LengthCurve {
            fine: self.fine.get(key).map(|entry| &entry.histogram),
            coarse: coarse.map(|entry| &entry.classes[source.class.index()]),
            max_tokens,
            max_position: bucket_position(max_tokens).max(f32::EPSILON),
        }
    }

    /// What is known of a running generation of `model` of whose start and class nothing is.
    ///
    /// A long output is met more often than a short one, in proportion to its length.
    #[must_use]
    pub fn residual(&self, model: id::ModelKey) -> ResidualCurve {
        let curve = LengthCurve {
            fine: None,
            coarse: self.coarse.get(model).map(|entry| &entry.all),
            max_tokens: DEFAULT_MAX_TOKENS,
            max_position: bucket_position(DEFAULT_MAX_TOKENS),
        };
        let mean_length = curve.expected_remaining(0.0);
        let alive = risk::HORIZONS.map(|distance| {
            let remaining = curve.expected_remaining(distance) * curve.survival(distance);
            (remaining / mean_length).min(1.0)
        });
        ResidualCurve { alive, mean_length }
    }

    /// Number of organisations' histograms.
    #[must_use]
    pub fn len(&self) -> usize {
        self.fine.len()
    }

    /// Whether nothing was learnt.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.coarse.is_empty()
    }

    fn insert(&mut self, source: LengthSource) -> HistogramKey {
        let entry = FineEntry {
            source,
            histogram: LengthHistogram::new(FINE_HALF_LIFE),
            recent: true,
        };
        let key = self.fine.insert(entry);
        self.index.insert(source, key);
        if self.ring.len() < self.capacity {
            self.ring.push(key);
        } else {
            let index = self.index_to_evict();
            let evicted = std::mem::replace(&mut self.ring[index], key);
            if let Some(entry) = self.fine.remove(evicted) {
                self.index.remove(&entry.source);
            }
        }
        key
    }

    /// Second chance: the first in the ring that was not used since the hand last passed.
    fn index_to_evict(&mut self) -> usize {
        loop {
            let index = self.hand;
            self.hand = (self.hand + 1) % self.ring.len();
            let entry = &mut self.fine[self.ring[index]];
            if !std::mem::take(&mut entry.recent) {
                return index;
            }
        }
    }
}
