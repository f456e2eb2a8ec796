//! Links between daemons.
//!
//! Every daemon is linked to every other one by a WebSocket that carries CBOR frames. Beats show
//! who lives; their period grows with the number of links, so that their cost stays the same.

use super::{
    accept,
    dialect::Row,
    frame::{Frame, Handed, LinkId, Profile},
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
const MIN_BEAT: Duration = Duration::from_millis(250); // a frozen conductor is missed within a second
/// Period of beats for each link; forty beats a second in all cost some parts in a thousand of a core.
const BEAT_PER_LINK: Duration = Duration::from_millis(25);
/// Period for each link of the beats of a daemon that others depend on, or will if another is lost.
const LEADING_BEAT_PER_LINK: Duration = Duration::from_millis(4); // a fleet of 90 misses it within 1.5 s
/// Periods without a frame after which a link is dead.
const DEAD_BEATS: u32 = 3;
/// Time beside [`DEAD_BEATS`] for daemons that are given no processor time for a while.
const DEAD_SLACK: Duration = Duration::from_millis(350);
/// Longest time of opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1); // rounds trips take milliseconds
/// First pause before an address is dialled again.
const FIRST_REDIAL: Duration = Duration::from_millis(200);
/// Longest pause before an address is dialled again.
const MAX_REDIAL: Duration = Duration::from_secs(3);
/// Time for which the daemon with the higher address waits for the other one to dial.
const YIELD: Duration = Duration::from_secs(1);
/// Largest frame in bytes; a configuration of some hundred routes has 200 kB.
const MAX_FRAME: usize = 8 << 20;
/// Memory that a link sets aside for reading, in bytes.
const READ_BUFFER: usize = 4 << 10;
/// Most frames that wait for one link; a peer that reads none is dead.
const MAX_QUEUED: usize = 4_096;

/// Failure of a link.
#[derive(Debug)]
pub(super) enum Error {
    /// It could not be opened.
    Open(io::Error),
    /// It broke.
    Socket(Box<tungstenite::Error>),
    /// A frame can't be read.
    Frame,
    /// The other end closed it.
    Closed,
    /// Nothing came for too long.
    Silent,
    /// The other end is this daemon, or is linked already.
    Needless,
}

/// A daemon that is linked.
#[derive(Debug)]
pub(super) struct Peer {
    pub profile: Profile,
    pub origin: LinkId,
    pub is_leaving: bool,
    /// When it was linked.
    pub since: Instant,
    sender: mpsc::Sender<Frame>,
    heard: Instant,
    /// Time between its beats.
    period: Duration,
    /// Age of its tables at a moment, if it keeps its peers fresh.
    age: Option<(Duration, Instant)>,
    /// Whether its tables were asked for.
    is_asked: bool,
    /// Since when it has conducted, if it does.
    leads_since: Option<UnixMillis>,
}

impl Peer {
    /// Returns the age of its tables, if it keeps its peers fresh.
    pub fn age(&self) -> Option<Duration> {
        let (age, at) = self.age?;
        Some(age + at.elapsed())
    }

    /// Returns what decides whether it conducts.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            host: self.profile.host.clone(),
            cpu: self.profile.cpu,
            is_leaving: self.is_leaving,
            linked_for: self.since.elapsed(),
            leads_since: self.leads_since,
            started: self.profile.started,
        }
    }
}

/// Links to all daemons that are known.
#[derive(Debug)]
pub(super) struct Links {
    own: SocketAddr,
    peers: RefCell<HashMap<HostId, Peer>>,
    /// Addresses that are known, with the time of the next dial.
    known: RefCell<HashMap<SocketAddr, Dial>>,
    origins: Cell<LinkId>,
}

#[derive(Debug)]
struct Dial {
    next: Instant,
    failures: u32,
    is_open: bool,
}

impl Links {
    pub fn new(settings: &Settings) -> Self {
        let links = Self {
            own: settings.link,
            peers: RefCell::default(),
            known: RefCell::default(),
            origins: Cell::new(0),
        };
        links.learn(settings.seeds.iter().copied());
        links
    }

    /// Adds addresses of daemons.
    pub fn learn(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut known = self.known.borrow_mut();
        for address in addresses {
            if address == self.own {
                continue;
            }
            let wait = if self.own < address {
                Duration::ZERO
            } else {
                YIELD
            };
            known.entry(address).or_insert_with(|| Dial {
                next: Instant::now() + wait,
                failures: 0,
                is_open: false,
            });
        }
    }

    /// Returns how many daemons are linked.
    pub fn count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Returns how many addresses of other daemons are known.
    pub fn known(&self) -> usize {
        self.known.borrow().len()
    }

