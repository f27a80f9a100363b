//! A refusal whose `ran` state is backed by evidence.

use base::{outcome, refusal};

/// End of a request without a complete answer.
///
/// Created only from a proof, permit or ticket of [`crate::proof`], which determine its `ran`
/// state.
#[derive(Debug)]
pub struct Refused {
    body: refusal::RefusalBody,
}

impl Refused {
    /// Creates a refusal whose `ran` state claims no more than both the evidence and `body`
    /// support.
    pub(crate) fn with_evidence(body: refusal::RefusalBody, ran: outcome::RanState) -> Self {
        let ran = ran.and(body.ran);
        Self {
            body: body.ran(ran),
        }
    }

    /// Creates a refusal for the repeat of a keyed call whose first call has the state `ran`.
    pub(crate) fn for_repeat(body: refusal::RefusalBody, ran: outcome::RanState) -> Self {
        Self::with_evidence(body, ran)
    }

    /// Body that is sent to the caller.
    #[must_use]
    pub const fn body(&self) -> &refusal::RefusalBody {
        &self.body
    }

    /// Body that is sent to the caller.
    #[must_use]
    pub fn into_body(self) -> refusal::RefusalBody {
        self.body
    }
}
