//! Crashes of servers and the requests that cause them, as all VMs know them.
//!
//! Load pattern: one request crashes each server that starts it, and is retried at another VM. Each
//! server that crashes loses all that it runs. VMs tell each other which servers crashed, what had
//! just begun there, and what of that ran well elsewhere; the crate `crash` infers the cause from it.
//!
//! Records carry their age, and a VM keeps the oldest time that it was told of a crash. So no record
//! is renewed by being repeated.

use std::{collections, num};

use crash::table;
use tokio::time;

use crate::{content, crash_items, crash_news, dropped, request, unsaved};

/// Time after a crash for which its cause is refused.
pub const QUARANTINE_TIME: time::Duration = time::Duration::from_mins(5);
/// The same for content that is tied with others, the first time.
const TIED_QUARANTINE_TIME: time::Duration = time::Duration::from_mins(1);
/// Time between the first and the last crash from which a part of prompts is refused for crashes late in
/// answers: twice as long as an answer goes on until it clears its parts.
const MIN_LATE_SPAN: time::Duration = time::Duration::from_secs(2);
/// Time for which crashes are remembered: a cause that crashes one more server after its quarantine
/// is refused again at once.
pub(crate) const RETENTION: time::Duration = time::Duration::from_mins(15);
/// Time after a crash for which content is a suspect that may be its cause.
const SUSPICION_TIME: time::Duration = time::Duration::from_secs(20);
/// Number of crashes at its beginning from which a request is sent only once, while crashes do not
/// tell the cause.
const MIN_SUSPECT_CRASHES: u32 = 2;
/// Time after content ran well for which crashes do not count against it.
const CLEARED_TIME: time::Duration = time::Duration::from_secs(30);
/// Content that ran well later than by this is cleared anew. Copies of a record differ by the time
/// that datagrams take; without this step VMs would renew each other's records for ever.
const CLEARED_STEP: time::Duration = time::Duration::from_secs(5);

/// Maximum number of crashes kept, of 2 KB each; the oldest is dropped first.
const MAX_CRASHES: usize = 64;
/// Maximum number of contents of one crash.
const MAX_CONTENTS: usize = 128;
/// Maximum number of contents that are known to have run well, of 40 bytes each; those that ran
/// longest ago are dropped first.
const MAX_RAN_WELL: num::NonZeroUsize = num::NonZeroUsize::new(4_096).expect("not 0");

/// Maximum number of servers of which it is known when they took the connection of a check.
const MAX_CHECKS_TAKEN: num::NonZeroUsize = num::NonZeroUsize::new(64).expect("not 0");

/// Differences of two times of a crash, by which VMs tell it in turn, that are due to wall clocks: more
/// than datagrams take, and less than the time after which an incarnation that was wrongly taken for
/// crashed may do so.
const CLOCK_DIFFERENCES: std::ops::Range<time::Duration> =
    time::Duration::from_secs(1)..time::Duration::from_secs(15);

/// Time of the clock of records when this VM started, so that records may be older than this VM.
const CLOCK_START: time::Duration = time::Duration::from_hours(1);

/// Table of crashes by the hashes of incarnations.
type CrashTable = table::SuspectTable<u64, content::ContentKey>;
pub(crate) type CrashRecord = table::DeathRecord<u64, content::ContentKey>;

/// When a server broke a request off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakMoment {
    /// At its beginning.
    Early,
    /// Once its answer had gone on.
    Late,
}

/// What this VM knows of crashes and their causes.
#[derive(Debug)]
pub struct CrashEvidence {
    pub(crate) table: CrashTable,
    /// When the clock of records was [`CLOCK_START`].
    epoch: time::Instant,
    /// When contents last ran well at this VM, by the clock of records.
    ran_well: lru::LruCache<content::ContentKey, table::ClearedTimes>,
    pub(crate) news: crash_news::CrashNews,
    dropped: dropped::DroppedAttempts,
    /// Servers that broke requests off, with these, while it is checked whether they crashed.
    unchecked: collections::HashMap<u64, CrashRecord>,
    /// When servers last took the connection of a check.
    checks_taken: lru::LruCache<u64, time::Instant>,
    /// Whether what is quarantined may have changed.
    changed: bool,
    /// Causes that were logged.
    logged: collections::BTreeSet<content::ContentKey>,
    /// Contents that were tied when they were last looked at.
    tied: collections::BTreeSet<content::ContentKey>,
    /// Those of them that were refused by themselves.
    tied_often: collections::BTreeSet<content::ContentKey>,
    /// Servers whose crashes this VM found.
    found: collections::BTreeSet<u64>,
    /// What the store may not have.
    pub unsaved: unsaved::UnsavedCrashes,
}

