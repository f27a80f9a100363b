//! Messages, generated from `proto/*.proto` by `cargo run -p protogen`.
#![allow(missing_docs, unused_qualifications, clippy::all)]

/// What surrounds every datagram and opens every connection.
#[rustfmt::skip]
pub mod envelope;
/// Membership and what spreads with it.
#[rustfmt::skip]
pub mod gossip;
/// Requests and responses between entry VMs.
#[rustfmt::skip]
pub mod peer;
