//! The HTTP API for callers.

use std::sync;

use base::refusal;
use bytes::Bytes;
use flow::{body, plane, request};
use rocket::{State, data, http::Status};

use crate::{
    http::{answer, head, intake},
    state,
};

type CompleteAnswer = answer::HttpAnswer<answer::CompleteBody>;
type StreamAnswer = answer::HttpAnswer<answer::StreamBody<flow::pipe::CallerStream>>;

/// Answer to a call for a generation.
#[derive(Debug, rocket::Responder)]
pub enum GenerationAnswer {
    /// A complete answer.
    Complete(CompleteAnswer),
    /// A streamed answer.
    Stream(StreamAnswer),
}

const REQUEST_ID: &str = "x-request-id";
const GENERATION_TOKEN: &str = "x-generation-token";
const EVENT_STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";

/// Routes of the callers' API.
#[must_use]
pub fn routes() -> Vec<rocket::Route> {
    rocket::routes![
        chat,
        completion,
        models,
        entries,
        fetch,
        continuation,
        service
    ]
}

#[rocket::post("/v1/chat/completions", data = "<data>")]
async fn chat(
    head: head::CallHead,
    data: data::Data<'_>,
    entry: &State<sync::Arc<state::EntryState>>,
) -> GenerationAnswer {
    generate(head, data, entry, body::CompletionApi::Chat).await
}

#[rocket::post("/v1/completions", data = "<data>")]
async fn completion(
    head: head::CallHead,
    data: data::Data<'_>,
    entry: &State<sync::Arc<state::EntryState>>,
) -> GenerationAnswer {
    generate(head, data, entry, body::CompletionApi::Completion).await
}

async fn generate(
    head: head::CallHead,
    data: data::Data<'_>,
    entry: &state::EntryState,
    api: body::CompletionApi,
) -> GenerationAnswer {
    let bytes = match read_json(&head, data, entry).await {
        Ok(bytes) => bytes,
        Err(refused) => return GenerationAnswer::Complete(refused),
    };
    if head.respond_async {
        return GenerationAnswer::Complete(accept(head, api, bytes, entry).await);
    }
    // The memory of the body counts until the answer begins.
    let _body = bytes.clone();
    match entry.plane.generate(caller_headers(head), api, bytes).await {
        Ok(plane::GenerationReply::Complete { request, body }) => {
            let headers = vec![answer::HeaderLine {
                name: REQUEST_ID,
                value: request.to_string(),
            }];
            GenerationAnswer::Complete(answer::HttpAnswer {
                status: Status::Ok.code,
                content_type: JSON.to_owned(),
                headers,
                body: answer::CompleteBody(body),
            })
        }
        Ok(plane::GenerationReply::Stream(reply)) => GenerationAnswer::Stream(streamed(reply)),
        Err(refused) => GenerationAnswer::Complete(refused_answer(refused)),
    }
}

/// Accepts a job whose result is fetched later.
async fn accept(
    head: head::CallHead,
    api: body::CompletionApi,
    bytes: Bytes,
    entry: &state::EntryState,
) -> CompleteAnswer {
    match entry
        .plane
        .accept_job(caller_headers(head), api, bytes)
        .await
    {
        Ok(request) => {
            let state = RequestState {
                id: request.to_string(),
                state: "waiting",
            };
            let mut answer = answer::HttpAnswer::json(Status::Accepted.code, &state);
            let value = format!("/v1/requests/{request}");
            answer.headers.push(answer::HeaderLine {
                name: "location",
                value,
            });
            let value = request.to_string();
            answer.headers.push(answer::HeaderLine {
                name: REQUEST_ID,
                value,
            });
            answer
        }
        Err(refused) => refused_answer(refused),
    }
}

/// State of a job that is not finished.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
struct RequestState {
    id: String,
    state: &'static str,
}

#[rocket::get("/v1/requests/<id>")]
async fn fetch(
    head: head::CallHead,
    id: &str,
    entry: &State<sync::Arc<state::EntryState>>,
) -> CompleteAnswer {
    let Ok(job) = id.parse() else {
        return not_run(
            refusal::RefusalCode::NotFound,
            base::id::IdError.to_string(),
        );
    };
    match entry.plane.fetch_job(caller_headers(head), job).await {
        Ok(flow::jobs::JobReply::Waiting) => {
            let state = RequestState {
                id: id.to_owned(),
                state: "waiting",
            };
            answer::HttpAnswer::json(Status::Accepted.code, &state)
        }
        Ok(flow::jobs::JobReply::Answer(text)) => answer::HttpAnswer {
            status: Status::Ok.code,
            content_type: JSON.to_owned(),
            headers: Vec::new(),
            body: answer::CompleteBody(text.into()),
        },
        Ok(flow::jobs::JobReply::Refused(body)) => answer::HttpAnswer::refusal(body),
        Err(refused) => refused_answer(refused),
    }
}

#[rocket::get("/v1/generations/<token>?<from>")]
async fn continuation(
    head: head::CallHead,
    token: &str,
    from: Option<u32>,
    entry: &State<sync::Arc<state::EntryState>>,
) -> GenerationAnswer {
    let from = from.unwrap_or(0);
    match entry
        .plane
        .continue_generation(caller_headers(head), token, from)
        .await
    {
        Ok(reply) => GenerationAnswer::Stream(streamed(reply)),
        Err(refused) => GenerationAnswer::Complete(refused_answer(refused)),
    }
}

