//! Processes of `gwi-entry` around one platform.

use crate::platform;
use compact_str::format_compact;
use policy::{
    pool::{Kind, Pool},
    router::Rule,
};
use std::{
    fmt,
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// Longest time until all entries are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two looks at whether the entries are ready.
const READY_POLL: Duration = Duration::from_millis(50);

/// Why entries could not be started.
#[derive(Debug)]
pub enum Error {
    /// A file or process could not be made.
    Io(PathBuf, io::Error),
    /// An entry ended by itself.
    Ended(String),
    /// The entries were not ready in time.
    Slow,
    /// A fake could not be started.
    Fake(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Ended(host) => write!(f, "entry \"{host}\" ended by itself"),
            Self::Slow => write!(f, "the entries were not ready within {READY_TIMEOUT:?}"),
            Self::Fake(error) => write!(f, "a fake did not start: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Processes of `gwi-entry`, which end when this is dropped.
#[derive(Debug)]
pub struct Entries {
    processes: Mutex<Vec<Process>>,
    addresses: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Process {
    host: String,
    domain: String,
    child: Child,
}

/// What all entries are started with.
#[derive(Clone, Debug)]
pub(super) struct Launch<'a> {
    pub(super) binary: &'a Path,
    pub(super) folder: &'a Path,
    pub(super) region: &'a str,
    pub(super) domains: &'a [compact_str::CompactString],
    pub(super) pools: &'a [Pool],
    pub(super) rule: Rule,
    pub(super) settings: &'a str,
}

impl Entries {
    /// Starts `count` entries over the domains and waits until all are ready.
    pub(super) async fn start(
        launch: &Launch<'_>,
        count: usize,
        platform: &platform::Server,
    ) -> Result<Self, Error> {
        let mut entries = Self {
            processes: Mutex::default(),
            addresses: Vec::new(),
        };
        for number in 0..count {
            let process = launch.spawn(number, platform.address())?;
            entries.processes().push(process);
        }
        entries.wait(count, platform).await?;
        Ok(entries)
    }

    /// Returns the addresses for callers.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Kills the entry with this number, counted from 0.
    pub fn kill(&self, number: usize) {
        if let Some(process) = self.processes().get_mut(number) {
            process.kill();
        }
    }

    /// Kills the entries of a failure domain.
    pub fn kill_domain(&self, domain: &str) {
        let mut processes = self.processes();
        for process in processes
            .iter_mut()
            .filter(|process| process.domain == domain)
        {
            process.kill();
        }
    }

    async fn wait(&mut self, count: usize, platform: &platform::Server) -> Result<(), Error> {
        let limit = Instant::now() + READY_TIMEOUT;
        while Instant::now() < limit {
            self.check()?;
            let rows = platform.rows("daemons");
            let addresses: Vec<SocketAddr> = rows
                .iter()
                .filter_map(|row| row.value["api"].as_str()?.parse().ok())
                .collect();
            if addresses.len() >= count && all_ready(&addresses).await {
                self.addresses = addresses;
                return Ok(());
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Err(Error::Slow)
    }

    fn check(&self) -> Result<(), Error> {
        for process in self.processes().iter_mut() {
            if matches!(process.child.try_wait(), Ok(Some(_))) {
                return Err(Error::Ended(process.host.clone()));
            }
        }
        Ok(())
    }

    fn processes(&self) -> MutexGuard<'_, Vec<Process>> {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        for process in self.processes().iter_mut() {
            process.kill();
        }
    }
}

impl Process {
    fn kill(&mut self) {
        // A process that has ended already can't be killed.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Launch<'_> {
    fn spawn(&self, number: usize, platform: SocketAddr) -> Result<Process, Error> {
        let host = format!("entry-{}", number + 1);
        let domain = self.domains.get(number % self.domains.len());
        let domain = domain.map(ToString::to_string).unwrap_or_default();
        let path = self.folder.join(format!("{host}.ini"));
        let text = self.ini(&host, &domain, platform);
        fs::write(&path, text).map_err(|error| Error::Io(path.clone(), error))?;
        let log = self.folder.join(format!("{host}.log"));
        let file = File::create(&log).map_err(|error| Error::Io(log.clone(), error))?;
        let errors = file.try_clone().map_err(|error| Error::Io(log, error))?;
        let child = Command::new(self.binary)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .map_err(|error| Error::Io(self.binary.to_owned(), error))?;
        Ok(Process {
            host,
            domain,
            child,
        })
    }

    fn ini(&self, host: &str, domain: &str, platform: SocketAddr) -> String {
        let region = self.region;
        let mut text = format!(
            "[daemon]\nhost = {host}\ndomain = {domain}\nregion = {region}\n\
             listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n\
             operator_token = load-operator-token\nfleet_key = load-fleet-key-of-the-load-tool\n\
             [platform]\naddress = {platform}\n[entry]\n"
        );
        text.push_str(&format_compact!("rule = {}\n", self.rule));
        text.push_str(self.settings);
        for pool in self.pools {
            text.push_str(&section(pool));
        }
        text
    }
}

fn section(pool: &Pool) -> String {
    let yes = |flag| if flag { "yes" } else { "no" };
    let mut text = format!(
        "[pool {}]\nkind = {}\nidempotent = {}\nlookup = {}\nfenced = {}\ncheckpoint = {}\n\
         timeout = {}ms\nsilence = {}ms\n",
        pool.name,
        pool.kind,
        yes(pool.idempotent),
        yes(pool.lookup),
        yes(pool.fenced),
        yes(pool.checkpoint),
        pool.timeout.as_millis(),
        pool.idle_timeout.as_millis(),
    );
    if pool.kind == Kind::Engine {
        let engine = format!("model = {}\nmax_tokens = {}\n", pool.model, pool.max_tokens);
        text.push_str(&engine);
    }
    text
}

async fn all_ready(addresses: &[SocketAddr]) -> bool {
    for address in addresses {
        if crate::fetch::get(*address, "/ready").await.is_err() {
            return false;
        }
    }
    true
}
