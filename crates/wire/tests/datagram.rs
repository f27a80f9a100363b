//! Tests of datagrams: valid ones are opened, all others are dropped without a panic.

use std::collections;

use base::id;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use wire::{
    datagram::{DatagramCodec, DropReason, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES},
    identity, key, replay,
};

fn keys(ids: &[u8]) -> key::KeyHandle {
    let keys = ids
        .iter()
        .map(|id| key::WireKey::new(*id, &[*id; 32]))
        .collect();
    key::KeyHandle::new(key::KeyRing::new(keys).expect("one or two keys"))
}

fn process(name: &str, incarnation: u128) -> identity::ProcessIdentity {
    identity::ProcessIdentity {
        name: name.to_owned(),
        incarnation: id::Incarnation(incarnation),
    }
}

/// Codecs of a sender and a receiver, and the receiver's identity.
fn pair() -> (DatagramCodec, DatagramCodec, identity::ProcessIdentity) {
    let receiver = process("hall-b", 2);
    let sender = DatagramCodec::new(process("hall-a", 1), keys(&[1]));
    (
        sender,
        DatagramCodec::new(receiver.clone(), keys(&[1])),
        receiver,
    )
}

#[test]
fn a_datagram_is_opened_only_once() {
    let (mut sender, mut receiver, identity) = pair();
    let datagram = sender
        .seal(Some(&identity), b"word".to_vec())
        .expect("the payload fits");
    let opened = receiver.open(&datagram).expect("valid");
    assert_eq!(opened.sender, process("hall-a", 1));
    assert_eq!(opened.payload, b"word");
    assert!(opened.bound);
    assert_eq!(receiver.open(&datagram), Err(DropReason::Replayed));
}

#[test]
fn a_datagram_is_bound_to_one_incarnation_of_its_receiver() {
    // Guards against replay to a restarted receiver: an attacker records a datagram and sends it
    // again after the restart, when the receiver's replay window is lost.
    let (mut sender, _, identity) = pair();
    let datagram = sender
        .seal(Some(&identity), b"word".to_vec())
        .expect("the payload fits");
    let mut restarted = DatagramCodec::new(process("hall-b", 3), keys(&[1]));
    assert_eq!(restarted.open(&datagram), Err(DropReason::WrongTag));
    let mut other = DatagramCodec::new(process("hall-c", 2), keys(&[1]));
    assert_eq!(other.open(&datagram), Err(DropReason::WrongTag));
}

#[test]
fn an_unbound_datagram_is_opened_by_any_receiver_and_marked_unbound() {
    let (mut sender, mut receiver, _) = pair();
    let datagram = sender
        .seal(None, b"hello".to_vec())
        .expect("the payload fits");
    assert!(!receiver.open(&datagram).expect("valid").bound);
}

#[test]
fn keys_rotate_without_dropped_datagrams() {
    // Guards against lost datagrams during a key rotation, since VMs cannot change keys at the same
    // moment. Steps: 1; 1 with 2 accepted; 2 with 1 accepted; 2. Adjacent steps run concurrently.
    let steps: [&[u8]; 4] = [&[1], &[1, 2], &[2, 1], &[2]];
    let receiver = process("hall-b", 2);
    for window in steps.windows(2) {
        for (from, to) in [(window[0], window[1]), (window[1], window[0])] {
            let mut sender = DatagramCodec::new(process("hall-a", 1), keys(from));
            let datagram = sender
                .seal(Some(&receiver), Vec::new())
                .expect("the payload fits");
            let opened = DatagramCodec::new(receiver.clone(), keys(to)).open(&datagram);
            assert!(opened.is_ok(), "from {from:?} to {to:?}: {opened:?}");
        }
    }
    let mut sender = DatagramCodec::new(process("hall-a", 1), keys(&[1]));
    let datagram = sender
        .seal(Some(&receiver), Vec::new())
        .expect("the payload fits");
    let opened = DatagramCodec::new(receiver, keys(&[2])).open(&datagram);
    assert_eq!(opened, Err(DropReason::UnknownKey));
}

#[test]
fn the_largest_datagram_fits_and_a_larger_one_is_dropped() {
    let name = "n".repeat(identity::MAX_NAME_BYTES);
    let (_, mut receiver, identity) = pair();
    let mut sender = DatagramCodec::new(process(&name, 1), keys(&[1]));
    let datagram = sender
        .seal(Some(&identity), vec![7; MAX_PAYLOAD_BYTES])
        .expect("fits");
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
    assert!(receiver.open(&datagram).is_ok());
    assert!(
        sender
            .seal(Some(&identity), vec![7; MAX_PAYLOAD_BYTES + 1])
            .is_err()
    );
    let long = vec![0x11; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(receiver.open(&long), Err(DropReason::Oversized));
}

#[test]
fn invalid_datagrams_are_dropped() {
    let (mut sender, mut receiver, identity) = pair();
    let mut reasons = collections::BTreeMap::new();
    for seed in 0..20_000 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut datagram = sender
            .seal(Some(&identity), b"word".to_vec())
            .expect("the payload fits");
        match rng.next_u32() % 4 {
            0 => {
                datagram = vec![0; (rng.next_u32() % 1300) as usize];
                rng.fill_bytes(&mut datagram);
            }
            1 => datagram.truncate((rng.next_u32() as usize) % datagram.len()),
            2 => datagram.extend([0; 3]),
            _ => {
                let position = (rng.next_u32() as usize) % datagram.len();
                datagram[position] ^= 1 << (rng.next_u32() % 8);
            }
        }
        let opened = receiver.open(&datagram);
        *reasons
            .entry(opened.expect_err(&format!("seed {seed}")).label())
            .or_insert(0) += 1;
    }
    assert_eq!(
        reasons.keys().copied().collect::<Vec<&str>>(),
        ["malformed", "oversized", "unknown_key", "wrong_tag"]
    );
}

#[test]
fn the_replay_window_accepts_each_counter_once() {
    // The oracle records every accepted counter.
    for seed in 0..500 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut window = replay::ReplayWindow::default();
        let mut taken = collections::BTreeSet::new();
        let mut top: u64 = 0;
        for _ in 0..200 {
            let ahead = u64::from(rng.next_u32() % 300);
            let jump = if rng.next_u32() % 50 == 0 {
                u64::MAX / 4
            } else {
                0
            };
            let counter = top
                .saturating_add(ahead)
                .saturating_sub(150)
                .saturating_add(jump);
            let fresh = window.accept(counter);
            let in_window = top.saturating_sub(counter) < 128;
            let expected = counter > 0 && in_window && taken.insert(counter);
            assert_eq!(fresh, expected, "seed {seed}, counter {counter}, top {top}");
            top = top.max(counter);
        }
    }
}
