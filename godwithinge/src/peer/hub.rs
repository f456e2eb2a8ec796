//! State shared by all links of a daemon.

use super::{
    Error, Event, HostList,
    frame::{BucketDigest, Frame},
    socket::{Identity, Traffic},
};
use policy::{
    command,
    id::{HostId, Revision, Time},
    member::{Heartbeat, Member, Membership, Profile, State as MemberState, gossip::Stamp},
    table::{
        Table,
        replica::{Replica, Update, UpdateOutcome},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::{mpsc, watch};

/// Capacity of a link's send queue, in frames; the link is closed when it overflows.
const SEND_QUEUE_LENGTH: usize = 64;

/// Maximum number of gossip items in one frame sent over a link.
const MAX_FRAME_ITEMS: usize = 4096;

/// Minimum time between two requests for the table to the same peer.
const TABLE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of links accepted from peers.
const MAX_ACCEPTED_LINKS: usize = 16;

/// Identifier of a link, unique within a hub.
pub(super) type LinkId = u64;

/// State shared by all links of a daemon.
#[derive(Debug)]
pub(super) struct Hub {
    pub identity: Identity,
    pub traffic: Traffic,
    pub shutdown: watch::Receiver<()>,
    started: Instant,
    state: Mutex<State>,
}

/// Mutable state of a [`Hub`], guarded by its lock.
#[derive(Debug)]
pub(super) struct State {
    pub members: Membership,
    pub links: BTreeMap<LinkId, Link>,
    pub dialling: BTreeSet<HostId>,
    pub seeds: BTreeSet<SocketAddr>,
    pub(super) host_list: Option<Arc<HostList>>,
    replica: Replica,
    events: mpsc::UnboundedSender<Event>,
    ceiling_members: Option<(Vec<HostId>, bool)>,
    load: f32,
    next_id: LinkId,
}

/// Hub's handle of an open link.
#[derive(Debug)]
pub(super) struct Link {
    pub host: HostId,
    pub dialled: bool,
    pub last_received: Time,
    frames: mpsc::Sender<Vec<u8>>,
    view: PeerView,
}

/// Knowledge of the peer at the other end of a connection.
#[derive(Debug, Default)]
pub(super) struct PeerView {
    /// Newest stamps that the peer has; `None` until its first digest is received.
    known: Option<BTreeMap<HostId, Stamp>>,
    table_requested_at: Option<Time>,
    is_exchange: bool,
}

impl PeerView {
    /// Creates the view of a peer in a single exchange.
    pub fn for_exchange() -> Self {
        Self {
            is_exchange: true,
            ..Self::default()
        }
    }
}

impl Hub {
    pub fn new(
        identity: Identity,
        profile: Profile,
        traffic: Traffic,
        events: mpsc::UnboundedSender<Event>,
        shutdown: watch::Receiver<()>,
    ) -> Self {
        let state = State {
            members: Membership::new(identity.host.clone(), profile),
            links: BTreeMap::new(),
            dialling: BTreeSet::new(),
            seeds: BTreeSet::new(),
            replica: Replica::new(),
            host_list: None,
            events,
            ceiling_members: None,
            load: 0.0,
            next_id: 0,
        };
        Self {
            identity,
            traffic,
            shutdown,
            started: Instant::now(),
            state: Mutex::new(state),
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Time {
        self.started.elapsed()
    }

    /// Publishes a frame. Demand is sent with the next tick, all other frames at once.
    pub fn publish(&self, frame: &command::Frame) {
        let now = self.now();
        let mut state = self.state();
        state.members.publish(frame);
        if !matches!(frame, command::Frame::Demand { .. }) {
            state.flush(now);
        }
    }

    pub fn apply_update(&self, update: &Update) -> UpdateOutcome {
        self.state().apply_update(update)
    }

    pub fn table(&self) -> Option<Arc<Table>> {
        self.state().replica.table().cloned()
    }

    pub fn set_load(&self, load: f32) {
        self.state().load = load;
    }

    pub fn set_state(&self, member_state: MemberState) {
        let now = self.now();
        let mut state = self.state();
        state.members.set_state(member_state);
        state.flush(now);
    }

    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.state().seeds.extend(seeds);
    }

    pub fn members(&self) -> Vec<Member> {
        self.state().members.members(self.now())
    }

    pub fn linked(&self) -> Vec<HostId> {
        let state = self.state();
        let hosts: BTreeSet<_> = state.links.values().map(|link| &link.host).collect();
        hosts.into_iter().cloned().collect()
    }

    /// Registers a link that completed the handshake, and returns its identifier and the queue of
    /// encoded frames to send over it.
    ///
    /// # Errors
    ///
    /// Fails if another link to the same peer is preferred, or if the limit of accepted links is
    /// reached.
    pub fn add_link(
        &self,
        host: &HostId,
        dialled: bool,
    ) -> Result<(LinkId, mpsc::Receiver<Vec<u8>>), Error> {
        let now = self.now();
        let mut state = self.state();
        state.replace_link(&self.identity.host, host, dialled)?;
        let (frames, receiver) = mpsc::channel(SEND_QUEUE_LENGTH);
        let id = state.next_id;
        state.next_id += 1;
        let link = Link {
            host: host.clone(),
            dialled,
            last_received: now,
            frames,
            view: PeerView::default(),
        };
        state.links.insert(id, link);
        let stamps = state.members.digest(now, 0, 1);
        state.send(id, &Frame::digest(0, 1, false, stamps));
        let have = Frame::Have(state.replica.revision());
        state.send(id, &have);
        Ok((id, receiver))
    }

    /// Handles a frame received over a link, and queues the replies.
    pub fn receive(&self, id: LinkId, frame: Frame) -> Result<(), Error> {
        let now = self.now();
        let mut state = self.state();
        let Some(link) = state.links.get_mut(&id) else {
            return Err(Error::Refused);
        };
        link.last_received = now;
        let mut view = std::mem::take(&mut link.view);
        let replies = state.handle_frame(now, &mut view, frame);
        if let Some(link) = state.links.get_mut(&id) {
            link.view = view;
        }
        for reply in replies? {
            state.send(id, &reply);
        }
        Ok(())
    }
}

impl State {
    /// Publishes a heartbeat if one is due, sends peers the items that they lack, and reports a
    /// change of the daemons that share the ceilings.
    pub fn tick(&mut self, now: Time) {
        let revision = self.replica.revision().unwrap_or_default();
        let load = self.load;
        self.members
            .publish_heartbeat(now, Heartbeat { load, revision });
        self.flush(now);
        let ceiling_members = self.members.ceiling_members(now);
        if self.ceiling_members.as_ref() != Some(&ceiling_members) {
            let (members, steady) = ceiling_members.clone();
            self.ceiling_members = Some(ceiling_members);
            self.emit(Event::Members { members, steady });
        }
    }

    /// Sends the items that each linked peer lacks, and drops links whose send queue is full.
    pub fn flush(&mut self, now: Time) {
        let mut slow = Vec::new();
        for (id, link) in &mut self.links {
            let Some(known) = &mut link.view.known else {
                continue;
            };
            let items = self.members.delta(now, &link.host, known, MAX_FRAME_ITEMS);
            if !items.is_empty() && !link.send(&Frame::Items(items)) {
                slow.push(*id);
            }
        }
        self.links.retain(|id, _| !slow.contains(id));
    }

    /// Sends the revision in force over each link; this also serves as the link's keep-alive.
    pub fn announce_revision(&mut self) {
        let have = Frame::Have(self.replica.revision());
        self.links.retain(|_, link| link.send(&have));
    }

    /// Returns the revision of the table in force; `None` before the first update.
    pub fn revision(&self) -> Option<Revision> {
        self.replica.revision()
    }

    /// Applies an update of the table, and reports and announces the table if it was adopted.
    pub fn apply_update(&mut self, update: &Update) -> UpdateOutcome {
        let outcome = self.replica.apply(update);
        if outcome == UpdateOutcome::Adopted
            && let Some(table) = self.replica.table().cloned()
        {
            self.emit(Event::Table(table));
            self.announce_revision();
        }
        outcome
    }

    /// Handles a frame and returns the replies.
    pub fn handle_frame(
        &mut self,
        now: Time,
        view: &mut PeerView,
        frame: Frame,
    ) -> Result<Vec<Frame>, Error> {
        match frame {
            Frame::Digest(digest) => Ok(self.handle_digest(now, view, digest)),
            Frame::Items(items) => {
                if let Some(known) = &mut view.known {
                    for item in &items {
                        let stamp = known.entry(item.origin.clone()).or_default();
                        *stamp = item.stamp.max(*stamp);
                    }
                }
                for (from, frame) in self.members.merge(now, items) {
                    self.emit(Event::Frame { from, frame });
                }
                Ok(Vec::new())
            }
            Frame::Have(revision) => Ok(self.request_table(now, view, revision)),
            Frame::Want(revision) => {
                let update = self.replica.update_since(revision).map(Frame::Update);
                Ok(update.into_iter().collect())
            }
            Frame::Update(update) => Ok(self.handle_update(&update)),
            Frame::WantHostList(version) => Ok(self.newer_host_list(version).into_iter().collect()),
            Frame::HostList(list) => {
                self.merge_host_list(list);
                Ok(Vec::new())
            }
            Frame::Hello(_) | Frame::Proof(_) => Err(Error::Unexpected {
                frame: frame.name(),
            }),
        }
    }

    fn handle_digest(
        &mut self,
        now: Time,
        view: &mut PeerView,
        digest: BucketDigest,
    ) -> Vec<Frame> {
        let (bucket, count) = (digest.bucket, digest.count);
        if !view.is_exchange {
            view.known = Some(digest.stamps.into_iter().collect());
            return Vec::new();
        }
        let items = self
            .members
            .delta_for_digest(now, &digest.stamps, bucket, count);
        let mut replies = vec![Frame::Items(items)];
        if digest.wants_reply {
            let stamps = self.members.digest(now, bucket, count);
            replies.push(Frame::digest(bucket, count, false, stamps));
            replies.push(Frame::Have(self.replica.revision()));
        }
        replies
    }

    /// Requests the table if the peer has a newer one and no request to it is recent.
    fn request_table(
        &self,
        now: Time,
        view: &mut PeerView,
        revision: Option<Revision>,
    ) -> Vec<Frame> {
        let own = self.replica.revision();
        let is_requested = view
            .table_requested_at
            .is_some_and(|time| now < time + TABLE_REQUEST_INTERVAL);
        if revision <= own || is_requested {
            return Vec::new();
        }
        view.table_requested_at = Some(now);
        vec![Frame::Want(own)]
    }

    fn handle_update(&mut self, update: &Update) -> Vec<Frame> {
        match self.apply_update(update) {
            UpdateOutcome::Gap => vec![Frame::Want(None)],
            UpdateOutcome::Invalid { faults } => {
                let fault = faults.first().map(ToString::to_string);
                tracing::error!(
                    faults = faults.len(),
                    fault,
                    "invalid table update from a peer ignored"
                );
                Vec::new()
            }
            UpdateOutcome::Forked => {
                tracing::error!("peer has different table rows at the revision in force");
                Vec::new()
            }
            UpdateOutcome::Adopted | UpdateOutcome::Known | UpdateOutcome::Lower { .. } => {
                Vec::new()
            }
        }
    }

    /// Drops the existing links to `host` that a new one replaces.
    ///
    /// If two daemons dial each other, both keep the link dialled by the one with the lower host
    /// name.
    ///
    /// # Errors
    ///
    /// Fails if the existing link is preferred, or if the limit of accepted links is reached.
    fn replace_link(&mut self, own: &HostId, host: &HostId, dialled: bool) -> Result<(), Error> {
        let opened_by = |link: &Link| if link.dialled { own } else { host };
        let is_preferred = |link: &Link| link.dialled != dialled && opened_by(link) < host.max(own);
        let is_same_host = |link: &Link| link.host == *host;
        if self
            .links
            .values()
            .any(|link| is_same_host(link) && is_preferred(link))
        {
            return Err(Error::Refused);
        }
        let accepted = self
            .links
            .values()
            .filter(|link| !link.dialled && !is_same_host(link));
        if !dialled && accepted.count() >= MAX_ACCEPTED_LINKS {
            return Err(Error::Refused);
        }
        self.links.retain(|_, link| !is_same_host(link));
        Ok(())
    }

    fn send(&mut self, id: LinkId, frame: &Frame) {
        if self.links.get(&id).is_some_and(|link| !link.send(frame)) {
            self.links.remove(&id);
        }
    }

    pub(super) fn emit(&self, event: Event) {
        // The receiver is closed while the daemon shuts down.
        drop(self.events.send(event));
    }
}

impl Link {
    /// Queues a frame; returns `false` if the link is closed or its send queue is full.
    ///
    /// A frame that cannot be encoded is logged and discarded, and the link is kept.
    pub(super) fn send(&self, frame: &Frame) -> bool {
        match frame.to_vec() {
            Ok(bytes) => self.frames.try_send(bytes).is_ok(),
            Err(error) => {
                tracing::error!(%error, frame = frame.name(), "frame discarded: encoding failed");
                true
            }
        }
    }
}

impl Frame {
    pub(super) fn digest(
        bucket: u64,
        count: u64,
        wants_reply: bool,
        stamps: policy::member::gossip::Digest,
    ) -> Self {
        Self::Digest(BucketDigest {
            bucket,
            count,
            wants_reply,
            stamps,
        })
    }
}
