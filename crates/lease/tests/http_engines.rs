//! The HTTP client for engines over real sockets: a state request and its order share one
//! connection, and each error has its own type.

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

/// Accepts a single connection, answers its requests in turn, then closes it.
async fn serve(listener: net::TcpListener, answers: Vec<String>) -> String {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    drop(listener);
    let mut received = String::new();
    for answer in answers {
        let mut buffer = vec![0; 4_096];
        let count = stream.read(&mut buffer).await.expect("a request");
        received.push_str(&String::from_utf8_lossy(&buffer[..count]));
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("an answer");
    }
    received
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
    let server = tokio::spawn(serve(listener, answers));
    let client = http::HttpEngines::new(time::Duration::from_secs(30));
    let mut connection = client.open(address).await.expect("open");
    let state = connection.state().await.expect("state");
    assert_eq!(state.fencing, Some(41));
    let ordered = connection.order(&body()).await;
    (ordered, server.await.expect("served"))
}

/// Guards against an order that is sent over another connection than its state request: the first
/// connection ends after the state was read, and the engine counts the order's time limit from when
/// it accepted the second one. An old order could then take effect after its time limit.
#[tokio::test]
async fn an_order_uses_the_connection_of_its_state_request_or_fails() {
    let (ordered, received) = order_answered("200 OK").await;
    assert!(ordered.is_ok(), "{ordered:?}");
    assert!(
        received.starts_with("GET /v1/state ") && received.contains("POST /v1/orders "),
        "{received}"
    );
    assert!(
        received.contains(r#""fencing":7"#) && received.contains(r#""within_ms":900"#),
        "{received}"
    );

    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(serve(listener, vec![answer("200 OK", STATE)]));
    let client = http::HttpEngines::new(time::Duration::from_secs(30));
    let mut connection = client.open(address).await.expect("open");
    connection.state().await.expect("state");
    server.await.expect("served");
    let again = net::TcpListener::bind(address)
        .await
        .expect("the port again");
    let ordered = connection.order(&body()).await;
    assert!(
        matches!(ordered, Err(engine::EngineError::NoAnswer { .. })),
        "{ordered:?}"
    );
    // The order has completed, so a second connection would be in the accept queue by now.
    let again = again.into_std().expect("a listener that does not block");
    assert!(again.accept().is_err(), "a second connection was opened");
}

#[tokio::test]
async fn each_refusal_has_its_own_error() {
    let (old, _) = order_answered("409 Conflict").await;
    assert_eq!(old, Err(engine::EngineError::OldFencing));
    let (late, _) = order_answered("410 Gone").await;
    assert_eq!(late, Err(engine::EngineError::TooLate));
    let (refused, _) = order_answered("400 Bad Request").await;
    assert_eq!(refused, Err(engine::EngineError::Refused { status: 400 }));
    let (broken, _) = order_answered("503 Service Unavailable").await;
    assert!(matches!(broken, Err(engine::EngineError::NoAnswer { .. })));
}
