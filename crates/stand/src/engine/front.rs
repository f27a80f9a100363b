//! HTTP server of an engine.

use std::net;

use base::id;
use futures_util::StreamExt as _;
use rocket::{
    State, data, delete, get,
    http::ContentType,
    post,
    response::{Responder, stream::TextStream},
    routes,
};

use super::{call, error, handle, stream};
use crate::http;

/// Maximum number of ready events written in one chunk.
const MAX_EVENTS_PER_CHUNK: usize = 64;

/// Serves the engine on `address` (port 0: any free port).
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(
    handle: handle::EngineHandle,
    address: net::SocketAddr,
) -> Result<http::RunningServer, http::ServeError> {
    let routes = routes![
        start,
        resume,
        cancel,
        load,
        cache_events,
        order,
        state,
        faults
    ];
    let (gate, signals) = (handle.gate().clone(), handle.signals().clone());
    http::serve_with_signals(address, gate, signals, handle, routes).await
}

/// Event stream whose header names its generation, so that mixed-up answers can be detected.
struct EventReply<S> {
    generation: id::GenerationId,
    texts: TextStream<S>,
}

impl<'r, S: futures_util::Stream<Item = String> + Send + 'r> Responder<'r, 'r> for EventReply<S> {
    fn respond_to(self, request: &'r rocket::Request<'_>) -> rocket::response::Result<'r> {
        let mut response = self.texts.respond_to(request)?;
        response.set_header(ContentType::EventStream);
        response.set_raw_header("X-Generation-Id", self.generation.to_string());
        Ok(response)
    }
}

type EventAnswer<S> = Result<EventReply<S>, http::JsonReply>;

#[post("/v1/generations", data = "<body>")]
async fn start(
    body: data::Data<'_>,
    handle: &State<handle::EngineHandle>,
) -> EventAnswer<impl futures_util::Stream<Item = String> + use<>> {
    if let Some(reply) = handle.signals().take_turn_away() {
        return Err(reply);
    }
    let call: call::StartCall = http::read_json(body).await?;
    let generation = call.id;
    let stream = handle.start(call).await.map_err(error_reply)?;
    let texts = TextStream::from(texts(stream));
    Ok(EventReply { generation, texts })
}

#[get("/v1/generations/<generation>?<from>")]
async fn resume(
    generation: &str,
    from: Option<u32>,
    handle: &State<handle::EngineHandle>,
) -> EventAnswer<impl futures_util::Stream<Item = String> + use<>> {
    let generation = parse_id(generation)?;
    let stream = handle.resume(generation, from.unwrap_or(0)).await;
    let texts = TextStream::from(texts(stream.map_err(error_reply)?));
    Ok(EventReply { generation, texts })
}

#[delete("/v1/generations/<generation>")]
async fn cancel(generation: &str, handle: &State<handle::EngineHandle>) -> http::JsonReply {
    let generation = match parse_id(generation) {
        Ok(generation) => generation,
        Err(reply) => return reply,
    };
    match handle.cancel(generation).await {
        Ok(call::CancelAnswer::Known { ran, produced }) => {
            http::json(200, &serde_json::json!({"ran": ran, "produced": produced}))
        }
        Ok(call::CancelAnswer::Remembered) => {
            let message = "the generation is unknown; a later start with this id is refused";
            http::error(404, "not_held", message)
        }
        Err(error) => error_reply(error),
    }
}

#[get("/v1/load")]
async fn load(handle: &State<handle::EngineHandle>) -> http::JsonReply {
    answer(handle.load().await)
}

#[get("/v1/cache-events?<after>")]
async fn cache_events(after: Option<u64>, handle: &State<handle::EngineHandle>) -> http::JsonReply {
    answer(handle.cache_events(after.unwrap_or(0)).await)
}

#[post("/v1/orders", data = "<body>")]
async fn order(
    body: data::Data<'_>,
    seen: http::SeenAt,
    handle: &State<handle::EngineHandle>,
) -> http::JsonReply {
    match http::read_json(body).await {
        Ok(call) => answer(handle.order(call, seen.0).await),
        Err(reply) => reply,
    }
}

#[get("/v1/state")]
async fn state(handle: &State<handle::EngineHandle>) -> http::JsonReply {
    answer(handle.state().await)
}

#[post("/admin/faults", data = "<body>")]
async fn faults(body: data::Data<'_>, handle: &State<handle::EngineHandle>) -> http::JsonReply {
    match http::read_json(body).await {
        Ok(fault) => {
            handle.apply(&fault);
            http::json(200, &fault)
        }
        Err(reply) => reply,
    }
}

fn parse_id(text: &str) -> Result<id::GenerationId, http::JsonReply> {
    let parsed = text.parse();
    parsed.map_err(|cause: id::IdError| http::error(400, "bad_request", &cause.to_string()))
}

fn answer<T: serde::Serialize>(outcome: Result<T, error::EngineError>) -> http::JsonReply {
    match outcome {
        Ok(body) => http::json(200, &body),
        Err(error) => error_reply(error),
    }
}

fn error_reply(error: error::EngineError) -> http::JsonReply {
    let (status, code) = match &error {
        error::EngineError::Down => (503, "down"),
        error::EngineError::Known { .. } => (409, "known"),
        error::EngineError::NotHeld { .. } => (404, "not_held"),
        error::EngineError::NotLoaded { .. } => (404, "not_loaded"),
        error::EngineError::TooLong { .. } => (400, "too_long"),
        error::EngineError::OldFencing { .. } => (409, "old_fencing"),
        error::EngineError::LateOrder { .. } => (410, "late_order"),
        error::EngineError::AnswerLost => return http::JsonReply::Lost(http::LostAnswer),
    };
    http::error(status, code, &error.to_string())
}

/// Formats the stream as text; events that are ready together form one chunk.
fn texts(stream: stream::EngineStream) -> impl futures_util::Stream<Item = String> + use<> {
    let events = futures_util::stream::unfold(stream, |mut stream| async move {
        let event = stream.next().await?;
        Some((event_text(&event), stream))
    });
    events
        .ready_chunks(MAX_EVENTS_PER_CHUNK)
        .map(|texts| texts.concat())
}

fn event_text(event: &stream::StreamEvent) -> String {
    match event {
        stream::StreamEvent::Token { seq, text } => {
            format!(
                "data: {}\n\n",
                serde_json::json!({"seq": seq, "text": text})
            )
        }
        stream::StreamEvent::Ping => String::from(": ping\n\n"),
        stream::StreamEvent::Finish(report) => {
            let text = serde_json::to_string(report).unwrap_or_default();
            format!("data: {text}\n\n")
        }
        stream::StreamEvent::Nonsense => String::from("data: {\"seq\": \u{fffd}nonsense\n\n"),
    }
}
