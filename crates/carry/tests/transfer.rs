//! Transfers at various speeds, on the paused clock.

use std::time;

use carry::transfer;

const LIMIT: transfer::TransferLimit = transfer::TransferLimit {
    first: time::Duration::from_millis(1_000),
    silence: time::Duration::from_millis(300),
    total: time::Duration::from_millis(5_000),
};

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime");
    runtime.block_on(test);
}

/// Records a byte after each gap, then ends.
async fn bytes(meter: &transfer::TransferMeter, gaps: &[u64]) {
    for gap in gaps {
        tokio::time::sleep(time::Duration::from_millis(*gap)).await;
        meter.note(1);
    }
}

/// Runs a transfer with these gaps; returns the bytes and milliseconds at which it stalled, if it
/// did.
async fn halted(gaps: &[u64]) -> Option<(usize, u128)> {
    let meter = transfer::TransferMeter::default();
    let ended = meter.limit(&LIMIT, bytes(&meter, gaps)).await;
    let halted = ended.err();
    halted.map(|stalled| (stalled.received, stalled.waited.as_millis()))
}

#[test]
fn a_transfer_that_moves_is_waited_for() {
    // Guards against a limit that large transfers cannot meet however steadily they progress.
    run(async {
        assert_eq!(halted(&[]).await, None);
        assert_eq!(halted(&[900]).await, None);
        assert_eq!(halted(&[900, 290, 290, 290, 290, 290, 290]).await, None);
        assert_eq!(halted(&[200; 24]).await, None);
    });
}

#[test]
fn a_transfer_that_halts_or_trickles_is_given_up() {
    // Guards against a reader blocked by a connection that has gone silent.
    run(async {
        assert_eq!(halted(&[1_100]).await, Some((0, 1_000)));
        assert_eq!(halted(&[100, 400]).await, Some((1, 400)));
        assert_eq!(halted(&[100, 250, 400]).await, Some((2, 650)));
        assert_eq!(halted(&[290; 40]).await, Some((17, 5_000)));
    });
}

#[test]
fn only_a_transfer_in_progress_counts_as_moving() {
    // Guards against starting a second transfer over the same link while one is in progress, and
    // against waiting for one that has ended.
    run(async {
        let meter = transfer::TransferMeter::default();
        assert!(!meter.is_moving());
        let watched = meter.clone();
        let watch = async {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            assert!(!watched.is_moving(), "no byte has arrived yet");
            tokio::time::sleep(time::Duration::from_millis(100)).await;
            assert!(watched.is_moving());
        };
        let transfer = meter.limit(&LIMIT, bytes(&meter, &[100, 100]));
        let (ended, ()) = tokio::join!(transfer, watch);
        assert_eq!(ended, Ok(()));
        assert!(!meter.is_moving(), "the transfer has ended");
        let ended = meter.limit(&LIMIT, bytes(&meter, &[100, 1_000])).await;
        assert!(ended.is_err() && !meter.is_moving());
    });
}
