//! The client over HTTP against the stand-in of the platform's log, through real sockets.

use ledger::client::LogClient as _;
use ledger::{client, http};
use stand::log;

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
async fn records_come_back_as_they_were_appended() {
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
    // Symptom: an append that may have taken effect is taken for one that did not.
    // Sequence: the log is over its cap; it loses an answer; it drops records; it is gone.
    // Cause: one error for all faults.
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
    let fault = log.read(&query(0)).await.expect_err("no connection");
    assert!(matches!(fault, client::ReadError::Fault { .. }), "{fault}");
}
