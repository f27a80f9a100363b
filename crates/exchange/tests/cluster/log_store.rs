//! The platform's store for tests on the paused clock: logs that are trimmed, away for a while, or
//! come back from an older copy.

use std::{cell, collections, net, time};

use bytes::Bytes;
use carry::transfer;
use exchange::{evacuation, follow, position, system, update};
use tokio::time::{self as clock, Instant};

/// Duration of a call.
const STORE_TIME: time::Duration = time::Duration::from_millis(4);
/// Time for which VMs wait for an answer, in addition to the wait that a call requests.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

tokio::task_local! {
    /// Number of the VM whose calls a task makes.
    pub static CALLER: usize;
}

/// Record of the operator.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    Document(Bytes),
    /// A failure domain, and whether it is evacuated.
    Evacuation(String, bool),
}

/// Contents of the store at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreContents {
    servers: Vec<(String, Option<update::ServerEntry>)>,
    operator: Vec<OperatorRecord>,
    pub vms: collections::BTreeMap<String, net::SocketAddr>,
    pub system: Option<system::SystemId>,
    crashes: Vec<Bytes>,
}

/// The store that all VMs share.
#[derive(Debug, Default)]
pub struct LogStore {
    pub contents: cell::RefCell<StoreContents>,
    /// Era of the store; increases with each restore.
    pub era: cell::Cell<u64>,
    /// Whether no call is answered.
    pub away: cell::Cell<bool>,
    /// Whether no call gets a response, also after the store is back.
    pub silent: cell::Cell<bool>,
    /// VMs whose calls the store refuses while it answers others.
    pub turned_away: cell::RefCell<collections::BTreeSet<usize>>,
    /// Number of the oldest records of servers that are trimmed.
    trimmed: cell::Cell<u64>,
    /// Number of calls that read or wrote crashes.
    pub crash_calls: cell::Cell<u32>,
}

impl LogStore {
    /// Appends a record of a server; `None` removes its entry.
    pub fn append(&self, id: &str, entry: Option<update::ServerEntry>) {
        let mut contents = self.contents.borrow_mut();
        contents.servers.push((id.to_owned(), entry));
    }

    /// Appends a record of the operator.
    pub fn operate(&self, record: OperatorRecord) {
        self.contents.borrow_mut().operator.push(record);
    }

    /// All records of servers.
    pub fn records(&self) -> Vec<update::ServerUpdate> {
        let contents = self.contents.borrow();
        let records = contents.servers.iter().enumerate();
        let updates = records.map(|(offset, (id, entry))| update::ServerUpdate {
            id: id.clone(),
            position: self.position(offset),
            entry: entry.clone(),
        });
        updates.collect()
    }

    /// Trims all records of servers; the newest one of each name stays in the list.
    pub fn trim(&self) {
        self.trimmed
            .set(self.contents.borrow().servers.len() as u64);
    }

    /// Copies the store.
    pub fn copy(&self) -> StoreContents {
        self.contents.borrow().clone()
    }

    /// Replaces the store by an older copy.
    pub fn restore(&self, copy: StoreContents) {
        let servers = copy.servers.len() as u64;
        self.trimmed.set(self.trimmed.get().min(servers));
        *self.contents.borrow_mut() = copy;
        self.era.set(self.era.get() + 1);
    }

    fn position(&self, offset: usize) -> position::StorePosition {
        position::StorePosition::new(self.era.get(), offset as u64)
    }

    /// The time of a call, and whether it is answered.
    async fn call(&self) -> Result<(), follow::StoreError> {
        self.call_until(Instant::now() + RESPONSE_TIMEOUT).await
    }

    /// The same for a call that is given up at a time.
    async fn call_until(&self, given_up_at: Instant) -> Result<(), follow::StoreError> {
        let era = self.era.get();
        clock::sleep(STORE_TIME).await;
        if self.silent.get() {
            clock::sleep_until(given_up_at).await;
            return Err(follow::StoreError::Unavailable);
        }
        let refused = CALLER.try_with(|own| self.turned_away.borrow().contains(own));
        if self.away.get() || refused == Ok(true) || self.era.get() != era {
            return Err(follow::StoreError::Unavailable);
        }
        Ok(())
    }

    /// Waits for records of a topic from a position on; `end` is the number of all. Returns the index
    /// of the first one.
    async fn wait(
        &self,
        from: position::StorePosition,
        wait: time::Duration,
        end: impl Fn(&StoreContents) -> usize,
    ) -> Result<usize, follow::StoreError> {
        let until = Instant::now() + wait;
        let given_up_at = until + RESPONSE_TIMEOUT;
        self.call_until(given_up_at).await?;
        loop {
            let end = end(&self.contents.borrow());
            let first = index_of(from, end)?;
            if end > first || Instant::now() >= until {
                return Ok(first);
            }
            self.call_until(given_up_at).await?;
        }
    }

