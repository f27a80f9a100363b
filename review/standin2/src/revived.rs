//! A VM restarts while the store turns another one away, after a plain server has left without a report.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{client, edge, engine, record::Record, store};

/// Time from which the store turns one VM away until the entry of the server is removed.
const REMOVED_AFTER: Duration = Duration::from_millis(900);
/// Time for which a killed process is away.
const RESTARTS_AFTER: Duration = Duration::from_millis(300);
/// Time from the removal until the server exits.
const SERVES_ON: Duration = Duration::from_millis(7_000);
/// Time for which the store turns the VM away: the sheet has up to 9 s.
const TURNED_AWAY: Duration = Duration::from_millis(8_500);
/// Time after the removal from which the server must get nothing, and after its start from which a machine
/// is in touch.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Work of a call: the sheet has up to 110 ms.
const WORK_MS: u64 = 100;
/// Clients, and the time between two requests of each.
const CLIENTS: u64 = 20;
const INTERVAL: Duration = Duration::from_millis(100);

pub fn run(record: &Record, folder: &str, trouble: bool) -> bool {
    let network = edge::free_network();
    let store = store::Store::default();
    store.put("keyed.op", "config", &crate::configuration(7));
    let engines = engine::Engines::new(record.clone());
    engines.work_ms.store(WORK_MS, Ordering::Relaxed);
    let servers: Vec<_> = (0..3)
        .map(|place| {
            let address = edge::address(network, 10 + place, 8080);
            engine::Engine::start(&engines, &store, &format!("i-app{place}"), address, crate::APP, true)
        })
        .collect();
    let store_address = |place: u8| edge::address(network, 50 + place, 8742);
    let gates: Vec<_> = (0..3).map(|place| store.start_for(store_address(place))).collect();
    let start = |place: u8| edge::Vm::start(network, 1 + place, store_address(place), folder, record);
    let mut vms: Vec<_> = (0..3).map(start).collect();
    vms.iter().for_each(edge::Vm::wait_ready);
    thread::sleep(Duration::from_secs(4));
    if trouble {
        let lost = vms.pop();
        record.line(&format!("{} is removed for good", lost.map_or_else(String::new, |vm| vm.name.clone())));
        thread::sleep(Duration::from_secs(4));
    }

    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let entry = vms[1].entry;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|place| {
            let (record, stop, answers) = (record.clone(), stop.clone(), answers.clone());
            thread::spawn(move || {
                let mut number = 0;
                thread::sleep(INTERVAL * place as u32 / 10);
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("a{place:07x}{number:08x}");
                    let call = client::Call { method: "POST", target: "/pule252/2f", id: &id, deadline_ms: 1_000, headers: "", body: b"charge", key: crate::KEY };
                    let status = client::send(entry, &call).unwrap_or_default().status;
                    record.line(&format!("{id} sent to {entry}: status {status}"));
                    answers.lock().unwrap().push((id, status));
                    thread::sleep(INTERVAL);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));

    let turned_away_at = Instant::now();
    if trouble {
        gates[0].refuses.store(true, Ordering::Relaxed);
        record.line(&format!("the store turns {} away", vms[0].name));
    }
    thread::sleep(REMOVED_AFTER);
    let leaver = &servers[0];
    leaver.leave(&store);
    let removed_at = Instant::now();
    let mut in_touch_at = removed_at;
    if trouble {
        let _ = vms[1].child.kill();
        let _ = vms[1].child.wait();
        record.line(&format!("{} is killed", vms[1].name));
        thread::sleep(RESTARTS_AFTER);
        in_touch_at = Instant::now() + CONTACT;
        vms[1] = start(1);
    }
    thread::sleep((removed_at + SERVES_ON).saturating_duration_since(Instant::now()));
    leaver.exit(&store);
    thread::sleep((turned_away_at + TURNED_AWAY).saturating_duration_since(Instant::now()));
    gates[0].refuses.store(false, Ordering::Relaxed);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap().clone();
    check(record, &engines, &leaver.id, removed_at, in_touch_at, &answers)
}

/// Whether the server began calls later than the rule allows, sent by the VM that restarted, once that is in
/// touch again. All clients use this VM.
fn check(record: &Record, engines: &engine::Engines, leaver: &str, removed_at: Instant, in_touch_at: Instant, answers: &[(String, u16)]) -> bool {
    let calls = engines.calls.lock().unwrap();
    let bound = (removed_at + DRAIN).max(in_touch_at);
    let late: Vec<_> = calls.iter().filter(|call| call.engine == leaver && call.began > bound).collect();
    let status = |id: &str| answers.iter().find(|(answered, _)| answered == id).map_or(0, |(_, status)| *status);
    let lost: Vec<_> = late.iter().filter(|call| status(&call.id) != 200).collect();
    for call in &lost {
        let after = call.began.duration_since(removed_at).as_millis();
        record.line(&format!("check: {} reached {leaver} {after} ms after its removal, and is lost: status {}", call.id, status(&call.id)));
    }
    record.line(&format!("check: {} of {} calls reached {leaver} too late; {} of them were lost", late.len(), calls.len(), lost.len()));
    !late.is_empty()
}
