//! A test cluster of entry VMs on the paused clock, with limited rates of links and store.

use std::{cell, io, net, rc, time};

use bytes::Bytes;
use carry::transfer;
use exchange::{
    announce, catalog, catchup, evacuation, follow, link, listing, message, plane, position,
    recipients, system, update,
};
use prost::Message as _;
use tokio::time::{self as clock, Instant};

/// Failure domains.
pub const DOMAINS: usize = 5;
/// Number of entries in one page of the store.
const PAGE: usize = 500;
/// Size of an entry in a page.
const ENTRY_BYTES: usize = 450;
/// Rate of all answers of the store together, in bytes per second.
const STORE_RATE: f64 = 80e6;
/// Time until an answer of the store must begin: for a short call, and for a page.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
const PAGE_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
/// Time without a byte after which an answer that began is aborted, and its maximum duration.
const ANSWER_IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Time that a VM with an eighth of a core takes to send or apply one server of a list.
const WORK_PER_SERVER: time::Duration = time::Duration::from_micros(10);
/// Time from a VM's start until it sends its first datagram.
const START_DELAY: time::Duration = time::Duration::from_millis(100);
/// Delay of a link.
const LINK_DELAY: time::Duration = time::Duration::from_millis(2);
/// Number of bytes that a link carries at a time, so that transfers share it.
const PART_BYTES: usize = 16_000;
/// Lead that a fast link may have over a slow one.
const WINDOW: time::Duration = time::Duration::from_millis(50);
/// Size factor of the newest records, which are read in base64.
const BASE64: f64 = 4.0 / 3.0;

/// A link, or anything else that carries one transfer after the other.
#[derive(Debug)]
pub struct SharedLink {
    rate: f64,
    free_at: cell::Cell<Instant>,
}

impl SharedLink {
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            free_at: cell::Cell::new(Instant::now()),
        }
    }

    /// The time at which `bytes` that are available from `from` on have been carried.
    fn carry(&self, bytes: usize, from: Instant) -> Instant {
        let begins = self.free_at.get().max(from);
        let ends = begins + time::Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_at.set(ends);
        ends
    }
}

/// Carries `bytes` over both links, together with all other transfers.
async fn carry(
    bytes: usize,
    (near, far): (&SharedLink, &SharedLink),
    meter: &transfer::TransferMeter,
) {
    let mut left = bytes;
    let mut here = Instant::now();
    while left > 0 {
        let part = left.min(PART_BYTES);
        let sent = near.carry(part, Instant::now());
        clock::sleep_until(sent).await;
        here = far.carry(part, sent);
        clock::sleep_until(here - WINDOW).await;
        meter.note(part);
        left -= part;
    }
    clock::sleep_until(here).await;
}

/// The store that all VMs share.
#[derive(Debug)]
pub struct ClusterStore {
    pub entries: Vec<update::ServerUpdate>,
    output: SharedLink,
    call_time: time::Duration,
    /// Time from which the store answers.
    up_at: Instant,
    pub calls: cell::Cell<usize>,
    /// Bytes of documents that the store sent.
    pub document_bytes: cell::Cell<usize>,
    /// Version and bytes of the newest document; the version is its position.
    document: cell::RefCell<(u64, Bytes)>,
}

impl ClusterStore {
    /// A store with a first document, which answers a short call after `call_time` and none before
    /// `up_at`.
    pub fn new(
        entries: Vec<update::ServerUpdate>,
        document: Bytes,
        call_time: time::Duration,
        up_at: Instant,
    ) -> Self {
        Self {
            entries,
            output: SharedLink::new(STORE_RATE),
            call_time,
            up_at,
            calls: cell::Cell::new(0),
            document_bytes: cell::Cell::new(0),
            document: cell::RefCell::new((1, document)),
        }
    }

    pub fn publish(&self, version: u64, document: Bytes) {
        *self.document.borrow_mut() = (version, document);
    }

    fn version(&self) -> u64 {
        self.document.borrow().0
    }
}

/// One VM's client of the store.
#[derive(Debug)]
pub struct VmStore {
    store: rc::Rc<ClusterStore>,
    link: rc::Rc<SharedLink>,
    meter: transfer::TransferMeter,
}

impl VmStore {
    pub fn new(store: rc::Rc<ClusterStore>, link: rc::Rc<SharedLink>) -> Self {
        Self {
            store,
            link,
            meter: transfer::TransferMeter::default(),
        }
    }

