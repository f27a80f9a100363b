//! What entry VMs tell each other, as protobuf.

use std::time;

use crate::{delta, evacuation, update, wait};

/// Stage of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum VmStage {
    /// It knows no configuration yet.
    Starting = 0,
    /// It takes requests.
    Serving = 1,
    /// It finishes what it has.
    Stopping = 2,
}

/// What a VM has on one server.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoadItem {
    /// Hash of the name of the server's incarnation.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Tries there.
    #[prost(uint32, tag = "2")]
    pub runs: u32,
    /// Expected memory.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Prompt tokens not read yet.
    #[prost(uint64, tag = "4")]
    pub backlog: u64,
    /// Whether generations failed there of late.
    #[prost(bool, tag = "5")]
    pub failing: bool,
}

/// One record of the store on a server.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct NewsItem {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Position in the store.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Absent: the entry is gone.
    #[prost(message, optional, tag = "3")]
    pub entry: Option<EntryItem>,
}

/// A server's entry.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct EntryItem {
    /// Service that it belongs to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address and port.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// Requests at a time.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it takes no new work.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Time for which it is still slow.
    #[prost(uint64, tag = "6")]
    pub cold_ms: u64,
    /// When the incarnation was started, in milliseconds since 1970; 0: not told.
    #[prost(uint64, tag = "7")]
    pub born_ms: u64,
}

/// One incarnation of a server takes no new work any more, in short, for VMs that know the server.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct NoticeItem {
    /// Hash of the incarnation.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Position in the store.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether its entry is gone; else it says that the server leaves.
    #[prost(bool, tag = "3")]
    pub gone: bool,
}

/// A request that was there when a server crashed.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct AccusationItem {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Hash of the server's id.
    #[prost(fixed64, tag = "2")]
    pub server: u64,
}

/// Memory planned for generations of one service that wait on a VM.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WaitingItem {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// By rank, without the zeros at the end.
    #[prost(uint64, repeated, tag = "2")]
    pub tokens: Vec<u64>,
}

impl WaitingItem {
    /// Memory planned for those that go before one of `rank`.
    #[must_use]
    pub fn before(&self, rank: wait::WaitRank) -> u64 {
        self.tokens.iter().take(rank.index()).sum()
    }
}

/// One datagram. Most carry the sender's hash and what changes all the time; its name and addresses
/// are told now and then, and to whoever has not answered yet. At 78 VMs datagrams are most of what
/// crosses between failure domains.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PeerDatagram {
    /// Hash of the VM's name and incarnation.
    #[prost(fixed64, tag = "17")]
    pub sender: u64,
    /// Name of the VM; empty in most.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Failure domain of the VM.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Wall clock at its process's start; a greater one is a later process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Grows with each datagram of the process.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Stage of the VM.
    #[prost(enumeration = "VmStage", tag = "5")]
    pub stage: i32,
    /// Where callers reach it.
    #[prost(string, tag = "6")]
    pub entry_address: String,
    /// Where other VMs reach it.
    #[prost(string, tag = "7")]
    pub link_address: String,
    /// Version of the configuration in force there.
    #[prost(uint64, tag = "8")]
    pub catalog_version: u64,
    /// All that it has on servers.
    #[prost(message, repeated, tag = "10")]
    pub loads: Vec<LoadItem>,
    /// News of servers that it has just learnt.
    #[prost(message, repeated, tag = "11")]
    pub news: Vec<NewsItem>,
    /// Suspicions that it holds.
    #[prost(message, repeated, tag = "12")]
    pub accusations: Vec<AccusationItem>,
    /// Addresses of other VMs that it hears.
    #[prost(string, repeated, tag = "13")]
    pub known: Vec<String>,
    /// Whether the store does not answer it.
    #[prost(bool, tag = "14")]
    pub store_away: bool,
    /// Hash of which servers stand how, as far as it knows.
    #[prost(fixed64, tag = "15")]
    pub standing_hash: u64,
    /// Memory planned for generations that wait there, for each service for which some do.
    #[prost(message, repeated, tag = "18")]
    pub waiting: Vec<WaitingItem>,
    /// Whether its news is to be told on.
    #[prost(bool, tag = "20")]
    pub tell_on: bool,
    /// Short fingerprints of requests that were refused and may come back.
    #[prost(fixed32, repeated, tag = "19")]
    pub refused: Vec<u32>,
    /// Number of the system that it belongs to, where its name stands; 0: not known yet.
    #[prost(fixed64, tag = "21")]
    pub system: u64,
    /// Present in some: which failure domains are evacuated.
    #[prost(message, optional, tag = "22")]
    pub evacuations: Option<EvacuationItem>,
    /// Whether it never knew the list of servers to its end.
    #[prost(bool, tag = "23")]
    pub partial: bool,
    /// Servers that were learnt to leave of late, by those that read the store for all.
    #[prost(message, repeated, tag = "24")]
    pub notices: Vec<NoticeItem>,
}

