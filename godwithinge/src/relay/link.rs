//! Links between daemons.
//!
//! Every daemon is linked to every other one by a WebSocket that carries CBOR frames. Beats show
//! who lives; their period grows with the number of links, so that their cost stays the same.

use super::{
    accept,
    dialect::Row,
    frame::{Frame, LinkId, Profile, WireRow},
    settings::Settings,
    state::Relay,
};
use futures::{SinkExt, StreamExt};
use policy::{
    id::HostId,
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
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};

/// Shortest period of beats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250); // a frozen conductor is missed within a second
/// Period of beats for each link; forty beats a second in all cost some parts in a thousand of a core.
const HEARTBEAT_INTERVAL_PER_LINK: Duration = Duration::from_millis(25);
/// Period for each link of the beats of a daemon that others depend on, or will if another is lost.
const MONITORED_HEARTBEAT_INTERVAL_PER_LINK: Duration = Duration::from_millis(4); // a fleet of 90 misses it within 1.5 s
/// Periods without a frame after which a link is dead.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Time beside [`MAX_MISSED_HEARTBEATS`] for daemons that are given no processor time for a while.
const SCHEDULING_SLACK: Duration = Duration::from_millis(350);
/// Longest time of opening a link.
const IO_TIMEOUT: Duration = Duration::from_secs(1); // rounds trips take milliseconds
/// First pause before an address is dialled again.
const INITIAL_REDIAL_DELAY: Duration = Duration::from_millis(200);
/// Longest pause before an address is dialled again.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(3);
/// Time for which the daemon with the higher address waits for the other one to dial.
const YIELD_DELAY: Duration = Duration::from_secs(1);
/// Largest frame in bytes; a configuration of some hundred routes has 200 kB.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Memory that a link sets aside for reading, in bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Most frames that wait for one link; a peer that reads none is dead.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Failure of a link.
#[derive(Debug)]
pub(super) enum Error {
    /// It could not be opened.
    Connect(io::Error),
    /// It broke.
    Socket(Box<tungstenite::Error>),
    /// A frame can't be read.
    MalformedFrame,
    /// The other end closed it.
    Closed,
    /// Nothing came for too long.
    TimedOut,
    /// The other end is this daemon, or is linked already.
    Redundant,
}

/// A daemon that is linked.
#[derive(Debug)]
pub(super) struct Peer {
    pub profile: Profile,
    pub link_id: LinkId,
    pub is_leaving: bool,
    /// When it was linked.
    pub linked_at: Instant,
    sender: mpsc::Sender<Frame>,
    last_frame_at: Instant,
    /// Time between its beats.
    heartbeat_interval: Duration,
    /// Age of its tables at a moment, if it keeps its peers fresh.
    table_age: Option<(Duration, Instant)>,
    /// Whether its tables were asked for.
    has_requested_targets: bool,
    /// Since when it has conducted, if it does.
    leads_since: Option<UnixMillis>,
}

impl Peer {
    /// Returns the age of its tables, if it keeps its peers fresh.
    pub fn table_age(&self) -> Option<Duration> {
        let (age, at) = self.table_age?;
        Some(age + at.elapsed())
    }

    /// Returns what decides whether it conducts.
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

/// Links to all daemons that are known.
#[derive(Debug)]
pub(super) struct Links {
    own_address: SocketAddr,
    peers: RefCell<HashMap<HostId, Peer>>,
    /// Addresses that are known, with the time of the next dial.
    known_addresses: RefCell<HashMap<SocketAddr, DialState>>,
    last_link_id: Cell<LinkId>,
}

#[derive(Debug)]
struct DialState {
    next_attempt: Instant,
    failures: u32,
    in_progress: bool,
}

impl Links {
    pub fn new(settings: &Settings) -> Self {
        let links = Self {
            own_address: settings.link,
            peers: RefCell::default(),
            known_addresses: RefCell::default(),
            last_link_id: Cell::new(0),
        };
        links.add_addresses(settings.seeds.iter().copied());
        links
    }

