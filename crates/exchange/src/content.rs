//! Contents that may crash the servers that run them.

use crash::verdict;

use crate::request;

/// Content of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ContentKey {
    /// All requests with this fingerprint.
    Request(u64),
}

impl verdict::SuspectContent for ContentKey {}

impl ContentKey {
    /// The contents of a request.
    #[must_use]
    pub fn all_of(request: &request::ExchangeRequest) -> Vec<Self> {
        vec![Self::Request(request.fingerprint)]
    }
}
