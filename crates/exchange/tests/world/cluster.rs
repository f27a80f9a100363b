//! Many VMs of the product on the paused clock, whose links and store carry so many bytes a second.

use std::{cell, io, net, rc, time};

use bytes::Bytes;
use carry::transfer;
use exchange::{
    announce, catalog, catchup, evacuation, follow, link, listing, message, plane, recipients,
    system, update,
};
use prost::Message as _;
use tokio::time::{self as clock, Instant};

/// Failure domains.
pub const DOMAINS: usize = 5;
/// Entries in one page of the store.
const PAGE: usize = 500;
/// Bytes of an entry in a page.
const ENTRY_BYTES: usize = 450;
/// Rate at which the store answers all together, in bytes a second.
const STORE_RATE: f64 = 80e6;
/// Time until an answer of the store must begin: that of a short call, and of a page.
const CALL_WAIT: time::Duration = time::Duration::from_millis(1_000);
const PAGE_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// Time without a byte after which an answer that began is given up, and its longest time.
const ANSWER_SILENCE: time::Duration = time::Duration::from_millis(1_000);
const ANSWER_MOST: time::Duration = time::Duration::from_secs(20);
/// Time that a VM with an eighth of a core works on one server of a list, to send it or to take it.
const WORK_EACH: time::Duration = time::Duration::from_micros(10);
/// From a VM's start until it speaks.
const SILENT_SPAN: time::Duration = time::Duration::from_millis(100);
/// Delay of a link.
const LINK_DELAY: time::Duration = time::Duration::from_millis(2);
/// Bytes that a link carries at a time, so that transfers share it.
const PART_BYTES: usize = 16_000;
/// How far ahead of a slow link a fast one may send.
const WINDOW: time::Duration = time::Duration::from_millis(50);
/// Newest records are read in base64.
const BASE64: f64 = 4.0 / 3.0;

/// A link, or whatever carries one thing after the other.
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

    /// When `bytes` that are there at `from` have been carried.
    fn carry(&self, bytes: usize, from: Instant) -> Instant {
        let begins = self.free_at.get().max(from);
        let ends = begins + time::Duration::from_secs_f64(bytes as f64 / self.rate);
        self.free_at.set(ends);
        ends
    }
}

/// Carries `bytes` over both links, beside all else that they carry.
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

/// The store of all VMs.
#[derive(Debug)]
pub struct HerdStore {
    pub entries: Vec<update::ServerUpdate>,
    output: SharedLink,
    call_time: time::Duration,
    /// It answers from then on.
    up_at: Instant,
    pub calls: cell::Cell<usize>,
    /// Bytes of documents that it sent.
    pub document_bytes: cell::Cell<usize>,
    /// The newest document; its position is its version.
    document: cell::RefCell<(u64, Bytes)>,
}

impl HerdStore {
    /// One with a first document, which answers a short call after `call_time`, and none before `up_at`.
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

/// The store as one VM reaches it.
#[derive(Debug)]
pub struct VmStore {
    store: rc::Rc<HerdStore>,
    link: rc::Rc<SharedLink>,
    meter: transfer::TransferMeter,
}

impl VmStore {
    pub fn new(store: rc::Rc<HerdStore>, link: rc::Rc<SharedLink>) -> Self {
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
            silence: ANSWER_SILENCE,
            whole: ANSWER_MOST,
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
        self.call(bytes, CALL_WAIT, &self.meter).await?;
        Ok(follow::DocumentPage {
            document: Some(document),
            evacuations: Vec::<evacuation::EvacuationRecord>::new(),
            end: version,
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
            entries.partition_point(|news| news.id.as_str() <= after)
        });
        let page = &entries[first..entries.len().min(first + PAGE)];
        let meter = transfer::TransferMeter::default();
        self.call(page.len() * ENTRY_BYTES, PAGE_WAIT, &meter)
            .await?;
        clock::sleep(WORK_EACH * u32::try_from(page.len()).expect("small")).await;
        let more = first + page.len() < entries.len();
        Ok(follow::UpdatePage {
            updates: page.to_vec(),
            end: 1_000_000,
            next: page.last().filter(|_| more).map(|news| news.id.clone()),
        })
    }

