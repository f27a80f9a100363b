//! Tests of invalid requests through real sockets: each gets a clear error, and the entry VM keeps
//! serving.

use std::{net, panic, sync::atomic, time::Duration};

use base::{outcome, refusal};
use load::{env as load_env, site};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as sockets, time,
};

mod env;

const CHAT: &str = "/v1/chat/completions";

/// Timeout of waiting for an expected state.
const WAIT: Duration = Duration::from_secs(20);

/// Number of panics in runtime threads; a failing test panics in its own thread, which does not
/// count.
static PANICS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

fn count_panics() {
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let thread = std::thread::current();
        if thread.name().is_none_or(|name| name.starts_with("tokio")) {
            PANICS.fetch_add(1, atomic::Ordering::SeqCst);
        }
        before(info);
    }));
}

fn chat(model: &str, text: &str) -> serde_json::Value {
    serde_json::json!({"model": model, "messages": [{"role": "user", "content": text}]})
}

/// Returns the status and the refusal of a response, which must contain one.
async fn refusal_of(response: reqwest::Response) -> (u16, refusal::RefusalBody) {
    let status = response.status().as_u16();
    let text = response.text().await.expect("a complete body");
    let envelope: refusal::RefusalEnvelope =
        serde_json::from_str(&text).unwrap_or_else(|error| panic!("{error}: {text}"));
    (status, envelope.error)
}

/// Asserts that the refusal names the error and the remedy and states that nothing ran.
async fn expect_refusal(response: reqwest::Response, code: refusal::RefusalCode, hint: &str) {
    let (status, body) = refusal_of(response).await;
    assert_eq!(
        (status, body.code),
        (code.status(), code),
        "{}",
        body.message
    );
    assert_eq!(body.ran, outcome::RanState::No);
    assert!(
        body.message.contains(hint),
        "{hint:?} is not in {:?}",
        body.message
    );
}

