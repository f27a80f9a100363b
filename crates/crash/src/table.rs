//! Crashes of servers, the contents that they speak against, and contents that ran well.
//!
//! What follows depends only on the set of records and not on the order in which they arrive: entry
//! VMs merge their tables by set union.

use std::{cmp, collections, time::Duration};

use crate::verdict;

/// Records of the same server's death at most this far apart describe one death.
const SAME_DEATH_WINDOW_MS: u64 = 1_500;
/// A server that answers what was sent between these times after its alleged death did not die.
/// Clocks differ by less than the first one; after the second one a successor may answer.
const REFUTATION_MS: std::ops::Range<u64> = 250..2_000;

/// Durations and sizes of the evidence.
#[derive(Clone, Copy, Debug)]
pub struct SuspectLimits {
    /// Time for which content that ran at one death is a suspect.
    pub suspected_for: Duration,
    /// Time for which content identified as the cause of deaths is refused.
    pub quarantined_for: Duration,
    /// Time for which tied content is refused that was at just so many deaths that it is refused.
    pub tied_for: Duration,
    /// Time between the first and the last death from which content that requests share is refused, if
    /// it had made progress at any of them.
    pub min_late_span: Duration,
    /// Time for which deaths are remembered.
    pub retained_for: Duration,
    /// Time after content ran well for which deaths do not count against it.
    pub cleared_for: Duration,
    /// Maximum number of deaths kept; the oldest is dropped first.
    pub max_deaths: usize,
    /// Maximum number of contents kept for one death.
    pub max_contents: usize,
}

impl Default for SuspectLimits {
    fn default() -> Self {
        Self {
            suspected_for: Duration::from_mins(2),
            quarantined_for: Duration::from_mins(15),
            tied_for: Duration::from_mins(1),
            min_late_span: Duration::from_secs(2),
            retained_for: Duration::from_mins(15),
            cleared_for: Duration::ZERO,
            max_deaths: 128,
            max_contents: 512,
        }
    }
}

/// One death of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(bound(
    deserialize = "S: serde::Deserialize<'de>, K: Ord + serde::Deserialize<'de>",
    serialize = "S: serde::Serialize, K: serde::Serialize"
))]
pub struct DeathRecord<S, K> {
    /// Name of the server.
    pub server: S,
    /// Time of detection in milliseconds, by a clock that all users of the table share.
    pub at_ms: u64,
    /// Contents that the death speaks against.
    pub contents: collections::BTreeSet<K>,
    /// Those of `contents` that had made progress there, or were given up before: weaker evidence, since
    /// sound ones are at deaths so as well.
    #[serde(default = "collections::BTreeSet::new")]
    pub late: collections::BTreeSet<K>,
}

impl<S, K: Copy + Ord> DeathRecord<S, K> {
    fn has_early(&self, content: K) -> bool {
        self.contents.contains(&content) && !self.late.contains(&content)
    }

    /// Adds another record of the same death. Content that had made no progress in one of them is
    /// not late.
    fn unite(&mut self, mut other: Self, max_contents: usize) {
        let mut late = &self.late | &other.late;
        late.retain(|content| !self.has_early(*content) && !other.has_early(*content));
        self.contents.append(&mut other.contents);
        self.late = late;
        self.truncate(max_contents);
        self.at_ms = self.at_ms.min(other.at_ms);
    }

    /// Drops the greatest contents, the same ones on all VMs.
    fn truncate(&mut self, max: usize) {
        while self.contents.len() > max {
            self.contents.pop_last();
        }
        self.late.retain(|content| self.contents.contains(content));
    }
}

/// Clears content of deaths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClearedRecord<K> {
    /// The content.
    pub content: K,
    /// Deaths up to this time, and for `cleared_for` after it, do not count against the content, in
    /// milliseconds.
    pub at_ms: u64,
    /// What the content was seen to do.
    #[serde(default)]
    pub extent: RunExtent,
}

/// How far content ran well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum RunExtent {
    /// Beyond its beginning: it is cleared of deaths at which it had made no progress.
    Beginning,
    /// To its end, or as far as any content runs that kills its server: it is cleared of all deaths.
    #[default]
    Whole,
}

/// When content last ran well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClearedTimes {
    /// Beyond its beginning, in milliseconds; never before `whole_ms`.
    pub beginning_ms: u64,
    /// To its end.
    pub whole_ms: Option<u64>,
}

impl ClearedTimes {
    /// When it last ran well so far.
    #[must_use]
    pub const fn of(&self, extent: RunExtent) -> Option<u64> {
        match extent {
            RunExtent::Beginning => Some(self.beginning_ms),
            RunExtent::Whole => self.whole_ms,
        }
    }

