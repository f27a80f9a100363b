//! Checkpoints: the complete state, written to the log before retention drops the changes that
//! produced it.

use base::{fingerprint, id};
use snafu::OptionExt as _;

use crate::{check, offer, part, state};

/// Why an encoded state cannot be used.
#[derive(Debug, snafu::Snafu)]
pub enum CheckpointError {
    /// The text does not match its hash.
    #[snafu(display("the state does not match its hash; discarding it and using another one"))]
    WrongHash,
    /// The text cannot be parsed as a state of this version.
    #[snafu(display(
        "the state cannot be parsed ({reason}); run the same version on all entry VMs"
    ))]
    Unreadable {
        /// Message of the parser.
        reason: String,
    },
    /// The state contains a configuration that no reader of the log would have accepted.
    #[snafu(display(
        "the state contains an invalid configuration ({reason}); fetch it from another entry VM"
    ))]
    Invalid {
        /// The faults of the configuration.
        reason: String,
    },
    /// The state differs from the one that was offered.
    #[snafu(display("the state is not the one that was offered; request it again"))]
    OtherState,
}

/// Encodes a complete state as text, for transfer between entry VMs and for the log.
#[must_use]
pub fn encode(state: &state::ConfigState) -> String {
    serde_json::to_string(state).unwrap_or_default()
}

/// Decodes and verifies a state.
///
/// # Errors
/// Fails if the text does not match `hash`, is not a valid state or does not match `offer`.
pub fn decode(
    text: &str,
    hash: fingerprint::ContentHash,
    offer: &offer::StateOffer,
) -> Result<state::ConfigState, CheckpointError> {
    let matching = fingerprint::ContentHash::of(text.as_bytes()) == hash;
    matching.then_some(()).context(WrongHashSnafu)?;
    let state: state::ConfigState = serde_json::from_str(text).map_err(|error| {
        let reason = error.to_string();
        CheckpointError::Unreadable { reason }
    })?;
    check::check(state.configuration()).map_err(|faults| {
        let reason = faults.to_string();
        CheckpointError::Invalid { reason }
    })?;
    (state.offer() == *offer)
        .then_some(())
        .context(OtherStateSnafu)?;
    Ok(state)
}

/// Encodes a checkpoint of `state` as log records with at most `part_bytes` of text each.
///
/// The id is derived from the content: VMs that write the same state write identical parts, so
/// parts from different VMs complete one another and a repeated part is harmless.
#[must_use]
pub fn records(state: &state::ConfigState, part_bytes: usize) -> Vec<Vec<u8>> {
    let text = encode(state);
    let hash = fingerprint::ContentHash::of(text.as_bytes());
    let mut wide = [0; 16];
    wide.copy_from_slice(&hash.0[..16]);
    let id = id::RecordId(u128::from_le_bytes(wide));
    part::split(
        part::PartKind::Checkpoint(state.offer()),
        id,
        &text,
        part_bytes,
    )
}

/// A complete, valid checkpoint in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundCheckpoint {
    /// State stored in the checkpoint.
    pub state: state::ConfigState,
    /// Offset of the first part that was read.
    pub first_part: u64,
}

/// Reassembles checkpoints from their parts in the log.
#[derive(Clone, Debug, Default)]
pub struct CheckpointSearch {
    parts: part::PartTable,
}

impl CheckpointSearch {
    /// Processes the record at `offset` and returns the checkpoint that it completes.
    ///
    /// # Errors
    /// Fails if the record is damaged or completes an invalid checkpoint.
    pub fn add(
        &mut self,
        offset: u64,
        record: &[u8],
    ) -> Result<Option<FoundCheckpoint>, CheckpointError> {
        let Some((header, text)) = part::parse(record) else {
            return Ok(None);
        };
        let part::PartKind::Checkpoint(offer) = header.of else {
            return Ok(None);
        };
        match self.parts.add(offset, &header, text) {
            part::PartOutcome::Waiting => Ok(None),
            part::PartOutcome::Refused(_) => Err(CheckpointError::WrongHash),
            part::PartOutcome::Complete { text, first_offset } => {
                // A state cannot include records that follow its own checkpoint.
                (offer.offset <= offset)
                    .then_some(())
                    .context(OtherStateSnafu)?;
                let state = decode(&text, header.hash, &offer)?;
                Ok(Some(FoundCheckpoint {
                    state,
                    first_part: first_offset,
                }))
            }
        }
    }
}
