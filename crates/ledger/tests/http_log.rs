//! The HTTP client of the log against the stand-in of the platform's log, over real sockets.

use std::time::Duration;

use ledger::client::LogClient as _;
use ledger::{client, http};
use stand::log;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::{net, time};

async fn serve(profile: log::LogProfile) -> (log::LogHandle, stand::http::RunningServer) {
    let handle = log::LogHandle::new(profile);
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let server = log::serve(handle.clone(), address).await.expect("a server");
    (handle, server)
}

fn client_of(server: &stand::http::RunningServer) -> http::HttpLog {
    http::HttpLog::new(http::HttpSettings::at(format!(
        "http://{}",
        server.address()
    )))
}

fn query(from: u64) -> client::ReadQuery {
    client::ReadQuery {
        stream: String::from("calls-0"),
        from,
        max: 10,
        wait_ms: 0,
    }
}

#[tokio::test]
async fn records_are_read_as_they_were_appended() {
    let (_, server) = serve(log::LogProfile::default()).await;
    let log = client_of(&server);
    for offset in 0..3_u8 {
        let body = bytes::Bytes::from(vec![offset, 0xff]);
        assert_eq!(log.append("calls-0", body).await, Ok(u64::from(offset)));
    }
    let page = log.read(&query(1)).await.expect("a page");
    assert_eq!((page.first, page.next), (0, 3));
    let bodies: Vec<&[u8]> = page.records.iter().map(|found| &found.body[..]).collect();
    assert_eq!(bodies, [[1, 0xff], [2, 0xff]]);
    assert_eq!(log.read(&query(3)).await.expect("a page").records, []);
}

#[tokio::test]
async fn each_fault_of_the_log_has_its_own_error() {
    // Guards against a single error for all faults: an append that may have taken effect would be
    // treated as one that did not. The faults are the cap on appends, a lost answer, dropped
    // records and an unreachable log.
    let profile = log::LogProfile {
        appends_per_second: 0.001,
        burst: 2.0,
        ..log::LogProfile::default()
    };
    let (handle, server) = serve(profile).await;
    let log = client_of(&server);
    handle.apply(&log::LogFault::LoseAnswers { count: 1 });
    let lost = log
        .append("calls-0", "a".into())
        .await
        .expect_err("a lost answer");
    assert!(
        matches!(lost, client::AppendError::Unknown { .. }),
        "{lost}"
    );
    assert_eq!(handle.records("calls-0").len(), 1);
    assert_eq!(log.append("calls-0", "b".into()).await, Ok(1));
    let over = log
        .append("calls-0", "c".into())
        .await
        .expect_err("over the cap");
    assert!(
        matches!(over, client::AppendError::OverCap { .. }),
        "{over}"
    );
    handle.apply(&log::LogFault::DropBelow {
        stream: String::from("calls-0"),
        first: 1,
    });
    let dropped = log.read(&query(0)).await.expect_err("dropped records");
    assert!(
        matches!(dropped, client::ReadError::Dropped { first: 1, .. }),
        "{dropped}"
    );
    server.stop().await;
    let down = log
        .append("calls-0", "d".into())
        .await
        .expect_err("no connection");
    assert!(matches!(down, client::AppendError::Down { .. }), "{down}");
    let error = log.read(&query(0)).await.expect_err("no connection");
    assert!(matches!(error, client::ReadError::Failed { .. }), "{error}");
}

/// Answers any request with a page of one record of `bytes` bytes, spread evenly over `duration`.
async fn serve_slowly(listener: net::TcpListener, bytes: usize, duration: Duration) {
    let (mut stream, _) = listener.accept().await.expect("connection");
    let mut request = vec![0; 4_096];
    let _ = stream.read(&mut request).await.expect("request");
    let record = "A".repeat(bytes / 3 * 4);
    let page =
        format!(r#"{{"first":0,"next":1,"records":[{{"offset":0,"at_ms":1,"body":"{record}"}}]}}"#);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", page.len());
    stream.write_all(head.as_bytes()).await.expect("head");
    for part in page.as_bytes().chunks(page.len().div_ceil(SLOW_PART_COUNT)) {
        time::sleep(duration / SLOW_PART_COUNT as u32).await;
        if stream.write_all(part).await.is_err() {
            return;
        }
    }
}

/// Number of parts in which a slow answer is sent.
const SLOW_PART_COUNT: usize = 30;

/// Reads a page of one record of `bytes` bytes that is sent over `duration`.
async fn read_slowly(
    bytes: usize,
    duration: Duration,
) -> Result<client::ReadPage, client::ReadError> {
    let listener = net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(serve_slowly(listener, bytes, duration));
    let settings = http::HttpSettings::at(format!("http://{address}"));
    http::HttpLog::new(settings).read(&query(0)).await
}

#[tokio::test]
async fn a_large_page_is_read_over_a_slow_link() {
    // Guards against a time limit on the complete page, which a large page over a slow link
    // would always exceed.
    let page = read_slowly(3_000_000, Duration::from_millis(3_000)).await;
    assert_eq!(page.expect("page").records[0].body.len(), 3_000_000);
}

#[tokio::test]
async fn a_stalled_page_times_out() {
    // Guards against a reader that waits forever on a connection that stops sending.
    let started_at = time::Instant::now();
    let page = read_slowly(3_000, Duration::from_secs(600)).await;
    assert!(page.is_err() && started_at.elapsed() < Duration::from_secs(4));
}

#[tokio::test]
async fn a_log_that_came_back_from_a_copy_names_a_later_era() {
    // Guards against a client that does not tell offsets that were given out again.
    let (handle, server) = serve(log::LogProfile::default()).await;
    let log = client_of(&server);
    let before = log.read(&query(0)).await.expect("a page").era;
    time::sleep(Duration::from_millis(20)).await;
    let body = bytes::Bytes::from_static(b"lost");
    log.append("calls-0", body).await.expect("an offset");
    handle.apply(&log::LogFault::Restore { age_ms: 10 });
    let page = log.read(&query(0)).await.expect("a page");
    assert_eq!((page.era, page.records), (before + 1, Vec::new()));
    let body = bytes::Bytes::from_static(b"later");
    assert_eq!(log.append("calls-0", body).await, Ok(0));
}
