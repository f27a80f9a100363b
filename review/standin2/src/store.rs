//! The platform's store: keyed topics that are appended to and read.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Condvar, Mutex,
    },
    time::{Duration, Instant},
};

use crate::http::{self, Request};

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
    /// Whether calls get no response.
    silent: Arc<AtomicBool>,
}

/// Address of the store for one machine, which it may turn away.
#[derive(Clone, Default)]
pub struct Gate {
    /// Whether calls get 503.
    pub refuses: Arc<AtomicBool>,
    /// Number of calls about servers that got 503.
    pub refused: Arc<AtomicUsize>,
}

impl Store {
    pub fn start(&self, address: SocketAddr) {
        let store = self.clone();
        http::serve(http::listen(address), move |request, stream| store.answer(&request, stream));
    }

    /// Starts it at an address for one machine.
    pub fn start_for(&self, address: SocketAddr) -> Gate {
        let (store, gate) = (self.clone(), Gate::default());
        let asked = gate.clone();
        http::serve(http::listen(address), move |request, stream| {
            if !asked.refuses.load(Ordering::Relaxed) {
                return store.answer(&request, stream);
            }
            let about_servers = request.query("topic").as_deref() == Some("keyed.servers");
            asked.refused.fetch_add(usize::from(about_servers), Ordering::Relaxed);
            http::respond(stream, 503, &[], b"")
        });
        gate
    }

    /// Sets whether calls get no response. "A connection on which a response is lost returns nothing
    /// further."
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Whether a response that is due now is lost.
    fn loses(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Writes a record, as the operator or an engine does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.topics.1.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        std::thread::sleep(ANSWER_TIME);
        let topic = request.query("topic").unwrap_or_default();
        if self.loses() {
            return http::hold_open(stream);
        }
        match request.path() {
            "/pollenchute/log-newest" => self.newest(&topic, request.query("after"), stream),
            "/pollenchute/log-read" => self.read(&topic, request, stream),
            "/pollenchute/log-append" => self.append(&topic, request, stream),
            _ => http::json(stream, 404, "{}"),
        }
    }

    fn newest(&self, topic: &str, after: Option<String>, stream: &mut TcpStream) -> bool {
        let topics = self.topics.0.lock().unwrap();
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.clone(), (offset, value.clone()));
        }
        let end = records.len();
        drop(topics);
        let listed = newest.into_iter().filter(|(key, (_, value))| {
            !value.is_empty() && after.as_ref().is_none_or(|after| key > after)
        });
        let items: Vec<_> = listed
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(&value))
            })
            .collect();
        let items = items.join(",");
        let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
        http::json(stream, 200, &body)
    }

    fn read(&self, topic: &str, request: &Request, stream: &mut TcpStream) -> bool {
        let number = |name| request.query(name).and_then(|value| value.parse::<usize>().ok());
        let from = number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
        if self.loses() {
            drop(topics);
            return http::hold_open(stream);
        }
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        drop(topics);
        http::respond(stream, 200, &[], &body)
    }

    fn append(&self, topic: &str, request: &Request, stream: &mut TcpStream) -> bool {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        let at = request.query("at").and_then(|at| at.parse::<usize>().ok());
        if at.is_some_and(|at| at != offset) {
            drop(topics);
            return http::json(stream, 412, &format!("{{\"end_offset\":{offset}}}"));
        }
        let mut rest = &request.body[..];
        while rest.len() > 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = &rest[4 + length..];
        }
        let end = records.len();
        self.topics.1.notify_all();
        drop(topics);
        http::json(stream, 200, &format!("{{\"offset\":{offset},\"end_offset\":{end}}}"))
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
