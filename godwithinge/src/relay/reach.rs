//! Connections to targets, directly or through a peer.
//!
//! A connection that can't be opened, or takes long, is tried through a peer, too; while this daemon
//! is partitioned from all targets, only so. No byte of a request has been sent by then, so that
//! trying several ways does not repeat it.

use super::{
    event,
    metrics::TunnelSide,
    state::{CONNECT_TIMEOUT, Relay},
    tunnel::{self, Purpose},
};
use crate::http::{Connection, Error, Request, Response, Reuse};
use compact_str::{CompactString, format_compact};
use futures::{
    StreamExt,
    future::{self, LocalBoxFuture},
    stream::FuturesUnordered,
};
use policy::{
    id::{DomainId, HostId, TargetId, Time},
    relay::{
        reach::{Change, Reach},
        registry::Target,
    },
};
use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{net::TcpStream, sync::Notify, time};

/// Time after which another way is tried beside one that is still being opened; several round trips.
const HEAD_START: Duration = Duration::from_millis(120);
/// Timeout for opening a tunnel, which includes the connection from the peer to the target.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of peers that are asked for one connection.
const MAX_HOPS: usize = 3;
/// Maximum number of peers that are asked whether a target has crashed.
const MAX_WITNESSES: usize = 4;
/// Time for which a peer that opened no tunnel is asked last.
const HOP_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of a connection that only shows whether a target can be reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Duration of a partition from which calls that began before it are given up. If only some paths are
/// lost, the daemon may count as partitioned for less.
const LASTING_PARTITION: Duration = Duration::from_millis(400); // one try fails, the next one begins
/// Interval at which the policy is asked for targets to try.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What this daemon knows of its paths to the targets.
#[derive(Debug, Default)]
pub(super) struct ReachWatch {
    reach: RefCell<Reach>,
    /// Notified when a partition begins.
    began: Notify,
    /// Number of times that peers were listed, by which the load is spread over them.
    turn: Cell<usize>,
    /// When peers last failed to open a tunnel.
    failed_hops: RefCell<HashMap<HostId, Time>>,
}

/// A peer that may open a tunnel.
#[derive(Clone, Debug)]
struct Hop {
    host: HostId,
    domain: DomainId,
    address: SocketAddr,
}

/// What peers say about a target that this daemon can't connect to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Testimony {
    /// A peer reached it.
    Reached,
    /// No peer reached it, and one at least was refused as by a host without the process.
    Refused,
    /// No peer could tell.
    Unknown,
    /// There are no peers that could be asked.
    NoWitness,
}

impl ReachWatch {
    /// Returns whether this daemon is partitioned from all targets.
    pub fn is_partitioned(&self) -> bool {
        self.reach.borrow().is_partitioned()
    }

    /// Waits until a partition begins that lasts for [`LASTING_PARTITION`].
    pub async fn lasting_partition(&self) {
        loop {
            self.began.notified().await;
            let since = self.reach.borrow().partitioned_since();
            time::sleep(LASTING_PARTITION).await;
            if since.is_some() && self.reach.borrow().partitioned_since() == since {
                return;
            }
        }
    }
}

/// Tries connections to targets as the policy asks for; never returns.
pub(super) async fn probe_targets(relay: Rc<Relay>) {
    loop {
        time::sleep(POLL_INTERVAL).await;
        let targets: Vec<Target> = {
            let registry = relay.registry();
            let ready: Vec<&Target> = registry.usable().collect();
            let mut reach = relay.reach.reach.borrow_mut();
            let probes = reach.probes(relay.now(), &ready);
            probes.into_iter().cloned().collect()
        };
        for target in targets {
            let relay = Rc::clone(&relay);
            tokio::task::spawn_local(async move {
                let connect = TcpStream::connect(target.address.as_str());
                let connected = time::timeout(PROBE_TIMEOUT, connect).await;
                relay.record_direct(&target.id, matches!(connected, Ok(Ok(_))));
            });
        }
    }
}

