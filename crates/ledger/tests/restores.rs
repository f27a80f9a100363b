//! The log comes back from an older copy of itself: claims and outcomes that it has lost hold all
//! the same.

mod cluster;

use ledger::{host, permit, route};
use tokio::time;

/// Number of random histories.
const HISTORIES: u64 = 60;
/// Time in which VMs notice a restore and complete the log again.
const RESTORED: time::Duration = time::Duration::from_secs(6);

fn cluster_of(vms: usize) -> cluster::TestCluster {
    let settings = host::HostSettings::default();
    let cluster = cluster::TestCluster::new(7, vms, settings, route::RouteSettings::default());
    cluster.clear_faults();
    cluster
}

async fn claim(cluster: &cluster::TestCluster, vm: usize, key: &str) -> permit::ClaimAnswer {
    cluster.vms[vm].router.claim(cluster::booking(key)).await
}

#[test]
fn a_call_that_was_claimed_is_claimed_by_nobody_else_after_a_restore() {
    // Guards against a call that may not run twice and runs twice, since the log has lost its claim.
    cluster::run_paused(async {
        let cluster = cluster_of(3);
        let answer = claim(&cluster, 0, "1000000-before").await;
        assert!(matches!(answer, permit::ClaimAnswer::Granted(_)));
        let copy = cluster.log.copy();
        let answer = claim(&cluster, 0, "1000000-a").await;
        assert!(
            matches!(answer, permit::ClaimAnswer::Granted(_)),
            "{answer:?}"
        );
        cluster.log.restore(copy);
        for vm in [1, 2, 0] {
            let again = claim(&cluster, vm, "1000000-a").await;
            assert!(
                !matches!(again, permit::ClaimAnswer::Granted(_)),
                "{again:?}"
            );
        }
    });
}

#[test]
fn a_stored_answer_is_given_again_after_a_restore_also_by_a_new_vm() {
    // Guards against a repeat that gets no answer, or runs the call again, since the log has lost
    // the outcome.
    cluster::run_paused(async {
        let mut cluster = cluster_of(3);
        let copy = cluster.log.copy();
        let answer = claim(&cluster, 0, "1000000-a").await;
        let permit::ClaimAnswer::Granted(permit) = answer else {
            panic!("{answer:?}");
        };
        cluster.vms[0]
            .router
            .settle(permit, cluster::booked())
            .await;
        time::sleep(time::Duration::from_millis(200)).await;
        cluster.log.restore(copy);
        time::sleep(RESTORED).await;
        for vm in 0..3 {
            cluster.replace(vm);
        }
        for vm in 0..3 {
            let repeated = claim(&cluster, vm, "1000000-a").await;
            assert!(
                matches!(repeated, permit::ClaimAnswer::Stored(_)),
                "{repeated:?}"
            );
        }
    });
}

#[test]
fn records_at_offsets_given_out_again_are_read() {
    // Guards against a VM that goes on reading at an offset of the earlier era and misses a claim.
    cluster::run_paused(async {
        let cluster = cluster_of(2);
        let copy = cluster.log.copy();
        for index in 0..5 {
            let answer = claim(&cluster, 0, &format!("1000000-{index}")).await;
            assert!(
                matches!(answer, permit::ClaimAnswer::Granted(_)),
                "{answer:?}"
            );
        }
        cluster.log.restore(copy);
        time::sleep(RESTORED).await;
        let answer = claim(&cluster, 1, "1000000-later").await;
        assert!(
            matches!(answer, permit::ClaimAnswer::Granted(_)),
            "{answer:?}"
        );
        let again = claim(&cluster, 0, "1000000-later").await;
        assert!(
            !matches!(again, permit::ClaimAnswer::Granted(_)),
            "{again:?}"
        );
    });
}

#[test]
fn no_call_is_granted_twice_whatever_copies_the_log_comes_back_from() {
    // Guards against claims that meet restores at any moment, several in a row.
    cluster::check_histories(HISTORIES, 1_024, |u, _| {
        let mut granted = std::collections::BTreeMap::<u8, u32>::new();
        let mut steps = Vec::new();
        for _ in 0..u.int_in_range(5..=25)? {
            steps.push((
                u.int_in_range(0..=9_u8)?,
                u.int_in_range(0..=3_u8)?,
                u.arbitrary::<u8>()?,
            ));
        }
        cluster::run_paused(async {
            let cluster = cluster_of(3);
            let mut copies = vec![cluster.log.copy()];
            for (kind, key, draw) in steps {
                match kind {
                    0 => copies.push(cluster.log.copy()),
                    1 => {
                        let index = usize::from(draw) % copies.len();
                        copies.truncate(index + 1);
                        cluster.log.restore(copies[index].clone());
                    }
                    2 => time::sleep(time::Duration::from_millis(u64::from(draw) * 10)).await,
                    _ => {
                        let vm = usize::from(draw) % 3;
                        let answer = claim(&cluster, vm, &format!("1000000-{key}")).await;
                        if let permit::ClaimAnswer::Granted(_) = answer {
                            *granted.entry(key).or_default() += 1;
                        }
                    }
                }
            }
        });
        assert!(granted.values().all(|count| *count <= 1), "{granted:?}");
        Ok(())
    });
}
