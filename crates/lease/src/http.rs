//! Engines over HTTP, as docs/INTERFACES.md describes their face.
//!
//! A pooling client may send an order over another connection than the reading before it, and
//! then the order's time limit proves nothing; so a connection is one handshake here.

use std::net;

use http_body_util::BodyExt as _;
use hyper::client::conn::http1;
use tokio::{net as tokio_net, task, time};

use crate::engine;
use crate::engine::{EngineClient, EngineConnection};

/// Opens one TCP connection for each order.
#[derive(Clone, Copy, Debug)]
pub struct HttpEngines {
    timeout: time::Duration,
}

impl HttpEngines {
    /// Connecting and each call are given up after `timeout`.
    #[must_use]
    pub const fn new(timeout: time::Duration) -> Self {
        Self { timeout }
    }
}

/// One TCP connection; its task ends with it.
#[derive(Debug)]
pub struct HttpConnection {
    sender: http1::SendRequest<http_body_util::Full<bytes::Bytes>>,
    address: net::SocketAddr,
    timeout: time::Duration,
    driving: task::AbortHandle,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driving.abort();
    }
}

impl EngineClient for HttpEngines {
    type Connection = HttpConnection;

    async fn open(&self, address: net::SocketAddr) -> Result<HttpConnection, engine::EngineFault> {
        let opening = async {
            let stream = tokio_net::TcpStream::connect(address)
                .await
                .map_err(silent)?;
            let io = hyper_util::rt::TokioIo::new(stream);
            http1::handshake(io).await.map_err(silent)
        };
        let opened = time::timeout(self.timeout, opening).await.map_err(silent)?;
        let (sender, connection) = opened?;
        let driving = tokio::spawn(async move {
            // Whoever awaits an answer is told of the fault there.
            let _ = connection.await;
        });
        Ok(HttpConnection {
            sender,
            address,
            timeout: self.timeout,
            driving: driving.abort_handle(),
        })
    }
}

impl EngineConnection for HttpConnection {
    async fn state(&mut self) -> Result<engine::EngineState, engine::EngineFault> {
        self.call("GET", "/v1/state", bytes::Bytes::new()).await
    }

    async fn order(
        &mut self,
        body: &engine::OrderBody,
    ) -> Result<engine::EngineState, engine::EngineFault> {
        let json = serde_json::to_vec(body).map_err(silent)?;
        self.call("POST", "/v1/orders", json.into()).await
    }
}

impl HttpConnection {
    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: bytes::Bytes,
    ) -> Result<engine::EngineState, engine::EngineFault> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(http_body_util::Full::new(body))
            .map_err(silent)?;
        let answering = async {
            let response = self.sender.send_request(request).await.map_err(silent)?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(silent)?;
            Ok((status, body.to_bytes()))
        };
        let answered = time::timeout(self.timeout, answering).await;
        let (status, body) = answered.map_err(silent)??;
        match status {
            200 => serde_json::from_slice(&body).map_err(silent),
            409 => engine::OldFencingSnafu.fail(),
            410 => engine::TooLateSnafu.fail(),
            status @ 400..500 => engine::RefusedSnafu { status }.fail(),
            status => Err(silent(format!("status {status}"))),
        }
    }
}

fn silent(error: impl ToString) -> engine::EngineFault {
    let cause = error.to_string();
    engine::SilentSnafu { cause }.build()
}