/// Failure domains that are evacuated.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct EvacuationItem {
    /// Position of the operator's records as of which they are.
    #[prost(uint64, tag = "1")]
    pub position: u64,
    /// Their names.
    #[prost(string, repeated, tag = "2")]
    pub domains: Vec<String>,
}

impl From<&evacuation::EvacuationSet> for EvacuationItem {
    fn from(evacuations: &evacuation::EvacuationSet) -> Self {
        Self {
            position: evacuations.position,
            domains: evacuations.domains.iter().cloned().collect(),
        }
    }
}

impl From<EvacuationItem> for evacuation::EvacuationSet {
    fn from(item: EvacuationItem) -> Self {
        Self {
            position: item.position,
            domains: item.domains.into_iter().collect(),
        }
    }
}

/// Asks a VM for what it knows otherwise.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct StateRequest {
    /// Version of the configuration that the asker has.
    #[prost(uint64, tag = "1")]
    pub catalog_version: u64,
    /// Servers that take work, by the hash of their names, as far as the asker knows.
    #[prost(fixed32, repeated, tag = "2")]
    pub ready: Vec<u32>,
    /// Servers that leave, likewise.
    #[prost(fixed32, repeated, tag = "3")]
    pub leaving: Vec<u32>,
    /// Hashes of the pieces of the asker's document.
    #[prost(fixed64, repeated, tag = "4")]
    pub pieces: Vec<u64>,
    /// Whether the asker takes a newer document as a delta.
    #[prost(bool, tag = "5")]
    pub takes_delta: bool,
}

/// What a VM knows otherwise than the asker.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct StateReply {
    /// The operator's document, as the store gave it; empty unless newer than the asker's, and where
    /// `delta` stands in its place.
    #[prost(bytes = "bytes", tag = "1")]
    pub catalog: bytes::Bytes,
    /// Servers that stand otherwise than the asker believes.
    #[prost(message, repeated, tag = "2")]
    pub news: Vec<NewsItem>,
    /// Addresses of other VMs.
    #[prost(string, repeated, tag = "4")]
    pub known: Vec<String>,
    /// Number of the system of the VM that answers; 0: not known yet.
    #[prost(fixed64, tag = "5")]
    pub system: u64,
    /// Whether that VM never knew the list of servers to its end.
    #[prost(bool, tag = "6")]
    pub partial: bool,
    /// What makes the newer document of the asker's.
    #[prost(message, optional, tag = "7")]
    pub delta: Option<delta::DocumentDelta>,
}

impl From<&update::ServerNews> for NewsItem {
    fn from(news: &update::ServerNews) -> Self {
        Self {
            id: news.id.clone(),
            offset: news.offset,
            entry: news.entry.as_ref().map(|entry| EntryItem {
                service: entry.service.clone(),
                address: entry.address.to_string(),
                domain: entry.domain.clone(),
                slots: entry.slots,
                leaving: entry.leaving,
                cold_ms: u64::try_from(entry.cold.as_millis()).unwrap_or(u64::MAX),
                born_ms: entry.born.millis(),
            }),
        }
    }
}

impl NewsItem {
    /// The news, unless its address is none.
    #[must_use]
    pub fn decode_news(&self) -> Option<update::ServerNews> {
        let entry = match &self.entry {
            None => None,
            Some(entry) => Some(update::ServerEntry {
                born: update::BirthTime::from_millis(entry.born_ms),
                service: entry.service.clone(),
                address: entry.address.parse().ok()?,
                domain: entry.domain.clone(),
                slots: entry.slots,
                leaving: entry.leaving,
                cold: time::Duration::from_millis(entry.cold_ms),
            }),
        };
        Some(update::ServerNews {
            id: self.id.clone(),
            offset: self.offset,
            entry,
        })
    }
}
