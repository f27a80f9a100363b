//! Cost of relaying a token on one core, and memory of an open stream.
//!
//! Compare only lines of the same run: all of them depend on the machine's speed.

mod latency;
mod ports;

use std::{fs, future, net, time::Instant};

use base::id;
use bytes::BytesMut;
use flow::{body, chunk, link_error, port, proof, sse};
use futures_util::StreamExt as _;

/// An address on which nothing listens.
const UNUSED_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 1);

/// Number of tokens of each measured loop.
const TOKENS: u32 = 400_000;

/// Number of streams that share these tokens.
const STREAMS: u32 = 200;

/// Number of open streams whose memory is measured.
const OPEN_STREAMS: u64 = 10_000;

fn main() {
    let line = "data: {\"seq\": 17, \"text\": \"regalia \"}\n\n";
    let parse = per_token(|| {
        let mut reader = sse::EventReader::default();
        for _ in 0..TOKENS {
            reader.push(line.as_bytes());
            std::hint::black_box(reader.take().unwrap());
        }
    });
    let api = body::CompletionApi::Chat;
    let writer = chunk::ChunkWriter::new(api, id::RequestId(1), "review-llm", 1, false);
    let write = per_token(|| {
        let mut out = BytesMut::new();
        for index in 0..TOKENS {
            writer.token(&mut out, index, "regalia ");
            if out.len() > 8_192 {
                std::hint::black_box(out.split().freeze());
            }
        }
    });
    let relayed = per_token(|| relay(STREAMS, TOKENS / STREAMS));
    println!(
        "{:<44} {:>12} {:>18}",
        "on one core, no sockets", "ns a token", "tokens a second"
    );
    for (name, nanos) in [
        ("read an engine's event", parse),
        ("write a caller's chunk", write),
        ("both, and the plane between (200 streams)", relayed),
    ] {
        println!("{name:<44} {nanos:>12.0} {:>18.0}", 1e9 / nanos);
    }
    println!();
    println!(
        "memory of an open stream: {} bytes ({OPEN_STREAMS} streams)",
        open_stream_bytes()
    );
    println!();
    latency::print_table();
}

fn per_token<F: FnOnce()>(measured: F) -> f64 {
    let began_at = Instant::now();
    measured();
    began_at.elapsed().as_nanos() as f64 / f64::from(TOKENS)
}

/// Engine link whose tokens are ready at once, as bytes to parse.
struct ReadyEngines {
    tokens: u32,
    /// Whether the stream hangs after the tokens instead of sending the finish.
    hangs: bool,
}

struct ReadyEvents {
    generation: id::GenerationId,
    reader: sse::EventReader,
    next: u32,
    tokens: u32,
    hangs: bool,
}

impl port::EngineEvents for ReadyEvents {
    async fn next(&mut self) -> Result<port::TaggedEvent, link_error::StreamError> {
        if self.next == self.tokens && self.hangs {
            future::pending::<()>().await;
        }
        let text = if self.next < self.tokens {
            format!(
                "data: {{\"seq\": {}, \"text\": \"regalia \"}}\n\n",
                self.next
            )
        } else {
            format!(
                "data: {{\"finish\": \"stop\", \"produced\": {}}}\n\n",
                self.next
            )
        };
        self.next += 1;
        self.reader.push(text.as_bytes());
        // Yields to other streams, as a socket would.
        tokio::task::consume_budget().await;
        let event = self.reader.take().unwrap().unwrap();
        Ok(port::TaggedEvent {
            generation: self.generation,
            event,
        })
    }
}

impl port::EngineLink for ReadyEngines {
    type Events = ReadyEvents;

    async fn start(
        &self,
        _target: &port::ServerTarget,
        start_request: &port::StartRequest,
        _permit: proof::SendPermit,
    ) -> Result<ReadyEvents, link_error::StartError> {
        Ok(ReadyEvents {
            generation: start_request.id,
            reader: sse::EventReader::default(),
            next: 0,
            tokens: self.tokens,
            hangs: self.hangs,
        })
    }

    async fn resume(
        &self,
        _target: &port::ServerTarget,
        _generation: id::GenerationId,
        _from: u32,
    ) -> Result<ReadyEvents, link_error::ResumeError> {
        future::pending().await
    }

    async fn cancel(
        &self,
        _target: &port::ServerTarget,
        _generation: id::GenerationId,
    ) -> Result<port::CancelAnswer, link_error::CancelError> {
        Ok(port::CancelAnswer::Remembered)
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap()
}

fn relay(streams: u32, tokens: u32) {
    runtime().block_on(async {
        let engines = ReadyEngines {
            tokens,
            hangs: false,
        };
        let plane = ports::new_plane(engines, UNUSED_ADDRESS);
        let mut callers = tokio::task::JoinSet::new();
        for number in 0..streams {
            let plane = plane.clone();
            callers.spawn(async move {
                let mut reply = ports::begin(&plane, u64::from(number)).await;
                let mut read = 0;
                while let Some(piece) = reply.stream.next().await {
                    read += piece.len();
                }
                assert!(read > tokens as usize * 100, "incomplete answer");
            });
        }
        while let Some(ended) = callers.join_next().await {
            ended.unwrap();
        }
    });
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn open_stream_bytes() -> u64 {
    runtime().block_on(async {
        let engines = ReadyEngines {
            tokens: 3,
            hangs: true,
        };
        let plane = ports::new_plane(engines, UNUSED_ADDRESS);
        let mut open = Vec::new();
        // The first streams allocate what all streams share.
        for number in 0..100 {
            open.push(ports::begin(&plane, number).await);
        }
        let before = resident_bytes();
        for number in 0..OPEN_STREAMS {
            open.push(ports::begin(&plane, 1_000 + number).await);
        }
        resident_bytes().saturating_sub(before) / OPEN_STREAMS
    })
}
