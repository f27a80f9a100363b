//! Liveness, readiness and metrics endpoints.

use std::sync;

use base::ops;
use rocket::{State, http::Status};

use crate::{http::answer, state};

type CompleteAnswer = answer::HttpAnswer<answer::CompleteBody>;

/// Routes of the health and metrics endpoints.
#[must_use]
pub fn routes() -> Vec<rocket::Route> {
    rocket::routes![healthz, readyz, metrics]
}

#[rocket::get("/healthz")]
fn healthz() -> CompleteAnswer {
    answer::HttpAnswer::text(Status::Ok.code, "ok\n")
}

#[rocket::get("/readyz")]
fn readyz(entry: &State<sync::Arc<state::EntryState>>) -> CompleteAnswer {
    match entry.readiness() {
        ops::ReadyState::Ready => answer::HttpAnswer::text(Status::Ok.code, "ready\n"),
        ops::ReadyState::Starting => answer::HttpAnswer::text(
            Status::ServiceUnavailable.code,
            "no configuration yet; publish one, or check that the log answers\n",
        ),
        ops::ReadyState::Leaving => answer::HttpAnswer::text(
            Status::ServiceUnavailable.code,
            "leaving: what runs is finished, nothing new is taken\n",
        ),
    }
}

#[rocket::get("/metrics")]
fn metrics(entry: &State<sync::Arc<state::EntryState>>) -> CompleteAnswer {
    match &entry.metrics {
        Some(handle) => answer::HttpAnswer::text(Status::Ok.code, handle.render()),
        None => answer::HttpAnswer::text(
            Status::NotFound.code,
            "another daemon of this process records the metrics\n",
        ),
    }
}
