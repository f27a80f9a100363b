//! A refusal whose `ran` came from evidence.

use base::{outcome, refusal};

/// A request's honest end without a whole answer.
///
/// Made only from a proof, permit or ticket of [`crate::proof`], which decide its `ran`.
#[derive(Debug)]
pub struct Refused {
    body: refusal::RefusalBody,
}

impl Refused {
    /// A refusal that promises no more than both the evidence and whoever wrote `body` know.
    pub(crate) fn known(body: refusal::RefusalBody, ran: outcome::RanState) -> Self {
        let ran = ran.and(body.ran);
        Self {
            body: body.ran(ran),
        }
    }

    /// A repeat of a keyed call whose first call's fate is `ran`.
    pub(crate) fn of_claim(body: refusal::RefusalBody, ran: outcome::RanState) -> Self {
        Self::known(body, ran)
    }

    /// The body that the caller is sent.
    #[must_use]
    pub const fn body(&self) -> &refusal::RefusalBody {
        &self.body
    }

    /// The body that the caller is sent.
    #[must_use]
    pub fn into_body(self) -> refusal::RefusalBody {
        self.body
    }
}
