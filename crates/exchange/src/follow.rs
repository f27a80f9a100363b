//! Follows the operator's records in the store. A few VMs wait for changes and announce a new
//! version to the others, which then fetch it.

use std::{net, rc};

use bytes::Bytes;
use carry::transfer;
use snafu::Snafu;
use tokio::time;

use crate::{catalog, evacuation, plane, position, state, system, update};

/// Time for the store to respond, in addition to the wait that a call requests. It takes 4 ms, or 240 ms
/// when it is slow.
pub const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time for one call to a slow store, and for the transfer of its response.
const READ_TIME: time::Duration = time::Duration::from_millis(300);
/// Bounds of the wait for a change of the configuration in one call: a long one costs fewer calls.
const MIN_CATALOG_WAIT: time::Duration = time::Duration::from_millis(300);
const MAX_CATALOG_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// Interval between two checks whether other VMs have a newer configuration.
const BEHIND_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Time for other VMs to deliver a configuration before a VM that does not read the store for all
/// reads it there, and the random time added so that not all VMs do so at once.
const PEERS_GRACE: time::Duration = time::Duration::from_millis(1_200);
const PEERS_GRACE_JITTER: time::Duration = time::Duration::from_millis(600);
/// Grace period for other VMs where this VM has not requested the configuration from another VM.
const PEERS_GRACE_UNREQUESTED: time::Duration = time::Duration::from_millis(150);
/// Minimum interval between two reads of the configuration by a VM that does not read for all.
/// Without it, in a burst of changes, one every 165 ms, 68 such VMs read each version: 3,629 calls
/// a day at 74 VMs. Callers must see a change within 2 s.
const MIN_CATALOG_READ_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Minimum interval between two calls while the store does not answer: within the first second after it
/// is back, each VM is served.
const STORE_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// How long a call may wait for a change, so that a VM whose call went silent knows of the change within
/// `contact`: the call is given up, the interval to the next call passes, and that one reads the change.
#[must_use]
pub fn catalog_wait(contact: time::Duration) -> time::Duration {
    let rest = RESPONSE_TIMEOUT + STORE_RETRY_INTERVAL + READ_TIME;
    let wait = contact.saturating_sub(rest);
    wait.clamp(MIN_CATALOG_WAIT, MAX_CATALOG_WAIT)
}

/// Waits until the next call is due after one at `called_at` that the store did not answer. A call that
/// went silent has taken longer already.
pub(crate) async fn pause_after_failure(called_at: time::Instant) {
    time::sleep_until(called_at + STORE_RETRY_INTERVAL).await;
}

/// Reason why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store can't be reached, is slow or rejects this VM.
    #[snafu(display("the store did not answer"))]
    Unavailable,
    /// The requested records were trimmed; read the newest ones instead.
    #[snafu(display("the store no longer has these records"))]
    Trimmed,
}

/// Server updates up to one position in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdatePage {
    /// Records, oldest first.
    pub updates: Vec<update::ServerUpdate>,
    /// Position from which to continue reading.
    pub end: position::StorePosition,
    /// Name after which the list continues; `None` on its last page.
    pub next: Option<String>,
}

/// The operator's document and evacuations up to one position in the store.
#[derive(Clone, Debug, Default)]
pub struct DocumentPage {
    /// The newest document, if there is one.
    pub document: Option<Bytes>,
    /// The operator's evacuation records, oldest first.
    pub evacuations: Vec<evacuation::EvacuationRecord>,
    /// Position from which to continue reading.
    pub end: position::StorePosition,
}

/// Saved crashes up to one position in the store.
#[derive(Clone, Debug, Default)]
pub struct CrashPage {
    /// Records, oldest first.
    pub records: Vec<Bytes>,
    /// Position from which to continue reading.
    pub end: position::StorePosition,
}

/// The parts of the platform's store that this plane needs.
pub trait StorePort {
    /// Reads a page of the current server entries, by name: the first page, or the one after a
    /// name.
    fn read_servers(
        &self,
        after: Option<&str>,
    ) -> impl Future<Output = Result<UpdatePage, StoreError>>;

    /// Reads the server updates since `from`.
    fn read_updates(
        &self,
        from: position::StorePosition,
    ) -> impl Future<Output = Result<UpdatePage, StoreError>>;

