//! Frames and datagrams between pollenchute processes: encoding, authentication, replay protection.
