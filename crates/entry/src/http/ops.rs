//! The HTTP API for operators.

use std::sync;

use base::{ops, refusal};
use rocket::{State, data, http::Status};

use crate::{
    http::{answer, head, intake},
    publish, state, status,
};

type CompleteAnswer = answer::HttpAnswer<answer::CompleteBody>;
type OpsAnswer = Result<CompleteAnswer, CompleteAnswer>;
type Entry = State<sync::Arc<state::EntryState>>;

/// Routes of the operators' API.
#[must_use]
pub fn routes() -> Vec<rocket::Route> {
    rocket::routes![
        show_status,
        configuration,
        history,
        publish_change,
        timeline,
        drain,
        quarantine,
        lift
    ]
}

fn allow(entry: &state::EntryState, head: &head::CallHead) -> Result<String, CompleteAnswer> {
    entry.operator(head).map_err(answer::HttpAnswer::refusal)
}

fn ok<T: serde::Serialize>(value: &T) -> OpsAnswer {
    Ok(answer::HttpAnswer::json(Status::Ok.code, value))
}

fn bad(code: refusal::RefusalCode, message: impl Into<String>) -> CompleteAnswer {
    answer::HttpAnswer::refusal(refusal::RefusalBody::not_run(code, message))
}

async fn read<T: serde::de::DeserializeOwned>(
    head: &head::CallHead,
    data: data::Data<'_>,
    entry: &state::EntryState,
) -> Result<T, CompleteAnswer> {
    let read = intake::read(head, data, entry).await;
    let bytes = read.map_err(answer::HttpAnswer::refusal)?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let message = format!("the body cannot be parsed ({error}); see docs/INTERFACES.md");
        bad(refusal::RefusalCode::BadRequest, message)
    })
}

#[rocket::get("/ops/status?<only>")]
fn show_status(head: head::CallHead, only: Option<&str>, entry: &Entry) -> OpsAnswer {
    allow(entry, &head)?;
    let body = status::status(entry);
    ok(&match only {
        Some(parts) => body.only(parts),
        None => body,
    })
}

#[rocket::get("/ops/configuration?<revision>")]
fn configuration(head: head::CallHead, revision: Option<u64>, entry: &Entry) -> OpsAnswer {
    allow(entry, &head)?;
    let wanted = revision.unwrap_or_else(|| entry.active_config.snapshot().revision());
    let Some(body) = entry.active_config.configuration(wanted) else {
        let message = format!("revision {wanted} is not retained here; see GET /ops/history");
        return Err(bad(refusal::RefusalCode::NotFound, message));
    };
    ok(&body)
}

#[rocket::get("/ops/history")]
fn history(head: head::CallHead, entry: &Entry) -> OpsAnswer {
    allow(entry, &head)?;
    ok(&entry.active_config.history())
}

#[rocket::post("/ops/publish", data = "<data>")]
async fn publish_change(head: head::CallHead, data: data::Data<'_>, entry: &Entry) -> OpsAnswer {
    let author = allow(entry, &head)?;
    let mut request: ops::PublishAsk = read(&head, data, entry).await?;
    request.author = author;
    match publish::publish(entry, request).await {
        Ok(answer) => Ok(answer::HttpAnswer::json(answer.status(), &answer)),
        Err(body) => Err(answer::HttpAnswer::refusal(body)),
    }
}

#[rocket::get("/ops/timeline?<since_ms>&<kind>&<request>&<limit>")]
fn timeline(
    head: head::CallHead,
    since_ms: Option<u64>,
    kind: Option<&str>,
    request: Option<&str>,
    limit: Option<usize>,
    entry: &Entry,
) -> OpsAnswer {
    allow(entry, &head)?;
    let query = trace::query::EventQuery::from_parts(request, since_ms, kind, limit)
        .map_err(|error| bad(refusal::RefusalCode::BadRequest, error.to_string()))?;
    ok(&entry.recorder.journal().timeline(&query))
}

#[rocket::post("/ops/drain", data = "<data>")]
async fn drain(head: head::CallHead, data: data::Data<'_>, entry: &Entry) -> OpsAnswer {
    let operator = allow(entry, &head)?;
    let request: ops::DrainAsk = read(&head, data, entry).await?;
    match crate::drain::mark(entry, &request, &operator).await {
        Ok(answer) => ok(&answer),
        Err(body) => Err(answer::HttpAnswer::refusal(body)),
    }
}

#[rocket::get("/ops/quarantine")]
fn quarantine(head: head::CallHead, entry: &Entry) -> OpsAnswer {
    allow(entry, &head)?;
    let entries = entry.plane.suspects().list(crate::clock::unix_ms());
    ok(&ops::QuarantineBody { entries })
}

#[rocket::post("/ops/quarantine/lift", data = "<data>")]
async fn lift(head: head::CallHead, data: data::Data<'_>, entry: &Entry) -> OpsAnswer {
    let operator = allow(entry, &head)?;
    let request: ops::LiftAsk = read(&head, data, entry).await?;
    let lifted = entry
        .plane
        .suspects()
        .lift(request.fingerprint, crate::clock::unix_ms());
    if lifted {
        entry
            .recorder
            .record(trace::kind::EventKind::QuarantineLifted {
                fingerprint: request.fingerprint,
                reason: operator,
            });
    }
    ok(&ops::LiftAnswer { lifted })
}
