//! Settings of a daemon that forwards requests.

use compact_str::CompactString;
use policy::id::{DomainId, HostId};
use std::{net::SocketAddr, time::Duration};

/// Settings of a daemon that forwards requests.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Share of a core that the daemon has.
    pub cpu_cores: f64,
    /// Memory that the daemon may use, in bytes.
    pub memory_bytes: u64,
    /// Address for callers.
    pub front_address: SocketAddr,
    /// Address for questions of readiness.
    pub readiness_address: SocketAddr,
    /// Address for questions of addresses, if the daemon answers them.
    pub directory_address: Option<SocketAddr>,
    /// Address for other daemons.
    pub link_address: SocketAddr,
    /// Address of metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Addresses for daemons of some other hosts; they may be wrong.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: CompactString,
    /// Time from SIGTERM until the process is killed.
    pub grace_period: Duration,
    /// Longest time for which callers keep an answer with addresses.
    pub address_ttl: Duration,
    /// Share of extra attempts among the requests for a pool.
    pub retry_ratio: f64,
    /// Extra attempts that the whole fleet may make in a window beyond that share.
    pub retry_burst: u32,
}
