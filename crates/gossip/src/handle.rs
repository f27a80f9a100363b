//! The face of gossip towards the rest of the process.

use std::sync;

use tokio::sync as channels;
use wire::identity;

use crate::{digest, event, list, news, settings, view, watching};

/// What the driver is asked to do.
#[derive(Debug)]
pub(crate) enum GossipCommand {
    Publish(news::NewsItem),
    Leave,
    Seeds(Vec<settings::SeedEntry>),
    Servers(Vec<String>),
    VmList(list::VmListReport),
    Load(String, digest::EngineLoad),
    Demand(String, digest::OrganisationDemand, Vec<String>),
    Work(digest::EntryWork, Vec<String>),
    Depart(channels::oneshot::Sender<()>),
}

/// Gossip as the rest of the process sees it; cheap to clone.
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

    /// The own VM and this life of it.
    #[must_use]
    pub const fn identity(&self) -> &identity::ProcessIdentity {
        &self.identity
    }

    /// All members as seen now.
    #[must_use]
    pub fn snapshot(&self) -> sync::Arc<view::MemberSnapshot> {
        sync::Arc::clone(&self.members.borrow())
    }

    /// All members, with notice of each change.
    #[must_use]
    pub fn members(&self) -> channels::watch::Receiver<sync::Arc<view::MemberSnapshot>> {
        self.members.clone()
    }

    /// Everything that changes from now on; a listener that lags far behind is told how much it
    /// lost and takes [`Self::snapshot`].
    #[must_use]
    pub fn subscribe(&self) -> channels::broadcast::Receiver<event::GossipEvent> {
        self.events.subscribe()
    }

    /// Passes an item on to every VM.
    pub async fn publish(&self, news: news::NewsItem) {
        self.command(GossipCommand::Publish(news)).await;
    }

    /// Marks this life of this VM as leaving: it takes no new work, but stays a member.
    pub async fn leave(&self) {
        self.command(GossipCommand::Leave).await;
    }

    /// Replaces the entry VMs of the inventory.
    pub async fn set_seeds(&self, seeds: Vec<settings::SeedEntry>) {
        self.command(GossipCommand::Seeds(seeds)).await;
    }

    /// Replaces the backend servers of the own region, whose watching is to be divided.
    pub async fn set_servers(&self, servers: Vec<String>) {
        self.command(GossipCommand::Servers(servers)).await;
    }

    /// Takes the platform's list of VMs: whom it calls leaving leaves; all else is a hint.
    pub async fn set_vm_list(&self, list: list::VmListReport) {
        self.command(GossipCommand::VmList(list)).await;
    }

    /// Passes on a load that this VM has read; a standby's word is sent only when it is needed.
    pub async fn publish_load(&self, server: String, load: digest::EngineLoad) {
        self.command(GossipCommand::Load(server, load)).await;
    }

    /// Tells `receivers` how much an organisation asked of this VM.
    pub async fn publish_demand(
        &self,
        organisation: String,
        demand: digest::OrganisationDemand,
        receivers: Vec<String>,
    ) {
        self.command(GossipCommand::Demand(organisation, demand, receivers))
            .await;
    }

    /// Tells `receivers` of this VM's work.
    pub async fn publish_work(&self, work: digest::EntryWork, receivers: Vec<String>) {
        self.command(GossipCommand::Work(work, receivers)).await;
    }

    /// VMs that watch the server, the first watcher first.
    #[must_use]
    pub fn watchers(&self, server: &str) -> Vec<String> {
        self.snapshot().plan.watchers(server).to_vec()
    }

    /// What this VM has to do about the server.
    #[must_use]
    pub fn watch_duty(&self, server: &str) -> watching::WatchDuty {
        self.snapshot().plan.duty(&self.identity.name, server)
    }

    /// Says goodbye and stops; returns when that was sent.
    pub async fn depart(&self) {
        let (done, wait) = channels::oneshot::channel();
        self.command(GossipCommand::Depart(done)).await;
        // An error means that it had stopped before.
        let _ = wait.await;
    }

    async fn command(&self, command: GossipCommand) {
        // An error means that it departed: nothing is left to be told.
        let _ = self.commands.send(command).await;
    }
}
