//! HTTP interfaces of the stand-ins.

use std::{net, sync::atomic};

use base::id;
use stand::{engine, log, service, vms, weights};
use tokio::time;

const ANY: net::SocketAddr = net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

fn quick_profile() -> engine::EngineProfile {
    engine::EngineProfile {
        step_base_us: 200,
        step_sequence_us: 0,
        prefill_token_us: 1,
        ..engine::EngineProfile::default()
    }
}

fn start_body(id: u128, prompt: &str) -> serde_json::Value {
    serde_json::json!({
        "id": id::GenerationId(id), "model": "review-llm", "prompt": prompt,
        "max_tokens": 1000, "priority": 1
    })
}

/// Parses the events of a complete stream as JSON.
fn events(text: &str) -> Vec<serde_json::Value> {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(|data| serde_json::from_str(data).expect("an event is JSON"))
        .collect()
}

#[tokio::test]
async fn an_engine_streams_and_resumes_over_http() {
    let handle = engine::EngineHandle::spawn(quick_profile());
    let server = engine::serve(handle, ANY).await.expect("listens");
    let url = format!("http://{}/v1/generations", server.address());
    let client = reqwest::Client::new();
    let body = start_body(7, "one two [[len=20]]");
    let answer = client.post(&url).json(&body).send().await.expect("answers");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["content-type"], "text/event-stream");
    let complete = events(&answer.text().await.expect("complete"));
    assert_eq!(complete.len(), 21);
    assert_eq!(complete[20]["finish"], "stop");
    assert_eq!(complete[20]["produced"], 20);
    assert_eq!(complete[20]["prompt_tokens"], 3);

    let resume = format!("{url}/{}?from=5", id::GenerationId(7));
    let answer = client.get(&resume).send().await.expect("answers");
    let rest = events(&answer.text().await.expect("complete"));
    assert_eq!(rest, complete[5..]);

    let again = client.post(&url).json(&body).send().await.expect("answers");
    assert_eq!(again.status(), 409);
    let cancel = format!("{url}/{}", id::GenerationId(9));
    let cancel = client.delete(&cancel).send().await.expect("answers");
    assert_eq!(cancel.status(), 404);
    let late = client
        .post(&url)
        .json(&start_body(9, "late"))
        .send()
        .await
        .expect("answers");
    assert_eq!(late.status(), 409);
    server.stop().await;
}

#[tokio::test]
async fn a_crash_cuts_streams_and_refuses_connections_until_the_restart() {
    // Guards against an HTTP server that keeps answering for a crashed engine: its streams must end
    // without `finish` and connections be refused until the engine restarts on the same port.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let server = engine::serve(handle.clone(), ANY).await.expect("listens");
    let url = format!("http://{}", server.address());
    let client = reqwest::Client::builder()
        .pool_max_idle_per_host(0)
        .build()
        .expect("builds");
    let body = start_body(1, "long [[len=900]]");
    let start = client.post(format!("{url}/v1/generations")).json(&body);
    let mut answer = start.send().await.expect("answers");
    let first = answer.chunk().await.expect("a token").expect("a token");
    assert!(first.starts_with(b"data: {\"seq\":0,"));
    let state: serde_json::Value = client
        .get(format!("{url}/v1/state"))
        .send()
        .await
        .expect("up")
        .json()
        .await
        .expect("JSON");
    handle.crash();
    let mut rest = Vec::new();
    while let Ok(Some(chunk)) = answer.chunk().await {
        rest.extend_from_slice(&chunk);
    }
    assert!(!String::from_utf8_lossy(&rest).contains("finish"));
    let refused = loop {
        match client.get(format!("{url}/v1/load")).send().await {
            Ok(_) => tokio::task::yield_now().await,
            Err(cause) => break cause,
        }
    };
    assert!(refused.is_connect() || refused.is_request());
    handle.restart();
    let again: serde_json::Value = loop {
        match client.get(format!("{url}/v1/state")).send().await {
            Ok(answer) => break answer.json().await.expect("JSON"),
            Err(_) => tokio::task::yield_now().await,
        }
    };
    assert_ne!(state["incarnation"], again["incarnation"]);
}

