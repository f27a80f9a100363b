//! Crashes as VMs tell them to each other and keep them in the store.

use std::collections;

use crash::table;
use prost::Message as _;
use tokio::time;

use crate::{content, crash_news, crashes, message, unsaved};

/// Size in bytes from which a datagram tells of no further crash.
const MAX_TOLD_BYTES: usize = 400;

impl crashes::CrashEvidence {
    /// Crashes that the store is to have, in at most `max_bytes`: those for whose contents requests are
    /// refused, and if this VM shares crashes, then others that count, and those that are refuted or whose
    /// contents ran well. Newest first.
    #[must_use]
    pub fn saved_items(&self, max_bytes: usize, now: time::Instant) -> Vec<message::CrashItem> {
        let now_ms = self.millis(now);
        let shares = self.unsaved.sharing() != unsaved::CrashSharing::Off;
        let mut crashes: Vec<_> = self.table.deaths().rev().collect();
        if !shares {
            crashes.retain(|crash| self.is_refused(crash, now_ms));
        }
        let rank = |crash: &&crashes::CrashRecord| {
            (!self.is_refused(crash, now_ms), !self.counts(crash, now_ms))
        };
        crashes.sort_by_cached_key(rank);
        let mut bytes = 0;
        let mut items = Vec::new();
        for crash in crashes {
            for chunk in chunks(crash) {
                let item = self.item(crash, chunk, now_ms);
                bytes += item.encoded_len();
                if bytes > max_bytes {
                    return items;
                }
                items.push(item);
            }
        }
        items
    }

    /// Whether requests are refused for any content of a crash.
    fn is_refused(&self, crash: &crashes::CrashRecord, now_ms: u64) -> bool {
        let mut contents = crash.contents.iter();
        contents.any(|content| self.table.is_refused(*content, now_ms))
    }

    /// Whether a crash speaks against any of its contents.
    fn counts(&self, crash: &crashes::CrashRecord, now_ms: u64) -> bool {
        let mut contents = crash.contents.iter();
        contents.any(|content| self.table.is_accused(*content, now_ms))
    }

    /// News of crashes for so many other VMs; now and then a crash that is remembered.
    pub fn news(&mut self, vms: usize, now: time::Instant) -> Vec<message::CrashItem> {
        let now_ms = self.millis(now);
        let pending = self.news.pending().collect();
        let (told, items) = self.items_of(pending, 0, now_ms);
        self.news.record_told(told);
        if !items.is_empty() || !self.news.is_turn_due(vms, now) {
            return items;
        }
        self.remembered(1, 0, now)
    }

    /// News of crashes and those that are remembered, for a VM that may know of none.
    pub fn introduction(&mut self, now: time::Instant) -> Vec<message::CrashItem> {
        let now_ms = self.millis(now);
        let pending = self.news.pending().collect();
        let (told, mut items) = self.items_of(pending, 0, now_ms);
        self.news.record_told(told);
        let bytes = items.iter().map(message::CrashItem::encoded_len).sum();
        items.extend(self.remembered(usize::MAX, bytes, now));
        items
    }

    /// At most `max` parts of remembered crashes that still count, in turn, next to `bytes` of others.
    fn remembered(
        &mut self,
        max: usize,
        bytes: usize,
        now: time::Instant,
    ) -> Vec<message::CrashItem> {
        let now_ms = self.millis(now);
        self.table.expire(now_ms);
        let crashes = self.table.deaths().rev();
        let crashes = crashes.filter(|crash| self.counts(crash, now_ms));
        let remembered = crashes.flat_map(|crash| {
            let numbers = 0..chunks(crash).len();
            numbers.map(move |number| (crash.server, number))
        });
        let mut in_turn = self.news.in_turn(remembered.collect());
        in_turn.truncate(max);
        let (told, items) = self.items_of(in_turn, bytes, now_ms);
        self.news.record_turn(told, now);
        items
    }

