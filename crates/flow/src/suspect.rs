//! Identifies content that crashes backend servers.
//!
//! When a server dies, all content that ran there becomes suspect. Suspects run alone, so that a
//! second death identifies the one that caused it. The result depends only on the set of deaths
//! and not on the order in which they arrive: entry VMs merge their tables by set union.

use std::{collections, time::Duration};

use base::{fingerprint::ContentHash, ops};

/// Records of the same server's death at most this far apart describe one death.
const SAME_DEATH_WINDOW_MS: u64 = 1_500;

/// Maximum number of deaths kept; the oldest is dropped first.
const MAX_DEATHS: usize = 128;

/// Maximum number of fingerprints kept for one death.
const MAX_SUSPECTS_PER_DEATH: usize = 512;

/// Durations of suspicion and quarantine.
#[derive(Clone, Copy, Debug)]
pub struct SuspectLimits {
    /// Time for which content that ran at one death runs alone.
    pub suspected_for: Duration,
    /// Time for which content identified as the cause of deaths is refused.
    pub quarantined_for: Duration,
}

impl Default for SuspectLimits {
    fn default() -> Self {
        Self {
            suspected_for: Duration::from_mins(2),
            quarantined_for: Duration::from_mins(15),
        }
    }
}

/// One death of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct DeathRecord {
    /// Name of the server.
    pub server: String,
    /// Time of detection, milliseconds since 1970.
    pub at_ms: u64,
    /// Contents that ran there.
    pub contents: collections::BTreeSet<ContentHash>,
}

/// Clears content of deaths up to a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClearedRecord {
    /// The content.
    pub content: ContentHash,
    /// Deaths up to this time no longer count against it, milliseconds since 1970.
    pub at_ms: u64,
}

/// Records exchanged between entry VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SuspectDigest {
    /// Deaths.
    pub deaths: Vec<DeathRecord>,
    /// Content that ran to completion, or whose quarantine an operator lifted.
    pub cleared: Vec<ClearedRecord>,
}

/// How content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStanding {
    /// The content runs without restriction.
    Clear,
    /// The content runs alone on a server.
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
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    limits: SuspectLimits,
    /// At most [`MAX_DEATHS`], in the order in which they were recorded.
    deaths: collections::VecDeque<DeathRecord>,
    cleared: collections::BTreeMap<ContentHash, u64>,
    /// Indices into `deaths` that count against each content: it ran there and has not been
    /// cleared since. Derived from the two fields above, like `culprits`.
    against: collections::BTreeMap<ContentHash, Vec<usize>>,
    /// The content identified as the cause of each of `deaths`.
    culprits: Vec<Option<ContentHash>>,
}

