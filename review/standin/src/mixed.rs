//! An engine that leaves sends an answer once more, late, on a connection on which the VM has asked it
//! to copy a run. Two runs are to move off it.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::engine::{Copies, Engine, STRIDE};
use crate::record::Record;
use crate::store::Store;
use crate::{vm, Verdict};

/// Slots of an engine, and time between two events.
const PACE: (u32, Duration) = (32, Duration::from_millis(90));
/// Prompt and events of the streams that move, and of those that fill the other engine.
const PROMPT: u64 = 5_600;
const EVENTS: u64 = 400;
/// Streams that fill the other engine, with a memory of 34,484 tokens, so that none moves there: prompt,
/// estimate of the output, events.
const FILLING: [(u64, u64, u64); 6] = [
    (PROMPT, EVENTS * STRIDE, EVENTS),
    (PROMPT, EVENTS * STRIDE, EVENTS),
    (PROMPT, EVENTS * STRIDE, EVENTS),
    (PROMPT, EVENTS * STRIDE, EVENTS),
    (2_600, 40, 300),
    (2_600, 40, 300),
];
/// Requests that the leaving engine answers before, so that one surplus answer is less than one in
/// 34, 0.03 of its answers.
const SHORT_STREAMS: u64 = 60;
/// Time for a copy of 5,900 tokens of 327,680 bytes at 47 Gbit/s.
const COPY_TIME: Duration = Duration::from_millis(330);

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
    let (copies, loses_answer) = (Copies::default(), Arc::default());
    let start = |index: u8| {
        let (id, address) = (format!("i-{index}"), vm::address(index, 8500));
        Engine::start(
            &id,
            address,
            "hall-a",
            PACE,
            record,
            &store,
            &copies,
            &loses_answer,
        )
    };
    let target = start(102).map_err(text)?;
    let mut vms = Vec::new();
    for index in 1..=2 {
        vms.push(vm::Vm::start(root, temporary, index, store_address).map_err(text)?);
    }
    if !vms.iter().all(|vm| vm.wait_ready(Duration::from_secs(10))) {
        return Err("the VMs are not ready".to_owned());
    }
    // Longer than contact_ms.
    thread::sleep(Duration::from_secs(4));
    let entry = vms[0].entry;
    let send = |id: String, tokens: (u64, u64), events: u64| {
        let record = record.clone();
        thread::spawn(move || client::pieces(entry, &id, tokens, events, &record))
    };
    let filling_id = |number: usize| format!("f111{number:012x}");
    for (number, (prompt, hint, events)) in FILLING.into_iter().enumerate() {
        send(filling_id(number), (prompt, hint), events);
        thread::sleep(Duration::from_millis(600));
    }
    let filled =
        (0..FILLING.len()).filter(|&number| !record.work_on(&filling_id(number)).is_empty());
    if filled.count() < FILLING.len() {
        return Err("the other engine is not full".to_owned());
    }
    let source = start(101).map_err(text)?;
    source.set_copy_time(COPY_TIME);
    thread::sleep(Duration::from_secs(2));
    for number in 0..SHORT_STREAMS {
        client::stream(entry, &format!("5407{number:012x}"), 1, record, false);
    }
    // Connections that were used before are too old now to carry a request that runs once.
    thread::sleep(Duration::from_secs(2));
    let (first, second) = ("aaaa00000000aaaa", "bbbb00000000bbbb");
    let moving = [first, second].map(|id| {
        let sent = send(id.to_owned(), (PROMPT, EVENTS * STRIDE), EVENTS);
        thread::sleep(Duration::from_millis(600));
        sent
    });
    // A short answer, longer than its client expected. It ends 2 s after the engine has said that it
    // leaves, and does not move.
    let last = "cccc00000000cccc";
    if trouble {
        source.answer_twice(last);
    }
    let ends_before = send(last.to_owned(), (200, 8), 26);
    thread::sleep(Duration::from_millis(350));
    let ran = source.runs.load(Ordering::Relaxed);
    record.note(&format!("engine i-101 has run {ran} requests"));
    let runs_there = |id: &str| record.work_on(id).iter().all(|work| work.engine == "i-101");
    if ![first, second, last].into_iter().all(runs_there) || ran < 34 {
        return Err("the streams do not run on the engine that leaves".to_owned());
    }
    source.drain();
    // Room comes up at the other engine. The VMs know for more than a second that the engine leaves.
    thread::sleep(Duration::from_millis(2_400));
    target.complete(&filling_id(0));
    let pieces = moving.map(|sent| sent.join().unwrap_or_default());
    let _ = ends_before.join();
    source.end();
    let foreign = |(id, pieces): (&str, &Vec<String>)| {
        let foreign: Vec<_> = pieces.iter().filter(|piece| !piece.ends_with(id)).collect();
        if let Some(piece) = foreign.first() {
            let count = foreign.len();
            record.note(&format!(
                "the caller of {id} got {count} foreign pieces, the first: {piece}"
            ));
        }
        !foreign.is_empty()
    };
    let results = [foreign((first, &pieces[0])), foreign((second, &pieces[1]))];
    if results.contains(&true) {
        record.note("MIXED is broken");
        Ok(Verdict::Broken)
    } else {
        record.note("MIXED held");
        Ok(Verdict::Held)
    }
}
