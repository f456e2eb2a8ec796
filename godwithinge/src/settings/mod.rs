//! Settings of the daemons, parsed from an INI file.
//!
//! All daemons of a host read the same file. Every error in it is reported, not only the first.

mod error;
mod planner;
mod pool;
mod reader;
mod secret;
mod value;

pub use self::{
    error::{Error, ErrorKind, Errors},
    planner::Planner,
    secret::Secret,
};

use self::reader::{Reader, Section};
use policy::{
    id::{DomainId, HostId, RegionId},
    pool::Pool,
    router::Rule,
};
use std::{fs, net::SocketAddr, path::Path, time::Duration};

/// Exit status of a daemon whose settings are missing or invalid.
pub const EXIT_STATUS: u8 = 2;

/// Validated settings of the daemons of one host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Section `[daemon]`.
    pub daemon: Daemon,
    /// Section `[platform]`.
    pub platform: Platform,
    /// Section `[peers]`.
    pub peers: Peers,
    /// Section `[entry]`.
    pub entry: Entry,
    /// Sections `[planner]` and `[model NAME]`.
    pub planner: Planner,
    /// Sections `[pool NAME]`, sorted by section name; never empty.
    pub pools: Vec<Pool>,
}

/// Identity, addresses and credentials of a host.
#[derive(Clone, Debug)]
pub struct Daemon {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the host.
    pub region: RegionId,
    /// Listen address of the HTTP API for callers and operators.
    pub listen: SocketAddr,
    /// Listen address for connections from peers.
    pub peer_listen: SocketAddr,
    /// Bearer token that authenticates operators.
    pub operator_token: Secret,
    /// Key shared by all daemons of the fleet.
    pub fleet_key: Secret,
}

/// Connection to the platform service.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the table service, object store and host list.
    pub address: SocketAddr,
    /// Maximum duration of one request to the platform.
    pub timeout: Duration,
}

/// Discovery of other daemons.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Peer addresses of some daemons of the fleet; may be empty.
    pub seeds: Vec<SocketAddr>,
}

/// Limits and intervals of the entry daemon.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Maximum number of stages queued for one pool.
    pub max_queue_len: usize,
    /// Load-balancing rule that selects a target.
    pub rule: Rule,
    /// Time for which a final outcome is kept for callers that ask again (key `remember`).
    pub outcome_retention: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// Time for which callers may cache a directory response.
    pub directory_ttl: Duration,
    /// Polling interval of the host list.
    pub hosts_poll: Duration,
    /// Polling interval of the table of weights and limits.
    pub table_poll: Duration,
    /// Polling interval of each target's load report.
    pub load_poll: Duration,
    /// Time for which claims of non-idempotent calls are kept, as stated to callers.
    pub claim_retention: Duration,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file, or one error if the file cannot be read.
    pub fn from_file(path: &Path) -> Result<Self, Errors> {
        let name = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::from_str(&name, &text),
            Err(cause) => Err(Errors::new(
                name,
                vec![Error::new("", "", ErrorKind::Unreadable(cause))],
            )),
        }
    }

    /// Parses settings from `text`; error messages give `file` as its name.
    ///
    /// # Errors
    ///
    /// Returns all errors in the text.
    pub fn from_str(file: &str, text: &str) -> Result<Self, Errors> {
        let mut reader = match Reader::new(text) {
            Ok(reader) => reader,
            Err(error) => return Err(Errors::new(file, vec![error])),
        };
        let daemon = read_daemon(&mut reader);
        let platform = read_platform(&mut reader);
        let peers = read_peers(&mut reader);
        let planner = planner::read(&mut reader);
        let pools = pool::read_all(&mut reader);
        let entry = read_entry(&mut reader, max_non_idempotent_timeout(&pools));
        let errors = reader.into_errors();
        match (daemon, platform, peers, entry, planner) {
            (Some(daemon), Some(platform), Some(peers), Some(entry), Some(planner))
                if errors.is_empty() =>
            {
                Ok(Self {
                    daemon,
                    platform,
                    peers,
                    entry,
                    planner,
                    pools,
                })
            }
            _ => Err(Errors::new(file, errors)),
        }
    }
}

/// Minimum value of a duration.
const MIN_DURATION: Duration = Duration::from_millis(10);
/// Maximum value of a timeout or an interval.
const MAX_DURATION: Duration = Duration::from_secs(3600);
/// Maximum value of a retention time.
const MAX_RETENTION: Duration = Duration::from_secs(400 * 24 * 3600);
const MAX_BODY_BYTES: usize = 64 << 20;
/// Maximum number of queued stages that can be configured for one pool.
const MAX_QUEUE_LEN: usize = 1_000_000;

