//! The chain that every request goes through.

use crate::{port, refused};

/// How the chain ends before its last filter.
#[derive(Debug)]
pub enum EarlyEnd {
    /// Refused.
    Refused(refused::Refused),
    /// An earlier call with the same idempotency key has the answer.
    Stored(port::ServiceAnswer),
}

impl From<refused::Refused> for EarlyEnd {
    fn from(refused: refused::Refused) -> Self {
        Self::Refused(refused)
    }
}

/// One step of the chain: a request in one stage in, in the next stage out.
pub trait Filter<In: Send>: Send + Sync {
    /// The next stage.
    type Out: Send;

    /// Applies it. A request that does not pass ends here, with what it held given back.
    fn apply(&self, input: In) -> impl Future<Output = Result<Self::Out, EarlyEnd>> + Send;
}

/// Two filters, one after the other.
#[derive(Clone, Debug)]
pub struct Chain<A, B> {
    first: A,
    second: B,
}

impl<A, B> Chain<A, B> {
    /// `first`, then `second`.
    pub const fn new(first: A, second: B) -> Self {
        Self { first, second }
    }

    /// This chain, then `next`.
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