#[tokio::test]
async fn the_log_appends_and_reads_over_http() {
    let handle = log::LogHandle::new(log::LogProfile::default());
    let server = log::serve(handle.clone(), ANY).await.expect("listens");
    let url = format!("http://{}/v1/streams/leases/records", server.address());
    let client = reqwest::Client::new();
    for offset in 0..3_u64 {
        let answer = client
            .post(&url)
            .body(format!("record {offset}"))
            .send()
            .await
            .expect("answers");
        let answer: serde_json::Value = answer.json().await.expect("JSON");
        assert_eq!(answer["offset"], offset);
    }
    let page = client
        .get(format!("{url}?from=1&max=9&wait_ms=0"))
        .send()
        .await
        .expect("answers");
    let page: serde_json::Value = page.json().await.expect("JSON");
    assert_eq!(page["first"], 0);
    assert_eq!(page["next"], 3);
    assert_eq!(page["records"][0]["body"], "cmVjb3JkIDE=");

    handle.apply(&log::LogFault::LoseAnswers { count: 1 });
    let lost = client.post(&url).body("lost").send().await;
    let is_answered = match lost {
        Ok(answer) => answer.bytes().await.is_ok(),
        Err(_) => false,
    };
    assert!(!is_answered, "the answer arrived");
    assert_eq!(handle.records("leases").len(), 4);

    handle.apply(&log::LogFault::DropBelow {
        stream: String::from("leases"),
        first: 2,
    });
    let dropped = client
        .get(format!("{url}?from=1"))
        .send()
        .await
        .expect("answers");
    assert_eq!(dropped.status(), 410);
    let dropped: serde_json::Value = dropped.json().await.expect("JSON");
    assert_eq!(dropped["first"], 2);
}

#[tokio::test]
async fn the_plain_service_counts_what_ran_over_http() {
    let handle = service::ServiceHandle::new(service::ServiceProfile::default());
    let server = service::serve(handle.clone(), ANY).await.expect("listens");
    let url = format!("http://{}/pass/charge?gate=4", server.address());
    let client = reqwest::Client::new();
    let call = client
        .post(&url)
        .header("Idempotency-Key", "1-a")
        .header("X-Request-Id", "r1");
    let answer: serde_json::Value = call
        .body("fare")
        .send()
        .await
        .expect("answers")
        .json()
        .await
        .expect("JSON");
    assert_eq!(answer["path"], "/pass/charge?gate=4");
    assert_eq!(answer["request_id"], "r1");
    assert_eq!(handle.counts().by_key["1-a"], 1);
    let health = format!("http://{}/healthz", server.address());
    let health: serde_json::Value = client
        .get(&health)
        .send()
        .await
        .expect("answers")
        .json()
        .await
        .expect("JSON");
    assert_eq!(health["leaving"], false);
}

#[tokio::test]
async fn the_weight_store_and_the_vm_list_answer_over_http() {
    let profile = weights::WeightsProfile {
        bytes_per_second: 1.0,
        burst_bytes: 100.0,
    };
    let store = weights::serve(weights::WeightsHandle::new(profile), ANY)
        .await
        .expect("listens");
    let url = format!(
        "http://{}/v1/weights/review-llm/2?bytes=90",
        store.address()
    );
    assert_eq!(reqwest::get(&url).await.expect("answers").status(), 200);
    let refused = reqwest::get(&url).await.expect("answers");
    assert_eq!(refused.status(), 429);
    let refused: serde_json::Value = refused.json().await.expect("JSON");
    assert!(refused["retry_after_ms"].as_u64().expect("a number") > 70_000);

    let profile = vms::VmsProfile {
        lag_ms: 0,
        live: vec![String::from("entry-0")],
    };
    let handle = vms::VmsHandle::new(&profile);
    let server = vms::serve(handle.clone(), ANY).await.expect("listens");
    handle.set("entry-1", Some(vms::VmState::Leaving));
    let url = format!("http://{}/v1/vms", server.address());
    let list: serde_json::Value = reqwest::get(&url)
        .await
        .expect("answers")
        .json()
        .await
        .expect("JSON");
    assert_eq!(
        list["vms"][1],
        serde_json::json!({"name": "entry-1", "state": "leaving"})
    );
}

#[tokio::test]
async fn an_old_connection_is_silent_for_good_and_a_new_one_works_over_http() {
    // Covers a keep-alive connection that no longer gets answers while a new one does: a middlebox
    // dropped the old connection without notifying either end.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let server = engine::serve(handle.clone(), ANY).await.expect("listens");
    let url = format!("http://{}/v1/load", server.address());
    let limit = time::Duration::from_millis(300);
    let old = reqwest::Client::new();
    let first = old.get(&url).send().await.expect("answers");
    first.bytes().await.expect("complete");
    handle.apply(&engine::EngineFault::Silence);
    let silent = old.get(&url).timeout(limit).send().await;
    assert!(silent.expect_err("is silent").is_timeout());
    let fresh = reqwest::Client::new()
        .get(&url)
        .send()
        .await
        .expect("answers");
    assert_eq!(fresh.status(), 200);
    handle.apply(&engine::EngineFault::Hang { on: true });
    let hanging = reqwest::Client::new().get(&url).timeout(limit).send().await;
    assert!(hanging.expect_err("hangs").is_timeout());
    // Admin calls still pass, because otherwise the fault could not be cleared.
    let admin = format!("http://{}/admin/faults", server.address());
    let body = serde_json::json!({"fault": "hang", "on": false});
    let ended = old.post(&admin).json(&body).send().await.expect("answers");
    assert_eq!(ended.status(), 200);
    let fresh = reqwest::Client::new()
        .get(&url)
        .send()
        .await
        .expect("answers");
    assert_eq!(fresh.status(), 200);
}

