//! HTTP server of a plain service server; accepts any method and path.

use std::net;

use rocket::{State, data, get, http::Method, post, response::Responder as _, route, routes};

use super::{ServiceCall, handle};
use crate::http;

/// Serves the server on `address` (port 0: any free port).
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(
    handle: handle::ServiceHandle,
    address: net::SocketAddr,
) -> Result<http::RunningServer, http::ServeError> {
    let mut routes = routes![health, runs, faults];
    for method in [
        Method::Get,
        Method::Post,
        Method::Put,
        Method::Patch,
        Method::Delete,
    ] {
        routes.push(rocket::Route::ranked(10, method, "/<path..>", AnyCall));
    }
    let (gate, signals) = (handle.gate().clone(), handle.signals().clone());
    http::serve_with_signals(address, gate, signals, handle, routes).await
}

#[get("/healthz")]
async fn health(handle: &State<handle::ServiceHandle>) -> http::JsonReply {
    match handle.leaving().await {
        Ok(leaving) => http::json(200, &serde_json::json!({"leaving": leaving})),
        Err(error) => http::error(503, "refused", &error.to_string()),
    }
}

#[get("/admin/runs")]
fn runs(handle: &State<handle::ServiceHandle>) -> http::JsonReply {
    http::json(200, &handle.counts())
}

#[post("/admin/faults", data = "<body>")]
async fn faults(body: data::Data<'_>, handle: &State<handle::ServiceHandle>) -> http::JsonReply {
    match http::read_json(body).await {
        Ok(fault) => {
            handle.apply(&fault);
            http::json(200, &fault)
        }
        Err(reply) => reply,
    }
}

/// Handles every call that no other route matches.
#[derive(Clone, Copy, Debug)]
struct AnyCall;

#[rocket::async_trait]
impl route::Handler for AnyCall {
    async fn handle<'r>(
        &self,
        request: &'r rocket::Request<'_>,
        body: data::Data<'r>,
    ) -> route::Outcome<'r> {
        let reply = run(request, body).await;
        match reply.respond_to(request) {
            Ok(response) => route::Outcome::Success(response),
            Err(status) => route::Outcome::Error(status),
        }
    }
}

async fn run(request: &rocket::Request<'_>, body: data::Data<'_>) -> http::JsonReply {
    const LOST: http::JsonReply = http::JsonReply::Lost(http::LostAnswer);
    let Some(handle) = request.rocket().state::<handle::ServiceHandle>() else {
        return LOST;
    };
    if let Some(reply) = handle.signals().take_turn_away() {
        return reply;
    }
    let body = match http::read_bytes(body).await {
        Ok(body) => bytes::Bytes::from(body),
        Err(reply) => return reply,
    };
    let header = |name| request.headers().get_one(name).map(String::from);
    let call = ServiceCall {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        request_id: header("X-Request-Id"),
        idempotency_key: header("Idempotency-Key"),
        body,
    };
    match handle.call(call).await {
        Ok(answer) => http::json(200, &answer),
        Err(_) => LOST,
    }
}
