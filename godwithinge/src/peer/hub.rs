//! State that all links of a daemon share.

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

/// Frames that wait for a link before it counts as too slow.
const SEND_QUEUE_LENGTH: usize = 64;

/// Most items in one frame.
const MAX_FRAME_ITEMS: usize = 4096;

/// Time after which the table is asked for again.
const TABLE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Most links that a daemon takes from its peers.
const MAX_ACCEPTED_LINKS: usize = 16;

/// Number of a link.
pub(super) type LinkId = u64;

/// State that all links of a daemon share.
#[derive(Debug)]
pub(super) struct Hub {
    pub identity: Identity,
    pub traffic: Traffic,
    pub shutdown: watch::Receiver<()>,
    started: Instant,
    state: Mutex<State>,
}

/// What the hub's lock guards.
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

/// One link, as the hub sees it.
#[derive(Debug)]
pub(super) struct Link {
    pub host: HostId,
    pub dialled: bool,
    pub last_received: Time,
    frames: mpsc::Sender<Vec<u8>>,
    view: PeerView,
}

/// What is known of the peer at the other end of a connection.
#[derive(Debug, Default)]
pub(super) struct PeerView {
    /// Newest stamps that the peer has; `None` until it said so.
    known: Option<BTreeMap<HostId, Stamp>>,
    table_requested_at: Option<Time>,
    is_exchange: bool,
}

impl PeerView {
    /// Creates the view of a peer in an exchange that is not kept as a link.
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

    /// Publishes a frame; one about a payload goes out at once, others with the next tick.
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

    /// Adds a link that was opened, and returns its number and the frames to send over it.
    ///
    /// # Errors
    ///
    /// Refuses a link to a peer that has a better one, and links above the limit.
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

    /// Takes in a frame of a link.
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
    /// Publishes a pulse if it is due, tells peers what they lack and the daemon who shares.
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

    /// Sends over each link the items that the peer lacks.
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

    /// Says over each link which revision is in force; this also shows that the link works.
    pub fn announce_revision(&mut self) {
        let have = Frame::Have(self.replica.revision());
        self.links.retain(|_, link| link.send(&have));
    }

    /// Returns the revision of the table in force, if there is one.
    pub fn revision(&self) -> Option<Revision> {
        self.replica.revision()
    }

    /// Takes in an update of the table and passes it on if it is adopted.
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

    /// Takes in a frame and returns the replies.
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

    /// Asks for the table if the peer has a newer one.
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
                tracing::error!(faults = faults.len(), fault, "peer sent an invalid table");
                Vec::new()
            }
            UpdateOutcome::Forked => {
                tracing::error!("peer holds other rows at the revision in force");
                Vec::new()
            }
            UpdateOutcome::Adopted | UpdateOutcome::Known | UpdateOutcome::Lower { .. } => {
                Vec::new()
            }
        }
    }

    /// Drops what a new link to `host` replaces.
    ///
    /// Of two links between the same daemons, the one that the lower host name dialled is kept.
    fn replace_link(&mut self, own: &HostId, host: &HostId, dialled: bool) -> Result<(), Error> {
        let dialler = |link: &Link| if link.dialled { own } else { host };
        let is_preferred = |link: &Link| link.dialled != dialled && dialler(link) < host.max(own);
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
        // A daemon that ends does not listen any more.
        drop(self.events.send(event));
    }
}

impl Link {
    /// Hands a frame to the link; `false` if the link can't take it.
    pub(super) fn send(&self, frame: &Frame) -> bool {
        match frame.to_vec() {
            Ok(bytes) => self.frames.try_send(bytes).is_ok(),
            Err(error) => {
                tracing::error!(%error, frame = frame.name(), "frame was not sent");
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