impl SuspectTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Records a server's death. Returns whether the record was new or added contents.
    pub fn record_death(&mut self, record: DeathRecord) -> bool {
        let is_new = self.insert_death(record);
        if is_new {
            self.index();
        }
        is_new
    }

    fn insert_death(&mut self, mut record: DeathRecord) -> bool {
        while record.contents.len() > MAX_SUSPECTS_PER_DEATH {
            record.contents.pop_last();
        }
        if let Some(held) = self.same_death(&record) {
            let before = held.contents.len();
            held.contents.append(&mut record.contents);
            held.at_ms = held.at_ms.min(record.at_ms);
            return held.contents.len() > before;
        }
        if self.deaths.len() == MAX_DEATHS {
            self.deaths.pop_front();
        }
        self.deaths.push_back(record);
        true
    }

    /// Clears content that ran to completion or whose quarantine an operator lifted. Returns
    /// whether this is newer than the last such record.
    pub fn clear(&mut self, content: ContentHash, at_ms: u64) -> bool {
        let newer = self.insert_cleared(content, at_ms);
        if newer {
            self.index();
        }
        newer
    }

    fn insert_cleared(&mut self, content: ContentHash, at_ms: u64) -> bool {
        let held = self.cleared.entry(content).or_default();
        let newer = *held < at_ms;
        *held = at_ms.max(*held);
        newer
    }

    /// Merges the records of another table. Returns whether any of them was new.
    pub fn merge(&mut self, digest: SuspectDigest) -> bool {
        let mut is_new = false;
        for record in digest.deaths {
            is_new |= self.insert_death(record);
        }
        for record in digest.cleared {
            is_new |= self.insert_cleared(record.content, record.at_ms);
        }
        if is_new {
            self.index();
        }
        is_new
    }

    /// All records, for other entry VMs.
    #[must_use]
    pub fn digest(&self) -> SuspectDigest {
        self.digest_since(0)
    }

    /// Records of `since_ms` or later, for other entry VMs.
    #[must_use]
    pub fn digest_since(&self, since_ms: u64) -> SuspectDigest {
        let deaths = self.deaths.iter().filter(|death| death.at_ms >= since_ms);
        let cleared = self.cleared.iter().filter(|(_, at_ms)| **at_ms >= since_ms);
        SuspectDigest {
            deaths: deaths.cloned().collect(),
            cleared: cleared
                .map(|(content, at_ms)| ClearedRecord {
                    content: *content,
                    at_ms: *at_ms,
                })
                .collect(),
        }
    }

    /// Drops records older than both durations of [`SuspectLimits`].
    pub fn expire(&mut self, now_ms: u64) {
        let retention_ms = millis(self.limits.quarantined_for.max(self.limits.suspected_for));
        let before = self.deaths.len();
        self.deaths
            .retain(|death| death.at_ms.saturating_add(retention_ms) > now_ms);
        self.cleared
            .retain(|_, at_ms| at_ms.saturating_add(retention_ms) > now_ms);
        if self.deaths.len() < before {
            self.index();
        }
    }

    /// Whether `content` may run freely, runs alone as a suspect, or is quarantined.
    #[must_use]
    pub fn standing(&self, content: ContentHash, now_ms: u64) -> ContentStanding {
        let mut deaths = 0;
        let mut unexplained_deaths = 0;
        let mut newest_ms = 0;
        let mut is_culprit = false;
        for (death, culprit) in self.against(content) {
            deaths += 1;
            newest_ms = newest_ms.max(death.at_ms);
            is_culprit |= culprit == Some(content);
            unexplained_deaths += u32::from(culprit.is_none());
        }
        let left_ms = |limit: Duration| {
            newest_ms
                .saturating_add(millis(limit))
                .saturating_sub(now_ms)
        };
        let quarantine_ms = left_ms(self.limits.quarantined_for);
        if is_culprit && quarantine_ms > 0 {
            return ContentStanding::Quarantined {
                left_ms: quarantine_ms,
            };
        }
        if unexplained_deaths > 0 && left_ms(self.limits.suspected_for) > 0 {
            return ContentStanding::Suspect { deaths };
        }
        ContentStanding::Clear
    }

    /// Lists all suspected and quarantined contents, for operators.
    #[must_use]
    pub fn list(&self, now_ms: u64) -> Vec<ops::QuarantineStatus> {
        let contents = self.against.keys();
        contents
            .filter_map(|content| self.status(*content, now_ms))
            .collect()
    }

    fn status(&self, content: ContentHash, now_ms: u64) -> Option<ops::QuarantineStatus> {
        let newest_ms = self.against(content).map(|(death, _)| death.at_ms).max()?;
        let (state, left_ms) = match self.standing(content, now_ms) {
            ContentStanding::Clear => return None,
            ContentStanding::Suspect { .. } => {
                let end_ms = newest_ms.saturating_add(millis(self.limits.suspected_for));
                (ops::QuarantineState::Suspect, end_ms.saturating_sub(now_ms))
            }
            ContentStanding::Quarantined { left_ms } => {
                (ops::QuarantineState::Quarantined, left_ms)
            }
        };
        let servers: Vec<String> = self
            .against(content)
            .map(|(death, _)| death.server.clone())
            .collect();
        Some(ops::QuarantineStatus {
            fingerprint: content,
            state,
            deaths: u32::try_from(servers.len()).unwrap_or(u32::MAX),
            servers,
            organisation: String::new(),
            left_ms,
        })
    }

    /// Deaths that count against `content`, each with its identified cause.
    fn against(
        &self,
        content: ContentHash,
    ) -> impl Iterator<Item = (&DeathRecord, Option<ContentHash>)> {
        let indices = self.against.get(&content).into_iter().flatten();
        indices.map(|index| (&self.deaths[*index], self.culprits[*index]))
    }

    /// Recomputes `against` and `culprits` from the records.
    fn index(&mut self) {
        self.against.clear();
        for (index, death) in self.deaths.iter().enumerate() {
            for content in &death.contents {
                let cleared_ms = self.cleared.get(content);
                if cleared_ms.is_none_or(|cleared_ms| *cleared_ms < death.at_ms) {
                    self.against.entry(*content).or_default().push(index);
                }
            }
        }
        let deaths = self.deaths.iter().enumerate();
        self.culprits = deaths
            .map(|(index, death)| self.culprit(index, death))
            .collect();
    }

    /// The content that caused a death: the only one there that also ran at another death.
    ///
    /// With two such contents no cause is identified yet: quarantining both would refuse an
    /// innocent one.
    fn culprit(&self, index: usize, death: &DeathRecord) -> Option<ContentHash> {
        let mut repeated = death.contents.iter().filter(|content| {
            let indices = self.against.get(*content);
            indices.is_some_and(|indices| indices.len() > 1 && indices.contains(&index))
        });
        match (repeated.next(), repeated.next()) {
            (Some(content), None) => Some(*content),
            _ => None,
        }
    }

    fn same_death(&mut self, record: &DeathRecord) -> Option<&mut DeathRecord> {
        self.deaths.iter_mut().find(|held| {
            held.server == record.server
                && held.at_ms.abs_diff(record.at_ms) <= SAME_DEATH_WINDOW_MS
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
