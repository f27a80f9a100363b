//! The filter chain that every request passes through.

use crate::{port, refused};

/// Early end of the chain, before its last filter.
#[derive(Debug)]
pub enum EarlyEnd {
    /// The request was refused.
    Refused(refused::Refused),
    /// The stored answer of an earlier call with the same idempotency key.
    Stored(port::ServiceAnswer),
}

impl From<refused::Refused> for EarlyEnd {
    fn from(refused: refused::Refused) -> Self {
        Self::Refused(refused)
    }
}

/// One step of the chain: takes a request in one stage and returns it in the next.
pub trait Filter<In: Send>: Send + Sync {
    /// The request in its next stage.
    type Out: Send;

    /// Applies the filter. A request that does not pass ends here and releases what it holds.
    fn apply(&self, input: In) -> impl Future<Output = Result<Self::Out, EarlyEnd>> + Send;
}

/// Two filters applied in sequence.
#[derive(Clone, Debug)]
pub struct Chain<A, B> {
    first: A,
    second: B,
}

impl<A, B> Chain<A, B> {
    /// Applies `first`, then `second`.
    pub const fn new(first: A, second: B) -> Self {
        Self { first, second }
    }

    /// Extends this chain by `next`.
    pub const fn then<C>(self, next: C) -> Chain<Self, C> {
        Chain::new(self, next)
    }
}

impl<In, A, B> Filter<In> for Chain<A, B>
where
    In: Send,
    A: Filter<In>,
    B: Filter<A::Out>,
{
    type Out = B::Out;

    async fn apply(&self, input: In) -> Result<Self::Out, EarlyEnd> {
        let passed = self.first.apply(input).await?;
        self.second.apply(passed).await
    }
}
