//! A store that holds no servers, and whose configuration changes all the time if it is told so.

use std::{cell, net, rc, time};

use bytes::Bytes;
use carry::transfer;
use exchange::{follow, system};
use tokio::time::{self as clock, Instant};

/// Time that a reading of the configuration takes.
const READ_TIME: time::Duration = time::Duration::from_millis(8);

#[derive(Debug)]
pub struct FakeStore {
    began: Instant,
    /// Time between two versions of the configuration; there is none without it.
    pub change_gap: Option<time::Duration>,
    /// When it begins to say which system it belongs to.
    pub answers_at: Instant,
    /// Readings of the configuration, and questions which system this is.
    pub read: cell::Cell<u32>,
    pub asked: cell::Cell<u32>,
    pub registered_at: cell::Cell<Option<Instant>>,
}

impl FakeStore {
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            began: now,
            change_gap: None,
            answers_at: now,
            read: cell::Cell::new(0),
            asked: cell::Cell::new(0),
            registered_at: cell::Cell::new(None),
        }
    }

    /// One in which a new version is written every `gap`.
    pub fn changing(gap: time::Duration) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            change_gap: Some(gap),
            ..Self::new()
        })
    }

    /// One that does not say which system it belongs to until `span` has passed.
    pub fn silent_for(span: time::Duration) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            answers_at: Instant::now() + span,
            ..Self::new()
        })
    }

    pub fn version(&self) -> u64 {
        let gap = self.change_gap.map_or(u128::MAX, |gap| gap.as_millis());
        1 + (self.began.elapsed().as_millis() / gap) as u64
    }
}

impl follow::StorePort for FakeStore {
    async fn read_servers(
        &self,
        _after: Option<&str>,
    ) -> Result<follow::UpdatePage, follow::StoreError> {
        Ok(follow::UpdatePage::default())
    }

    async fn read_updates(&self, _from: u64) -> Result<follow::UpdatePage, follow::StoreError> {
        Ok(follow::UpdatePage::default())
    }

    async fn read_document(&self) -> Result<follow::DocumentPage, follow::StoreError> {
        self.read.set(self.read.get() + 1);
        clock::sleep(READ_TIME).await;
        Ok(follow::DocumentPage {
            document: Some(Bytes::from(self.version().to_string())),
            evacuations: Vec::new(),
            end: self.version(),
        })
    }

    async fn wait_document(
        &self,
        _from: u64,
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

    async fn registered(&self) -> Result<Vec<net::SocketAddr>, follow::StoreError> {
        Ok(Vec::new())
    }
}
