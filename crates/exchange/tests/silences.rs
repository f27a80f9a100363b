//! Times in which the store gives no response: VMs go by what it acknowledges after them in time.

mod cluster;

use std::time;

use cluster::{log_store, running};
use tokio::time::{self as clock, Instant};

/// Time from the end of a silence after which VMs are in touch with the store.
const CONTACT: time::Duration = time::Duration::from_secs(3);
/// Time from its acknowledgement until a server that leaves gets no work.
const DRAIN: time::Duration = time::Duration::from_secs(2);
/// Time from the end of a silence until the operator's next change.
const CHANGE_DELAY: time::Duration = time::Duration::from_millis(100);

#[test]
fn a_change_after_a_silence_of_the_store_is_in_force_once_vms_are_in_touch() {
    // Guards against calls that went silent just before the store is back, and whose timeouts and pauses
    // hide what it acknowledges since.
    for vms in [1, 3, 9] {
        for step in 0..40 {
            cluster::run(async move {
                let running = running::RunningVms::start(vms, 0.0).await;
                running.store.silent.set(true);
                clock::sleep(time::Duration::from_millis(2_000 + 100 * step)).await;
                running.store.silent.set(false);
                let back_at = Instant::now();
                clock::sleep(CHANGE_DELAY).await;
                let document = bytes::Bytes::from_static(b"2");
                let record = log_store::OperatorRecord::Document(document);
                running.store.operate(record);
                clock::sleep_until(back_at + CONTACT).await;
                for (number, vm) in running.vms.vms.iter().enumerate() {
                    let version = vm.plane.state().version();
                    assert_eq!(version, 2, "VM {number} of {vms}, step {step}");
                }
                let server = running::name(7);
                running.store.append(&server, None);
                running.check_known(&server, DRAIN).await;
            });
        }
    }
}
