//! Tests of the HTTP links against stand-in servers over loopback sockets.

use std::net;

use base::id;
use bytes::Bytes;
use flow::{
    http, link_error,
    port::{self, EngineEvents as _, EngineLink as _, ServiceLink as _},
    proof,
};
use stand::{engine, service};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    time,
};

fn target(address: net::SocketAddr) -> port::ServerTarget {
    port::ServerTarget {
        key: id::ServerKey::default(),
        name: "stand".to_owned(),
        address,
    }
}

fn start_request(number: u128, prompt: &str) -> port::StartRequest {
    port::StartRequest {
        id: id::GenerationId(number),
        model: "review-llm".to_owned(),
        adapter: None,
        prompt: prompt.to_owned(),
        max_tokens: 50,
        priority: 1,
        seed: None,
    }
}

fn permit() -> proof::SendPermit {
    proof::StartPermit::for_tests().send::<proof::CallKind>().0
}

/// An address on which nothing listens.
async fn unused_address() -> net::SocketAddr {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = tokio::net::TcpListener::bind(any).await.unwrap();
    listener.local_addr().unwrap()
}

/// Reads a stream to its finish and returns the token numbers and the report.
async fn read(mut events: http::HttpEvents) -> (Vec<u32>, port::FinishReport) {
    let mut numbers = Vec::new();
    loop {
        match events.next().await.unwrap().event {
            port::EngineEvent::Token { seq, .. } => numbers.push(seq),
            port::EngineEvent::Ping => {}
            port::EngineEvent::Finish(report) => return (numbers, report),
        }
    }
}

/// Starts a server that sends these bytes on each connection and closes it, with a reset if
/// `resets`.
async fn start_raw(bytes: Vec<u8>, resets: bool) -> net::SocketAddr {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = tokio::net::TcpListener::bind(any).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&bytes).await;
            if resets {
                time::sleep(time::Duration::from_millis(5)).await;
                let no_linger = Some(time::Duration::ZERO);
                let _ = socket2::SockRef::from(&stream).set_linger(no_linger);
            }
        }
    });
    address
}

// Guards against a generation taken for finished because its stream, which has neither a length nor
// chunks, ended with its connection.
#[tokio::test]
async fn a_stream_without_length_ends_only_with_its_finish_event() {
    let events =
        "data: {\"seq\":0,\"text\":\"x\"}\n\ndata: {\"finish\":\"stop\",\"produced\":1}\n\n";
    let whole = format!("HTTP/1.1 200 OK\r\n\r\n{events}");
    let finished_at = whole.len() - 1;
    let engines = http::HttpEngines::new().unwrap();
    for length in 0..=whole.len() {
        for resets in [false, true] {
            let address = start_raw(whole.as_bytes()[..length].to_vec(), resets).await;
            let started = engines
                .start(&target(address), &start_request(1, "x"), permit())
                .await;
            let mut finished = false;
            if let Ok(mut stream) = started {
                while let Ok(tagged) = stream.next().await {
                    finished |= matches!(tagged.event, port::EngineEvent::Finish(_));
                }
            }
            let expected = length >= finished_at;
            assert_eq!(finished, expected, "{length} bytes, reset: {resets}");
        }
    }
}

// Guards against a status that is none, or not that of a final answer, which counts as a refusal of a
// generation or as the answer to a call.
#[tokio::test]
async fn an_answer_without_a_final_status_proves_nothing() {
    let engines = http::HttpEngines::new().unwrap();
    let services = http::HttpServices::new().unwrap();
    for status in ["000", "001", "099", "101", "600", "999", "20", "2xx"] {
        let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}");
        let address = start_raw(answer.into_bytes(), false).await;
        let started = engines
            .start(&target(address), &start_request(1, "x"), permit())
            .await;
        let is_lost = matches!(started, Err(link_error::StartError::Lost { .. }));
        assert!(is_lost, "{status}");
        let limit = time::Duration::from_secs(2);
        let answer = services
            .call(&target(address), &service_call(), limit, permit())
            .await;
        let is_lost = matches!(answer, Err(link_error::CallError::Lost { .. }));
        assert!(is_lost, "{status}: {answer:?}");
    }
}

fn service_call() -> port::ServiceCall {
    port::ServiceCall {
        request: id::RequestId(9),
        method: "POST".to_owned(),
        path: "/charge".to_owned(),
        key: None,
        content_type: None,
        body: Bytes::new(),
    }
}

