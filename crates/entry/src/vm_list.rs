//! The platform's eventually consistent list of live and leaving VMs, a further source of leaving
//! VMs.

use std::{sync, time::Duration};

use base::id;
use gossip::{handle, update};
use tokio::time;
use trace::kind;

use crate::{configure, recorder, roster};

/// Interval between two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one poll.
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
    /// The VM is running, or was when the list was made.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// The list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct VmListBody {
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// Polls the list and marks the VMs that it lists as leaving.
///
/// A server known to be leaving stays so even if the list shows it as live: the list lags, and a
/// leaving mark is permanent for one incarnation.
#[derive(Clone, Debug)]
pub struct ListController {
    /// HTTP client used only for the list.
    pub http: reqwest::Client,
    /// URL of the list.
    pub url: String,
    /// The configuration in force.
    pub active_config: sync::Arc<configure::ActiveConfig>,
    /// Receives the backend servers that are leaving.
    pub roster: sync::Arc<roster::ServerRoster>,
    /// Announces that this VM is leaving.
    pub gossip: handle::GossipHandle,
    /// Incarnation of this process.
    pub incarnation: id::Incarnation,
    /// Records changes of state.
    pub recorder: recorder::EventRecorder,
}

impl ListController {
    /// Runs until cancelled.
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
        let Some(key) = self.active_config.snapshot().server_key(name) else {
            return;
        };
        if self.roster.leave(key) {
            log::info!(server = name, source = "VM list"; "backend server is leaving");
            let (server, source) = (name.to_owned(), "VM list".to_owned());
            self.recorder
                .record(kind::EventKind::ServerLeaving { server, source });
        }
    }

    /// Stops advertising this VM to callers; it continues to serve until its process is stopped.
    async fn leave_self(&self) {
        let name = self.gossip.identity().name.clone();
        log::info!(vm = name.as_str(), source = "VM list"; "this entry VM is leaving");
        let source = "VM list".to_owned();
        self.recorder.record(kind::EventKind::DrainStarted {
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
