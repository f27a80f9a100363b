//! A VM is stopped after its settings file has changed, and SIGHUP has told so: the new file has a shorter
//! time between SIGTERM and SIGKILL.

use std::{
    sync::{atomic::Ordering, Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{client, edge, engine, record::Record, store};

/// Time between SIGTERM and SIGKILL before and after the change.
const GRACE: Duration = Duration::from_secs(8);
const NEW_GRACE: Duration = Duration::from_secs(4);
/// Time from SIGHUP until SIGTERM.
const SETTLE: Duration = Duration::from_secs(7);
/// Time for which a client keeps a lookup: three times the 1.5 s that the answer says.
const LOOKUP_KEPT: Duration = Duration::from_millis(4_500);
/// Requests that were sent later than this after SIGTERM must be answered even if they are still at work
/// shortly before SIGKILL.
const EXCUSED_MS: u64 = 3_000;
/// Clients that asked just before SIGTERM, and the work of a call: the sheet has up to 110 ms.
const CLIENTS: u64 = 12;
const WORK_MS: u64 = 100;

/// A request that was sent to the VM that stops.
struct Sent {
    id: String,
    after_term_ms: u64,
    answered: bool,
}

pub fn run(record: &Record, folder: &str, trouble: bool) -> bool {
    let network = edge::free_network();
    let store = store::Store::default();
    let store_address = edge::address(network, 50, 8742);
    store.put("keyed.op", "config", &crate::configuration(7));
    store.start(store_address);
    let engines = engine::Engines::new(record.clone());
    engines.work_ms.store(WORK_MS, Ordering::Relaxed);
    for place in 0..3 {
        let address = edge::address(network, 10 + place, 8080);
        engine::Engine::start(&engines, &store, &format!("i-app{place}"), address, crate::APP, true);
    }
    let mut vms: Vec<_> = (1..4).map(|host| edge::Vm::start(network, host, store_address, folder, record)).collect();
    vms.iter().for_each(edge::Vm::wait_ready);
    thread::sleep(Duration::from_secs(4));

    let mut grace = GRACE;
    if trouble {
        grace = NEW_GRACE;
        for vm in &vms {
            vm.change_settings("\"grace_s\":8", "\"grace_s\":4");
            vm.signal(edge::SIGHUP);
        }
        record.line("the settings files have grace_s 4 in place of 8; SIGHUP");
    }
    thread::sleep(SETTLE);

    let addresses = client::lookup(vms[1].lookup);
    record.line(&format!("clients look up {addresses:?}"));
    if addresses.len() != 3 {
        crate::cannot_run("a lookup does not name all VMs");
    }
    let looked_up = Instant::now();
    let stopped = vms[0].entry;
    let term_at = Instant::now();
    vms[0].signal(edge::SIGTERM);
    record.line("SIGTERM");
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|place| {
            let (record, sent, addresses) = (record.clone(), sent.clone(), addresses.clone());
            thread::spawn(move || {
                let mut draw = place.wrapping_mul(0x9e37_79b9_7f4a_7c15) + 1;
                let mut number = 0;
                while looked_up.elapsed() < LOOKUP_KEPT {
                    draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    let address = addresses[(draw >> 33) as usize % addresses.len()];
                    number += 1;
                    let id = format!("d{place:07x}{number:08x}");
                    let after_term_ms = term_at.elapsed().as_millis() as u64;
                    let call = client::Call { method: "POST", target: "/pule252/2f", id: &id, deadline_ms: 1_000, headers: "", body: b"charge", key: crate::KEY };
                    let answer = client::send(address, &call);
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    let answered = answer.is_some_and(|answer| answer.complete);
                    record.line(&format!("{id} sent to {address} {after_term_ms} ms after SIGTERM: status {status}, complete {answered}"));
                    if address == stopped {
                        sent.lock().unwrap().push(Sent { id, after_term_ms, answered });
                    }
                }
            })
        })
        .collect();
    while term_at.elapsed() < grace && !vms[0].has_ended() {
        thread::sleep(Duration::from_millis(2));
    }
    if vms[0].has_ended() {
        record.line("the process has ended by itself");
    } else {
        let _ = vms[0].child.kill();
        record.line("SIGKILL");
    }
    for client in clients {
        let _ = client.join();
    }
    let calls = engines.calls.lock().unwrap();
    let sent = sent.lock().unwrap();
    let lost: Vec<_> = sent
        .iter()
        .filter(|sent| !sent.answered && sent.after_term_ms > EXCUSED_MS && calls.iter().any(|call| call.id == sent.id))
        .collect();
    for lost in &lost {
        record.line(&format!("check: {} was sent {} ms after SIGTERM, was run, and has no answer", lost.id, lost.after_term_ms));
    }
    record.line(&format!("check: {} of {} requests to the VM that stopped were lost", lost.len(), sent.len()));
    !lost.is_empty()
}
