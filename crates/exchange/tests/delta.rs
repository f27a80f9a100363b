//! Tests of document deltas against the complete documents.

mod cluster;

use bytes::Bytes;
use exchange::{catchup, delta, message};
use prost::Message as _;

/// Number of random histories.
const HISTORIES: u64 = 300;

fn chunked(bytes: &[u8]) -> delta::ChunkedDocument {
    Bytes::copy_from_slice(bytes).into()
}

/// Pseudo-random bytes without repetitions.
fn noise(length: usize, mut seed: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(length);
    while bytes.len() < length {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        bytes.extend_from_slice(&seed.rotate_left(29).to_be_bytes());
    }
    bytes.truncate(length);
    bytes
}

#[test]
fn a_delta_reproduces_the_document() {
    // Guards against a configuration that no operator wrote.
    cluster::histories(HISTORIES, |u| {
        let mut document = noise(u.int_in_range(0..=200_000)?, u.arbitrary()?);
        let base = chunked(&document);
        for _ in 0..u.int_in_range(0..=4)? {
            let at = u.int_in_range(0..=document.len())?;
            let end = (at + u.int_in_range(0..=20_000)?).min(document.len());
            let inserted = noise(u.int_in_range(0..=20_000)?, u.arbitrary()?);
            document.splice(at..end, inserted);
        }
        let delta = chunked(&document).delta(&base.hashes());
        assert_eq!(base.apply(&delta).expect("document"), document);
        let complete = chunked(&document).delta(&[]);
        assert_eq!(chunked(&[]).apply(&complete).expect("document"), document);
        Ok(())
    });
}

#[test]
fn a_damaged_delta_is_rejected() {
    // Guards against a configuration assembled from chunks that do not belong together.
    cluster::histories(HISTORIES, |u| {
        let mut document = noise(100_000, u.arbitrary()?);
        let base = chunked(&document);
        document.splice(40_000..40_010, noise(3_000, u.arbitrary()?));
        let mut delta = chunked(&document).delta(&base.hashes());
        match u.int_in_range(0..=5)? {
            5 => delta.order = delta.order.repeat(4_000),
            0 => drop(delta.order.pop()),
            1 => delta.order.swap(0, 1),
            2 => drop(delta.compressed.pop()),
            3 => delta.compressed[0] = noise(500, u.arbitrary()?).into(),
            _ => delta.hash ^= 1 << u.int_in_range(0..=63)?,
        }
        assert!(base.apply(&delta).is_err());
        Ok(())
    });
}

#[test]
fn a_small_change_of_a_large_document_is_a_small_delta() {
    // Load: one value in a document of a megabyte changes; 68 VMs behind links of 10 Mbit/s have
    // all the rest.
    let mut document = noise(1_000_000, 7);
    let base = chunked(&document);
    document.splice(500_000..500_004, *b"changed");
    let delta = chunked(&document).delta(&base.hashes());
    assert!(delta.encoded_len() < 80_000, "{}", delta.encoded_len());
}

#[test]
fn a_vm_requests_the_complete_document_after_a_bad_delta() {
    // Guards against a VM that requests a delta forever although it can't apply it.
    cluster::run(async {
        let decode = |bytes: &[u8]| match bytes {
            b"2" => Ok(cluster::catalog(2)),
            _ => Err(String::from("other")),
        };
        let (plane, there) = (cluster::plane(), cluster::plane());
        let document = Bytes::from_static(b"2");
        there.state().take_catalog(cluster::catalog(2), document);
        plane.state().behind_since = Some(tokio::time::Instant::now());
        let request = catchup::state_request(&plane.state());
        assert!(request.takes_delta);
        let mut reply = catchup::state_reply(&mut there.state(), &request);
        reply.delta.as_mut().expect("delta").hash ^= 1;
        let base = plane.state().document.clone();
        catchup::take_state(&plane, &base, reply, decode);
        assert_eq!(plane.state().version(), 1);
        let request = catchup::state_request(&plane.state());
        assert!(!request.takes_delta);
        let reply = catchup::state_reply(&mut there.state(), &request);
        assert_eq!(reply.catalog, b"2".as_slice());
        catchup::take_state(&plane, &base, reply, decode);
        assert_eq!(plane.state().version(), 2);
        assert!(catchup::state_request(&plane.state()).takes_delta);
    });
}

#[test]
fn a_vm_sends_few_long_documents_at_a_time() {
    // Guards against a link that is shared by so many documents that none arrives completely.
    cluster::run(async {
        let there = cluster::plane();
        let document = Bytes::from(noise(1_000_000, 3));
        there.state().take_catalog(cluster::catalog(2), document);
        let request = message::StateRequest {
            catalog_version: 1,
            takes_delta: true,
            ..message::StateRequest::default()
        };
        let sent: Vec<_> = (0..10)
            .filter_map(|_| catchup::answer(&there, &request))
            .collect();
        assert!((1..=3).contains(&sent.len()), "{}", sent.len());
        drop(sent);
        assert!(
            catchup::answer(&there, &request).is_some(),
            "other requesters get it once the guards are dropped"
        );
    });
}
