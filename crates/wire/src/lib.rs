//! Frames and datagrams between pollenchute processes: encoding, authentication, replay protection.

pub mod call;
pub mod client;
mod connection;
pub mod datagram;
pub mod frame;
pub mod handshake;
pub mod identity;
pub mod key;
pub mod proto;
pub mod replay;
pub mod server;