    async fn call(
        &self,
        bytes: usize,
        first: time::Duration,
        meter: &transfer::TransferMeter,
    ) -> Result<(), follow::StoreError> {
        let store = &self.store;
        store.calls.set(store.calls.get() + 1);
        clock::sleep(store.call_time).await;
        if Instant::now() < store.up_at {
            return Err(follow::StoreError::Unavailable);
        }
        let limit = transfer::TransferLimit {
            first,
            silence: ANSWER_IDLE_TIMEOUT,
            total: ANSWER_TIMEOUT,
        };
        let carried = carry(bytes, (&store.output, &self.link), meter);
        let carried = meter.limit(&limit, carried).await;
        carried.map_err(|_| follow::StoreError::Unavailable)
    }

    async fn document(&self, share: f64) -> Result<follow::DocumentPage, follow::StoreError> {
        let (version, document) = self.store.document.borrow().clone();
        let bytes = (document.len() as f64 * share) as usize;
        let sent = &self.store.document_bytes;
        sent.set(sent.get() + bytes);
        self.call(bytes, CALL_TIMEOUT, &self.meter).await?;
        Ok(follow::DocumentPage {
            document: Some(document),
            evacuations: Vec::<evacuation::EvacuationRecord>::new(),
            end: position::StorePosition::new(0, version),
        })
    }
}

impl follow::StorePort for VmStore {
    async fn read_servers(
        &self,
        after: Option<&str>,
    ) -> Result<follow::UpdatePage, follow::StoreError> {
        let entries = &self.store.entries;
        let first = after.map_or(0, |after| {
            entries.partition_point(|update| update.id.as_str() <= after)
        });
        let page = &entries[first..entries.len().min(first + PAGE)];
        let meter = transfer::TransferMeter::default();
        self.call(page.len() * ENTRY_BYTES, PAGE_TIMEOUT, &meter)
            .await?;
        clock::sleep(WORK_PER_SERVER * u32::try_from(page.len()).expect("small")).await;
        let more = first + page.len() < entries.len();
        Ok(follow::UpdatePage {
            updates: page.to_vec(),
            end: position::StorePosition::new(0, 1_000_000),
            next: page.last().filter(|_| more).map(|update| update.id.clone()),
        })
    }

    async fn read_updates(
        &self,
        from: position::StorePosition,
    ) -> Result<follow::UpdatePage, follow::StoreError> {
        let meter = transfer::TransferMeter::default();
        self.call(16, CALL_TIMEOUT, &meter).await?;
        Ok(follow::UpdatePage {
            end: from,
            ..follow::UpdatePage::default()
        })
    }

    async fn read_document(&self) -> Result<follow::DocumentPage, follow::StoreError> {
        self.document(BASE64).await
    }

    async fn wait_document(
        &self,
        from: position::StorePosition,
        wait: time::Duration,
    ) -> Result<follow::DocumentPage, follow::StoreError> {
        self.call(16, CALL_TIMEOUT, &self.meter).await?;
        let until = Instant::now() + wait;
        while self.store.version() <= from.offset {
            if Instant::now() >= until {
                return Ok(follow::DocumentPage {
                    end: from,
                    ..follow::DocumentPage::default()
                });
            }
            clock::sleep(self.store.call_time).await;
        }
        self.document(1.0).await
    }

    fn document_meter(&self) -> transfer::TransferMeter {
        self.meter.clone()
    }

    async fn system(
        &self,
        _proposed: system::SystemId,
    ) -> Result<system::SystemId, follow::StoreError> {
        unreachable!("each VM knows it")
    }

    async fn register(
        &self,
        _name: &str,
        _address: net::SocketAddr,
    ) -> Result<(), follow::StoreError> {
        unreachable!("no VM looks for others in the store")
    }

    async fn save_crashes(&self, _record: Bytes) -> Result<(), follow::StoreError> {
        Ok(())
    }

    async fn saved_crashes(&self) -> Result<follow::CrashPage, follow::StoreError> {
        Ok(follow::CrashPage::default())
    }

    async fn wait_crashes(
        &self,
        _from: position::StorePosition,
        wait: time::Duration,
    ) -> Result<follow::CrashPage, follow::StoreError> {
        clock::sleep(wait).await;
        Ok(follow::CrashPage::default())
    }

    async fn registered(&self) -> Result<Vec<net::SocketAddr>, follow::StoreError> {
        unreachable!("no VM looks for others in the store")
    }
}

/// One VM of the cluster.
#[derive(Debug)]
pub struct ClusterVm {
    pub plane: super::TestPlane,
    pub link: rc::Rc<SharedLink>,
    started: cell::Cell<bool>,
}

