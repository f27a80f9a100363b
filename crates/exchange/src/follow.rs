//! Follows the operator's records in the store: few VMs wait for them and tell the others of a new
//! version, which they then read.

use std::{net, rc};

use bytes::Bytes;
use carry::transfer;
use snafu::Snafu;
use tokio::time;

use crate::{catalog, evacuation, news, plane, state, system};

/// How long one call waits for a configuration: short enough that a connection that went silent
/// costs less than the users' bound for a VM to be in touch again, 3 s.
const CATALOG_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// Time between two looks whether other VMs have a newer configuration.
const BEHIND_GAP: time::Duration = time::Duration::from_millis(60);
/// Time that other VMs have to bring a configuration before a VM that does not read for all asks the
/// store for it, and what is added at random, so that not all do so at once.
const PEERS_FIRST: time::Duration = time::Duration::from_millis(1_200);
const PEERS_FIRST_SPREAD: time::Duration = time::Duration::from_millis(600);
/// The same where no other VM is asked.
const PEERS_IDLE: time::Duration = time::Duration::from_millis(150);
/// Shortest time between two readings of the configuration by a VM that does not read for all. In a
/// storm of changes, one each 165 ms, 68 such VMs asked for each version: 3,629 calls a day at 74 VMs.
/// Callers are bound to see a change within 2 s.
const STORM_GAP: time::Duration = time::Duration::from_millis(500);
/// Time between two tries while the store is away: within its first second back each VM is served.
pub(crate) const AWAY_GAP: time::Duration = time::Duration::from_millis(400);

/// Why the store did not answer a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StoreFault {
    /// It can't be reached, is slow or turns this VM away.
    #[snafu(display("the store did not answer"))]
    Away,
    /// The records asked for are gone; read the newest ones instead.
    #[snafu(display("the store no longer has these records"))]
    Trimmed,
}

/// Server entries as of one position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewsPage {
    /// Records, oldest first.
    pub news: Vec<news::ServerNews>,
    /// Position from which to read on.
    pub end: u64,
    /// Name after which a list goes on; absent on its last page.
    pub next: Option<String>,
}

/// The operator's document and evacuations as of one position.
#[derive(Clone, Debug, Default)]
pub struct DocumentPage {
    /// The newest, if there is one.
    pub document: Option<Bytes>,
    /// What it says of failure domains, oldest first.
    pub evacuations: Vec<evacuation::EvacuationRecord>,
    /// Position from which to read on.
    pub end: u64,
}

/// The platform's store, as far as this plane needs it.
pub trait StorePort {
    /// A page of the entries that stand now, by name: the first, or the one after a name.
    fn read_servers(
        &self,
        after: Option<&str>,
    ) -> impl Future<Output = Result<NewsPage, StoreFault>>;

    /// What came since `from`.
    fn read_news(&self, from: u64) -> impl Future<Output = Result<NewsPage, StoreFault>>;

    /// The newest document.
    fn read_document(&self) -> impl Future<Output = Result<DocumentPage, StoreFault>>;

    /// Waits for a document at or behind `from`.
    fn wait_document(
        &self,
        from: u64,
        wait: time::Duration,
    ) -> impl Future<Output = Result<DocumentPage, StoreFault>>;

    /// What has come of the document that is being read.
    fn arriving(&self) -> transfer::TransferMeter;

    /// The system that the store belongs to: `proposed` if none was written down yet. All that ask
    /// get the same.
    fn system(
        &self,
        proposed: system::SystemId,
    ) -> impl Future<Output = Result<system::SystemId, StoreFault>>;

    /// Writes down where other VMs reach this one.
    fn register(
        &self,
        name: &str,
        address: net::SocketAddr,
    ) -> impl Future<Output = Result<(), StoreFault>>;

    /// Where VMs that wrote themselves down can be reached.
    fn registered(&self) -> impl Future<Output = Result<Vec<net::SocketAddr>, StoreFault>>;
}

/// Time for VMs to meet through the addresses in their settings.
const MEET_AFTER: time::Duration = time::Duration::from_millis(2_500);
/// Most time before VMs whose settings name no others look for them in the store, each at its own
/// moment: those that are found meanwhile need not. All VMs that come back at once know nothing of each
/// other's streams until they meet.
const MEET_SPREAD: time::Duration = time::Duration::from_millis(300);
/// Time between two looks whether this VM should be found in the store.
const MEET_LOOK: time::Duration = time::Duration::from_secs(1);
/// Pause before this VM tries again to write itself down.
const REGISTER_GAP: time::Duration = time::Duration::from_millis(700);

/// Writes this VM down in the store and learns of the others there, once it is one of those that
/// read the store for all: while enough others can be found there, it need not.
pub async fn meet<P, S: StorePort>(plane: rc::Rc<plane::ExchangePlane<P>>, store: rc::Rc<S>) {
    let (name, own, meet_after) = {
        let mut state = plane.state();
        let alone = state.settings.seeds.is_empty();
        let spread = MEET_SPREAD.mul_f64(state.draw());
        let meet_after = if alone { spread } else { MEET_AFTER };
        let settings = &state.settings;
        (settings.name.clone(), settings.link_address, meet_after)
    };
    time::sleep(meet_after).await;
    while !plane.state().reads_store(time::Instant::now()) {
        time::sleep(MEET_LOOK).await;
    }
    while store.register(&name, own).await.is_err() {
        time::sleep(REGISTER_GAP).await;
    }
    loop {
        if let Ok(addresses) = store.registered().await {
            let mut state = plane.state();
            for address in addresses.into_iter().filter(|address| *address != own) {
                state.peers.tell(address);
            }
            return;
        }
        time::sleep(REGISTER_GAP).await;
    }
}

