//! Single scenarios of followers, each guarding against a specific failure.

use crate::cluster::{self, TestCluster};
use conf::{checkpoint, event, state};
use serde_json::json;

/// A cluster in which the log has dropped its oldest records and all VMs have revision 2.
fn truncated_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(7);
    cluster.publish_initial();
    run(&mut cluster, 2_000);
    cluster.publish(1, json!({"rules": {"entries": {"keep_ms": 7_000}}}));
    run(&mut cluster, 2 * cluster::RETENTION_MS);
    assert!(
        cluster.first > 0,
        "the log has not dropped its oldest records"
    );
    cluster
}

fn run(cluster: &mut TestCluster, duration_ms: u64) {
    for _ in 0..duration_ms / 250 {
        cluster.advance(250);
    }
}

fn ready(cluster: &TestCluster, vm: usize) -> event::ReadyState {
    cluster.vms[vm].follower.ready()
}

fn revision(cluster: &TestCluster, vm: usize) -> Option<u64> {
    cluster.vms[vm]
        .follower
        .in_force()
        .map(|offer| offer.revision)
}

/// Guards against fresh VMs that cannot serve, or serve without a state, while the log is down.
/// During an outage all VMs are replaced one after the other. VMs keep no state on disk, so each
/// fresh VM must fetch it from another one.
#[test]
fn the_state_survives_the_replacement_of_every_vm_during_an_outage() {
    let mut cluster = truncated_cluster();
    for vm in 0..cluster.vms.len() {
        cluster.is_log_up = false;
        cluster.replace(vm);
        assert_eq!(ready(&cluster, vm), event::ReadyState::NoState);
        for _ in 0..24 {
            cluster.is_log_up = false;
            cluster.advance(250);
        }
        assert_eq!(
            (ready(&cluster, vm), revision(&cluster, vm)),
            (event::ReadyState::Ready, Some(2))
        );
    }
}

/// Guards against a VM that serves without a current configuration. A fresh VM reaches neither the
/// log nor another VM; the empty configuration is not the one in force, so it must not serve.
#[test]
fn an_isolated_fresh_vm_does_not_serve() {
    let mut cluster = truncated_cluster();
    cluster.replace(1);
    cluster.vms[1].is_partitioned = true;
    run(&mut cluster, 10_000);
    assert_eq!(ready(&cluster, 1), event::ReadyState::NoState);
    cluster.vms[1].is_partitioned = false;
    run(&mut cluster, 5_000);
    assert_eq!(ready(&cluster, 1), event::ReadyState::Ready);
}

/// Guards against an outdated configuration that replaces a newer one. A VM is partitioned, a
/// change is published and the log drops records that the VM has not read. The VM reconnects while
/// the log is down and offers its old state. Its offset is lower, so no other VM may adopt that
/// state, and it must fetch the newer one.
#[test]
fn a_reconnected_vm_with_an_old_state_reverts_nothing() {
    let mut cluster = truncated_cluster();
    cluster.vms[0].is_partitioned = true;
    cluster.publish(2, json!({"rules": {"entries": {"keep_ms": 9_000}}}));
    run(&mut cluster, 2 * cluster::RETENTION_MS);
    assert_eq!(
        (revision(&cluster, 0), revision(&cluster, 1)),
        (Some(2), Some(3))
    );
    cluster.is_log_up = false;
    cluster.vms[0].is_partitioned = false;
    run(&mut cluster, 8_000);
    let revisions: Vec<_> = (0..cluster.vms.len())
        .map(|vm| revision(&cluster, vm))
        .collect();
    assert_eq!(revisions, [Some(3); 4]);
}

/// Guards against a cluster that can never publish or serve again. After an outage longer than the
/// retention period in which every VM was replaced, no VM has the state and the log has no
/// checkpoint. A state that an operator restores from files must bring the cluster back.
#[test]
fn a_state_restored_from_files_recovers_a_cluster_without_state() {
    let mut cluster = truncated_cluster();
    let known = cluster.vms[0]
        .follower
        .state()
        .expect("has a state")
        .configuration()
        .clone();
    for vm in 0..cluster.vms.len() {
        cluster.replace(vm);
    }
    cluster.first = cluster.log.len() as u64;
    run(&mut cluster, 10_000);
    assert_eq!(ready(&cluster, 0), event::ReadyState::NoState);
    let next = cluster.log.len() as u64;
    let configuration = conf::document::Configuration::clone(&known);
    let restored = state::ConfigState::restored(configuration, 3, next).expect("valid");
    cluster
        .oracle
        .revisions
        .push(serde_json::to_value(&*known).expect("serializable"));
    for record in checkpoint::records(&restored, cluster::PART_BYTES) {
        cluster.append(record);
    }
    let last = cluster.oracle.after.len() - 1;
    cluster.oracle.after[next as usize - 1..=last].fill(3);
    run(&mut cluster, 15_000);
    for vm in 0..cluster.vms.len() {
        assert_eq!(
            (ready(&cluster, vm), revision(&cluster, vm)),
            (event::ReadyState::Ready, Some(3))
        );
    }
    cluster.publish(3, json!({"rules": {"entries": {"keep_ms": 1_234}}}));
    run(&mut cluster, 3_000);
    assert_eq!(revision(&cluster, 2), Some(4));
}

/// Guards against VMs that read on at an offset which a restored log gives out again, and against a
/// configuration that the log has lost for VMs that start later.
#[test]
fn a_change_after_the_log_came_back_from_a_copy_is_in_force() {
    let mut cluster = truncated_cluster();
    let copied = cluster.log.len();
    for keep_ms in [7_100, 7_200, 7_300] {
        cluster.publish(
            revision(&cluster, 0).unwrap_or_default(),
            json!({"rules": {"entries": {"keep_ms": keep_ms}}}),
        );
        run(&mut cluster, 2_000);
    }
    let before = revision(&cluster, 0);
    assert!(before > Some(2));
    cluster.log.truncate(copied);
    cluster.publish(
        before.unwrap_or_default(),
        json!({"rules": {"entries": {"keep_ms": 8_000}}}),
    );
    run(&mut cluster, 10_000);
    let after = (0..cluster.vms.len()).map(|vm| revision(&cluster, vm));
    assert!(after.clone().all(|after| after > before), "{before:?}");
}
