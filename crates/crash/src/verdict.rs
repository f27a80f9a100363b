//! Infers the causes of crashes.

use std::collections;

use base::fingerprint;

/// Number of crashes from which content may be their cause.
const MIN_CRASHES: usize = 2;

/// Content that may crash servers.
pub trait SuspectContent: Copy + Ord {}

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
    /// Contents of which each explains the same number of crashes as another one that was there, with
    /// that number. One of them is the cause.
    pub tied: collections::BTreeMap<K, usize>,
}

impl<K> Default for CrashVerdict<K> {
    fn default() -> Self {
        Self {
            causes: Vec::new(),
            tied: collections::BTreeMap::new(),
        }
    }
}

/// How well content explains crashes; the greatest is the cause.
type ContentRank = (bool, usize);

/// A candidate, with the crashes that it explains.
type ContentClaim<K> = (K, Vec<usize>);

/// Infers the causes of `count` crashes.
///
/// The content that explains most crashes is the cause of all of them, those that never ran well
/// first; what is left is explained in the same way. Contents that were at the same crashes and rank
/// alike are tied, and identify no cause.
#[must_use]
pub fn infer<K: SuspectContent>(evidence: &EvidenceMap<K>, count: usize) -> CrashVerdict<K> {
    let mut verdict = CrashVerdict {
        causes: vec![None; count],
        tied: collections::BTreeMap::new(),
    };
    let mut explained = vec![false; count];
    loop {
        let leaders = leaders(evidence, &explained);
        if leaders.is_empty() {
            return verdict;
        }
        for (content, crashes) in &leaders {
            let is_tied = leaders.iter().any(|(other, theirs)| {
                other != content && theirs.iter().any(|crash| crashes.contains(crash))
            });
            if is_tied {
                verdict.tied.insert(*content, crashes.len());
            }
            for &crash in crashes {
                explained[crash] = true;
                if !is_tied {
                    verdict.causes[crash] = Some(*content);
                }
            }
        }
    }
}

/// Contents that explain most of the crashes without a cause.
fn leaders<K: SuspectContent>(
    evidence: &EvidenceMap<K>,
    explained: &[bool],
) -> Vec<ContentClaim<K>> {
    let mut best: Option<ContentRank> = None;
    let mut leaders = Vec::new();
    for (content, against) in evidence {
        let crashes = against.crashes.iter().copied();
        let crashes: Vec<_> = crashes.filter(|crash| !explained[*crash]).collect();
        if crashes.len() < MIN_CRASHES {
            continue;
        }
        let rank = (!against.ran_well, crashes.len());
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
