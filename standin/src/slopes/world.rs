//! A platform, stub targets and real daemons for one measurement.

use super::{
    Error,
    stub::{Relay, Targets},
    usage,
};
use crate::{fetch, platform};
use godwithinge::http::{Pool as Connections, Request, Reuse};
use http_body_util::Full;
use hyper::Method;
use policy::{
    host::{Host, State},
    table::{Pipeline, Table, Workspace},
};
use serde_json::json;
use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};
use tokio::time::{self, Instant};

/// Longest time until a daemon is ready, or a request is answered.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time between two looks at a state.
const POLL: Duration = Duration::from_millis(20);

/// Failure domains that daemons and targets are spread over.
const DOMAINS: usize = 6;

/// Model of the engines.
pub const MODEL: &str = "m";

/// Settings of the daemons besides names and addresses.
const POOLS: &str = "[pool engines]\nkind = engine\nmodel = m\nidempotent = yes\nmax_tokens = 4096\n\
    timeout = 60s\nsilence = 5s\n\
    [pool lookups]\nkind = service\nidempotent = yes\ntimeout = 60s\nsilence = 60s\n\
    [pool orders]\nkind = service\nidempotent = no\ntimeout = 60s\nsilence = 60s\n";

/// Programs and a folder for settings and logs.
#[derive(Clone, Debug)]
pub struct Place {
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// A daemon as a process of its own; killed when it is dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Address for callers; of no use for a planner.
    pub address: SocketAddr,
}

/// A platform, behind a relay that counts bytes, and what stands on its lists.
#[derive(Debug)]
pub struct World {
    /// The platform.
    pub platform: platform::Server,
    /// Relay before the platform.
    pub relay: Relay,
    /// Client of daemons.
    pub connections: Connections,
    place: Place,
    peers: Vec<SocketAddr>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // A process that has ended already can't be killed.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Daemon {
    /// Returns the processor time so far, in seconds.
    pub fn processor_time(&self) -> f64 {
        usage::processor_time(self.child.id())
    }

    /// Returns the memory, in bytes.
    pub fn memory(&self) -> f64 {
        usage::memory(self.child.id())
    }
}

/// Returns the table with a number of workspaces and the pipelines of all measurements.
pub fn table(workspaces: usize) -> Table {
    let names = (0..workspaces).map(|at| format!("workspace-{at:05}").into());
    Table {
        revision: 1,
        workspaces: names.map(|name| (name, Workspace::default())).collect(),
        pipelines: [
            ("lookup".into(), Pipeline::new(["lookups"])),
            ("order".into(), Pipeline::new(["orders"])),
            ("draft".into(), Pipeline::new(["engines"])),
        ]
        .into(),
        ..Table::default()
    }
}

/// Returns the host list entry of a target.
pub fn host(pool: &str, at: usize, address: SocketAddr) -> Host {
    Host {
        host: format!("host-{pool}-{at:04}").into(),
        target: format!("{pool}-{at:04}").into(),
        pool: pool.into(),
        address: address.to_string().into(),
        domain: format!("domain-{}", at % DOMAINS).into(),
        region: "region-a".into(),
        state: State::Live,
    }
}

impl World {
    /// Starts a platform with some workspaces and the given hosts.
    pub async fn start(place: &Place, workspaces: usize, hosts: Vec<Host>) -> Result<Self, Error> {
        let platform = platform::start(platform::Settings::default()).await?;
        platform.set_table(&table(workspaces));
        platform.set_hosts(hosts);
        let relay = Relay::start(platform.address()).await?;
        Ok(Self {
            platform,
            relay,
            connections: Connections::new(PATIENCE),
            place: place.clone(),
            peers: Vec::new(),
        })
    }

    /// Returns hosts of stub engines.
    pub fn engines(targets: &Targets) -> Vec<Host> {
        let addresses = targets.addresses.iter().enumerate();
        addresses
            .map(|(at, address)| host("engines", at, *address))
            .collect()
    }

