//! Frames and datagrams between pollenchute processes: encoding, authentication, replay protection.

pub mod datagram;
pub mod identity;
pub mod key;
pub mod proto;
pub mod replay;
