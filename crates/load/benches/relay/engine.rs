//! Model engine that only sends tokens: each stream gets a token every step, and each token carries
//! its send time.

use std::{collections, net, sync, sync::atomic, time::Duration};

use rocket::{data, delete, get, http, post, response::stream::TextStream, routes};
use tokio::time;

use crate::moment;

/// Load report of the engine.
const LOAD: &str = r#"{"incarnation":"0000000000000000000000000000002a","taken_ms_ago":0,
"total_blocks":100000000,"free_blocks":100000000,"block_tokens":16,"running":0,"waiting":0,
"preemptions":0,"models":[{"model":"bench","version":"1","adapters":[]}],"role":"serve",
"leaving":false}"#;

const STATE: &str = r#"{"incarnation":"0000000000000000000000000000002a",
"models":[{"model":"bench","version":"1","adapters":[]}],"role":"serve","loading":null,
"fencing":null,"leaving":false}"#;

/// Number of open streams over all engines of this process.
pub static OPEN: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Generations by id over all engines of this process.
static GENERATIONS: sync::Mutex<collections::BTreeMap<String, PacedGeneration>> =
    sync::Mutex::new(collections::BTreeMap::new());

struct OpenStream;

impl OpenStream {
    fn begin() -> Self {
        OPEN.fetch_add(1, atomic::Ordering::Relaxed);
        Self
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        OPEN.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

#[derive(serde::Deserialize)]
struct StartBody {
    id: String,
    prompt: String,
    max_tokens: u32,
}

/// A generation whose token `n` is due `n` steps after its start.
#[derive(Clone, Copy)]
struct PacedGeneration {
    start: time::Instant,
    step: Duration,
    count: u32,
}

impl PacedGeneration {
    /// Reads length and step from `[[len=N]]` and `[[step_us=N]]` in the prompt.
    fn of(call: &StartBody) -> Self {
        let number = |name| {
            stand::engine::text::directive(&call.prompt, name)?
                .parse()
                .ok()
        };
        Self {
            start: time::Instant::now(),
            step: Duration::from_micros(number("step_us").unwrap_or(20_000)),
            count: number("len").unwrap_or(u64::from(call.max_tokens)) as u32,
        }
    }

    fn stream(self, from: u32) -> EventAnswer<impl futures_util::Stream<Item = String> + use<>> {
        let opened = OpenStream::begin();
        let count = self.count;
        let events = async_stream::stream! {
            let _opened = opened;
            for seq in from..count {
                time::sleep_until(self.start + self.step * seq).await;
                yield format!("data: {{\"seq\":{seq},\"text\":\"{} \"}}\n\n", moment::now_us());
            }
            yield format!("data: {{\"finish\":\"stop\",\"produced\":{count},\"prompt_tokens\":1,\"cached_tokens\":0,\"preempted\":0}}\n\n");
        };
        (http::ContentType::EventStream, TextStream::from(events))
    }
}

type EventAnswer<S> = (http::ContentType, TextStream<S>);

#[post("/v1/generations", data = "<body>")]
async fn start(
    body: data::Data<'_>,
) -> EventAnswer<impl futures_util::Stream<Item = String> + use<>> {
    let text = body.open(data::ByteUnit::Mebibyte(1)).into_string().await;
    let text = text.map(|text| text.into_inner()).unwrap_or_default();
    let call: StartBody = serde_json::from_str(&text).expect("a start of a generation");
    let generation = PacedGeneration::of(&call);
    GENERATIONS
        .lock()
        .expect("not poisoned")
        .insert(call.id, generation);
    generation.stream(0)
}

#[get("/v1/generations/<id>?<from>")]
fn resume(
    id: &str,
    from: u32,
) -> Option<EventAnswer<impl futures_util::Stream<Item = String> + use<>>> {
    let generation = GENERATIONS.lock().expect("not poisoned").get(id).copied()?;
    Some(generation.stream(from))
}

#[delete("/v1/generations/<_id>")]
fn cancel(_id: &str) -> (http::ContentType, &'static str) {
    (http::ContentType::JSON, r#"{"ran":true,"produced":1}"#)
}

#[get("/v1/load")]
fn load() -> (http::ContentType, &'static str) {
    (http::ContentType::JSON, LOAD)
}

#[get("/v1/cache-events")]
fn cache_events() -> (http::ContentType, &'static str) {
    (http::ContentType::JSON, r#"{"events":[],"next":0}"#)
}

#[get("/v1/state")]
fn state() -> (http::ContentType, &'static str) {
    (http::ContentType::JSON, STATE)
}

#[post("/v1/orders")]
fn order() -> (http::ContentType, &'static str) {
    (http::ContentType::JSON, STATE)
}

/// Serves one engine on a free port, on the current runtime.
pub async fn serve() -> net::SocketAddr {
    let config = rocket::Config {
        address: net::Ipv4Addr::LOCALHOST.into(),
        port: 0,
        log_level: rocket::config::LogLevel::Off,
        ..rocket::Config::release_default()
    };
    let (sender, mut receiver) = tokio::sync::mpsc::channel(1);
    let liftoff = rocket::fairing::AdHoc::on_liftoff("address", move |rocket| {
        let address = net::SocketAddr::new(rocket.config().address, rocket.config().port);
        let sender = sender.clone();
        Box::pin(async move {
            let _ = sender.send(address).await;
        })
    });
    let engine = rocket::custom(config)
        .mount(
            "/",
            routes![start, resume, cancel, load, cache_events, state, order],
        )
        .attach(liftoff);
    tokio::spawn(engine.launch());
    receiver.recv().await.expect("the engine listens")
}