impl Default for CrashEvidence {
    fn default() -> Self {
        let limits = table::SuspectLimits {
            suspected_for: SUSPICION_TIME,
            quarantined_for: QUARANTINE_TIME,
            tied_for: TIED_QUARANTINE_TIME,
            min_late_span: MIN_LATE_SPAN,
            retained_for: RETENTION,
            cleared_for: CLEARED_TIME,
            max_deaths: MAX_CRASHES,
            max_contents: MAX_CONTENTS,
        };
        Self {
            table: CrashTable::new(limits),
            epoch: time::Instant::now(),
            ran_well: lru::LruCache::new(MAX_RAN_WELL),
            news: crash_news::CrashNews::default(),
            dropped: dropped::DroppedAttempts::default(),
            unchecked: collections::HashMap::new(),
            checks_taken: lru::LruCache::new(MAX_CHECKS_TAKEN),
            changed: false,
            logged: collections::BTreeSet::new(),
            tied: collections::BTreeSet::new(),
            tied_often: collections::BTreeSet::new(),
            found: collections::BTreeSet::new(),
            unsaved: unsaved::UnsavedCrashes::default(),
        }
    }
}

impl CrashEvidence {
    /// Records that a server broke off a request. Returns whether it is to be checked whether the
    /// server crashed.
    pub fn record_broken(
        &mut self,
        server: u64,
        request: &request::ExchangeRequest,
        moment: BreakMoment,
        now: time::Instant,
    ) -> bool {
        let at_ms = self.millis(now);
        let contents = content::ContentKey::all_of(request);
        let is_first = !self.unchecked.contains_key(&server);
        let unchecked = self.unchecked.entry(server);
        let record = unchecked.or_insert_with(|| CrashRecord {
            server,
            at_ms,
            contents: collections::BTreeSet::new(),
            late: collections::BTreeSet::new(),
        });
        for content in contents {
            let is_new = record.contents.insert(content);
            if moment == BreakMoment::Early {
                record.late.remove(&content);
            } else if is_new {
                record.late.insert(content);
            }
        }
        is_first
    }

    /// Whether it is being checked whether a server crashed.
    #[must_use]
    pub fn is_unchecked(&self, server: u64) -> bool {
        self.unchecked.contains_key(&server)
    }

    /// Whether a server took a connection since an instant, with which it was checked.
    #[must_use]
    pub fn has_taken_check(&self, server: u64, since: time::Instant) -> bool {
        let taken = self.checks_taken.peek(&server);
        taken.is_some_and(|taken| *taken >= since)
    }

    /// Records that a server took the connection with which it was checked.
    pub fn record_check_taken(&mut self, server: u64, now: time::Instant) {
        self.checks_taken.put(server, now);
    }

    /// Whether any crash is remembered.
    #[must_use]
    pub fn knows_crashes(&self) -> bool {
        !self.table.is_empty()
    }

    /// Records whether a server crashed under the requests that it broke off. Returns the number of
    /// contents that it may be due to, if it crashed and this is news.
    pub fn record_check(
        &mut self,
        server: u64,
        crashed: bool,
        now: time::Instant,
    ) -> Option<usize> {
        let mut record = self.unchecked.remove(&server)?;
        if crashed {
            record.at_ms = self.crash_time(server, record.at_ms);
            self.add_dropped(&mut record);
            let table = &self.table;
            self.found
                .retain(|server| table.deaths().any(|crash| crash.server == *server));
            self.found.insert(server);
        }
        let contents = record.contents.len();
        let is_news = crashed && self.insert(record, crash_news::EvidenceSource::Own, now);
        is_news.then_some(contents)
    }

    /// Records that a server answered what was sent at `sent_at`. If that was after its alleged crash,
    /// it did not crash.
    pub fn record_answer(&mut self, server: u64, sent_at: time::Instant) {
        if self.table.is_empty() {
            return;
        }
        let sent_ms = self.millis(sent_at);
        if self.table.record_answer(&server, sent_ms) {
            log::info!(server; "server answered after its alleged crash");
            metrics::counter!("pollenchute_exchange_crashes_refuted_total").increment(1);
            self.note_refuted(server, crash_news::EvidenceSource::Own);
        }
    }

    /// Tells that a server did not crash.
    pub(crate) fn note_refuted(&mut self, server: u64, source: crash_news::EvidenceSource) {
        self.unsaved.add(source);
        self.add_news(server, source, |_| true);
        self.note_causes(source);
    }

