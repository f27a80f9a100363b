//! Headers of a caller's request that the daemon evaluates.

use std::convert;

use base::class;
use rocket::{http, request};

/// Headers of a caller's request that the daemon evaluates.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Key of the caller, from `Authorization: Bearer`.
    pub api_key: Option<String>,
    /// Class requested in `X-Traffic-Class`; the rules decide whether it applies.
    pub requested_class: Option<class::TrafficClass>,
    /// Whether `Prefer: respond-async` was sent, so that the answer is fetched later.
    pub respond_async: bool,
    /// The `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// Time limit of the caller, from `X-Time-Limit-Ms`.
    pub time_limit_ms: Option<u64>,
    /// The content type, lower case, without parameters.
    pub content_type: Option<String>,
    /// The stated length of the body.
    pub content_length: Option<u64>,
}

const BEARER: &str = "Bearer ";

impl CallHead {
    fn of(headers: &http::HeaderMap<'_>) -> Self {
        let api_key = headers
            .get_one("authorization")
            .and_then(|value| value.strip_prefix(BEARER));
        let prefer = headers
            .get("prefer")
            .flat_map(|value| value.split([',', ';']));
        let content_type = headers.get_one("content-type");
        Self {
            api_key: api_key.map(|key| key.trim().to_owned()),
            requested_class: headers.get_one("x-traffic-class").and_then(parse_class),
            respond_async: prefer.map(str::trim).any(|item| item == "respond-async"),
            idempotency_key: headers.get_one("idempotency-key").map(str::to_owned),
            time_limit_ms: headers
                .get_one("x-time-limit-ms")
                .and_then(|value| value.parse().ok()),
            content_type: content_type.map(media_type),
            content_length: headers
                .get_one("content-length")
                .and_then(|value| value.parse().ok()),
        }
    }
}

fn parse_class(text: &str) -> Option<class::TrafficClass> {
    class::TrafficClass::ALL
        .into_iter()
        .find(|class| class.name() == text)
}

fn media_type(value: &str) -> String {
    value
        .split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .to_ascii_lowercase()
}

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for CallHead {
    type Error = convert::Infallible;

    async fn from_request(
        request: &'r rocket::Request<'_>,
    ) -> request::Outcome<Self, convert::Infallible> {
        request::Outcome::Success(Self::of(request.headers()))
    }
}
