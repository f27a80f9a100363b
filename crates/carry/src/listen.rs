//! Listeners for callers.

use std::{cell, convert, io, net, rc};

use hyper::{body, server::conn::http1, service};
use hyper_util::rt;
use tokio::{sync, task, time};

use crate::socket;

/// Pause after the system gave no connection, for instance for want of descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Time between two looks whether all connections are closed.
const CLOSE_LOOK: time::Duration = time::Duration::from_millis(10);

/// What a listener accepts.
#[derive(Clone, Copy, Debug)]
pub struct ListenRule {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Time in which a head must have come, counted from the end of the answer before it.
    pub idle: time::Duration,
    /// Connections at a time; more are closed at once.
    pub connections: usize,
}

/// Tells listeners to stop. Connections that carry a request finish it first.
#[derive(Clone, Debug)]
pub struct StopSwitch {
    sender: rc::Rc<sync::watch::Sender<bool>>,
    /// Connections of all listeners that hold this switch.
    open: rc::Rc<cell::Cell<usize>>,
}

/// A connection that counts as open.
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

    /// Waits, after a stop, until every connection is closed: one that carries an answer is when
    /// its caller has all of it. Gives up after `most`.
    pub async fn closed(&self, most: time::Duration) {
        let until = time::Instant::now() + most;
        while self.open.get() > 0 && time::Instant::now() < until {
            time::sleep(CLOSE_LOOK).await;
        }
    }

    async fn stopped(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives in `self`, so this ends by a stop only.
        let _ = receiver.wait_for(|stopped| *stopped).await;
    }
}

/// Serves callers until stopped. `rule` is asked for each connection, so that a configuration
/// counts for the next one.
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
            time::sleep(ACCEPT_PAUSE).await;
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
    socket::tune(&stream, socket::CALLER_SILENCE)?;
    let answer = service::service_fn(move |request| {
        let answer = service(request);
        async move { Ok::<_, convert::Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(rule.idle)
        .max_buf_size(rule.header_bytes.max(16 * 1_024))
        .serve_connection(rt::TokioIo::new(stream), answer);
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
/// When the address is taken or not this VM's.
pub async fn bind(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::bind(address).await
}
