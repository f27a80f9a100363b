//! Listeners for callers.

use std::{cell, convert, io, net, rc};

use hyper::{body, server::conn::http1, service};
use hyper_util::rt;
use tokio::{sync, task, time};

use crate::{caller, socket};

/// Delay after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Interval at which [`StopSwitch::closed`] checks for open connections.
const CLOSE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenRule {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Timeout for receiving a request head, counted from the end of the previous answer.
    pub idle: time::Duration,
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
}

/// Stops listeners gracefully: connections with a request in progress finish it first.
#[derive(Clone, Debug)]
pub struct StopSwitch {
    sender: rc::Rc<sync::watch::Sender<bool>>,
    /// Connections of all listeners that hold this switch.
    open: rc::Rc<cell::Cell<usize>>,
}

/// Counts a connection as open until dropped.
#[derive(Debug)]
struct OpenConnection(rc::Rc<cell::Cell<usize>>);

impl OpenConnection {
    fn new(open: &rc::Rc<cell::Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Default for StopSwitch {
    fn default() -> Self {
        let (sender, _) = sync::watch::channel(false);
        Self {
            sender: rc::Rc::new(sender),
            open: rc::Rc::default(),
        }
    }
}

impl StopSwitch {
    /// Stops all listeners that hold this switch.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Waits, after a stop, until every connection is closed. A connection that carries an answer
    /// closes once its caller has received all of it. Gives up after `timeout`.
    pub async fn closed(&self, timeout: time::Duration) {
        let deadline = time::Instant::now() + timeout;
        while self.open.get() > 0 && time::Instant::now() < deadline {
            time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    async fn stopped(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender is owned by `self`, so the wait cannot end because the channel closed.
        let _ = receiver.wait_for(|stopped| *stopped).await;
    }
}

/// Serves callers until stopped. `rule` is evaluated for each connection, so that a new
/// configuration applies to the next one.
pub async fn serve<S, F, B>(
    listener: tokio::net::TcpListener,
    rule: impl Fn() -> ListenRule,
    stop: StopSwitch,
    service: S,
) where
    S: Fn(http::Request<body::Incoming>) -> F + Clone + 'static,
    F: Future<Output = http::Response<B>> + 'static,
    B: http_body::Body + 'static,
    B::Data: 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let open = rc::Rc::new(cell::Cell::new(0));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => return,
        };
        let Ok((stream, _)) = accepted else {
            metrics::counter!("pollenchute_carry_accept_failures_total").increment(1);
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let rule = rule();
        if open.get() >= rule.connections {
            metrics::counter!("pollenchute_carry_connections_refused_total").increment(1);
            continue;
        }
        let counted = (OpenConnection::new(&open), OpenConnection::new(&stop.open));
        let (service, stop) = (service.clone(), stop.clone());
        task::spawn_local(async move {
            if let Err(error) = serve_connection(stream, rule, stop, service).await {
                log::debug!(error:% = error; "connection of a caller ended");
            }
            drop(counted);
        });
    }
}

async fn serve_connection<S, F, B>(
    stream: tokio::net::TcpStream,
    rule: ListenRule,
    stop: StopSwitch,
    service: S,
) -> io::Result<()>
where
    S: Fn(http::Request<body::Incoming>) -> F + 'static,
    F: Future<Output = http::Response<B>> + 'static,
    B: http_body::Body + 'static,
    B::Data: 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    socket::tune(&stream, socket::CALLER_ACK_TIMEOUT)?;
    let framing = caller::AnswerFraming::default();
    let stream = caller::CallerConnection::new(stream, framing.clone());
    let answer = service::service_fn(move |request: http::Request<body::Incoming>| {
        framing.note_version(request.version());
        let answer = service(request);
        async move { Ok::<_, convert::Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(rule.idle)
        .max_buf_size(rule.header_bytes.max(16 * 1_024))
        .serve_connection(stream, answer);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.stopped() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    ended.map_err(io::Error::other)
}

/// Binds a listener.
///
/// # Errors
///
/// When the address is in use or does not belong to this VM.
pub async fn bind(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::bind(address).await
}
