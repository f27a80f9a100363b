//! Tests of faulty streams: callers that stop reading or disconnect, engines that cut a stream or
//! send invalid data.

use std::time::Duration;

use load::check;
use stand::engine;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net, time,
};

mod env;

const CHAT: &str = "/v1/chat/completions";

/// Timeout of waiting for an expected state.
const WAIT: Duration = Duration::from_secs(40);

fn chat(tokens: u32, mark: u32) -> serde_json::Value {
    let text = format!("a review [[len={tokens}]] [[mark={mark:x}]]");
    let messages = [serde_json::json!({"role": "user", "content": text})];
    serde_json::json!({"model": "review-llm", "messages": messages, "stream": true})
}

fn apply_to_all(env: &env::TestEnv, fault: &engine::EngineFault) {
    env.site
        .engines
        .values()
        .for_each(|engine| engine.apply(fault));
}

async fn wait_until(what: &str, is_so: impl Fn() -> bool) {
    let deadline = time::Instant::now() + WAIT;
    while !is_so() {
        assert!(
            time::Instant::now() < deadline,
            "not reached within {WAIT:?}: {what}"
        );
        time::sleep(Duration::from_millis(20)).await;
    }
}

fn running(env: &env::TestEnv) -> u64 {
    env.daemons[0].state().plane.gate().running()
}

/// Checks the tokens and the end of a stream that was read completely.
fn read_stream(text: &str, mark: u32, tokens: u32) -> Result<(), check::AnswerError> {
    let expected = check::ExpectedAnswer {
        mark,
        token_count: Some(tokens),
    };
    let mut check = check::AnswerCheck::new(expected);
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return check.finish();
        }
        let chunk: serde_json::Value = serde_json::from_str(data).expect("a chunk");
        let index = chunk["pollenchute"]["index"].as_u64();
        if let (Some(index), Some(word)) = (index, chunk["choices"][0]["delta"]["content"].as_str())
        {
            check.check_token(index as u32, word)?;
        }
    }
    let seen = "no [DONE]".to_owned();
    Err(check::AnswerError::Cut { seen })
}

/// Guards against engines that generate answers without a reader. A caller closes its connection
/// after the first token; the relay must detect this and cancel the generation.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_is_cancelled_when_its_caller_disconnects() {
    let env = env::TestEnv::start(1).await;
    let mut response = env.post(0, CHAT, &chat(5_000, 1)).await;
    assert!(response.chunk().await.expect("the stream runs").is_some());
    assert_eq!(env.site.live_generations(), 1);
    drop(response);
    // 5,000 tokens would take more than a minute.
    wait_until("cancelled", || env.site.live_generations() == 0).await;
    wait_until("ended", || running(&env) == 0).await;
}

/// Guards against memory growth of an entry VM with each stalled caller. A caller requests a long
/// answer and never reads it, so its socket buffers fill up. Unread data must be buffered within a
/// size limit and a time limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_is_dropped_and_frees_its_engine() {
    let env = env::TestEnv::start(1).await;
    // 16,000 tokens in a few seconds: many times the size of the socket buffers.
    apply_to_all(&env, &engine::EngineFault::Slow { factor: 0.005 });
    let socket = net::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let mut socket = socket
        .connect(env.daemons[0].callers())
        .await
        .expect("a connection");
    let body = chat(16_000, 2).to_string();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        env::API_KEY,
        body.len()
    );
    socket
        .write_all((head + &body).as_bytes())
        .await
        .expect("the request is sent");
    wait_until("begun", || running(&env) == 1).await;
    wait_until("connection dropped", || running(&env) == 0).await;
    assert_eq!(env.site.live_generations(), 0);
    // Only the data sent before arrives, which is far less than the complete answer.
    let mut rest = Vec::new();
    let reading = socket.read_to_end(&mut rest);
    let _ = time::timeout(Duration::from_secs(2), reading).await;
    let rest = String::from_utf8_lossy(&rest);
    assert!(!rest.contains("[DONE]"), "{} bytes", rest.len());
    let response = env.post(0, CHAT, &chat(5, 3)).await;
    let text = response.text().await.expect("the entry VM serves on");
    assert_eq!(read_stream(&text, 3, 5), Ok(()));
}

/// Guards against answers that stop in the middle although the engine holds the rest. Each
/// connection to an engine breaks after three tokens; a body without a finish event does not end a
/// generation.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_engine_answer_is_continued_to_the_end() {
    let env = env::TestEnv::start(1).await;
    let after_tokens = Some(3);
    apply_to_all(&env, &engine::EngineFault::Truncate { after_tokens });
    let response = env.post(0, CHAT, &chat(20, 4)).await;
    let text = response.text().await.expect("a complete body");
    assert_eq!(read_stream(&text, 4, 20), Ok(()), "{text}");
}

/// Guards against callers that wait forever or receive invalid data. Every engine sends bytes that
/// are not events; this is an engine fault that must be reported to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_data_from_all_engines_is_an_explicit_refusal() {
    let env = env::TestEnv::start(1).await;
    apply_to_all(&env, &engine::EngineFault::Nonsense { on: true });
    let answer = time::timeout(WAIT, async {
        let response = env.post(0, CHAT, &chat(20, 5)).await;
        (
            response.status().as_u16(),
            response.text().await.expect("a complete body"),
        )
    });
    let (status, text) = answer.await.expect("an answer in time");
    assert!(text.contains("\"error\""), "{status}: {text}");
    assert!(!text.contains("nonsense"), "passed on: {text}");
    apply_to_all(&env, &engine::EngineFault::Nonsense { on: false });
    wait_until("all ended", || env.site.live_generations() == 0).await;
}

/// Guards against failed answers due to one faulty engine while eight healthy ones are idle. One
/// engine sends invalid data during many calls; an attempt of which nothing has been sent to the
/// caller may be retried on another engine.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_data_from_one_engine_fails_no_answer() {
    let env = env::TestEnv::start(1).await;
    env.site.engines["engine-3"].apply(&engine::EngineFault::Nonsense { on: true });
    for mark in 0..40 {
        let response = env.post(0, CHAT, &chat(4, mark)).await;
        let text = response.text().await.expect("a complete body");
        assert_eq!(read_stream(&text, mark, 4), Ok(()), "{text}");
    }
}
