//! Full mesh of links between daemons.
//!
//! Every daemon is linked to every other daemon by one WebSocket that carries CBOR frames.
//! Heartbeats detect failed daemons. Their interval grows with the number of links, so that their
//! total cost is independent of the size of the fleet.

use super::{
    accept,
    address::AddressBook,
    dialect::Row,
    frame::{Frame, LinkId, Profile, WirePace},
    replication::UploadGuard,
    settings::Settings,
    state::Relay,
    transport::{self, FrameReceiver, FrameSender, Progress},
};
use policy::{
    id::{DomainId, HostId},
    relay::leader::{Candidate, UnixMillis},
};
use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    error, fmt, io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use tokio_tungstenite::tungstenite;

/// Minimum interval between two heartbeats on a link. A frozen leader is detected within about a
/// second.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Heartbeat interval per link. The resulting 40 heartbeats per second over all links use a few
/// thousandths of a core.
const HEARTBEAT_INTERVAL_PER_LINK: Duration = Duration::from_millis(25);
/// Heartbeat interval per link of a daemon that others depend on: a reader, the leader, or a likely
/// successor of the leader. A fleet of 90 detects the loss of such a daemon within 1.5 s.
const MONITORED_HEARTBEAT_INTERVAL_PER_LINK: Duration = Duration::from_millis(4);
/// Number of heartbeat intervals without a frame after which a link is closed.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Allowance in addition to [`MAX_MISSED_HEARTBEATS`] for daemons that get no CPU time for a while.
const SCHEDULING_SLACK: Duration = Duration::from_millis(350);
/// Timeout for the first frame of a peer.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1); // round trips take milliseconds
/// Time since the last byte for which a frame counts as arriving; shorter than the intervals of
/// heartbeats.
const RECEIVING_PERIOD: Duration = Duration::from_millis(200);
/// Capacity of a link's send queue. Frames beyond it are dropped, since a peer that does not read
/// its frames has failed.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Failure of a link.
#[derive(Debug)]
pub(super) enum Error {
    /// The TCP connection could not be opened.
    Connect(io::Error),
    /// The WebSocket handshake or the connection failed.
    Socket(Box<tungstenite::Error>),
    /// A frame could not be encoded or decoded, or is not allowed at this point.
    MalformedFrame,
    /// The peer closed the link.
    Closed,
    /// The peer sent no frame, or accepted none, within the permitted time.
    TimedOut,
    /// The peer is this daemon, or another link to it is in use.
    Redundant,
}

/// A linked daemon.
#[derive(Debug)]
pub(super) struct Peer {
    pub profile: Profile,
    pub link_id: LinkId,
    pub is_leaving: bool,
    /// Whether it is partitioned from all targets, as it says.
    pub is_partitioned: bool,
    /// When the link was established.
    pub linked_at: Instant,
    queue: mpsc::Sender<Outgoing>,
    progress: Rc<Progress>,
    /// Interval until its next heartbeat, as announced in the last one.
    heartbeat_interval: Duration,
    /// Age of its tables and when that age was reported; absent if it is not a reader.
    table_age: Option<(Duration, Instant)>,
    /// Whether all entries of targets were requested from it.
    has_requested_targets: bool,
    /// When it became the leader; absent if it is not.
    leads_since: Option<UnixMillis>,
}

impl Peer {
    /// Returns the current age of its tables; absent if it is not a reader.
    pub fn table_age(&self) -> Option<Duration> {
        let (age, at) = self.table_age?;
        Some(age + at.elapsed())
    }

    /// Queues a frame. Returns `false` if the peer can't decode it or the queue is full.
    fn send(&self, frame: Frame) -> bool {
        frame.protocol() <= self.profile.protocol && self.enqueue(Outgoing::Frame(frame))
    }

    fn enqueue(&self, outgoing: Outgoing) -> bool {
        let queued = self.queue.try_send(outgoing);
        if let Err(fault) = &queued {
            tracing::warn!(host = %self.profile.host, %fault, "frame to peer dropped");
        }
        queued.is_ok()
    }

