//! A VM is told to stop while engines are crowded. A stream that was refused and comes back to the VM
//! waits there for a place until the process ends.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Answer};
use crate::engine::{Copies, Engine};
use crate::record::Record;
use crate::store::Store;
use crate::{vm, Verdict};

/// Slots of an engine.
const SLOTS: u32 = 24;
/// Time between two events: a crowded engine is slow.
const INTERVAL: Duration = Duration::from_millis(170);
/// Events of the streams that occupy the slots.
const EVENTS: u64 = 170;
/// When the judged stream is sent after SIGTERM: within the time for which some clients keep the
/// answer of a lookup, which is three times its 1.5 s.
const SENT_AFTER: Duration = Duration::from_millis(2_300);
/// grace_s.
const GRACE: Duration = Duration::from_secs(8);
/// loss_slack_ms.
const LOSS_SLACK: Duration = Duration::from_millis(200);

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
    let mut engines = Vec::new();
    for (index, zone) in [(101, "hall-a"), (102, "hall-b"), (103, "hall-c")] {
        let (id, address) = (format!("i-{index}"), vm::address(index, 8500));
        let pace = (SLOTS, INTERVAL);
        let engine = Engine::start(
            &id,
            address,
            zone,
            pace,
            record,
            &store,
            &copies,
            &loses_answer,
        );
        engines.push(engine.map_err(text)?);
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
    for number in 0..engines.len() * SLOTS as usize {
        let entry = vms[1 + number % 2].entry;
        let record = record.clone();
        thread::spawn(move || {
            let id = format!("0cc0{number:012x}");
            client::stream(entry, &id, EVENTS, &record, false)
        });
        thread::sleep(Duration::from_millis(60));
    }
    // The engines stay crowded for longer than a VM needs to find that no place comes up.
    thread::sleep(Duration::from_secs(5));
    let subject = "1055710557105571";
    let Answer::Status(status, delay) =
        client::ask(vms[0].entry, "a77e9b71a77e9b71", subject, 20, record)
    else {
        return Err("the first attempt was not answered".to_owned());
    };
    let delay = delay.filter(|delay| status == "503" && *delay > SENT_AFTER);
    let Some(delay) = delay else {
        return Err(format!(
            "the first attempt was answered {status} with the delay {delay:?}"
        ));
    };
    thread::sleep(delay - SENT_AFTER);
    // The client's last lookup before it comes back. It keeps the answer for 1.5 s, or for 4.5 s.
    if !client::lookup(vms[0].lookup, record).is_some_and(|found| found.contains(&vms[0].entry)) {
        return Err("the lookup does not name the VM".to_owned());
    }
    let stopped_at = Instant::now();
    if trouble {
        record.note("SIGTERM to VM 1");
        vms[0].signal("TERM").map_err(text)?;
    }
    thread::sleep(SENT_AFTER);
    let at_work: Vec<_> = engines.iter().map(|engine| engine.at_work()).collect();
    record.note(&format!("the engines are at work on {at_work:?} streams"));
    let answer = client::ask(vms[0].entry, "a77e9b72a77e9b72", subject, 20, record);
    let ended_after = stopped_at.elapsed();
    if trouble && ended_after > GRACE + Duration::from_secs(1) {
        return Err("the request ended later than 1 s after grace_s".to_owned());
    }
    if vms[1..].iter_mut().any(|vm| vm.ended().is_some()) {
        return Err("another VM has ended".to_owned());
    }
    if !record.work_on("a77e9b72a77e9b72").is_empty() {
        return Err("an engine got the request".to_owned());
    }
    match answer {
        Answer::Closed(after) if after > LOSS_SLACK => {
            record.note(&format!(
                "the connection ended without an answer {:.3} s after the request was sent, {:.3} s after SIGTERM; \
                 no engine got the request: LOST is broken",
                after.as_secs_f64(),
                ended_after.as_secs_f64(),
            ));
            Ok(Verdict::Broken)
        }
        answer => {
            record.note(&format!("{answer:?}: LOST held"));
            Ok(Verdict::Held)
        }
    }
}
