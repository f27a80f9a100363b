//! Connections and log output under faults.

use std::{io, pin, sync, time};

use bytes::Bytes;
use carry::{call, intake, listen, output, places, pool};
use http_body_util::{BodyExt as _, Full};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task,
};

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    task::LocalSet::new().block_on(&runtime, test);
}

fn rule() -> listen::ListenRule {
    listen::ListenRule {
        header_bytes: 16_384,
        idle: time::Duration::from_secs(5),
        head_timeout: time::Duration::from_millis(300),
        connections: 2,
    }
}

fn counts() -> listen::ListenerIntake {
    listen::ListenerIntake {
        listener: places::ListenerName("test"),
        intake: intake::CallerIntake::new(1_024 * 1_024),
    }
}

async fn listener() -> (tokio::net::TcpListener, std::net::SocketAddr) {
    let listener = listen::bind("127.0.0.1:0".parse().expect("address"))
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

fn request() -> http::Request<call::CallBody> {
    let request = http::Request::builder().uri("/x").header("host", "h");
    request.body(call::CallBody::default()).expect("request")
}

const WAIT: time::Duration = time::Duration::from_millis(500);

#[test]
fn a_caller_that_leaves_ends_its_request_at_once() {
    // Guards against work for callers that have disconnected: a caller closes its connection while
    // its request waits, and a server that detects this only on a write continues the work.
    run(async {
        let (listener, address) = listener().await;
        let (ended, mut told) = tokio::sync::mpsc::unbounded_channel::<()>();
        task::spawn_local(listen::serve(
            listener,
            rule,
            counts(),
            listen::StopSwitch::default(),
            move |_| {
                let ended = ended.clone();
                async move {
                    // Dropped when the request is cancelled.
                    let _ended = ended;
                    std::future::pending::<http::Response<Full<Bytes>>>().await
                }
            },
        ));
        let pool = pool::ConnectionPool::default();
        let mut connection = pool
            .get(address, pool::ReuseRule::Any, WAIT)
            .await
            .expect("connected");
        let sent =
            tokio::time::timeout(time::Duration::from_millis(50), connection.send(request()));
        assert!(sent.await.is_err());
        drop(connection);
        let left = tokio::time::timeout(WAIT, async {
            // The listener keeps its own sender; the count drops to 1 with the request's clone.
            while told.sender_strong_count() > 1 {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
        });
        left.await.expect("the request ended with its caller");
        told.close();
    });
}

#[test]
fn a_stop_lets_requests_finish() {
    run(async {
        let (listener, address) = listener().await;
        let switch = listen::StopSwitch::default();
        let serving = task::spawn_local(listen::serve(
            listener,
            rule,
            counts(),
            switch.clone(),
            |_| async {
                tokio::time::sleep(time::Duration::from_millis(100)).await;
                http::Response::new(Full::new(Bytes::from("whole")))
            },
        ));
        let pool = pool::ConnectionPool::default();
        let mut connection = pool
            .get(address, pool::ReuseRule::Any, WAIT)
            .await
            .expect("connected");
        let (answer, ()) = tokio::join!(connection.send(request()), async {
            tokio::time::sleep(time::Duration::from_millis(30)).await;
            switch.stop();
        });
        let body = answer
            .expect("answered")
            .into_body()
            .collect()
            .await
            .expect("whole")
            .to_bytes();
        assert_eq!(body, "whole");
        serving.await.expect("ended");
        assert!(
            pool.get(address, pool::ReuseRule::Any, WAIT).await.is_err(),
            "the listener is closed"
        );
    });
}

/// Opens connections, each of which sends these bytes.
async fn open(address: std::net::SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream.write_all(bytes).await.expect("sent");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        streams.push(stream);
    }
    streams
}

/// Whether the other side has closed a connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 1];
    let read = tokio::time::timeout(time::Duration::from_millis(50), stream.read(&mut buffer));
    matches!(read.await, Ok(Ok(0) | Err(_)))
}

#[test]
fn connections_past_the_most_are_closed() {
    // Guards against more connections than the limit, and against accepted requests that end since
    // another caller connects.
    run(async {
        let (listener, address) = listener().await;
        let accepting = |request: http::Request<intake::CallerBody>| async {
            let limit = intake::IntakeLimit {
                bytes: 10,
                until: tokio::time::Instant::now() + WAIT,
            };
            // Requests of two groups, so that they take all places.
            let group = request.uri().path().len() as u64;
            request
                .into_body()
                .collect(limit, group)
                .await
                .expect("accepted");
            std::future::pending::<http::Response<Full<Bytes>>>().await
        };
        let stop = listen::StopSwitch::default();
        task::spawn_local(listen::serve(listener, rule, counts(), stop, accepting));
        let mut streams = open(address, 1, b"GET /a HTTP/1.1\r\n\r\n").await;
        streams.extend(open(address, 1, b"GET /bc HTTP/1.1\r\n\r\n").await);
        streams.extend(open(address, 1, b"").await);
        let mut closed = Vec::new();
        for stream in &mut streams {
            closed.push(is_closed(stream).await);
        }
        assert_eq!(closed, [false, false, true]);
    });
}

#[test]
fn a_connection_that_sends_nothing_gives_way() {
    // Guards against a crowd of idle connections that keeps every other caller out.
    run(async {
        let (listener, address) = listener().await;
        let stop = listen::StopSwitch::default();
        task::spawn_local(listen::serve(listener, rule, counts(), stop, |_| async {
            http::Response::new(Full::new(Bytes::new()))
        }));
        let mut streams = open(address, 3, b"").await;
        let mut closed = Vec::new();
        for stream in &mut streams {
            closed.push(is_closed(stream).await);
        }
        assert_eq!(closed, [true, false, false]);
    });
}

