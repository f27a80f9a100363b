//! Drives the membership core over a UDP socket.

use std::sync;

use rand::SeedableRng as _;
use snafu::ResultExt as _;
use tokio::{net, sync as channels, time};
use trace::stamper;
use wire::{datagram, identity, key};

use crate::{core, event, handle, settings, view};

/// Events that a slow subscriber may lag behind before it loses some; it is notified of the loss.
const EVENT_BACKLOG: usize = 1024;

/// Maximum number of commands queued for the driver.
const COMMAND_BACKLOG: usize = 256;

/// Pause after a socket error.
const ERROR_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

/// Ticks during which the departure of this VM is disseminated.
const DEPARTURE_TICKS: u32 = 5;

/// Error that prevents gossip from starting.
#[derive(Debug, snafu::Snafu)]
pub enum StartError {
    /// The socket could not be bound.
    #[snafu(display(
        "gossip cannot listen for datagrams at {address}: {source}; \
         free the port or change the VM's address for peers"
    ))]
    Bind {
        /// Address to listen at.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Starts gossip; it runs until the handle departs or all handles are dropped.
///
/// # Errors
/// When the socket cannot be bound.
pub async fn start(
    settings: settings::GossipSettings,
    keys: key::KeyHandle,
    rng_seed: [u8; 32],
) -> Result<handle::GossipHandle, StartError> {
    start_stamped(settings, keys, rng_seed, stamper::MessageStamper::default()).await
}

/// Starts gossip with stamps on its datagrams, so that the timeline orders events across VMs
/// causally.
///
/// # Errors
/// When the socket cannot be bound.
pub async fn start_stamped(
    settings: settings::GossipSettings,
    keys: key::KeyHandle,
    rng_seed: [u8; 32],
    stamper: stamper::MessageStamper,
) -> Result<handle::GossipHandle, StartError> {
    let address = settings.bind;
    let socket = net::UdpSocket::bind(address)
        .await
        .context(BindSnafu { address })?;
    let started_at = time::Instant::now();
    let identity = settings.own.identity.clone();
    let core = core::MemberCore::new(
        settings.own,
        settings.timing.clone(),
        settings.seeds,
        rand::rngs::StdRng::from_seed(rng_seed),
        std::time::Duration::ZERO,
    );
    let (snapshots, members) = channels::watch::channel(sync::Arc::default());
    let (events, _) = channels::broadcast::channel(EVENT_BACKLOG);
    let (commands, inbox) = channels::mpsc::channel(COMMAND_BACKLOG);
    let driver = GossipDriver {
        codec: datagram::DatagramCodec::new(identity.clone(), keys).with_stamper(stamper),
        socket,
        core,
        started_at,
        snapshots,
        events: events.clone(),
        changed: true,
    };
    tokio::spawn(driver.run(inbox, settings.timing.tick));
    Ok(handle::GossipHandle::new(
        identity, members, events, commands,
    ))
}

struct GossipDriver {
    socket: net::UdpSocket,
    codec: datagram::DatagramCodec,
    core: core::MemberCore<rand::rngs::StdRng>,
    started_at: time::Instant,
    snapshots: channels::watch::Sender<sync::Arc<view::MemberSnapshot>>,
    events: channels::broadcast::Sender<event::GossipEvent>,
    /// Whether anything changed since the last snapshot.
    changed: bool,
}

impl GossipDriver {
    async fn run(
        mut self,
        mut inbox: channels::mpsc::Receiver<handle::GossipCommand>,
        tick: std::time::Duration,
    ) {
        let mut ticker = time::interval(tick);
        ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        // One byte more than allowed, so that an oversized datagram is recognised.
        let mut buffer = [0; datagram::MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                _ = ticker.tick() => {
                    let actions = self.core.on_tick(self.now());
                    self.perform(actions).await;
                    self.publish_snapshot();
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((bytes, from)) => self.receive(from, &buffer[..bytes]).await,
                    // The operating system also reports here that an earlier datagram reached a
                    // closed port.
                    Err(_) => {
                        metrics::counter!("pollenchute_gossip_socket_errors_total").increment(1);
                        // A persistent error would otherwise keep a processor core busy.
                        time::sleep(ERROR_PAUSE).await;
                    }
                },
                command = inbox.recv() => match command {
                    Some(handle::GossipCommand::Depart(done)) => {
                        self.depart(&mut ticker).await;
                        let _ = done.send(());
                        return;
                    }
                    Some(command) => {
                        self.execute(command).await;
                        self.publish_snapshot();
                    }
                    None => return,
                },
            }
        }
    }

    fn now(&self) -> std::time::Duration {
        self.started_at.elapsed()
    }

    async fn receive(&mut self, from: std::net::SocketAddr, datagram: &[u8]) {
        metrics::counter!("pollenchute_gossip_received_bytes_total")
            .increment(datagram.len() as u64);
        let Ok(opened) = self.codec.open(datagram) else {
            return;
        };
        let now = self.now();
        let actions =
            self.core
                .on_datagram(now, from, &opened.sender, opened.bound, &opened.payload);
        self.perform(actions).await;
    }

    async fn execute(&mut self, command: handle::GossipCommand) {
        let now = self.now();
        let actions = match command {
            handle::GossipCommand::Publish(update) => self.core.publish(now, &update),
            handle::GossipCommand::Leave => self.core.leave(now),
            handle::GossipCommand::Seeds(seeds) => {
                self.core.set_seeds(seeds);
                Vec::new()
            }
            handle::GossipCommand::Servers(servers) => {
                self.core.set_servers(servers);
                Vec::new()
            }
            handle::GossipCommand::VmList(list) => {
                self.changed = true;
                self.core.set_vm_list(now, list)
            }
            handle::GossipCommand::Load(server, load) => {
                self.core.publish_load(now, &server, load);
                Vec::new()
            }
            handle::GossipCommand::Demand(organisation, demand, receivers) => {
                self.core
                    .publish_demand(now, &organisation, demand, &receivers);
                Vec::new()
            }
            handle::GossipCommand::Work(work, receivers) => {
                self.core.publish_work(now, work, &receivers);
                Vec::new()
            }
            handle::GossipCommand::Depart(_) => Vec::new(),
        };
        self.perform(actions).await;
    }

    async fn depart(&mut self, ticker: &mut time::Interval) {
        let actions = self.core.depart(self.now());
        self.perform(actions).await;
        for _ in 0..DEPARTURE_TICKS {
            ticker.tick().await;
            let actions = self.core.on_tick(self.now());
            self.perform(actions).await;
        }
    }

    async fn perform(&mut self, actions: Vec<event::CoreAction>) {
        for action in actions {
            match action {
                event::CoreAction::Send(outgoing) => self.send(outgoing).await,
                event::CoreAction::Notify(event) => self.notify(event),
            }
        }
    }

    async fn send(&mut self, outgoing: event::OutgoingDatagram) {
        let receiver: Option<&identity::ProcessIdentity> = outgoing.receiver.as_ref();
        let Ok(datagram) = self.codec.seal(receiver, outgoing.payload) else {
            metrics::counter!("pollenchute_gossip_too_long_total").increment(1);
            return;
        };
        metrics::counter!("pollenchute_gossip_sent_bytes_total").increment(datagram.len() as u64);
        if self
            .socket
            .send_to(&datagram, outgoing.address)
            .await
            .is_err()
        {
            metrics::counter!("pollenchute_gossip_socket_errors_total").increment(1);
        }
    }

    fn notify(&mut self, event: event::GossipEvent) {
        self.changed |= !matches!(
            event,
            event::GossipEvent::Load(_)
                | event::GossipEvent::Demand(_)
                | event::GossipEvent::Work(_)
        );
        log_change(&event);
        // Having no subscriber is not an error.
        let _ = self.events.send(event);
    }

    /// Publishes a snapshot if anything changed: after each command and once per tick. More often
    /// would cost more than everything else while a configuration change spreads through 410 VMs.
    fn publish_snapshot(&mut self) {
        if std::mem::take(&mut self.changed) {
            self.snapshots
                .send_replace(sync::Arc::new(self.core.snapshot(self.now())));
        }
    }
}

/// Logs the changes that operators look for; all others are only counted.
fn log_change(event: &event::GossipEvent) {
    match event {
        event::GossipEvent::Member(claim) => log::info!(
            vm = claim.name.as_str(),
            incarnation:% = claim.version.incarnation.id,
            state:? = claim.version.state;
            "member changed"
        ),
        event::GossipEvent::Region(update) => log::warn!(
            region = update.region.as_str(), reachable = update.reachable; "link to region changed"
        ),
        event::GossipEvent::NameConflict(claim) => log::error!(
            vm = claim.name.as_str(),
            incarnation:% = claim.version.incarnation.id;
            "another process has this VM's name; stop it or give it another name"
        ),
        _ => {}
    }
}
