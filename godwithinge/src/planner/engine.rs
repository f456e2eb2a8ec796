//! Engines as the platform's host list shows them.

use policy::{
    host::{Host, State},
    id::{RegionId, TargetId},
    placement::Engine,
    pool::{Kind, Pool},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// An engine and how it is reached.
#[derive(Clone, Debug)]
pub(super) struct Reached {
    pub(super) engine: Engine,
    pub(super) address: SocketAddr,
}

/// Returns the engines of a region that are to stay.
///
/// An engine that several pools use stands on the list once for each, with one address; it may
/// hold the models of all of them and goes by the first of its names.
pub(super) fn from_hosts(
    hosts: &[Host],
    region: &RegionId,
    pools: &[Pool],
) -> BTreeMap<TargetId, Reached> {
    let mut engines = BTreeMap::<SocketAddr, Engine>::new();
    let staying = hosts
        .iter()
        .filter(|host| host.state == State::Live && host.region == *region);
    for host in staying {
        let pool = pools.iter().find(|pool| pool.name == host.pool);
        let (Some(pool), Ok(address)) = (pool, host.address.parse()) else {
            continue;
        };
        if pool.kind == Kind::Engine {
            add(engines.entry(address).or_default(), host, pool);
        }
    }
    let reached = |(address, engine): (SocketAddr, Engine)| {
        let target = engine.target.clone();
        (target, Reached { engine, address })
    };
    engines.into_iter().map(reached).collect()
}

/// Adds one use of an engine; it counts as fenced only if every use says so.
fn add(engine: &mut Engine, host: &Host, pool: &Pool) {
    let first = engine.models.is_empty();
    if first || host.target < engine.target {
        engine.target.clone_from(&host.target);
    }
    engine.fenced = pool.fenced && (first || engine.fenced);
    if !engine.models.contains(&pool.model) {
        engine.models.push(pool.model.clone());
    }
}
