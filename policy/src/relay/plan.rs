//! Routes, pools, limits and access keys that are in force together.

use crate::{
    hash,
    id::{PoolId, Revision, WorkspaceId},
};
use compact_str::CompactString;
use std::{collections::HashMap, sync::Arc, time::Duration};
use strum::{Display, EnumString, IntoStaticStr};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answers with a series of events.
    Streaming,
}

/// A pool that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolId,
    /// Relative share.
    pub weight: f64,
}

/// A stage whose results a request needs before it can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Pool that makes the results.
    pub pool: PoolId,
    /// Stages whose results this one reads.
    pub after: Vec<usize>,
    /// Approximate size of one result in bytes.
    pub bytes: u64,
}

/// How requests of one path prefix are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// Host name that callers use.
    pub host: CompactString,
    /// Beginning of the path.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer earns its full worth.
    pub objective: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Pools that serve the route.
    pub split: Vec<WeightedPool>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Stages before the request itself.
    pub stages: Vec<Stage>,
    /// Whether callers need no access key.
    pub is_public: bool,
    /// Whether a broken stream may go on at another target.
    pub is_resumable: bool,
    /// Longest pause between events of an answer in time.
    pub gap: Option<Duration>,
}

/// Limits of targets that make results of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchLimits {
    /// Most pieces in one call.
    pub max_pieces: usize,
    /// Time of a call beside its pieces.
    pub call_overhead: Duration,
    /// Approximate time of one piece.
    pub piece_time: Duration,
    /// Memory for results in bytes.
    pub result_memory: u64,
    /// Time for which a result is kept after its call.
    pub result_ttl: Duration,
}

/// Targets that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolId,
    /// Most connections to one target from the whole fleet.
    pub max_connections: u32,
    /// Limits of stage targets, if the pool serves stages.
    pub batch_limits: Option<BatchLimits>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest request head in bytes.
    pub header_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Longest time of sending a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A workspace and the access keys of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Access keys.
    pub keys: Vec<CompactString>,
    /// Rank that replaces a route's, 0 first.
    pub priority: Option<u8>,
}

/// Configuration in force.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Limits on callers.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    by_host: HashMap<CompactString, Vec<usize>>,
    pools: HashMap<PoolId, Pool>,
    workspaces: Vec<Workspace>,
    by_key: HashMap<CompactString, usize>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No route has the host and a prefix of the path.
    NoRoute,
    /// No workspace holds the access key.
    UnknownKey,
}

impl Plan {
    /// Creates a plan.
    pub fn new(
        revision: Revision,
        limits: Limits,
        routes: Vec<Route>,
        pools: Vec<Pool>,
        workspaces: Vec<Workspace>,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(routes[index].prefix.len()));
        }
        let keys = workspaces
            .iter()
            .enumerate()
            .flat_map(|(index, workspace)| {
                let keys = workspace.keys.iter();
                keys.map(move |key| (key.clone(), index))
            });
        Self {
            revision,
            limits,
            by_host,
            by_key: keys.collect(),
            pools: pools
                .into_iter()
                .map(|pool| (pool.name.clone(), pool))
                .collect(),
            routes: routes.into_iter().map(Arc::new).collect(),
            workspaces,
        }
    }

    /// Finds the route with the longest prefix of `path`, and the workspace that holds `key`.
    ///
    /// # Errors
    ///
    /// Fails if there is no such route, or the route needs a key and no workspace holds it.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Arc<Route>, Option<&Workspace>), Denial> {
        let routes = self.by_host.get(host).ok_or(Denial::NoRoute)?;
        let route = routes
            .iter()
            .map(|&index| &self.routes[index])
            .find(|route| path.starts_with(route.prefix.as_str()))
            .ok_or(Denial::NoRoute)?;
        if route.is_public || self.workspaces.is_empty() {
            return Ok((route, None));
        }
        let index = key.and_then(|key| self.by_key.get(key));
        let index = *index.ok_or(Denial::UnknownKey)?;
        Ok((route, Some(&self.workspaces[index])))
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// Returns all pools.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Returns how many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

impl Route {
    /// Returns the pool that serves the request with this identifier.
    ///
    /// The identifier decides, so that a repeat of the same request goes to the same pool.
    pub fn pool_for(&self, request: &str) -> Option<&PoolId> {
        let total: f64 = self.split.iter().map(|share| share.weight).sum();
        let drawn = hash::bytes(request.as_bytes()) % SPLIT_STEPS;
        let mut left = drawn as f64 / SPLIT_STEPS as f64 * total;
        for share in &self.split {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.pool);
            }
        }
        self.split.last().map(|share| &share.pool)
    }

    /// Returns whether a request may be sent to a second target after the first may have run it.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.is_resumable,
        }
    }

    /// Returns how long a caller waits for the first event before it leaves.
    pub fn first_event_timeout(&self) -> Option<Duration> {
        let gap = match self.kind {
            Kind::Streaming => self.gap?,
            Kind::Idempotent | Kind::NonIdempotent => return None,
        };
        Some(
            (self.objective * TIMEOUT_OBJECTIVES)
                .max(gap * TIMEOUT_GAPS)
                .max(MIN_FIRST_EVENT_TIMEOUT),
        )
    }
}

/// Steps in which a split is drawn; fine enough for weights in thousandths.
const SPLIT_STEPS: u64 = 10_000;
/// Objectives after which a caller leaves a stream; from the users' page on ingress.
const TIMEOUT_OBJECTIVES: u32 = 4;
/// Pauses after which a caller leaves a stream; from the users' page on ingress.
const TIMEOUT_GAPS: u32 = 8;
/// Shortest gap after which a caller leaves a stream; from the users' page on ingress.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
