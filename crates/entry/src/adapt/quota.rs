//! Limits of organisations for the request plane.
//!
//! Generations are limited inside the decision core, where their tokens are counted; plain
//! service calls are not limited.

use base::{id, refusal};
use conf::rules;
use tokio::time;

/// Admits every request, as the decision core enforces the limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct CoreQuota;

/// A permit without state.
#[derive(Clone, Copy, Debug)]
pub struct CorePermit;

impl flow::port::QuotaPermit for CorePermit {
    fn charge(&mut self, _tokens: u32) {}
}

impl flow::port::QuotaLimiter for CoreQuota {
    type Permit = CorePermit;

    fn take(
        &self,
        _organisation: id::OrganisationKey,
        _rule: &rules::OrganisationRule,
        _work: &flow::port::RequestedWork,
        _now: time::Instant,
    ) -> Result<CorePermit, refusal::RefusalBody> {
        Ok(CorePermit)
    }
}
