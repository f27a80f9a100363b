//! Messages between entry VMs, as protobuf.

use std::time;

use crash::table;

use crate::{content, delta, evacuation, position, update, wait};

/// Stage of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum VmStage {
    /// The VM has no configuration yet.
    Starting = 0,
    /// The VM accepts requests.
    Serving = 1,
    /// The VM finishes its running requests and accepts no new ones.
    Stopping = 2,
}

/// Load of one VM on one server.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoadItem {
    /// Hash of the name of the server's incarnation.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Number of attempts that run there.
    #[prost(uint32, tag = "2")]
    pub runs: u32,
    /// Expected memory in tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Prompt tokens that are not processed yet.
    #[prost(uint64, tag = "4")]
    pub backlog: u64,
    /// Whether generations failed there recently.
    #[prost(bool, tag = "5")]
    pub failing: bool,
    /// Typical time between two events of a stream there, in microseconds; 0 if not known.
    #[prost(uint32, tag = "6")]
    pub event_us: u32,
    /// Number of streams there that have had an event and no pause beyond the limit of their route;
    /// sent only while pauses of the service are at risk.
    #[prost(uint32, tag = "7")]
    pub steady: u32,
}

/// How much longer than usual pauses get on the engines of a service, as the sender sees it.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct PaceItem {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Longest pause to expect while no prompt is being prefilled, in percent of the typical time
    /// between two events; 0 if not known.
    #[prost(uint32, tag = "2")]
    pub alone_pct: u32,
    /// The same while a prompt is being prefilled.
    #[prost(uint32, tag = "3")]
    pub beside_pct: u32,
}

/// An engine that said in an answer that it is cold.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct ColdItem {
    /// Hash of the incarnation.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Time for which it is still cold, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
}

/// Memory planned for the generations of a service that the sender was asked for lately, by
/// organisation.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DemandItem {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Tokens of all organisations.
    #[prost(uint64, tag = "2")]
    pub total: u64,
    /// Number of organisations.
    #[prost(uint32, tag = "3")]
    pub organisations: u32,
    /// Organisations that asked for most.
    #[prost(message, repeated, tag = "4")]
    pub heavy: Vec<HeavyItem>,
    /// Tokens of generations that engines answered.
    #[prost(uint64, tag = "5")]
    pub served: u64,
}

/// Demand of one organisation.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct HeavyItem {
    /// Hash of the organisation's name.
    #[prost(fixed32, tag = "1")]
    pub organisation: u32,
    /// Tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// One record of a server in the store.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct UpdateItem {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Offset in the store.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The server's entry; absent if it was removed.
    #[prost(message, optional, tag = "3")]
    pub entry: Option<EntryItem>,
    /// Era of the store to which the offset belongs.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}

/// A server's entry.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct EntryItem {
    /// Service of the server.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address and port.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// Number of requests that the server works on at a time.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether the server takes no new work.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Remaining time for which the server is still slow.
    #[prost(uint64, tag = "6")]
    pub cold_ms: u64,
    /// When the incarnation was started, in milliseconds since 1970; 0 if unknown.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
    /// Whether the server itself said that it leaves.
    #[prost(bool, tag = "8")]
    pub said_leaving: bool,
}

/// Short form of an update for VMs that know the server: one incarnation takes no new work any
/// more.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct NoticeItem {
    /// Hash of the incarnation.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Offset in the store.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether the entry was removed; otherwise the server is leaving.
    #[prost(bool, tag = "3")]
    pub removed: bool,
    /// Whether the server itself said that it leaves.
    #[prost(bool, tag = "4")]
    pub said: bool,
    /// Era of the store to which the offset belongs.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

impl NoticeItem {
    /// Position in the store.
    #[must_use]
    pub const fn position(&self) -> position::StorePosition {
        position::StorePosition::new(self.era, self.offset)
    }
}

/// What a server stated about its limit on requests, or on those that it turns away.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct LimitItem {
    /// Hash of the incarnation.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Requests per second from all VMs together; absent if the limit has ended.
    #[prost(double, optional, tag = "2")]
    pub per_second: Option<f64>,
    /// Time since the answer with the statement.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Repeats of a service that the sender asks the recipient for, or grants it.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct LoanItem {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Number of the ask.
    #[prost(uint32, tag = "2")]
    pub ask: u32,
    /// Number of repeats.
    #[prost(uint32, tag = "3")]
    pub repeats: u32,
    /// Whether they are granted; otherwise they are asked for.
    #[prost(bool, tag = "4")]
    pub granted: bool,
    /// Whether repeats that were granted have arrived, or will not be made.
    #[prost(bool, tag = "5")]
    pub settled: bool,
}