    /// Records that this VM gave an attempt up while its server may have been at work on it.
    pub fn record_dropped(
        &mut self,
        server: u64,
        request: &request::ExchangeRequest,
        now: time::Instant,
    ) {
        let at_ms = self.millis(now);
        let contents = content::ContentKey::all_of(request);
        self.dropped.add(server, contents, at_ms);
        // The server may be known to have crashed before the attempt was given up.
        let crashes = self.table.deaths();
        let crash = crashes.rev().find(|crash| crash.server == server).cloned();
        if let Some(crash) = crash {
            self.insert(crash, crash_news::EvidenceSource::Own, now);
        }
    }

    /// Whether attempts were dropped on a server a short time ago, so that it is to be checked whether
    /// it crashed. If so, it is being checked from now on.
    pub fn begin_check_of_dropped(&mut self, server: u64, now: time::Instant) -> bool {
        let now_ms = self.millis(now);
        let mut contents = self.dropped.contents_on(server, now_ms);
        if self.is_unchecked(server) || contents.next().is_none() {
            return false;
        }
        drop(contents);
        let record = CrashRecord {
            server,
            at_ms: now_ms,
            contents: collections::BTreeSet::new(),
            late: collections::BTreeSet::new(),
        };
        self.unchecked.insert(server, record);
        true
    }

    /// Adds the contents that this VM had dropped on a server before it crashed. Returns whether any
    /// is new.
    fn add_dropped(&self, crash: &mut CrashRecord) -> bool {
        let before = crash.contents.len();
        for content in self.dropped.contents_on(crash.server, crash.at_ms) {
            if crash.contents.insert(content) {
                crash.late.insert(content);
            }
        }
        crash.contents.len() > before
    }

    pub(crate) fn insert(
        &mut self,
        mut record: CrashRecord,
        source: crash_news::EvidenceSource,
        now: time::Instant,
    ) -> bool {
        self.table.expire(self.millis(now));
        let source = match self.add_dropped(&mut record) {
            true => crash_news::EvidenceSource::Own,
            false => source,
        };
        let (server, contents) = (record.server, record.contents.clone());
        let is_new = self.table.record_death(record);
        if is_new {
            self.unsaved.add(source);
            self.add_news(server, source, |_| true);
            for content in contents {
                let times = self.ran_well.peek(&content).copied();
                for (extent, ran_ms) in times.iter().flat_map(table::ClearedTimes::all) {
                    self.clear(content, ran_ms, extent, crash_news::EvidenceSource::Own);
                }
            }
            self.note_causes(source);
            self.log_crash(server);
        }
        is_new
    }

    /// When a server crashed that is said to have crashed at `told_ms`. An incarnation crashes once,
    /// but ages of crashes in the store are off by the differences of wall clocks.
    pub(crate) fn crash_time(&self, server: u64, told_ms: u64) -> u64 {
        let mut crashes = self.table.deaths();
        let known = crashes.find(|crash| {
            let difference = time::Duration::from_millis(crash.at_ms.abs_diff(told_ms));
            crash.server == server
                && CLOCK_DIFFERENCES.contains(&difference)
                && self.table.answered_at(crash).is_none()
        });
        known.map_or(told_ms, |crash| crash.at_ms)
    }

    /// Logs what is inferred of the crash of a server.
    fn log_crash(&self, server: u64) {
        let crashes = self.table.deaths_with_causes();
        for (crash, cause) in crashes.filter(|(crash, _)| crash.server == server) {
            log::info!(
                server, contents = crash.contents.len(), cause:?, refuted = self.table.answered_at(crash).is_some();
                "crash recorded"
            );
        }
    }

    /// Records that contents ran well so far. Returns those that are cleared of crashes by it.
    pub fn record_ran_well(
        &mut self,
        mut contents: Vec<content::ContentKey>,
        extent: table::RunExtent,
        now: time::Instant,
    ) -> Vec<content::ContentKey> {
        let now_ms = self.millis(now);
        contents.retain(|content| {
            let default = table::ClearedTimes::default;
            let times = self.ran_well.get_or_insert_mut(*content, default);
            times.take(now_ms, extent);
            self.table.names(*content)
                && self.clear(*content, now_ms, extent, crash_news::EvidenceSource::Own)
        });
        contents
    }

    /// Adds the parts of crashes of a server that have a content as given to the news.
    fn add_news(
        &mut self,
        server: u64,
        source: crash_news::EvidenceSource,
        is_told: impl Fn(content::ContentKey) -> bool,
    ) {
        let crashes = self.table.deaths().filter(|crash| crash.server == server);
        for crash in crashes {
            for (number, chunk) in crash_items::chunks(crash).into_iter().enumerate() {
                if chunk.contents.into_iter().any(&is_told) {
                    self.news.add((server, number), source);
                }
            }
        }
    }

