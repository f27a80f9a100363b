//! Clients.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http;

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection closed without an answer.
    pub status: u16,
    pub signed: bool,
    pub own: bool,
    pub retry_after: Option<f64>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

pub fn get(address: SocketAddr, target: &str) -> Option<u16> {
    let mut stream = connect(address)?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, _) = http::read_head(&mut reader)?;
    first.split(' ').nth(1)?.parse().ok()
}

/// Asks a VM where to connect, as clients do before their first request.
pub fn lookup(address: SocketAddr) -> Vec<SocketAddr> {
    let target = format!("/pollenchute/lookup?name={}&region=hcmc&zone=hall-a", crate::HOST);
    let Some(mut stream) = connect(address) else { return Vec::new() };
    let request = format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return Vec::new();
    }
    let answer = read(&mut BufReader::new(stream), "");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text.split_once('[').and_then(|(_, rest)| rest.split_once(']')).map(|(list, _)| list.to_owned());
    let names = list.unwrap_or_default();
    names.split(',').filter_map(|name| name.trim().trim_matches('"').parse().ok()).collect()
}

pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// A request of a client.
pub struct Call<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    /// Further header lines, each with its end.
    pub headers: &'a str,
    pub body: &'a [u8],
    pub key: &'a str,
}

/// Sends a request over a connection of its own and reads the answer; `None` if there is no connection.
pub fn send(address: SocketAddr, call: &Call<'_>) -> Option<Answer> {
    let mut stream = connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms + 200))).ok()?;
    let mut bytes = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {}\r\n{}Content-Length: {}\r\n\r\n",
        call.method, call.target, crate::HOST, call.id, call.deadline_ms, call.key, call.headers, call.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(call.body);
    if stream.write_all(&bytes).is_err() {
        return Some(Answer::default());
    }
    let mut reader = BufReader::new(stream);
    Some(read(&mut reader, call.id))
}

pub fn read(reader: &mut impl BufRead, id: &str) -> Answer {
    let mut answer = Answer::default();
    let Some((first, headers)) = http::read_head(reader) else {
        return answer;
    };
    answer.status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let header = |name: &str| headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str());
    answer.signed = header("signature").is_some();
    answer.own = header("attempt-id") == Some(id);
    answer.retry_after = header("retry-after").and_then(|value| value.parse().ok());
    if header("transfer-encoding").is_some() {
        while let Some(chunk) = http::read_chunk(reader) {
            if chunk.is_empty() {
                answer.complete = true;
                break;
            }
            answer.body.extend(chunk);
        }
    } else if let Some(length) = header("content-length").and_then(|length| length.parse().ok()) {
        let mut body = vec![0; length];
        answer.complete = reader.read_exact(&mut body).is_ok();
        answer.body = body;
    }
    answer
}
