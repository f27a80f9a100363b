//! The follower in the situations that have names.

use crate::cluster::{self, World};
use conf::{checkpoint, event, state};
use serde_json::json;

/// A world where the log has dropped its beginning and everybody has revision 2 or later.
fn grown() -> World {
    let mut world = World::new(7);
    world.publish_first();
    run(&mut world, 2_000);
    world.publish(1, json!({"rules": {"entries": {"keep_ms": 7_000}}}));
    run(&mut world, 2 * cluster::RETENTION_MS);
    assert!(world.first > 0, "the log has dropped its beginning");
    world
}

fn run(world: &mut World, duration_ms: u64) {
    for _ in 0..duration_ms / 250 {
        world.pass(250);
    }
}

fn ready(world: &World, vm: usize) -> event::ReadyState {
    world.vms[vm].follower.ready()
}

fn revision(world: &World, vm: usize) -> Option<u64> {
    world.vms[vm]
        .follower
        .in_force()
        .map(|offer| offer.revision)
}

/// Symptom: a fresh VM serves nothing, or by nothing, while the log is down.
/// Sequence: the log goes down; VMs are replaced one after the other until none of the old is left.
/// Cause: VMs keep nothing on disk; the state must pass from VM to VM.
#[test]
fn the_state_survives_the_replacement_of_every_vm_during_an_outage() {
    let mut world = grown();
    for vm in 0..world.vms.len() {
        world.is_log_up = false;
        world.replace(vm);
        assert_eq!(ready(&world, vm), event::ReadyState::NoState);
        for _ in 0..24 {
            world.is_log_up = false;
            world.pass(250);
        }
        assert_eq!(
            (ready(&world, vm), revision(&world, vm)),
            (event::ReadyState::Ready, Some(2))
        );
    }
}

/// Symptom: a VM serves although it has proved nothing.
/// Sequence: a fresh VM reaches neither the log nor another VM.
/// Cause: an empty configuration is not the one in force; it must refuse.
#[test]
fn a_fresh_vm_that_reaches_nobody_serves_nothing() {
    let mut world = grown();
    world.replace(1);
    world.vms[1].is_cut = true;
    run(&mut world, 10_000);
    assert_eq!(ready(&world, 1), event::ReadyState::NoState);
    world.vms[1].is_cut = false;
    run(&mut world, 5_000);
    assert_eq!(ready(&world, 1), event::ReadyState::Ready);
}

/// Symptom: an old configuration comes back.
/// Sequence: a VM is cut off, a change is published, the log drops what the VM had not read; the
/// VM returns with its old state while the log is down, and tells it to everybody.
/// Cause: its offset is lower; nobody takes it over, and it takes the newer one of the others.
#[test]
fn a_vm_that_returns_with_old_state_brings_nothing_back() {
    let mut world = grown();
    world.vms[0].is_cut = true;
    world.publish(2, json!({"rules": {"entries": {"keep_ms": 9_000}}}));
    run(&mut world, 2 * cluster::RETENTION_MS);
    assert_eq!(
        (revision(&world, 0), revision(&world, 1)),
        (Some(2), Some(3))
    );
    world.is_log_up = false;
    world.vms[0].is_cut = false;
    run(&mut world, 8_000);
    let revisions: Vec<_> = (0..world.vms.len())
        .map(|vm| revision(&world, vm))
        .collect();
    assert_eq!(revisions, [Some(3); 4]);
}

/// Symptom: nobody can publish or serve any more.
/// Sequence: no VM has the state, and the log has dropped every checkpoint.
/// Cause: an outage longer than retention with every VM replaced; an operator restores from files.
#[test]
fn an_operator_restores_what_log_and_vms_have_lost() {
    let mut world = grown();
    let known = world.vms[0]
        .follower
        .state()
        .expect("grown")
        .configuration()
        .clone();
    for vm in 0..world.vms.len() {
        world.replace(vm);
    }
    world.first = world.log.len() as u64;
    run(&mut world, 10_000);
    assert_eq!(ready(&world, 0), event::ReadyState::NoState);
    let next = world.log.len() as u64;
    let configuration = conf::document::Configuration::clone(&known);
    let restored = state::ConfigState::restored(configuration, 3, next).expect("valid");
    world
        .oracle
        .revisions
        .push(serde_json::to_value(&*known).expect("serializable"));
    for record in checkpoint::records(&restored, cluster::PART_BYTES) {
        world.append(record);
    }
    let last = world.oracle.after.len() - 1;
    world.oracle.after[next as usize - 1..=last].fill(3);
    run(&mut world, 15_000);
    for vm in 0..world.vms.len() {
        assert_eq!(
            (ready(&world, vm), revision(&world, vm)),
            (event::ReadyState::Ready, Some(3))
        );
    }
    world.publish(3, json!({"rules": {"entries": {"keep_ms": 1_234}}}));
    run(&mut world, 3_000);
    assert_eq!(revision(&world, 2), Some(4));
}
