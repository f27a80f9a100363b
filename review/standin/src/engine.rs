//! Stand-in of a model engine that streams events, keeps copies of runs and continues from them.

use std::collections::{HashMap, HashSet};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// Tokens of one event.
pub const STRIDE: u64 = 4;

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Requests that it works on at a time.
    slots: u32,
    /// Time between two events.
    interval: Duration,
    record: Record,
    store: Store,
    /// Whether the engine reports that it drains.
    draining: AtomicBool,
    /// Whether it registers itself.
    registered: AtomicBool,
    /// Whether it has ended: it then takes nothing and works on nothing.
    ended: AtomicBool,
    /// Whether the answer to the next continued run is lost.
    pub loses_answer: Arc<AtomicBool>,
    /// Requests that ran.
    pub runs: AtomicU64,
    sequence: AtomicU64,
    /// Copies from moves.
    copies: Copies,
    /// Events of each run at work here, and whether it was asked to stop.
    at_work: Mutex<HashMap<String, (u64, bool)>>,
    /// Runs that have produced enough, and end with their next event.
    complete: Mutex<HashSet<String>>,
    /// Request whose answer is sent once more, late.
    answered_twice: Mutex<Option<String>>,
    /// Surplus answers, by connection: sent before the next answer there.
    surplus: Mutex<HashMap<SocketAddr, Vec<u8>>>,
    /// Time that a copy of a run takes.
    copy_time: Mutex<Duration>,
    /// Events of runs that were stopped for a copy, whose memory is kept.
    stopped: Mutex<HashMap<String, u64>>,
    /// Runs that are being copied.
    copying: Arc<Mutex<HashSet<String>>>,
    /// Request whose answer has no length and ends with its connection.
    unframed: Mutex<Option<String>>,
    /// Whether the connection of the next call that stops and copies a run is reset.
    pub resets_copy: AtomicBool,
}

/// Time after which that connection is reset.
const RESET_AFTER: Duration = Duration::from_millis(60);

/// Copies of all engines, since a copy made by one is used at another: the run whose memory each
/// holds, by the address of its source and its handle.
pub type Copies = Arc<Mutex<HashMap<String, String>>>;

