//! A test cluster of entry VMs on the paused clock whose datagrams may be lost.

use std::{cell, io, net, rc, time};

use carry::transfer;
use exchange::{announce, catalog, catchup, link, listing, message, plane, system, update};
use prost::Message as _;
use tokio::{
    sync::mpsc,
    time::{self as clock, Instant},
};

use super::log_store;

/// Failure domains of VMs and servers.
pub const DOMAINS: usize = 3;
/// Delay of a link.
const LINK_DELAY: time::Duration = time::Duration::from_millis(2);
/// Additional delay of each datagram of a slow VM.
const SLOW_DELAY: time::Duration = time::Duration::from_secs(1);
/// Rate of a VM's link, in bytes per second, for state requests.
const LINK_RATE: f64 = 1.25e6;

/// Health of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmHealth {
    Healthy,
    Slow,
    Killed,
    /// The VM receives nothing from VMs that read the store.
    CutFromReaders,
}

/// A datagram in flight and its arrival time.
type SentDatagram = (Instant, Vec<u8>);

/// One VM of the cluster.
pub struct LossyVm {
    pub plane: super::TestPlane,
    pub health: cell::Cell<VmHealth>,
    /// Lanes by the number of slow VMs among sender and recipient, so that datagrams of slow VMs
    /// delay no others.
    lanes: [DatagramLane; 3],
}

/// Queue of datagrams with the same delay.
struct DatagramLane {
    inbox: mpsc::UnboundedSender<SentDatagram>,
    outbox: cell::RefCell<Option<mpsc::UnboundedReceiver<SentDatagram>>>,
}

impl DatagramLane {
    fn new() -> Self {
        let (inbox, outbox) = mpsc::unbounded_channel();
        Self {
            inbox,
            outbox: cell::RefCell::new(Some(outbox)),
        }
    }
}

/// All VMs, and the fraction of datagrams that is lost.
pub struct LossyVms {
    pub vms: Vec<LossyVm>,
    loss: f64,
    rng: cell::RefCell<rand::rngs::StdRng>,
    /// Bytes of all datagrams that were sent.
    pub sent_bytes: cell::Cell<usize>,
}

impl LossyVms {
    /// Creates VMs that know each other, and the servers in `first` from updates that each VM has.
    pub fn new(count: usize, loss: f64, seed: u64, first: &[update::ServerUpdate]) -> rc::Rc<Self> {
        Self::new_with_late(count, 0, loss, seed, first)
    }

    /// Creates VMs, of which the last `late` ones know only the addresses of the first three VMs and
    /// are known to none.
    pub fn new_with_late(
        count: usize,
        late: usize,
        loss: f64,
        seed: u64,
        first: &[update::ServerUpdate],
    ) -> rc::Rc<Self> {
        let planes = (0..count).map(|number| new_plane(number, first));
        Self::new_of(planes.collect(), late, loss, seed)
    }

    /// Creates VMs, of which the last `fresh` ones know nothing but the addresses of the first three
    /// VMs and are known to none.
    pub fn new_with_fresh(
        count: usize,
        fresh: usize,
        loss: f64,
        seed: u64,
        first: &[update::ServerUpdate],
    ) -> rc::Rc<Self> {
        let planes = (0..count).map(|number| {
            if number < count - fresh {
                return new_plane(number, first);
            }
            let state = super::vm_state(number, DOMAINS);
            rc::Rc::new(plane::ExchangePlane::new(super::FakePort::default(), state))
        });
        Self::new_of(planes.collect(), fresh, loss, seed)
    }

    fn new_of(planes: Vec<super::TestPlane>, late: usize, loss: f64, seed: u64) -> rc::Rc<Self> {
        let now = Instant::now();
        let count = planes.len();
        let introductions: Vec<_> = planes
            .iter()
            .map(|plane| announce::introduction(&mut plane.state()))
            .collect();
        let early = count - late;
        for plane in &planes[early..] {
            for number in 0..early.min(3) {
                plane.state().peers.add_address(super::vm_address(number));
            }
        }
        for (own, plane) in planes[..early].iter().enumerate() {
            plane.state().started_at = now - super::UPTIME;
            for (other, datagram) in introductions[..early].iter().enumerate() {
                if other != own {
                    plane.state().peers.take(datagram, now);
                }
            }
        }
        let vms = planes.into_iter().map(|plane| LossyVm {
            plane,
            health: cell::Cell::new(VmHealth::Healthy),
            lanes: [(); 3].map(|()| DatagramLane::new()),
        });
        rc::Rc::new(Self {
            vms: vms.collect(),
            loss,
            rng: cell::RefCell::new(rand::SeedableRng::seed_from_u64(seed)),
            sent_bytes: cell::Cell::new(0),
        })
    }

    pub fn draw(&self) -> f64 {
        rand::RngExt::random(&mut *self.rng.borrow_mut())
    }

