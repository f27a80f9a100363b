//! Tests of a request that crashes every model engine that runs it.

mod env;

use std::time::Duration;

use stand::engine::EngineHandle;

fn chat(text: &str) -> serde_json::Value {
    serde_json::json!({
        "model": "review-llm",
        "max_tokens": 40,
        "messages": [{ "role": "user", "content": text }],
    })
}

fn engines_down(env: &env::TestEnv) -> usize {
    let engines = env.site.engines.values();
    engines
        .filter(|engine| !EngineHandle::is_up(engine))
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_takes_down_at_most_two_engines_and_is_quarantined() {
    // Guards against one caller that takes all engines down by repeating a request. The request
    // crashes the engine that runs it, and the caller repeats it through any listed entry VM.
    // Without shared state, each attempt and each entry VM would not know of the earlier crashes.
    let env = env::TestEnv::start(3).await;
    let crashing = chat("review this dossier [[crash]]");
    for entry in [0, 1, 2, 0, 1, 2] {
        let answer = env.post(entry, "/v1/chat/completions", &crashing).await;
        assert!(!answer.status().is_success());
        // The update of one entry VM reaches the others within a second.
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert!(
        engines_down(&env) <= 2,
        "{} engines are down",
        engines_down(&env)
    );
    let answer = env.post(2, "/v1/chat/completions", &crashing).await;
    let body: serde_json::Value = answer.json().await.unwrap();
    assert_eq!(body["error"]["code"], "quarantined", "{body}");
    assert_eq!(body["error"]["ran"], "no");
    let answer = env
        .post(
            1,
            "/v1/chat/completions",
            &chat("an honest dossier [[len=4]]"),
        )
        .await;
    assert_eq!(answer.status().as_u16(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_lists_and_lifts_a_quarantine() {
    let env = env::TestEnv::start(2).await;
    let crashing = chat("dossier 7 [[crash]]");
    for _ in 0..3 {
        env.post(0, "/v1/chat/completions", &crashing).await;
    }
    let listed: serde_json::Value = env.operate(0, "/ops/quarantine").await;
    let fingerprint = listed["entries"][0]["fingerprint"]
        .as_str()
        .unwrap()
        .to_owned();
    let url = format!("http://{}/ops/quarantine/lift", env.daemons[0].callers());
    let request = serde_json::json!({ "fingerprint": fingerprint });
    let lift = env
        .client
        .post(url)
        .bearer_auth(env::OPERATOR_KEY)
        .json(&request);
    let lifted: serde_json::Value = lift.send().await.unwrap().json().await.unwrap();
    assert_eq!(lifted["lifted"], true);
    let listed: serde_json::Value = env.operate(0, "/ops/quarantine").await;
    assert_eq!(listed["entries"].as_array().unwrap().len(), 0, "{listed}");
}
