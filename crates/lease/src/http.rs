//! HTTP client for model engines, as specified in docs/INTERFACES.md.
//!
//! Each connection is a single handshake without a pool. A client with a pool could send an order
//! over another connection than the preceding state request, and then the order's time limit,
//! which counts from the engine's accept, would guarantee nothing.

use std::net;

use http_body_util::BodyExt as _;
use hyper::client::conn::http1;
use tokio::{net as tokio_net, task, time};

use crate::engine;
use crate::engine::{EngineClient, EngineConnection};

/// Opens a new TCP connection for each order.
#[derive(Clone, Copy, Debug)]
pub struct HttpEngines {
    timeout: time::Duration,
}

impl HttpEngines {
    /// Creates a client that limits the connection setup and each call to `timeout`.
    #[must_use]
    pub const fn new(timeout: time::Duration) -> Self {
        Self { timeout }
    }
}

/// One TCP connection; dropping it stops its task.
#[derive(Debug)]
pub struct HttpConnection {
    sender: http1::SendRequest<http_body_util::Full<bytes::Bytes>>,
    address: net::SocketAddr,
    timeout: time::Duration,
    connection_task: task::AbortHandle,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

impl EngineClient for HttpEngines {
    type Connection = HttpConnection;

    async fn open(&self, address: net::SocketAddr) -> Result<HttpConnection, engine::EngineError> {
        let opening = async {
            let stream = tokio_net::TcpStream::connect(address)
                .await
                .map_err(no_answer)?;
            let io = hyper_util::rt::TokioIo::new(stream);
            http1::handshake(io).await.map_err(no_answer)
        };
        let opened = time::timeout(self.timeout, opening)
            .await
            .map_err(no_answer)?;
        let (sender, connection) = opened?;
        let connection_task = tokio::spawn(async move {
            // A failed connection is reported to the caller that awaits an answer.
            let _ = connection.await;
        });
        Ok(HttpConnection {
            sender,
            address,
            timeout: self.timeout,
            connection_task: connection_task.abort_handle(),
        })
    }
}

impl EngineConnection for HttpConnection {
    async fn state(&mut self) -> Result<engine::EngineState, engine::EngineError> {
        self.call("GET", "/v1/state", bytes::Bytes::new()).await
    }

    async fn order(
        &mut self,
        body: &engine::OrderBody,
    ) -> Result<engine::EngineState, engine::EngineError> {
        let json = serde_json::to_vec(body).map_err(no_answer)?;
        self.call("POST", "/v1/orders", json.into()).await
    }
}

impl HttpConnection {
    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: bytes::Bytes,
    ) -> Result<engine::EngineState, engine::EngineError> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(http_body_util::Full::new(body))
            .map_err(no_answer)?;
        let answering = async {
            let response = self.sender.send_request(request).await.map_err(no_answer)?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(no_answer)?;
            Ok((status, body.to_bytes()))
        };
        let answered = time::timeout(self.timeout, answering).await;
        let (status, body) = answered.map_err(no_answer)??;
        match status {
            200 => serde_json::from_slice(&body).map_err(no_answer),
            409 => engine::OldFencingSnafu.fail(),
            410 => engine::TooLateSnafu.fail(),
            status @ 400..500 => engine::RefusedSnafu { status }.fail(),
            status => Err(no_answer(format!("status {status}"))),
        }
    }
}

fn no_answer(error: impl ToString) -> engine::EngineError {
    let cause = error.to_string();
    engine::NoAnswerSnafu { cause }.build()
}
