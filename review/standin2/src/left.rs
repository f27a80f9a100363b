//! Streams go on elsewhere while an engine drains that works on after its connections have closed.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{client, edge, engine, record::Record, store};

/// Streams in progress when the engine begins to drain, and the events of each: about 8 s.
const STREAMS: usize = 20;
const EVENTS: u64 = 320;
/// Time for which both engines may work on a request.
const BOTH_MS: u64 = 400;
/// Time until the first requests: VMs that have just started go without repeats for a window of the budget.
const WARM_UP: Duration = Duration::from_secs(14);
/// Time of the drain after which the engine exits: `drain_ms` and a little.
const DRAIN: Duration = Duration::from_millis(3_000);

pub fn run(record: &Record, folder: &str, trouble: bool) -> bool {
    let network = edge::free_network();
    let store = store::Store::default();
    let store_address = edge::address(network, 50, 8742);
    store.put("keyed.op", "config", &crate::configuration(7));
    store.start(store_address);
    let engines = engine::Engines::new(record.clone());
    let servers: Vec<_> = (0..5)
        .map(|place| {
            let drops = place != 0;
            let address = edge::address(network, 10 + place, 8080);
            engine::Engine::start(&engines, &store, &format!("i-llm{place}"), address, crate::LLM, drops)
        })
        .collect();
    let vms: Vec<_> = (1..4).map(|host| edge::Vm::start(network, host, store_address, folder, record)).collect();
    vms.iter().for_each(edge::Vm::wait_ready);
    thread::sleep(WARM_UP);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..STREAMS)
        .map(|place| {
            let (entry, record, answers) = (vms[place % 3].entry, record.clone(), answers.clone());
            thread::sleep(Duration::from_millis(60));
            thread::spawn(move || {
                let id = format!("a{place:015x}");
                record.line(&format!("client sends {id} to {entry}"));
                let headers = format!("Model: m\r\nToken-Usage: 1200,{}\r\nPrefix-Hash: 5c1e07a2:800,{:08x}:400\r\n", EVENTS * 4, 0x9100_0000_u32 + place as u32);
                let call = client::Call { method: "POST", target: "/lohu930/2f", id: &id, deadline_ms: 39_000, headers: &headers, body: b"{}", key: crate::KEY };
                let answer = client::send(entry, &call).unwrap_or_default();
                record.line(&format!("client of {id} has status {}, complete {}, {} bytes", answer.status, answer.complete, answer.body.len()));
                answers.lock().unwrap().push(answer);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    if trouble {
        servers[0].drain(&store);
    }
    thread::sleep(DRAIN);
    if trouble {
        servers[0].exit(&store);
    }
    for client in clients {
        let _ = client.join();
    }
    check(record, &engines)
}

/// Whether a request went on at another engine while the engine before still worked on it later than the
/// rule allows.
fn check(record: &Record, engines: &engine::Engines) -> bool {
    let runs = engines.runs.lock().unwrap();
    let mut broken = 0;
    for next in runs.iter().filter(|run| run.resumed) {
        let before = runs.iter().filter(|run| run.id == next.id && run.began < next.began && run.engine != next.engine);
        for before in before {
            let ended = before.ended.lock().unwrap().unwrap_or(u64::MAX);
            let over = ended.saturating_sub(next.began);
            record.line(&format!("check: {} went on at {} at {} ms, {} worked on it for {over} ms more", next.id, next.engine, next.began, before.engine));
            broken += usize::from(over > BOTH_MS);
        }
    }
    record.line(&format!("check: {broken} requests at two engines for more than {BOTH_MS} ms"));
    broken > 0
}
