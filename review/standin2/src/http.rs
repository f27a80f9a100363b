//! A small HTTP/1.1 server, with one thread for each connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, Mutex},
    thread,
};

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value));
        values.next()
    }
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the head of a message: its first line and its headers.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    while first.trim().is_empty() {
        first.clear();
        if reader.read_line(&mut first).ok()? == 0 {
            return None;
        }
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a chunk; empty for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(length) = header(&headers, "content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request { method, target, headers, body })
}

pub fn listen(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|error| crate::cannot_run(&format!("bind {address}: {error}")))
}

extern "C" {
    fn shutdown(socket: i32, how: i32) -> i32;
}

/// Both directions, for `shutdown`.
const BOTH: i32 = 2;

/// Sockets of a server, which its exit closes.
#[derive(Clone)]
pub struct Sockets {
    listener: i32,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Sockets {
    /// Closes all of them, as the system does when a process ends: new connections are refused.
    pub fn close(&self) {
        // SAFETY: the listener is open until its thread has seen this.
        unsafe { shutdown(self.listener, BOTH) };
        for connection in self.connections.lock().unwrap().iter() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Serves each connection in a thread of its own. The handler returns whether the connection is kept.
pub fn serve<H>(listener: TcpListener, handler: H) -> Sockets
where
    H: Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let sockets = Sockets { listener: listener.as_raw_fd(), connections: Arc::default() };
    let connections = sockets.connections.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let handler = handler.clone();
            if let Ok(connection) = stream.try_clone() {
                connections.lock().unwrap().push(connection);
            }
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(read) = stream.try_clone() else { return };
                let mut reader = BufReader::new(read);
                while let Some(request) = read_request(&mut reader) {
                    if !handler(request, &mut stream) {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    sockets
}

/// Keeps a connection open without an answer until the other side closes it. Returns that it is not kept.
pub fn hold_open(stream: &mut TcpStream) -> bool {
    let mut bytes = [0; 4_096];
    while stream.read(&mut bytes).is_ok_and(|read| read > 0) {}
    false
}

/// Writes a complete answer; returns whether that succeeded.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

pub fn json(stream: &mut TcpStream, status: u16, body: &str) -> bool {
    respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
}
