//! Large configurations over slow links.

mod cluster;

use std::{net, rc, time};

use bytes::{BufMut as _, Bytes, BytesMut};
use cluster::many_vms;
use exchange::{catalog, catchup, message};
use prost::Message as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as sockets,
    time::{self as clock, Instant},
};

/// Rate of a small VM's link, in bytes per second.
const LINK_RATE: usize = 1_250_000;
/// Bytes of a configuration of some 8,000 routes.
const DOCUMENT_BYTES: usize = 2_000_000;
/// Maximum time until a configuration is in force.
const IN_FORCE_WITHIN: time::Duration = time::Duration::from_millis(3_000);
/// Interval between two datagrams of a VM.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Number of parts per second in which a slow link carries data.
const PARTS_PER_SECOND: usize = 50;

/// A document that starts with its version and is as long as a large configuration.
fn document(version: u64) -> Bytes {
    let mut document = version.to_string();
    document.push(' ');
    document.push_str(&"x".repeat(DOCUMENT_BYTES));
    Bytes::from(document)
}

fn decode(bytes: &[u8]) -> Result<catalog::RouteCatalog, String> {
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let version = text.split(' ').next().and_then(|word| word.parse().ok());
    version
        .map(cluster::catalog)
        .ok_or_else(|| String::from("no number"))
}

/// A VM that replies to each state request with a configuration, at the rate of a slow link.
async fn answer_slowly(listener: sockets::TcpListener, version: u64) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("connection");
        tokio::task::spawn_local(async move {
            let length = stream.read_u32().await.expect("length of the request");
            let mut request = vec![0; length as usize];
            stream.read_exact(&mut request).await.expect("request");
            let reply = message::StateReply {
                catalog: document(version),
                system: cluster::SYSTEM,
                ..message::StateReply::default()
            };
            let reply = reply.encode_to_vec();
            let mut frame = BytesMut::new();
            frame.put_u32(u32::try_from(reply.len()).expect("small"));
            frame.extend_from_slice(&reply);
            for part in frame.chunks(LINK_RATE / PARTS_PER_SECOND) {
                let pace = part.len() as f64 / LINK_RATE as f64;
                clock::sleep(time::Duration::from_secs_f64(pace)).await;
                if stream.write_all(part).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn datagram(link_address: net::SocketAddr, sequence: u64, version: u64) -> message::PeerDatagram {
    message::PeerDatagram {
        sender: 2,
        name: String::from("vm-2"),
        domain: String::from("a"),
        incarnation: 1,
        sequence,
        stage: message::VmStage::Serving.into(),
        entry_address: cluster::address(202).to_string(),
        link_address: link_address.to_string(),
        catalog_version: version,
        system: cluster::SYSTEM,
        ..message::PeerDatagram::default()
    }
}

/// Runs a test on one thread with sockets.
fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_large_configuration_is_fetched_from_a_vm_over_a_slow_link() {
    // Guards against a time limit on the complete transfer, which a large reply always exceeds.
    run(async {
        let listener = sockets::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("listener");
        let address = listener.local_addr().expect("address");
        tokio::task::spawn_local(answer_slowly(listener, 2));
        let plane = cluster::plane();
        let task = catchup::catch_up(plane.clone(), catchup::TcpPeers, decode);
        tokio::task::spawn_local(task);
        let began = Instant::now();
        let mut sequence = 0;
        while plane.state().version() < 2 {
            assert!(began.elapsed() <= IN_FORCE_WITHIN, "not in force in time");
            sequence += 1;
            let now = Instant::now();
            let datagram = datagram(address, sequence, 2);
            plane.state().peers.take(&datagram, now);
            clock::sleep(ANNOUNCE_INTERVAL).await;
        }
    });
}

/// Bytes of a route in a document.
const ROUTE_BYTES: usize = 250;

/// A document of `count` routes, no two alike, in the form in which operators name them.
fn routes(version: u64, count: usize) -> Bytes {
    let mut document = format!("{version} ");
    for number in 0..count {
        let name = (number as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let route = format!(
            r#"{{"name":"r-{name:016x}","host":"h.example","path_prefix":"/{:012x}/","type":"safe","#,
            name.rotate_left(17) >> 16
        );
        document.push_str(&route);
        let rest = ROUTE_BYTES - route.len();
        document.push_str(
            &format!(
                r#""service":"app","timeout_ms":2000,"attempts":2}},{:rest$}"#,
                ""
            )[..rest],
        );
    }
    Bytes::from(document)
}

/// VMs, few of which have fast links, and the configurations that are published.
#[derive(Clone, Copy, Debug)]
struct ConfigurationLoad {
    vms: usize,
    routes: usize,
    /// Time between the first configuration with that many routes and one that only changes the
    /// version.
    interval: time::Duration,
    /// Time within which the users of a deployment of this size want each in force.
    within: time::Duration,
}

/// Time until each VM had the first configuration or a later one, and the second one.
#[derive(Clone, Copy, Debug, Default)]
struct ConfigurationSpread {
    first: time::Duration,
    second: time::Duration,
    /// Megabytes of documents that the store sent.
    store_mb: f64,
}

async fn spread(load: ConfigurationLoad) -> ConfigurationSpread {
    let store = rc::Rc::new(many_vms::ClusterStore::new(
        Vec::new(),
        routes(1, load.routes / 2),
        time::Duration::from_millis(4),
        Instant::now(),
    ));
    let rate = |number: usize| {
        if number.is_multiple_of(12) {
            20 * LINK_RATE
        } else {
            LINK_RATE
        }
    };
    let vms = (0..load.vms).map(|number| many_vms::ClusterVm::new(number, rate(number) as f64));
    let vms: many_vms::VmCluster = rc::Rc::new(vms.collect());
    let tasks: Vec<_> = (0..load.vms)
        .map(|number| {
            vms[number].know_all(&store, cluster::catalog(1));
            tokio::task::spawn_local(many_vms::run_vm(vms.clone(), store.clone(), number, decode))
        })
        .collect();
    clock::sleep(time::Duration::from_secs(3)).await;
    store.document_bytes.set(0);
    let began = Instant::now();
    let mut spread = ConfigurationSpread::default();
    store.publish(2, routes(2, load.routes));
    let mut published = false;
    while spread.second.is_zero() && began.elapsed() < time::Duration::from_secs(30) {
        clock::sleep(time::Duration::from_millis(20)).await;
        if !published && began.elapsed() >= load.interval {
            store.publish(3, routes(3, load.routes));
            published = true;
        }
        let all = |version| vms.iter().all(|vm| vm.plane.state().version() >= version);
        if spread.first.is_zero() && all(2) {
            spread.first = began.elapsed();
        }
        if all(3) {
            spread.second = began.elapsed() - load.interval;
        }
    }
    spread.store_mb = store.document_bytes.get() as f64 / 1e6;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    spread
}

fn check(load: ConfigurationLoad) {
    let mut measured = ConfigurationSpread::default();
    cluster::run(async { measured = spread(load).await });
    println!("{load:?}: {measured:?}");
    assert!(!measured.first.is_zero() && measured.first <= load.within);
    assert!(!measured.second.is_zero() && measured.second <= load.within);
}

#[test]
fn large_configurations_are_in_force_on_all_vms_in_time() {
    // Guards against VMs that all fetch a large document over slow links at once, so that none
    // receives it completely.
    for (vms, within_ms) in [(9, 2_000), (74, 3_000), (195, 4_000), (410, 4_000)] {
        check(ConfigurationLoad {
            vms,
            routes: 4_200,
            interval: time::Duration::from_millis(3_300),
            within: time::Duration::from_millis(within_ms),
        });
    }
}
