//! Watches engines while the store is away.
//!
//! Load pattern: engines go on being reclaimed while the store is down. Their notices reach nobody,
//! and their streams are cut two seconds later. So each engine that runs something is asked itself,
//! by one of the VMs that have runs there; the others hear of it.

use std::rc;

use tokio::time;

use crate::{fleet, news, plane, port, state};

/// Time between two askings of one engine: its report is half a second old as it is.
const ASK_GAP: time::Duration = time::Duration::from_millis(300);
/// Time that an answer may take.
const ASK_WAIT: time::Duration = time::Duration::from_millis(250);

/// Watches engines; never ends.
pub async fn watch_engines<P: port::ServerPort + 'static>(plane: rc::Rc<plane::ExchangePlane<P>>) {
    loop {
        time::sleep(ASK_GAP).await;
        let watched = watched(&plane.state(), time::Instant::now());
        let asked = watched.into_iter().map(|key| ask_engine(&plane, key));
        futures_util::future::join_all(asked).await;
    }
}

/// Engines that this VM watches: those where it has runs, and is the first by hash of the VMs that
/// have. None while any VM reads the store.
fn watched(state: &state::PlaneState, now: time::Instant) -> Vec<fleet::ServerKey> {
    let mut heard = state.peers.all().filter(|(_, peer)| peer.is_heard(now));
    if !state.store_away || heard.any(|(_, peer)| peer.reads_store) {
        return Vec::new();
    }
    let own = state.sender();
    let loads = state.fleet.own_loads();
    let first = |key| state.fleet.peers_at(key, now).all(|vm| own < vm);
    let generating: std::collections::HashSet<_> = state
        .fleet
        .runs()
        .filter(|(_, run)| run.size.is_some())
        .map(|(_, run)| run.server)
        .collect();
    let ready = |key| {
        state
            .fleet
            .server(key)
            .is_some_and(|server| server.takes_work(now))
    };
    loads
        .keys()
        .filter(|&key| generating.contains(&key) && ready(key) && first(key))
        .collect()
}

async fn ask_engine<P: port::ServerPort>(plane: &plane::ExchangePlane<P>, key: fleet::ServerKey) {
    let Some(target) = plane.target(key) else {
        return;
    };
    metrics::counter!("pollenchute_exchange_engine_asks_total").increment(1);
    let told = time::timeout(ASK_WAIT, plane.port.leaving(target)).await;
    if told != Ok(Some(true)) {
        return;
    }
    let news = plane.state().fleet.server(key).map(|server| {
        let told = server.news();
        let entry = told.entry.map(|entry| news::ServerEntry {
            leaving: true,
            ..entry
        });
        news::ServerNews {
            offset: told.offset + 1,
            entry,
            ..told
        }
    });
    let Some(news) = news else { return };
    let now = time::Instant::now();
    let change = plane.state().take_news(news.clone(), true, now);
    if crate::follow::log_change(plane, &news, change, "engine") {
        plane.stir();
        plane.spread();
    }
}