/// A crash of a server, with contents of which one may be its cause.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct CrashItem {
    /// Hash of the incarnation.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Time since the crash, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Fingerprints of requests that had just begun there.
    #[prost(fixed64, repeated, tag = "3")]
    pub requests: Vec<u64>,
    /// Parts of their prompts, each with its organisation.
    #[prost(fixed64, repeated, tag = "6")]
    pub own_parts: Vec<u64>,
    /// Parts of their prompts.
    #[prost(fixed64, repeated, tag = "7")]
    pub parts: Vec<u64>,
    /// Contents of the crash that ran well.
    #[prost(message, repeated, tag = "4")]
    pub cleared: Vec<ClearedItem>,
    /// Time after the crash at which a request was sent that the server answered, in milliseconds:
    /// it did not crash.
    #[prost(uint32, optional, tag = "5")]
    pub answered_ms: Option<u32>,
    /// Whether the contents had made progress there.
    #[prost(bool, tag = "8")]
    pub late: bool,
}

/// Content that ran well.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub struct ClearedItem {
    /// Fingerprint of a request, or hash of a part.
    #[prost(fixed64, tag = "1")]
    pub hash: u64,
    /// 0 for a request, 1 for a part of one organisation, 2 for a part of all.
    #[prost(uint32, tag = "3")]
    pub breadth: u32,
    /// Time since it last ran well, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Whether it ran to its end, not only beyond its beginning.
    #[prost(bool, tag = "4")]
    pub whole: bool,
}

impl CrashItem {
    /// Adds content that the crash may be due to.
    pub fn add(&mut self, content: content::ContentKey) {
        match content {
            content::ContentKey::Request(fingerprint) => self.requests.push(fingerprint),
            content::ContentKey::OwnPart(hash) => self.own_parts.push(hash),
            content::ContentKey::Part(hash) => self.parts.push(hash),
        }
    }

    /// Adds the time that has passed since the ages were those of the item.
    pub fn grow_older(&mut self, passed_ms: u32) {
        self.age_ms = self.age_ms.saturating_add(passed_ms);
        for cleared in &mut self.cleared {
            cleared.age_ms = cleared.age_ms.saturating_add(passed_ms);
        }
    }

    /// Adds that a content ran well.
    pub fn add_clearance(
        &mut self,
        content: content::ContentKey,
        age_ms: u32,
        extent: table::RunExtent,
    ) {
        let (breadth, hash) = match content {
            content::ContentKey::Request(fingerprint) => (0, fingerprint),
            content::ContentKey::OwnPart(hash) => (1, hash),
            content::ContentKey::Part(hash) => (2, hash),
        };
        self.cleared.push(ClearedItem {
            hash,
            breadth,
            age_ms,
            whole: extent == table::RunExtent::Whole,
        });
    }

    /// Contents that the crash may be due to.
    pub fn contents(&self) -> impl Iterator<Item = content::ContentKey> {
        let requests = self.requests.iter().copied();
        let own_parts = self.own_parts.iter().copied();
        let parts = self.parts.iter().copied();
        requests
            .map(content::ContentKey::Request)
            .chain(own_parts.map(content::ContentKey::OwnPart))
            .chain(parts.map(content::ContentKey::Part))
    }

    /// Contents that ran well, with the time since, in milliseconds, and how far they ran.
    pub fn clearances(&self) -> impl Iterator<Item = (content::ContentKey, u32, table::RunExtent)> {
        let cleared = self.cleared.iter();
        cleared.filter_map(|item| {
            let content = match item.breadth {
                0 => content::ContentKey::Request(item.hash),
                1 => content::ContentKey::OwnPart(item.hash),
                2 => content::ContentKey::Part(item.hash),
                _ => return None,
            };
            let extent = match item.whole {
                true => table::RunExtent::Whole,
                false => table::RunExtent::Beginning,
            };
            Some((content, item.age_ms, extent))
        })
    }
}

/// Memory planned for generations of one service that wait on a VM.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WaitingItem {
    /// Hash of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Tokens by rank, without trailing zeros.
    #[prost(uint64, repeated, tag = "2")]
    pub tokens: Vec<u64>,
}

impl WaitingItem {
    /// Memory planned for generations that go before one of `rank`.
    #[must_use]
    pub fn before(&self, rank: wait::WaitRank) -> u64 {
        self.tokens.iter().take(rank.index()).sum()
    }
}

