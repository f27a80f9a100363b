//! Two engines: one that will leave, and one that is full, so that no run moves there until a place
//! comes up.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::engine::{Copies, Engine, STRIDE};
use crate::record::Record;
use crate::store::Store;
use crate::vm;

/// Slots of an engine, and time between two events.
const PACE: (u32, Duration) = (32, Duration::from_millis(90));
/// Prompt and events of the streams that move, and of those that fill the other engine.
const PROMPT: u64 = 5_600;
pub const EVENTS: u64 = 400;
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
/// Requests that the leaving engine answers before the streams that are judged.
const SHORT_STREAMS: u64 = 60;
/// Time for a copy of 5,900 tokens of 327,680 bytes at 47 Gbit/s.
const COPY_TIME: Duration = Duration::from_millis(330);
/// A short answer, longer than its client expected. It ends some 2 s after the engine has said that
/// it leaves, and does not move.
pub const ENDS_BEFORE: &str = "cccc00000000cccc";

pub struct Scene {
    /// The engine that will leave.
    pub source: Arc<Engine>,
    target: Arc<Engine>,
    vms: Vec<vm::Vm>,
    record: Record,
}

/// A stream that a client has sent, and the pieces that it gets.
pub type Sent = thread::JoinHandle<client::Pieces>;

impl Scene {
    /// Starts the store, both engines and two VMs, and fills the other engine.
    pub fn start(root: &Path, temporary: &Path, record: &Record) -> Result<Self, String> {
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
        for (number, (prompt, hint, events)) in FILLING.into_iter().enumerate() {
            send(entry, filling_id(number), (prompt, hint), events, record);
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
        Ok(Self {
            source,
            target,
            vms,
            record: record.clone(),
        })
    }

    /// Sends a long stream, which is to move.
    pub fn send_long(&self, id: &str) -> Sent {
        let (entry, size) = (self.vms[0].entry, (PROMPT, EVENTS * STRIDE));
        let sent = send(entry, id.to_owned(), size, EVENTS, &self.record);
        thread::sleep(Duration::from_millis(600));
        sent
    }

    /// Sends the stream that ends before, and checks that all run on the engine that will leave.
    pub fn send_last(&self, long: &[&str]) -> Result<Sent, String> {
        let entry = self.vms[0].entry;
        let sent = send(entry, ENDS_BEFORE.to_owned(), (200, 8), 26, &self.record);
        thread::sleep(Duration::from_millis(350));
        let ran = self.source.runs.load(Ordering::Relaxed);
        self.record
            .note(&format!("engine i-101 has run {ran} requests"));
        let runs_there = |id: &&str| {
            let work = self.record.work_on(id);
            !work.is_empty() && work.iter().all(|work| work.engine == "i-101")
        };
        let all_there = long.iter().chain([&ENDS_BEFORE]).all(runs_there);
        if !all_there || ran <= SHORT_STREAMS {
            return Err("the streams do not run on the engine that leaves".to_owned());
        }
        Ok(sent)
    }

    /// Lets the engine leave, and a place come up at the other one.
    pub fn leave(&self) {
        self.source.drain();
        // The VMs know for more than a second that the engine leaves.
        thread::sleep(Duration::from_millis(2_400));
        self.target.complete(&filling_id(0));
    }

    /// Whether a VM has ended.
    pub fn has_ended_vm(&mut self) -> bool {
        self.vms.iter_mut().any(|vm| vm.ended().is_some())
    }
}

fn filling_id(number: usize) -> String {
    format!("f111{number:012x}")
}

fn send(
    entry: std::net::SocketAddr,
    id: String,
    tokens: (u64, u64),
    events: u64,
    record: &Record,
) -> Sent {
    let record = record.clone();
    thread::spawn(move || client::pieces(entry, &id, tokens, events, &record))
}