    /// Returns how long it may send nothing before its link is closed.
    fn max_silence(&self) -> Duration {
        self.heartbeat_interval * MAX_MISSED_HEARTBEATS + SCHEDULING_SLACK
    }

    /// Returns the peer as a candidate in the election of the leader.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            host: self.profile.host.clone(),
            cpu: self.profile.cpu,
            is_leaving: self.is_leaving,
            linked_for: self.linked_at.elapsed(),
            leads_since: self.leads_since,
            started: self.profile.started,
        }
    }
}

/// Entry of a link's send queue.
#[derive(Debug)]
enum Outgoing {
    Frame(Frame),
    /// The configuration that is in force when the entry is sent.
    Plan {
        /// Version of the protocol that the peer speaks.
        protocol: u32,
        _upload: UploadGuard,
    },
}

/// Links to all known daemons.
#[derive(Debug)]
pub(super) struct Links {
    own_domain: DomainId,
    peers: RefCell<HashMap<HostId, Peer>>,
    /// Known addresses of other daemons, also of those that are not linked.
    pub addresses: AddressBook,
    last_link_id: Cell<LinkId>,
}

impl Links {
    pub fn new(settings: &Settings) -> Self {
        let addresses = AddressBook::new(settings.link_address);
        addresses.add(settings.seeds.iter().copied());
        Self {
            own_domain: settings.domain.clone(),
            peers: RefCell::default(),
            addresses,
            last_link_id: Cell::new(0),
        }
    }

    /// Returns the number of linked daemons.
    pub fn count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Returns whether a linked daemon is in the own domain.
    pub fn is_local(&self, host: &HostId) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(host);
        peer.is_some_and(|peer| peer.profile.domain == self.own_domain)
    }

    /// Returns whether a large frame of a daemon is arriving: bytes of it came within
    /// [`RECEIVING_PERIOD`].
    pub fn is_receiving(&self, host: &HostId) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(host);
        peer.is_some_and(|peer| {
            let progress = &peer.progress;
            progress.has_partial_frame() && progress.silence() < RECEIVING_PERIOD
        })
    }

    /// Returns the identifier of the link to a daemon; absent if it is not linked.
    pub fn link_id(&self, host: &str) -> Option<LinkId> {
        let peers = self.peers.borrow();
        peers.get(host).map(|peer| peer.link_id)
    }

    /// Calls `visit` with each linked daemon.
    pub fn for_each_peer(&self, mut visit: impl FnMut(&Peer)) {
        self.peers.borrow().values().for_each(&mut visit);
    }

    /// Returns the addresses of the linked daemons.
    pub fn linked_addresses(&self) -> HashSet<SocketAddr> {
        let peers = self.peers.borrow();
        peers.values().map(|peer| peer.profile.link).collect()
    }

    /// Queues a frame for a daemon. Returns `false` if it is not linked or its queue is full.
    pub fn send_to_host(&self, host: &str, frame: Frame) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(host);
        peer.is_some_and(|peer| peer.send(frame))
    }

    /// Returns whether a linked daemon speaks a version of the protocol.
    pub fn speaks(&self, host: &str, protocol: u32) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(host);
        peer.is_some_and(|peer| peer.profile.protocol >= protocol)
    }

    /// Queues a frame on a link; it is dropped if the link has ended.
    pub fn send_on_link(&self, link_id: LinkId, frame: Frame) {
        let peers = self.peers.borrow();
        let peer = peers.values().find(|peer| peer.link_id == link_id);
        if let Some(peer) = peer {
            peer.send(frame);
        }
    }

    /// Queues the configuration for a daemon, or a frame that declines its request if `upload` is
    /// `None`.
    pub fn send_plan(&self, host: &HostId, upload: Option<UploadGuard>) {
        let peers = self.peers.borrow();
        let Some(peer) = peers.get(host) else {
            return;
        };
        match upload {
            Some(upload) => peer.enqueue(Outgoing::Plan {
                protocol: peer.profile.protocol,
                _upload: upload,
            }),
            // A daemon that does not know this frame repeats its request with each heartbeat.
            None => peer.send(Frame::DeclinePlan),
        };
    }

    /// Queues a frame for all linked daemons that can't decode frames of the protocol `protocol`.
    pub fn broadcast_before(&self, protocol: u32, frame: &Frame) {
        self.for_each_peer(|peer| {
            if peer.profile.protocol < protocol {
                peer.send(frame.clone());
            }
        });
    }

    /// Queues a frame for all linked daemons.
    pub fn broadcast(&self, frame: &Frame) {
        self.for_each_peer(|peer| {
            peer.send(frame.clone());
        });
    }

    /// Returns how long a daemon may send nothing before its link is closed; zero if it is not
    /// linked.
    fn max_silence(&self, host: &HostId) -> Duration {
        let peers = self.peers.borrow();
        peers.get(host).map_or(Duration::ZERO, Peer::max_silence)
    }

    fn next_link_id(&self) -> LinkId {
        self.last_link_id.set(self.last_link_id.get() + 1);
        self.last_link_id.get()
    }
}

