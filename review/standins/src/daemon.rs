//! The daemons under test, as separate processes on loopback addresses of their own.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Program of the only role in the deploy file.
const PROGRAM: &str = "target/release/gwi-relay";
/// Variable that names the settings file.
const SETTINGS_VARIABLE: &str = "GODWITHINGE_NODE_FILE";

const FRONT_PORT: u16 = 8625;
const READY_PORT: u16 = 8621;
const CONTROL_PORT: u16 = 8628;
const DIRECTORY_PORT: u16 = 8620;
const INTERNAL_PORTS: [u16; 2] = [7740, 7755];
const METRICS_PORT: u16 = 9464;

/// A temporary folder for settings and logs, and the loopback addresses of the daemons.
#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    addresses: Vec<IpAddr>,
    pub daemons: Vec<Daemon>,
}

#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Fleet {
    /// Chooses free addresses for `count` daemons.
    pub fn new(count: usize) -> io::Result<Self> {
        let mut random = crate::Random::new(crate::seed());
        for _ in 0..50 {
            let [high, low] = [20 + random.next() % 200, 1 + random.next() % 250];
            let addresses: Vec<IpAddr> = (0..count)
                .map(|index| Ipv4Addr::new(127, high as u8, low as u8, 10 + index as u8).into())
                .collect();
            let ports = [
                FRONT_PORT,
                READY_PORT,
                CONTROL_PORT,
                DIRECTORY_PORT,
                METRICS_PORT,
                INTERNAL_PORTS[0],
                INTERNAL_PORTS[0] + 1,
            ];
            let is_free = |ip: &IpAddr| {
                ports
                    .iter()
                    .all(|port| TcpListener::bind((*ip, *port)).is_ok())
            };
            if addresses.iter().all(is_free) {
                let folder = std::env::temp_dir()
                    .join(format!("review-{}-{high}-{low}", std::process::id()));
                fs::create_dir_all(&folder)?;
                return Ok(Self {
                    folder,
                    addresses,
                    daemons: Vec::new(),
                });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Starts the next daemon. All daemons are named as seeds, three at most.
    pub fn start(&mut self, name: &str, zone: &str, store: SocketAddr) -> io::Result<()> {
        let ip = self.addresses[self.daemons.len()];
        let seeds = self.addresses.iter().take(3);
        let seeds: Vec<String> = seeds.map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        let [first, last] = INTERNAL_PORTS;
        let text = format!(
            "node-name = \"{name}\"\nrole = \"relay\"\nmachine-class = \"edge\"\n\
             serves = [\"edge\",\"registry\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
             internal-ports = [{first},{last}]\nseeds = [{seeds}]\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"registry\"\nheartbeat-ms = 1200\n\
             [listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             control = \"{ip}:{CONTROL_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\n\
             link-mbps = 1000.0\ndisk-mb = 0\n\
             [bounds]\nstability-window-ms = 3000\ndrain-ms = 2000\ngrace-s = 8\n\
             loss-slack-ms = 200\nconfig-ms = 2000\nretry-budget-ratio = 0.2\n\
             budget-window-s = 10\nbudget-extra = 54\nttl_max_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\n",
            seeds = seeds.join(","),
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let mut daemon = Daemon {
            name: name.to_owned(),
            front: SocketAddr::new(ip, FRONT_PORT),
            ready: SocketAddr::new(ip, READY_PORT),
            settings,
            log: self.folder.join(format!("{name}.log")),
            process: None,
        };
        daemon.start()?;
        self.daemons.push(daemon);
        Ok(())
    }

    /// Waits until all daemons are ready for clients.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if self.daemons.iter().all(Daemon::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Copies the daemons' logs to a folder, for whoever traces a failure.
    pub fn keep_logs(&self, folder: &Path) {
        let _ = fs::create_dir_all(folder);
        for daemon in &self.daemons {
            let _ = fs::copy(&daemon.log, folder.join(format!("{}.log", daemon.name)));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        if let Ok(folder) = std::env::var("REVIEW_LOGS") {
            self.keep_logs(Path::new(&folder));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Daemon {
    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, signal: &str) {
        if let Some(process) = &self.process {
            let id = process.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &id])
                .status();
        }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_none_or(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Returns whether the daemon answers its readiness probe with 200.
    pub fn is_ready(&self) -> bool {
        let call = crate::http::Call {
            method: "GET",
            path: "/readyz".into(),
            headers: vec![("Host".into(), "ready".into())],
            body: Vec::new(),
        };
        let answer = call.send(self.ready, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns whether a line of the log contains all of `words`.
    pub fn has_logged(&self, words: &[&str]) -> bool {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines()
            .any(|line| words.iter().all(|word| line.contains(word)))
    }

    /// Returns the address at which clients ask where to connect.
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.front.ip(), DIRECTORY_PORT)
    }
}
