//! Latency from an engine's write to the arrival of the caller's chunk, over loopback sockets, with
//! and without the plane in between.

use std::{net, sync, time::Duration, time::Instant};

use base::id;
use flow::{
    http,
    port::{self, EngineEvents as _, EngineLink as _},
    proof,
};
use futures_util::StreamExt as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    task, time,
};

use crate::ports;

const STREAMS: u64 = 50;

const TOKENS: u32 = 100;

/// Interval between two tokens of one stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// Answers each start with tokens whose text is the time of writing, in nanoseconds since
/// `origin`.
async fn serve(listener: tokio::net::TcpListener, origin: Instant) {
    while let Ok((socket, _)) = listener.accept().await {
        tokio::spawn(async move { write_tokens(socket, origin).await });
    }
}

async fn write_tokens(mut socket: tokio::net::TcpStream, origin: Instant) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let mut head = [0; 4_096];
    // The request is small and arrives in one or two pieces; its content does not matter.
    let _ = socket.read(&mut head).await?;
    let answer = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    socket.write_all(answer.as_bytes()).await?;
    for seq in 0..TOKENS {
        time::sleep(TOKEN_INTERVAL).await;
        let at = origin.elapsed().as_nanos();
        let event = format!("data: {{\"seq\": {seq}, \"text\": \"{at}\"}}\n\n");
        socket.write_all(event.as_bytes()).await?;
    }
    let finish = format!("data: {{\"finish\": \"stop\", \"produced\": {TOKENS}}}\n\n");
    socket.write_all(finish.as_bytes()).await?;
    socket.shutdown().await
}

/// Reads an engine's stream as the plane does, without relaying it.
async fn read_directly(address: net::SocketAddr, number: u64, origin: Instant) -> Vec<u64> {
    let engines = http::HttpEngines::new().unwrap();
    let target = port::ServerTarget {
        key: id::ServerKey::default(),
        name: String::new(),
        address,
    };
    let start_request = port::StartRequest {
        id: id::GenerationId(u128::from(number)),
        model: "review-llm".to_owned(),
        adapter: None,
        prompt: "x".to_owned(),
        max_tokens: TOKENS,
        priority: 1,
        seed: None,
    };
    let permit = proof::StartPermit::for_tests().send::<proof::CallKind>().0;
    let mut events = engines
        .start(&target, &start_request, permit)
        .await
        .unwrap();
    let mut times = Vec::new();
    loop {
        match events.next().await.unwrap().event {
            port::EngineEvent::Token { text, .. } => times.push(since(&text, origin)),
            port::EngineEvent::Ping => {}
            port::EngineEvent::Finish(_) => return times,
        }
    }
}

fn since(text: &str, origin: Instant) -> u64 {
    let now = u64::try_from(origin.elapsed().as_nanos()).unwrap();
    now.saturating_sub(text.parse().unwrap())
}

/// Reads a stream as a caller of the plane.
async fn read_relayed(
    plane: &ports::BenchPlane<http::HttpEngines>,
    number: u64,
    origin: Instant,
) -> Vec<u64> {
    let mut reply = ports::begin(plane, number).await;
    let mut times = Vec::new();
    while let Some(piece) = reply.stream.next().await {
        let text = std::str::from_utf8(&piece).unwrap();
        // The first token arrives with the headers; it waited for the caller's read.
        for content in text.split("\"content\":\"").skip(1) {
            times.push(since(content.split('"').next().unwrap(), origin));
        }
    }
    times
}

/// Prints the latencies of both ways.
pub fn print_table() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    let (direct, relayed) = runtime.block_on(async {
        let origin = Instant::now();
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = tokio::net::TcpListener::bind(any).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, origin));
        let mut direct = task::JoinSet::new();
        for number in 0..STREAMS {
            direct.spawn(read_directly(address, number, origin));
        }
        let direct = direct.join_all().await.concat();
        let engines = http::HttpEngines::new().unwrap();
        let plane = ports::new_plane(engines, address);
        let mut relayed = task::JoinSet::new();
        for number in 0..STREAMS {
            let plane = sync::Arc::clone(&plane);
            relayed.spawn(async move { read_relayed(&plane, number, origin).await });
        }
        (direct, relayed.join_all().await.concat())
    });
    println!("from an engine's write to the reader, {STREAMS} streams, a token every 20 ms, us");
    println!("{:>34} {:>8} {:>8} {:>8}", "", "p50", "p99", "tokens");
    for (name, mut times) in [
        ("reader on the engine's socket", direct),
        ("caller of the plane", relayed),
    ] {
        times.sort_unstable();
        let at = |permille: usize| times[times.len() * permille / 1_000] as f64 / 1e3;
        println!(
            "{name:>34} {:>8.0} {:>8.0} {:>8}",
            at(500),
            at(990),
            times.len()
        );
    }
}