    fn send(&self, from: usize, datagram: &[u8], to: usize) {
        self.sent_bytes.set(self.sent_bytes.get() + datagram.len());
        let (from, to) = (&self.vms[from], &self.vms[to]);
        let killed = |vm: &LossyVm| vm.health.get() == VmHealth::Killed;
        if killed(from) || killed(to) || self.draw() < self.loss {
            return;
        }
        let reads = || from.plane.state().reads_store(Instant::now());
        if to.health.get() == VmHealth::CutFromReaders && reads() {
            return;
        }
        let is_slow = |vm: &LossyVm| vm.health.get() == VmHealth::Slow;
        let slow = [from, to].map(is_slow).iter().filter(|slow| **slow).count();
        let delay = LINK_DELAY + SLOW_DELAY * u32::try_from(slow).expect("two at most");
        let sent = (Instant::now() + delay, datagram.to_vec());
        let _ = to.lanes[slow].inbox.send(sent);
    }
}

fn new_plane(number: usize, first: &[update::ServerUpdate]) -> super::TestPlane {
    let mut state = super::vm_state(number, DOMAINS);
    for update in first {
        state.apply_update(update.clone(), false, Instant::now());
    }
    state.take_catalog(super::catalog(1), bytes::Bytes::from_static(b"1"));
    state.servers_complete = true;
    rc::Rc::new(plane::ExchangePlane::new(super::FakePort::default(), state))
}

/// Datagram port of one VM.
struct LossyPort {
    vms: rc::Rc<LossyVms>,
    own: usize,
}

impl announce::DatagramPort for LossyPort {
    fn send(&self, datagram: &[u8], address: net::SocketAddr) {
        self.vms.send(self.own, datagram, super::vm_number(address));
    }
}

/// Client of one VM for state requests to other VMs.
struct LossyPeers {
    vms: rc::Rc<LossyVms>,
    own: usize,
}

impl catchup::PeerPort for LossyPeers {
    async fn request_state(
        &self,
        address: net::SocketAddr,
        request: &message::StateRequest,
        meter: &transfer::TransferMeter,
    ) -> io::Result<message::StateReply> {
        let asked = &self.vms.vms[super::vm_number(address)];
        let answers = |vm: &LossyVm| {
            matches!(
                vm.health.get(),
                VmHealth::Healthy | VmHealth::CutFromReaders
            )
        };
        if !answers(asked) || !answers(&self.vms.vms[self.own]) {
            std::future::pending::<()>().await;
        }
        let send_time = request.encoded_len() as f64 / LINK_RATE;
        clock::sleep(3 * LINK_DELAY + time::Duration::from_secs_f64(send_time)).await;
        let answer = catchup::answer(&asked.plane, request);
        let (reply, _guard) = answer.ok_or(io::ErrorKind::ResourceBusy)?;
        let bytes = reply.encoded_len();
        meter.note(bytes);
        clock::sleep(time::Duration::from_secs_f64(bytes as f64 / LINK_RATE)).await;
        Ok(reply)
    }
}

async fn listen(vms: rc::Rc<LossyVms>, own: usize, lane: usize) {
    let outbox = vms.vms[own].lanes[lane].outbox.borrow_mut().take();
    let mut outbox = outbox.expect("each VM runs once");
    let port = LossyPort {
        vms: vms.clone(),
        own,
    };
    let plane = &vms.vms[own].plane;
    while let Some((arrives_at, bytes)) = outbox.recv().await {
        clock::sleep_until(arrives_at).await;
        let datagram = message::PeerDatagram::decode(&*bytes).expect("sound");
        if let Some(address) = link::take_datagram(plane, &datagram) {
            announce::answer(plane, &port, address);
        }
    }
}

/// Decodes a configuration whose version is the content of the document.
pub fn decode(document: &[u8]) -> Result<catalog::RouteCatalog, String> {
    let version = std::str::from_utf8(document).expect("text").parse();
    Ok(super::catalog(version.expect("a number")))
}

/// Runs one VM; never ends.
pub async fn run_vm(vms: rc::Rc<LossyVms>, store: rc::Rc<log_store::LogStore>, own: usize) {
    let plane = vms.vms[own].plane.clone();
    let port = rc::Rc::new(LossyPort {
        vms: vms.clone(),
        own,
    });
    let peers = LossyPeers {
        vms: vms.clone(),
        own,
    };
    let identified = system::identify(&plane, store.clone());
    tokio::join!(
        async { identified.await.expect("its own system") },
        announce::run(plane.clone(), port),
        listen(vms.clone(), own, 0),
        listen(vms.clone(), own, 1),
        listen(vms.clone(), own, 2),
        listing::follow_servers(plane.clone(), store.clone()),
        system::follow_restores(plane.clone(), store.clone()),
        catchup::catch_up(plane.clone(), peers, decode),
    );
}