    /// Adds addresses of daemons.
    pub fn add_addresses(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut known = self.known_addresses.borrow_mut();
        for address in addresses {
            if address == self.own_address {
                continue;
            }
            let wait = if self.own_address < address {
                Duration::ZERO
            } else {
                YIELD_DELAY
            };
            known.entry(address).or_insert_with(|| DialState {
                next_attempt: Instant::now() + wait,
                failures: 0,
                in_progress: false,
            });
        }
    }

    /// Returns how many daemons are linked.
    pub fn count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Returns how many addresses of other daemons are known.
    pub fn known_count(&self) -> usize {
        self.known_addresses.borrow().len()
    }

    /// Returns the number of the link to a daemon.
    pub fn link_id(&self, host: &str) -> Option<LinkId> {
        let peers = self.peers.borrow();
        peers.get(host).map(|peer| peer.link_id)
    }

    /// Calls `visit` with each daemon that is linked.
    pub fn for_each_peer(&self, mut visit: impl FnMut(&Peer)) {
        self.peers.borrow().values().for_each(&mut visit);
    }

    /// Queues a frame for a daemon and returns whether it is linked.
    pub fn send_to_host(&self, host: &str, frame: Frame) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(host);
        peer.is_some_and(|peer| peer.sender.try_send(frame).is_ok())
    }

    /// Queues a frame for the daemon at the other end of a link.
    pub fn send_on_link(&self, link_id: LinkId, frame: Frame) {
        let peers = self.peers.borrow();
        let peer = peers.values().find(|peer| peer.link_id == link_id);
        if let Some(peer) = peer
            && let Err(fault) = peer.sender.try_send(frame)
        {
            tracing::warn!(host = %peer.profile.host, %fault, "frame for a peer dropped");
        }
    }

    /// Queues a frame for all daemons.
    pub fn broadcast(&self, frame: &Frame) {
        self.for_each_peer(|peer| {
            if let Err(fault) = peer.sender.try_send(frame.clone()) {
                tracing::warn!(host = %peer.profile.host, %fault, "frame for a peer dropped");
            }
        });
    }

    fn next_link_id(&self) -> LinkId {
        self.last_link_id.set(self.last_link_id.get() + 1);
        self.last_link_id.get()
    }

    /// Returns addresses to be dialled now.
    fn take_due_addresses(&self) -> Vec<SocketAddr> {
        let linked: HashSet<SocketAddr> = {
            let peers = self.peers.borrow();
            peers.values().map(|peer| peer.profile.link).collect()
        };
        let now = Instant::now();
        let mut known = self.known_addresses.borrow_mut();
        let due = known.iter_mut().filter(|(address, dial)| {
            dial.next_attempt <= now && !dial.in_progress && !linked.contains(*address)
        });
        due.map(|(address, dial)| {
            dial.in_progress = true;
            *address
        })
        .collect()
    }

    /// Notes that the link to a daemon was lost; one end waits, so that they do not dial each other.
    fn record_link_lost(&self, address: SocketAddr) {
        let wait = if self.own_address < address {
            INITIAL_REDIAL_DELAY
        } else {
            YIELD_DELAY
        };
        if let Some(dial) = self.known_addresses.borrow_mut().get_mut(&address) {
            dial.next_attempt = dial.next_attempt.max(Instant::now() + wait);
        }
    }

    /// Notes the end of a dialled link.
    fn record_dial_end(&self, address: SocketAddr, was_open: bool) {
        if let Some(dial) = self.known_addresses.borrow_mut().get_mut(&address) {
            dial.failures = if was_open { 0 } else { dial.failures + 1 };
            let pause = INITIAL_REDIAL_DELAY * 2_u32.saturating_pow(dial.failures.min(8));
            dial.next_attempt = dial
                .next_attempt
                .max(Instant::now() + pause.min(MAX_REDIAL_DELAY));
            dial.in_progress = false;
        }
    }
}

