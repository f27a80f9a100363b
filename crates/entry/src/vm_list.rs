//! The platform's lagging list of live and leaving VMs: one more source of what is leaving.

use std::{sync, time::Duration};

use base::id;
use gossip::{handle, update};
use tokio::time;
use trace::kind;

use crate::{chronicle, configure, roster};

/// Time between two looks at the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the list.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ListedVm {
    /// Its name: an entry VM or a backend server of the inventory.
    pub name: String,
    /// Its state.
    pub state: ListedState,
}

/// State of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It runs, or ran when the list was made.
    Live,
    /// It will be taken away.
    Leaving,
}

/// The list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct VmListBody {
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// Reads the list and believes what is leaving.
///
/// What the list calls live is not believed of a server known to be leaving: the list lags, and
/// leaving is never unlearnt for one life.
#[derive(Clone, Debug)]
pub struct ListController {
    /// Connections for the list alone.
    pub http: reqwest::Client,
    /// Where the list is.
    pub url: String,
    /// The configuration in force.
    pub book: sync::Arc<configure::ConfigBook>,
    /// Told of backend servers that are leaving.
    pub roster: sync::Arc<roster::ServerRoster>,
    /// Told when this VM is leaving.
    pub gossip: handle::GossipHandle,
    /// This life of this process.
    pub incarnation: id::Incarnation,
    /// Told of changes of state.
    pub chronicle: chronicle::Chronicle,
}

impl ListController {
    /// Runs for ever.
    pub async fn run(self) {
        let mut tick = time::interval(POLL_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut own_leaving = false;
        loop {
            tick.tick().await;
            let Ok(list) = self.read().await else {
                metrics::counter!("pollenchute_entry_vm_list_failures_total").increment(1);
                continue;
            };
            for vm in list
                .vms
                .into_iter()
                .filter(|vm| vm.state == ListedState::Leaving)
            {
                if vm.name == self.gossip.identity().name {
                    if !own_leaving {
                        self.leave_self().await;
                        own_leaving = true;
                    }
                } else {
                    self.leave_server(&vm.name);
                }
            }
        }
    }

    async fn read(&self) -> Result<VmListBody, reqwest::Error> {
        let answer = self
            .http
            .get(&self.url)
            .timeout(POLL_TIMEOUT)
            .send()
            .await?;
        answer.error_for_status()?.json().await
    }

    fn leave_server(&self, name: &str) {
        let Some(key) = self.book.snapshot().server_key(name) else {
            return;
        };
        if self.roster.leave(key) {
            log::info!(server = name, source = "VM list"; "backend server is leaving");
            let (server, source) = (name.to_owned(), "VM list".to_owned());
            self.chronicle
                .record(kind::EventKind::ServerLeaving { server, source });
        }
    }

    /// This VM stops being named to callers; it goes on serving until its process is told to stop.
    async fn leave_self(&self) {
        let name = self.gossip.identity().name.clone();
        log::info!(vm = name.as_str(), source = "VM list"; "this entry VM is leaving");
        let source = "VM list".to_owned();
        self.chronicle.record(kind::EventKind::DrainStarted {
            subject: name.clone(),
            source,
        });
        let incarnation = self.incarnation;
        let subject = update::LeavingSubject::Vm { name, incarnation };
        self.gossip
            .publish(update::ItemUpdate::Leaving(subject))
            .await;
    }
}
