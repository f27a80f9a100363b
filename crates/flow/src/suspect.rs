//! Which content crashes backend servers.
//!
//! Each death makes suspects of what ran there. Suspects run alone, so that a second death names
//! one of them. The verdict is a pure function of the set of deaths, whatever order they are
//! learnt in: tables of several entry VMs merge by uniting their records.

use std::{collections, time::Duration};

use base::{fingerprint::ContentHash, ops};

/// Records of one server's death that are at most this far apart are of the same death.
const SAME_DEATH_MS: u64 = 1_500;

/// Deaths that are remembered; the oldest goes first.
const DEATHS_KEPT: usize = 128;

/// Fingerprints kept of one death.
const SUSPECTS_KEPT: usize = 512;

/// How long things are remembered.
#[derive(Clone, Copy, Debug)]
pub struct SuspectLimits {
    /// Content that ran at one death is run alone for this long.
    pub suspected_for: Duration,
    /// Content that was found out is refused for this long.
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
    /// When it was noticed, milliseconds since 1970.
    pub at_ms: u64,
    /// What ran there.
    pub contents: collections::BTreeSet<ContentHash>,
}

/// A statement that content is innocent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClearedRecord {
    /// The content.
    pub content: ContentHash,
    /// Deaths before this no longer speak against it, milliseconds since 1970.
    pub at_ms: u64,
}

/// What is to be told to other entry VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SuspectDigest {
    /// Deaths.
    pub deaths: Vec<DeathRecord>,
    /// Content that ran alone to its end, or that an operator lifted.
    pub cleared: Vec<ClearedRecord>,
}

/// What to do with content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStanding {
    /// Nothing speaks against it.
    Clear,
    /// It runs alone.
    Suspect {
        /// Deaths at which it was there.
        deaths: u32,
    },
    /// It is refused.
    Quarantined {
        /// Time left, milliseconds.
        left_ms: u64,
    },
}

/// Deaths and what ran at them.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    limits: SuspectLimits,
    /// At most [`DEATHS_KEPT`], in order of learning.
    deaths: collections::VecDeque<DeathRecord>,
    cleared: collections::BTreeMap<ContentHash, u64>,
    /// Places in `deaths` that speak against content: it was there, and was not cleared since.
    /// Follows from the two above, like `culprits`.
    against: collections::BTreeMap<ContentHash, Vec<usize>>,
    /// What explains each of `deaths`.
    culprits: Vec<Option<ContentHash>>,
}

impl SuspectTable {
    /// An empty table.
    #[must_use]
    pub fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// A server died. Whether anything new was learnt.
    pub fn record_death(&mut self, record: DeathRecord) -> bool {
        let learnt = self.take_in(record);
        if learnt {
            self.index();
        }
        learnt
    }

    fn take_in(&mut self, mut record: DeathRecord) -> bool {
        while record.contents.len() > SUSPECTS_KEPT {
            record.contents.pop_last();
        }
        if let Some(held) = self.same_death(&record) {
            let before = held.contents.len();
            held.contents.append(&mut record.contents);
            held.at_ms = held.at_ms.min(record.at_ms);
            return held.contents.len() > before;
        }
        if self.deaths.len() == DEATHS_KEPT {
            self.deaths.pop_front();
        }
        self.deaths.push_back(record);
        true
    }

    /// Content ran alone to its end, or an operator lifted it. Whether that is news.
    pub fn clear(&mut self, content: ContentHash, at_ms: u64) -> bool {
        let newer = self.take_in_cleared(content, at_ms);
        if newer {
            self.index();
        }
        newer
    }

    fn take_in_cleared(&mut self, content: ContentHash, at_ms: u64) -> bool {
        let held = self.cleared.entry(content).or_default();
        let newer = *held < at_ms;
        *held = at_ms.max(*held);
        newer
    }

    /// Unites another's records with these. Whether anything new was learnt.
    pub fn merge(&mut self, digest: SuspectDigest) -> bool {
        let mut learnt = false;
        for record in digest.deaths {
            learnt |= self.take_in(record);
        }
        for record in digest.cleared {
            learnt |= self.take_in_cleared(record.content, record.at_ms);
        }
        if learnt {
            self.index();
        }
        learnt
    }

    /// Everything that others should know.
    #[must_use]
    pub fn digest(&self) -> SuspectDigest {
        self.digest_since(0)
    }

    /// What others should know of what happened at `since_ms` or later.
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

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now_ms: u64) {
        let kept_ms = millis(self.limits.quarantined_for.max(self.limits.suspected_for));
        let before = self.deaths.len();
        self.deaths
            .retain(|death| death.at_ms.saturating_add(kept_ms) > now_ms);
        self.cleared
            .retain(|_, at_ms| at_ms.saturating_add(kept_ms) > now_ms);
        if self.deaths.len() < before {
            self.index();
        }
    }

    /// What to do with `content`.
    #[must_use]
    pub fn standing(&self, content: ContentHash, now_ms: u64) -> ContentStanding {
        let mut deaths = 0;
        let mut open_deaths = 0;
        let mut newest_ms = 0;
        let mut convicted = false;
        for (death, culprit) in self.against(content) {
            deaths += 1;
            newest_ms = newest_ms.max(death.at_ms);
            convicted |= culprit == Some(content);
            open_deaths += u32::from(culprit.is_none());
        }
        let left_ms = |limit: Duration| {
            newest_ms
                .saturating_add(millis(limit))
                .saturating_sub(now_ms)
        };
        let quarantine_ms = left_ms(self.limits.quarantined_for);
        if convicted && quarantine_ms > 0 {
            return ContentStanding::Quarantined {
                left_ms: quarantine_ms,
            };
        }
        if open_deaths > 0 && left_ms(self.limits.suspected_for) > 0 {
            return ContentStanding::Suspect { deaths };
        }
        ContentStanding::Clear
    }

    /// Everything that is suspected or quarantined, for operators.
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

    /// Deaths that speak against `content`, each with what explains it.
    fn against(
        &self,
        content: ContentHash,
    ) -> impl Iterator<Item = (&DeathRecord, Option<ContentHash>)> {
        let places = self.against.get(&content).into_iter().flatten();
        places.map(|place| (&self.deaths[*place], self.culprits[*place]))
    }

    /// Works out what follows from the records.
    fn index(&mut self) {
        self.against.clear();
        for (place, death) in self.deaths.iter().enumerate() {
            for content in &death.contents {
                let cleared_ms = self.cleared.get(content);
                if cleared_ms.is_none_or(|cleared_ms| *cleared_ms < death.at_ms) {
                    self.against.entry(*content).or_default().push(place);
                }
            }
        }
        let places = self.deaths.iter().enumerate();
        self.culprits = places
            .map(|(place, death)| self.culprit(place, death))
            .collect();
    }

    /// The one content that explains a death: the only one there that was at another death too.
    ///
    /// Two such contents explain nothing yet: convicting both would refuse an innocent one.
    fn culprit(&self, place: usize, death: &DeathRecord) -> Option<ContentHash> {
        let mut repeated = death.contents.iter().filter(|content| {
            let places = self.against.get(*content);
            places.is_some_and(|places| places.len() > 1 && places.contains(&place))
        });
        match (repeated.next(), repeated.next()) {
            (Some(content), None) => Some(*content),
            _ => None,
        }
    }

    fn same_death(&mut self, record: &DeathRecord) -> Option<&mut DeathRecord> {
        self.deaths.iter_mut().find(|held| {
            held.server == record.server && held.at_ms.abs_diff(record.at_ms) <= SAME_DEATH_MS
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