    /// Messages of parts of crashes, next to `bytes` of others, and the number of parts told.
    fn items_of(
        &self,
        chunks: Vec<crash_news::CrashChunk>,
        mut bytes: usize,
        now_ms: u64,
    ) -> (usize, Vec<message::CrashItem>) {
        let mut told = 0;
        let mut items = Vec::new();
        for chunk in chunks {
            if bytes >= MAX_TOLD_BYTES {
                break;
            }
            told += 1;
            for item in self.items_of_chunk(chunk, now_ms) {
                bytes += item.encoded_len();
                items.push(item);
            }
        }
        (told, items)
    }

    fn items_of_chunk(
        &self,
        (server, number): crash_news::CrashChunk,
        now_ms: u64,
    ) -> Vec<message::CrashItem> {
        let crashes = self.table.deaths().filter(|crash| crash.server == server);
        let items = crashes.filter_map(|crash| {
            let chunk = chunks(crash).into_iter().nth(number)?;
            Some(self.item(crash, chunk, now_ms))
        });
        items.collect()
    }

    fn item(
        &self,
        crash: &crashes::CrashRecord,
        chunk: ContentChunk,
        now_ms: u64,
    ) -> message::CrashItem {
        let mut item = message::CrashItem {
            server: crash.server,
            age_ms: age(crash.at_ms, now_ms),
            answered_ms: self
                .table
                .answered_at(crash)
                .map(|sent_ms| age(crash.at_ms, sent_ms)),
            late: chunk.late,
            ..message::CrashItem::default()
        };
        for content in chunk.contents {
            item.add(content);
            let times = self.table.cleared_at(content);
            for (extent, ran_ms) in times.iter().flat_map(table::ClearedTimes::all) {
                item.add_clearance(content, age(ran_ms, now_ms), extent);
            }
        }
        item
    }

    /// Takes what another VM tells of a crash. Returns whether it is news.
    pub fn take_item(&mut self, item: &message::CrashItem, now: time::Instant) -> bool {
        self.take_evidence(item, crash_news::EvidenceSource::Peer, now)
    }

    /// Takes what the store has of a crash. Returns whether it is news.
    pub fn take_saved_item(&mut self, item: &message::CrashItem, now: time::Instant) -> bool {
        self.take_evidence(item, crash_news::EvidenceSource::Store, now)
    }

    fn take_evidence(
        &mut self,
        item: &message::CrashItem,
        source: crash_news::EvidenceSource,
        now: time::Instant,
    ) -> bool {
        let now_ms = self.millis(now);
        if time::Duration::from_millis(item.age_ms.into()) >= crashes::RETENTION {
            return false;
        }
        let at_ms = self.crash_time(item.server, now_ms.saturating_sub(item.age_ms.into()));
        let contents: collections::BTreeSet<_> = item.contents().collect();
        let record = crashes::CrashRecord {
            server: item.server,
            at_ms,
            late: match item.late {
                true => contents.clone(),
                false => collections::BTreeSet::new(),
            },
            contents,
        };
        let is_new = self.insert(record, source, now);
        if let Some(answered_ms) = item.answered_ms
            && self
                .table
                .record_answer(&item.server, at_ms + u64::from(answered_ms))
        {
            self.note_refuted(item.server, source);
        }
        for (content, age_ms, extent) in item.clearances() {
            if self.table.names(content) {
                let ran_ms = now_ms.saturating_sub(age_ms.into());
                self.clear(content, ran_ms, extent, source);
            }
        }
        is_new
    }
}

/// Contents of a crash that fit into one message, all late or none.
pub(crate) struct ContentChunk {
    pub contents: Vec<content::ContentKey>,
    pub late: bool,
}

/// Contents of a crash in parts that fit into messages.
pub(crate) fn chunks(crash: &crashes::CrashRecord) -> Vec<ContentChunk> {
    let early: Vec<_> = crash.contents.difference(&crash.late).copied().collect();
    let late: Vec<_> = crash.late.iter().copied().collect();
    let chunks = [(early, false), (late, true)];
    let chunks = chunks.iter().flat_map(|(contents, late)| {
        let chunks = contents.chunks(crash_news::CHUNK_CONTENTS);
        chunks.map(|contents| ContentChunk {
            contents: contents.to_vec(),
            late: *late,
        })
    });
    chunks.collect()
}

fn age(at_ms: u64, now_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}
