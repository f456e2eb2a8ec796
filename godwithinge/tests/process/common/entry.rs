//! Entry daemons as child processes.

use super::{ClientRequest, POLL_INTERVAL, Reply, wait_for_value, wait_until, with_timeout};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::Value;
use standin::fetch;
use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};
use tokio::time;

/// An entry daemon as a child process, which is killed on drop.
pub struct Entry {
    process: Mutex<Child>,
    lines: Arc<Mutex<Vec<Value>>>,
}

impl Entry {
    /// Starts a daemon with a settings file and collects its log lines.
    pub fn start(settings: &Path) -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_gwi-entry"))
            .arg("--settings")
            .arg(settings)
            .env("GWI_LOG", "info,dropshot=warn")
            .stdout(Stdio::piped())
            .spawn()
            .expect("daemon starts");
        let output = process.stdout.take().expect("output is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("each log line is JSON");
                seen.lock().expect("lock is not poisoned").push(line);
            }
        });
        let process = Mutex::new(process);
        Self { process, lines }
    }

    /// Waits until the daemon has a table and a host list in force.
    pub async fn wait_ready(&self) {
        with_timeout("address", self.address()).await;
        let ready = ["table in force", "hosts in force"];
        wait_until("readiness", || {
            ready.iter().all(|line| self.log_count(line) > 0)
        })
        .await;
    }

    /// Returns the listening address for callers.
    pub async fn address(&self) -> SocketAddr {
        self.logged_address("address").await
    }

    /// Returns the listening address for peers.
    pub async fn peer_address(&self) -> SocketAddr {
        self.logged_address("peer_address").await
    }

    /// Returns an address from the daemon's start-up log line.
    async fn logged_address(&self, field: &str) -> SocketAddr {
        wait_for_value(field, || {
            let lines = self.lines.lock().expect("lock is not poisoned");
            let mut lines = lines.iter();
            let line = lines.find(|line| line["message"] == "entry started")?;
            line[field].as_str()?.parse().ok()
        })
        .await
    }

    /// Waits until the daemon is linked to at least `count` peers.
    pub async fn wait_linked(&self, count: usize) {
        let linked = async {
            while self.status().await["linked"].as_array().map_or(0, Vec::len) < count {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        with_timeout("links", linked).await;
    }

    /// Waits until no request is in flight and no claim is unsettled.
    pub async fn wait_idle(&self) {
        loop {
            let status = self.status().await;
            if status["in_flight"] == 0 && status["unsettled"] == 0 {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the parsed response of `/v1/status`.
    pub async fn status(&self) -> Value {
        let token = [("authorization", "Bearer operators")];
        let address = self.address().await;
        let status = fetch::send(address, Method::GET, "/v1/status", Bytes::new(), &token).await;
        let body = status.expect("entry answers").into_body().collect().await;
        let body = body.expect("body comes").to_bytes();
        serde_json::from_slice(&body).expect("status is JSON")
    }

    /// Returns the time since midnight UTC of the first log line with `message` and `request` that
    /// satisfies `wanted`.
    pub fn log_time(
        &self,
        message: &str,
        request: &str,
        wanted: fn(&Value) -> bool,
    ) -> Option<Duration> {
        let lines = self.lines.lock().expect("lock is not poisoned");
        let line = lines
            .iter()
            .find(|line| line["message"] == message && line["request"] == request && wanted(line));
        time_of_day(line?["timestamp"].as_str()?)
    }

    /// Returns the number of log lines with this message.
    pub fn log_count(&self, message: &str) -> usize {
        let lines = self.lines.lock().expect("lock is not poisoned");
        lines
            .iter()
            .filter(|line| line["message"] == message)
            .count()
    }

    /// Returns all log lines so far, concatenated.
    pub fn log_text(&self) -> String {
        let lines = self.lines.lock().expect("lock is not poisoned");
        lines.iter().map(ToString::to_string).collect()
    }

    /// Sends a request to the daemon without streaming.
    pub async fn send(&self, request: &ClientRequest) -> Reply {
        request.send(self.address().await).await
    }

    /// Sends a signal by its name without `SIG`, as in `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self
            .process
            .lock()
            .expect("lock is not poisoned")
            .id()
            .to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            status.expect("kill runs").success(),
            "signal {name} to {id}"
        );
    }

    /// Kills the daemon with `SIGKILL` and waits for it to exit.
    pub fn kill(&self) {
        let mut process = self.process.lock().expect("lock is not poisoned");
        process.kill().expect("child process can be killed");
        process.wait().expect("child process exits");
    }

    /// Returns the exit status, `None` while the daemon runs.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        self.process
            .lock()
            .expect("lock is not poisoned")
            .try_wait()
            .expect("child process can be waited for")
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let process = self.process.get_mut().expect("lock is not poisoned");
        drop(process.kill());
        drop(process.wait());
    }
}

/// Parses the time of day of a timestamp such as `2026-12-03T20:42:48.018281Z`.
fn time_of_day(timestamp: &str) -> Option<Duration> {
    let (_, time) = timestamp.trim_end_matches('Z').split_once('T')?;
    let mut parts = time.split(':').map(str::parse::<f64>);
    let mut next = || parts.next()?.ok();
    let (hours, minutes, seconds) = (next()?, next()?, next()?);
    Some(Duration::from_secs_f64(
        (hours * 60.0 + minutes) * 60.0 + seconds,
    ))
}
