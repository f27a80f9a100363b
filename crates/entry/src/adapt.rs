//! Implements the request plane's ports with the scheduler, the log and this VM's clocks.

pub mod claims;
pub mod identity;
pub mod jobs;
pub mod peers;
pub mod quota;
pub mod schedule;
pub mod service_pool;