/// Period in which addresses are looked over.
const DIAL_INTERVAL: Duration = Duration::from_millis(200); // the first pause before a dial

/// Dials daemons until the process ends.
pub(super) async fn dial_peers(relay: Rc<Relay>) {
    loop {
        for address in relay.links.take_due_addresses() {
            let relay = Rc::clone(&relay);
            tokio::task::spawn_local(async move {
                let result = open_link(&relay, address).await;
                let was_open = matches!(
                    result,
                    Err(Error::Closed | Error::TimedOut | Error::Socket(_) | Error::Redundant)
                );
                relay.links.record_dial_end(address, was_open);
            });
        }
        time::sleep(DIAL_INTERVAL).await;
    }
}

/// Takes links of other daemons until the process ends.
pub(super) async fn listen(relay: Rc<Relay>, listener: TcpListener) {
    accept::serve_connections(listener, move |stream| {
        accept_link(Rc::clone(&relay), stream)
    })
    .await;
}

async fn accept_link(relay: Rc<Relay>, stream: TcpStream) {
    let accept = accept_async_with_config(stream, Some(websocket_config()));
    if let Ok(Ok(socket)) = time::timeout(IO_TIMEOUT, accept).await {
        // The end of a link is logged where it is unlinked.
        drop(run_link(&relay, socket).await);
    }
}

async fn open_link(relay: &Rc<Relay>, address: SocketAddr) -> Result<(), Error> {
    let connect = async {
        let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let url = format!("ws://{address}/");
        let opened = client_async_with_config(url, stream, Some(websocket_config())).await;
        let (socket, _) = opened.map_err(|cause| Error::Socket(Box::new(cause)))?;
        Ok(socket)
    };
    let socket = time::timeout(IO_TIMEOUT, connect).await;
    let socket = socket.unwrap_or(Err(Error::Connect(io::ErrorKind::TimedOut.into())))?;
    run_link(relay, socket).await
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Exchanges frames until the link ends.
async fn run_link(relay: &Rc<Relay>, mut socket: WebSocketStream<TcpStream>) -> Result<(), Error> {
    let mut known: Vec<SocketAddr> = relay
        .links
        .known_addresses
        .borrow()
        .keys()
        .copied()
        .collect();
    known.truncate(MAX_HELLO_ADDRESSES);
    let hello = Frame::Hello {
        profile: relay.profile(),
        known,
    };
    send_frame(&mut socket, &hello).await?;
    let first = time::timeout(IO_TIMEOUT, receive_frame(&mut socket)).await;
    let Frame::Hello { profile, known } = first.unwrap_or(Err(Error::TimedOut))? else {
        return Err(Error::MalformedFrame);
    };
    relay.links.add_addresses(known);
    relay.links.add_addresses([profile.link]);
    let host = profile.host.clone();
    let (link_id, mut frames) = relay.add_peer(profile)?;
    let end = exchange_frames(relay, &mut socket, &host, link_id, &mut frames).await;
    let fault = end.as_ref().err().map(ToString::to_string);
    relay.remove_peer(&host, link_id, fault.as_deref().unwrap_or_default());
    end
}

/// Most addresses that a daemon tells another one.
const MAX_HELLO_ADDRESSES: usize = 512; // above the 330 daemons of the largest plan

async fn exchange_frames(
    relay: &Rc<Relay>,
    socket: &mut WebSocketStream<TcpStream>,
    host: &HostId,
    link_id: LinkId,
    frames: &mut mpsc::Receiver<Frame>,
) -> Result<(), Error> {
    let mut next_heartbeat = Instant::now();
    loop {
        let dead_at = {
            let peers = relay.links.peers.borrow();
            let peer = peers.get(host).ok_or(Error::Redundant)?;
            peer.last_frame_at + peer.heartbeat_interval * MAX_MISSED_HEARTBEATS + SCHEDULING_SLACK
        };
        let wake_at = dead_at.min(next_heartbeat).max(Instant::now());
        tokio::select! {
            frame = receive_frame(socket) => relay.handle_frame(host, link_id, frame?),
            frame = frames.recv() => {
                let frame = frame.ok_or(Error::Redundant)?;
                let sent = time::timeout(IO_TIMEOUT, send_frame(socket, &frame)).await;
                sent.unwrap_or(Err(Error::TimedOut))?;
            }
            () = time::sleep_until(wake_at.into()) => {
                let now = Instant::now();
                if dead_at <= now {
                    return Err(Error::TimedOut);
                }
                if now < next_heartbeat {
                    continue;
                }
                let interval = relay.heartbeat_interval();
                let frame = relay.heartbeat(interval);
                let sent = time::timeout(IO_TIMEOUT, send_frame(socket, &frame)).await;
                sent.unwrap_or(Err(Error::TimedOut))?;
                next_heartbeat = Instant::now() + interval;
            }
        }
    }
}

async fn send_frame(socket: &mut WebSocketStream<TcpStream>, frame: &Frame) -> Result<(), Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).map_err(|_cause| Error::MalformedFrame)?;
    let sent = socket.send(Message::binary(bytes)).await;
    sent.map_err(|cause| Error::Socket(Box::new(cause)))
}

