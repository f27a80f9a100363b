//! Infers the causes of crashes.

use std::{cmp, collections};

use base::fingerprint;

/// Content that may crash servers: a request, or something that requests share.
pub trait SuspectContent: Copy + Ord {
    /// Number of crashes from which the content may be their cause.
    fn min_crashes(&self) -> usize {
        2
    }

    /// The same for crashes at some of which it had made progress: sound content that runs for long is
    /// at more crashes by chance.
    fn min_late_crashes(&self) -> usize {
        3
    }

    /// Number of crashes from which tied content is refused, whether or not a request has what it is
    /// tied with.
    fn max_tied_crashes(&self) -> usize {
        3
    }

    /// How many requests share such content. Of two contents that explain the same crashes, the
    /// narrower one is their cause: refusing it affects fewer requests.
    fn breadth(&self) -> u8 {
        0
    }
}

impl SuspectContent for fingerprint::ContentHash {}

/// Crashes that count against one content.
#[derive(Clone, Debug, Default)]
pub struct ContentEvidence {
    /// Numbers of the crashes, in order.
    pub crashes: Vec<usize>,
    /// Whether the content has ever run well.
    pub ran_well: bool,
}

/// Evidence by content.
pub type EvidenceMap<K> = collections::BTreeMap<K, ContentEvidence>;

/// What follows from the evidence.
#[derive(Clone, Debug)]
pub struct CrashVerdict<K> {
    /// Cause of each crash, if it is identified.
    pub causes: Vec<Option<K>>,
    /// Contents that explain as many crashes as others that were there, each with those others. One
    /// of them is the cause.
    pub tied: collections::BTreeMap<K, collections::BTreeSet<K>>,
    /// Contents that are causes or tied by crashes at some of which they had made progress.
    pub late: collections::BTreeSet<K>,
}

impl<K> Default for CrashVerdict<K> {
    fn default() -> Self {
        Self {
            causes: Vec::new(),
            tied: collections::BTreeMap::new(),
            late: collections::BTreeSet::new(),
        }
    }
}

/// How well content explains crashes; the greatest is the cause: whether it never ran well, how many
/// crashes without a cause it was at, how few requests share it, and at how many crashes it was.
type ContentRank = (bool, usize, cmp::Reverse<u8>, usize);

/// A candidate, with the crashes that it explains.
type ContentClaim<K> = (K, Vec<usize>);

/// Infers the causes of `count` crashes, from those at which contents had made no progress and then
/// from all.
///
/// The content that explains most crashes is the cause of all of them, those that never ran well
/// first; what is left is explained in the same way. Contents that were at the same crashes and rank
/// alike are tied, and identify no cause. One of the crashes from which content may be a cause may have
/// another one already: causes whose crashes coincide are found one after the other.
#[must_use]
pub fn infer<K: SuspectContent>(
    early: &EvidenceMap<K>,
    all: &EvidenceMap<K>,
    count: usize,
) -> CrashVerdict<K> {
    let mut verdict = CrashVerdict {
        causes: vec![None; count],
        ..CrashVerdict::default()
    };
    let mut explained = vec![false; count];
    verdict.explain(early, K::min_crashes, &mut explained);
    let early = verdict.named();
    verdict.explain(all, K::min_late_crashes, &mut explained);
    verdict.late = &verdict.named() - &early;
    verdict
}

impl<K: SuspectContent> CrashVerdict<K> {
    /// Contents that are causes or tied.
    fn named(&self) -> collections::BTreeSet<K> {
        let causes = self.causes.iter().flatten();
        causes.chain(self.tied.keys()).copied().collect()
    }

    /// Explains crashes by contents that are at so many of them.
    fn explain(
        &mut self,
        evidence: &EvidenceMap<K>,
        min_crashes: impl Fn(&K) -> usize,
        explained: &mut [bool],
    ) {
        loop {
            let leaders = leaders(evidence, &min_crashes, explained);
            if leaders.is_empty() {
                return;
            }
            for (content, crashes) in &leaders {
                let rivals = leaders.iter().filter(|(other, theirs)| {
                    other != content && theirs.iter().any(|crash| crashes.contains(crash))
                });
                let rivals: collections::BTreeSet<_> = rivals.map(|(other, _)| *other).collect();
                let is_tied = !rivals.is_empty();
                if is_tied {
                    self.tied.insert(*content, rivals);
                }
                for &crash in crashes {
                    explained[crash] = true;
                    if !is_tied {
                        self.causes[crash] = Some(*content);
                    }
                }
            }
        }
    }
}

/// Contents that explain most of the crashes without a cause.
fn leaders<K: SuspectContent>(
    evidence: &EvidenceMap<K>,
    min_crashes: impl Fn(&K) -> usize,
    explained: &[bool],
) -> Vec<ContentClaim<K>> {
    let mut best: Option<ContentRank> = None;
    let mut leaders = Vec::new();
    for (content, against) in evidence {
        let crashes = against.crashes.iter().copied();
        let crashes: Vec<_> = crashes.filter(|crash| !explained[*crash]).collect();
        let (min, total) = (min_crashes(content), against.crashes.len());
        // A crash that has a cause speaks against what else was there as well, but less.
        if crashes.is_empty() || total < min || crashes.len() + 1 < min {
            continue;
        }
        let breadth = cmp::Reverse(content.breadth());
        let rank = (!against.ran_well, crashes.len(), breadth, total);
        if best.is_none_or(|best| rank > best) {
            best = Some(rank);
            leaders.clear();
        }
        if best == Some(rank) {
            leaders.push((*content, crashes));
        }
    }
    leaders
}
