//! Runs the leases of one entry daemon: reads the stream, takes and renews leases, issues permits.

use std::{collections, sync};

use base::{id, ops};
use ledger::client::LogClient;
use ledger::{appender, driver as ledger_driver};
use tokio::{sync as tokio_sync, task, time};

use crate::{choice, fold, holder, limits};

/// Hints about live VMs and servers that the daemon passes to the driver; they may be late or
/// wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseHints {
    /// Entry VMs that are live and not leaving.
    pub live: Vec<choice::RegionMember>,
    /// Subjects of leases: model engines, which receive orders, and models
    /// ([`crate::placement::model_subject`]), each with the region whose VM places the model. All
    /// engines that may serve a model are in the model's region.
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

/// The leases of one entry daemon. Dropping the driver stops its tasks and lets its leases lapse.
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
    /// Starts reading the stream `leases` on behalf of `vm`.
    ///
    /// # Errors
    /// Returns an error if the limits contradict one another.
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
            holder: sync::Mutex::new(holder::LeaseHolder::new(new_holder_id(vm), limits)),
            limits,
        });
        let hints = tokio_sync::watch::Sender::new(LeaseHints::default());
        let maintenance =
            maintain_leases(sync::Arc::clone(&shared), vm.to_owned(), hints.subscribe());
        let task = tokio::spawn(maintenance).abort_handle();
        Ok(Self {
            shared,
            hints,
            task,
        })
    }

    /// Replaces the hints; hints equal to the current ones have no effect.
    pub fn update_hints(&self, hints: LeaseHints) {
        self.hints.send_if_modified(|known| {
            let changed = *known != hints;
            *known = hints;
            changed
        });
    }

    /// Returns a permit to send orders to `server`. Request a new permit for each order.
    ///
    /// # Errors
    /// Returns an error if this VM may not send orders to `server`.
    pub fn permit(&self, server: &str) -> Result<holder::OrderPermit, holder::PermitError> {
        let mut holder = self.shared.lock();
        self.shared.stream.view(|state| holder.observe(&state.fold));
        holder.permit(server, time::Instant::now())
    }

    /// Drops the lease of an order that ended with [`crate::order::OrderOutcome::Lost`].
    pub fn mark_lost(&self, permit: &holder::OrderPermit) {
        self.shared
            .lock()
            .mark_lost(permit.subject(), permit.fencing());
    }

    /// Returns all leases as of this VM's last read of the stream.
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

fn new_holder_id(vm: &str) -> fold::HolderId {
    fold::HolderId {
        vm: vm.to_owned(),
        incarnation: id::Incarnation::draw(&mut rand::rng()),
    }
}

async fn maintain_leases<C: LogClient>(
    shared: sync::Arc<SharedDriver<C>>,
    vm: String,
    mut hints: tokio_sync::watch::Receiver<LeaseHints>,
) {
    let interval = time::Duration::from_millis(shared.limits.renew_ms);
    let mut known_restarts = 0;
    loop {
        let known = hints.borrow_and_update().clone();
        let found = restarts(&shared);
        if found != known_restarts {
            // The leases of this incarnation may have changed hands in the records that were
            // dropped unread.
            known_restarts = found;
            *shared.lock() = holder::LeaseHolder::new(new_holder_id(&vm), shared.limits);
            log::warn!(restarts = found; "records were dropped unread; taking leases under a new incarnation");
        }
        request_leases(&shared, &vm, &known).await;
        tokio::select! {
            () = time::sleep(interval) => {}
            changed = hints.changed() => {
                if changed.is_err() {
                    return;
                }
                // Hints arrive in bursts; the pause lets one record cover a whole burst.
                time::sleep(HINT_DEBOUNCE).await;
            }
        }
    }
}

fn restarts<C: LogClient>(shared: &SharedDriver<C>) -> u64 {
    shared.stream.view(|state| state.fold.restarts())
}

/// Delay after a changed hint during which further changes are collected into the same record.
const HINT_DEBOUNCE: time::Duration = time::Duration::from_millis(200);

async fn request_leases<C: LogClient>(shared: &SharedDriver<C>, vm: &str, hints: &LeaseHints) {
    let requested_at = time::Instant::now();
    let deadline = requested_at + time::Duration::from_millis(shared.limits.renew_ms);
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
    // `requested_at` precedes the append. If the answer to the append is lost, only this round
    // is wasted: the fold shows the next round whether the record took effect.
    match shared.stream.submit(record, &entry, seen, deadline).await {
        // The fold was reset meanwhile, so its verdict ignores records that it has not read.
        Ok(_) if restarts(shared) != before => {}
        Ok(verdict) => {
            let read_at = time::Instant::now();
            shared
                .lock()
                .apply_verdict(&item, &verdict, requested_at, read_at);
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
            holder.begin_request(item);
        }
        (item, state.position)
    })
}