    /// Starts an entry and waits until it is ready.
    pub async fn entry(&mut self, number: usize, settings: &str) -> Result<Daemon, Error> {
        let child = self.spawn("gwi-entry", number, settings)?;
        let key = format!("entry-{number}");
        let limit = Instant::now() + PATIENCE;
        while Instant::now() < limit {
            time::sleep(POLL).await;
            let Some(row) = self.platform.row("daemons", &key) else {
                continue;
            };
            let Some(address) = address(&row.value["api"]) else {
                continue;
            };
            if fetch::get(address, "/ready").await.is_ok() {
                self.peers.extend(self::address(&row.value["peer"]));
                return Ok(Daemon { child, address });
            }
        }
        drop(Daemon {
            child,
            address: self.relay.address,
        });
        Err(Error::Slow(key))
    }

    /// Starts a planner and waits until it holds the lease.
    pub async fn planner(&self, settings: &str) -> Result<Daemon, Error> {
        let daemon = Daemon {
            child: self.spawn("gwi-planner", 0, settings)?,
            address: self.relay.address,
        };
        let limit = Instant::now() + PATIENCE;
        while self.platform.rows("leases").is_empty() {
            if Instant::now() > limit {
                return Err(Error::Slow("planner".into()));
            }
            time::sleep(POLL).await;
        }
        Ok(daemon)
    }

    /// Sends a request to an entry and returns whether it was answered.
    pub async fn send(&self, entry: SocketAddr, pipeline: &str, id: &str, prompt: &str) -> bool {
        let body = json!({
            "workspace": "workspace-00000", "request": id, "deadline_ms": 30_000, "retry": false,
            "stream": true, "payload": {"prompt": prompt},
        });
        let mut request = Request::new(Full::new(body.to_string().into()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = format!("/v1/pipelines/{pipeline}/requests")
            .parse()
            .unwrap_or_default();
        let header = hyper::header::HeaderValue::from_static("application/json");
        request
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, header);
        let address = entry.to_string();
        let reply = self.connections.send(&address, request, Reuse::Newest);
        let Ok(Ok(response)) = time::timeout(PATIENCE, reply).await else {
            return false;
        };
        let body = response.bytes(MAX_BODY).await.unwrap_or_default();
        String::from_utf8_lossy(&body).contains("\"outcome\":\"answered\"")
    }

    fn spawn(&self, program: &str, number: usize, settings: &str) -> Result<Child, Error> {
        let place = &self.place;
        let path = place.folder.join(format!("{program}-{number}.ini"));
        fs::write(&path, self.ini(number, settings))?;
        let log = File::create(place.folder.join(format!("{program}-{number}.log")))?;
        let child = Command::new(place.programs.join(program))
            .arg("--settings")
            .arg(&path)
            .env("GWI_LOG", "warn")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(child)
    }

    fn ini(&self, number: usize, settings: &str) -> String {
        let platform = self.relay.address;
        let domain = number % DOMAINS;
        let seeds: Vec<_> = self.peers.iter().take(2).map(ToString::to_string).collect();
        let seeds = seeds.join(", ");
        format!(
            "[daemon]\nhost = entry-{number}\ndomain = domain-{domain}\nregion = region-a\n\
             listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n\
             operator_token = slopes-operator-token\nfleet_key = slopes-fleet-key-of-the-tool\n\
             [platform]\naddress = {platform}\ntimeout = 5s\n[peers]\nseeds = {seeds}\n\
             {settings}\n{POOLS}"
        )
    }
}

/// Longest answer of a daemon that is read, in bytes.
const MAX_BODY: usize = 16 << 20;

fn address(value: &serde_json::Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Creates the folder of a place.
pub fn create(folder: &Path) -> Result<(), Error> {
    Ok(fs::create_dir_all(folder)?)
}
