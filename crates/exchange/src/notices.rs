//! Notices of leaving servers, which VMs that read the store repeat to all others.
//!
//! Load pattern: hundreds of servers leave or join each second, so no two VMs ever have exactly the
//! same state, and a VM that missed one notice can't tell that from updates that are still in
//! flight. Still, a notice must reach each of hundreds of VMs, whichever datagrams are lost and
//! whichever VMs fail.
//!
//! After each poll, each VM that reads the store sends all others the servers that it recently
//! found to be leaving. A notice is short, names one incarnation and is never revoked for it, so a
//! VM may apply it any number of times. With at most a second between polls and
//! [`READERS`](crate::readers::READERS) VMs that poll, the last VM learns of it within one poll,
//! unless the datagrams of all of them are lost; each then sends it once more.

use std::collections;

use tokio::time;

use crate::{fleet, message, update};

/// Time for which a notice is repeated: two and a half polls of each VM that reads the store.
const REPEAT_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Maximum number of notices in one datagram, of 16 bytes each, next to the loads of one VM.
pub const MAX_NOTICES_PER_DATAGRAM: usize = 48;
/// Maximum number of notices kept; the oldest are dropped first.
const MAX_RECENT: usize = 4_096;

/// Notices that this VM received or found recently.
#[derive(Debug, Default)]
pub struct LeavingNotices {
    /// Oldest first.
    recent: collections::VecDeque<(time::Instant, message::NoticeItem)>,
    /// Whether the notices go out with the next datagram to all VMs.
    due: bool,
}

impl LeavingNotices {
    /// Adds a notice that a server takes no new work any more.
    pub fn add(&mut self, notice: message::NoticeItem, now: time::Instant) {
        self.forget_old(now);
        if self.recent.len() >= MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, notice));
    }

    /// Marks the notices as due, after this VM has polled the store.
    pub fn make_due(&mut self, now: time::Instant) {
        self.forget_old(now);
        self.due = true;
    }

    /// Returns the notices that are due, once.
    pub fn take_due(&mut self) -> Vec<message::NoticeItem> {
        if !std::mem::take(&mut self.due) {
            return Vec::new();
        }
        self.recent.iter().map(|(_, notice)| *notice).collect()
    }

    fn forget_old(&mut self, now: time::Instant) {
        let old = |at: time::Instant| now.saturating_duration_since(at) >= REPEAT_TIME;
        while self.recent.front().is_some_and(|(at, _)| old(*at)) {
            self.recent.pop_front();
        }
    }
}

impl fleet::ServerFleet {
    /// The server update that a notice stands for; `None` unless the server is known and takes
    /// work.
    #[must_use]
    pub fn update_of(
        &self,
        notice: &message::NoticeItem,
        now: time::Instant,
    ) -> Option<update::ServerUpdate> {
        let record = self.server(self.find_incarnation(notice.server)?)?;
        if !record.takes_work(now) {
            return None;
        }
        let mut update = record.update();
        update.position = notice.position();
        update.entry = update.entry.filter(|_| !notice.removed);
        if let Some(entry) = &mut update.entry {
            entry.leaving = true;
            entry.said_leaving |= notice.said;
        }
        Some(update)
    }
}
