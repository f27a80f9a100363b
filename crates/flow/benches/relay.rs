//! Cost of relaying a token on one core, and memory of an open stream.
//!
//! Compare the lines of one run with one another; the machine's own speed is in all of them.

use std::{collections, fs, future, net, sync, time::Instant};

use base::{fingerprint, id};
use bytes::BytesMut;
use conf::{document, inventory, snapshot};
use flow::{
    body, books, chunk, fault, memory, plane, port, proof, request, settings, sse, token, view,
};
use futures_util::StreamExt as _;
use tokio::sync::watch;

/// Tokens of each measured loop.
const TOKENS: u32 = 400_000;

/// Streams that share them.
const STREAMS: u32 = 200;

/// Open streams whose memory is measured.
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
    let face = body::CallerFace::Chat;
    let writer = chunk::ChunkWriter::new(face, id::RequestId(1), "review-llm", 1, false);
    let write = per_token(|| {
        let mut out = BytesMut::new();
        for index in 0..TOKENS {
            writer.token(&mut out, index, "regalia ");
            if out.len() > 8_192 {
                std::hint::black_box(out.split().freeze());
            }
        }
    });
    let whole = per_token(|| relay(STREAMS, TOKENS / STREAMS));
    println!(
        "{:<44} {:>12} {:>18}",
        "on one core, no sockets", "ns a token", "tokens a second"
    );
    for (name, nanos) in [
        ("read an engine's event", parse),
        ("write a caller's chunk", write),
        ("both, and the plane between (200 streams)", whole),
    ] {
        println!("{name:<44} {nanos:>12.0} {:>18.0}", 1e9 / nanos);
    }
    println!();
    println!(
        "memory of an open stream: {} bytes ({OPEN_STREAMS} streams)",
        open_stream_bytes()
    );
}

fn per_token<F: FnOnce()>(measured: F) -> f64 {
    let began_at = Instant::now();
    measured();
    began_at.elapsed().as_nanos() as f64 / f64::from(TOKENS)
}