#[test]
fn a_head_that_does_not_end_is_given_up() {
    // Guards against heads that are sent byte by byte and hold their connection for good.
    run(async {
        let (listener, address) = listener().await;
        let stop = listen::StopSwitch::default();
        task::spawn_local(listen::serve(listener, rule, counts(), stop, |_| async {
            http::Response::new(Full::new(Bytes::new()))
        }));
        let mut stream = open(address, 1, b"GET / HT").await.remove(0);
        let dripping = async {
            while stream.write_all(b"T").await.is_ok() && !is_closed(&mut stream).await {}
        };
        let ended = tokio::time::timeout(4 * rule().head_timeout, dripping).await;
        ended.expect("the connection is closed");
    });
}

#[test]
fn a_kept_connection_that_was_closed_is_not_used() {
    // Guards against a request lost on a connection that its server has closed: after an answer the
    // server closes the idle connection, and the pool must check for that before it reuses it.
    run(async {
        let (listener, address) = listener().await;
        let switch = listen::StopSwitch::default();
        task::spawn_local(listen::serve(
            listener,
            rule,
            counts(),
            switch.clone(),
            |_| async { http::Response::new(Full::new(Bytes::new())) },
        ));
        let pool = pool::ConnectionPool::default();
        let mut connection = pool
            .get(address, pool::ReuseRule::Any, WAIT)
            .await
            .expect("connected");
        let answer = connection.send(request()).await.expect("answered");
        answer.into_body().collect().await.expect("whole");
        pool.put_reusable(connection, None);
        switch.stop();
        tokio::time::sleep(time::Duration::from_millis(30)).await;
        let again = pool.get(address, pool::ReuseRule::Any, WAIT).await;
        assert!(
            again.is_err(),
            "the pool opens a new connection, and the listener is closed"
        );
    });
}

#[test]
fn a_reader_that_stops_reading_costs_lines_not_time() {
    // Guards against requests that stall while the log is not read: the reader of the log blocks
    // forever while lines are still written, and the threads of requests must not write to it.
    struct StuckReader(sync::Arc<sync::Barrier>);
    impl io::Write for StuckReader {
        fn write(&mut self, line: &[u8]) -> io::Result<usize> {
            self.0.wait();
            Ok(line.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let barrier = sync::Arc::new(sync::Barrier::new(2));
    let mut writer = output::LineWriter::new(StuckReader(barrier)).expect("thread");
    let before = output::dropped_lines();
    for _ in 0..10_000 {
        assert_eq!(
            io::Write::write(&mut writer, b"line\n").expect("never fails"),
            5
        );
    }
    assert!(
        output::dropped_lines() - before >= 5_000,
        "lines that do not fit the queue are counted as dropped"
    );
}

/// Body that sends one part and then ends, or breaks off.
struct OnePart {
    part: Option<Bytes>,
    breaks: bool,
    /// Whether the part may still wait to be written.
    waits: bool,
}

impl http_body::Body for OnePart {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<io::Result<http_body::Frame<Bytes>>>> {
        if self.part.is_none() && self.waits {
            self.waits = false;
            context.waker().wake_by_ref();
            return std::task::Poll::Pending;
        }
        let frame = match self.part.take() {
            Some(part) => Some(Ok(http_body::Frame::data(part))),
            None if self.breaks => Some(Err(io::Error::other("cut"))),
            None => None,
        };
        std::task::Poll::Ready(frame)
    }
}

/// Returns what a caller of this version of HTTP reads, or the error of its connection.
async fn read_raw(version: &str, breaks: bool) -> io::Result<String> {
    let (listener, address) = listener().await;
    let stop = listen::StopSwitch::default();
    task::spawn_local(listen::serve(
        listener,
        rule,
        counts(),
        stop,
        move |_| async move {
            http::Response::new(OnePart {
                part: Some(Bytes::from("part")),
                breaks,
                waits: true,
            })
        },
    ));
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET /x HTTP/{version}\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.map(|_| text)
}

#[test]
fn an_answer_that_breaks_off_never_looks_complete() {
    // Guards against an answer that breaks off and looks complete: callers of HTTP/1.0 get no chunks,
    // so only the end of their connection tells them that the answer is complete.
    run(async {
        for version in ["1.0", "1.1"] {
            let whole = read_raw(version, false).await.expect("whole");
            let is_chunked = version == "1.1";
            assert!(whole.contains("part"), "HTTP/{version}: {whole}");
            assert_eq!(whole.ends_with("0\r\n\r\n"), is_chunked, "HTTP/{version}");
            let broken = read_raw(version, true).await;
            let looks_complete = match &broken {
                Ok(text) if is_chunked => text.ends_with("0\r\n\r\n"),
                Ok(_) => true,
                Err(_) => false,
            };
            assert!(!looks_complete, "HTTP/{version}: {broken:?}");
        }
    });
}

#[test]
fn a_connection_whose_request_is_given_up_is_reset() {
    // Guards against requests that were given up, or whose process was killed, and that arrive once a
    // path that stalls delivers what it held back.
    run(async {
        let (listener, address) = listener().await;
        let pool = pool::ConnectionPool::default();
        let connected = pool.get(address, pool::ReuseRule::Any, WAIT).await;
        let mut connection = connected.expect("connected");
        let (mut accepted, _) = listener.accept().await.expect("accepted");
        let sending = connection.send(request());
        assert!(tokio::time::timeout(WAIT / 10, sending).await.is_err());
        drop(connection);
        let mut bytes = Vec::new();
        let end = accepted.read_to_end(&mut bytes).await;
        let kind = end.map_err(|error| error.kind());
        assert_eq!(kind, Err(io::ErrorKind::ConnectionReset));
    });
}
