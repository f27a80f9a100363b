//! Tests of the state transfer to other entry VMs.

use base::id;
use conf::{change, document, event, keeper, sample, state, transfer};

use super::ActiveConfig;

/// Guards against a VM that was disconnected fetching 5 MB every second without catching up. The
/// log advances without a change of revision (checkpoints, refused changes) until retention drops
/// the records that the VM lacks. A state as of the last change is then useless to it, because the
/// log no longer has the records after that offset.
#[test]
fn a_transferred_state_is_as_of_now_and_not_as_of_the_last_change() {
    let mut state = state::ConfigState::new();
    let patch = change::difference(
        &document::Configuration::default(),
        &sample::configuration(sample::SampleSize::TODAY),
    );
    let (author, comment) = (String::new(), String::new());
    let first = change::ConfigChange {
        id: id::RecordId(1),
        base_revision: 0,
        author,
        comment,
        patch,
    };
    state.apply(0, &first.records()[0]);
    let active_config = ActiveConfig::default();
    let given = transfer::StateTransfer::new(&state, keeper::LogCover::default());
    active_config.put_in_force(&state, Some(given), "log");
    for offset in 1..40 {
        state.apply(offset, b"not a change");
    }
    active_config.advance(&state, event::ReadyState::Ready);
    let offsets = |transfer: Option<_>| {
        transfer.map(|transfer: std::sync::Arc<transfer::StateTransfer>| {
            (
                transfer.offer.offset,
                transfer.state().expect("whole").offset(),
            )
        })
    };
    assert_eq!(offsets(active_config.renewed_transfer()), Some((40, 40)));
    // The parts of a fetch in progress come from the same state.
    assert_eq!(offsets(active_config.transfer()), Some((40, 40)));
}
