//! Prediction of output lengths from decayed histograms.
//!
//! The output length is unknown when a generation starts. Known are the lengths of earlier outputs
//! of the same organisation, class and model, and how many tokens this one has produced. A
//! histogram with few samples is blended with the next coarser one, so that a new organisation
//! starts from the distribution of its class.

use std::collections;

use base::{class, id};

use crate::risk;

/// Number of histogram buckets: two per octave from 4 tokens to 65,536, and one below.
const BUCKETS: usize = 30;

/// Upper edge of the first bucket, in tokens.
const FIRST_EDGE: f32 = 4.0;

/// Half-life of a sample in an organisation's histogram, in number of later samples.
const FINE_HALF_LIFE: f32 = 200.0;

/// Half-life of a sample in the histogram of a class over all organisations, in number of later
/// samples.
const COARSE_HALF_LIFE: f32 = 2_000.0;

/// Weight of the next coarser histogram as a prior, in samples.
const PRIOR_WEIGHT: f32 = 12.0;

/// Maximum output length assumed where a generation's own limit is unknown.
const DEFAULT_MAX_TOKENS: f32 = 8_192.0;

/// Returns the position of `tokens` on the bucket axis; the fraction is the position within the
/// bucket.
fn bucket_position(tokens: f32) -> f32 {
    if tokens < FIRST_EDGE {
        tokens.max(0.0) / FIRST_EDGE
    } else {
        let position = 2.0f32.mul_add((tokens / FIRST_EDGE).log2(), 1.0);
        position.min(BUCKETS as f32)
    }
}

/// Returns the number of tokens at bucket edge `edge`.
fn edge_tokens(edge: usize) -> f32 {
    if edge == 0 {
        0.0
    } else {
        FIRST_EDGE * ((edge as f32 - 1.0) / 2.0).exp2()
    }
}

/// Decayed histogram of lengths, stored as the weight of the samples above each bucket edge.
#[derive(Clone, Debug)]
pub struct LengthHistogram {
    /// Weight of the lengths above edge `i`, in descending order; the first entry is the total
    /// weight.
    weight_above_edge: [f32; BUCKETS + 1],
    /// Factor applied to older samples when a sample is added.
    decay: f32,
}

impl LengthHistogram {
    fn new(half_life: f32) -> Self {
        Self {
            weight_above_edge: [0.0; BUCKETS + 1],
            decay: (-1.0 / half_life).exp2(),
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, tokens: u32) {
        let position = bucket_position(tokens as f32);
        for (edge, weight) in self.weight_above_edge.iter_mut().enumerate() {
            *weight *= self.decay;
            // Spread the sample over its bucket so that the survival function has no steps.
            *weight += (position + 1.0 - edge as f32).clamp(0.0, 1.0);
        }
    }

    /// Returns the total weight of all samples.
    #[must_use]
    pub fn weight(&self) -> f32 {
        self.weight_above_edge[0]
    }

    /// Returns the weight of the samples above `position`.
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
    /// Key of an organisation's histogram. A stale key falls back to the histogram of the class.
    pub struct HistogramKey;
}

/// Selects the histograms that predict a generation's length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LengthSource {
    /// Organisation of the request.
    pub organisation: id::OrganisationKey,
    /// Model of the request.
    pub model: id::ModelKey,
    /// Traffic class of the request.
    pub class: class::TrafficClass,
}

/// Survival function of one generation's total length.
#[derive(Clone, Copy, Debug)]
pub struct LengthCurve<'a> {
    fine: Option<&'a LengthHistogram>,
    coarse: Option<&'a LengthHistogram>,
    /// Maximum number of tokens that the generation may produce.
    max_tokens: f32,
    /// Position of `max_tokens`. The prior is uniform on the bucket axis up to it.
    max_position: f32,
}

impl LengthCurve<'_> {
    /// Returns the probability that the length exceeds `tokens`.
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

    /// Returns the expected further tokens of a generation that has produced `produced`.
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

/// Histogram of one organisation and its key in the index.
#[derive(Clone, Debug)]
struct FineEntry {
    source: LengthSource,
    histogram: LengthHistogram,
    /// Reference bit of the clock algorithm: set on use, cleared when the clock hand passes.
    recent: bool,
}

/// Histograms of one model over all organisations.
#[derive(Clone, Debug)]
struct CoarseEntry {
    classes: [LengthHistogram; 3],
    /// Histogram of all classes together.
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

/// Predicted remaining life of a generation that is observed at a random time instead of at its
/// start.
#[derive(Clone, Copy, Debug)]
pub struct ResidualCurve {
    /// Probability that it still runs at each horizon.
    pub alive: risk::HorizonRow,
    /// Expected total length of an output, in tokens.
    pub mean_length: f32,
}

/// All histograms of this process. Their number is bounded.
#[derive(Clone, Debug)]
pub struct LengthTable {
    coarse: slotmap::SecondaryMap<id::ModelKey, CoarseEntry>,
    fine: slotmap::SlotMap<HistogramKey, FineEntry>,
    /// Contains exactly the keys of `fine`.
    index: collections::HashMap<LengthSource, HistogramKey>,
    /// Keys of `fine` in the order in which the clock hand passes them.
    ring: Vec<HistogramKey>,
    hand: usize,
    /// Maximum number of organisations' histograms.
    capacity: usize,
}

impl LengthTable {
    /// Creates a table of at most `capacity` organisations' histograms.
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

    /// Adds the total length of a completed output.
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

    /// Returns the key of the organisation's histogram, or the null key if there is none.
    #[must_use]
    pub fn find(&self, source: LengthSource) -> HistogramKey {
        self.index.get(&source).copied().unwrap_or_default()
    }

    /// Returns the length curve from the most specific histograms available.
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

    /// Returns the prediction for a running generation of `model` whose start and class are
    /// unknown.
    ///
    /// The chance of observing an output while it runs is proportional to its length, so long
    /// outputs weigh more than short ones.
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

    /// Returns the number of organisations' histograms.
    #[must_use]
    pub fn len(&self) -> usize {
        self.fine.len()
    }

    /// Returns whether no sample was added.
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

    /// Clock algorithm: returns the first entry that was not used since the hand last passed it.
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