/// Accepts links from other daemons; never returns.
pub(super) async fn listen(relay: Rc<Relay>, listener: TcpListener) {
    accept::serve_connections(listener, move |stream| {
        accept_link(Rc::clone(&relay), stream)
    })
    .await;
}

async fn accept_link(relay: Rc<Relay>, stream: TcpStream) {
    if let Ok((sender, receiver)) = transport::accept(stream).await {
        // The end of a link is logged when its peer is removed.
        drop(run_link(&relay, sender, receiver).await);
    }
}

/// Opens a link to a daemon and runs it until it ends.
///
/// # Errors
///
/// Always fails, with the reason why the link could not be opened or has ended.
pub(super) async fn open_link(relay: &Rc<Relay>, address: SocketAddr) -> Result<(), Error> {
    let (sender, receiver) = transport::connect(address).await?;
    run_link(relay, sender, receiver).await
}

/// Exchanges hellos, then runs the link until it ends.
async fn run_link(
    relay: &Rc<Relay>,
    mut sender: FrameSender,
    mut receiver: FrameReceiver,
) -> Result<(), Error> {
    let mut known = relay.links.addresses.all();
    known.truncate(MAX_HELLO_ADDRESSES);
    let hello = Frame::Hello {
        profile: relay.profile(),
        known,
    };
    sender.send(&relay.metrics, &hello).await?;
    let first = receiver.receive(&relay.metrics, || HELLO_TIMEOUT).await?;
    let Frame::Hello { profile, known } = first else {
        return Err(Error::MalformedFrame);
    };
    relay.links.addresses.add(known);
    relay.links.addresses.add([profile.link]);
    let host = profile.host.clone();
    let (link_id, queue) = relay.add_peer(profile, receiver.progress())?;
    relay.send_evacuations(&host);
    relay.send_crash_state(&host);
    relay.send_departures(&host);
    relay.send_rates(&host);
    relay.send_cold(&host);
    relay.send_endings(&host);
    relay.send_builds(&host);
    let end = tokio::select! {
        end = receive_frames(relay, &host, link_id, receiver) => end,
        end = send_frames(relay, &host, sender, queue) => end,
    };
    let fault = end.as_ref().err().map(ToString::to_string);
    relay.remove_peer(&host, link_id, fault.as_deref().unwrap_or_default());
    end
}

/// Maximum number of known addresses in a hello.
const MAX_HELLO_ADDRESSES: usize = 512; // more than the 330 daemons of the largest configuration

/// Handles received frames until the link fails.
async fn receive_frames(
    relay: &Rc<Relay>,
    host: &HostId,
    link_id: LinkId,
    mut receiver: FrameReceiver,
) -> Result<(), Error> {
    loop {
        let max_silence = || relay.links.max_silence(host);
        let frame = receiver.receive(&relay.metrics, max_silence).await?;
        relay.handle_frame(host, link_id, frame);
    }
}