    /// Each extent that it ran well to, with the time, the farthest first.
    pub fn all(&self) -> impl Iterator<Item = (RunExtent, u64)> + use<> {
        let beginning = (RunExtent::Beginning, self.beginning_ms);
        let whole = self.whole_ms.map(|at_ms| (RunExtent::Whole, at_ms));
        whole.into_iter().chain([beginning])
    }

    /// Takes a record. Returns whether it is newer.
    pub fn take(&mut self, at_ms: u64, extent: RunExtent) -> bool {
        let before = *self;
        self.beginning_ms = self.beginning_ms.max(at_ms);
        if extent == RunExtent::Whole {
            self.whole_ms = self.whole_ms.max(Some(at_ms));
        }
        *self != before
    }
}

/// Records exchanged between entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(bound(
    deserialize = "S: serde::Deserialize<'de>, K: Ord + serde::Deserialize<'de>",
    serialize = "S: serde::Serialize, K: serde::Serialize"
))]
pub struct SuspectDigest<S, K> {
    /// Deaths.
    pub deaths: Vec<DeathRecord<S, K>>,
    /// Content that ran to completion, or whose quarantine an operator lifted.
    pub cleared: Vec<ClearedRecord<K>>,
}

impl<S, K> Default for SuspectDigest<S, K> {
    fn default() -> Self {
        Self {
            deaths: Vec::new(),
            cleared: Vec::new(),
        }
    }
}

/// How content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStanding {
    /// The content runs without restriction.
    Clear,
    /// The content may have caused deaths.
    Suspect {
        /// Deaths during which it was running.
        deaths: u32,
    },
    /// The content is refused.
    Quarantined {
        /// Time left, milliseconds.
        left_ms: u64,
    },
}

/// Deaths of servers with the contents that ran there, and what follows from them.
#[derive(Clone, Debug)]
pub struct SuspectTable<S, K> {
    limits: SuspectLimits,
    /// At most `max_deaths`, in the order in which they were recorded.
    deaths: collections::VecDeque<DeathRecord<S, K>>,
    cleared: collections::BTreeMap<K, ClearedTimes>,
    /// Servers that answered after deaths in `deaths`, with the times of those answers' requests, one
    /// for each death.
    answered: collections::BTreeMap<S, collections::BTreeSet<u64>>,
    /// Indices into `deaths` that count against each content. Derived from the fields above, like
    /// those below.
    against: verdict::EvidenceMap<K>,
    /// Those of them at which it had made no progress.
    early: verdict::EvidenceMap<K>,
    verdict: verdict::CrashVerdict<K>,
}

impl<S: Clone + Ord, K: verdict::SuspectContent> Default for SuspectTable<S, K> {
    fn default() -> Self {
        Self::new(SuspectLimits::default())
    }
}

