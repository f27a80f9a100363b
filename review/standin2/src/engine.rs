//! Model engines and plain servers.
//!
//! A generation makes one event each [`EVENT_INTERVAL`], whether or not its caller reads. "Most engines
//! drop a request when its connection closes": an engine does so if it `drops` them.

use std::{
    collections::HashMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    record::Record,
    store::Store,
};

pub const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Time until the first event of a generation.
const PREFILL_TIME: Duration = Duration::from_millis(120);
/// Time until the first event of a run that goes on from a copy.
const RESUME_TIME: Duration = Duration::from_millis(20);
/// Time that a copy of a run's memory takes.
const COPY_TIME: Duration = Duration::from_millis(60);

/// Work on one request at one engine.
pub struct Run {
    pub id: String,
    pub engine: String,
    /// Milliseconds of the record at which the work began.
    pub began: u64,
    /// When the work ended; absent while it goes on.
    pub ended: Mutex<Option<u64>>,
    /// First event, and the number of events of the whole generation.
    first: u64,
    total: u64,
    /// Number of events made, from the beginning of the generation.
    made: Mutex<u64>,
    changed: Condvar,
    stop: Mutex<bool>,
    /// Whether it goes on from the memory of a run elsewhere.
    pub resumed: bool,
}

/// A call that a plain server has begun.
pub struct Call {
    pub id: String,
    pub engine: String,
    pub began: Instant,
}

/// What all engines know: runs, and copies of their memory.
#[derive(Clone)]
pub struct Engines {
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Arc<Run>>>>,
    /// Copies by the engine that holds them and their handle; the value is the run.
    copies: Arc<Mutex<HashMap<(SocketAddr, String), Arc<Run>>>>,
    handles: Arc<AtomicU64>,
    /// Calls that plain servers have begun.
    pub calls: Arc<Mutex<Vec<Call>>>,
    /// Time that a plain server works on a call, in milliseconds.
    pub work_ms: Arc<AtomicU64>,
}

impl Engines {
    pub fn new(record: Record) -> Self {
        Self { record, runs: Arc::default(), copies: Arc::default(), handles: Arc::default(), calls: Arc::default(), work_ms: Arc::new(AtomicU64::new(15)) }
    }
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub service: &'static str,
    pub slots: u32,
    /// Whether a request is dropped when its connection closes.
    pub drops: bool,
    state: Arc<Mutex<&'static str>>,
    sequence: Arc<AtomicU64>,
    exited: Arc<AtomicBool>,
    /// Present once it listens.
    sockets: Arc<Mutex<Option<http::Sockets>>>,
    engines: Engines,
}

impl Engine {
    pub fn start(engines: &Engines, store: &Store, id: &str, address: SocketAddr, service: &'static str, drops: bool) -> Self {
        let engine = Self {
            id: id.to_owned(),
            address,
            service,
            slots: if service == crate::LLM { 32 } else { 6 },
            drops,
            state: Arc::new(Mutex::new("ready")),
            sequence: Arc::default(),
            exited: Arc::default(),
            sockets: Arc::default(),
            engines: engines.clone(),
        };
        let served = engine.clone();
        let sockets = http::serve(http::listen(address), move |request, stream| served.answer(request, stream));
        *engine.sockets.lock().unwrap() = Some(sockets);
        engine.beat(store);
        engine
    }

