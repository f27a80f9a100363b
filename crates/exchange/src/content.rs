//! Contents that may crash the servers that run them.

use crash::verdict;
use xxhash_rust::xxh3;

use crate::request;

/// Content of requests, the narrowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ContentKey {
    /// All requests with this fingerprint.
    Request(u64),
    /// All requests of one organisation for one service whose prompts share a part.
    OwnPart(u64),
    /// All requests for one service whose prompts share a part.
    Part(u64),
}

/// Number of crashes from which a request is their cause.
const MIN_REQUEST_CRASHES: usize = 2;
/// The same if its answer had gone on at any of them.
const MIN_LATE_REQUEST_CRASHES: usize = 3;
/// Number of crashes from which a request is refused that is tied with others.
const MAX_TIED_REQUEST_CRASHES: usize = 3;
/// Number of crashes from which a part of prompts is their cause: it affects more requests.
const MIN_PART_CRASHES: usize = 3;
/// The same if an answer had gone on at any of them.
const MIN_LATE_PART_CRASHES: usize = 5;
/// Number of crashes from which a part is refused that is tied with others.
const MAX_TIED_PART_CRASHES: usize = 5;

impl verdict::SuspectContent for ContentKey {
    fn min_crashes(&self) -> usize {
        match self {
            Self::Request(_) => MIN_REQUEST_CRASHES,
            Self::OwnPart(_) | Self::Part(_) => MIN_PART_CRASHES,
        }
    }

    fn min_late_crashes(&self) -> usize {
        match self {
            Self::Request(_) => MIN_LATE_REQUEST_CRASHES,
            Self::OwnPart(_) | Self::Part(_) => MIN_LATE_PART_CRASHES,
        }
    }

    fn max_tied_crashes(&self) -> usize {
        match self {
            Self::Request(_) => MAX_TIED_REQUEST_CRASHES,
            Self::OwnPart(_) | Self::Part(_) => MAX_TIED_PART_CRASHES,
        }
    }

    fn breadth(&self) -> u8 {
        match self {
            Self::Request(_) => 0,
            Self::OwnPart(_) => 1,
            Self::Part(_) => 2,
        }
    }
}

impl ContentKey {
    /// The contents of a request. The last part of a prompt is what the request asks for; it is not
    /// shared, and stands for the request.
    #[must_use]
    pub fn all_of(request: &request::ExchangeRequest) -> Vec<Self> {
        let mut contents = vec![Self::Request(request.fingerprint)];
        let parts = request.size.as_ref().map_or(&[][..], |size| &size.parts);
        let Some((_, shared)) = parts.split_last() else {
            return contents;
        };
        let service = xxh3::xxh3_64(request.service.as_bytes());
        let organisation = request.organisation.as_deref().unwrap_or_default();
        for part in shared {
            let bytes = part.hash.to_be_bytes();
            let hash = xxh3::xxh3_64_with_seed(&bytes, service);
            let own = xxh3::xxh3_64_with_seed(organisation.as_bytes(), hash);
            contents.extend([Self::OwnPart(own), Self::Part(hash)]);
        }
        contents
    }
}