impl<S: Clone + Ord, K: verdict::SuspectContent> SuspectTable<S, K> {
    /// Creates an empty table.
    #[must_use]
    pub const fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            deaths: collections::VecDeque::new(),
            cleared: collections::BTreeMap::new(),
            answered: collections::BTreeMap::new(),
            against: collections::BTreeMap::new(),
            early: collections::BTreeMap::new(),
            verdict: verdict::CrashVerdict {
                causes: Vec::new(),
                tied: collections::BTreeMap::new(),
                late: collections::BTreeSet::new(),
            },
        }
    }

    /// Durations and sizes that the table was created with.
    #[must_use]
    pub const fn limits(&self) -> &SuspectLimits {
        &self.limits
    }

    /// Records a server's death. Returns whether the record was new or added contents.
    pub fn record_death(&mut self, record: DeathRecord<S, K>) -> bool {
        let is_new = self.insert_death(record);
        if is_new {
            self.index();
        }
        is_new
    }

    fn insert_death(&mut self, mut record: DeathRecord<S, K>) -> bool {
        let max_contents = self.limits.max_contents;
        record.truncate(max_contents);
        if let Some(held) = self.same_death(&record) {
            let before = (held.contents.clone(), held.late.clone());
            held.unite(record, max_contents);
            return (&held.contents, &held.late) != (&before.0, &before.1);
        }
        if self.deaths.len() == self.limits.max_deaths {
            let Some(oldest) = self.oldest_death() else {
                return false;
            };
            if self.deaths[oldest].at_ms > record.at_ms {
                return false;
            }
            self.deaths.remove(oldest);
        }
        self.deaths.push_back(record);
        true
    }

    fn oldest_death(&self) -> Option<usize> {
        let deaths = self.deaths.iter().enumerate();
        let oldest = deaths.min_by_key(|(_, death)| death.at_ms);
        oldest.map(|(index, _)| index)
    }

    /// Clears content that ran to completion or whose quarantine an operator lifted. Returns
    /// whether this is newer than the last such record.
    pub fn clear(&mut self, content: K, at_ms: u64) -> bool {
        self.clear_to(content, at_ms, RunExtent::Whole)
    }

    /// Clears content that ran well so far. Returns whether this is newer than the last such record.
    pub fn clear_to(&mut self, content: K, at_ms: u64, extent: RunExtent) -> bool {
        let newer = self.insert_cleared(content, at_ms, extent);
        if newer {
            self.index();
        }
        newer
    }

    fn insert_cleared(&mut self, content: K, at_ms: u64, extent: RunExtent) -> bool {
        let held = self.cleared.entry(content).or_default();
        held.take(at_ms, extent)
    }

    /// Records that a server answered a request that was sent at `sent_ms`. Returns whether that
    /// refutes a death which counted until now.
    pub fn record_answer(&mut self, server: &S, sent_ms: u64) -> bool {
        let refutes = |death: &DeathRecord<S, K>| {
            death.server == *server
                && is_refutation(death.at_ms, sent_ms)
                && !self.is_refuted(death)
        };
        if !self.deaths.iter().any(refutes) {
            return false;
        }
        let times = self.answered.entry(server.clone()).or_default();
        times.insert(sent_ms);
        self.index();
        true
    }

    /// When a request was sent that a server answered after its alleged death.
    #[must_use]
    pub fn answered_at(&self, death: &DeathRecord<S, K>) -> Option<u64> {
        let mut times = self.answered.get(&death.server)?.iter().copied();
        times.find(|sent_ms| is_refutation(death.at_ms, *sent_ms))
    }

    fn is_refuted(&self, death: &DeathRecord<S, K>) -> bool {
        self.answered_at(death).is_some()
    }

    /// Merges the records of another table. Returns whether any of them was new.
    pub fn merge(&mut self, digest: SuspectDigest<S, K>) -> bool {
        let mut is_new = false;
        for record in digest.deaths {
            is_new |= self.insert_death(record);
        }
        for record in digest.cleared {
            is_new |= self.insert_cleared(record.content, record.at_ms, record.extent);
        }
        if is_new {
            self.index();
        }
        is_new
    }

    /// All records, for other entry VMs.
    #[must_use]
    pub fn digest(&self) -> SuspectDigest<S, K> {
        self.digest_since(0)
    }

    /// Records of `since_ms` or later, for other entry VMs.
    #[must_use]
    pub fn digest_since(&self, since_ms: u64) -> SuspectDigest<S, K> {
        let deaths = self.deaths.iter().filter(|death| death.at_ms >= since_ms);
        let cleared = self.cleared.iter().flat_map(|(content, times)| {
            times.all().map(|(extent, at_ms)| ClearedRecord {
                content: *content,
                at_ms,
                extent,
            })
        });
        SuspectDigest {
            deaths: deaths.cloned().collect(),
            cleared: cleared.filter(|record| record.at_ms >= since_ms).collect(),
        }
    }

    /// Whether no death is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.deaths.is_empty()
    }

    /// All deaths, refuted ones too, in the order in which they were recorded.
    pub fn deaths(&self) -> impl DoubleEndedIterator<Item = &DeathRecord<S, K>> {
        self.deaths.iter()
    }

    /// When content last ran well, if that is known.
    #[must_use]
    pub fn cleared_at(&self, content: K) -> Option<ClearedTimes> {
        self.cleared.get(&content).copied()
    }

    /// Whether any death names a content.
    #[must_use]
    pub fn names(&self, content: K) -> bool {
        self.deaths
            .iter()
            .any(|death| death.contents.contains(&content))
    }

    /// Drops records that are too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        let retention_ms = millis(self.limits.retained_for);
        let is_kept = |at_ms: u64| at_ms.saturating_add(retention_ms) > now_ms;
        let before = self.deaths.len();
        self.deaths.retain(|death| is_kept(death.at_ms));
        self.cleared.retain(|_, times| is_kept(times.beginning_ms));
        self.answered.retain(|_, times| {
            times.retain(|sent_ms| is_kept(*sent_ms));
            !times.is_empty()
        });
        if self.deaths.len() < before {
            self.index();
        }
    }

    /// Whether `content` may run freely, is a suspect, or is quarantined.
    #[must_use]
    pub fn standing(&self, content: K, now_ms: u64) -> ContentStanding {
        let is_cause = self.verdict.causes.contains(&Some(content));
        let left_ms = if is_cause {
            self.quarantine_ms(content, now_ms)
        } else {
            self.tied_quarantine_ms(content, now_ms)
        };
        if left_ms > 0 {
            return ContentStanding::Quarantined { left_ms };
        }
        let mut deaths = 0;
        let mut unexplained_deaths = 0;
        let mut newest_ms = 0;
        for (death, cause) in self.of_evidence(&self.early, content) {
            deaths += 1;
            newest_ms = newest_ms.max(death.at_ms);
            unexplained_deaths += u32::from(cause.is_none());
        }
        let suspected_until_ms = newest_ms.saturating_add(millis(self.limits.suspected_for));
        if unexplained_deaths > 0 && suspected_until_ms > now_ms {
            return ContentStanding::Suspect { deaths };
        }
        ContentStanding::Clear
    }

    /// For which of its contents a request is refused, and the time left in milliseconds: for a cause,
    /// or if it has all contents that are tied, of which one is the cause.
    #[must_use]
    pub fn quarantine(&self, contents: &[K], now_ms: u64) -> Option<(K, u64)> {
        contents.iter().find_map(|content| {
            let left_ms = match self.standing(*content, now_ms) {
                ContentStanding::Quarantined { left_ms } => left_ms,
                _ if self.has_all_tied(*content, contents) => self.quarantine_ms(*content, now_ms),
                _ => 0,
            };
            (left_ms > 0).then_some((*content, left_ms))
        })
    }

    /// Whether content is a suspect, or a request may be refused for it.
    #[must_use]
    pub fn is_accused(&self, content: K, now_ms: u64) -> bool {
        let suspected_ms = millis(self.limits.suspected_for);
        let is_suspect = |(death, cause): (&DeathRecord<S, K>, Option<K>)| {
            cause.is_none() && death.at_ms.saturating_add(suspected_ms) > now_ms
        };
        self.against(content).any(is_suspect) || self.is_refused(content, now_ms)
    }

    /// Whether a request may be refused for content: as a cause, or as one of those that are tied.
    #[must_use]
    pub fn is_refused(&self, content: K, now_ms: u64) -> bool {
        let is_cause = self.verdict.causes.contains(&Some(content));
        let is_tied = self.verdict.tied.contains_key(&content);
        (is_cause || is_tied) && self.quarantine_ms(content, now_ms) > 0
    }

    fn has_all_tied(&self, content: K, contents: &[K]) -> bool {
        let rivals = self.rivals(content);
        rivals.is_some_and(|rivals| rivals.iter().all(|rival| contents.contains(rival)))
    }

    /// Whether content is tied, and was at so many deaths that it is refused by itself.
    fn is_tied_often(&self, content: K) -> bool {
        let is_tied = self.verdict.tied.contains_key(&content) && self.is_spread(content);
        is_tied && self.against(content).count() >= content.max_tied_crashes()
    }

    /// Contents that are refused by themselves though they are tied, whether or not they still are.
    #[must_use]
    pub fn tied_often(&self) -> collections::BTreeSet<K> {
        let tied = self.verdict.tied.keys().copied();
        tied.filter(|content| self.is_tied_often(*content))
            .collect()
    }

    /// Time left of the quarantine of a cause.
    fn quarantine_ms(&self, content: K, now_ms: u64) -> u64 {
        if !self.is_spread(content) {
            return 0;
        }
        self.left_ms(content, self.limits.quarantined_for, now_ms)
    }

    /// Time left of the quarantine of content that is refused though it is tied. It is short at first:
    /// one of what is tied is the cause, and the others are sound.
    fn tied_quarantine_ms(&self, content: K, now_ms: u64) -> u64 {
        let limits = &self.limits;
        let deaths = self.against(content).count();
        match deaths.cmp(&content.max_tied_crashes()) {
            _ if !self.is_tied_often(content) => 0,
            cmp::Ordering::Greater => self.left_ms(content, limits.quarantined_for, now_ms),
            _ => self.left_ms(content, limits.tied_for, now_ms),
        }
    }

    /// Whether the evidence against content suffices in time. What many requests share is at all deaths
    /// of a short time, before any of these requests has run for long.
    fn is_spread(&self, content: K) -> bool {
        if content.breadth() == 0 || !self.verdict.late.contains(&content) {
            return true;
        }
        let times = || self.against(content).map(|(death, _)| death.at_ms);
        let (first_ms, last_ms) = (times().min(), times().max());
        let span_ms = last_ms.unwrap_or_default() - first_ms.unwrap_or_default();
        span_ms >= millis(self.limits.min_late_span)
    }

    /// Time left until `duration` after the newest death that counts against content.
    fn left_ms(&self, content: K, duration: Duration, now_ms: u64) -> u64 {
        let deaths = self.against(content).map(|(death, _)| death.at_ms);
        let newest_ms = deaths.max().unwrap_or_default();
        let until_ms = newest_ms.saturating_add(millis(duration));
        until_ms.saturating_sub(now_ms)
    }

    /// Contents that deaths count against.
    pub fn suspects(&self) -> impl Iterator<Item = K> {
        self.against.keys().copied()
    }

    /// Contents identified as causes of deaths and refused for that, without repetition, whether or
    /// not they still are.
    #[must_use]
    pub fn causes(&self) -> collections::BTreeSet<K> {
        let causes = self.verdict.causes.iter().flatten().copied();
        causes.filter(|content| self.is_spread(*content)).collect()
    }

    /// Contents that are tied, whether or not requests are still refused for them.
    #[must_use]
    pub fn tied(&self) -> collections::BTreeSet<K> {
        self.verdict.tied.keys().copied().collect()
    }

    /// Contents of which one is a cause, as `content` may be.
    #[must_use]
    pub fn rivals(&self, content: K) -> Option<&collections::BTreeSet<K>> {
        self.verdict.tied.get(&content)
    }

    /// All deaths with their identified causes, in the order in which they were recorded.
    pub fn deaths_with_causes(&self) -> impl Iterator<Item = (&DeathRecord<S, K>, Option<K>)> {
        let causes = self.verdict.causes.iter().copied();
        self.deaths.iter().zip(causes)
    }

    /// Deaths that count against `content`, each with its identified cause.
    pub fn against(&self, content: K) -> impl Iterator<Item = (&DeathRecord<S, K>, Option<K>)> {
        self.of_evidence(&self.against, content)
    }

    fn of_evidence<'a>(
        &'a self,
        evidence: &'a verdict::EvidenceMap<K>,
        content: K,
    ) -> impl Iterator<Item = (&'a DeathRecord<S, K>, Option<K>)> {
        let evidence = evidence.get(&content).into_iter();
        let indices = evidence.flat_map(|evidence| &evidence.crashes);
        indices.map(|index| (&self.deaths[*index], self.verdict.causes[*index]))
    }

    /// Recomputes `against`, `early` and `verdict` from the records.
    fn index(&mut self) {
        let mut against = verdict::EvidenceMap::new();
        let mut early = verdict::EvidenceMap::new();
        for (index, death) in self.deaths.iter().enumerate() {
            if self.is_refuted(death) {
                continue;
            }
            for &content in &death.contents {
                self.add_evidence(&mut against, content, index, RunExtent::Whole);
                if !death.late.contains(&content) {
                    self.add_evidence(&mut early, content, index, RunExtent::Beginning);
                }
            }
        }
        self.verdict = verdict::infer(&early, &against, self.deaths.len());
        self.against = against;
        self.early = early;
    }

    /// Counts a death against content, unless that ran well so far at about that time or later.
    fn add_evidence(
        &self,
        evidence: &mut verdict::EvidenceMap<K>,
        content: K,
        index: usize,
        extent: RunExtent,
    ) {
        let cleared_for_ms = millis(self.limits.cleared_for);
        let times = self.cleared.get(&content);
        let cleared_ms = times.and_then(|times| times.of(extent));
        let until_ms = cleared_ms.map(|at_ms| at_ms.saturating_add(cleared_for_ms));
        if until_ms.is_none_or(|until_ms| until_ms < self.deaths[index].at_ms) {
            let evidence: &mut verdict::ContentEvidence = evidence.entry(content).or_default();
            evidence.crashes.push(index);
            evidence.ran_well = cleared_ms.is_some();
        }
    }

    fn same_death(&mut self, record: &DeathRecord<S, K>) -> Option<&mut DeathRecord<S, K>> {
        self.deaths.iter_mut().find(|held| {
            held.server == record.server
                && held.at_ms.abs_diff(record.at_ms) <= SAME_DEATH_WINDOW_MS
        })
    }
}

/// Whether an answer to a request that was sent at `sent_ms` shows that a server did not die at
/// `died_ms`.
fn is_refutation(died_ms: u64, sent_ms: u64) -> bool {
    let after_ms = sent_ms.checked_sub(died_ms);
    after_ms.is_some_and(|after_ms| REFUTATION_MS.contains(&after_ms))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