    /// Returns the number of the link to a daemon.
    pub fn origin(&self, host: &str) -> Option<LinkId> {
        let peers = self.peers.borrow();
        peers.get(host).map(|peer| peer.origin)
    }

    /// Calls `act` with each daemon that is linked.
    pub fn each(&self, mut act: impl FnMut(&Peer)) {
        self.peers.borrow().values().for_each(&mut act);
    }

    /// Queues a frame for a daemon and returns whether it is linked.
    pub fn send(&self, host: &str, frame: Frame) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(host);
        peer.is_some_and(|peer| peer.sender.try_send(frame).is_ok())
    }

    /// Queues a frame for the daemon at the other end of a link.
    pub fn reply(&self, origin: LinkId, frame: Frame) {
        let peers = self.peers.borrow();
        let peer = peers.values().find(|peer| peer.origin == origin);
        if let Some(peer) = peer
            && let Err(fault) = peer.sender.try_send(frame)
        {
            tracing::warn!(host = %peer.profile.host, %fault, "frame for a peer dropped");
        }
    }

    /// Queues a frame for all daemons.
    pub fn broadcast(&self, frame: &Frame) {
        self.each(|peer| {
            if let Err(fault) = peer.sender.try_send(frame.clone()) {
                tracing::warn!(host = %peer.profile.host, %fault, "frame for a peer dropped");
            }
        });
    }

    fn next_origin(&self) -> LinkId {
        self.origins.set(self.origins.get() + 1);
        self.origins.get()
    }

    /// Returns addresses to be dialled now.
    fn due(&self) -> Vec<SocketAddr> {
        let linked: HashSet<SocketAddr> = {
            let peers = self.peers.borrow();
            peers.values().map(|peer| peer.profile.link).collect()
        };
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        let due = known.iter_mut().filter(|(address, dial)| {
            dial.next <= now && !dial.is_open && !linked.contains(*address)
        });
        due.map(|(address, dial)| {
            dial.is_open = true;
            *address
        })
        .collect()
    }

    /// Notes that the link to a daemon was lost; one end waits, so that they do not dial each other.
    fn note_lost(&self, address: SocketAddr) {
        let wait = if self.own < address {
            FIRST_REDIAL
        } else {
            YIELD
        };
        if let Some(dial) = self.known.borrow_mut().get_mut(&address) {
            dial.next = dial.next.max(Instant::now() + wait);
        }
    }

    /// Notes the end of a dialled link.
    fn note_end(&self, address: SocketAddr, was_open: bool) {
        if let Some(dial) = self.known.borrow_mut().get_mut(&address) {
            dial.failures = if was_open { 0 } else { dial.failures + 1 };
            let pause = FIRST_REDIAL * 2_u32.saturating_pow(dial.failures.min(8));
            dial.next = dial.next.max(Instant::now() + pause.min(MAX_REDIAL));
            dial.is_open = false;
        }
    }
}

/// Period in which addresses are looked over.
const DIAL_PERIOD: Duration = Duration::from_millis(200); // the first pause before a dial

/// Dials daemons until the process ends.
pub(super) async fn dial(relay: Rc<Relay>) {
    loop {
        for address in relay.links.due() {
            let relay = Rc::clone(&relay);
            tokio::task::spawn_local(async move {
                let result = open(&relay, address).await;
                let was_open = matches!(
                    result,
                    Err(Error::Closed | Error::Silent | Error::Socket(_) | Error::Needless)
                );
                relay.links.note_end(address, was_open);
            });
        }
        time::sleep(DIAL_PERIOD).await;
    }
}

/// Takes links of other daemons until the process ends.
pub(super) async fn listen(relay: Rc<Relay>, listener: TcpListener) {
    accept::each(listener, move |stream| answer(Rc::clone(&relay), stream)).await;
}

async fn answer(relay: Rc<Relay>, stream: TcpStream) {
    let accept = accept_async_with_config(stream, Some(config()));
    if let Ok(Ok(socket)) = time::timeout(OPEN_TIMEOUT, accept).await {
        // The end of a link is logged where it is unlinked.
        drop(talk(&relay, socket).await);
    }
}

async fn open(relay: &Rc<Relay>, address: SocketAddr) -> Result<(), Error> {
    let connect = async {
        let stream = TcpStream::connect(address).await.map_err(Error::Open)?;
        stream.set_nodelay(true).map_err(Error::Open)?;
        let url = format!("ws://{address}/");
        let opened = client_async_with_config(url, stream, Some(config())).await;
        let (socket, _) = opened.map_err(|cause| Error::Socket(Box::new(cause)))?;
        Ok(socket)
    };
    let socket = time::timeout(OPEN_TIMEOUT, connect).await;
    let socket = socket.unwrap_or(Err(Error::Open(io::ErrorKind::TimedOut.into())))?;
    talk(relay, socket).await
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .max_message_size(Some(MAX_FRAME))
        .max_frame_size(Some(MAX_FRAME))
}