async fn receive_frame(socket: &mut WebSocketStream<TcpStream>) -> Result<Frame, Error> {
    loop {
        let message = socket.next().await.ok_or(Error::Closed)?;
        match message.map_err(|cause| Error::Socket(Box::new(cause)))? {
            Message::Binary(bytes) => {
                return ciborium::from_reader(bytes.as_ref())
                    .map_err(|_cause| Error::MalformedFrame);
            }
            Message::Close(_) => return Err(Error::Closed),
            Message::Ping(_) | Message::Pong(_) => {}
            Message::Text(_) | Message::Frame(_) => return Err(Error::MalformedFrame),
        }
    }
}

impl Relay {
    fn heartbeat(&self, interval: Duration) -> Frame {
        Frame::Heartbeat {
            plan_version: self.plan_version(),
            is_leaving: self.is_leaving(),
            interval,
            table_age: self.reader_table_age(),
            leads_since: self.leads_since(),
        }
    }

    /// Tells all peers at once of a new configuration, so that they ask for it, or who conducts.
    pub(super) fn broadcast_heartbeat(&self) {
        self.links
            .broadcast(&self.heartbeat(self.heartbeat_interval()));
    }

    /// Hands the entry of a target on to all peers.
    pub(super) fn broadcast_target(&self, row: &Row, is_lenient: bool) {
        self.links.broadcast(&Frame::Targets {
            rows: vec![row.clone().into()],
            is_lenient,
        });
    }

    /// Adds a daemon that has said who it is.
    fn add_peer(&self, profile: Profile) -> Result<(LinkId, mpsc::Receiver<Frame>), Error> {
        let mut peers = self.links.peers.borrow_mut();
        let known = peers.get(&profile.host);
        let is_same = known.is_some_and(|peer| {
            let is_alive =
                peer.last_frame_at.elapsed() < peer.heartbeat_interval * MAX_MISSED_HEARTBEATS;
            peer.profile.incarnation == profile.incarnation && is_alive
        });
        if is_same || profile.incarnation == self.incarnation {
            return Err(Error::Redundant);
        }
        let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let link_id = self.links.next_link_id();
        tracing::info!(host = %profile.host, front = %profile.front, "peer linked");
        let peer = Peer {
            link_id,
            is_leaving: false,
            linked_at: Instant::now(),
            sender,
            last_frame_at: Instant::now(),
            heartbeat_interval: interval_for(peers.len() + 1, HEARTBEAT_INTERVAL_PER_LINK),
            table_age: None,
            has_requested_targets: false,
            leads_since: profile.leads_since,
            profile,
        };
        peers.insert(peer.profile.host.clone(), peer);
        self.metrics.set_links(peers.len());
        Ok((link_id, frames))
    }

