//! Engines over real sockets: reading and order share one connection, and faults have their types.

use lease::engine::{EngineClient as _, EngineConnection as _};
use lease::{engine, http};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::{net, time};

const STATE: &str = r#"{"incarnation":"00000000000000000000000000000007","models":[{"model":"verse","version":"1","adapters":["a"]}],"role":"serve","loading":null,"fencing":41,"leaving":false}"#;

fn answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Takes one connection only and answers its requests in turn, then closes it.
async fn serve(listener: net::TcpListener, answers: Vec<String>) -> String {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    drop(listener);
    let mut seen = String::new();
    for answer in answers {
        let mut buffer = vec![0; 4_096];
        let count = stream.read(&mut buffer).await.expect("a request");
        seen.push_str(&String::from_utf8_lossy(&buffer[..count]));
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("an answer");
    }
    seen
}

fn body() -> engine::OrderBody {
    engine::OrderBody {
        fencing: Some(7),
        want: engine::WantedState {
            model: "verse".to_owned(),
            version: "2".to_owned(),
            adapters: Vec::new(),
            role: "serve".to_owned(),
        },
        within_ms: 900,
    }
}

async fn order_answered(
    status: &str,
) -> (Result<engine::EngineState, engine::EngineError>, String) {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answers = vec![answer("200 OK", STATE), answer(status, STATE)];
    let serving = tokio::spawn(serve(listener, answers));
    let client = http::HttpEngines::new(time::Duration::from_secs(30));
    let mut connection = client.open(address).await.expect("open");
    let state = connection.state().await.expect("state");
    assert_eq!(state.fencing, Some(41));
    let ordered = connection.order(&body()).await;
    (ordered, serving.await.expect("served"))
}

/// Symptom: an old order lands although its time limit is over.
/// Sequence: the state is read, the connection ends, the order leaves over another one.
/// Cause: the engine counts the limit from when it saw the second connection.
#[tokio::test]
async fn an_order_follows_its_reading_on_one_connection_or_fails() {
    let (ordered, seen) = order_answered("200 OK").await;
    assert!(ordered.is_ok(), "{ordered:?}");
    assert!(
        seen.starts_with("GET /v1/state ") && seen.contains("POST /v1/orders "),
        "{seen}"
    );
    assert!(
        seen.contains(r#""fencing":7"#) && seen.contains(r#""within_ms":900"#),
        "{seen}"
    );

    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serving = tokio::spawn(serve(listener, vec![answer("200 OK", STATE)]));
    let client = http::HttpEngines::new(time::Duration::from_secs(30));
    let mut connection = client.open(address).await.expect("open");
    connection.state().await.expect("state");
    serving.await.expect("served");
    let again = net::TcpListener::bind(address)
        .await
        .expect("the port again");
    let ordered = connection.order(&body()).await;
    assert!(
        matches!(ordered, Err(engine::EngineError::NoAnswer { .. })),
        "{ordered:?}"
    );
    // A second connection would wait here by now: its order was answered, or has failed.
    let again = again.into_std().expect("a listener that does not block");
    assert!(again.accept().is_err(), "a second connection was opened");
}

#[tokio::test]
async fn refusals_have_their_types() {
    let (old, _) = order_answered("409 Conflict").await;
    assert_eq!(old, Err(engine::EngineError::OldFencing));
    let (late, _) = order_answered("410 Gone").await;
    assert_eq!(late, Err(engine::EngineError::TooLate));
    let (refused, _) = order_answered("400 Bad Request").await;
    assert_eq!(refused, Err(engine::EngineError::Refused { status: 400 }));
    let (broken, _) = order_answered("503 Service Unavailable").await;
    assert!(matches!(broken, Err(engine::EngineError::NoAnswer { .. })));
}
