//! Processes of the system, started with the command of the deploy file.

use serde_json::Value;
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};
use tokio::{io::BufReader, net::TcpStream, time};

pub struct Relay {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Figures of the settings that differ between cases.
pub struct Limits {
    pub memory_mb: u64,
    pub grace_s: u64,
}

impl Relay {
    /// Prepares the settings of the process on machine `ip`; `seeds` are the machines that it knows.
    pub fn new(ip: &str, seeds: &[String], store: SocketAddr, limits: &Limits) -> Self {
        let dir = PathBuf::from(std::env::var("CASE_DIR").expect("CASE_DIR"));
        let name = format!("edge-{}", ip.replace('.', "-"));
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:8628\""))
            .collect();
        let Limits { memory_mb, grace_s } = limits;
        let text = format!(
            r#"node-name = "{name}"
role = "relay"
machine-class = "edge"
serves = ["edge", "registry"]
ip = "{ip}"
zone = "amman-a"
region = "amman"
internal-ports = [7740, 7755]
seeds = [{}]
bootstrap = true
loss-counts = false
discovery = "platform"
entry = "registry"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"]
[zones]
amman-a = "amman"
[listen]
front = "{ip}:8625"
ready = "{ip}:8621"
control = "{ip}:8628"
directory = "{ip}:8620"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {memory_mb}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = {grace_s}
loss-slack-ms = 200
config-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
strict-revoke = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra = 54
recover-s = 12
pass-ms = 120
again-s = 9.4
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 8.0
partition-writes-s = 150
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
"#,
            seeds.join(", ")
        );
        let settings = dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings are written");
        Self {
            front: format!("{ip}:8625").parse().expect("address"),
            ready: format!("{ip}:8621").parse().expect("address"),
            log: dir.join(format!("{name}.log")),
            name,
            settings,
            process: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let command = std::env::var("RELAY_COMMAND").expect("RELAY_COMMAND");
        let mut words = command.split_whitespace();
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let process = Command::new(words.next().expect("a program"))
            .args(words)
            .env("GODWITHINGE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("log is opened"))
            .spawn();
        let process = process.expect("process starts");
        // By this file, it is ended also if this program is.
        let _written = fs::write(self.log.with_extension("pid"), process.id().to_string());
        self.process = Some(process);
    }

    /// Waits until it is ready; `false` if it is not within `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready().await {
                return true;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    pub async fn is_ready(&self) -> bool {
        let ask = async {
            let stream = TcpStream::connect(self.ready).await.ok()?;
            let (reader, mut writer) = stream.into_split();
            let text = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
            tokio::io::AsyncWriteExt::write_all(&mut writer, text.as_bytes())
                .await
                .ok()?;
            let head = crate::http::read_head(&mut BufReader::new(reader))
                .await
                .ok()?;
            Some(head.status == 200)
        };
        let answer = time::timeout(Duration::from_millis(500), ask).await;
        answer.ok().flatten().unwrap_or(false)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _killed = process.kill();
            let _ended = process.wait();
            let _removed = fs::remove_file(self.log.with_extension("pid"));
        }
    }

    /// Returns the resident memory of the process in units of 1,000,000 bytes.
    pub fn memory_mb(&self) -> f64 {
        let id = self.process.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        number.unwrap_or(0.0) * 1024.0 / 1e6
    }

    /// Returns the log lines whose message contains `text`.
    pub fn log_lines(&self, text: &str) -> Vec<Value> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}
