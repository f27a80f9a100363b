//! Every interleaving of two operators and three readers over a small log.
//!
//! The readers are alike, so states that differ only in which reader is which count once. What a
//! reader has is told by the prefix of the log that it stands for; that the code under test gives
//! the same state for it by every way is asserted wherever a way ends.

use std::collections;

use base::id;
use conf::{change, checkpoint, document, part, state};
use serde_json::json;

/// Changes of each operator.
const CHANGES: [u8; 2] = [2, 1];
/// Appends whose answer may be lost, readers that may be replaced, checkpoints, cuts of the log.
const BUDGET: Budget = Budget {
    lost: 1,
    replaced: 1,
    checkpoints: 1,
    cuts: 1,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    lost: u8,
    replaced: u8,
    checkpoints: u8,
    cuts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Change { operator: u8, number: u8, base: u8 },
    Checkpoint { offset: u8 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Operator {
    /// Has made so many changes.
    Idle(u8),
    /// Has seen this revision and is about to append.
    Ready { number: u8, base: u8 },
    /// Appended, and does not know it.
    Unsure { number: u8, base: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    log: Vec<Entry>,
    first: u8,
    /// Offset up to which each reader has applied the log; ascending.
    readers: [Option<u8>; 3],
    operators: [Operator; 2],
    budget: Budget,
}

/// Real states by prefix of the log.
#[derive(Default)]
struct Replay {
    known: collections::HashMap<Vec<Entry>, state::ConfigState>,
    /// Outcomes of giving the state of one offset to a reader of another.
    adopted: collections::HashMap<(Vec<Entry>, Option<u8>, u8), bool>,
}

impl Replay {
    fn state(&mut self, log: &[Entry]) -> state::ConfigState {
        if let Some(state) = self.known.get(log) {
            return state.clone();
        }
        let Some((last, prefix)) = log.split_last() else {
            return state::ConfigState::new();
        };
        let mut state = self.state(prefix);
        let before = state.clone();
        let verdict = state.apply(prefix.len() as u64, &self.record(prefix, *last));
        assert_verdict(prefix, *last, &before, &state, &verdict);
        self.known.insert(log.to_vec(), state.clone());
        state
    }

    fn revision(&mut self, log: &[Entry]) -> u8 {
        match self.known.get(log) {
            Some(state) => state.revision() as u8,
            None => self.state(log).revision() as u8,
        }
    }

    fn record(&mut self, prefix: &[Entry], entry: Entry) -> Vec<u8> {
        match entry {
            Entry::Checkpoint { offset } => {
                let state = self.state(&prefix[..offset as usize]);
                checkpoint::records(&state, part::MAX_PART_BYTES).remove(0)
            }
            Entry::Change {
                operator,
                number,
                base,
            } => change_of(operator, number, base).records().remove(0),
        }
    }
}

/// The first changes of both operators touch the same place, the second one another.
fn change_of(operator: u8, number: u8, base: u8) -> change::ConfigChange {
    let value = 1_000 + u32::from(operator) * 10 + u32::from(number);
    change::ConfigChange {
        id: id::RecordId(u128::from(operator) * 10 + u128::from(number)),
        base_revision: base.into(),
        author: format!("operator-{operator}"),
        comment: String::new(),
        patch: match number {
            0 => json!({"rules": {"entries": {"keep_ms": value}}}),
            _ => json!({"rules": {"time_limits": {"service_call_ms": value}}}),
        },
    }
}

/// The verdict is the one that the plain reading of the log gives.
fn assert_verdict(
    prefix: &[Entry],
    last: Entry,
    before: &state::ConfigState,
    after: &state::ConfigState,
    verdict: &state::ApplyVerdict,
) {
    let Entry::Change {
        operator,
        number,
        base,
    } = last
    else {
        let expected = state::ApplyVerdict::Checkpoint {
            is_contradictory: false,
        };
        assert_eq!(*verdict, expected, "{prefix:?}");
        assert_eq!(before.configuration(), after.configuration());
        return;
    };
    let is_repeated = prefix.iter().any(|entry| {
        matches!(entry, Entry::Change { operator: other, number: same, .. }
            if (*other, *same) == (operator, number))
    });
    let is_current = u64::from(base) == before.revision();
    match verdict {
        state::ApplyVerdict::Duplicate => assert!(is_repeated, "{prefix:?} {last:?}"),
        state::ApplyVerdict::Accepted { revision } => {
            assert!(!is_repeated && is_current, "{prefix:?} {last:?}");
            assert_eq!(*revision, before.revision() + 1);
            let patch = change_of(operator, number, base).patch;
            let wanted: document::Configuration =
                before.configuration().patched(&patch).expect("valid");
            assert_eq!(**after.configuration(), wanted);
        }
        state::ApplyVerdict::Conflict(report) => {
            assert!(!is_repeated && !is_current, "{prefix:?} {last:?}");
            assert_eq!(report.revision, before.revision());
            assert_eq!(
                report.since.len() as u64,
                before.revision() - u64::from(base)
            );
        }
        other => panic!("{prefix:?} {last:?}: {other:?}"),
    }
}

fn successors(node: &Node, replay: &mut Replay) -> Vec<Node> {
    let mut next = Vec::new();
    for operator in 0..2 {
        operator_moves(node, operator, replay, &mut next);
    }
    for reader in 0..3 {
        reader_moves(node, reader, replay, &mut next);
    }
    if node.budget.cuts > 0 && newest_checkpoint(node).is_some_and(|offset| offset > node.first) {
        let mut cut = node.clone();
        cut.first = newest_checkpoint(node).unwrap_or_default();
        cut.budget.cuts -= 1;
        next.push(cut);
    }
    for node in &mut next {
        node.readers.sort_unstable();
    }
    next
}

fn operator_moves(node: &Node, operator: usize, replay: &mut Replay, next: &mut Vec<Node>) {
    let mut push = |state: Operator, appended: Option<(u8, u8)>, lost: u8| {
        let mut other = node.clone();
        other.operators[operator] = state;
        other.budget.lost -= lost;
        let change = |(number, base)| Entry::Change {
            operator: operator as u8,
            number,
            base,
        };
        other.log.extend(appended.map(change));
        next.push(other);
    };
    match node.operators[operator] {
        Operator::Idle(number) if number < CHANGES[operator] => {
            let seen: collections::BTreeSet<u8> = node.readers.iter().flatten().copied().collect();
            for offset in seen {
                let base = replay.revision(&node.log[..offset as usize]);
                push(Operator::Ready { number, base }, None, 0);
            }
        }
        Operator::Idle(_) => {}
        Operator::Ready { number, base } => {
            push(Operator::Idle(number + 1), Some((number, base)), 0);
            if node.budget.lost > 0 {
                push(Operator::Unsure { number, base }, Some((number, base)), 1);
            }
        }
        Operator::Unsure { number, base } => {
            push(Operator::Idle(number + 1), Some((number, base)), 0);
        }
    }
}

fn reader_moves(node: &Node, reader: usize, replay: &mut Replay, next: &mut Vec<Node>) {
    let own = node.readers[reader];
    let mut push = |offset: Option<u8>, replaced: u8| {
        let mut other = node.clone();
        other.readers[reader] = offset;
        other.budget.replaced -= replaced;
        next.push(other);
    };
    if let Some(offset) =
        own.filter(|offset| *offset >= node.first && usize::from(*offset) < node.log.len())
    {
        push(Some(offset + 1), 0);
    }
    if own.is_some() && node.budget.replaced > 0 {
        push(None, 1);
    }
    if own.is_none() && node.first == 0 {
        push(Some(0), 0);
    }
    let given = node.readers.iter().flatten().copied();
    for offset in given.chain(newest_checkpoint(node)) {
        if adopt(node, own, offset, replay) {
            push(Some(offset), 0);
        }
    }
    let checkpoint = own.filter(|offset| *offset > 0 && node.budget.checkpoints > 0);
    if let Some(offset) = checkpoint {
        let mut other = node.clone();
        other.log.push(Entry::Checkpoint { offset });
        other.budget.checkpoints -= 1;
        next.push(other);
    }
}

/// Whether a reader takes over the state of `offset`; it does when that is newer, never else.
fn adopt(node: &Node, own: Option<u8>, offset: u8, replay: &mut Replay) -> bool {
    let longest = own.unwrap_or_default().max(offset);
    let log = &node.log[..longest as usize];
    let key = (log.to_vec(), own, offset);
    if let Some(is_adopted) = replay.adopted.get(&key) {
        return *is_adopted;
    }
    let given = replay.state(&log[..offset as usize]);
    let text = checkpoint::encode(&given);
    let hash = base::fingerprint::ContentHash::of(text.as_bytes());
    let given = checkpoint::decode(&text, hash, &given.offer()).expect("whole");
    let is_adopted = own.is_none_or(|own| {
        let mut state = replay.state(&log[..own as usize]);
        let is_adopted = state.adopt(given).is_ok();
        assert_eq!(is_adopted, offset > own, "{node:?}");
        let kept = if is_adopted { offset } else { own };
        assert_eq!(state, replay.state(&log[..kept as usize]), "{node:?}");
        is_adopted
    });
    replay.adopted.insert(key, is_adopted);
    is_adopted
}

fn newest_checkpoint(node: &Node) -> Option<u8> {
    let retained = node.log.iter().skip(node.first as usize);
    let offsets = retained.filter_map(|entry| match entry {
        Entry::Checkpoint { offset } => Some(*offset),
        Entry::Change { .. } => None,
    });
    offsets.max()
}

#[test]
fn every_interleaving_of_two_operators_and_three_readers() {
    let start = Node {
        log: Vec::new(),
        first: 0,
        readers: [Some(0); 3],
        operators: [Operator::Idle(0); 2],
        budget: BUDGET,
    };
    let mut replay = Replay::default();
    let mut seen = collections::HashSet::from([start.clone()]);
    let mut queue = vec![start];
    let mut last_states = 0_u64;
    while let Some(node) = queue.pop() {
        let next = successors(&node, &mut replay);
        last_states += u64::from(next.is_empty());
        for node in next {
            if seen.insert(node.clone()) {
                queue.push(node);
            }
        }
    }
    println!(
        "{} states, {} logs, {last_states} without a move",
        seen.len(),
        replay.known.len()
    );
    assert!(
        seen.len() > 100_000,
        "the enumeration has shrunk: {}",
        seen.len()
    );
}
