//! `pollenchuted` among clients that don't behave: its life, memory and descriptors.

#[path = "../../../platform/tests/crowd/mod.rs"]
mod crowd;

use std::{fs, net, path, process, sync, time};

use crowd::{BodyCrowd, BodyEnd, BodyFraming, BodyPieces};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task,
};

/// Memory that the process may take, in MB: that of a small VM.
const MACHINE_MB: u64 = 88;
/// Maximum size of a body in the settings.
const BODY_BYTES: usize = 4 * 1_024 * 1_024;
/// Number of clients of a crowd.
const CLIENTS: usize = 60;
/// Descriptors that a process has by default.
const DESCRIPTORS: usize = 1_024;

/// Tests of this file run one at a time, since each measures a process under load.
static ONE_AT_A_TIME: sync::Mutex<()> = sync::Mutex::new(());

fn run_alone<F: Future<Output = ()>>(test: F) {
    let _alone = ONE_AT_A_TIME
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    task::LocalSet::new().block_on(&runtime, test);
}

/// A daemon without a platform, killed when dropped.
struct EntryProcess {
    child: process::Child,
    callers: net::SocketAddr,
    folder: path::PathBuf,
}

impl EntryProcess {
    async fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("entry-{name}-{}", process::id()));
        fs::create_dir_all(&folder).expect("folder");
        let [_, high, middle, low] = process::id().to_be_bytes();
        let ip = net::Ipv4Addr::new(127, 128 | high, middle, low);
        let settings = serde_json::json!({
            "vm": "entry-1", "region": "r", "failure_domain": "d",
            "callers": format!("{ip}:7001"), "peers": format!("{ip}:7002"),
            "platform": {"log": format!("{ip}:1"), "weight_store": format!("{ip}:2"),
                         "vm_list": format!("{ip}:3")},
            "cluster_keys": [{"id": 1, "secret": "00".repeat(32)}],
            "seeds": [],
            "bounds": {"body_bytes": BODY_BYTES}
        });
        let path = folder.join("settings.jsonc");
        fs::write(&path, settings.to_string()).expect("settings");
        let child = process::Command::new(env!("CARGO_BIN_EXE_pollenchuted"))
            .args(["--config", path.to_str().expect("path")])
            .stdout(process::Stdio::null())
            .stderr(process::Stdio::null())
            .spawn()
            .expect("pollenchuted starts");
        let entry = Self {
            child,
            callers: net::SocketAddr::from((ip, 7_001)),
            folder,
        };
        for _ in 0..200 {
            if entry.ask().await.is_some() {
                return entry;
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        panic!("pollenchuted does not answer");
    }

    /// Status of an ordinary request on a connection of its own.
    async fn ask(&self) -> Option<u16> {
        let mut stream = TcpStream::connect(self.callers).await.ok()?;
        let request = b"GET /v1/models HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut head = [0; 12];
        let read = stream.read_exact(&mut head);
        let read = tokio::time::timeout(time::Duration::from_secs(20), read).await;
        read.ok()?.ok()?;
        String::from_utf8_lossy(&head)
            .split(' ')
            .nth(1)?
            .parse()
            .ok()
    }

    /// Peak memory in KB.
    fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).expect("status");
        let line = text.lines().find(|line| line.starts_with("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|value| value.parse().ok()).expect("memory")
    }

    fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("descriptors").count()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn bodies_that_stop_short_of_their_end_stay_within_the_memory_of_pollenchuted() {
    // Guards against a daemon that ends because many callers leave large bodies unfinished.
    run_alone(async {
        let mut entry = EntryProcess::start("bodies").await;
        for framing in [BodyFraming::Length, BodyFraming::Chunked] {
            let crowd = BodyCrowd {
                clients: CLIENTS,
                address: entry.callers,
                target: "/ops/drain",
                key: "nobody",
                framing,
                pieces: BodyPieces::Large,
                end: BodyEnd::JustShort,
                bytes: BODY_BYTES,
            };
            let held = crowd.send().await;
            tokio::time::sleep(time::Duration::from_secs(1)).await;
            let (status, memory) = (entry.ask().await, entry.peak_kb());
            println!("{framing:?}: {memory} KB at most, answer {status:?}");
            assert!(
                entry.child.try_wait().expect("child").is_none(),
                "{framing:?}"
            );
            assert!(memory < MACHINE_MB * 1_000, "{framing:?}: {memory} KB");
            assert!(status.is_some(), "{framing:?}");
            drop(held);
        }
    });
}

#[test]
fn connections_of_pollenchuted_stay_within_the_descriptors() {
    // Guards against a daemon without descriptors for servers and the log, since callers hold them.
    run_alone(async {
        let entry = EntryProcess::start("connections").await;
        let held = crowd::hold(
            entry.callers,
            DESCRIPTORS,
            b"GET /v1/models HTTP/1.1\r\nHost: h",
        )
        .await;
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let (open, status) = (entry.descriptors(), entry.ask().await);
        println!("{} held, {open} descriptors, answer {status:?}", held.len());
        assert!(open < DESCRIPTORS, "{open} descriptors");
        assert!(status.is_some());
    });
}
