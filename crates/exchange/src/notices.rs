//! Notices that servers leave, as VMs that read the store repeat them to all others.
//!
//! Load pattern: hundreds of servers leave or come in each second, so that no two VMs ever know quite the
//! same, and a VM that missed one notice can't tell it from what is on its way. A notice must reach each of
//! hundreds of VMs all the same, whatever datagrams are lost and whichever VMs fail.
//!
//! Each VM that reads the store tells all others after each poll which servers it has learnt to leave of
//! late. A notice is short, names one incarnation and is never unlearnt for it, so any VM may take it any
//! number of times. With a poll each second at the most and [`READERS`](crate::state::READERS) VMs that
//! poll, the last VM knows within one poll, unless the datagrams of all of them are lost; each then tells
//! it once more.

use std::collections;

use tokio::time;

use crate::{fleet, message, news};

/// For how long a notice is repeated: by two polls of each VM that reads the store, and a half.
const REPEATED_FOR: time::Duration = time::Duration::from_millis(1_500);
/// Notices in one datagram, of 16 bytes each, beside the loads of one VM.
pub const MOST_NOTICES: usize = 48;
/// Notices that are kept; the oldest go first.
const MOST_KEPT: usize = 4_096;

/// Notices that this VM took of late.
#[derive(Debug, Default)]
pub struct LeavingNotices {
    /// Oldest first.
    recent: collections::VecDeque<(time::Instant, message::NoticeItem)>,
    /// Whether they are to be told with the next datagram to all.
    due: bool,
}

impl LeavingNotices {
    /// A server takes no new work any more.
    pub fn note(&mut self, notice: message::NoticeItem, now: time::Instant) {
        self.forget_old(now);
        if self.recent.len() >= MOST_KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, notice));
    }

    /// This VM polled the store: what it has is to be told.
    pub fn make_due(&mut self, now: time::Instant) {
        self.forget_old(now);
        self.due = true;
    }

    /// Notices that are to be told now.
    pub fn take_due(&mut self) -> Vec<message::NoticeItem> {
        if !std::mem::take(&mut self.due) {
            return Vec::new();
        }
        self.recent.iter().map(|(_, notice)| *notice).collect()
    }

    fn forget_old(&mut self, now: time::Instant) {
        let old = |at: time::Instant| now.saturating_duration_since(at) >= REPEATED_FOR;
        while self.recent.front().is_some_and(|(at, _)| old(*at)) {
            self.recent.pop_front();
        }
    }
}

impl fleet::ServerFleet {
    /// The news that a notice stands for; absent unless the server is known and takes work.
    #[must_use]
    pub fn news_of(
        &self,
        notice: &message::NoticeItem,
        now: time::Instant,
    ) -> Option<news::ServerNews> {
        let key = self.find_by_hash(notice.server as u32)?;
        let record = self.server(key)?;
        if record.incarnation_hash() != notice.server || !record.takes_work(now) {
            return None;
        }
        let mut news = record.update();
        news.offset = notice.offset;
        news.entry = news.entry.filter(|_| !notice.gone);
        if let Some(entry) = &mut news.entry {
            entry.leaving = true;
        }
        Some(news)
    }
}