/// Name in the log of what the store told.
pub(crate) const SOURCE_STORE: &str = "store";

/// Reads the operator's document.
pub type DocumentDecoder = fn(&[u8]) -> Result<catalog::RouteCatalog, String>;

/// Takes a document, from wherever it came.
pub fn take_document<P>(
    plane: &plane::ExchangePlane<P>,
    decode: DocumentDecoder,
    document: Bytes,
    source: &str,
) {
    match decode(&document) {
        Ok(catalog) => {
            let version = catalog.version;
            let taken = plane.state().take_catalog(catalog, document);
            if taken {
                log::info!(version, source:% = source; "configuration in force");
                plane.wake_decisions();
                tell_version(plane, source);
            }
        }
        Err(fault) => {
            metrics::counter!("pollenchute_exchange_documents_refused_total").increment(1);
            log::warn!(source:% = source, fault:% = fault; "document not understood, the one in force stays");
        }
    }
}

/// Takes which failure domains are evacuated, from wherever it came.
pub fn take_evacuations<P>(
    plane: &plane::ExchangePlane<P>,
    evacuations: evacuation::EvacuationSet,
    source: &str,
) {
    let now = time::Instant::now();
    let position = evacuations.position;
    if !plane.state().apply_evacuations(evacuations, now) {
        return;
    }
    let domains = plane.state().fleet.evacuations().domains.clone();
    log::info!(domains:? = domains, position, source:% = source; "evacuated failure domains");
    plane.wake_decisions();
    tell_version(plane, source);
}

/// Tells all others at once of a configuration that those who read the store for all have found.
/// Did each VM that takes it tell all, they would be as many datagrams as VMs squared.
fn tell_version<P>(plane: &plane::ExchangePlane<P>, source: &str) {
    let reader = plane.state().reads_store(time::Instant::now());
    if reader && source == SOURCE_STORE {
        plane.announce();
    }
}

/// Keeps the configuration up to date; never ends.
pub async fn follow_catalog<P, S: StorePort>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    store: rc::Rc<S>,
    decode: DocumentDecoder,
) {
    plane.state().from_store = store.arriving();
    let mut cursor = None;
    let mut read_at = None::<time::Instant>;
    let mut patience = PeerPatience::draw(plane.state().draw());
    loop {
        let first = cursor.is_none() && plane.state().version() == 0;
        let reader = first || plane.state().reads_store(time::Instant::now());
        let rests = read_at.is_some_and(|at| at.elapsed() < STORM_GAP)
            || plane.state().from_peers.is_moving();
        let now = time::Instant::now();
        if !reader && (rests || !patience.is_over(&plane.state(), now)) {
            time::sleep(BEHIND_GAP).await;
            continue;
        }
        read_at = Some(time::Instant::now());
        patience = PeerPatience::draw(plane.state().draw());
        let whole = !reader || cursor.is_none();
        let page = match cursor {
            Some(from) if !whole => store.wait_document(from, CATALOG_WAIT).await,
            _ => store.read_document().await,
        };
        match page {
            Ok(page) => {
                cursor = Some(page.end);
                let evacuations = if whole {
                    evacuation::EvacuationSet::of_all(&page.evacuations, page.end)
                } else {
                    let known = plane.state().fleet.evacuations().clone();
                    known.followed_by(&page.evacuations, page.end)
                };
                take_evacuations(&plane, evacuations, SOURCE_STORE);
                if let Some(document) = page.document {
                    take_document(&plane, decode, document, SOURCE_STORE);
                }
            }
            Err(StoreFault::Trimmed) => cursor = None,
            Err(StoreFault::Away) => time::sleep(AWAY_GAP).await,
        }
        if !reader {
            cursor = None;
        }
    }
}

/// How long other VMs are waited for.
#[derive(Debug)]
struct PeerPatience {
    span: time::Duration,
    /// Since when another VM has a newer configuration.
    behind_since: Option<time::Instant>,
}

impl PeerPatience {
    fn draw(draw: f64) -> Self {
        Self {
            span: PEERS_FIRST + PEERS_FIRST_SPREAD.mul_f64(draw),
            behind_since: None,
        }
    }

    /// Whether it is over: others had time to bring the configuration, or none of them is asked.
    fn is_over(&mut self, state: &state::PlaneState, now: time::Instant) -> bool {
        if !is_behind(state, now) {
            self.behind_since = None;
            return false;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let waited = now.saturating_duration_since(behind_since);
        let asked = state.peers_asked_at.is_some_and(|at| at >= behind_since);
        waited >= if asked { self.span } else { PEERS_IDLE }
    }
}

/// Whether another VM has a newer configuration.
fn is_behind(state: &state::PlaneState, now: time::Instant) -> bool {
    let version = state.version();
    state
        .peers
        .all()
        .any(|(_, peer)| peer.is_heard(now) && peer.catalog_version > version)
}
