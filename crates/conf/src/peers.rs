//! What other entry VMs offer, and when a state is fetched from one of them.

use std::collections;

use tokio::time;

use crate::{keeper::ClockReading, offer, pace::FollowSettings, state};

/// Offers of the other entry VMs.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    offers: collections::BTreeMap<String, offer::StateOffer>,
    /// The VM that was asked for its state.
    fetching: Option<String>,
    /// Since when an offer is better than the own state of this offset.
    behind_since: Option<(time::Instant, u64)>,
}

impl PeerTable {
    /// The newest offer of each VM.
    #[must_use]
    pub const fn offers(&self) -> &collections::BTreeMap<String, offer::StateOffer> {
        &self.offers
    }

    /// Takes note of an offer; false when the VM told the same before.
    pub fn note(&mut self, peer: &str, offer: offer::StateOffer) -> bool {
        self.offers.insert(peer.to_owned(), offer) != Some(offer)
    }

    /// The VM is gone, or does not give what it offered.
    pub fn forget(&mut self, peer: &str) {
        self.offers.remove(peer);
        if self.fetching.as_deref() == Some(peer) {
            self.fetching = None;
        }
    }

    /// The fetch under way has ended.
    pub fn fetched(&mut self) {
        self.fetching = None;
    }

    /// The VM to fetch a state from, when the log does not give it soon; one at a time.
    ///
    /// `is_stranded` tells that the log cannot be read on from the own state.
    pub fn next_fetch(
        &mut self,
        own: Option<&state::ConfigState>,
        is_stranded: bool,
        settings: &FollowSettings,
        clock: ClockReading,
    ) -> Option<String> {
        let Some(peer) = self.best(own, is_stranded) else {
            self.behind_since = None;
            return None;
        };
        let offset = own.map_or(0, state::ConfigState::offset);
        let (since, _) = match self.behind_since {
            Some(behind) if behind.1 == offset => behind,
            // It gets on, if slowly: waiting begins anew.
            _ => *self.behind_since.insert((clock.now, offset)),
        };
        let wait = if own.is_none() {
            settings.settle
        } else {
            settings.patience
        };
        if self.fetching.is_some() || clock.now < since + wait {
            return None;
        }
        self.fetching = Some(peer.clone());
        Some(peer)
    }

    /// The VM with the best state that is of use.
    ///
    /// The same revision at a higher offset is of use only to a VM that is stranded, because the
    /// log has dropped what follows.
    fn best(&self, own: Option<&state::ConfigState>, is_stranded: bool) -> Option<String> {
        let offers = self
            .offers
            .iter()
            .map(|(peer, offer)| (peer.as_str(), *offer));
        let useful = offers.filter(|(_, offer)| match own {
            None => offer.revision > 0,
            Some(state) => {
                offer.replaces(&state.offer())
                    && (is_stranded || offer.revision > state.revision())
                    && !state.is_contradicted_by(offer)
            }
        });
        offer::best(useful).map(|(peer, _)| peer.to_owned())
    }
}
