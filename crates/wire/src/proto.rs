//! Messages, generated from `proto/*.proto` by `cargo run -p protogen`.
#![allow(missing_docs, unused_qualifications, clippy::all)]

/// Envelopes of datagrams, and hellos of connections.
#[rustfmt::skip]
pub mod envelope;
/// Messages of gossip membership and dissemination.
#[rustfmt::skip]
pub mod gossip;
/// Requests and responses between entry VMs.
#[rustfmt::skip]
pub mod peer;
