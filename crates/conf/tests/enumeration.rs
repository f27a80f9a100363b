//! Explores every interleaving of two operators and three readers over a small log.
//!
//! The readers are interchangeable, so states that differ only by a permutation of the readers
//! count once. The state of a reader is represented by its prefix of the log; wherever a reader
//! adopts a state, the test asserts that it equals the state replayed from that prefix.

use std::collections;

use base::id;
use conf::{change, checkpoint, document, part, state};
use serde_json::json;

/// Number of changes of each operator.
const CHANGES_PER_OPERATOR: [u8; 2] = [2, 1];
/// Maximum numbers of appends with a lost response, replaced readers, checkpoints and truncations
/// of the log.
const BUDGET: Budget = Budget {
    lost: 1,
    replaced: 1,
    checkpoints: 1,
    truncations: 1,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    lost: u8,
    replaced: u8,
    checkpoints: u8,
    truncations: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Change { operator: u8, number: u8, base: u8 },
    Checkpoint { offset: u8 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Operator {
    /// Has made this number of changes.
    Idle(u8),
    /// Has read the revision `base` and is about to append.
    Ready { number: u8, base: u8 },
    /// Has appended, but the response was lost.
    Unacknowledged { number: u8, base: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    log: Vec<Entry>,
    first: u8,
    /// Offset up to which each reader has applied the log, in ascending order; `None` for a reader
    /// without a state.
    readers: [Option<u8>; 3],
    operators: [Operator; 2],
    budget: Budget,
}

/// States of the code under test by prefix of the log.
#[derive(Default)]
struct Replay {
    known: collections::HashMap<Vec<Entry>, state::ConfigState>,
    /// Whether a reader at one offset adopts the state of another offset.
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

/// The first changes of both operators touch the same path, the second change a different one.
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

/// Asserts that the verdict follows from the log prefix by the simplest reading of the rules.
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
            let expected: document::Configuration =
                before.configuration().patched(&patch).expect("valid");
            assert_eq!(**after.configuration(), expected);
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
    if node.budget.truncations > 0
        && newest_checkpoint(node).is_some_and(|offset| offset > node.first)
    {
        let mut truncated = node.clone();
        truncated.first = newest_checkpoint(node).unwrap_or_default();
        truncated.budget.truncations -= 1;
        next.push(truncated);
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
        Operator::Idle(number) if number < CHANGES_PER_OPERATOR[operator] => {
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
                push(
                    Operator::Unacknowledged { number, base },
                    Some((number, base)),
                    1,
                );
            }
        }
        Operator::Unacknowledged { number, base } => {
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
    let received = node.readers.iter().flatten().copied();
    for offset in received.chain(newest_checkpoint(node)) {
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

/// Whether a reader adopts the state of `offset`; asserts that it does so only if that is newer.
fn adopt(node: &Node, own: Option<u8>, offset: u8, replay: &mut Replay) -> bool {
    let max_offset = own.unwrap_or_default().max(offset);
    let log = &node.log[..max_offset as usize];
    let key = (log.to_vec(), own, offset);
    if let Some(is_adopted) = replay.adopted.get(&key) {
        return *is_adopted;
    }
    let received = replay.state(&log[..offset as usize]);
    let text = checkpoint::encode(&received);
    let hash = base::fingerprint::ContentHash::of(text.as_bytes());
    let received = checkpoint::decode(&text, hash, &received.offer()).expect("valid");
    let is_adopted = own.is_none_or(|own| {
        let mut state = replay.state(&log[..own as usize]);
        let is_adopted = state.adopt(received).is_ok();
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
    let mut terminal_states = 0_u64;
    while let Some(node) = queue.pop() {
        let next = successors(&node, &mut replay);
        terminal_states += u64::from(next.is_empty());
        for node in next {
            if seen.insert(node.clone()) {
                queue.push(node);
            }
        }
    }
    println!(
        "{} states, {} logs, {terminal_states} without a successor",
        seen.len(),
        replay.known.len()
    );
    assert!(
        seen.len() > 100_000,
        "the enumeration reached only {} states",
        seen.len()
    );
}