    async fn read_updates(&self, from: u64) -> Result<follow::UpdatePage, follow::StoreError> {
        let meter = transfer::TransferMeter::default();
        self.call(16, CALL_WAIT, &meter).await?;
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
        from: u64,
        wait: time::Duration,
    ) -> Result<follow::DocumentPage, follow::StoreError> {
        self.call(16, CALL_WAIT, &self.meter).await?;
        let until = Instant::now() + wait;
        while self.store.version() <= from {
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

    async fn registered(&self) -> Result<Vec<net::SocketAddr>, follow::StoreError> {
        unreachable!("no VM looks for others in the store")
    }
}

/// One VM.
#[derive(Debug)]
pub struct HerdVm {
    pub plane: super::TestPlane,
    pub link: rc::Rc<SharedLink>,
    started: cell::Cell<bool>,
}

/// All VMs.
pub type VmHerd = rc::Rc<Vec<HerdVm>>;

impl HerdVm {
    /// A VM that knows nothing yet, with a link of `rate` bytes a second.
    pub fn new(number: usize, rate: f64) -> Self {
        let state = super::vm_state(number, DOMAINS);
        Self {
            plane: rc::Rc::new(plane::ExchangePlane::new(super::FakePort::default(), state)),
            link: rc::Rc::new(SharedLink::new(rate)),
            started: cell::Cell::new(false),
        }
    }

    /// It has run for a while, and knows all that there is.
    pub fn know_all(&self, store: &HerdStore, catalog: catalog::RouteCatalog) {
        let mut state = self.plane.state();
        for news in &store.entries {
            state.take_news(news.clone(), false, Instant::now());
        }
        state.take_catalog(catalog, store.document.borrow().1.clone());
        state.servers_whole = true;
    }
}

/// Other VMs as one of them reaches them.
struct HerdPeers {
    herd: VmHerd,
    own: usize,
}

impl catchup::PeerPort for HerdPeers {
    async fn request_state(
        &self,
        address: net::SocketAddr,
        request: &message::StateRequest,
        meter: &transfer::TransferMeter,
    ) -> io::Result<message::StateReply> {
        let asked = &self.herd[super::vm_number(address)];
        clock::sleep(LINK_DELAY).await;
        let answer = asked
            .started
            .get()
            .then(|| catchup::answer(&asked.plane, request));
        let Some((reply, _guard)) = answer.flatten() else {
            return Err(io::ErrorKind::ResourceBusy.into());
        };
        let work = WORK_EACH * u32::try_from(reply.updates.len()).expect("small");
        clock::sleep(work).await;
        let links = (&*asked.link, &*self.herd[self.own].link);
        carry(reply.encoded_len(), links, meter).await;
        clock::sleep(work).await;
        Ok(reply)
    }
}

/// Time between two looks whether there is something that all should hear at once.
const SPREAD_LOOK: time::Duration = time::Duration::from_millis(25);

/// Tells others that this VM is there: all of them at first and of each configuration that it reads for
/// all, else as many as the product tells.
async fn introduce(herd: VmHerd, own: usize) {
    clock::sleep(SILENT_SPAN).await;
    herd[own].started.set(true);
    let mut turn = 0;
    let mut told_version = None;
    let mut due = Instant::now();
    loop {
        let (told, audience, gap) = {
            let mut state = herd[own].plane.state();
            let now = Instant::now();
            let version = state.version();
            let spread = told_version.is_none() || state.reads_store(now);
            let news = told_version.replace(version) != Some(version);
            let audience = if spread && news {
                (0..herd.len()).filter(|number| *number != own).collect()
            } else if now < due {
                Vec::new()
            } else {
                turn += 1;
                let regular = recipients::regular(&state.peers, turn - 1, now);
                regular.into_iter().map(super::vm_number).collect()
            };
            let told = announce::introduction(&mut state);
            (told, audience, state.peers.announce_interval())
        };
        if !audience.is_empty() {
            due = Instant::now() + gap;
        }
        for number in audience {
            let there = &herd[number];
            if !there.started.get() {
                continue;
            }
            // Who hears it for the first time answers.
            if link::take_datagram(&there.plane, &told).is_some() {
                let answer = announce::introduction(&mut there.plane.state());
                link::take_datagram(&herd[own].plane, &answer);
            }
        }
        let look = due.min(Instant::now() + SPREAD_LOOK);
        clock::sleep_until(look.max(Instant::now() + time::Duration::from_millis(1))).await;
    }
}

/// Runs one VM; never ends.
pub async fn run_vm(
    herd: VmHerd,
    store: rc::Rc<HerdStore>,
    number: usize,
    decode: follow::DocumentDecoder,
) {
    let vm = &herd[number];
    let store = rc::Rc::new(VmStore::new(store, vm.link.clone()));
    let peers = HerdPeers {
        herd: herd.clone(),
        own: number,
    };
    tokio::join!(
        follow::follow_catalog(vm.plane.clone(), store.clone(), decode),
        listing::follow_servers(vm.plane.clone(), store),
        catchup::catch_up(vm.plane.clone(), peers, decode),
        introduce(herd.clone(), number),
    );
}