/// Asserts that the entry VM still answers, nothing is left running, and no code panicked.
async fn expect_health(env: &env::TestEnv) {
    let response = env
        .post(0, CHAT, &chat("review-llm", "all well? [[len=3]]"))
        .await;
    assert_eq!(response.status(), 200);
    let deadline = time::Instant::now() + WAIT;
    while env.site.live_generations() > 0 || env.daemons[0].state().plane.gate().running() > 0 {
        assert!(time::Instant::now() < deadline, "something is left running");
        time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(
        PANICS.load(atomic::Ordering::SeqCst),
        0,
        "some code panicked"
    );
}

/// Timeout of waiting for a response to bytes that may get none.
const RAW_WAIT: Duration = Duration::from_secs(2);

/// Sends `bytes` over a new connection and reads until the peer closes it or the timeout expires.
async fn raw_exchange(address: net::SocketAddr, bytes: &[u8]) -> String {
    let mut socket = sockets::TcpStream::connect(address)
        .await
        .expect("a connection");
    // The peer may refuse the request before it has read all bytes.
    let _ = socket.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = time::timeout(RAW_WAIT, socket.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_requests_are_refused_with_the_remedy() {
    use refusal::RefusalCode as Code;

    count_panics();
    let env = env::TestEnv::start(1).await;
    let large = chat("review-llm", &"x".repeat(2 << 20));
    expect_refusal(env.post(0, CHAT, &large).await, Code::TooLarge, "send less").await;
    let json = |body: &'static str| {
        let request = env
            .request(0, CHAT)
            .header("content-type", "application/json");
        request.body(body).send()
    };
    let response = json("{\"model\": ").await.expect("an answer");
    expect_refusal(response, Code::BadRequest, "line 1").await;
    let response = json("{\"model\": \"review-llm\", \"messages\": 7}")
        .await
        .expect("an answer");
    expect_refusal(response, Code::BadRequest, "expected a sequence").await;
    let response = json("\u{0}\u{1}").await.expect("an answer");
    expect_refusal(response, Code::BadRequest, "correct it").await;
    let plain = env.request(0, CHAT).header("content-type", "text/plain");
    let response = plain.body("hello").send().await.expect("an answer");
    expect_refusal(response, Code::BadRequest, "application/json").await;
    let response = env.post(0, CHAT, &chat("no-such-model", "x")).await;
    expect_refusal(response, Code::NotFound, "no-such-model").await;
    let response = env
        .post(0, "/v1/services/no-such-service/x", &chat("x", "x"))
        .await;
    expect_refusal(response, Code::NotFound, "no-such-service").await;
    let url = format!("http://{}{CHAT}", env.daemons[0].callers());
    let response = env
        .client
        .post(&url)
        .json(&chat("review-llm", "x"))
        .send()
        .await;
    expect_refusal(
        response.expect("an answer"),
        Code::Unauthenticated,
        "Authorization",
    )
    .await;
    let request = env
        .client
        .post(&url)
        .bearer_auth("stolen")
        .json(&chat("review-llm", "x"));
    let response = request.send().await.expect("an answer");
    expect_refusal(response, Code::Unauthenticated, "key").await;
    assert_eq!(env.site.live_generations(), 0);
    expect_health(&env).await;
}

/// Guards against callers that give up permanently because their key is reported as unknown. An
/// entry VM that has just started has no configuration and knows no keys, which proves nothing
/// about the key.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_a_configuration_is_not_ready() {
    count_panics();
    let configuration = site::PASS_WORKS
        .configuration()
        .expect("the example is valid");
    let site = site::StandSite::start(configuration)
        .await
        .expect("stand-ins start");
    let bounds = entry::settings::BoundSettings::default();
    let settings = load_env::daemon_settings(&site, "entry-1", &bounds);
    let running = entry::daemon::start(settings)
        .await
        .expect("the daemon starts");
    let client = reqwest::Client::new();
    let url = format!("http://{}{CHAT}", running.callers());
    let request = client
        .post(url)
        .bearer_auth(env::API_KEY)
        .json(&chat("review-llm", "x"));
    let response = request.send().await.expect("an answer");
    expect_refusal(response, refusal::RefusalCode::NotReady, "come back").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_an_invalid_idempotency_key_does_not_run() {
    count_panics();
    let env = env::TestEnv::start(1).await;
    for key in ["", "no-time", "99999999999999999999-x", "-5-x"] {
        let request = env.request(0, "/v1/services/pass-app/charges/day");
        let response = request
            .header("idempotency-key", key)
            .body("x")
            .send()
            .await;
        let (status, body) = refusal_of(response.expect("an answer")).await;
        assert!(
            (400..500).contains(&status),
            "{key:?}: {status} {}",
            body.message
        );
        assert_eq!(body.ran, outcome::RanState::No, "{key:?}");
    }
    // The key is older than the retention: the call may have run before, and does not run now.
    let request = env.request(0, "/v1/services/pass-app/charges/day");
    let response = request
        .header("idempotency-key", "1-old")
        .body("x")
        .send()
        .await;
    let (_, body) = refusal_of(response.expect("an answer")).await;
    assert_eq!(body.code, refusal::RefusalCode::IdempotencyKeyExpired);
    assert_eq!(body.ran, outcome::RanState::Unknown);
    assert!(env.site.runs_by_key().is_empty());
    expect_health(&env).await;
}

/// Guards against unbounded headers of one caller that exhaust the memory of an entry VM. Headers
/// are buffered until they are complete, so their size must be limited. Sends many headers, then
/// one long header, then an endless request line.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_headers_are_refused_without_affecting_others() {
    count_panics();
    let env = env::TestEnv::start(1).await;
    let address = env.daemons[0].callers();
    let start = "GET /v1/models HTTP/1.1\r\nhost: x\r\n";
    let many: String = (0..5_000)
        .map(|number| format!("x-{number}: y\r\n"))
        .collect();
    let long = format!("x-long: {}\r\n", "y".repeat(4 << 20));
    let endless = format!("GET /{}", "y".repeat(4 << 20));
    for flood in [
        format!("{start}{many}\r\n"),
        format!("{start}{long}\r\n"),
        endless,
    ] {
        let answer = raw_exchange(address, flood.as_bytes()).await;
        let status = answer.split_whitespace().nth(1).unwrap_or("closed");
        let is_refused = ["400", "413", "414", "431", "closed"].contains(&status);
        assert!(is_refused, "answered {answer:.200}");
    }
    expect_health(&env).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_is_not_http_is_closed() {
    count_panics();
    let env = env::TestEnv::start(1).await;
    let address = env.daemons[0].callers();
    for bytes in [
        &b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"[..],
        b"\r\n\r\n\r\n",
        b"HELO x\r\n\r\n",
    ] {
        raw_exchange(address, bytes).await;
    }
    expect_health(&env).await;
}