/// Sends queued frames and heartbeats until the link fails or is replaced.
async fn send_frames(
    relay: &Rc<Relay>,
    host: &HostId,
    mut sender: FrameSender,
    mut queue: mpsc::Receiver<Outgoing>,
) -> Result<(), Error> {
    let mut next_heartbeat = Instant::now();
    let mut next_pace = relay.target_selector().performance().first_sample();
    loop {
        tokio::select! {
            outgoing = queue.recv() => {
                match outgoing.ok_or(Error::Redundant)? {
                    Outgoing::Frame(frame) => sender.send(&relay.metrics, &frame).await?,
                    Outgoing::Plan { protocol, _upload } => {
                        if let Some(frame) = relay.plan_frame(protocol) {
                            let started_at = Instant::now();
                            sender.send(&relay.metrics, &frame).await?;
                            let elapsed = started_at.elapsed();
                            let taken_ms = elapsed.as_millis() as u64;
                            tracing::info!(%host, taken_ms, "configuration sent");
                        }
                    }
                }
            }
            () = time::sleep_until(next_heartbeat.into()) => {
                let interval = relay.heartbeat_interval();
                let paces = relay.paces_from(&mut next_pace);
                let heartbeat = relay.heartbeat(interval, paces);
                sender.send(&relay.metrics, &heartbeat).await?;
                next_heartbeat = Instant::now() + interval;
            }
        }
    }
}

impl Relay {
    fn heartbeat(&self, interval: Duration, paces: Vec<WirePace>) -> Frame {
        let plan = self.plan_edition();
        let version = plan.map(|edition| edition.version).unwrap_or_default();
        Frame::Heartbeat {
            plan_version: version.number,
            plan_era: version.era,
            plan_revision: plan.map_or(0, |edition| edition.revision),
            era: self.store.era(),
            is_leaving: self.is_leaving(),
            interval,
            table_age: self.reader_table_age(),
            leads_since: self.leads_since(),
            is_partitioned: self.reach.is_partitioned(),
            evacuated: self.evacuation_digest(),
            paces,
        }
    }

    /// Sends a heartbeat to all peers without waiting for the interval. It announces a new
    /// configuration, which the peers then request, a change of the leader, a partition, or that this
    /// daemon leaves.
    pub(super) fn broadcast_heartbeat(&self) {
        self.links
            .broadcast(&self.heartbeat(self.heartbeat_interval(), Vec::new()));
    }

    /// Sends the entry of a target to all peers.
    pub(super) fn broadcast_target(&self, row: &Row, is_lenient: bool) {
        self.links.broadcast(&Frame::Targets {
            rows: vec![row.clone().into()],
            is_lenient,
        });
    }

    /// Adds a peer after its hello and returns its link and send queue. A link to an earlier
    /// process of the host, or one that has gone silent, is replaced.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Redundant`] if the peer is this daemon or is linked already.
    fn add_peer(
        &self,
        profile: Profile,
        progress: &Rc<Progress>,
    ) -> Result<(LinkId, mpsc::Receiver<Outgoing>), Error> {
        let mut peers = self.links.peers.borrow_mut();
        let known = peers.get(&profile.host);
        let is_same = known.is_some_and(|peer| {
            let is_alive =
                peer.progress.silence() < peer.heartbeat_interval * MAX_MISSED_HEARTBEATS;
            peer.profile.incarnation == profile.incarnation && is_alive
        });
        if is_same || profile.incarnation == self.incarnation {
            return Err(Error::Redundant);
        }
        let (queue, outgoing) = mpsc::channel(MAX_QUEUED_FRAMES);
        let link_id = self.links.next_link_id();
        tracing::info!(host = %profile.host, front = %profile.front, "peer linked");
        let peer = Peer {
            link_id,
            is_leaving: false,
            is_partitioned: false,
            linked_at: Instant::now(),
            queue,
            progress: Rc::clone(progress),
            heartbeat_interval: interval_for(peers.len() + 1, HEARTBEAT_INTERVAL_PER_LINK),
            table_age: None,
            has_requested_targets: false,
            leads_since: profile.leads_since,
            profile,
        };
        self.pool.keep_forwarded_by(&peer.profile.host);
        peers.insert(peer.profile.host.clone(), peer);
        self.metrics.set_links(peers.len());
        self.forget_reader_order();
        Ok((link_id, outgoing))
    }

