//! Runs the leases of one entry daemon: reads the stream, takes and renews, hands out permits.

use std::{collections, sync};

use base::{id, ops};
use ledger::client::LogClient;
use ledger::{appender, driver as ledger_driver};
use tokio::{sync as tokio_sync, task, time};

use crate::{choice, fold, holder, limits};

/// What the daemon tells the driver: hints, which may be late or wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseHints {
    /// Entry VMs that are live and not leaving.
    pub live: Vec<choice::RegionMember>,
    /// Model engines, which orders go to, and models ([`crate::placement::model_subject`]), each
    /// with the region whose VM places it; all engines that may serve a model share its region.
    pub servers: Vec<choice::RegionMember>,
}

type LeaseStream<C> = ledger_driver::FoldDriver<C, fold::LeaseFold>;

struct SharedDriver<C: LogClient> {
    stream: LeaseStream<C>,
    holder: sync::Mutex<holder::LeaseHolder>,
    limits: limits::LeaseLimits,
}

impl<C: LogClient> SharedDriver<C> {
    fn lock(&self) -> sync::MutexGuard<'_, holder::LeaseHolder> {
        self.holder
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The leases of one entry daemon. Its tasks end with it, and its leases lapse.
pub struct LeaseDriver<C: LogClient> {
    shared: sync::Arc<SharedDriver<C>>,
    hints: tokio_sync::watch::Sender<LeaseHints>,
    task: task::AbortHandle,
}

impl<C: LogClient> Drop for LeaseDriver<C> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<C: LogClient> LeaseDriver<C> {
    /// Starts to read the stream `leases` on behalf of `vm`.
    ///
    /// # Errors
    /// When the limits contradict one another.
    pub fn start(
        client: C,
        vm: &str,
        limits: limits::LeaseLimits,
    ) -> Result<Self, limits::LimitsError> {
        limits.check()?;
        let leases = fold::LeaseFold::default();
        let appending = appender::AppendLimits::default();
        let stream = LeaseStream::start(client, fold::STREAM, vm, leases, appending);
        let shared = sync::Arc::new(SharedDriver {
            stream,
            holder: sync::Mutex::new(holder::LeaseHolder::new(new_life(vm), limits)),
            limits,
        });
        let hints = tokio_sync::watch::Sender::new(LeaseHints::default());
        let keeping = keep(sync::Arc::clone(&shared), vm.to_owned(), hints.subscribe());
        let task = tokio::spawn(keeping).abort_handle();
        Ok(Self {
            shared,
            hints,
            task,
        })
    }

    /// Tells what is live; the same again costs nothing.
    pub fn tell(&self, hints: LeaseHints) {
        self.hints.send_if_modified(|known| {
            let changed = *known != hints;
            *known = hints;
            changed
        });
    }

    /// Leave to give orders to `server`; ask again for each order.
    ///
    /// # Errors
    /// When this VM may not give them.
    pub fn permit(&self, server: &str) -> Result<holder::OrderPermit, holder::PermitFault> {
        let mut holder = self.shared.lock();
        self.shared.stream.view(|state| holder.observe(&state.fold));
        holder.permit(server, time::Instant::now())
    }

    /// An order ended with [`crate::order::OrderOutcome::Lost`].
    pub fn lost(&self, permit: &holder::OrderPermit) {
        self.shared.lock().lost(permit.subject(), permit.fencing());
    }

    /// All leases as this VM last read them.
    #[must_use]
    pub fn status(&self) -> Vec<ops::LeaseStatus> {
        let now = time::Instant::now();
        self.shared.stream.view(|state| {
            let log_ms = state.clock.map(|clock| clock.now_ms(now));
            let row = |(subject, lease): (&str, &fold::LeaseState)| {
                let left_ms = log_ms.map_or(0, |log_ms| lease.until_ms.saturating_sub(log_ms));
                let holder = lease.holder.as_ref().map(|holder| holder.vm.clone());
                ops::LeaseStatus {
                    subject: subject.to_owned(),
                    holder,
                    fencing: lease.fencing,
                    left_ms,
                }
            };
            state.fold.leases().map(row).collect()
        })
    }
}

fn new_life(vm: &str) -> fold::HolderId {
    fold::HolderId {
        vm: vm.to_owned(),
        incarnation: id::Incarnation::draw(&mut rand::rng()),
    }
}

async fn keep<C: LogClient>(
    shared: sync::Arc<SharedDriver<C>>,
    vm: String,
    mut hints: tokio_sync::watch::Receiver<LeaseHints>,
) {
    let period = time::Duration::from_millis(shared.limits.renew_ms);
    let mut known_restarts = 0;
    loop {
        let known = hints.borrow_and_update().clone();
        let found = restarts(&shared);
        if found != known_restarts {
            // Records were dropped unread: what this life held may have changed hands in them.
            known_restarts = found;
            *shared.lock() = holder::LeaseHolder::new(new_life(&vm), shared.limits);
            log::warn!(restarts = found; "leases are held anew: records were dropped unread");
        }
        ask(&shared, &vm, &known).await;
        tokio::select! {
            () = time::sleep(period) => {}
            changed = hints.changed() => {
                if changed.is_err() {
                    return;
                }
                // Hints come in bursts; one record serves them all.
                time::sleep(SETTLE_PAUSE).await;
            }
        }
    }
}

fn restarts<C: LogClient>(shared: &SharedDriver<C>) -> u64 {
    shared.stream.view(|state| state.fold.restarts())
}

/// Time in which further hints join one record.
const SETTLE_PAUSE: time::Duration = time::Duration::from_millis(200);

async fn ask<C: LogClient>(shared: &SharedDriver<C>, vm: &str, hints: &LeaseHints) {
    let asked = time::Instant::now();
    let deadline = asked + time::Duration::from_millis(shared.limits.renew_ms);
    if !shared.stream.wait_loaded(deadline).await {
        metrics::counter!("pollenchute_lease_unread_rounds_total").increment(1);
        return;
    }
    let count = shared.limits.holders_per_region;
    let assigned = choice::assigned(vm, &hints.live, &hints.servers, count);
    let before = restarts(shared);
    let (planned, seen) = plan(shared, &assigned);
    let Some(item) = planned else { return };
    let entry = fold::LeaseEntry::Hold(item.clone());
    let record = id::RecordId::draw(&mut rand::rng());
    // `asked` is before the append. An answer that is lost costs this round only: the fold shows
    // the next round what became of it.
    match shared.stream.submit(record, &entry, seen, deadline).await {
        // The fold that gave this verdict has missed what may have become of the leases.
        Ok(_) if restarts(shared) != before => {}
        Ok(verdict) => {
            let read = time::Instant::now();
            shared.lock().settled(&item, &verdict, asked, read);
            metrics::gauge!("pollenchute_lease_held_leases").set(verdict.held.len() as f64);
        }
        Err(_) => metrics::counter!("pollenchute_lease_unsettled_rounds_total").increment(1),
    }
}

fn plan<C: LogClient>(
    shared: &SharedDriver<C>,
    assigned: &collections::BTreeSet<String>,
) -> (Option<fold::HoldItem>, u64) {
    let now = time::Instant::now();
    let mut holder = shared.lock();
    shared.stream.view(|state| {
        holder.observe(&state.fold);
        let log_ms = state.clock.map(|clock| clock.now_ms(now));
        let item = holder.plan(assigned, &state.fold, log_ms);
        if let Some(item) = &item {
            holder.asking(item);
        }
        (item, state.position)
    })
}
