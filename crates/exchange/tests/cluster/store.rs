//! Fake store without servers, whose configuration changes continuously if configured so.

use std::{cell, net, rc, time};

use bytes::Bytes;
use carry::transfer;
use exchange::{follow, position, system};
use tokio::time::{self as clock, Instant};

/// Duration of a read of the configuration.
const READ_TIME: time::Duration = time::Duration::from_millis(8);

#[derive(Debug)]
pub struct FakeStore {
    started: Instant,
    /// Interval between versions of the configuration; `None` for a single version.
    pub change_interval: Option<time::Duration>,
    /// When the store begins to return its system.
    pub answers_at: Instant,
    /// Reads of the configuration.
    pub read: cell::Cell<u32>,
    /// Calls that ask for the system.
    pub asked: cell::Cell<u32>,
    pub registered_at: cell::Cell<Option<Instant>>,
}

impl FakeStore {
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            started: now,
            change_interval: None,
            answers_at: now,
            read: cell::Cell::new(0),
            asked: cell::Cell::new(0),
            registered_at: cell::Cell::new(None),
        }
    }

    /// Creates a store with a new version every `interval`.
    pub fn changing(interval: time::Duration) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            change_interval: Some(interval),
            ..Self::new()
        })
    }

    /// Creates a store that returns no system until `span` has passed.
    pub fn silent_for(span: time::Duration) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            answers_at: Instant::now() + span,
            ..Self::new()
        })
    }

    pub fn version(&self) -> u64 {
        let interval = self
            .change_interval
            .map_or(u128::MAX, |interval| interval.as_millis());
        1 + (self.started.elapsed().as_millis() / interval) as u64
    }
}

impl follow::StorePort for FakeStore {
    async fn read_servers(
        &self,
        _after: Option<&str>,
    ) -> Result<follow::UpdatePage, follow::StoreError> {
        Ok(follow::UpdatePage::default())
    }

    async fn read_updates(
        &self,
        _from: position::StorePosition,
    ) -> Result<follow::UpdatePage, follow::StoreError> {
        Ok(follow::UpdatePage::default())
    }

    async fn read_document(&self) -> Result<follow::DocumentPage, follow::StoreError> {
        self.read.set(self.read.get() + 1);
        clock::sleep(READ_TIME).await;
        Ok(follow::DocumentPage {
            document: Some(Bytes::from(self.version().to_string())),
            evacuations: Vec::new(),
            end: position::StorePosition::new(0, self.version()),
        })
    }

    async fn wait_document(
        &self,
        _from: position::StorePosition,
        _wait: time::Duration,
    ) -> Result<follow::DocumentPage, follow::StoreError> {
        self.read_document().await
    }

    fn document_meter(&self) -> transfer::TransferMeter {
        transfer::TransferMeter::default()
    }

    async fn system(
        &self,
        _proposed: system::SystemId,
    ) -> Result<system::SystemId, follow::StoreError> {
        self.asked.set(self.asked.get() + 1);
        if Instant::now() < self.answers_at {
            return Err(follow::StoreError::Unavailable);
        }
        Ok(super::system_id(super::SYSTEM))
    }

    async fn register(
        &self,
        _name: &str,
        _address: net::SocketAddr,
    ) -> Result<(), follow::StoreError> {
        self.registered_at.set(Some(Instant::now()));
        Ok(())
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
        Ok(Vec::new())
    }
}
