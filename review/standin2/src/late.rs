//! A server leaves without a report: its entry is removed. A heartbeat that it sent seconds earlier, and that
//! got no response, is executed by the store after that.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{client, edge, engine, record::Record, store};

/// Time after the heartbeat that gets no response until the store executes it: the kinds say 1 to 6 s.
const LATE: Duration = Duration::from_millis(5_500);
/// Time from that heartbeat, the last write without a response, until the entry is removed: machines are in
/// touch from 3 s on.
const REMOVED_AFTER: Duration = Duration::from_millis(3_200);
/// Time after the removal from which the server must get nothing.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time from the removal until the server exits.
const SERVES_ON: Duration = Duration::from_millis(5_000);
/// Work of a call: the sheet has up to 110 ms.
const WORK_MS: u64 = 100;
/// Clients, and the time between two requests of each.
const CLIENTS: u64 = 15;
const INTERVAL: Duration = Duration::from_millis(100);

pub fn run(record: &Record, folder: &str, trouble: bool) -> bool {
    let network = edge::free_network();
    let store = store::Store::default();
    let store_address = edge::address(network, 50, 8742);
    store.put("keyed.op", "config", &crate::configuration(7));
    store.start(store_address);
    let engines = engine::Engines::new(record.clone());
    engines.work_ms.store(WORK_MS, Ordering::Relaxed);
    let servers: Vec<_> = (0..3)
        .map(|place| {
            let address = edge::address(network, 10 + place, 8080);
            engine::Engine::start(&engines, &store, &format!("i-app{place}"), address, crate::APP, true)
        })
        .collect();
    let vms: Vec<_> = (1..4).map(|host| edge::Vm::start(network, host, store_address, folder, record)).collect();
    vms.iter().for_each(edge::Vm::wait_ready);
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|place| {
            let (record, stop, answers) = (record.clone(), stop.clone(), answers.clone());
            let entry = vms[place as usize % 3].entry;
            thread::spawn(move || {
                let mut number = 0;
                thread::sleep(INTERVAL * place as u32 / 8);
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("e{place:07x}{number:08x}");
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

    let leaver = &servers[0];
    let lost_at = Instant::now();
    let entry = leaver.next_entry().unwrap_or_default();
    if trouble {
        record.line(&format!("a heartbeat of {} gets no response", leaver.id));
    }
    thread::sleep(REMOVED_AFTER);
    leaver.leave(&store);
    let removed_at = Instant::now();
    thread::sleep((lost_at + LATE).saturating_duration_since(Instant::now()));
    if trouble {
        store.put("keyed.servers", &leaver.id, &entry);
        record.line(&format!("the store executes the heartbeat: {entry}"));
    }
    thread::sleep((removed_at + SERVES_ON).saturating_duration_since(Instant::now()));
    leaver.exit();
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let calls = engines.calls.lock().unwrap();
    let answers = answers.lock().unwrap();
    let late: Vec<_> = calls.iter().filter(|call| call.engine == leaver.id && call.began > removed_at + DRAIN).collect();
    let lost = late.iter().filter(|call| answers.iter().any(|(id, status)| *id == call.id && *status != 200)).count();
    record.line(&format!(
        "check: {} of {} calls reached {} later than {} ms after its removal; {lost} of them were lost as it exited",
        late.len(), calls.len(), leaver.id, DRAIN.as_millis()
    ));
    !late.is_empty()
}
