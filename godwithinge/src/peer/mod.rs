//! Peer-to-peer links between daemons.
//!
//! A daemon maintains about six links, and each second performs one anti-entropy exchange with a
//! random daemon to which it has no link. Links carry CBOR-encoded frames ([`frame`]) in WebSocket
//! messages: versioned gossip items of all daemons, and the table of weights and limits. Both ends
//! prove possession of the fleet key before any other frame is processed. A link that receives
//! nothing within its idle timeout is closed and replaced.

mod error;
pub mod frame;
mod host_list;
mod hub;
mod link;
mod maintenance;
mod socket;
mod wire;

pub use self::{error::Error, host_list::HostList};

use self::{
    hub::Hub,
    socket::{Identity, Traffic},
};
use crate::settings::Secret;
use compact_str::CompactString;
use policy::{
    command::Frame,
    id::{DomainId, HostId, Incarnation, RegionId, Revision},
    member::{Member, Profile, State},
    table::{
        Table,
        replica::{Update, UpdateOutcome},
    },
};
use prometheus::IntCounterVec;
use std::{net::SocketAddr, sync::Arc};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};

/// Configuration of a daemon's links.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host name of the daemon, unique within the fleet.
    pub host: HostId,
    /// Random number drawn at each start of the daemon.
    pub incarnation: Incarnation,
    /// Address of the daemon's client API, which peers learn from its profile.
    pub api: SocketAddr,
    /// Address to listen on for peers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Failure domain of the daemon.
    pub domain: DomainId,
    /// Region of the daemon.
    pub region: RegionId,
    /// Addresses of peers to contact at start.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all daemons of the fleet.
    pub key: Secret,
    /// Counter of control traffic in bytes, by kind.
    pub bytes: IntCounterVec,
}

/// Event reported by the links to their daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A daemon of the fleet published a frame.
    Frame {
        /// Host of the publishing daemon, which need not be a direct peer.
        from: HostId,
        /// The published frame.
        frame: Frame,
    },
    /// A table of a higher revision came into force.
    Table(Arc<Table>),
    /// A peer sent a newer host list.
    HostList(Arc<HostList>),
    /// The set of daemons that share the ceilings changed, or its stability did.
    Members {
        /// Host names of these daemons.
        members: Vec<HostId>,
        /// Whether no member is suspected and the fleet is not partitioned.
        steady: bool,
    },
}

/// Links of one daemon to its peers; dropping this closes them.
#[derive(Debug)]
pub struct Links {
    hub: Arc<Hub>,
    address: SocketAddr,
    _shutdown: watch::Sender<()>,
}

impl Links {
    /// Listens for peers and starts connecting to them.
    ///
    /// Events are received from the returned channel.
    ///
    /// # Errors
    ///
    /// Fails if the listening address cannot be bound.
    pub async fn start(
        settings: Settings,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Event>), Error> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let profile = Profile {
            incarnation: settings.incarnation,
            api: to_text(settings.api),
            peer: to_text(address),
            domain: settings.domain,
            region: settings.region,
            state: State::Live,
        };
        let identity = Identity {
            host: settings.host,
            key: settings.key,
        };
        let traffic = Traffic {
            sent: settings.bytes.with_label_values(&["peer_sent"]),
            received: settings.bytes.with_label_values(&["peer_received"]),
        };
        let (events, receiver) = mpsc::unbounded_channel();
        let (shutdown, shutdown_receiver) = watch::channel(());
        let hub = Hub::new(identity, profile, traffic, events, shutdown_receiver);
        let hub = Arc::new(hub);
        hub.add_seeds(&settings.seeds);
        link::spawn(&hub, link::listen(Arc::clone(&hub), listener));
        link::spawn(&hub, maintenance::run(Arc::clone(&hub)));
        let links = Self {
            hub,
            address,
            _shutdown: shutdown,
        };
        Ok((links, receiver))
    }

    /// Returns the address bound for peers, with the port that was selected.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a frame to the whole fleet by gossip.
    pub fn broadcast(&self, frame: &Frame) {
        self.hub.publish(frame);
    }

    /// Applies a table read from the platform, and announces it to the peers if it is newer.
    pub fn apply_table(&self, table: &Arc<Table>) -> UpdateOutcome {
        let table = Arc::clone(table);
        self.hub.apply_update(&Update::Snapshot { table })
    }

    /// Stores the platform's host list, to be sent to peers that cannot reach the platform.
    pub fn set_host_list(&self, list: Arc<HostList>) {
        self.hub.state().set_host_list(list);
    }

    /// Requests a newer host list from the linked peers; one that arrives is an [`Event::HostList`].
    pub fn request_host_list(&self) {
        self.hub.state().request_host_list();
    }

    /// Returns the table in force; `None` before the first update.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.hub.table()
    }

    /// Returns the revision of the table in force; `None` before the first update.
    pub fn revision(&self) -> Option<Revision> {
        self.table().map(|table| table.revision)
    }

    /// Sets the load published with the next heartbeat: requests in flight relative to capacity.
    pub fn set_load(&self, load: f32) {
        self.hub.set_load(load);
    }

    /// Publishes the lifecycle state of this daemon, such as leaving, without delay.
    pub fn set_state(&self, state: State) {
        self.hub.set_state(state);
    }

    /// Adds peer addresses to contact, such as those listed by the platform.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.hub.add_seeds(seeds);
    }

    /// Returns all known daemons that have not stopped, including this one.
    pub fn members(&self) -> Vec<Member> {
        self.hub.members()
    }

    /// Returns the hosts to which this daemon has an open link, in order and without duplicates.
    pub fn linked(&self) -> Vec<HostId> {
        self.hub.linked()
    }
}

fn to_text(address: SocketAddr) -> CompactString {
    compact_str::format_compact!("{address}")
}