    /// Writes the entry into the store, where it changes when more than `seq` does.
    fn beat(&self, store: &Store) {
        let state = *self.state.lock().unwrap();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\
             \"cold_left_ms\":0,\"stage\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{sequence}}}",
            self.service, self.address, self.slots
        );
        store.put("keyed.servers", &self.id, &entry);
    }

    /// Leaves without a report: its entry is removed, and it serves on.
    pub fn leave(&self, store: &Store) {
        store.put("keyed.servers", &self.id, "");
        self.engines.record.line(&format!("the entry of {} is removed; it serves on", self.id));
    }

    /// Exits after a planned shutdown: its work ends, its entry is removed, its connections are closed, and
    /// new ones refused.
    pub fn exit(&self, store: &Store) {
        self.exited.store(true, Ordering::Relaxed);
        self.engines.record.line(&format!("{} exits", self.id));
        let runs = self.engines.runs.lock().unwrap();
        runs.iter().filter(|run| run.engine == self.id).for_each(|run| run.stop());
        drop(runs);
        store.put("keyed.servers", &self.id, "");
        if let Some(sockets) = &*self.sockets.lock().unwrap() {
            sockets.close();
        }
    }

    /// Announces a planned shutdown.
    pub fn drain(&self, store: &Store) {
        *self.state.lock().unwrap() = "draining";
        self.beat(store);
        self.engines.record.line(&format!("{} is draining", self.id));
    }

    fn answer(&self, request: Request, stream: &mut TcpStream) -> bool {
        if self.exited.load(Ordering::Relaxed) {
            return false;
        }
        match (request.method.as_str(), request.path()) {
            (_, "/healthz") => http::respond(stream, 200, &[("Instance-Id", &self.id)], b""),
            (_, "/pollenchute/report") => http::json(stream, 200, "{\"stage\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":1,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":34484,\"handles\":0,\"pinned\":0,\"held\":0,\"state\":\"ready\",\"next\":0,\"runs\":[]}"),
            ("POST", "/pollenchute/hold-take") => {
                let hold = self.engines.handles.fetch_add(1, Ordering::Relaxed);
                http::json(stream, 200, &format!("{{\"hold\":\"h{hold}\"}}"))
            }
            ("POST", "/pollenchute/kv-move") => self.copy(&request, stream),
            ("DELETE", _) => http::json(stream, 200, "{}"),
            _ => self.serve(&request, stream),
        }
    }

    /// Copies the memory of a run; with `last`, the run is stopped first.
    fn copy(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let text = |name: &str| {
            let rest = body.split_once(&format!("\"{name}\":\""))?.1;
            Some(rest.split('"').next()?.to_owned())
        };
        let (id, to) = (text("id").unwrap_or_default(), text("to").unwrap_or_default());
        let last = body.replace(' ', "").contains("\"last\":true");
        let run = {
            let runs = self.engines.runs.lock().unwrap();
            let mut own = runs.iter().filter(|run| run.engine == self.id && run.id == id);
            own.next_back().cloned()
        };
        let running = run.filter(|run| run.ended.lock().unwrap().is_none());
        let Some(run) = running else {
            self.engines.record.line(&format!("{} kv-move {id} last={last}: no such run", self.id));
            return http::json(stream, 404, "{}");
        };
        if last {
            run.stop();
            self.engines.record.line(&format!("{} stops {id} for a move", self.id));
        }
        thread::sleep(COPY_TIME);
        let made = *run.made.lock().unwrap();
        let handle = format!("{}", 1_000 + self.engines.handles.fetch_add(1, Ordering::Relaxed));
        let name = format!("{}/{handle}", self.address);
        let mut copies = self.engines.copies.lock().unwrap();
        if let Ok(to) = to.parse() {
            copies.insert((to, name.clone()), run.clone());
        }
        if last {
            copies.insert((self.address, name), run);
        }
        drop(copies);
        http::json(stream, 200, &format!("{{\"handle\":\"{handle}\",\"created\":{made}}}"))
    }

    fn refuse(&self, request: &Request, stream: &mut TcpStream, status: u16) -> bool {
        let id = request.header("attempt-id").unwrap_or_default();
        let headers = [("Attempt-Id", id), ("Not-Executed", "1"), ("Instance-Id", &self.id)];
        http::respond(stream, status, &headers, b"")
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return self.refuse(request, stream, 421);
        }
        if self.service != crate::LLM {
            self.engines.record.line(&format!("{} runs {id} {} {}", self.id, request.method, request.target));
            let call = Call { id: id.clone(), engine: self.id.clone(), began: Instant::now() };
            self.engines.calls.lock().unwrap().push(call);
            thread::sleep(Duration::from_millis(self.engines.work_ms.load(Ordering::Relaxed)));
            let headers = [("Attempt-Id", id.as_str()), ("Signature", "s1")];
            return http::respond(stream, 200, &headers, format!("answer to {id}").as_bytes());
        }
        let total = request.header("token-usage").and_then(|usage| usage.split_once(',')?.1.trim().parse::<u64>().ok());
        let total = total.unwrap_or(400) / 4;
        let mut first = 0;
        if let Some(from) = request.header("kv-from") {
            let copies = self.engines.copies.lock().unwrap();
            let handle = from.split_once('/').map(|(_, handle)| handle.to_owned()).unwrap_or_default();
            let backup = copies.get(&(self.address, handle)).is_some_and(|run| run.id == id);
            let moved = copies.get(&(self.address, from.to_owned())).is_some_and(|run| run.id == id);
            drop(copies);
            if !backup && !moved {
                self.engines.record.line(&format!("{} has no copy {from} of {id}", self.id));
                return self.refuse(request, stream, 503);
            }
            let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
            first = last.map_or(0, |last| last + 1);
        }
        let run = Arc::new(Run {
            id: id.clone(),
            engine: self.id.clone(),
            began: self.engines.record.now(),
            ended: Mutex::default(),
            first,
            total,
            made: Mutex::new(first),
            changed: Condvar::new(),
            stop: Mutex::default(),
            resumed: request.header("kv-from").is_some(),
        });
        self.engines.runs.lock().unwrap().push(run.clone());
        if let Some(backup) = request.header("kv-backup").and_then(|backup| backup.parse().ok()) {
            self.engines.copies.lock().unwrap().insert((backup, id.clone()), run.clone());
        }
        let from = request.header("kv-from").unwrap_or("-").to_owned();
        self.engines.record.line(&format!("{} runs {id} from event {first}, kv-from {from}", self.id));
        let (generated, record) = (run.clone(), self.engines.record.clone());
        thread::spawn(move || generated.generate(&record));
        self.send(&run, stream)
    }

    /// Sends the events of a run as they are made.
    fn send(&self, run: &Run, stream: &mut TcpStream) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nSignature: s1\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            run.id
        );
        let mut written = stream.write_all(head.as_bytes()).is_ok();
        let mut sent = run.first;
        while written && sent < run.total {
            let mut made = run.made.lock().unwrap();
            while *made <= sent && run.ended.lock().unwrap().is_none() {
                made = run.changed.wait_timeout(made, EVENT_INTERVAL).unwrap().0;
            }
            if *made <= sent {
                // Stopped: the stream is closed without its end.
                return false;
            }
            drop(made);
            let event = format!("id: {sent}\ndata: {} {sent}\n\n", run.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            written = stream.write_all(chunk.as_bytes()).is_ok();
            sent += 1;
        }
        if !written {
            self.engines.record.line(&format!("{}: the connection of {} has closed after event {sent}", self.id, run.id));
            if self.drops {
                run.stop();
            }
            return false;
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

impl Run {
    fn stop(&self) {
        *self.stop.lock().unwrap() = true;
    }

    /// Makes the events, and notes when the work ends.
    fn generate(&self, record: &Record) {
        thread::sleep(if self.resumed { RESUME_TIME } else { PREFILL_TIME });
        loop {
            let mut made = self.made.lock().unwrap();
            let stopped = *self.stop.lock().unwrap();
            if stopped || *made >= self.total {
                *self.ended.lock().unwrap() = Some(record.now());
                self.changed.notify_all();
                let why = if stopped { "stopped" } else { "complete" };
                record.line(&format!("{} ends its work on {} after event {}: {why}", self.engine, self.id, *made));
                return;
            }
            *made += 1;
            self.changed.notify_all();
            drop(made);
            thread::sleep(EVENT_INTERVAL);
        }
    }
}