    fn document_page(&self, from: usize) -> follow::DocumentPage {
        let contents = self.contents.borrow();
        let records = || contents.operator.iter().enumerate().skip(from);
        let document = records().rev().find_map(|(_, record)| match record {
            OperatorRecord::Document(document) => Some(document.clone()),
            OperatorRecord::Evacuation(..) => None,
        });
        let evacuations = records().filter_map(|(offset, record)| match record {
            OperatorRecord::Document(_) => None,
            OperatorRecord::Evacuation(domain, evacuated) => Some(evacuation::EvacuationRecord {
                domain: domain.clone(),
                position: self.position(offset),
                evacuated: *evacuated,
            }),
        });
        follow::DocumentPage {
            document,
            evacuations: evacuations.collect(),
            end: self.position(contents.operator.len()),
        }
    }
}

/// Index of the record at which to continue, unless the store does not have it.
fn index_of(from: position::StorePosition, end: usize) -> Result<usize, follow::StoreError> {
    let from = usize::try_from(from.offset).expect("small");
    if from > end {
        return Err(follow::StoreError::Trimmed);
    }
    Ok(from)
}

impl follow::StorePort for LogStore {
    async fn read_servers(
        &self,
        _after: Option<&str>,
    ) -> Result<follow::UpdatePage, follow::StoreError> {
        self.call().await?;
        let records = self.records();
        let end = self.position(records.len());
        let newest: collections::BTreeMap<_, _> = records
            .into_iter()
            .map(|update| (update.id.clone(), update))
            .collect();
        let listed = newest.into_values().filter(|update| update.entry.is_some());
        Ok(follow::UpdatePage {
            updates: listed.collect(),
            end,
            next: None,
        })
    }

    async fn read_updates(
        &self,
        from: position::StorePosition,
    ) -> Result<follow::UpdatePage, follow::StoreError> {
        self.call().await?;
        let records = self.records();
        let first = index_of(from, records.len())?;
        if from.offset < self.trimmed.get() {
            return Err(follow::StoreError::Trimmed);
        }
        Ok(follow::UpdatePage {
            updates: records[first..].to_vec(),
            end: self.position(records.len()),
            next: None,
        })
    }

    async fn read_document(&self) -> Result<follow::DocumentPage, follow::StoreError> {
        self.call().await?;
        let mut page = self.document_page(0);
        // Revoked evacuations have no record.
        let evacuated: collections::BTreeMap<_, _> = page
            .evacuations
            .into_iter()
            .map(|record| (record.domain.clone(), record))
            .collect();
        page.evacuations = evacuated
            .into_values()
            .filter(|record| record.evacuated)
            .collect();
        Ok(page)
    }

    async fn wait_document(
        &self,
        from: position::StorePosition,
        wait: time::Duration,
    ) -> Result<follow::DocumentPage, follow::StoreError> {
        let first = self.wait(from, wait, |contents| contents.operator.len());
        Ok(self.document_page(first.await?))
    }

    fn document_meter(&self) -> transfer::TransferMeter {
        transfer::TransferMeter::default()
    }

    async fn system(
        &self,
        proposed: system::SystemId,
    ) -> Result<system::SystemId, follow::StoreError> {
        self.call().await?;
        let mut contents = self.contents.borrow_mut();
        Ok(*contents.system.get_or_insert(proposed))
    }

    async fn register(
        &self,
        name: &str,
        address: net::SocketAddr,
    ) -> Result<(), follow::StoreError> {
        self.call().await?;
        let mut contents = self.contents.borrow_mut();
        contents.vms.insert(name.to_owned(), address);
        Ok(())
    }

    async fn save_crashes(&self, record: Bytes) -> Result<(), follow::StoreError> {
        self.crash_calls.set(self.crash_calls.get() + 1);
        self.call().await?;
        self.contents.borrow_mut().crashes.push(record);
        Ok(())
    }

    async fn saved_crashes(&self) -> Result<follow::CrashPage, follow::StoreError> {
        self.crash_calls.set(self.crash_calls.get() + 1);
        self.call().await?;
        let records = &self.contents.borrow().crashes;
        Ok(follow::CrashPage {
            records: records.last().cloned().into_iter().collect(),
            end: self.position(records.len()),
        })
    }

    async fn wait_crashes(
        &self,
        from: position::StorePosition,
        wait: time::Duration,
    ) -> Result<follow::CrashPage, follow::StoreError> {
        self.crash_calls.set(self.crash_calls.get() + 1);
        let first = self.wait(from, wait, |contents| contents.crashes.len());
        let first = first.await?;
        let crashes = &self.contents.borrow().crashes;
        Ok(follow::CrashPage {
            records: crashes[first..].to_vec(),
            end: self.position(crashes.len()),
        })
    }

    async fn registered(&self) -> Result<Vec<net::SocketAddr>, follow::StoreError> {
        self.call().await?;
        Ok(self.contents.borrow().vms.values().copied().collect())
    }
}
