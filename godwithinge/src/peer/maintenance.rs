//! Periodic maintenance: gossip, selection of links and single exchanges.

use super::{hub::Hub, link};
use policy::{
    id::{HostId, Time},
    member::overlay,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{self, MissedTickBehavior};

/// Period of sending gossip items to linked peers.
const TICK_PERIOD: Duration = Duration::from_millis(200);

/// Number of ticks between two rounds of dialling and single exchanges.
const MAINTENANCE_TICKS: u64 = 5;

/// Runs the periodic maintenance until the links are closed.
pub(super) async fn run(hub: Arc<Hub>) {
    let mut ticks = time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for round in 0.. {
        ticks.tick().await;
        let now = hub.now();
        hub.state().tick(now);
        if round % MAINTENANCE_TICKS == 0 {
            hub.state().announce_revision();
            dial(&hub, now);
            exchange(&hub, now);
        }
    }
}

/// Dials the peers selected by the overlay that have no link, and drops dialled links to others.
fn dial(hub: &Arc<Hub>, now: Time) {
    let mut state = hub.state();
    let members = state.members.members(now);
    let chosen = overlay::neighbours(&hub.identity.host, &members);
    state
        .links
        .retain(|_, link| !link.dialled || chosen.contains(&link.host));
    for host in chosen {
        let linked = state.links.values().any(|link| link.host == host);
        let member = members.iter().find(|member| member.host == host);
        let address = member.and_then(|member| member.profile.peer.parse().ok());
        if let Some(address) = address.filter(|_| !linked)
            && state.dialling.insert(host.clone())
        {
            link::spawn(hub, link::dial(Arc::clone(hub), host, address));
        }
    }
}

/// Starts exchanges with a random daemon without a link, and with seeds that are not addresses of
/// known members.
fn exchange(hub: &Arc<Hub>, now: Time) {
    let linked = hub.linked();
    let state = hub.state();
    let members = state.members.members(now);
    let mut rng = rand::rng();
    let peer = overlay::random_unlinked(&hub.identity.host, &members, &linked, &mut rng);
    let address = |host: &HostId| -> Option<SocketAddr> {
        let member = members.iter().find(|member| member.host == *host)?;
        member.profile.peer.parse().ok()
    };
    let known_addresses: Vec<_> = members.iter().filter_map(|m| address(&m.host)).collect();
    let seeds = state.seeds.iter().copied();
    let unknown_seeds = seeds.filter(|seed| !known_addresses.contains(seed));
    let drawn = peer.as_ref().and_then(address);
    let seeds = overlay::random_seeds(unknown_seeds, !linked.is_empty(), &mut rng);
    for address in drawn.into_iter().chain(seeds) {
        link::spawn(hub, link::exchange(Arc::clone(hub), address));
    }
}
