//! Listeners for callers.

use std::{cell, convert, error, io, net, pin, rc, task};

use hyper::{body, server::conn::http1, service};
use hyper_util::rt;
use tokio::{sync, task as tasks, time};

use crate::{caller, intake, places, socket};

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
    /// Timeout for receiving a request head, counted from its first byte.
    pub head_timeout: time::Duration,
    /// Maximum number of open connections. A further one takes the place of the one that has been quiet
    /// longest; it is closed immediately while all of them carry accepted requests.
    pub connections: usize,
}

/// Where a listener counts its connections and the bytes of its callers.
#[derive(Clone, Debug)]
pub struct ListenerIntake {
    /// The listener.
    pub listener: places::ListenerName,
    /// What the bytes of callers may cost, over all listeners.
    pub intake: intake::CallerIntake,
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

/// Maximum time in which the caller of a body that was ended for others takes its refusal.
const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Body of an answer, which holds the place of its connection until it is complete.
struct AnswerBody<B> {
    body: B,
    _guard: places::AnswerGuard,
}

impl<B: http_body::Body + Unpin> http_body::Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<B::Data>, B::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// Serves callers until stopped. `rule` is evaluated for each connection, so that a new
/// configuration applies to the next one.
pub async fn serve<S, F, B>(
    listener: tokio::net::TcpListener,
    rule: impl Fn() -> ListenRule,
    counts: ListenerIntake,
    stop: StopSwitch,
    service: S,
) where
    S: Fn(http::Request<intake::CallerBody>) -> F + Clone + 'static,
    F: Future<Output = http::Response<B>> + 'static,
    B: http_body::Body + Unpin + 'static,
    B::Data: 'static,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
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
        let place = counts
            .intake
            .places
            .enter(counts.listener, rule.connections);
        let Some(place) = place else {
            metrics::counter!("pollenchute_carry_connections_refused_total", "listener" => counts.listener.0).increment(1);
            continue;
        };
        let connection = CallerTask {
            place: rc::Rc::new(place),
            intake: counts.intake.clone(),
            rule,
            stop: stop.clone(),
        };
        let counted = OpenConnection::new(&stop.open);
        let service = service.clone();
        tasks::spawn_local(async move {
            if let Err(error) = connection.serve(stream, service).await {
                log::debug!(error:% = error; "connection of a caller ended");
            }
            drop(counted);
        });
    }
}

/// One connection of a caller.
struct CallerTask {
    place: rc::Rc<places::HeldPlace>,
    intake: intake::CallerIntake,
    rule: ListenRule,
    stop: StopSwitch,
}

impl CallerTask {
    async fn serve<S, F, B>(self, stream: tokio::net::TcpStream, service: S) -> io::Result<()>
    where
        S: Fn(http::Request<intake::CallerBody>) -> F + 'static,
        F: Future<Output = http::Response<B>> + 'static,
        B: http_body::Body + Unpin + 'static,
        B::Data: 'static,
        B::Error: Into<Box<dyn error::Error + Send + Sync>>,
    {
        let Self {
            place,
            intake,
            rule,
            stop,
        } = self;
        socket::tune(&stream, socket::CALLER_ACK_TIMEOUT)?;
        let framing = caller::AnswerFraming::default();
        let stream = caller::CallerConnection::new(
            stream,
            framing.clone(),
            place.clone(),
            rule.head_timeout,
        );
        let answering = place.clone();
        let answer = service::service_fn(move |request: http::Request<body::Incoming>| {
            framing.note_version(request.version());
            let (head, body) = request.into_parts();
            let body = intake::CallerBody::new(&head, body, intake.clone(), answering.clone());
            let answer = service(http::Request::from_parts(head, body));
            let guard = places::AnswerGuard::new(answering.clone());
            async move {
                let (head, body) = answer.await.into_parts();
                let body = AnswerBody {
                    body,
                    _guard: guard,
                };
                let response = http::Response::from_parts(head, body);
                Ok::<_, convert::Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(rule.idle)
            .max_buf_size(rule.header_bytes.max(16 * 1_024))
            .serve_connection(stream, answer);
        tokio::pin!(connection);
        let ended = tokio::select! {
            biased;
            eviction = place.evicted() => {
                if eviction == places::PlaceEviction::Connection {
                    return Ok(());
                }
                connection.as_mut().graceful_shutdown();
                let ended = time::timeout(REFUSAL_TIMEOUT, connection).await;
                ended.unwrap_or(Ok(()))
            }
            ended = connection.as_mut() => ended,
            () = stop.stopped() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        ended.map_err(io::Error::other)
    }
}

/// Binds a listener.
///
/// # Errors
///
/// When the address is in use or does not belong to this VM.
pub async fn bind(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::bind(address).await
}
