//! A whole state on its way from one entry VM to another.

use base::fingerprint;

use crate::{checkpoint, keeper, offer, state};

/// A state as one entry VM hands it to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StateTransfer {
    /// Which state it is.
    pub offer: offer::StateOffer,
    /// Hash of `text`.
    pub hash: fingerprint::ContentHash,
    /// The state, as in a checkpoint.
    pub text: String,
    /// What the giver knows of the log before this state.
    pub cover: keeper::LogCover,
}

impl StateTransfer {
    /// A transfer of `state`.
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

    /// The state that it holds.
    ///
    /// # Errors
    /// It was changed on its way, or is not a valid state, or not the one that was offered.
    pub fn state(&self) -> Result<state::ConfigState, checkpoint::CheckpointError> {
        checkpoint::decode(&self.text, self.hash, &self.offer)
    }
}
