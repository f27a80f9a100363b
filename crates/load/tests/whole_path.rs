//! End-to-end tests of requests through caller, entry daemon, model engine, plain service and log,
//! over real sockets.

mod env;

use std::time::Duration;

/// HTTP status of a call whose idempotency key is in use by an unfinished call.
const IN_PROGRESS: u16 = 409;

/// Body of a chat completion; the stand-in engine reads the answer length from the prompt.
fn chat(stream: bool, tokens: u32) -> serde_json::Value {
    serde_json::json!({
        "model": "review-llm",
        "stream": stream,
        "max_tokens": 200,
        "messages": [{ "role": "user", "content": format!("check this pass [[len={tokens}]]") }],
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_returns_a_complete_answer() {
    let env = env::TestEnv::start(1).await;
    let answer = env.post(0, "/v1/chat/completions", &chat(false, 12)).await;
    assert_eq!(answer.status().as_u16(), 200);
    assert!(answer.headers().contains_key("x-request-id"));
    let body: serde_json::Value = answer.json().await.unwrap();
    assert_eq!(body["usage"]["completion_tokens"], 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_ends_with_done() {
    let env = env::TestEnv::start(1).await;
    let answer = env.post(0, "/v1/chat/completions", &chat(true, 9)).await;
    assert_eq!(answer.status().as_u16(), 200);
    assert!(answer.headers().contains_key("x-generation-token"));
    let text = answer.text().await.unwrap();
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
    assert!(text.contains("\"index\":8"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_work_is_fetched_from_another_entry() {
    let env = env::TestEnv::start(2).await;
    let client = env
        .request(0, "/v1/chat/completions")
        .header("prefer", "respond-async");
    let accepted = client.json(&chat(false, 5)).send().await.unwrap();
    assert_eq!(
        accepted.status().as_u16(),
        202,
        "{}",
        accepted.text().await.unwrap()
    );
    let location = accepted.headers()["location"].to_str().unwrap().to_owned();
    for _ in 0..100 {
        let answer = env.get(1, &location).await;
        if answer.status().as_u16() == 200 {
            let body: serde_json::Value = answer.json().await.unwrap();
            assert_eq!(body["usage"]["completion_tokens"], 5);
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("accepted work was never finished");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_charge_with_a_key_runs_once() {
    let env = env::TestEnv::start(2).await;
    let key = env::fresh_key("family-7");
    for entry in [0, 1] {
        let mut status = IN_PROGRESS;
        while status == IN_PROGRESS {
            // A repetition that arrives before the outcome is on the log gets a retryable refusal.
            let request = env.request(entry, "/v1/services/pass-app/charges/day-pass");
            let call = request.header("idempotency-key", &key).body("family 7");
            status = call.send().await.unwrap().status().as_u16();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(status, 200, "entry {entry}");
    }
    assert_eq!(env.site.runs_by_key()[&key], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_charge_without_a_key_is_refused_as_not_run() {
    let env = env::TestEnv::start(1).await;
    let request = env.request(0, "/v1/services/pass-app/charges/day-pass");
    let answer = request.body("family 8").send().await.unwrap();
    assert_eq!(answer.status().as_u16(), 400);
    let body: serde_json::Value = answer.json().await.unwrap();
    assert_eq!(body["error"]["code"], "idempotency_key_required");
    assert_eq!(body["error"]["ran"], "no");
}

#[tokio::test(flavor = "multi_thread")]
async fn models_and_entries_are_listed() {
    let env = env::TestEnv::start(2).await;
    let models: serde_json::Value = env.get(0, "/v1/models").await.json().await.unwrap();
    assert!(
        models["data"]
            .as_array()
            .unwrap()
            .iter()
            .any(|model| model["id"] == "review-llm")
    );
    let entries: serde_json::Value = env.get(0, "/v1/entries").await.json().await.unwrap();
    assert!(!entries["entries"].as_array().unwrap().is_empty());
}
