//! Interface of gossip to the rest of the process.

use std::sync;

use tokio::sync as channels;
use wire::identity;

use crate::{digest, event, list, settings, update, view, watching};

/// A command to the driver.
#[derive(Debug)]
pub(crate) enum GossipCommand {
    Publish(update::ItemUpdate),
    Leave,
    Seeds(Vec<settings::SeedEntry>),
    Servers(Vec<String>),
    VmList(list::VmListReport),
    Load(String, digest::EngineLoad),
    Demand(String, digest::OrganisationDemand, Vec<String>),
    Work(digest::EntryWork, Vec<String>),
    Depart(channels::oneshot::Sender<()>),
}

/// Handle to a running gossip driver; cheap to clone.
#[derive(Clone, Debug)]
pub struct GossipHandle {
    identity: identity::ProcessIdentity,
    members: channels::watch::Receiver<sync::Arc<view::MemberSnapshot>>,
    events: channels::broadcast::Sender<event::GossipEvent>,
    commands: channels::mpsc::Sender<GossipCommand>,
}

impl GossipHandle {
    pub(crate) const fn new(
        identity: identity::ProcessIdentity,
        members: channels::watch::Receiver<sync::Arc<view::MemberSnapshot>>,
        events: channels::broadcast::Sender<event::GossipEvent>,
        commands: channels::mpsc::Sender<GossipCommand>,
    ) -> Self {
        Self {
            identity,
            members,
            events,
            commands,
        }
    }

    /// Name of this VM and its current incarnation.
    #[must_use]
    pub const fn identity(&self) -> &identity::ProcessIdentity {
        &self.identity
    }

    /// The latest snapshot of all members.
    #[must_use]
    pub fn snapshot(&self) -> sync::Arc<view::MemberSnapshot> {
        sync::Arc::clone(&self.members.borrow())
    }

    /// A receiver of member snapshots that is notified of each change.
    #[must_use]
    pub fn members(&self) -> channels::watch::Receiver<sync::Arc<view::MemberSnapshot>> {
        self.members.clone()
    }

    /// Subscribes to all changes from now on; a subscriber that lags far behind is notified how
    /// many events it lost and reads [`Self::snapshot`] instead.
    #[must_use]
    pub fn subscribe(&self) -> channels::broadcast::Receiver<event::GossipEvent> {
        self.events.subscribe()
    }

    /// Disseminates an item to every VM.
    pub async fn publish(&self, update: update::ItemUpdate) {
        self.command(GossipCommand::Publish(update)).await;
    }

    /// Marks this incarnation of the VM as leaving: it accepts no new work, but stays a member.
    pub async fn leave(&self) {
        self.command(GossipCommand::Leave).await;
    }

    /// Replaces the entry VMs of the inventory.
    pub async fn set_seeds(&self, seeds: Vec<settings::SeedEntry>) {
        self.command(GossipCommand::Seeds(seeds)).await;
    }

    /// Replaces the backend servers of this region, whose watchers the plan assigns.
    pub async fn set_servers(&self, servers: Vec<String>) {
        self.command(GossipCommand::Servers(servers)).await;
    }

    /// Applies the platform's list of VMs: those it reports as leaving are marked as leaving; the
    /// rest of it is a hint.
    pub async fn set_vm_list(&self, list: list::VmListReport) {
        self.command(GossipCommand::VmList(list)).await;
    }

    /// Sends a load that this VM has read to the users of the server; a standby watcher sends only
    /// while the first watcher is silent.
    pub async fn publish_load(&self, server: String, load: digest::EngineLoad) {
        self.command(GossipCommand::Load(server, load)).await;
    }

    /// Sends the recent demand of an organisation on this VM to `receivers`.
    pub async fn publish_demand(
        &self,
        organisation: String,
        demand: digest::OrganisationDemand,
        receivers: Vec<String>,
    ) {
        self.command(GossipCommand::Demand(organisation, demand, receivers))
            .await;
    }

    /// Sends this VM's work to `receivers`.
    pub async fn publish_work(&self, work: digest::EntryWork, receivers: Vec<String>) {
        self.command(GossipCommand::Work(work, receivers)).await;
    }

    /// VMs that watch the server, the first watcher first.
    #[must_use]
    pub fn watchers(&self, server: &str) -> Vec<String> {
        self.snapshot().plan.watchers(server).to_vec()
    }

    /// Duty of this VM in watching the server.
    #[must_use]
    pub fn watch_duty(&self, server: &str) -> watching::WatchDuty {
        self.snapshot().plan.duty(&self.identity.name, server)
    }

    /// Announces the departure of this VM and stops; returns when the announcement was sent.
    pub async fn depart(&self) {
        let (done, wait) = channels::oneshot::channel();
        self.command(GossipCommand::Depart(done)).await;
        // An error means that the driver had stopped before.
        let _ = wait.await;
    }

    async fn command(&self, command: GossipCommand) {
        // An error means that the driver has stopped: the command has no effect any more.
        let _ = self.commands.send(command).await;
    }
}
