//! Settings of the relay daemon.

use compact_str::CompactString;
use policy::id::{DomainId, HostId};
use std::{net::SocketAddr, time::Duration};

/// Settings of the relay daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// CPU limit of the daemon in cores; may be a fraction.
    pub cpu_cores: f64,
    /// Memory limit of the daemon.
    pub memory_bytes: u64,
    /// Number of descriptors that the daemon may have open; absent if it is not limited.
    pub max_descriptors: Option<u64>,
    /// Rate of the host's network link in each direction.
    pub link_bytes_per_second: u64,
    /// Listen address for callers.
    pub front_address: SocketAddr,
    /// Listen address for readiness probes.
    pub readiness_address: SocketAddr,
    /// Listen address for requests for the addresses of daemons; absent if this daemon does not
    /// answer them.
    pub directory_address: Option<SocketAddr>,
    /// Listen address for links from other daemons.
    pub link_address: SocketAddr,
    /// Listen address for tunnels of other daemons to targets; absent if none are offered.
    pub tunnel_address: Option<SocketAddr>,
    /// Listen address for metrics; absent if they are not exposed.
    pub metrics_address: Option<SocketAddr>,
    /// Link addresses of daemons on some other hosts, used to join the fleet; they may be
    /// wrong.
    pub seeds: Vec<SocketAddr>,
    /// Host and port of the platform's store.
    pub store_address: CompactString,
    /// Time from SIGTERM until the process is killed.
    pub grace_period: Duration,
    /// Time within which a new configuration, a target that leaves, or an evacuation has to be known
    /// everywhere.
    pub change_bound: Duration,
    /// Maximum time for which callers may cache the addresses of daemons.
    pub address_ttl: Duration,
    /// Maximum ratio of extra attempts, that is retries and hedges, to first attempts in a pool.
    pub retry_ratio: f64,
    /// Extra attempts that the whole fleet may make in a window beyond that ratio.
    pub retry_burst: u32,
}