fn read_daemon(reader: &mut Reader) -> Option<Daemon> {
    let mut section = reader.section("daemon");
    let host = section.name("host");
    let domain = section.name("domain");
    let region = section.name("region");
    let listen = section.address("listen");
    let peer_listen = section.address("peer_listen");
    let operator_token = section.secret("operator_token");
    let fleet_key = section.secret("fleet_key");
    Some(Daemon {
        host: host?,
        domain: domain?,
        region: region?,
        listen: listen?,
        peer_listen: peer_listen?,
        operator_token: operator_token?,
        fleet_key: fleet_key?,
    })
}

fn read_platform(reader: &mut Reader) -> Option<Platform> {
    let mut section = reader.section("platform");
    let address = section.address("address");
    let timeout = duration(&mut section, "timeout");
    Some(Platform {
        address: address?,
        timeout: timeout?,
    })
}

fn read_peers(reader: &mut Reader) -> Option<Peers> {
    let seeds = reader.section("peers").addresses("seeds");
    Some(Peers { seeds: seeds? })
}

fn read_entry(reader: &mut Reader, max_non_idempotent_timeout: Duration) -> Option<Entry> {
    let mut section = reader.section("entry");
    let max_queue_len = section.integer("queue", 1..=MAX_QUEUE_LEN);
    let rule = section.parse("rule", RULES, |text| text.parse().ok());
    let outcome_retention = section.duration("remember", MIN_DURATION..=MAX_RETENTION);
    let body_limit = section.integer("body_limit", 1..=MAX_BODY_BYTES);
    let directory_ttl = duration(&mut section, "directory_ttl");
    let hosts_poll = duration(&mut section, "hosts_poll");
    let table_poll = duration(&mut section, "table_poll");
    let load_poll = duration(&mut section, "load_poll");
    let claim_retention = section.duration(
        "claim_retention",
        max_non_idempotent_timeout..=MAX_RETENTION,
    );
    Some(Entry {
        max_queue_len: max_queue_len?,
        rule: rule?,
        outcome_retention: outcome_retention?,
        body_limit: body_limit?,
        directory_ttl: directory_ttl?,
        hosts_poll: hosts_poll?,
        table_poll: table_poll?,
        load_poll: load_poll?,
        claim_retention: claim_retention?,
    })
}

/// Returns the longest timeout of a non-idempotent pool; claims must be kept at least as long as
/// the calls that they protect.
fn max_non_idempotent_timeout(pools: &[Pool]) -> Duration {
    let claimed = pools.iter().filter(|pool| !pool.idempotent);
    claimed
        .map(|pool| pool.timeout)
        .fold(MIN_DURATION, Duration::max)
}

fn duration(section: &mut Section<'_>, key: &'static str) -> Option<Duration> {
    section.duration(key, MIN_DURATION..=MAX_DURATION)
}

/// Accepted values of key `rule`, for error messages.
const RULES: &str = "scored, round_robin or least_in_flight";

/// Default values as (section, key, value). Sections `pool NAME` and `model NAME` are matched by
/// their first word.
const DEFAULT_VALUES: [(&str, &str, &str); 32] = [
    ("platform", "timeout", "500ms"),
    ("peers", "seeds", ""),
    ("entry", "queue", "1024"),
    ("entry", "rule", "scored"),
    ("entry", "remember", "60s"),
    ("entry", "body_limit", "1048576"),
    ("entry", "directory_ttl", "5s"),
    ("entry", "hosts_poll", "1s"),
    ("entry", "table_poll", "2s"),
    ("entry", "load_poll", "1s"),
    ("entry", "claim_retention", "30d"),
    ("planner", "listen", "127.0.0.1:0"),
    ("planner", "lease", "5s"),
    ("planner", "order_timeout", "1s"),
    ("planner", "interval", "1s"),
    ("planner", "models_per_engine", "1"),
    ("planner", "changes", "2"),
    ("planner", "load_interval", "10s"),
    ("planner", "load_timeout", "5m"),
    ("planner", "drain_timeout", "30s"),
    ("planner", "hold", "60s"),
    ("planner", "smooth", "10s"),
    ("planner", "report_ttl", "5s"),
    ("planner", "raise_at", "80"),
    ("planner", "lower_at", "50"),
    ("model", "least", "1"),
    ("model", "adapters", ""),
    ("pool", "lookup", "no"),
    ("pool", "fenced", "no"),
    ("pool", "checkpoint", "no"),
    ("pool", "timeout", "4s"),
    ("pool", "silence", "1s"),
];

fn default_value(section: &str, key: &str) -> Option<&'static str> {
    let section = section.split_whitespace().next()?;
    let mut defaults = DEFAULT_VALUES.into_iter();
    let (_, _, value) = defaults.find(|found| (found.0, found.1) == (section, key))?;
    Some(value)
}
