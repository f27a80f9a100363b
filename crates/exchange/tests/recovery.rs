//! Many VMs start in one second and know nothing: how long until each has what it needs, and what they
//! ask of the store meanwhile.

mod world;

use std::{cell, io, net, rc, time};

use bytes::Bytes;
use exchange::{
    audience, catchup, evacuation, follow, link, listing, message, news, plane, speak, state,
    system,
};
use prost::Message as _;
use tokio::time::{self as clock, Instant};

/// Failure domains.
const DOMAINS: usize = 5;
/// Servers for each VM.
const SERVERS_EACH: usize = 10;
/// Entries in one page of the store.
const PAGE: usize = 500;
/// Bytes of an entry in a page, and of the operator's document.
const ENTRY_BYTES: usize = 450;
const DOCUMENT_BYTES: usize = 24_000;
/// Rate at which the store answers all together, and of the link of a VM, in bytes a second.
const STORE_RATE: f64 = 80e6;
const LINK_RATE: f64 = 2.5e6;
/// Time of a call at the store, and after which it is given up: that of a short one, and of a page.
const STORE_TIME: time::Duration = time::Duration::from_millis(4);
const CALL_WAIT: time::Duration = time::Duration::from_millis(1_000);
const PAGE_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// Time that a VM with an eighth of a core works on one server of a list, to send it or to take it.
const WORK_EACH: time::Duration = time::Duration::from_micros(10);
/// Span in which the VMs start, and from a VM's start until it speaks.
const START_SPAN: time::Duration = time::Duration::from_millis(1_000);
const SILENT_SPAN: time::Duration = time::Duration::from_millis(100);
/// Time in which each VM serves again after the loss of all, and in which it knows all servers, which is
/// half of what the users allow.
const SERVES_WITHIN: time::Duration = time::Duration::from_millis(3_000);
const KNOWS_WITHIN: time::Duration = time::Duration::from_millis(7_500);

/// A link, or whatever carries one thing after the other.
#[derive(Debug)]
struct SharedLink {
    rate: f64,
    free_at: cell::Cell<Instant>,
}

