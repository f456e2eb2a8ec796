//! Where streams began, exchanged with peers.

use super::{
    dialect::Resumption,
    event,
    frame::{Frame, LinkId},
    link::Peer,
    outcome::{Reason, Rejection},
    run::{self, ActiveRequest, POOL_RETRY_AFTER},
    state::{self, Relay},
};
use futures::channel::oneshot;
use policy::{
    id::{HostId, PoolId, RequestId},
    relay::{
        origin::{self, Origin, Origins},
        plan::Plan,
        registry::{Build, Target},
        route_history::RouteHistory,
    },
};
use std::{
    cell::{Cell, Ref, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};
use strum::IntoStaticStr;
use tokio::time;

/// Time for which the answers of peers are awaited; several round trips between domains.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after its start for which a daemon relies on its tables although no peer confirms them: links
/// to others are still being established.
const START_PERIOD: Duration = Duration::from_secs(3);
/// Time for which a daemon that has just started waits for its tables. The store answers in
/// milliseconds, and a caller whose stream was interrupted by the start may have no further attempt.
const START_TIMEOUT: Duration = Duration::from_millis(300);
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum age of a stream that a caller takes up, in timeouts of its route: that of the attempt that
/// began it and of the one that takes it up.
const MAX_STREAM_TIMEOUTS: u32 = 2;

/// How a daemon learned where a stream began that a caller takes up.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Source {
    /// It forwarded the stream, or kept its origin for a peer.
    Own,
    /// A peer answered.
    Peer,
    /// The daemon that forwarded it had stored its origin.
    Stored,
    /// Its pools have had a single build, as peers confirm.
    SingleBuild,
    /// Its pools have had a single build, as the store confirms.
    RecordedBuild,
}

/// Known origins of streams, and queries to peers in progress.
#[derive(Debug, Default)]
pub(super) struct OriginTable {
    pub(super) origins: RefCell<Origins>,
    routes: RefCell<RouteHistory>,
    queries: RefCell<HashMap<u64, Query>>,
    next_number: Cell<u64>,
}

/// A query to several peers.
#[derive(Debug)]
struct Query {
    /// Number of peers that have not answered.
    unanswered: usize,
    /// The single build of the pools, as each of those that answered and can tell sees it.
    single_builds: Vec<Option<Build>>,
    /// Sends the origin of the stream, or nothing when all have answered.
    sender: oneshot::Sender<Origin>,
}

/// Answers of peers to a query.
#[derive(Debug, Default)]
struct Answers {
    /// The origin of the stream, if one of them knows it.
    origin: Option<Origin>,
    single_builds: Vec<Option<Build>>,
}

/// Ends a query when dropped.
#[derive(Debug)]
struct QueryGuard {
    relay: Rc<Relay>,
    number: u64,
}

impl QueryGuard {
    /// Returns what the peers that have answered say of the pools.
    fn take_single_builds(&self) -> Vec<Option<Build>> {
        let mut queries = self.relay.origins.queries.borrow_mut();
        let query = queries.remove(&self.number);
        query.map(|query| query.single_builds).unwrap_or_default()
    }
}

impl Drop for QueryGuard {
    fn drop(&mut self) {
        let mut queries = self.relay.origins.queries.borrow_mut();
        queries.remove(&self.number);
    }
}

impl Relay {
    /// Returns the maximum age of streams that callers may take up; `None` without a configuration.
    pub(super) fn max_stream_age(&self) -> Option<Duration> {
        let plan = self.plan()?;
        Some(plan.longest_timeout() * MAX_STREAM_TIMEOUTS)
    }