    /// Returns the time between two beats of this daemon.
    fn heartbeat_interval(&self) -> Duration {
        let is_critical = self.is_monitored() || self.is_reader();
        let per_link = if is_critical {
            MONITORED_HEARTBEAT_INTERVAL_PER_LINK
        } else {
            HEARTBEAT_INTERVAL_PER_LINK
        };
        interval_for(self.links.count(), per_link)
    }

    fn remove_peer(self: &Rc<Self>, host: &HostId, link_id: LinkId, fault: &str) {
        let mut peers = self.links.peers.borrow_mut();
        let is_current = peers.get(host).is_some_and(|peer| peer.link_id == link_id);
        if is_current && let Some(peer) = peers.remove(host) {
            self.links.record_link_lost(peer.profile.link);
            self.metrics.set_links(peers.len());
        }
        drop(peers);
        tracing::info!(%host, fault, "peer lost");
        self.handle_link_lost(link_id);
    }

    fn handle_frame(self: &Rc<Self>, host: &HostId, link_id: LinkId, frame: Frame) {
        if let Some(peer) = self.links.peers.borrow_mut().get_mut(host) {
            peer.last_frame_at = Instant::now();
            if let Frame::Heartbeat {
                plan_version,
                is_leaving,
                interval,
                table_age,
                leads_since,
            } = &frame
            {
                peer.is_leaving = *is_leaving;
                peer.heartbeat_interval = *interval;
                peer.table_age = table_age.map(|age| (age, Instant::now()));
                peer.leads_since = *leads_since;
                // Before its first read, a daemon asks any peer that may know the targets.
                let has_targets =
                    peer.table_age.is_some() || *plan_version > 0 && self.tables.age().is_none();
                if has_targets && !peer.has_requested_targets {
                    peer.has_requested_targets =
                        peer.sender.try_send(Frame::RequestTargets).is_ok();
                }
            }
        }
        match frame {
            Frame::Hello { .. } => {}
            Frame::Heartbeat { plan_version, .. } => {
                if plan_version > self.plan_version() {
                    self.links.send_to_host(host, Frame::RequestPlan);
                }
            }
            Frame::RequestPlan => {
                if let Some(row) = self.plan_row() {
                    self.links.send_to_host(host, Frame::Plan(row.into()));
                }
            }
            Frame::Plan(row) => self.apply_plan(row.into()),
            Frame::RequestTargets => {
                let rows = self.tables.targets().into_iter().map(WireRow::from);
                let frame = Frame::Targets {
                    rows: rows.collect(),
                    is_lenient: self.registry().is_lenient(self.now()),
                };
                self.links.send_to_host(host, frame);
            }
            Frame::Targets { rows, is_lenient } => {
                for row in rows {
                    self.apply_target(&row.into(), is_lenient);
                }
            }
            Frame::Submit { number, job } => self.accept_job(link_id, number, job),
            Frame::Release { number } => self.release_job(link_id, number),
            Frame::Ready {
                number,
                handles,
                domain,
            } => self.complete_job(number, handles, domain),
            Frame::Refused {
                number,
                reason,
                retry_after,
            } => self.refuse_job(number, reason, retry_after),
            Frame::TargetCrash(payload) => {
                let now = self.now();
                self.crash_history_mut().record(now, payload);
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
            Self::Connect(cause) => write!(f, "link could not be opened: {cause}"),
            Self::Socket(cause) => write!(f, "link broke: {cause}"),
            Self::MalformedFrame => f.write_str("frame is not in its form"),
            Self::Closed => f.write_str("link was closed"),
            Self::TimedOut => f.write_str("link is silent"),
            Self::Redundant => f.write_str("daemon is linked already"),
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
