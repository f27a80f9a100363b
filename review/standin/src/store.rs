//! Stand-in of the platform's store: keyed topics with one partition each.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// A record of a keyed topic.
type KeyedRecord = (String, Vec<u8>);
type Topics = BTreeMap<String, Vec<KeyedRecord>>;

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Topics>, Condvar)>);

impl Store {
    /// Serves the store's interface.
    pub fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let store = self.clone();
        http::serve(address, move |request, stream| {
            store.answer(request, stream)
        })
    }

    /// Appends a record.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.0 .0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        self.0 .1.notify_all();
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/pollenchute/log-newest" => {
                let body = self.newest(&topic, request.query("after").unwrap_or_default());
                let kind = [("Content-Type", "application/json")];
                http::respond(stream, 200, &kind, body.as_bytes())
            }
            "/pollenchute/log-read" => {
                let number = |name| request.query(name).and_then(|it| it.parse().ok());
                let (from, wait) = (number("from").unwrap_or(0), number("wait_ms").unwrap_or(0));
                let body = self.read(&topic, from as usize, Duration::from_millis(wait));
                http::respond(stream, 200, &[], &body)
            }
            "/pollenchute/log-append" => {
                let at = request.query("at").and_then(|it| it.parse().ok());
                let (status, body) = self.append(&topic, at, &request.body);
                let kind = [("Content-Type", "application/json")];
                http::respond(stream, status, &kind, body.as_bytes())
            }
            _ => http::respond(stream, 404, &[], b""),
        }
    }

    fn newest(&self, topic: &str, after: &str) -> String {
        let topics = self.0 .0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest
            .into_iter()
            .filter(|(key, (_, value))| !value.is_empty() && key.as_str() > after);
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        format!(r#"{{"items":[{items}],"has_more":false,"end_offset":{end}}}"#)
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.0 .0.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let now = Instant::now();
            if records.len() > from || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return body;
            }
            topics = self.0 .1.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> (u16, String) {
        let mut topics = self.0 .0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let first = records.len();
        if at.is_some_and(|at| at != first) {
            return (412, format!(r#"{{"end_offset":{first}}}"#));
        }
        let mut rest = body;
        while rest.len() > 5 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            let record = &rest[4..4 + length];
            let (key, value) = record[1..].split_at(record[0] as usize);
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = &rest[4 + length..];
        }
        let end = records.len();
        self.0 .1.notify_all();
        (200, format!(r#"{{"offset":{first},"end_offset":{end}}}"#))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
