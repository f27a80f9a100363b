//! State offers of other entry VMs, and the decision when to fetch a state from one of them.

use std::collections;

use tokio::time;

use crate::{keeper::ClockReading, offer, pace::FollowSettings, state};

/// Latest state offers of the other entry VMs.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    offers: collections::BTreeMap<String, offer::StateOffer>,
    /// VM that a state is being fetched from.
    fetching: Option<String>,
    /// Since when a useful offer has existed, and the own offset at that time.
    behind_since: Option<(time::Instant, u64)>,
}

impl PeerTable {
    /// The latest offer of each VM.
    #[must_use]
    pub const fn offers(&self) -> &collections::BTreeMap<String, offer::StateOffer> {
        &self.offers
    }

    /// Stores an offer and returns whether it differs from the VM's previous one.
    pub fn update(&mut self, peer: &str, offer: offer::StateOffer) -> bool {
        self.offers.insert(peer.to_owned(), offer) != Some(offer)
    }

    /// Removes a VM that has departed or did not deliver the state that it offered.
    pub fn remove(&mut self, peer: &str) {
        self.offers.remove(peer);
        if self.fetching.as_deref() == Some(peer) {
            self.fetching = None;
        }
    }

    /// Ends the fetch in progress.
    pub fn finish_fetch(&mut self) {
        self.fetching = None;
    }

    /// The VM to fetch a state from if reading the log does not catch up in time; one fetch at a
    /// time.
    ///
    /// `is_log_truncated` states that the log no longer holds the records that follow the own
    /// state.
    pub fn next_fetch(
        &mut self,
        own: Option<&state::ConfigState>,
        is_log_truncated: bool,
        settings: &FollowSettings,
        clock: ClockReading,
    ) -> Option<String> {
        let Some(peer) = self.best(own, is_log_truncated) else {
            self.behind_since = None;
            return None;
        };
        let offset = own.map_or(0, state::ConfigState::offset);
        let (since, _) = match self.behind_since {
            Some(behind) if behind.1 == offset => behind,
            // Reading the log makes progress, so the timeout starts again.
            _ => *self.behind_since.insert((clock.now, offset)),
        };
        let wait = if own.is_none() {
            settings.offer_wait
        } else {
            settings.behind_timeout
        };
        if self.fetching.is_some() || clock.now < since + wait {
            return None;
        }
        self.fetching = Some(peer.clone());
        Some(peer)
    }

    /// The VM with the best useful state.
    ///
    /// The same revision at a higher offset is useful only if the log has dropped the records that
    /// follow the own state.
    fn best(&self, own: Option<&state::ConfigState>, is_log_truncated: bool) -> Option<String> {
        let offers = self
            .offers
            .iter()
            .map(|(peer, offer)| (peer.as_str(), *offer));
        let useful = offers.filter(|(_, offer)| match own {
            None => offer.revision > 0,
            Some(state) => {
                offer.replaces(&state.offer())
                    && (is_log_truncated || offer.revision > state.revision())
                    && !state.is_contradicted_by(offer)
            }
        });
        offer::best(useful).map(|(peer, _)| peer.to_owned())
    }
}
