//! Transfer of a complete state from one entry VM to another.

use base::fingerprint;

use crate::{checkpoint, keeper, offer, state};

/// A complete state as sent from one entry VM to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StateTransfer {
    /// Revision, offset and chain hash of the state.
    pub offer: offer::StateOffer,
    /// Hash of `text`.
    pub hash: fingerprint::ContentHash,
    /// The state, encoded as in a checkpoint.
    pub text: String,
    /// Knowledge of the sender about the checkpoints and records before this state.
    pub cover: keeper::LogCover,
}

impl StateTransfer {
    /// Encodes `state` for transfer.
    #[must_use]
    pub fn new(state: &state::ConfigState, cover: keeper::LogCover) -> Self {
        let text = checkpoint::encode(state);
        Self {
            offer: state.offer(),
            hash: fingerprint::ContentHash::of(text.as_bytes()),
            text,
            cover,
        }
    }

    /// Decodes and verifies the state.
    ///
    /// # Errors
    /// Fails if the text does not match its hash, is not a valid state or differs from the offer.
    pub fn state(&self) -> Result<state::ConfigState, checkpoint::CheckpointError> {
        checkpoint::decode(&self.text, self.hash, &self.offer)
    }
}