impl SharedLink {
    fn new(rate: f64) -> Self {
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

/// The store of all VMs.
#[derive(Debug)]
struct HerdStore {
    entries: Vec<news::ServerNews>,
    output: SharedLink,
    call_time: time::Duration,
    /// It answers from then on.
    up_at: Instant,
    calls: cell::Cell<usize>,
}

/// The store as one VM reaches it.
#[derive(Debug)]
struct VmStore {
    store: rc::Rc<HerdStore>,
    link: rc::Rc<SharedLink>,
}

impl VmStore {
    async fn call(&self, bytes: usize, wait: time::Duration) -> Result<(), follow::StoreFault> {
        let store = &self.store;
        store.calls.set(store.calls.get() + 1);
        let now = Instant::now();
        if now < store.up_at {
            clock::sleep(store.call_time).await;
            return Err(follow::StoreFault::Away);
        }
        let sent = store.output.carry(bytes, now + store.call_time);
        let here = self.link.carry(bytes, sent);
        clock::sleep_until(here.min(now + wait)).await;
        if here > now + wait {
            return Err(follow::StoreFault::Away);
        }
        Ok(())
    }
}

impl follow::StorePort for VmStore {
    async fn read_servers(
        &self,
        after: Option<&str>,
    ) -> Result<follow::NewsPage, follow::StoreFault> {
        let entries = &self.store.entries;
        let first = after.map_or(0, |after| {
            entries.partition_point(|news| news.id.as_str() <= after)
        });
        let page = &entries[first..entries.len().min(first + PAGE)];
        self.call(page.len() * ENTRY_BYTES, PAGE_WAIT).await?;
        clock::sleep(WORK_EACH * u32::try_from(page.len()).expect("small")).await;
        let more = first + page.len() < entries.len();
        Ok(follow::NewsPage {
            news: page.to_vec(),
            end: 1_000_000,
            next: page.last().filter(|_| more).map(|news| news.id.clone()),
        })
    }

    async fn read_news(&self, from: u64) -> Result<follow::NewsPage, follow::StoreFault> {
        self.call(16, CALL_WAIT).await?;
        Ok(follow::NewsPage {
            end: from,
            ..follow::NewsPage::default()
        })
    }

    async fn read_document(&self) -> Result<follow::DocumentPage, follow::StoreFault> {
        self.call(DOCUMENT_BYTES, CALL_WAIT).await?;
        Ok(follow::DocumentPage {
            document: Some(Bytes::from_static(b"1")),
            evacuations: Vec::<evacuation::EvacuationRecord>::new(),
            end: 1,
        })
    }

    async fn wait_document(
        &self,
        from: u64,
        wait: time::Duration,
    ) -> Result<follow::DocumentPage, follow::StoreFault> {
        self.call(16, CALL_WAIT).await?;
        clock::sleep(wait).await;
        Ok(follow::DocumentPage {
            end: from,
            ..follow::DocumentPage::default()
        })
    }

    async fn system(
        &self,
        _proposed: system::SystemId,
    ) -> Result<system::SystemId, follow::StoreFault> {
        unreachable!("each VM knows it")
    }

    async fn register(
        &self,
        _name: &str,
        _address: net::SocketAddr,
    ) -> Result<(), follow::StoreFault> {
        unreachable!("no VM looks for others in the store")
    }

    async fn registered(&self) -> Result<Vec<net::SocketAddr>, follow::StoreFault> {
        unreachable!("no VM looks for others in the store")
    }
}

/// One VM.
#[derive(Debug)]
struct HerdVm {
    plane: world::TestPlane,
    link: rc::Rc<SharedLink>,
    started: cell::Cell<bool>,
}

/// All VMs.
type VmHerd = rc::Rc<Vec<HerdVm>>;

/// Other VMs as one of them reaches them.
struct HerdPeers {
    herd: VmHerd,
    own: usize,
}

impl catchup::PeerPort for HerdPeers {
    async fn ask_state(
        &self,
        address: net::SocketAddr,
        ask: &message::StateAsk,
    ) -> io::Result<message::StateReply> {
        let asked = &self.herd[number_of(address)];
        clock::sleep(time::Duration::from_millis(2)).await;
        let answer = asked
            .started
            .get()
            .then(|| catchup::answer(&asked.plane, ask));
        let Some((reply, _guard)) = answer.flatten() else {
            return Err(io::ErrorKind::ResourceBusy.into());
        };
        let work = WORK_EACH * u32::try_from(reply.news.len()).expect("small");
        let bytes = reply.encoded_len();
        let sent = asked.link.carry(bytes, Instant::now() + work);
        let here = self.herd[self.own].link.carry(bytes, sent);
        clock::sleep_until(here + work).await;
        Ok(reply)
    }
}

fn address(number: usize) -> net::SocketAddr {
    let [high, low] = u16::try_from(number).expect("small").to_be_bytes();
    net::SocketAddr::from(([10, 1, high, low], 81))
}

fn number_of(address: net::SocketAddr) -> usize {
    let net::IpAddr::V4(ip) = address.ip() else {
        unreachable!("all are V4");
    };
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn decode(_: &[u8]) -> Result<exchange::catalog::RouteCatalog, String> {
    Ok(world::catalog(1))
}

fn vm(number: usize) -> HerdVm {
    let settings = state::PlaneSettings {
        name: format!("vm-{number:04}"),
        domain: format!("d-{}", number % DOMAINS),
        link_address: address(number),
        ..world::settings("")
    };
    let rng = rand::SeedableRng::seed_from_u64(number as u64);
    let mut state = state::PlaneState::new(settings, rng);
    state.system = system::SystemBelief::Known(world::system_id(world::SYSTEM));
    HerdVm {
        plane: rc::Rc::new(plane::ExchangePlane::new(world::FakePort::default(), state)),
        link: rc::Rc::new(SharedLink::new(LINK_RATE)),
        started: cell::Cell::new(false),
    }
}

/// Tells others that this VM is there: all of them at first, then as many as the product tells.
async fn introduce(herd: VmHerd, own: usize) {
    clock::sleep(SILENT_SPAN).await;
    herd[own].started.set(true);
    let mut first = true;
    for turn in 0.. {
        let (told, audience, gap) = {
            let mut state = herd[own].plane.state();
            let now = Instant::now();
            let regular = audience::regular(&state.peers, turn, now);
            (
                speak::introduction(&mut state),
                regular,
                state.peers.speak_gap(),
            )
        };
        let audience: Vec<_> = if std::mem::take(&mut first) {
            (0..herd.len()).filter(|number| *number != own).collect()
        } else {
            audience.into_iter().map(number_of).collect()
        };
        for number in audience {
            let there = &herd[number];
            if !there.started.get() {
                continue;
            }
            // Who hears it for the first time answers.
            if link::take_datagram(&there.plane, &told).is_some() {
                let answer = speak::introduction(&mut there.plane.state());
                link::take_datagram(&herd[own].plane, &answer);
            }
        }
        clock::sleep(gap).await;
    }
}

/// Which VMs are lost, and how the store fares.
#[derive(Clone, Copy, Debug)]
struct HerdLoss {
    vms: usize,
    /// One in this many is lost.
    one_in: usize,
    store_time: time::Duration,
    store_down: time::Duration,
}

/// How long it took.
#[derive(Clone, Copy, Debug, Default)]
struct HerdRecovery {
    /// Until the last VM had a configuration and servers of each service.
    serves: time::Duration,
    /// Until the last one knew all servers.
    knows: time::Duration,
    /// Calls to the store by then, for each VM that was lost.
    calls_each: f64,
}

fn entries(servers: usize) -> Vec<news::ServerNews> {
    let entry = |number: usize| {
        let service = if number.is_multiple_of(7) {
            "app"
        } else {
            "llm"
        };
        let name = format!("i-{:08x}", number.wrapping_mul(0x9E37_79B9) & 0xFFFF_FFFF);
        let entry = world::entry(service, 9, &format!("d-{}", number % DOMAINS));
        world::news(&name, number as u64 + 1, Some(entry))
    };
    let mut entries: Vec<_> = (0..servers).map(entry).collect();
    entries.sort_by(|one, other| one.id.cmp(&other.id));
    entries
}

fn serves(state: &state::PlaneState) -> bool {
    let now = Instant::now();
    let has = |service| state.fleet.ready(service, now).next().is_some();
    state.version() > 0 && has("app") && has("llm")
}

/// One VM: it starts anew, or has run on and knows all.
async fn run_vm(herd: VmHerd, store: rc::Rc<HerdStore>, number: usize, loss: HerdLoss) {
    let vm = &herd[number];
    if number.is_multiple_of(loss.one_in) {
        let spread = vm.plane.state().draw();
        clock::sleep(START_SPAN.mul_f64(spread)).await;
    } else {
        let mut state = vm.plane.state();
        for news in &store.entries {
            state.take_news(news.clone(), false, Instant::now());
        }
        state.take_catalog(world::catalog(1), Bytes::from_static(b"1"));
        state.servers_whole = true;
    }
    let store = rc::Rc::new(VmStore {
        store,
        link: vm.link.clone(),
    });
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

async fn recover(loss: HerdLoss) -> HerdRecovery {
    let began = Instant::now();
    let entries = entries(loss.vms * SERVERS_EACH);
    let servers = entries.len();
    let herd: VmHerd = rc::Rc::new((0..loss.vms).map(vm).collect());
    let store = rc::Rc::new(HerdStore {
        entries,
        output: SharedLink::new(STORE_RATE),
        call_time: loss.store_time,
        up_at: began + loss.store_down,
        calls: cell::Cell::new(0),
    });
    let tasks: Vec<_> = (0..loss.vms)
        .map(|number| tokio::task::spawn_local(run_vm(herd.clone(), store.clone(), number, loss)))
        .collect();
    let mut recovery = HerdRecovery::default();
    let lost = loss.vms.div_ceil(loss.one_in) as f64;
    while recovery.knows.is_zero() && began.elapsed() < time::Duration::from_secs(20) {
        clock::sleep(time::Duration::from_millis(20)).await;
        let all = |holds: &dyn Fn(&state::PlaneState) -> bool| {
            herd.iter().all(|vm| holds(&vm.plane.state()))
        };
        if recovery.serves.is_zero() && all(&serves) {
            recovery.serves = began.elapsed();
        }
        if all(&|state| state.servers_whole && state.fleet.servers().count() == servers) {
            recovery.knows = began.elapsed();
            recovery.calls_each = store.calls.get() as f64 / lost;
        }
    }
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    recovery
}

/// Plays a loss and checks how long it took.
fn check(loss: HerdLoss) -> HerdRecovery {
    let mut recovery = HerdRecovery::default();
    world::run(async { recovery = recover(loss).await });
    println!("{loss:?}: {recovery:?}");
    let from = loss.store_down;
    assert!(!recovery.serves.is_zero() && recovery.serves <= from + SERVES_WITHIN);
    assert!(!recovery.knows.is_zero() && recovery.knows <= from + KNOWS_WITHIN);
    recovery
}

const ALL_LOST: HerdLoss = HerdLoss {
    vms: 0,
    one_in: 1,
    store_time: STORE_TIME,
    store_down: time::Duration::ZERO,
};

#[test]
fn all_vms_serve_again_soon_after_all_were_lost() {
    // Guards against hundreds of VMs that each read the whole list of servers at once, time out and
    // begin anew.
    let small = check(HerdLoss {
        vms: 30,
        ..ALL_LOST
    });
    for vms in [100, 300, 414] {
        let recovery = check(HerdLoss { vms, ..ALL_LOST });
        // Calls of all VMs grow no faster than their number, time no faster either.
        assert!(recovery.calls_each <= small.calls_each * 1.1);
        assert!(recovery.serves <= small.serves * u32::try_from(vms / 30).expect("small"));
    }
}

#[test]
fn all_vms_serve_again_soon_beside_a_slow_store() {
    // Guards against a recovery that rests on many calls one after the other.
    let store_time = time::Duration::from_millis(240);
    check(HerdLoss {
        vms: 300,
        store_time,
        ..ALL_LOST
    });
}

#[test]
fn all_vms_serve_again_soon_after_the_store_is_back() {
    // Guards against VMs that call a store which is down so often that its return is not noticed.
    let store_down = time::Duration::from_secs(5);
    check(HerdLoss {
        vms: 300,
        store_down,
        ..ALL_LOST
    });
}

#[test]
fn half_of_the_vms_learn_from_the_others() {
    // Guards against VMs that are asked for more long lists than their links carry.
    check(HerdLoss {
        vms: 300,
        one_in: 2,
        ..ALL_LOST
    });
}