impl Relay {
    /// Sends a request to a target over an idle or a new connection, and calls `connected` before
    /// the request is written to it; see [`Pool::send`](crate::http::Pool::send).
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] if neither this daemon nor a peer could open a connection, and
    /// with [`Error::Withdrawn`] if the target must not be sent requests by then.
    pub(super) async fn send_to_target(
        &self,
        target: &TargetId,
        address: &str,
        request: Request,
        reuse: Reuse,
        connected: impl Fn(),
    ) -> Result<Response, Error> {
        if !self.may_send(target) {
            self.record_held_send(target);
            return Err(Error::Withdrawn);
        }
        let open = || self.open_connection(target, address, Purpose::Request);
        let may_write = || {
            let may_send = self.may_send(target);
            if may_send {
                connected();
            } else {
                self.record_held_send(target);
            }
            may_send
        };
        let key = self.connection_key(target, address);
        self.pool
            .send_over(&key, address, request, reuse, open, may_write)
            .await
    }

    /// Returns the key of idle connections to the process of a target that the registry describes. A
    /// later process, of this target or of another one at its address, has another key.
    pub(super) fn connection_key(&self, target: &TargetId, address: &str) -> CompactString {
        let registry = self.registry();
        let known = registry.get(target);
        let started_unix_ms = known.map_or(0, |known| known.started_unix_ms);
        format_compact!("{target}/{started_unix_ms}/{address}")
    }

    /// Closes the idle connections to processes that the registry does not describe any more.
    pub(super) fn close_idle_connections(&self) {
        let targets: Vec<(TargetId, CompactString)> = {
            let registry = self.registry();
            let targets = registry.all();
            let targets = targets.map(|target| (target.id.clone(), target.address.clone()));
            targets.collect()
        };
        let keys = targets.iter();
        let keys: HashSet<CompactString> = keys
            .map(|(target, address)| self.connection_key(target, address))
            .collect();
        self.pool.retain(|key| keys.contains(key));
    }

    /// Opens a connection to a target, through a peer if the direct one fails or takes long.
    pub(super) async fn open_connection(
        &self,
        target: &TargetId,
        address: &str,
        purpose: Purpose,
    ) -> Result<Connection, Error> {
        let is_partitioned = self.reach.is_partitioned();
        let mut hops = if is_partitioned || self.reach.reach.borrow().may_relay(self.now(), target)
        {
            self.hops(target)
        } else {
            VecDeque::new()
        };
        hops.truncate(MAX_HOPS);
        let has_hops = !hops.is_empty();
        let mut failure = Error::Connect(io::ErrorKind::NetworkUnreachable.into());
        let mut attempts: FuturesUnordered<LocalBoxFuture<'_, Result<Connection, Error>>> =
            FuturesUnordered::new();
        if !is_partitioned {
            attempts.push(Box::pin(self.open_direct(target, address)));
            if self.reach.reach.borrow().is_relayed(self.now(), target)
                && let Some(hop) = hops.pop_front()
            {
                attempts.push(Box::pin(self.open_through(hop, target, purpose)));
            }
        }
        loop {
            if attempts.is_empty() {
                let Some(hop) = hops.pop_front() else {
                    break;
                };
                attempts.push(Box::pin(self.open_through(hop, target, purpose)));
            }
            tokio::select! {
                attempt = attempts.next() => match attempt {
                    Some(Ok(connection)) => {
                        if connection.via().is_some() {
                            self.record_relayed(target);
                        }
                        return Ok(connection);
                    }
                    Some(Err(cause)) => failure = cause,
                    None => {}
                },
                () = time::sleep(HEAD_START), if !hops.is_empty() => {
                    if let Some(hop) = hops.pop_front() {
                        attempts.push(Box::pin(self.open_through(hop, target, purpose)));
                    }
                }
            }
        }
        if has_hops {
            let mut reach = self.reach.reach.borrow_mut();
            reach.record_unrelayed(self.now(), target);
        }
        Err(failure)
    }

    async fn open_direct(&self, target: &TargetId, address: &str) -> Result<Connection, Error> {
        let connection = Connection::open(address, CONNECT_TIMEOUT).await;
        self.record_direct(target, connection.is_ok());
        connection
    }

    async fn open_through(
        &self,
        hop: Hop,
        target: &TargetId,
        purpose: Purpose,
    ) -> Result<Connection, Error> {
        let own_host = self.settings().host.clone();
        let tunnel = tunnel::open(hop.address, &own_host, target, purpose, TUNNEL_TIMEOUT).await;
        let result = tunnel
            .as_ref()
            .map_or_else(tunnel::Error::label, |_| "opened");
        self.metrics.record_tunnel(TunnelSide::Client, result);
        // A peer is fine if it can say that the target is not.
        let is_sound = tunnel
            .as_ref()
            .map_or_else(tunnel::Error::is_about_target, |_| true);
        if is_sound {
            self.reach.failed_hops.borrow_mut().remove(&hop.host);
        } else {
            let mut failed_hops = self.reach.failed_hops.borrow_mut();
            failed_hops.insert(hop.host.clone(), self.now());
        }
        match tunnel {
            Ok(tunnel) => Connection::over(tunnel, Some(hop.host)).await,
            Err(fault) => {
                event::tunnel_failed(&hop.host, target, &fault);
                Err(Error::Connect(io::Error::other(fault)))
            }
        }
    }

    /// Asks peers, of different domains first, whether they reach a target.
    pub(super) async fn ask_about_target(&self, target: &TargetId) -> Testimony {
        let own_host = self.settings().host.clone();
        let mut has_witness = false;
        self.links
            .for_each_peer(|peer| has_witness |= peer.profile.tunnel.is_some());
        if !has_witness {
            return Testimony::NoWitness;
        }
        let mut hops: Vec<Hop> = self.hops(target).into();
        let mut seen: HashMap<DomainId, usize> = HashMap::new();
        hops.sort_by_cached_key(|hop| {
            let rank = seen.entry(hop.domain.clone()).or_default();
            *rank += 1;
            *rank
        });
        hops.truncate(MAX_WITNESSES);
        let answers = hops.iter().map(|hop| {
            // Those that have left are not asked for: the end of their processes is no crash.
            let purpose = Purpose::Request;
            tunnel::open(hop.address, &own_host, target, purpose, TUNNEL_TIMEOUT)
        });
        let mut answers = future::join_all(answers).await;
        answers.retain(|answer| {
            !matches!(
                answer,
                Err(tunnel::Error::Refused(tunnel::Refusal::Partitioned))
            )
        });
        if answers.iter().any(Result::is_ok) {
            self.record_relayed(target);
            return Testimony::Reached;
        }
        let is_refused = answers.iter().any(|answer| {
            matches!(
                answer,
                Err(tunnel::Error::Refused(tunnel::Refusal::ConnectionRefused))
            )
        });
        if is_refused {
            Testimony::Refused
        } else {
            Testimony::Unknown
        }
    }

    /// Returns the peers that offer tunnels and are not partitioned themselves: those in the domain
    /// of this daemon or of the target first, in turn, and those that failed last.
    fn hops(&self, target: &TargetId) -> VecDeque<Hop> {
        let now = self.now();
        let own_domain = self.settings().domain.clone();
        let target_domain = {
            let registry = self.registry();
            registry.get(target).map(|known| known.domain.clone())
        };
        let mut hops = Vec::new();
        self.links.for_each_peer(|peer| {
            if let Some(address) = peer.profile.tunnel
                && !peer.is_leaving
                && !peer.is_partitioned
            {
                hops.push(Hop {
                    host: peer.profile.host.clone(),
                    domain: peer.profile.domain.clone(),
                    address,
                });
            }
        });
        hops.sort_by(|one, other| one.host.cmp(&other.host));
        if !hops.is_empty() {
            let turn = self.reach.turn.get();
            self.reach.turn.set(turn.wrapping_add(1));
            let length = hops.len();
            hops.rotate_left(turn % length);
        }
        let failed_hops = self.reach.failed_hops.borrow();
        hops.sort_by_key(|hop| {
            let failed_at = failed_hops.get(&hop.host);
            let has_failed = failed_at.is_some_and(|failed_at| now < *failed_at + HOP_PAUSE);
            let is_near = hop.domain == own_domain || Some(&hop.domain) == target_domain.as_ref();
            (has_failed, !is_near)
        });
        hops.into()
    }

    /// Records whether this daemon could open a connection to a target by itself.
    pub(super) fn record_direct(&self, target: &TargetId, is_reached: bool) {
        let (now, targets) = (self.now(), self.ready_targets());
        let mut reach = self.reach.reach.borrow_mut();
        let change = if is_reached {
            reach.record_reached(now, target)
        } else {
            reach.record_unreached(now, target, targets)
        };
        drop(reach);
        self.apply_reach_change(change);
    }

    fn record_relayed(&self, target: &TargetId) {
        let (now, targets) = (self.now(), self.ready_targets());
        let mut reach = self.reach.reach.borrow_mut();
        let change = reach.record_relayed(now, target, targets);
        drop(reach);
        self.apply_reach_change(change);
    }

    fn ready_targets(&self) -> usize {
        let registry = self.registry();
        registry.usable().count()
    }

    /// Closes the idle connections of the way that is no longer used, and tells all peers.
    fn apply_reach_change(&self, change: Option<Change>) {
        let Some(change) = change else {
            return;
        };
        let is_partitioned = change == Change::Began;
        let now = self.now();
        event::partition_changed(is_partitioned, self.reach.reach.borrow().evidence(now));
        self.metrics.set_partitioned(is_partitioned);
        self.pool.prefer_forwarded(is_partitioned);
        if is_partitioned {
            // What failed was the path.
            self.target_selector_mut().clear_failures();
            self.dispatcher.clear_failures();
            self.reach.began.notify_waiters();
        }
        self.broadcast_heartbeat();
    }
}
