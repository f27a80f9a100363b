//! A stream on a leaving engine goes on at the engine that has its copy. The answer of that engine
//! is lost.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, stream};
use crate::engine::{Copies, Engine};
use crate::record::Record;
use crate::store::Store;
use crate::{vm, Verdict};

/// Requests that each engine runs before the stream that is judged, so that one lost answer is less
/// than one in 40 of the requests that an engine ran.
const MIN_RUNS: u64 = 45;
/// Clients that send them, and the time that they have.
const SHORT_CLIENTS: u64 = 12;
const SHORT_TIME: Duration = Duration::from_secs(40);
/// Time between two events.
const INTERVAL: Duration = Duration::from_millis(40);
const LONG_EVENTS: u64 = 300;

pub fn play(
    root: &Path,
    temporary: &Path,
    record: &Record,
    trouble: bool,
) -> Result<Verdict, String> {
    let store = Store::default();
    let text = |error: std::io::Error| error.to_string();
    let store_address = vm::address(200, 8742);
    store.serve(store_address).map_err(text)?;
    store.put("keyed.op", "config", client::CONFIG.as_bytes());
    let copies = Copies::default();
    let loses_answer = Arc::default();
    let mut engines = Vec::new();
    for (index, zone) in [
        (101, "hall-a"),
        (102, "hall-a"),
        (103, "hall-b"),
        (104, "hall-c"),
    ] {
        let id = format!("i-{index}");
        let address = vm::address(index, 8500);
        let engine = Engine::start(
            &id,
            address,
            zone,
            (32, INTERVAL),
            record,
            &store,
            &copies,
            &loses_answer,
        )
        .map_err(text)?;
        engines.push(engine);
    }
    let mut vms = Vec::new();
    for index in 1..=3 {
        vms.push(vm::Vm::start(root, temporary, index, store_address).map_err(text)?);
    }
    if !vms.iter().all(|vm| vm.wait_ready(Duration::from_secs(10))) {
        return Err("the VMs are not ready".to_owned());
    }
    record.note("all VMs are ready");
    // Longer than contact_ms.
    thread::sleep(Duration::from_secs(4));
    send_short_streams(&vms, &engines, record)?;
    let run_before: Vec<_> = engines
        .iter()
        .map(|engine| format!("{} {}", engine.id, engine.runs.load(Ordering::Relaxed)))
        .collect();
    record.note(&format!("requests that ran: {}", run_before.join(", ")));

    let id = "a11ce5a11ce5a11c";
    let entry = vms[0].entry;
    let client = {
        let record = record.clone();
        thread::spawn(move || stream(entry, id, LONG_EVENTS, &record, true))
    };
    thread::sleep(Duration::from_secs(3));
    let work = record.work_on(id);
    let first = work
        .last()
        .ok_or("the stream did not start")?
        .engine
        .clone();
    let source = engines.iter().find(|engine| engine.id == first);
    let source = source.ok_or("no such engine")?.clone();
    loses_answer.store(trouble, Ordering::Relaxed);
    source.drain();
    // It serves for drain_ms and a little longer, then exits.
    thread::sleep(Duration::from_millis(4_000));
    source.end();
    let whole = client.join().map_err(|_| "the client failed")?;
    record.note(&format!("the client's stream is whole: {whole}"));
    if vms.iter_mut().any(|vm| vm.ended().is_some()) {
        return Err("a VM has ended".to_owned());
    }
    Ok(judge(record, id, &first))
}

/// Sends short streams until each engine has run enough requests.
fn send_short_streams(
    vms: &[vm::Vm],
    engines: &[Arc<Engine>],
    record: &Record,
) -> Result<(), String> {
    let until = Instant::now() + SHORT_TIME;
    let is_enough = || {
        engines
            .iter()
            .all(|engine| engine.runs.load(Ordering::Relaxed) >= MIN_RUNS)
    };
    thread::scope(|scope| {
        for client in 0..SHORT_CLIENTS {
            let entry = vms[client as usize % vms.len()].entry;
            let is_enough = &is_enough;
            scope.spawn(move || {
                let mut number = 0;
                while !is_enough() && Instant::now() < until {
                    let id = format!("5{client:07x}{number:08x}");
                    stream(entry, &id, 2, record, false);
                    number += 1;
                }
            });
        }
    });
    if is_enough() {
        Ok(())
    } else {
        Err("an engine ran too few requests".to_owned())
    }
}

/// TWICE: a request goes on at another engine while the engine before still works on it 400 ms
/// later.
fn judge(record: &Record, id: &str, source: &str) -> Verdict {
    let work = record.work_on(id);
    let mut others = work.iter().filter(|work| work.engine != source);
    let Some(went_on) = others.next() else {
        record.note("the run did not go on elsewhere");
        return Verdict::Held;
    };
    let last = work
        .iter()
        .rfind(|work| work.engine == source)
        .unwrap_or(went_on);
    let overlap = last.at.saturating_sub(went_on.at);
    let twice = work.iter().filter(|one| {
        one.engine == source
            && work
                .iter()
                .any(|other| other.engine != source && other.event == one.event)
    });
    record.note(&format!(
        "run {id} went on at {} at {:.3} s (event {}); {source} worked on it until {:.3} s (event {}), {} ms \
         later; {} events were made twice",
        went_on.engine,
        went_on.at.as_secs_f64(),
        went_on.event,
        last.at.as_secs_f64(),
        last.event,
        overlap.as_millis(),
        twice.count(),
    ));
    if overlap > Duration::from_millis(400) {
        record.note("TWICE is broken");
        Verdict::Broken
    } else {
        record.note("TWICE held");
        Verdict::Held
    }
}
