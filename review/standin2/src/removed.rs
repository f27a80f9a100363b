//! Plain servers leave without a report while the store turns another VM away.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{client, edge, engine, record::Record, store};

/// Servers that leave, one after the other; another one has started before.
const LEAVERS: u8 = 8;
/// Time for which the store turns one VM away: the sheet has up to 9 s.
const TURNED_AWAY: Duration = Duration::from_millis(1_500);
/// Time from the first refused call until the server's entry is removed: VMs send datagrams at least each
/// 162 ms.
const REMOVED_AFTER: Duration = Duration::from_millis(170);
/// Time after the removal from which the server must get nothing, and after which it exits.
const DRAIN: Duration = Duration::from_millis(2_000);
const SERVES_ON: Duration = Duration::from_millis(2_100);
/// Pause between two servers that leave.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Work of a call: the sheet has up to 110 ms.
const WORK_MS: u64 = 100;
/// Clients of the two other VMs, and the time between two requests of each.
const CLIENTS: u64 = 12;
const INTERVAL: Duration = Duration::from_millis(100);

pub fn run(record: &Record, folder: &str, trouble: bool) -> bool {
    let network = edge::free_network();
    let store = store::Store::default();
    store.put("keyed.op", "config", &crate::configuration(7));
    let engines = engine::Engines::new(record.clone());
    engines.work_ms.store(WORK_MS, Ordering::Relaxed);
    let start = |place: u8| {
        let address = edge::address(network, 10 + place, 8080);
        engine::Engine::start(&engines, &store, &format!("i-app{place}"), address, crate::APP, true)
    };
    let mut servers: Vec<_> = (0..3).map(start).collect();
    let gates: Vec<_> = (0..3).map(|place| store.start_for(edge::address(network, 50 + place, 8742))).collect();
    let vms: Vec<_> = (0..3_u8)
        .map(|place| edge::Vm::start(network, 1 + place, edge::address(network, 50 + place, 8742), folder, record))
        .collect();
    vms.iter().for_each(edge::Vm::wait_ready);
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|place| {
            let (record, stop, answers) = (record.clone(), stop.clone(), answers.clone());
            let entry = vms[1 + place as usize % 2].entry;
            thread::spawn(move || {
                let mut number = 0;
                thread::sleep(INTERVAL * place as u32 / 6);
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("f{place:07x}{number:08x}");
                    let call = client::Call { method: "POST", target: "/pule252/2f", id: &id, deadline_ms: 1_000, headers: "", body: b"charge", key: crate::KEY };
                    let status = client::send(entry, &call).unwrap_or_default().status;
                    record.line(&format!("{id} sent to {entry}: status {status}"));
                    answers.lock().unwrap().push((id, status));
                    thread::sleep(INTERVAL);
                }
            })
        })
        .collect();

    let mut left = Vec::new();
    for place in 0..LEAVERS {
        servers.push(start(3 + place));
        thread::sleep(PAUSE);
        let gate = &gates[0];
        let refused = gate.refused.load(Ordering::Relaxed);
        if trouble {
            gate.refuses.store(true, Ordering::Relaxed);
            record.line(&format!("the store turns {} away", vms[0].name));
            let until = Instant::now() + TURNED_AWAY / 2;
            while gate.refused.load(Ordering::Relaxed) == refused && Instant::now() < until {
                thread::sleep(Duration::from_millis(1));
            }
        }
        let since = Instant::now();
        thread::sleep(REMOVED_AFTER);
        let leaver = servers[usize::from(place)].clone();
        leaver.leave(&store);
        let removed_at = Instant::now();
        left.push((leaver.id.clone(), removed_at));
        thread::sleep(TURNED_AWAY.saturating_sub(since.elapsed()));
        gate.refuses.store(false, Ordering::Relaxed);
        thread::sleep((removed_at + SERVES_ON).saturating_duration_since(Instant::now()));
        leaver.exit(&store);
    }
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap().clone();
    check(record, &engines, &left, &answers)
}

/// Whether servers began calls later than the rule allows; all came through VMs that the store served.
fn check(record: &Record, engines: &engine::Engines, left: &[(String, Instant)], answers: &[(String, u16)]) -> bool {
    let calls = engines.calls.lock().unwrap();
    let mut late = 0;
    let mut lost = 0;
    for (id, removed_at) in left {
        for call in calls.iter().filter(|call| call.engine == *id && call.began > *removed_at + DRAIN) {
            let after = call.began.duration_since(*removed_at).as_millis();
            let status = answers.iter().find(|(answered, _)| *answered == call.id).map_or(0, |(_, status)| *status);
            record.line(&format!("check: {} reached {id} {after} ms after its removal: status {status}", call.id));
            late += 1;
            lost += usize::from(status != 200);
        }
    }
    record.line(&format!("check: {late} of {} calls reached servers too late; {lost} of them were lost", calls.len()));
    late > 0
}
