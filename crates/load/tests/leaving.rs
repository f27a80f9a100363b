//! Tests of backend servers and entry VMs that leave.

mod env;

use std::time::Duration;

use stand::{engine::EngineFault, vms::VmState};

fn chat(tokens: u32) -> serde_json::Value {
    serde_json::json!({
        "model": "review-llm",
        "stream": true,
        "max_tokens": 4000,
        "messages": [{ "role": "user", "content": format!("review this dossier [[len={tokens}]]") }],
    })
}

/// Time within which all entry VMs must know that a server is leaving; new work is a failure after
/// it. The tests of crate `gossip` check a tighter bound in virtual time. The bound is loose here
/// because the real clock of a busy machine must not decide the result.
const LEAVING_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work_from_any_entry() {
    // Guards against work sent to an engine that is being reclaimed, which would be cut off. The
    // engine reports that it is leaving to its watchers; all entry VMs keep receiving requests, and
    // most of them do not watch that engine, so the watchers must share the state.
    let env = env::TestEnv::start(3).await;
    let leaving = env.site.engines.values().next().unwrap().clone();
    leaving.apply(&EngineFault::Reclaim { notice_ms: 60_000 });
    tokio::time::sleep(LEAVING_PROPAGATION_TIMEOUT).await;
    let before = leaving.starts_while_leaving();
    for round in 0..30 {
        let answer = env.post(round % 3, "/v1/chat/completions", &chat(3)).await;
        assert_eq!(answer.status().as_u16(), 200);
        answer.text().await.unwrap();
    }
    assert_eq!(leaving.starts_while_leaving(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_listed_as_leaving_gets_no_new_work() {
    // Guards against calls sent to a plain service server just before it is removed. Only the
    // platform's VM list reports that it is leaving, and this source must be respected.
    let env = env::TestEnv::start(2).await;
    let (name, server) = env.site.services.iter().next().unwrap();
    env.site.vms.set(name, Some(VmState::Leaving));
    tokio::time::sleep(Duration::from_secs(8)).await;
    let before = server.counts().by_request.len();
    for round in 0..12 {
        let request = env.request(round % 2, "/v1/services/pass-app/queue/status");
        assert_eq!(
            request
                .body("gate 4")
                .send()
                .await
                .unwrap()
                .status()
                .as_u16(),
            200
        );
    }
    assert_eq!(server.counts().by_request.len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_cuts_off_no_stream() {
    // Guards against streams that end without [DONE] when an entry VM is replaced. The entry VM
    // receives a stop request during a stream; its process must not exit before the relayed streams
    // have ended.
    let mut env = env::TestEnv::start(2).await;
    let answer = env.post(0, "/v1/chat/completions", &chat(120)).await;
    assert_eq!(answer.status().as_u16(), 200);
    let reader = tokio::spawn(async move { answer.text().await.unwrap() });
    tokio::time::sleep(Duration::from_millis(200)).await;
    env.stop(0).await;
    let text = reader.await.unwrap();
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text:.400}");
    assert!(text.contains("\"index\":119"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_killed_entry_is_continued_by_another() {
    // Guards against losing a generation when its entry VM crashes. The entry VM is killed during a
    // stream, and the caller continues it at another one, so the state needed for that must not be
    // on the crashed VM alone.
    let mut env = env::TestEnv::start(2).await;
    let mut answer = env.post(0, "/v1/chat/completions", &chat(150)).await;
    let token = answer.headers()["x-generation-token"]
        .to_str()
        .unwrap()
        .to_owned();
    let mut seen = String::new();
    while !seen.contains("\"index\":20") {
        let chunk = answer.chunk().await.unwrap().unwrap();
        seen.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    env.kill(0);
    drop(answer);
    let rest = env
        .get(0, &format!("/v1/generations/{token}?from=21"))
        .await;
    assert_eq!(
        rest.status().as_u16(),
        200,
        "{}",
        rest.text().await.unwrap()
    );
    let text = rest.text().await.unwrap();
    assert!(
        text.contains("\"index\":21") && !text.contains("\"index\":20,"),
        "{text:.300}"
    );
    assert!(text.trim_end().ends_with("data: [DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_is_not_listed_but_serves_during_its_notice() {
    // Guards against refusals by an entry VM that was listed a moment ago. After a stop request, a
    // caller with a cached address sends a request and another fetches the entry list. The VM must
    // not refuse requests before the other VMs have removed it from their lists.
    let mut env = env::TestEnv::start_with_notice(2, Duration::from_secs(3)).await;
    let address = env.daemons[0].callers();
    let listed = env.get(1, "/v1/entries").await.text().await.unwrap();
    assert!(listed.contains(&address.to_string()), "{listed}");
    let stopping = env.begin_stop(0);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let url = format!("http://{address}/v1/chat/completions");
    let request = env
        .client
        .post(url)
        .bearer_auth(env::API_KEY)
        .json(&chat(3));
    assert_eq!(request.send().await.unwrap().status().as_u16(), 200);
    let listed = env.get(0, "/v1/entries").await.text().await.unwrap();
    assert!(!listed.contains(&address.to_string()), "{listed}");
    stopping.await.unwrap();
}