    /// Returns the current interval between two heartbeats of this daemon on a link.
    fn heartbeat_interval(&self) -> Duration {
        let is_critical = self.is_monitored() || self.serves_tables();
        let per_link = if is_critical {
            MONITORED_HEARTBEAT_INTERVAL_PER_LINK
        } else {
            HEARTBEAT_INTERVAL_PER_LINK
        };
        interval_for(self.links.count(), per_link)
    }

    fn remove_peer(self: &Rc<Self>, host: &HostId, link_id: LinkId, fault: &str) {
        self.record_fleet_members();
        let mut peers = self.links.peers.borrow_mut();
        let is_current = peers.get(host).is_some_and(|peer| peer.link_id == link_id);
        if is_current && let Some(peer) = peers.remove(host) {
            self.links.addresses.record_link_lost(peer.profile.link);
            self.metrics.set_links(peers.len());
            self.forget_reader_order();
            self.pool.close_forwarded_by(host);
        }
        drop(peers);
        tracing::info!(%host, fault, "peer lost");
        if is_current {
            self.replication.fetcher.borrow_mut().remove(host);
            self.request_plan();
        }
        self.handle_link_lost(link_id);
    }

    /// Records what a heartbeat says of the peer that sent it; other frames say nothing.
    pub(super) fn record_heartbeat(&self, host: &HostId, frame: &Frame) {
        // Those that stand in for the readers may be many, and would send their tables to all.
        let is_reader = self.with_reader_order(|order| order.is_reader(host));
        if let Some(peer) = self.links.peers.borrow_mut().get_mut(host)
            && let Frame::Heartbeat {
                plan_version,
                is_leaving,
                interval,
                table_age,
                leads_since,
                is_partitioned,
                evacuated,
                ..
            } = frame
        {
            if *is_leaving && !peer.is_leaving {
                self.forget_reader_order();
                self.pool.close_forwarded_by(host);
            }
            peer.is_leaving = *is_leaving;
            peer.is_partitioned = *is_partitioned;
            peer.heartbeat_interval = *interval;
            peer.table_age = table_age.map(|age| (age, Instant::now()));
            peer.leads_since = *leads_since;
            if let Some(frame) = self.evacuations_for(peer.profile.protocol, *evacuated) {
                peer.send(frame);
            }
            // Before the first read of its tables, a daemon requests the targets also from some
            // peers that have a configuration but are not readers.
            if !peer.has_requested_targets
                && (is_reader && peer.table_age.is_some()
                    || *plan_version > 0 && self.tables.begin_peer_request())
            {
                peer.has_requested_targets = peer.send(Frame::RequestTargets);
            }
        }
    }
}

fn interval_for(links: usize, per_link: Duration) -> Duration {
    (per_link * links as u32).max(MIN_HEARTBEAT_INTERVAL)
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "failed to connect to the peer: {cause}"),
            Self::Socket(cause) => write!(f, "WebSocket failed: {cause}"),
            Self::MalformedFrame => f.write_str("malformed or unexpected frame"),
            Self::Closed => f.write_str("peer closed the link"),
            Self::TimedOut => f.write_str("link timed out"),
            Self::Redundant => f.write_str("redundant link to a daemon"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect(cause) => Some(cause),
            Self::Socket(cause) => Some(cause),
            Self::MalformedFrame | Self::Closed | Self::TimedOut | Self::Redundant => None,
        }
    }
}