/// Datagram between entry VMs. Most datagrams carry only the sender's hash and the fields that
/// change all the time. Name and addresses are sent now and then, and to VMs that have not answered
/// yet, because at 78 VMs datagrams are most of the traffic between failure domains.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PeerDatagram {
    /// Hash of the VM's name and incarnation.
    #[prost(fixed64, tag = "17")]
    pub sender: u64,
    /// Name of the VM; empty in most datagrams.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Failure domain of the VM.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Incarnation: wall clock at the start of the VM's process; a greater one is a later process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Sequence number; increases with each datagram of the process.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Stage of the VM.
    #[prost(enumeration = "VmStage", tag = "5")]
    pub stage: i32,
    /// Address of the VM for callers.
    #[prost(string, tag = "6")]
    pub entry_address: String,
    /// Address of the VM for other VMs.
    #[prost(string, tag = "7")]
    pub link_address: String,
    /// Version of the configuration in force at the VM.
    #[prost(uint64, tag = "8")]
    pub catalog_version: u64,
    /// Loads of the VM on all servers that it uses.
    #[prost(message, repeated, tag = "10")]
    pub loads: Vec<LoadItem>,
    /// Server updates that the VM has just received.
    #[prost(message, repeated, tag = "11")]
    pub updates: Vec<UpdateItem>,
    /// Crashes of servers.
    #[prost(message, repeated, tag = "33")]
    pub crashes: Vec<CrashItem>,
    /// Addresses of other VMs that count as alive.
    #[prost(string, repeated, tag = "13")]
    pub known: Vec<String>,
    /// Whether the store does not answer the VM.
    #[prost(bool, tag = "14")]
    pub store_unavailable: bool,
    /// Hash of the standing of all servers, as far as the VM knows.
    #[prost(fixed64, tag = "15")]
    pub standing_hash: u64,
    /// Memory planned for generations that wait at the VM, for each service that has some.
    #[prost(message, repeated, tag = "18")]
    pub waiting: Vec<WaitingItem>,
    /// Whether the recipient is to forward the updates to its group.
    #[prost(bool, tag = "20")]
    pub forward: bool,
    /// Short fingerprints of requests that were refused and may be retried.
    #[prost(fixed32, repeated, tag = "19")]
    pub refused: Vec<u32>,
    /// Number of the sender's system, in datagrams that carry its name; 0 if not known yet.
    #[prost(fixed64, tag = "21")]
    pub system: u64,
    /// Evacuated failure domains; in some datagrams only.
    #[prost(message, optional, tag = "22")]
    pub evacuations: Option<EvacuationItem>,
    /// Whether the VM has not yet received the complete list of servers.
    #[prost(bool, tag = "23")]
    pub partial: bool,
    /// Servers that were recently found to be leaving, from VMs that read the store for all.
    #[prost(message, repeated, tag = "24")]
    pub notices: Vec<NoticeItem>,
    /// Limits that servers stated recently; in datagrams with a name all that are in force.
    #[prost(message, repeated, tag = "25")]
    pub limits: Vec<LimitItem>,
    /// Number of VMs that may send to servers, the sender included, as far as it knows.
    #[prost(uint32, tag = "26")]
    pub senders: u32,
    /// Latest era of the store that the VM knows.
    #[prost(uint64, tag = "27")]
    pub store_era: u64,
    /// Repeats that the sender asks the recipient for, or grants it.
    #[prost(message, repeated, tag = "28")]
    pub loans: Vec<LoanItem>,
    /// Address at which the VM takes over requests of others; empty if it takes none.
    #[prost(string, tag = "29")]
    pub handover_address: String,
    /// Hashes of the names of services of which the VM reaches no server.
    #[prost(fixed32, repeated, tag = "30")]
    pub cut_services: Vec<u32>,
    /// Whether the VM reaches no server at all.
    #[prost(bool, tag = "31")]
    pub cut_off: bool,
    /// Requests per second that brittle servers can turn away; which ones is as for `limits`.
    #[prost(message, repeated, tag = "32")]
    pub brittle: Vec<LimitItem>,
    /// Pauses of the services of which the sender knows enough streams.
    #[prost(message, repeated, tag = "34")]
    pub paces: Vec<PaceItem>,
    /// Engines that said lately that they are cold.
    #[prost(message, repeated, tag = "35")]
    pub cold: Vec<ColdItem>,
    /// Demand of organisations, for services for which requests wait.
    #[prost(message, repeated, tag = "36")]
    pub demand: Vec<DemandItem>,
    /// Whether the VM knows of others that it does not hear.
    #[prost(bool, tag = "37")]
    pub misses_vms: bool,
}

/// Failure domains that are evacuated.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct EvacuationItem {
    /// Offset in the operator's records up to which they are taken into account.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Names of the domains.
    #[prost(string, repeated, tag = "2")]
    pub domains: Vec<String>,
    /// Era of the store to which the offset belongs.
    #[prost(uint64, tag = "3")]
    pub era: u64,
    /// Domains that were evacuated before the store came back from an older copy.
    #[prost(string, repeated, tag = "4")]
    pub carried: Vec<String>,
    /// Domains that were revoked since.
    #[prost(string, repeated, tag = "5")]
    pub revoked: Vec<String>,
}

