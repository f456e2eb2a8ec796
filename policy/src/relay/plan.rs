//! Active configuration: routes, pools, limits and access keys of one revision.

use super::{
    rate::Rate,
    stage::{ByStage, StageNumber},
};
use crate::{
    hash,
    id::{PoolId, Revision, WorkspaceId},
};
use compact_str::CompactString;
use std::{collections::HashMap, sync::Arc, time::Duration};
use strum::{Display, EnumString, IntoStaticStr};

/// Retry semantics of the requests of a route.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// Requests are answered with a stream of events.
    Streaming,
}

/// A pool that receives part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolId,
    /// Weight relative to the sum over all pools of the route.
    pub weight: f64,
}

/// A stage whose results are needed before a request can be sent to its target.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Pool that computes the results.
    pub pool: PoolId,
    /// Stages whose results this one reads.
    pub after: Vec<StageNumber>,
    /// Approximate size of one result in bytes.
    pub bytes: u64,
}

/// Handling of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// Host name in the requests of callers.
    pub host: CompactString,
    /// Path prefix.
    pub prefix: CompactString,
    /// Retry semantics.
    pub kind: Kind,
    /// Maximum time that a request may take; its caller may set a shorter deadline.
    pub timeout: Duration,
    /// Time within which an answer counts as on time.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Pools that serve the route, with their weights.
    pub split: Vec<WeightedPool>,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Stages that run before the request itself, as listed in the configuration.
    pub stages: ByStage<Stage>,
    /// Whether requests are accepted without an access key.
    pub is_public: bool,
    /// Whether an interrupted stream may be resumed at another target.
    pub is_resumable: bool,
    /// Maximum time between events for a streamed answer to count as on time, if limited.
    pub gap: Option<Duration>,
}

/// Limits and nominal call durations of the targets of a stage pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchLimits {
    /// Maximum number of pieces in one call.
    pub max_pieces: usize,
    /// Fixed part of the duration of a call.
    pub call_overhead: Duration,
    /// Approximate additional duration for each piece.
    pub piece_time: Duration,
    /// Memory for results on one target, in bytes.
    pub result_memory: u64,
    /// Time after its call for which a result is stored.
    pub result_ttl: Duration,
}

/// A group of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolId,
    /// Maximum number of connections to one target from the whole fleet.
    pub max_connections: u32,
    /// Batch limits; present only if the pool serves stages.
    pub batch_limits: Option<BatchLimits>,
    /// Memory of one target for prompts and cached parts of them, in tokens, if stated.
    pub memory_tokens: Option<u32>,
    /// Limits of targets that are cold; absent if they take any number of requests.
    pub cold_limits: Option<ColdLimits>,
}

/// Limits of targets that are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Time for which a target is cold after the evacuation of its domain.
    pub duration: Duration,
    /// Requests a second that it takes from all daemons together.
    pub rate: Rate,
}

/// Size and time limits for the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time for a caller to send a request head.
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
    /// Priority that overrides the route's, if present; 0 is the highest.
    pub priority: Option<u8>,
}

/// Active configuration of the relay.
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

/// Reason why a request is not admitted.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No route matches the host and path.
    NoRoute,
    /// The access key is missing or belongs to no workspace.
    UnknownKey,
}

impl Plan {
    /// Creates a plan and indexes its routes by host and its workspaces by access key.
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

    /// Returns the longest timeout of all routes.
    pub fn longest_timeout(&self) -> Duration {
        let timeouts = self.routes.iter().map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the route for `host` with the longest prefix of `path`, and the workspace of `key`.
    ///
    /// The workspace is absent if the route is public or no workspaces are configured.
    ///
    /// # Errors
    ///
    /// Returns an error if no route matches, or if the route requires a key and `key` is unknown.
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

    /// Returns all pools in no particular order.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter().map(Arc::as_ref)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

impl Route {
    /// Returns the pool of a new request with this identifier, or none if the route has no pools.
    ///
    /// The choice depends only on the identifier, so that retries go to the same pool. A stream that a
    /// caller takes up goes on where it [began](super::origin::Origin).
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

    /// Returns whether requests of the route may be sent to a pool.
    pub fn uses(&self, pool: &str) -> bool {
        let mut shares = self.split.iter();
        shares.any(|share| share.pool == pool && share.weight > 0.0)
    }

    /// Returns whether a request may be sent to another target although an earlier one may have
    /// run it.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.is_resumable,
        }
    }

    /// Returns how long a caller waits for the first event before it gives up; absent if the route
    /// does not stream or has no limit on gaps.
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

/// Resolution of the traffic split; sufficient for weights in thousandths.
const SPLIT_STEPS: u64 = 10_000;
/// Multiple of the objective after which a caller gives up on a stream, as specified on the users'
/// page on ingress.
const TIMEOUT_OBJECTIVES: u32 = 4;
/// Multiple of the maximum gap after which a caller gives up on a stream, as specified on the
/// users' page on ingress.
const TIMEOUT_GAPS: u32 = 8;
/// Minimum time after which a caller gives up on a stream, as specified on the users' page on
/// ingress.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