/// An engine that has all tokens ready, as bytes to be read.
struct ReadyEngines {
    tokens: u32,
    /// After the tokens nothing comes, in place of the finish.
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
    async fn next(&mut self) -> Result<port::TaggedEvent, fault::StreamFault> {
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
        // As a socket would: other streams get their turn.
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
        order: &port::StartOrder,
        _permit: proof::SendPermit,
    ) -> Result<ReadyEvents, fault::StartFault> {
        Ok(ReadyEvents {
            generation: order.id,
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
    ) -> Result<ReadyEvents, fault::ResumeFault> {
        future::pending().await
    }

    async fn cancel(
        &self,
        _target: &port::ServerTarget,
        _generation: id::GenerationId,
    ) -> Result<port::CancelAnswer, fault::CancelFault> {
        Ok(port::CancelAnswer::Remembered)
    }
}

struct NoServices;

impl port::ServiceLink for NoServices {
    async fn call(
        &self,
        _target: &port::ServerTarget,
        _call: &port::ServiceCall,
        _time_left: std::time::Duration,
        _permit: proof::SendPermit,
    ) -> Result<port::ServiceAnswer, fault::CallFault> {
        future::pending().await
    }
}

struct BenchPorts {
    engines: ReadyEngines,
    schedule: memory::MemorySchedule,
    claims: books::MemoryClaims,
    jobs: books::MemoryJobs,
}

impl port::PortSet for BenchPorts {
    type Engines = ReadyEngines;
    type Services = NoServices;
    type Schedule = memory::MemorySchedule;
    type Quotas = memory::NoQuotas;
    type Claims = books::MemoryClaims;
    type Jobs = books::MemoryJobs;
    type Events = memory::NoEvents;
    type Clock = memory::SystemClock;
    type Ids = memory::RandomIds;
    type Peers = memory::NoPeers;

    fn engines(&self) -> &ReadyEngines {
        &self.engines
    }
    fn services(&self) -> &NoServices {
        &NoServices
    }
    fn schedule(&self) -> &memory::MemorySchedule {
        &self.schedule
    }
    fn quotas(&self) -> &memory::NoQuotas {
        &memory::NoQuotas
    }
    fn claims(&self) -> &books::MemoryClaims {
        &self.claims
    }
    fn jobs(&self) -> &books::MemoryJobs {
        &self.jobs
    }
    fn events(&self) -> &memory::NoEvents {
        &memory::NoEvents
    }
    fn clock(&self) -> &memory::SystemClock {
        &memory::SystemClock
    }
    fn ids(&self) -> &memory::RandomIds {
        &memory::RandomIds
    }
    fn peers(&self) -> &memory::NoPeers {
        &memory::NoPeers
    }
}

fn view() -> view::PlaneView {
    let mut inventory = inventory::Inventory::default();
    let engine = inventory::EngineEntry {
        models: vec!["review-llm".to_owned()],
        checks_fencing: true,
        kv_blocks: 1,
        block_tokens: 1,
        max_batch: 1,
    };
    let server = inventory::ServerEntry {
        failure_domain: "hall-a".to_owned(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        kind: inventory::ServerKind::ModelEngine(engine),
    };
    inventory.backend_servers = collections::BTreeMap::from([("engine-0".to_owned(), server)]);
    let model = inventory::ModelEntry {
        context_tokens: 100_000,
        ..inventory::ModelEntry::default()
    };
    inventory.models = collections::BTreeMap::from([("review-llm".to_owned(), model)]);
    let organisation = inventory::OrganisationEntry {
        key_hashes: vec![fingerprint::ContentHash::of(b"key").to_string()],
        region: "hcmc".to_owned(),
    };
    inventory.organisations = collections::BTreeMap::from([("troupes".to_owned(), organisation)]);
    let configuration = document::Configuration {
        inventory,
        ..document::Configuration::default()
    };
    let config = snapshot::ConfigSnapshot::default().next(1, 1, sync::Arc::new(configuration));
    view::PlaneView {
        config: sync::Arc::new(config),
        leaving: sync::Arc::default(),
    }
}

fn new_plane(engines: ReadyEngines) -> sync::Arc<plane::RequestPlane<BenchPorts>> {
    let views = watch::Sender::new(sync::Arc::new(view()));
    let ports = BenchPorts {
        engines,
        schedule: memory::MemorySchedule::new(views.subscribe(), usize::MAX),
        claims: books::MemoryClaims::default(),
        jobs: books::MemoryJobs::default(),
    };
    let key = token::TokenKey {
        id: 1,
        secret: vec![1; 32],
    };
    let settings =
        settings::PlaneSettings::new("entry-0".to_owned(), token::TokenKeys::new(key, None));
    sync::Arc::new(plane::RequestPlane::new(ports, settings, views.subscribe()))
}

async fn begin(plane: &plane::RequestPlane<BenchPorts>, number: u64) -> plane::StreamReply {
    let headers = request::CallerHeaders {
        api_key: Some("key".to_owned()),
        ..request::CallerHeaders::default()
    };
    let body = format!(
        r#"{{"model": "review-llm", "stream": true, "messages": [{{"role": "user", "content": "{number}"}}]}}"#
    );
    let reply = plane.generate(headers, body::CallerFace::Chat, body.into());
    match reply.await {
        Ok(plane::GenerationReply::Stream(reply)) => reply,
        other => panic!("no stream: {other:?}"),
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
        let plane = new_plane(ReadyEngines {
            tokens,
            hangs: false,
        });
        let mut callers = tokio::task::JoinSet::new();
        for number in 0..streams {
            let plane = plane.clone();
            callers.spawn(async move {
                let mut reply = begin(&plane, u64::from(number)).await;
                let mut read = 0;
                while let Some(piece) = reply.stream.next().await {
                    read += piece.len();
                }
                assert!(read > tokens as usize * 100, "not whole");
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
        let plane = new_plane(ReadyEngines {
            tokens: 3,
            hangs: true,
        });
        let mut open = Vec::new();
        // The first streams pay for what all share.
        for number in 0..100 {
            open.push(begin(&plane, number).await);
        }
        let before = resident_bytes();
        for number in 0..OPEN_STREAMS {
            open.push(begin(&plane, 1_000 + number).await);
        }
        resident_bytes().saturating_sub(before) / OPEN_STREAMS
    })
}
