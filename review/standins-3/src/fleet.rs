//! Daemons of the project, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io::Read,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const FRONT: u16 = 8625;
const READY: u16 = 8621;
const DIRECTORY: u16 = 8620;
const CONTROL: u16 = 8628;
const INTERNAL: u16 = 7740;
const METRICS: u16 = 9464;

/// Processes that were started and have not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Daemons of one case; ended when this is dropped.
pub struct Fleet {
    dir: PathBuf,
    root: PathBuf,
    store: SocketAddr,
    idle_ips: Vec<Ipv4Addr>,
    daemons: Vec<Daemon>,
}

struct Daemon {
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Fleet {
    /// Starts `count` daemons in zones `z-a`, `z-b` and so on, and waits until all are ready.
    pub fn start(store: SocketAddr, count: usize) -> Self {
        let unique = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_nanos() as u64;
        let dir = std::env::temp_dir().join(format!("review-3-{}-{unique}", std::process::id()));
        fs::create_dir_all(&dir).expect("the temporary folder is writable");
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let mut fleet = Self {
            dir,
            root,
            store,
            idle_ips: free_ips(count, unique),
            daemons: Vec::new(),
        };
        let seeds: Vec<String> = fleet
            .idle_ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{CONTROL}\""))
            .collect();
        for index in 0..count {
            let ip = fleet.idle_ips[index];
            let settings = fleet.dir.join(format!("node-{index}.toml"));
            let text = settings_text(index, ip, fleet.store, &seeds.join(","));
            fs::write(&settings, text).expect("the temporary folder is writable");
            let log = fleet.dir.join(format!("node-{index}.log"));
            fleet.daemons.push(Daemon {
                ip,
                settings,
                log,
                process: None,
            });
            fleet.spawn(index);
        }
        for index in 0..count {
            fleet.wait_until_ready(index);
        }
        fleet
    }

    /// Starts a daemon that has ended.
    pub fn spawn(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let log = File::options().create(true).append(true).open(&daemon.log);
        let log = log.expect("the temporary folder is writable");
        let errors = log.try_clone().expect("a descriptor is free");
        // The deploy file: run = "target/release/gwi-relay", in the root of the repository.
        let process = Command::new(self.root.join("target/release/gwi-relay"))
            .current_dir(&self.root)
            .env_clear()
            .env("GODWITHINGE_NODE_FILE", &daemon.settings)
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match process {
            Ok(process) => {
                PROCESSES.lock().unwrap().push(process.id());
                daemon.process = Some(process);
            }
            Err(fault) => unable(&format!("gwi-relay can't be started: {fault}")),
        }
    }

    /// Waits until a daemon answers its readiness probe with 200.
    pub fn wait_until_ready(&mut self, index: usize) {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready(index) {
            if Instant::now() > end {
                self.end();
                unable("a daemon did not become ready within 15 s");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::from((self.daemons[index].ip, READY));
        get(address, "/readyz").is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.daemons[index].ip, FRONT))
    }

    /// Returns the addresses that the directory of a daemon names for a zone.
    pub fn resolve(&self, index: usize, zone: &str) -> Vec<SocketAddr> {
        let address = SocketAddr::from((self.daemons[index].ip, DIRECTORY));
        let path = format!("/resolve?name=fit.example&region=r&zone={zone}");
        let answer = get(address, &path).unwrap_or_default();
        let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
        let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses
            .iter()
            .filter_map(|text| text.as_str()?.parse().ok())
            .collect()
    }

    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.daemons[index].process.as_ref().map(Child::id)
    }

    pub fn settings_file(&self, index: usize) -> &Path {
        &self.daemons[index].settings
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut process) = self.daemons[index].process.take() {
            drop(process.kill());
            drop(process.wait());
            forget(process.id());
        }
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(id) = self.process_id(index) {
            drop(
                Command::new("kill")
                    .arg(format!("-{name}"))
                    .arg(id.to_string())
                    .status(),
            );
        }
    }

    /// Returns whether a daemon's process has ended by itself, and its exit status.
    pub fn has_exited(&mut self, index: usize) -> Option<String> {
        let process = self.daemons[index].process.as_mut()?;
        let status = process.try_wait().ok()??;
        forget(process.id());
        self.daemons[index].process = None;
        Some(status.to_string())
    }

    /// Returns the lines of a daemon's log that contain `text`.
    pub fn log_lines(&self, index: usize, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.daemons[index].log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }

    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    pub fn is_empty(&self) -> bool {
        self.daemons.is_empty()
    }

    /// Ends all daemons and removes their files.
    pub fn end(&mut self) {
        for index in 0..self.daemons.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(fs::remove_dir_all(&self.dir));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

fn forget(process: u32) {
    PROCESSES.lock().unwrap().retain(|known| *known != process);
}

/// Kills all processes that were started and have not ended.
pub fn kill_all() {
    for process in PROCESSES.lock().unwrap().drain(..) {
        drop(
            Command::new("kill")
                .arg("-KILL")
                .arg(process.to_string())
                .status(),
        );
    }
}

/// Ends a case that can't run.
pub fn unable(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

/// Returns loopback addresses on which the ports of a daemon are free.
fn free_ips(count: usize, seed: u64) -> Vec<Ipv4Addr> {
    let mut found = Vec::new();
    let mut state = seed;
    for _ in 0..1_000 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let [a, b, c, ..] = (state >> 32).to_be_bytes()[4..] else {
            continue;
        };
        let ip = Ipv4Addr::new(127, 64 + a % 128, b, 1 + c % 250);
        let ports = [
            FRONT,
            READY,
            DIRECTORY,
            CONTROL,
            INTERNAL,
            INTERNAL + 1,
            METRICS,
        ];
        let is_free = ports
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok());
        if is_free && !found.contains(&ip) {
            found.push(ip);
        }
        if found.len() == count {
            return found;
        }
    }
    unable("no free loopback addresses");
}