impl Engine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        zone: &str,
        (slots, interval): (u32, Duration),
        record: &Record,
        store: &Store,
        copies: &Copies,
        loses_answer: &Arc<AtomicBool>,
    ) -> io::Result<Arc<Self>> {
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            slots,
            interval,
            record: record.clone(),
            store: store.clone(),
            draining: AtomicBool::new(false),
            registered: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            loses_answer: loses_answer.clone(),
            runs: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            copies: copies.clone(),
            at_work: Mutex::default(),
            complete: Mutex::default(),
            answered_twice: Mutex::default(),
            surplus: Mutex::default(),
            copy_time: Mutex::new(Duration::from_millis(20)),
            stopped: Mutex::default(),
            copying: Arc::default(),
            unframed: Mutex::default(),
            resets_copy: AtomicBool::new(false),
        });
        let serving = engine.clone();
        http::serve(address, move |request, stream| {
            serving.answer(request, stream)
        })?;
        let beating = engine.clone();
        thread::spawn(move || loop {
            if beating.registered.load(Ordering::Relaxed) {
                beating.register();
            }
            thread::sleep(Duration::from_millis(1_200));
        });
        Ok(engine)
    }

    fn register(&self) {
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let entry = format!(
            r#"{{"service":"review-llm","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_left_ms":0,"seq":{sequence}}}"#,
            self.address, self.zone, self.slots
        );
        self.store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    /// Number of requests at work.
    pub fn at_work(&self) -> usize {
        self.at_work.lock().unwrap().len()
    }

    /// Reports that the engine leaves.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.register();
        self.record
            .note(&format!("engine {} reports draining", self.id));
    }

    /// Ends the engine after it has drained, and removes its entry.
    pub fn end(&self) {
        self.registered.store(false, Ordering::Relaxed);
        self.ended.store(true, Ordering::Relaxed);
        self.store.put("keyed.servers", &self.id, b"");
        self.record.note(&format!("engine {} has ended", self.id));
    }

    /// Ends a run with its next event.
    pub fn complete(&self, id: &str) {
        self.complete.lock().unwrap().insert(id.to_owned());
    }

    /// Sends the answer to a request once more, where the next answer on its connection is expected.
    pub fn answer_twice(&self, id: &str) {
        *self.answered_twice.lock().unwrap() = Some(id.to_owned());
    }

    /// Answers a request without a length: its answer ends with its connection.
    pub fn answer_unframed(&self, id: &str) {
        *self.unframed.lock().unwrap() = Some(id.to_owned());
    }

    /// Sets the time that a copy of a run takes.
    pub fn set_copy_time(&self, copy_time: Duration) {
        *self.copy_time.lock().unwrap() = copy_time;
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let goes_on = self.answer_one(request, stream)?;
        if !goes_on {
            stream.shutdown(Shutdown::Write)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let _ = stream.read(&mut [0; 4_096]);
        }
        Ok(goes_on)
    }

    /// Responds to a call; an engine that leaves closes the connection.
    fn respond(
        &self,
        stream: &mut TcpStream,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<bool> {
        let leaves = self.draining.load(Ordering::Relaxed);
        let mut headers = headers.to_vec();
        if leaves {
            headers.push(("Connection", "close"));
        }
        http::respond(stream, status, &headers, body)?;
        Ok(!leaves)
    }

    fn answer_one(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let surplus = self.surplus.lock().unwrap().remove(&stream.peer_addr()?);
        if let Some(surplus) = surplus {
            let (id, path) = (&self.id, &request.path);
            self.record.note(&format!(
                "engine {id} sends a surplus answer before that to {path}"
            ));
            stream.write_all(&surplus)?;
        }
        if self.ended.load(Ordering::Relaxed) {
            return Ok(false);
        }
        let path = request.path.split('?').next().unwrap_or_default();
        let json = [("Content-Type", "application/json")];
        if path == "/healthz" {
            let status = if self.draining.load(Ordering::Relaxed) {
                503
            } else {
                200
            };
            return self.respond(stream, status, &[("Instance-Id", &self.id)], b"");
        }
        if path == "/pollenchute/hold-take" {
            let number = self.sequence.fetch_add(1, Ordering::Relaxed);
            let body = format!(r#"{{"hold":"h{number}"}}"#);
            return self.respond(stream, 200, &json, body.as_bytes());
        }
        if path == "/pollenchute/kv-move" {
            return self.copy(request, stream);
        }
        if path.starts_with("/pollenchute/") {
            return self.respond(stream, 200, &json, b"{}");
        }
        self.run(request, stream)
    }

    fn copy(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let id = body
            .split("\"id\":\"")
            .nth(1)
            .and_then(|it| it.split('"').next());
        let id = id.unwrap_or_default().to_owned();
        let last = body.contains("\"last\":true");
        self.record.note(&format!(
            "engine {} is asked to copy run {id}, last {last}",
            self.id
        ));
        let json = [("Content-Type", "application/json")];
        let handle = format!("m{id}");
        let key = format!("{}/{handle}", self.address);
        let reply = |events: u64| format!(r#"{{"handle":"{handle}","created":{events}}}"#);
        let is_copied = self.copying.lock().unwrap().contains(&id);
        if is_copied {
            let engine = &self.id;
            self.record
                .note(&format!("engine {engine}: 409, {id} is being copied"));
            return self.respond(stream, 409, &json, b"{}");
        }
        let events = {
            let mut at_work = self.at_work.lock().unwrap();
            let run = at_work.get_mut(&id);
            let stopped = self.stopped.lock().unwrap().get(&id).copied();
            match (run, stopped) {
                (Some(run), _) => {
                    run.1 |= last;
                    run.0
                }
                // Stopped before, its memory is kept.
                (None, Some(events)) => events,
                (None, None) => return self.respond(stream, 404, &json, b"{}"),
            }
        };
        self.copying.lock().unwrap().insert(id.clone());
        let copy_time = *self.copy_time.lock().unwrap();
        let (copies, copying) = (self.copies.clone(), self.copying.clone());
        let finish = move || {
            copies.lock().unwrap().insert(key, id.clone());
            copying.lock().unwrap().remove(&id);
        };
        if last && self.resets_copy.swap(false, Ordering::Relaxed) {
            thread::sleep(RESET_AFTER);
            let engine = &self.id;
            self.record.note(&format!(
                "the connection of this call to {engine} is reset; the copy goes on"
            ));
            reset_on_close(stream);
            thread::spawn(move || {
                thread::sleep(copy_time.saturating_sub(RESET_AFTER));
                finish();
            });
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        thread::sleep(copy_time);
        finish();
        self.respond(stream, 200, &json, reply(events).as_bytes())
    }

    /// Runs a request: streams its events, from where it continues.
    fn run(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let echo = [("Attempt-Id", id.as_str())];
        if id.is_empty() {
            return self.respond(stream, 400, &[("Not-Executed", "1")], b"");
        }
        if request
            .header("expect-instance")
            .is_some_and(|it| it != self.id)
        {
            return self.respond(stream, 421, &echo, b"");
        }
        let tokens = request
            .header("token-usage")
            .and_then(|it| it.split(',').nth(1)?.parse().ok());
        let total = tokens.unwrap_or(STRIDE).div_ceil(STRIDE).max(1);
        let from = request.header("kv-from");
        let last_event = request
            .header("last-event-id")
            .and_then(|it| it.parse().ok());
        let first = if from.is_some() {
            last_event.unwrap_or(0)
        } else {
            0
        };
        let backup = request.header("kv-backup").unwrap_or("none");
        // A copy that an engine keeps up to date is named by the run. One from a move is used once.
        let copied = from.and_then(|from| self.copies.lock().unwrap().remove(from));
        let named = from
            .and_then(|from| from.split_once('/'))
            .map(|(_, name)| name.to_owned());
        if from.is_some() && copied.is_none() && named.as_deref() != Some(&id) {
            let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
            return self.respond(stream, 503, &headers, b"");
        }
        let memory = copied.unwrap_or_else(|| id.clone());
        self.runs.fetch_add(1, Ordering::Relaxed);
        self.record.note(&format!(
            "engine {} runs {id} after event {first} of {total}, continued from {}, the memory of {memory}, backup at \
             {backup}",
            self.id,
            from.unwrap_or("nothing"),
        ));
        let lost = from.is_some() && self.loses_answer.swap(false, Ordering::Relaxed);
        if lost {
            self.record.note(&format!(
                "engine {}: the answer to this run of {id} is lost",
                self.id
            ));
        }
        self.at_work
            .lock()
            .unwrap()
            .insert(id.clone(), (first, false));
        let end = self.stream_events((&id, &memory), first, total, lost, stream);
        self.at_work.lock().unwrap().remove(&id);
        let end_text = match &end {
            Ok(true) => "whole".to_owned(),
            Ok(false) => "stopped or ended".to_owned(),
            Err(error) => format!("dropped, since its connection closed ({})", error.kind()),
        };
        self.record.note(&format!(
            "engine {}: its run of {id} ends: {end_text}",
            self.id
        ));
        let is_unframed = self.unframed.lock().unwrap().as_deref() == Some(&id);
        end.map(|whole| whole && !lost && !is_unframed)
    }

    fn stream_events(
        &self,
        (id, memory): (&str, &str),
        first: u64,
        total: u64,
        lost: bool,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let is_unframed = self.unframed.lock().unwrap().as_deref() == Some(id);
        let leaves = self.draining.load(Ordering::Relaxed);
        let framing = match (is_unframed, leaves) {
            (true, _) => "Connection: close",
            (false, true) => "Transfer-Encoding: chunked\r\nConnection: close",
            (false, false) => "Transfer-Encoding: chunked",
        };
        let mut head = Some(format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
             Attempt-Id: {id}\r\nSignature: sound.{}\r\n\r\n",
            self.id
        ));
        let mut answer = Vec::new();
        for event in first + 1..=total {
            thread::sleep(self.interval);
            let stopped = self
                .at_work
                .lock()
                .unwrap()
                .get(id)
                .is_some_and(|run| run.1);
            if stopped {
                let mut runs = self.stopped.lock().unwrap();
                runs.insert(id.to_owned(), event - 1);
            }
            if stopped || self.ended.load(Ordering::Relaxed) {
                return Ok(false);
            }
            // An engine that notices that its connection has closed drops the run.
            if is_closed(stream) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if let Some(run) = self.at_work.lock().unwrap().get_mut(id) {
                run.0 = event;
            }
            self.record.worked(&self.id, id, event);
            if lost {
                continue;
            }
            let data = format!("id: {event}\ndata: piece {event} of {memory}\n\n");
            let mut bytes = head.take().unwrap_or_default().into_bytes();
            if is_unframed {
                bytes.extend(data.into_bytes());
            } else {
                bytes.extend(format!("{:x}\r\n{data}\r\n", data.len()).into_bytes());
            }
            stream.write_all(&bytes)?;
            answer.extend(bytes);
            if self.complete.lock().unwrap().contains(id) {
                break;
            }
        }
        if !lost && !is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        if self.answered_twice.lock().unwrap().as_deref() == Some(id) {
            answer.extend(b"0\r\n\r\n");
            let peer = stream.peer_addr()?;
            self.surplus.lock().unwrap().insert(peer, answer);
        }
        Ok(true)
    }
}

/// Whether the peer has closed or reset a connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Lets a connection be reset when it is closed.
fn reset_on_close(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32)
            -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    let length = std::mem::size_of::<Linger>() as u32;
    // SAFETY: the socket is open, and the value is of the size that is stated.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
}
