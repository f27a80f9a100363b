//! Client that reads streams from an engine or through an entry VM.

use std::{
    net, sync,
    sync::atomic::{self, AtomicBool, AtomicU64},
    time::Duration,
};

use futures_util::StreamExt as _;
use tokio::{task, time};

use crate::moment;

/// API key of the only organisation.
pub const API_KEY: &str = "bench-key";

/// Number of tokens received so far over all streams.
pub static ARRIVED: AtomicU64 = AtomicU64::new(0);

/// True while delays are recorded.
pub static MEASURING: AtomicBool = AtomicBool::new(false);

/// Target of the client's requests.
#[derive(Clone, Copy)]
pub enum Target {
    /// Directly to an engine.
    Engine(net::SocketAddr),
    /// Through an entry VM.
    Entry(net::SocketAddr),
}

/// Parameters of one group of streams.
#[derive(Clone, Copy)]
pub struct StreamLoad {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Time between two tokens of a stream.
    pub step: Duration,
    /// Number of tokens of a stream.
    pub tokens: u32,
}

/// Outcome of one or more streams.
pub struct StreamOutcome {
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of streams that ended incomplete.
    pub broken: u64,
    /// Time from the sending of each token to its arrival, in microseconds.
    pub delay_us: hdrhistogram::Histogram<u64>,
}

impl StreamOutcome {
    fn new() -> Self {
        Self {
            tokens: 0,
            broken: 0,
            delay_us: hdrhistogram::Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds"),
        }
    }

    pub fn delay_ms(&self, quantile: f64) -> f64 {
        self.delay_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

fn request(client: &reqwest::Client, target: Target, load: StreamLoad) -> reqwest::RequestBuilder {
    let prompt = format!(
        "x [[len={}]] [[step_us={}]]",
        load.tokens,
        load.step.as_micros()
    );
    match target {
        Target::Engine(address) => {
            let mut rng = rand::rng();
            let id = base::id::GenerationId::draw(&mut rng);
            let body = serde_json::json!({"id": id, "model": "bench", "prompt": prompt,
                "max_tokens": load.tokens, "priority": 1});
            client
                .post(format!("http://{address}/v1/generations"))
                .json(&body)
        }
        Target::Entry(address) => {
            let body = serde_json::json!({"model": "bench", "stream": true,
                "max_tokens": load.tokens, "messages": [{"role": "user", "content": prompt}]});
            let client = client.post(format!("http://{address}/v1/chat/completions"));
            client.bearer_auth(API_KEY).json(&body)
        }
    }
}

/// Reads one stream to its end.
async fn read_stream(client: reqwest::Client, target: Target, load: StreamLoad) -> StreamOutcome {
    let mut outcome = StreamOutcome::new();
    let response = match request(&client, target, load).send().await {
        Ok(response) if response.status().is_success() => response,
        Ok(response) => panic!(
            "{} {}",
            response.status(),
            response.text().await.unwrap_or_default()
        ),
        Err(error) => panic!("{error:?}"),
    };
    let mut chunks = response.bytes_stream();
    let mut rest = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let Ok(chunk) = chunk else {
            break;
        };
        rest.extend_from_slice(&chunk);
        let now = moment::now_us();
        let Some(end) = rest.iter().rposition(|byte| *byte == b'\n') else {
            continue;
        };
        for line in rest[..end].split(|byte| *byte == b'\n') {
            if let Some(sent) = sent_us(line) {
                outcome.tokens += 1;
                ARRIVED.fetch_add(1, atomic::Ordering::Relaxed);
                if MEASURING.load(atomic::Ordering::Relaxed) {
                    let delay_us = now.saturating_sub(sent).max(1);
                    outcome.delay_us.saturating_record(delay_us);
                }
            }
        }
        rest.drain(..=end);
    }
    outcome.broken = u64::from(outcome.tokens != u64::from(load.tokens));
    outcome
}

/// Extracts the send time from the text of a token without parsing the complete line.
fn sent_us(line: &[u8]) -> Option<u64> {
    const KEYS: [&[u8]; 2] = [b"\"content\":\"", b"\"text\":\""];
    let start = KEYS.iter().find_map(|key| {
        let at = line.windows(key.len()).position(|window| window == *key)?;
        Some(at + key.len())
    })?;
    let digits = line[start..]
        .iter()
        .take_while(|byte| byte.is_ascii_digit());
    let digits: Vec<u8> = digits.copied().collect();
    std::str::from_utf8(&digits).ok()?.parse().ok()
}

/// Opens all streams, spread evenly over one step, and reads them to their ends.
pub async fn read_streams(targets: &[Target], load: StreamLoad) -> StreamOutcome {
    let client = reqwest::Client::builder()
        .tcp_nodelay(true)
        .build()
        .expect("a client");
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_OPENS));
    let mut tasks = task::JoinSet::new();
    for index in 0..load.streams {
        let target = targets[index % targets.len()];
        let (client, permits) = (client.clone(), permits.clone());
        tasks.spawn(async move {
            let permit = permits.acquire_owned().await.expect("never closed");
            time::sleep(
                load.step / MAX_CONCURRENT_OPENS as u32 * (index % MAX_CONCURRENT_OPENS) as u32,
            )
            .await;
            task::spawn(async move {
                time::sleep(OPEN_INTERVAL).await;
                drop(permit);
            });
            read_stream(client, target, load).await
        });
    }
    let mut sum = StreamOutcome::new();
    while let Some(outcome) = tasks.join_next().await {
        let outcome = outcome.expect("the reader does not panic");
        sum.tokens += outcome.tokens;
        sum.broken += outcome.broken;
        sum.delay_us.add(&outcome.delay_us).expect("same bounds");
    }
    sum
}

/// Maximum number of streams that are opened concurrently.
const MAX_CONCURRENT_OPENS: usize = 50;

/// Time after which the permit to open a stream passes to the next one.
const OPEN_INTERVAL: Duration = Duration::from_millis(5);