fn get(address: SocketAddr, path: &str) -> Option<String> {
    use std::io::Write;
    let second = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, second).ok()?;
    stream.set_read_timeout(Some(second)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Settings of a machine as the platform writes them, with the bounds of the small deployments.
fn settings_text(index: usize, ip: Ipv4Addr, store: SocketAddr, seeds: &str) -> String {
    let zone = ["z-a", "z-b", "z-c"][index % 3];
    format!(
        "node-name = \"edge-{zone}-{index}\"\nrole = \"relay\"\nmachine-class = \"edge\"\n\
         serves = [\"edge\",\"registry\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
         internal-ports = [{INTERNAL},{}]\nseeds = [{seeds}]\nbootstrap = true\n\
         loss-counts = false\ndiscovery = \"platform\"\nentry = \"registry\"\nheartbeat-ms = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\
         \"tenants\",\"platform\",\"stages\"]\n\
         [zones]\nz-a = \"r\"\nz-b = \"r\"\nz-c = \"r\"\n\
         [listen]\nfront = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\n\
         control = \"{ip}:{CONTROL}\"\ndirectory = \"{ip}:{DIRECTORY}\"\n\
         [limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\n\
         link-mbps = 1000.0\ndisk-mb = 0\n\
         [fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
         [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstability-window-ms = 3000\nack-ms = 4000\n\
         catch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-ms = 2000\n\
         rollback-slack-ms = 250\nmax-stretch-ms = 5000\nstrict-revoke = false\nrevoke-ms = 5000\n\
         retry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-extra = 54\nrecover-s = 12\n\
         pass-ms = 120\nagain-s = 9.4\nttl_max_s = 5\n\
         [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites-per-s = 400\n\
         reads-per-s = 2000\ntx-ms = 8.0\npartition-writes-s = 150\nrow-bytes = 65536\n\
         across = false\nhistory-s = 20\nblob-bytes = 8388608\nblob-ms = 25.0\nblob-mb-s = 80.0\n",
        INTERNAL + 15
    )
}