#[rocket::post("/v1/services/<name>/<path..>", data = "<data>")]
async fn service(
    head: head::CallHead,
    name: &str,
    path: std::path::PathBuf,
    data: data::Data<'_>,
    entry: &State<sync::Arc<state::EntryState>>,
) -> CompleteAnswer {
    let body = match read_body(&head, data, entry).await {
        Ok(body) => body,
        Err(refused) => return refused,
    };
    let raw = request::RawCall {
        service: name.to_owned(),
        method: "POST".to_owned(),
        path: format!("/{}", path.display()),
        content_type: head.content_type.clone(),
        body,
    };
    match entry.plane.call_service(caller_headers(head), raw).await {
        Ok(reply) => answer::HttpAnswer {
            status: reply.answer.status,
            content_type: reply.answer.content_type.unwrap_or_else(|| JSON.to_owned()),
            headers: vec![answer::HeaderLine {
                name: REQUEST_ID,
                value: reply.request.to_string(),
            }],
            body: answer::CompleteBody(reply.answer.body),
        },
        Err(refused) => refused_answer(refused),
    }
}

fn streamed(reply: plane::StreamReply) -> StreamAnswer {
    let headers = vec![
        answer::HeaderLine {
            name: REQUEST_ID,
            value: reply.request.to_string(),
        },
        answer::HeaderLine {
            name: GENERATION_TOKEN,
            value: reply.token,
        },
    ];
    answer::HttpAnswer {
        status: Status::Ok.code,
        content_type: EVENT_STREAM.to_owned(),
        headers,
        body: answer::StreamBody(reply.stream),
    }
}

fn refused_answer(refused: plane::RefusedRequest) -> CompleteAnswer {
    let mut answer = answer::HttpAnswer::refusal(refused.body);
    let value = refused.request.to_string();
    answer.headers.push(answer::HeaderLine {
        name: REQUEST_ID,
        value,
    });
    answer
}

fn caller_headers(head: head::CallHead) -> request::CallerHeaders {
    request::CallerHeaders {
        api_key: head.api_key,
        requested_class: head.requested_class,
        idempotency_key: head.idempotency_key,
        time_limit_ms: head.time_limit_ms,
    }
}

/// Reads a JSON body within its limits.
async fn read_json(
    head: &head::CallHead,
    data: data::Data<'_>,
    entry: &state::EntryState,
) -> Result<Bytes, CompleteAnswer> {
    if head
        .content_type
        .as_deref()
        .is_some_and(|media| media != JSON)
    {
        let message = "the body must be JSON; send `Content-Type: application/json`";
        return Err(not_run(refusal::RefusalCode::BadRequest, message));
    }
    read_body(head, data, entry).await
}

/// Largest body that is read from a caller without a known key, whose refusal is recorded.
const MAX_UNKNOWN_BYTES: u64 = 8 * 1_024;

/// Reads the body of a caller within its limits.
async fn read_body(
    head: &head::CallHead,
    data: data::Data<'_>,
    entry: &state::EntryState,
) -> Result<Bytes, CompleteAnswer> {
    if head
        .content_length
        .is_none_or(|length| length > MAX_UNKNOWN_BYTES)
    {
        let snapshot = entry.active_config.snapshot();
        entry
            .organisation(head, &snapshot)
            .map_err(answer::HttpAnswer::refusal)?;
    }
    let read = intake::read(head, data, entry).await;
    read.map_err(answer::HttpAnswer::refusal)
}

fn not_run(code: refusal::RefusalCode, message: impl Into<String>) -> CompleteAnswer {
    answer::HttpAnswer::refusal(refusal::RefusalBody::not_run(code, message))
}

/// One model in the list format of common client libraries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
struct ModelLine {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// The list of models in the format of common client libraries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelLine>,
}

#[rocket::get("/v1/models")]
fn models(
    head: head::CallHead,
    entry: &State<sync::Arc<state::EntryState>>,
) -> Result<CompleteAnswer, CompleteAnswer> {
    let snapshot = entry.active_config.snapshot();
    entry
        .organisation(&head, &snapshot)
        .map_err(answer::HttpAnswer::refusal)?;
    let line = |id: String| ModelLine {
        id,
        object: "model",
        created: 0,
        owned_by: "pollenchute",
    };
    let data = snapshot
        .inventory()
        .models
        .iter()
        .flat_map(|(name, model)| {
            let adapted = model
                .adapters
                .iter()
                .map(move |adapter| format!("{name}:{adapter}"));
            std::iter::once(name.clone()).chain(adapted)
        })
        .map(line)
        .collect();
    Ok(answer::HttpAnswer::json(
        Status::Ok.code,
        &ModelList {
            object: "list",
            data,
        },
    ))
}

/// One entry VM as advertised to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
struct EntryLine {
    vm: String,
    address: String,
}

/// The entry VMs advertised to one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
struct EntryList {
    entries: Vec<EntryLine>,
    keep_ms: u64,
}

#[rocket::get("/v1/entries")]
fn entries(
    head: head::CallHead,
    entry: &State<sync::Arc<state::EntryState>>,
) -> Result<CompleteAnswer, CompleteAnswer> {
    let snapshot = entry.active_config.snapshot();
    let organisation = entry
        .organisation(&head, &snapshot)
        .map_err(answer::HttpAnswer::refusal)?;
    let named = snapshot
        .entries_of(organisation, |vm| {
            entry.members.is_advertised(&snapshot, vm)
        })
        .into_iter()
        .filter_map(|key| snapshot.vm(key))
        .map(|vm| EntryLine {
            vm: vm.name.clone(),
            address: vm.entry.callers.to_string(),
        })
        .collect();
    let list = EntryList {
        entries: named,
        keep_ms: snapshot.rules().entries.keep_ms,
    };
    Ok(answer::HttpAnswer::json(Status::Ok.code, &list))
}