/// All VMs of the cluster.
pub type VmCluster = rc::Rc<Vec<ClusterVm>>;

impl ClusterVm {
    /// A VM that knows nothing yet, with a link of `rate` bytes a second.
    pub fn new(number: usize, rate: f64) -> Self {
        let state = super::vm_state(number, DOMAINS);
        Self {
            plane: rc::Rc::new(plane::ExchangePlane::new(super::FakePort::default(), state)),
            link: rc::Rc::new(SharedLink::new(rate)),
            started: cell::Cell::new(false),
        }
    }

    /// Brings the VM into the state after it has run for a while and knows everything.
    pub fn know_all(&self, store: &ClusterStore, catalog: catalog::RouteCatalog) {
        let mut state = self.plane.state();
        for update in &store.entries {
            state.apply_update(update.clone(), false, Instant::now());
        }
        state.take_catalog(catalog, store.document.borrow().1.clone());
        state.servers_complete = true;
    }
}

/// Client of one VM for state requests to other VMs.
struct ClusterPeers {
    vms: VmCluster,
    own: usize,
}

impl catchup::PeerPort for ClusterPeers {
    async fn request_state(
        &self,
        address: net::SocketAddr,
        request: &message::StateRequest,
        meter: &transfer::TransferMeter,
    ) -> io::Result<message::StateReply> {
        let asked = &self.vms[super::vm_number(address)];
        clock::sleep(LINK_DELAY).await;
        let answer = asked
            .started
            .get()
            .then(|| catchup::answer(&asked.plane, request));
        let Some((reply, _guard)) = answer.flatten() else {
            return Err(io::ErrorKind::ResourceBusy.into());
        };
        let work = WORK_PER_SERVER * u32::try_from(reply.updates.len()).expect("small");
        clock::sleep(work).await;
        let links = (&*asked.link, &*self.vms[self.own].link);
        carry(reply.encoded_len(), links, meter).await;
        clock::sleep(work).await;
        Ok(reply)
    }
}

/// Interval between two checks whether there is something that all VMs must receive at once.
const SPREAD_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Announces the VM: to all others at first and for each configuration that it reads for all,
/// otherwise to the same recipients as in production.
async fn introduce(vms: VmCluster, own: usize) {
    clock::sleep(START_DELAY).await;
    vms[own].started.set(true);
    let mut turn = 0;
    let mut announced_version = None;
    let mut due = Instant::now();
    loop {
        let (datagram, recipients, interval) = {
            let mut state = vms[own].plane.state();
            let now = Instant::now();
            let version = state.version();
            let spread = announced_version.is_none() || state.reads_store(now);
            let changed = announced_version.replace(version) != Some(version);
            let recipients = if spread && changed {
                (0..vms.len()).filter(|number| *number != own).collect()
            } else if now < due {
                Vec::new()
            } else {
                turn += 1;
                let regular = recipients::regular(&state.peers, turn - 1, now);
                regular.into_iter().map(super::vm_number).collect()
            };
            let datagram = announce::introduction(&mut state);
            (datagram, recipients, state.peers.announce_interval())
        };
        if !recipients.is_empty() {
            due = Instant::now() + interval;
        }
        for number in recipients {
            let there = &vms[number];
            if !there.started.get() {
                continue;
            }
            // A VM that receives its first datagram from the sender answers.
            if link::take_datagram(&there.plane, &datagram).is_some() {
                let answer = announce::introduction(&mut there.plane.state());
                link::take_datagram(&vms[own].plane, &answer);
            }
        }
        let check_at = due.min(Instant::now() + SPREAD_CHECK_INTERVAL);
        clock::sleep_until(check_at.max(Instant::now() + time::Duration::from_millis(1))).await;
    }
}

/// Runs one VM; never ends.
pub async fn run_vm(
    vms: VmCluster,
    store: rc::Rc<ClusterStore>,
    number: usize,
    decode: follow::DocumentDecoder,
) {
    let vm = &vms[number];
    let store = rc::Rc::new(VmStore::new(store, vm.link.clone()));
    let peers = ClusterPeers {
        vms: vms.clone(),
        own: number,
    };
    tokio::join!(
        follow::follow_catalog(vm.plane.clone(), store.clone(), decode),
        listing::follow_servers(vm.plane.clone(), store),
        catchup::catch_up(vm.plane.clone(), peers, decode),
        introduce(vms.clone(), number),
    );
}