impl From<&evacuation::EvacuationSet> for EvacuationItem {
    fn from(evacuations: &evacuation::EvacuationSet) -> Self {
        Self {
            offset: evacuations.position.offset,
            domains: evacuations.domains.iter().cloned().collect(),
            era: evacuations.position.era,
            carried: evacuations.carried.iter().cloned().collect(),
            revoked: evacuations.revoked.iter().cloned().collect(),
        }
    }
}

impl From<EvacuationItem> for evacuation::EvacuationSet {
    fn from(item: EvacuationItem) -> Self {
        Self {
            position: position::StorePosition::new(item.era, item.offset),
            domains: item.domains.into_iter().collect(),
            carried: item.carried.into_iter().collect(),
            revoked: item.revoked.into_iter().collect(),
            earlier: position::StorePosition::default(),
        }
    }
}

/// Request for another VM's state, as far as it differs from the requester's.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct StateRequest {
    /// Version of the configuration that the requester has.
    #[prost(uint64, tag = "1")]
    pub catalog_version: u64,
    /// Servers that take work, by the hash of their names, as far as the requester knows.
    #[prost(fixed32, repeated, tag = "2")]
    pub ready: Vec<u32>,
    /// Servers that leave, by the hash of their names, as far as the requester knows.
    #[prost(fixed32, repeated, tag = "3")]
    pub leaving: Vec<u32>,
    /// Hashes of the chunks of the requester's document.
    #[prost(fixed64, repeated, tag = "4")]
    pub chunks: Vec<u64>,
    /// Whether the requester accepts a newer document as a delta.
    #[prost(bool, tag = "5")]
    pub takes_delta: bool,
}

/// Reply to a [`StateRequest`]: the parts of the state that differ from the requester's.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct StateReply {
    /// The operator's document as read from the store; empty if it is not newer than the
    /// requester's, or if `delta` is set instead.
    #[prost(bytes = "bytes", tag = "1")]
    pub catalog: bytes::Bytes,
    /// Servers whose standing differs from the requester's view.
    #[prost(message, repeated, tag = "2")]
    pub updates: Vec<UpdateItem>,
    /// Addresses of other VMs.
    #[prost(string, repeated, tag = "4")]
    pub known: Vec<String>,
    /// Number of the replying VM's system; 0 if not known yet.
    #[prost(fixed64, tag = "5")]
    pub system: u64,
    /// Whether the replying VM has not yet received the complete list of servers.
    #[prost(bool, tag = "6")]
    pub partial: bool,
    /// Delta from the requester's document to the newer one.
    #[prost(message, optional, tag = "7")]
    pub delta: Option<delta::DocumentDelta>,
    /// Latest era of the store that the replying VM knows.
    #[prost(uint64, tag = "8")]
    pub store_era: u64,
    /// End of the store's records up to which the replying VM knows all servers; the first position if
    /// it vouches for none.
    #[prost(uint64, tag = "9")]
    pub complete_offset: u64,
    /// Era of that position.
    #[prost(uint64, tag = "10")]
    pub complete_era: u64,
    /// Servers of the requester that the replying VM does not know, by the hash of their names.
    #[prost(fixed32, repeated, tag = "11")]
    pub unlisted: Vec<u32>,
}

impl StateReply {
    /// End of the records up to which the replying VM knows all servers.
    #[must_use]
    pub const fn complete_until(&self) -> position::StorePosition {
        position::StorePosition::new(self.complete_era, self.complete_offset)
    }
}

impl From<&update::ServerUpdate> for UpdateItem {
    fn from(update: &update::ServerUpdate) -> Self {
        Self {
            id: update.id.clone(),
            offset: update.position.offset,
            era: update.position.era,
            entry: update.entry.as_ref().map(|entry| EntryItem {
                service: entry.service.clone(),
                address: entry.address.to_string(),
                domain: entry.domain.clone(),
                slots: entry.slots,
                leaving: entry.leaving,
                said_leaving: entry.said_leaving,
                cold_ms: u64::try_from(entry.cold.as_millis()).unwrap_or(u64::MAX),
                started_ms: entry.started_at.millis(),
            }),
        }
    }
}

impl UpdateItem {
    /// Decodes the update; `None` if its entry does not describe a server.
    #[must_use]
    pub fn decode_update(&self) -> Option<update::ServerUpdate> {
        let entry = match &self.entry {
            None => None,
            Some(entry) => Some(update::ServerEntry {
                started_at: update::StartTime::from_millis(entry.started_ms),
                service: entry.service.clone(),
                address: entry.address.parse().ok()?,
                domain: entry.domain.clone(),
                slots: entry.slots,
                leaving: entry.leaving,
                said_leaving: entry.said_leaving,
                cold: time::Duration::from_millis(entry.cold_ms),
            }),
        };
        let update = update::ServerUpdate {
            id: self.id.clone(),
            position: position::StorePosition::new(self.era, self.offset),
            entry,
        };
        update.check().is_ok().then_some(update)
    }
}