    /// Reads the newest document.
    fn read_document(&self) -> impl Future<Output = Result<DocumentPage, StoreError>>;

    /// Waits for a document at or after position `from`.
    fn wait_document(
        &self,
        from: position::StorePosition,
        wait: time::Duration,
    ) -> impl Future<Output = Result<DocumentPage, StoreError>>;

    /// Meter of the document transfer in progress.
    fn document_meter(&self) -> transfer::TransferMeter;

    /// Returns the system that the store belongs to, which becomes `proposed` if none was stored
    /// yet. All callers get the same one.
    fn system(
        &self,
        proposed: system::SystemId,
    ) -> impl Future<Output = Result<system::SystemId, StoreError>>;

    /// Stores the address at which other VMs reach this one.
    fn register(
        &self,
        name: &str,
        address: net::SocketAddr,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Saves crashes, in place of what was saved before.
    fn save_crashes(&self, record: Bytes) -> impl Future<Output = Result<(), StoreError>>;

    /// The crashes that were saved last.
    fn saved_crashes(&self) -> impl Future<Output = Result<CrashPage, StoreError>>;

    /// Waits for crashes that are saved at or after position `from`.
    fn wait_crashes(
        &self,
        from: position::StorePosition,
        wait: time::Duration,
    ) -> impl Future<Output = Result<CrashPage, StoreError>>;

    /// Addresses of the VMs that are registered in the store.
    fn registered(&self) -> impl Future<Output = Result<Vec<net::SocketAddr>, StoreError>>;
}

/// Time for VMs to find each other through the addresses in their settings.
const DISCOVERY_DELAY: time::Duration = time::Duration::from_millis(2_500);
/// Maximum random delay before VMs whose settings name no others look for them in the store. VMs
/// that are found meanwhile need not look. VMs that all restart at once know nothing of each
/// other's streams until they find each other.
const MAX_DISCOVERY_JITTER: time::Duration = time::Duration::from_millis(300);
/// Interval between two checks whether this VM must be registered in the store.
const DISCOVERY_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Pause before another attempt to register.
const REGISTER_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(700);

/// Registers this VM in the store and reads the addresses of the others there, while this VM is one
/// of those that read the store for all, and again after each restore, which may have lost the
/// addresses. While enough other VMs are registered, it need not be. Never ends.
pub async fn discover_peers<P, S: StorePort>(
    plane: rc::Rc<plane::ExchangePlane<P>>,
    store: rc::Rc<S>,
) {
    let (name, own, discovery_delay) = {
        let mut state = plane.state();
        let no_seeds = state.settings.seeds.is_empty();
        let jitter = MAX_DISCOVERY_JITTER.mul_f64(state.draw());
        let discovery_delay = if no_seeds { jitter } else { DISCOVERY_DELAY };
        let settings = &state.settings;
        (
            settings.name.clone(),
            settings.link_address,
            discovery_delay,
        )
    };
    time::sleep(discovery_delay).await;
    let mut registered_after = None;
    loop {
        let restores = plane.state().restores();
        let reader = plane.state().reads_store(time::Instant::now());
        if registered_after == Some(restores) || !reader {
            time::sleep(DISCOVERY_CHECK_INTERVAL).await;
            continue;
        }
        if store.register(&name, own).await.is_ok()
            && let Ok(addresses) = store.registered().await
        {
            let mut state = plane.state();
            for address in addresses.into_iter().filter(|address| *address != own) {
                state.peers.add_address(address);
            }
            registered_after = Some(restores);
        } else {
            time::sleep(REGISTER_RETRY_INTERVAL).await;
        }
    }
}

/// Value of `source` in log lines for data from the store.
pub(crate) const SOURCE_STORE: &str = "store";

/// Decodes the operator's document.
pub type DocumentDecoder = fn(&[u8]) -> Result<catalog::RouteCatalog, String>;

/// Puts a document in force if it is newer, whichever source it came from.
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
                announce_version(plane, source);
            }
        }
        Err(error) => {
            metrics::counter!("pollenchute_exchange_documents_refused_total").increment(1);
            log::warn!(source:% = source, fault:% = error; "document not understood, the one in force stays");
        }
    }
}