    /// Returns which pools routes have used.
    pub(super) fn route_history(&self) -> Ref<'_, RouteHistory> {
        self.origins.routes.borrow()
    }

    /// Records the pools of the routes of a configuration that is about to be in force.
    pub(super) fn record_routes(&self, next: &Plan) {
        let former = self.plan();
        let longest = [former.as_deref(), Some(next)].into_iter().flatten();
        let longest = longest.map(Plan::longest_timeout).max();
        let max_age = longest.unwrap_or_default() * MAX_STREAM_TIMEOUTS;
        let mut routes = self.origins.routes.borrow_mut();
        routes.record(self.now(), former.as_deref(), next, max_age);
    }

    /// Records where a stream began, here and at the peers that keep it.
    fn record_origin(&self, stream: &RequestId, origin: &Origin) {
        let mut origins = self.origins.origins.borrow_mut();
        origins.insert_forwarded(self.now(), stream.clone(), origin.clone());
        drop(origins);
        let peers = self.keeping_peers();
        self.send_origin(stream, origin, Duration::ZERO, peers);
    }

    /// Keeps the origin of a stream, which a peer recorded at that age.
    pub(super) fn keep_origin(&self, stream: RequestId, origin: Origin, age: Duration) {
        let recorded = self.now().saturating_sub(age);
        let mut origins = self.origins.origins.borrow_mut();
        origins.insert(recorded, stream, origin);
    }

    /// Hands the origins of recent streams over to peers before this daemon ends, since in a rolling
    /// restart all others that keep them may end as well.
    pub(super) fn hand_over_origins(&self) {
        let peers = self.keeping_peers();
        let origins = self.origins.origins.borrow();
        let mut count = 0;
        for (stream, origin, age) in origins.recent(self.now()) {
            self.send_origin(stream, origin, age, peers.clone());
            count += 1;
        }
        tracing::info!(count, "origins of streams handed over");
    }

    fn send_origin(&self, stream: &RequestId, origin: &Origin, age: Duration, peers: Vec<HostId>) {
        for keeper in origin::keepers(stream, peers) {
            let frame = Frame::StreamOrigin {
                stream: stream.clone(),
                pool: origin.pool.clone(),
                build: origin.build.clone(),
                age,
            };
            self.links.send_to_host(&keeper, frame);
        }
    }

    /// Returns where a stream began, if it is known, or the build if no other is possible. The stream began
    /// in one of `pools`, at most `max_age` ago. Without `stream`, the caller did not name it.
    pub(super) async fn find_origin(
        self: &Rc<Self>,
        request: &RequestId,
        stream: Option<&RequestId>,
        pools: &BTreeSet<PoolId>,
        max_age: Duration,
    ) -> Option<Origin> {
        let known = stream.and_then(|stream| self.origins.origins.borrow().get(stream).cloned());
        let mut found = known.map(|origin| (origin, Source::Own));
        if found.is_none() {
            let stream = stream.cloned().unwrap_or_default();
            let answers = self.query_origin(&stream, pools, max_age).await;
            found = if let Some(origin) = answers.origin {
                Some((origin, Source::Peer))
            } else {
                self.wait_for_tables().await;
                let views = &answers.single_builds;
                self.find_unkept_origin(&stream, pools, max_age, views)
                    .await
            };
        }
        let source: &str = found
            .as_ref()
            .map_or("unknown", |(_, source)| source.into());
        let resumptions = &self.metrics.resumptions;
        resumptions.with_label_values(&[source]).inc();
        let origin = found.map(|(origin, _)| origin);
        event::stream_taken_up(request, stream, origin.as_ref(), source);
        origin
    }

    /// Waits until a daemon that has just started has read its targets and the records of builds.
    async fn wait_for_tables(&self) {
        let end = Instant::now() + START_TIMEOUT;
        let is_ready = || self.tables.age().is_some() && self.build_records().is_loaded();
        while !is_ready() && Instant::now() < end {
            time::sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Returns the only build that all of `pools` have had for `period`, as this daemon sees it.
    fn single_build(&self, pools: &BTreeSet<PoolId>, period: Duration) -> Option<Build> {
        let registry = self.registry();
        let records = self.build_records();
        let unix_now = state::unix_millis_now();
        let builds = pools
            .iter()
            .map(|pool| registry.single_build(self.now(), unix_now, pool, period, &records));
        common(builds).cloned()
    }

    /// Returns the origin of a stream that no daemon keeps: the only build that its pools have had for
    /// `period`, if peers see the same, or what the store says. A daemon that stood still, or has lost its peers, does
    /// not know which builds have joined meanwhile, and neither does one that may have read an older copy
    /// of the store.
    async fn find_unkept_origin(
        self: &Rc<Self>,
        stream: &RequestId,
        pools: &BTreeSet<PoolId>,
        period: Duration,
        views: &[Option<Build>],
    ) -> Option<(Origin, Source)> {
        let of_build = |build: Build| Origin { pool: None, build };
        let single = self.single_build(pools, period);
        let is_agreed = |build: &Build| views.iter().all(|view| view.as_ref() == Some(build));
        if !views.is_empty() && single.as_ref().is_some_and(is_agreed) {
            return single.map(|build| (of_build(build), Source::SingleBuild));
        }
        let snapshot = self.read_snapshot().await;
        let may_show_copy = self.registry().may_show_copy(self.now());
        if let Some(snapshot) = snapshot {
            if let Some(origin) = snapshot.ledger.origin(stream) {
                return Some((origin, Source::Stored));
            }
            let registry = self.registry();
            let recorded = pools
                .iter()
                .map(|pool| registry.recorded_build(pool, &snapshot.records));
            let build = common(recorded)?;
            // Records that the store has lost are written again.
            let records = self.build_records();
            let has_other = pools.iter().any(|pool| records.has_other(pool, build));
            let is_only = !has_other && !may_show_copy;
            return is_only.then(|| (of_build(build.clone()), Source::RecordedBuild));
        }
        let is_alone = self.links.addresses.count() == 0 || self.has_just_started();
        let is_current = views.is_empty() && is_alone && !may_show_copy;
        single
            .filter(|_| is_current)
            .map(|build| (of_build(build), Source::SingleBuild))
    }

    /// Returns whether this daemon has started, and read its tables, a moment ago by both clocks; one
    /// of them stands still while its host is suspended.
    fn has_just_started(&self) -> bool {
        let age = state::unix_millis_now().saturating_sub(self.started_unix_ms);
        self.now() < START_PERIOD && Duration::from_millis(age) < START_PERIOD
    }

    /// Asks peers where a stream began, and for the single build that `pools` have had for `max_age`.
    async fn query_origin(
        self: &Rc<Self>,
        stream: &RequestId,
        pools: &BTreeSet<PoolId>,
        max_age: Duration,
    ) -> Answers {
        let number = self.origins.next_number.get();
        self.origins.next_number.set(number + 1);
        let asked = origin::asked_daemons(stream, self.peer_hosts(|_| true));
        let sent = asked.iter().filter(|host| {
            let frame = Frame::FindOrigin {
                number,
                stream: stream.clone(),
                pool: pools.first().cloned(),
                other_pools: pools.iter().skip(1).cloned().collect(),
                max_age,
            };
            self.links.send_to_host(host, frame)
        });
        let unanswered = sent.count();
        if unanswered == 0 {
            return Answers::default();
        }
        let (sender, answer) = oneshot::channel();
        let query = Query {
            unanswered,
            single_builds: Vec::with_capacity(unanswered),
            sender,
        };
        self.origins.queries.borrow_mut().insert(number, query);
        let guard = QueryGuard {
            relay: Rc::clone(self),
            number,
        };
        let answer = time::timeout(QUERY_TIMEOUT, answer).await;
        Answers {
            origin: answer.ok().and_then(Result::ok),
            single_builds: guard.take_single_builds(),
        }
    }

    /// Answers the query of a peer.
    pub(super) fn answer_origin_query(
        &self,
        link_id: LinkId,
        number: u64,
        stream: &RequestId,
        pools: &BTreeSet<PoolId>,
        max_age: Duration,
    ) {
        let origin = self.origins.origins.borrow().get(stream).cloned();
        let (pool, build) = origin.map(|origin| (origin.pool, origin.build)).unzip();
        let is_unsure = self.registry().may_show_copy(self.now());
        let single_build = (!is_unsure).then(|| self.single_build(pools, max_age));
        let frame = Frame::Origin {
            number,
            build,
            pool: pool.flatten(),
            single_build: single_build.flatten(),
            is_unsure,
        };
        self.links.send_on_link(link_id, frame);
    }

    /// Handles the answer of a peer to an own query. If it is unsure, `single_build` says nothing.
    pub(super) fn receive_origin(
        &self,
        number: u64,
        origin: Option<Origin>,
        single_build: Option<Build>,
        is_unsure: bool,
    ) {
        let mut queries = self.origins.queries.borrow_mut();
        let Some(query) = queries.get_mut(&number) else {
            return;
        };
        query.unanswered = query.unanswered.saturating_sub(1);
        if !is_unsure {
            query.single_builds.push(single_build);
        }
        if let Some(origin) = origin {
            if let Some(query) = queries.remove(&number) {
                // Fails if the caller has left.
                drop(query.sender.send(origin));
            }
        } else if query.unanswered == 0 {
            // The channel closes, and the views stay for whoever asked.
            query.sender = oneshot::channel().0;
        }
    }

    /// Returns the peers that can keep origins of streams.
    fn keeping_peers(&self) -> Vec<HostId> {
        self.peer_hosts(|peer| !peer.is_leaving)
    }

    fn peer_hosts(&self, is_included: impl Fn(&Peer) -> bool) -> Vec<HostId> {
        let mut hosts = Vec::with_capacity(self.links.count());
        self.links.for_each_peer(|peer| {
            if is_included(peer) {
                hosts.push(peer.profile.host.clone());
            }
        });
        hosts
    }
}

impl ActiveRequest {
    /// Determines where a stream began that the caller takes up, and so where it has to go on.
    ///
    /// Fails if it is not known.
    pub(super) async fn find_origin(&self, resumption: &Resumption) -> Result<(), Rejection> {
        // Requests that the configuration in force denies are rejected as such.
        self.pool(false)?;
        let max_age = self.route.timeout * MAX_STREAM_TIMEOUTS;
        let pools = self.relay.route_history().pools(
            self.relay.now(),
            &self.route,
            (&run::host(&self.head), self.head.uri.path()),
            max_age,
        );
        let stream = resumption.stream.as_ref();
        let found = self
            .relay
            .find_origin(&self.metadata.id, stream, &pools, max_age)
            .await;
        let unknown = Rejection::new(Reason::UnknownBuild).with_retry_after(POOL_RETRY_AFTER);
        let origin = found.ok_or(unknown)?;
        self.origin.borrow_mut().get_or_insert(origin);
        Ok(())
    }

    /// Records the target that has sent the first event to this caller as the origin of the stream, or as
    /// one of the same build.
    pub(super) fn record_first_event(&self, target: &Target) {
        let may_be_replaced = self.relay.registry().may_be_replaced(target);
        let mut origin = self.origin.borrow_mut();
        if may_be_replaced && origin.is_none() {
            self.is_build_unknown.set(true);
            return;
        }
        let known = origin.take();
        let origin = origin.insert(Origin {
            pool: Some(target.pool.clone()),
            build: known.map_or_else(|| target.build.clone(), |known| known.build),
        });
        self.record_origin(origin);
    }

    /// Forgets where the stream began if its target, whose events are still arriving, has registered with
    /// another build since. They may come from the later process.
    pub(super) fn review_origin(&self, target: &Target) {
        if self.relay.registry().has_other_build(target) && !self.is_build_unknown.replace(true) {
            self.record_origin(&Origin {
                pool: Some(target.pool.clone()),
                build: Build::default(),
            });
        }
    }

    fn record_origin(&self, origin: &Origin) {
        if self.route.is_resumable {
            self.relay.record_origin(self.stream(), origin);
        }
    }

    /// Records that the caller got all of the response.
    pub(super) fn record_completion(&self) {
        if self.route.is_resumable {
            let now = self.relay.now();
            let mut origins = self.relay.origins.origins.borrow_mut();
            origins.record_completion(now, self.stream());
        }
    }

    /// Returns the identifier of the request that brought the stream's first event, or is to bring it.
    pub(super) fn stream(&self) -> &RequestId {
        let resumption = self.metadata.resumption.as_ref();
        let stream = resumption.and_then(|resumption| resumption.stream.as_ref());
        stream.unwrap_or(&self.metadata.id)
    }
}

/// Returns the build that all pools have, if each has one and there is no other.
fn common<'a>(mut builds: impl Iterator<Item = Option<&'a Build>>) -> Option<&'a Build> {
    let first = builds.next()??;
    builds.all(|build| build == Some(first)).then_some(first)
}