#[tokio::test]
async fn bad_requests_get_a_typed_error() {
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let server = engine::serve(handle, ANY).await.expect("listens");
    let url = format!("http://{}/v1/generations", server.address());
    let client = reqwest::Client::new();
    let too_large = client.post(&url).body(vec![b' '; 5 << 20]).send().await;
    let mut cases = vec![
        (client.post(&url).body("{").send().await, 400, "bad_request"),
        (
            client.get(format!("{url}/12")).send().await,
            400,
            "bad_request",
        ),
        (
            client
                .get(format!("{url}/{}", id::GenerationId(5)))
                .send()
                .await,
            404,
            "not_held",
        ),
        (
            client
                .get(format!("http://{}/x", server.address()))
                .send()
                .await,
            404,
            "not_served",
        ),
    ];
    // A server may close the connection on a body that is too large before its answer is read.
    if too_large.is_ok() {
        cases.push((too_large, 413, "too_large"));
    }
    for (answer, status, code) in cases {
        let answer = answer.expect("answers");
        assert_eq!(answer.status(), status);
        let body: serde_json::Value = answer.json().await.expect("JSON");
        assert_eq!(body["error"]["code"], code);
    }
}

/// Id of the next generation, so that none is known to its engine.
static NEXT_ID: atomic::AtomicU64 = atomic::AtomicU64::new(1_000);

/// Answers of a plain service server and of an engine to a call, each with this header.
async fn header_of(
    service: &service::ServiceHandle,
    engine: &engine::EngineHandle,
    name: &str,
) -> [(u16, Option<String>); 2] {
    let client = reqwest::Client::new();
    let servers = [
        service::serve(service.clone(), ANY).await.expect("listens"),
        engine::serve(engine.clone(), ANY).await.expect("listens"),
    ];
    let mut read = [(0, None), (0, None)];
    for (index, path) in ["call", "v1/generations"].into_iter().enumerate() {
        let url = format!("http://{}/{path}", servers[index].address());
        let body = start_body(
            NEXT_ID.fetch_add(1, atomic::Ordering::Relaxed).into(),
            "one [[len=1]]",
        );
        let answer = client.post(&url).json(&body).send().await.expect("answers");
        let value = answer.headers().get(name);
        let value = value.map(|value| value.to_str().expect("text").to_owned());
        read[index] = (answer.status().as_u16(), value);
    }
    read
}

#[tokio::test]
async fn a_stated_limit_is_in_each_answer() {
    let service = service::ServiceHandle::new(service::ServiceProfile::default());
    let engine = engine::EngineHandle::spawn(quick_profile());
    for per_second in [Some(2.5), None] {
        service.apply(&service::ServiceFault::Limit { per_second });
        engine.apply(&engine::EngineFault::Limit { per_second });
        let read = header_of(&service, &engine, "server-limit").await;
        let expected = per_second.map(|limit| limit.to_string());
        assert_eq!(read, [(200, expected.clone()), (200, expected)]);
    }
}

#[tokio::test]
async fn a_stand_in_that_leaves_says_so_in_each_answer_until_its_restart() {
    let service = service::ServiceHandle::new(service::ServiceProfile::default());
    let engine = engine::EngineHandle::spawn(quick_profile());
    service.apply(&service::ServiceFault::Leaving { on: true });
    engine.apply(&engine::EngineFault::Reclaim { notice_ms: 60_000 });
    let read = header_of(&service, &engine, "server-leaving").await;
    let said = Some(String::from("1"));
    assert_eq!(read, [(200, said.clone()), (200, said)]);
    service.crash();
    service.restart();
    engine.crash();
    engine.restart();
    let read = header_of(&service, &engine, "server-leaving").await;
    assert_eq!(read, [(200, None), (200, None)]);
}

#[tokio::test]
async fn a_request_that_is_turned_away_is_asked_for_rest_and_does_not_run() {
    let service = service::ServiceHandle::new(service::ServiceProfile::default());
    let engine = engine::EngineHandle::spawn(quick_profile());
    let (count, rest_ms) = (1, 1_500);
    service.apply(&service::ServiceFault::TurnAway { count, rest_ms });
    engine.apply(&engine::EngineFault::TurnAway { count, rest_ms });
    let read = header_of(&service, &engine, "retry-after").await;
    let asked = Some(String::from("1.5"));
    assert_eq!(read, [(503, asked.clone()), (503, asked)]);
    assert_eq!(service.counts().total, 0);
    let read = header_of(&service, &engine, "retry-after").await;
    assert_eq!(read, [(200, None), (200, None)]);
    assert_eq!(service.counts().total, 1);
}
