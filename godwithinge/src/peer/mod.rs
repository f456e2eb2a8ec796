//! Links between daemons.
//!
//! A daemon keeps about six links, and each second exchanges with one more daemon that it draws
//! at random. Over a link go WebSocket messages of CBOR ([`frame`]): versioned items of all
//! daemons, and the table of weights and limits. Both ends prove that they hold the fleet key
//! before anything else is read; a link over which nothing comes is replaced.

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

/// What the links of a daemon are started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host of the daemon.
    pub host: HostId,
    /// Number that the daemon drew at its start.
    pub incarnation: Incarnation,
    /// Address of the daemon's interface for callers.
    pub api: SocketAddr,
    /// Address that peers connect to; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Failure domain of the daemon.
    pub domain: DomainId,
    /// Region of the daemon.
    pub region: RegionId,
    /// Addresses of some peers.
    pub seeds: Vec<SocketAddr>,
    /// Key that all daemons of the fleet share.
    pub key: Secret,
    /// Counter of control bytes by kind.
    pub bytes: IntCounterVec,
}

/// What the links tell their daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A daemon of the fleet sent a frame.
    Frame {
        /// Host of that daemon.
        from: HostId,
        /// The frame.
        frame: Frame,
    },
    /// A higher revision of the table is in force.
    Table(Arc<Table>),
    /// A peer holds a newer host list.
    Hosts(Arc<HostList>),
    /// The daemons that share the ceilings changed.
    Members {
        /// Host names of all of them.
        members: Vec<HostId>,
        /// Whether all of them are heard from.
        steady: bool,
    },
}

/// Links of one daemon to its peers; they end when this is dropped.
#[derive(Debug)]
pub struct Links {
    hub: Arc<Hub>,
    address: SocketAddr,
    _shutdown: watch::Sender<()>,
}

impl Links {
    /// Opens the interface for peers and begins to link.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
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

    /// Returns the address that peers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a frame to the whole fleet.
    pub fn broadcast(&self, frame: &Frame) {
        self.hub.publish(frame);
    }

    /// Takes in the table that the platform holds, and passes it on if it is newer.
    pub fn apply_table(&self, table: &Arc<Table>) -> UpdateOutcome {
        let table = Arc::clone(table);
        self.hub.apply_update(&Update::Snapshot { table })
    }

    /// Keeps the host list that the platform gave, for peers that can't ask the platform.
    pub fn set_host_list(&self, list: Arc<HostList>) {
        self.hub.state().set_host_list(list);
    }

    /// Asks the peers for a newer host list.
    pub fn request_host_list(&self) {
        self.hub.state().request_host_list();
    }

    /// Returns the table in force, if there is one.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.hub.table()
    }

    /// Returns the revision in force, if there is a table.
    pub fn revision(&self) -> Option<Revision> {
        self.table().map(|table| table.revision)
    }

    /// Publishes the load at the next beat: requests in flight relative to what can be held.
    pub fn set_load(&self, load: f32) {
        self.hub.set_load(load);
    }

    /// Tells all daemons that this one is leaving, or has ended.
    pub fn set_state(&self, state: State) {
        self.hub.set_state(state);
    }

    /// Adds addresses of peers, such as those that the platform lists.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.hub.add_seeds(seeds);
    }

    /// Returns all daemons that are known, this one included.
    pub fn members(&self) -> Vec<Member> {
        self.hub.members()
    }

    /// Returns the hosts that this daemon has a link to.
    pub fn linked(&self) -> Vec<HostId> {
        self.hub.linked()
    }
}

fn to_text(address: SocketAddr) -> CompactString {
    compact_str::format_compact!("{address}")
}