// Guards against a call's answer taken for whole that ended in its head or by a reset.
#[tokio::test]
async fn only_the_close_of_a_connection_ends_an_answer_without_length() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let whole = format!("{head}done");
    let services = http::HttpServices::new().unwrap();
    for length in 0..=whole.len() {
        for resets in [false, true] {
            let address = start_raw(whole.as_bytes()[..length].to_vec(), resets).await;
            let call = service_call();
            let limit = time::Duration::from_secs(2);
            let answer = services
                .call(&target(address), &call, limit, permit())
                .await;
            let expected = !resets && length >= head.len();
            assert_eq!(answer.is_ok(), expected, "{length} bytes, reset: {resets}");
        }
    }
}

#[tokio::test]
async fn a_generation_is_started_resumed_and_cancelled() {
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let server = engine::serve(handle, any).await.unwrap();
    let target = target(server.address());
    let engines = http::HttpEngines::new().unwrap();
    let events = engines
        .start(&target, &start_request(1, "[[len=6]]"), permit())
        .await
        .unwrap();
    let (numbers, report) = read(events).await;
    assert_eq!(numbers, [0, 1, 2, 3, 4, 5]);
    assert_eq!(
        (report.finish, report.produced),
        (port::FinishReason::Stop, 6)
    );
    let events = engines
        .resume(&target, id::GenerationId(1), 4)
        .await
        .unwrap();
    assert_eq!(read(events).await.0, [4, 5]);
    let unknown = engines.resume(&target, id::GenerationId(2), 0).await;
    assert!(matches!(
        unknown,
        Err(link_error::ResumeError::NotHeld { .. })
    ));
    let answer = engines.cancel(&target, id::GenerationId(1)).await.unwrap();
    assert!(matches!(
        answer,
        port::CancelAnswer::Known {
            ran: true,
            produced: 6
        }
    ));
    let answer = engines.cancel(&target, id::GenerationId(2)).await.unwrap();
    assert_eq!(answer, port::CancelAnswer::Remembered);
    let late = engines
        .start(&target, &start_request(2, "[[len=6]]"), permit())
        .await;
    assert!(matches!(
        late,
        Err(link_error::StartError::Declined { status: 409, .. })
    ));
}

// Guards against reporting a call that ran as not run, or one that did not run as unknown.
// Only a connection that never opened proves that the call did not run; if the answer is lost
// after the call was sent, the call may have taken effect.
#[tokio::test]
async fn only_a_connection_that_never_opened_proves_a_call_did_not_run() {
    let unreachable = target(unused_address().await);
    let engines = http::HttpEngines::new().unwrap();
    let started = engines
        .start(&unreachable, &start_request(3, "x"), permit())
        .await;
    assert!(matches!(
        started,
        Err(link_error::StartError::NeverSent { .. })
    ));
    let resumed = engines.resume(&unreachable, id::GenerationId(3), 0).await;
    assert!(matches!(
        resumed,
        Err(link_error::ResumeError::Refused { .. })
    ));
    let cancelled = engines.cancel(&unreachable, id::GenerationId(3)).await;
    assert!(matches!(
        cancelled,
        Err(link_error::CancelError::Refused { .. })
    ));

    let handle = service::ServiceHandle::new(service::ServiceProfile::default());
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let server = service::serve(handle.clone(), any).await.unwrap();
    let services = http::HttpServices::new().unwrap();
    let call = port::ServiceCall {
        request: id::RequestId(9),
        method: "POST".to_owned(),
        path: "/charge?day=1".to_owned(),
        key: Some("1-x".to_owned()),
        content_type: None,
        body: Bytes::from_static(b"one pass"),
    };
    let limit = time::Duration::from_secs(20);
    let refused = services.call(&unreachable, &call, limit, permit()).await;
    assert!(matches!(
        refused,
        Err(link_error::CallError::NeverSent { .. })
    ));
    let answer = services
        .call(&target(server.address()), &call, limit, permit())
        .await
        .unwrap();
    let received: service::ServiceAnswer = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(received.path, "/charge?day=1");
    assert_eq!(received.idempotency_key.as_deref(), Some("1-x"));
    handle.apply(&service::ServiceFault::LoseAnswers { count: 1 });
    let lost = services
        .call(&target(server.address()), &call, limit, permit())
        .await;
    assert!(matches!(lost, Err(link_error::CallError::Lost { .. })));
    assert_eq!(handle.counts().total, 2);
}