/// Exchanges frames until the link ends.
async fn talk(relay: &Rc<Relay>, mut socket: WebSocketStream<TcpStream>) -> Result<(), Error> {
    let mut known: Vec<SocketAddr> = relay.links.known.borrow().keys().copied().collect();
    known.truncate(MAX_KNOWN);
    let hello = Frame::Hello {
        profile: relay.profile(),
        known,
    };
    send(&mut socket, &hello).await?;
    let first = time::timeout(OPEN_TIMEOUT, receive(&mut socket)).await;
    let Frame::Hello { profile, known } = first.unwrap_or(Err(Error::Silent))? else {
        return Err(Error::Frame);
    };
    relay.links.learn(known);
    relay.links.learn([profile.link]);
    let host = profile.host.clone();
    let (origin, mut frames) = relay.link(profile)?;
    let end = exchange(relay, &mut socket, &host, origin, &mut frames).await;
    let fault = end.as_ref().err().map(ToString::to_string);
    relay.unlink(&host, origin, fault.as_deref().unwrap_or_default());
    end
}

/// Most addresses that a daemon tells another one.
const MAX_KNOWN: usize = 512; // above the 330 daemons of the largest plan

async fn exchange(
    relay: &Rc<Relay>,
    socket: &mut WebSocketStream<TcpStream>,
    host: &HostId,
    origin: LinkId,
    frames: &mut mpsc::Receiver<Frame>,
) -> Result<(), Error> {
    let mut beat = Instant::now();
    loop {
        let dead = {
            let peers = relay.links.peers.borrow();
            let peer = peers.get(host).ok_or(Error::Needless)?;
            peer.heard + peer.period * DEAD_BEATS + DEAD_SLACK
        };
        let wake = dead.min(beat).max(Instant::now());
        tokio::select! {
            frame = receive(socket) => relay.take_frame(host, origin, frame?),
            frame = frames.recv() => {
                let frame = frame.ok_or(Error::Needless)?;
                let sent = time::timeout(OPEN_TIMEOUT, send(socket, &frame)).await;
                sent.unwrap_or(Err(Error::Silent))?;
            }
            () = time::sleep_until(wake.into()) => {
                let now = Instant::now();
                if dead <= now {
                    return Err(Error::Silent);
                }
                if now < beat {
                    continue;
                }
                let period = relay.beat_period();
                let frame = relay.beat(period);
                let sent = time::timeout(OPEN_TIMEOUT, send(socket, &frame)).await;
                sent.unwrap_or(Err(Error::Silent))?;
                beat = Instant::now() + period;
            }
        }
    }
}

async fn send(socket: &mut WebSocketStream<TcpStream>, frame: &Frame) -> Result<(), Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).map_err(|_cause| Error::Frame)?;
    let sent = socket.send(Message::binary(bytes)).await;
    sent.map_err(|cause| Error::Socket(Box::new(cause)))
}

async fn receive(socket: &mut WebSocketStream<TcpStream>) -> Result<Frame, Error> {
    loop {
        let message = socket.next().await.ok_or(Error::Closed)?;
        match message.map_err(|cause| Error::Socket(Box::new(cause)))? {
            Message::Binary(bytes) => {
                return ciborium::from_reader(bytes.as_ref()).map_err(|_cause| Error::Frame);
            }
            Message::Close(_) => return Err(Error::Closed),
            Message::Ping(_) | Message::Pong(_) => {}
            Message::Text(_) | Message::Frame(_) => return Err(Error::Frame),
        }
    }
}

impl Relay {
    fn beat(&self, period: Duration) -> Frame {
        Frame::Beat {
            plan: self.plan_version(),
            is_leaving: self.is_leaving(),
            period,
            age: self.reader_age(),
            leads_since: self.leads_since(),
        }
    }

    /// Tells all peers at once of a new configuration, so that they ask for it, or who conducts.
    pub(super) fn announce(&self) {
        self.links.broadcast(&self.beat(self.beat_period()));
    }

    /// Hands the entry of a target on to all peers.
    pub(super) fn hand_on(&self, row: &Row, is_lenient: bool) {
        self.links.broadcast(&Frame::Targets {
            rows: vec![row.clone().into()],
            is_lenient,
        });
    }

