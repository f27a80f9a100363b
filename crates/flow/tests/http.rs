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
use tokio::time;

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
