//! Engines derived from the platform's host list.

use policy::{
    host::{Host, State},
    id::{RegionId, TargetId},
    placement::Engine,
    pool::{Kind, Pool},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Engine with the address of its API.
#[derive(Clone, Debug)]
pub(super) struct EngineEndpoint {
    pub(super) engine: Engine,
    pub(super) address: SocketAddr,
}

/// Returns the live engines of a region, keyed by target.
///
/// An engine used by several pools is listed once per pool under the same address. It may load the
/// models of all these pools, and is identified by the lowest of its target names.
pub(super) fn from_hosts(
    hosts: &[Host],
    region: &RegionId,
    pools: &[Pool],
) -> BTreeMap<TargetId, EngineEndpoint> {
    let mut engines = BTreeMap::<SocketAddr, Engine>::new();
    let live_hosts = hosts
        .iter()
        .filter(|host| host.state == State::Live && host.region == *region);
    for host in live_hosts {
        let pool = pools.iter().find(|pool| pool.name == host.pool);
        let (Some(pool), Ok(address)) = (pool, host.address.parse()) else {
            continue;
        };
        if pool.kind == Kind::Engine {
            add_use(engines.entry(address).or_default(), host, pool);
        }
    }
    let with_target = |(address, engine): (SocketAddr, Engine)| {
        let target = engine.target.clone();
        (target, EngineEndpoint { engine, address })
    };
    engines.into_iter().map(with_target).collect()
}

/// Adds a pool's use of an engine, which counts as fenced only if all its pools are fenced.
fn add_use(engine: &mut Engine, host: &Host, pool: &Pool) {
    let is_first = engine.models.is_empty();
    if is_first || host.target < engine.target {
        engine.target.clone_from(&host.target);
    }
    engine.fenced = pool.fenced && (is_first || engine.fenced);
    if !engine.models.contains(&pool.model) {
        engine.models.push(pool.model.clone());
    }
}