/// Applies the set of evacuated failure domains, whichever source it came from.
pub fn apply_evacuations<P>(
    plane: &plane::ExchangePlane<P>,
    evacuations: evacuation::EvacuationSet,
    source: &str,
) {
    let now = time::Instant::now();
    let position = evacuations.position;
    if !plane.state().apply_evacuations(evacuations, now) {
        return;
    }
    let domains = plane.state().fleet.evacuations().all();
    log::info!(
        domains:? = domains, position = position.offset, era = position.era, source:% = source;
        "evacuated failure domains"
    );
    plane.wake_decisions();
    announce_version(plane, source);
}

/// Announces a new configuration to all VMs at once, if this VM reads the store for all and found
/// it there. If each VM that receives it announced it, the number of datagrams would grow with the
/// square of the number of VMs.
fn announce_version<P>(plane: &plane::ExchangePlane<P>, source: &str) {
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
    plane.state().from_store = store.document_meter();
    let mut cursor = None;
    let mut read_at = None::<time::Instant>;
    let mut grace = PeerGrace::draw(plane.state().draw());
    loop {
        let first = cursor.is_none() && plane.state().version() == 0;
        let reader = first || plane.state().reads_store(time::Instant::now());
        let pausing = read_at.is_some_and(|at| at.elapsed() < MIN_CATALOG_READ_INTERVAL)
            || plane.state().from_peers.is_moving();
        let now = time::Instant::now();
        if !reader && (pausing || !grace.is_over(&plane.state(), now)) {
            time::sleep(BEHIND_CHECK_INTERVAL).await;
            continue;
        }
        let called_at = time::Instant::now();
        read_at = Some(called_at);
        grace = PeerGrace::draw(plane.state().draw());
        let complete = !reader || cursor.is_none();
        let wait = catalog_wait(plane.state().settings.contact);
        let page = match cursor {
            Some(from) if !complete => store.wait_document(from, wait).await,
            _ => store.read_document().await,
        };
        match page {
            Ok(page) => {
                let now = time::Instant::now();
                plane.state().note_era(page.end.era, SOURCE_STORE, now);
                let followed = cursor.filter(|_| !complete);
                if followed.is_some_and(|from: position::StorePosition| from.era != page.end.era) {
                    // Offsets of another era name other records: all are read.
                    cursor = None;
                    continue;
                }
                cursor = Some(page.end);
                let evacuations = if complete {
                    evacuation::EvacuationSet::of_all(&page.evacuations, page.end)
                } else {
                    let known = plane.state().fleet.evacuations().clone();
                    known.followed_by(&page.evacuations, page.end)
                };
                apply_evacuations(&plane, evacuations, SOURCE_STORE);
                if let Some(document) = page.document {
                    take_document(&plane, decode, document, SOURCE_STORE);
                }
            }
            Err(StoreError::Trimmed) => cursor = None,
            Err(StoreError::Unavailable) => pause_after_failure(called_at).await,
        }
        if !reader {
            cursor = None;
        }
    }
}

/// Time to wait for other VMs to deliver a configuration.
#[derive(Debug)]
struct PeerGrace {
    duration: time::Duration,
    /// Time since which another VM has a newer configuration.
    behind_since: Option<time::Instant>,
}

impl PeerGrace {
    fn draw(draw: f64) -> Self {
        Self {
            duration: PEERS_GRACE + PEERS_GRACE_JITTER.mul_f64(draw),
            behind_since: None,
        }
    }

    /// Whether the wait is over: others had time to deliver the configuration, or it was not
    /// requested from any of them.
    fn is_over(&mut self, state: &state::PlaneState, now: time::Instant) -> bool {
        if !is_behind(state, now) {
            self.behind_since = None;
            return false;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let waited = now.saturating_duration_since(behind_since);
        let requested = state
            .peers_requested_at
            .is_some_and(|at| at >= behind_since);
        waited
            >= if requested {
                self.duration
            } else {
                PEERS_GRACE_UNREQUESTED
            }
    }
}

/// Whether another VM has a newer configuration.
fn is_behind(state: &state::PlaneState, now: time::Instant) -> bool {
    let version = state.version();
    state
        .peers
        .all()
        .any(|(_, peer)| peer.is_alive(now) && peer.catalog_version > version)
}