    /// Clears content, unless it is known to have run well about then. Returns whether it does.
    pub(crate) fn clear(
        &mut self,
        content: content::ContentKey,
        ran_ms: u64,
        extent: table::RunExtent,
        source: crash_news::EvidenceSource,
    ) -> bool {
        let step_ms = to_millis(CLEARED_STEP);
        let known = self.table.cleared_at(content);
        let known_ms = known.and_then(|times| times.of(extent));
        if known_ms.is_some_and(|known_ms| ran_ms < known_ms.saturating_add(step_ms)) {
            return false;
        }
        if self.table.is_accused(content, ran_ms) {
            self.unsaved.add(source);
        }
        self.table.clear_to(content, ran_ms, extent);
        let crashes = self.table.deaths();
        let crashes = crashes.filter(|crash| crash.contents.contains(&content));
        let servers: Vec<_> = crashes.map(|crash| crash.server).collect();
        for server in servers {
            self.add_news(server, source, |named| named == content);
        }
        log::info!(content:?, extent:?; "content ran well, and is cleared of crashes");
        metrics::counter!("pollenchute_exchange_crash_clearances_total").increment(1);
        self.note_causes(source);
        true
    }

    /// Logs causes that are new, and forgets those that are none any more. `source` tells where what
    /// changed is known from.
    fn note_causes(&mut self, source: crash_news::EvidenceSource) {
        self.changed = true;
        let causes = self.table.causes();
        for content in causes.difference(&self.logged) {
            let crashes = self.table.against(*content);
            let servers: Vec<_> = crashes.map(|(crash, _)| crash.server).collect();
            log::warn!(
                content:?, crashes = servers.len(), servers:?;
                "content crashes servers, and is quarantined"
            );
        }
        metrics::gauge!("pollenchute_exchange_crash_causes").set(causes.len() as f64);
        let tied = self.table.tied();
        for content in tied.difference(&self.tied) {
            let crashes = self.table.against(*content).count();
            let rivals = self.table.rivals(*content);
            log::info!(content:?, crashes, rivals:?; "content is tied with others at crashes");
        }
        metrics::gauge!("pollenchute_exchange_crash_ties").set(tied.len() as f64);
        let tied_often = self.table.tied_often();
        for content in tied_often.difference(&self.tied_often) {
            log::warn!(content:?; "content is quarantined, since it is tied at many crashes");
        }
        let changed: Vec<_> = causes
            .symmetric_difference(&self.logged)
            .chain(tied.symmetric_difference(&self.tied))
            .chain(tied_often.symmetric_difference(&self.tied_often))
            .copied()
            .collect();
        // Of many VMs that learn of a change, those save it that have a part in it.
        if !changed.is_empty() && source == crash_news::EvidenceSource::Own
            || changed.into_iter().any(|content| self.has_found(content))
        {
            self.unsaved.add_refused();
        }
        self.logged = causes;
        self.tied = tied;
        self.tied_often = tied_often;
    }

    /// Time for which a request is refused; `None` unless it is quarantined.
    #[must_use]
    pub fn quarantine_left(
        &self,
        request: &request::ExchangeRequest,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let quarantine = self.quarantine(request, now);
        quarantine.map(|(_, left_ms)| time::Duration::from_millis(left_ms))
    }

    /// The content for which a request is quarantined, and the time left in milliseconds.
    #[must_use]
    pub fn quarantine(
        &self,
        request: &request::ExchangeRequest,
        now: time::Instant,
    ) -> Option<(content::ContentKey, u64)> {
        if self.table.is_empty() {
            return None;
        }
        let contents = content::ContentKey::all_of(request);
        self.table.quarantine(&contents, self.millis(now))
    }

    /// Whether a request may be what crashed several servers, and crashes do not tell yet.
    #[must_use]
    pub fn is_suspect(&self, request: &request::ExchangeRequest, now: time::Instant) -> bool {
        let content = content::ContentKey::Request(request.fingerprint);
        let standing = self.table.standing(content, self.millis(now));
        matches!(standing, table::ContentStanding::Suspect { deaths } if deaths >= MIN_SUSPECT_CRASHES)
    }

    /// Whether what is quarantined may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether this VM found a crash that a content was at.
    fn has_found(&self, content: content::ContentKey) -> bool {
        self.table
            .deaths()
            .any(|crash| self.found.contains(&crash.server) && crash.contents.contains(&content))
    }

    /// The clock of records.
    pub(crate) fn millis(&self, now: time::Instant) -> u64 {
        to_millis(CLOCK_START + now.saturating_duration_since(self.epoch))
    }
}

fn to_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