    /// Adds a daemon that has said who it is.
    fn link(&self, profile: Profile) -> Result<(LinkId, mpsc::Receiver<Frame>), Error> {
        let mut peers = self.links.peers.borrow_mut();
        let known = peers.get(&profile.host);
        let is_same = known.is_some_and(|peer| {
            let is_heard = peer.heard.elapsed() < peer.period * DEAD_BEATS;
            peer.profile.incarnation == profile.incarnation && is_heard
        });
        if is_same || profile.incarnation == self.incarnation {
            return Err(Error::Needless);
        }
        let (sender, frames) = mpsc::channel(MAX_QUEUED);
        let origin = self.links.next_origin();
        tracing::info!(host = %profile.host, front = %profile.front, "peer linked");
        let peer = Peer {
            origin,
            is_leaving: false,
            since: Instant::now(),
            sender,
            heard: Instant::now(),
            period: relay_period(peers.len() + 1, BEAT_PER_LINK),
            age: None,
            is_asked: false,
            leads_since: profile.leads_since,
            profile,
        };
        peers.insert(peer.profile.host.clone(), peer);
        self.metrics.set_links(peers.len());
        Ok((origin, frames))
    }

    /// Returns the time between two beats of this daemon.
    fn beat_period(&self) -> Duration {
        let is_leading = self.is_monitored() || self.is_reader();
        let per_link = if is_leading {
            LEADING_BEAT_PER_LINK
        } else {
            BEAT_PER_LINK
        };
        relay_period(self.links.count(), per_link)
    }

    fn unlink(self: &Rc<Self>, host: &HostId, origin: LinkId, fault: &str) {
        let mut peers = self.links.peers.borrow_mut();
        let is_current = peers.get(host).is_some_and(|peer| peer.origin == origin);
        if is_current && let Some(peer) = peers.remove(host) {
            self.links.note_lost(peer.profile.link);
            self.metrics.set_links(peers.len());
        }
        drop(peers);
        tracing::info!(%host, fault, "peer lost");
        self.handle_link_lost(origin);
    }

    fn take_frame(self: &Rc<Self>, host: &HostId, origin: LinkId, frame: Frame) {
        if let Some(peer) = self.links.peers.borrow_mut().get_mut(host) {
            peer.heard = Instant::now();
            if let Frame::Beat {
                plan,
                is_leaving,
                period,
                age,
                leads_since,
            } = &frame
            {
                peer.is_leaving = *is_leaving;
                peer.period = *period;
                peer.age = age.map(|age| (age, Instant::now()));
                peer.leads_since = *leads_since;
                // Before its first read, a daemon asks any peer that may know the targets.
                let is_source = peer.age.is_some() || *plan > 0 && self.tables.age().is_none();
                if is_source && !peer.is_asked {
                    peer.is_asked = peer.sender.try_send(Frame::WantTargets).is_ok();
                }
            }
        }
        match frame {
            Frame::Hello { .. } => {}
            Frame::Beat { plan, .. } => {
                if plan > self.plan_version() {
                    self.links.send(host, Frame::WantPlan);
                }
            }
            Frame::WantPlan => {
                if let Some(row) = self.plan_row() {
                    self.links.send(host, Frame::Plan(row.into()));
                }
            }
            Frame::Plan(row) => self.take_plan(row.into()),
            Frame::WantTargets => {
                let rows = self.tables.targets().into_iter().map(Handed::from);
                let frame = Frame::Targets {
                    rows: rows.collect(),
                    is_lenient: self.roster().is_lenient(self.now()),
                };
                self.links.send(host, frame);
            }
            Frame::Targets { rows, is_lenient } => {
                for row in rows {
                    self.take_target(&row.into(), is_lenient);
                }
            }
            Frame::Submit { number, job } => self.accept_job(origin, number, job),
            Frame::Release { number } => self.release_job(origin, number),
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
            Frame::Death(mark) => {
                let now = self.now();
                self.ledger_mut().record(now, mark);
            }
        }
    }
}

fn relay_period(links: usize, per_link: Duration) -> Duration {
    (per_link * links as u32).max(MIN_BEAT)
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Open(cause) => write!(f, "link could not be opened: {cause}"),
            Self::Socket(cause) => write!(f, "link broke: {cause}"),
            Self::Frame => f.write_str("frame is not in its form"),
            Self::Closed => f.write_str("link was closed"),
            Self::Silent => f.write_str("link is silent"),
            Self::Needless => f.write_str("daemon is linked already"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Open(cause) => Some(cause),
            Self::Socket(cause) => Some(cause),
            Self::Frame | Self::Closed | Self::Silent | Self::Needless => None,
        }
    }
}
