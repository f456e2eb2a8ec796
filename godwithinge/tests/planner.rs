//! End-to-end tests of the planner process under pauses, partitions, outages and stale orders.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use policy::host::{Host, State};
use rstest::rstest;
use serde_json::{Value, json};
use standin::{engine, fetch, platform};
use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Maximum time to wait for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of lease renewals by the new holder during which the former one must send no order.
const OBSERVED_RENEWALS: u64 = 5;

/// Planner process, killed on drop.
struct Planner {
    process: Child,
    lines: Arc<Mutex<Vec<Value>>>,
}

impl Planner {
    fn start(settings: &Path) -> Self {
        let mut process = command(settings).spawn().expect("the planner starts");
        let output = process.stdout.take().expect("output is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("each log line is JSON");
                seen.lock().expect("the lock is not poisoned").push(line);
            }
        });
        Self { process, lines }
    }

    fn logged(&self, message: &str) -> Vec<Value> {
        let lines = self.lines.lock().expect("the lock is not poisoned");
        let found = lines.iter().filter(|line| line["message"] == message);
        found.cloned().collect()
    }

    fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.expect("kill runs").success(), "signal {name}");
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        drop(self.process.kill());
        drop(self.process.wait());
    }
}

fn command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gwi-planner"));
    command
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped());
    command
}

async fn wait_until(what: &str, state: impl Fn() -> bool) {
    let poll = async {
        while !state() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let done = tokio::time::timeout(STATE_TIMEOUT, poll).await;
    done.unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}

/// Platform and one engine without a model, which planners of the models `draft` and `fit` share.
///
/// As each planner places only its own model, the loaded model shows whose order was executed last.
struct Fixture {
    name: &'static str,
    fenced: bool,
    platform: platform::Server,
    engine: engine::Server,
}

impl Fixture {
    async fn new(name: &'static str, fenced: bool) -> Self {
        let platform = platform::start(platform::Settings::default()).await;
        let engine = engine::start(engine::Settings {
            fenced,
            models: Vec::new(),
            load_ms: 20,
            ..engine::Settings::default()
        });
        let fixture = Self {
            name,
            fenced,
            platform: platform.expect("a port is free"),
            engine: engine.await.expect("a port is free"),
        };
        let host = |model: &str| Host {
            host: "h1".into(),
            target: format!("e1-{model}").into(),
            pool: model.into(),
            address: fixture.engine.address().to_string().into(),
            domain: "a".into(),
            region: "r".into(),
            state: State::Live,
        };
        let hosts = vec![host("draft"), host("fit")];
        fixture.platform.set_hosts(hosts);
        fixture
    }

    /// Writes the settings file of a planner that places only `model`.
    fn settings(&self, model: &str, platform: SocketAddr) -> PathBuf {
        let fenced = if self.fenced { "yes" } else { "no" };
        let text = format!(
            "[daemon]\nhost = {model}\ndomain = a\nregion = r\nlisten = 127.0.0.1:0\n\
             peer_listen = 127.0.0.1:0\noperator_token = operators\nfleet_key = fleetkeys\n\
             [platform]\naddress = {platform}\ntimeout = 200ms\n\
             [planner]\nlease = 4s\norder_timeout = 500ms\ninterval = 20ms\nload_interval = 50ms\n\
             load_timeout = 2s\ndrain_timeout = 1s\nhold = 0s\nsmooth = 10ms\nreport_ttl = 200ms\n\
             [pool {model}]\nkind = engine\nmodel = {model}\nidempotent = yes\nmax_tokens = 8\n\
             fenced = {fenced}\n"
        );
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = folder.join(format!("planner-{}-{fenced}-{model}.ini", self.name));
        fs::write(&path, text).expect("the folder is writable");
        path
    }

    fn planner(&self, model: &str) -> Planner {
        Planner::start(&self.settings(model, self.platform.address()))
    }

    fn holds(&self, model: &str) -> bool {
        self.engine.models() == [model]
    }

    async fn wait_until_held(&self, model: &str) {
        wait_until(&format!("engine with {model}"), || self.holds(model)).await;
    }

    fn lease(&self) -> Value {
        let row = self.platform.row("leases", "r");
        row.map_or(Value::Null, |row| row.value)
    }

    fn lease_version(&self) -> u64 {
        self.platform
            .row("leases", "r")
            .map_or(0, |row| row.version)
    }

    async fn wait_until_renewed(&self, count: u64) {
        let version = self.lease_version();
        wait_until("renewals", || self.lease_version() >= version + count).await;
    }

    /// Sends an order to the engine directly, as a former holder of the lease would.
    async fn send_order(&self, fence: u64, models: &[&str]) -> StatusCode {
        let body = json!({"fence": fence, "models": models, "adapters": [], "role": "serving"});
        let body = Bytes::from(body.to_string());
        let address = self.engine.address();
        let reply = fetch::send(address, Method::POST, "/orders", body, &[]).await;
        reply.expect("the engine answers").status()
    }

    /// Asserts that the engine receives no order and keeps model `fit` during some renewals.
    async fn assert_untouched(&self) {
        let before = self.engine.counters();
        self.wait_until_renewed(OBSERVED_RENEWALS).await;
        let after = self.engine.counters();
        assert_eq!(
            after.orders, before.orders,
            "the engine executed an order of the former holder"
        );
        assert_eq!(
            after.refused_orders, before.refused_orders,
            "the former holder sent an order"
        );
        assert!(
            self.holds("fit"),
            "the engine holds {:?}",
            self.engine.models()
        );
    }
}

#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[tokio::test(flavor = "multi_thread")]
async fn paused_holder_sends_no_orders_after_it_resumes(#[case] fenced: bool) {
    let fixture = Fixture::new("paused", fenced).await;
    let old = fixture.planner("draft");
    fixture.wait_until_held("draft").await;
    old.signal("STOP");
    let new = fixture.planner("fit");
    fixture.wait_until_held("fit").await;
    old.signal("CONT");
    wait_until("loss of the former holder's lease", || {
        !old.logged("lease lost").is_empty()
    })
    .await;
    fixture.assert_untouched().await;
    assert!(new.logged("lease lost").is_empty());
}

/// Forwards connections to an address; while `is_cut` is set, it closes them.
async fn proxy(to: SocketAddr, is_cut: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let is_cut = Arc::clone(&is_cut);
            tokio::spawn(async move {
                let Ok(mut far) = TcpStream::connect(to).await else {
                    return;
                };
                let ended = async {
                    while !is_cut.load(Ordering::SeqCst) {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                    () = ended => {}
                }
            });
        }
    });
    address
}

#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[tokio::test(flavor = "multi_thread")]
async fn holder_cut_off_from_the_platform_sends_no_orders(#[case] fenced: bool) {
    let fixture = Fixture::new("cut", fenced).await;
    let is_cut = Arc::new(AtomicBool::new(false));
    let proxy = proxy(fixture.platform.address(), Arc::clone(&is_cut)).await;
    let old = Planner::start(&fixture.settings("draft", proxy));
    fixture.wait_until_held("draft").await;
    is_cut.store(true, Ordering::SeqCst);
    let _new = fixture.planner("fit");
    fixture.wait_until_held("fit").await;
    fixture.assert_untouched().await;
    is_cut.store(false, Ordering::SeqCst);

    fixture.assert_untouched().await;
    // On a busy machine the lease may also have been lost and regained before the cut. The former
    // holder does not regain it after the cut, so each gain is matched by a loss.
    let lost = old.logged("lease lost").len();
    assert!(lost >= 1);
    assert_eq!(lost, old.logged("lease gained").len());
}

#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[tokio::test(flavor = "multi_thread")]
async fn order_of_a_former_holder_is_refused_or_reverted(#[case] fenced: bool) {
    let fixture = Fixture::new("stale", fenced).await;
    let old = fixture.planner("draft");
    fixture.wait_until_held("draft").await;
    old.signal("KILL");
    let new = fixture.planner("fit");
    fixture.wait_until_held("fit").await;
    let refused = fixture.send_order(1, &["draft"]).await == StatusCode::CONFLICT;
    assert_eq!(refused, fenced);
    fixture.wait_until_held("fit").await;
    wait_until("the end of all orders", || {
        let ended = new.logged("order ended").len();
        ended == new.logged("order").len()
    })
    .await;
    fixture.assert_untouched().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_orders_are_sent_without_a_lease_during_an_outage() {
    let fixture = Fixture::new("out", false).await;
    fixture.platform.control(|settings| settings.outage = true);
    let planner = fixture.planner("draft");
    let wait_for_failed_reads = |count| {
        let planner = &planner;
        async move {
            let message = "lease row can't be asked for";
            let count = planner.logged(message).len() + count;
            wait_until("failed reads of the lease row", || {
                planner.logged(message).len() >= count
            })
            .await;
        }
    };
    wait_for_failed_reads(4).await;
    assert_eq!(fixture.engine.counters().orders, 0);

    fixture.platform.control(|settings| settings.outage = false);
    fixture.wait_until_held("draft").await;
    fixture.platform.control(|settings| settings.outage = true);
    wait_until("expiry of the lease", || {
        !planner.logged("lease lost").is_empty()
    })
    .await;
    assert_eq!(fixture.send_order(9, &[]).await, StatusCode::OK);
    wait_for_failed_reads(4).await;
    assert!(
        fixture.engine.models().is_empty(),
        "an order was sent without a lease"
    );

    fixture.platform.control(|settings| settings.outage = false);
    fixture.wait_until_held("draft").await;
}

/// Serves the metrics of an entry at which `waiting` stages are queued for pool `draft`.
async fn serve_metrics(waiting: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            // The request is small enough to arrive in a single read.
            let _ = stream.read(&mut request).await;
            let count = waiting.load(Ordering::SeqCst);
            let body = format!("gwi_queue{{pool=\"draft\"}} {count}\ngwi_queue{{pool=\"x\"}} 9\n");
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = stream.write_all((head + &body).as_bytes()).await;
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn model_is_loaded_when_requests_queue_for_it_at_an_entry() {
    let fixture = Fixture::new("waiting", true).await;
    let waiting = Arc::new(AtomicUsize::new(0));
    let api = serve_metrics(Arc::clone(&waiting)).await.to_string();
    let row = json!({"host": "e1", "api": api, "region": "r"});
    let write = platform::Write {
        table: "daemons".into(),
        key: "e1".into(),
        value: row,
    };
    fixture
        .platform
        .commit(&[], vec![write])
        .expect("the transaction has no checks");
    let path = fixture.settings("draft", fixture.platform.address());
    let settings = fs::read_to_string(&path).expect("the file was written above")
        + "[model draft]\nleast = 0\n";
    fs::write(&path, settings).expect("the folder is writable");
    let _planner = Planner::start(&path);
    fixture.wait_until_renewed(4).await;
    assert_eq!(fixture.engine.counters().orders, 0);
    waiting.store(5, Ordering::SeqCst);
    fixture.wait_until_held("draft").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_reply_to_the_lease_write_is_resolved_by_reading_the_row() {
    let fixture = Fixture::new("lost", true).await;
    fixture
        .platform
        .control(|settings| settings.lose_replies = 1);
    let planner = fixture.planner("draft");
    fixture.wait_until_held("draft").await;
    assert_eq!(planner.logged("lease gained")[0]["fence"], 1);
    wait_until("the end of an order", || {
        !planner.logged("order ended").is_empty()
    })
    .await;
    let address = planner.logged("planner started")[0]["address"].clone();
    let address = address
        .as_str()
        .expect("the address is a string")
        .parse()
        .expect("the address is valid");
    let metrics = fetch::get(address, "/metrics")
        .await
        .expect("the planner serves metrics");
    let metrics = String::from_utf8(metrics.to_vec()).expect("the text is UTF-8");
    for line in [
        "gwi_planner_lease_held 1",
        "gwi_planner_fence 1",
        "gwi_planner_engines 1",
        "gwi_planner_orders_total{reason=\"load\"} 1",
        "gwi_planner_answers_total{answer=\"accepted\"} 1",
    ] {
        assert!(
            metrics.lines().any(|found| found == line),
            "{line} in {metrics}"
        );
    }
    assert_eq!(fixture.platform.settings().lose_replies, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn planner_releases_its_lease_on_shutdown() {
    let fixture = Fixture::new("back", true).await;
    let mut planner = fixture.planner("draft");
    fixture.wait_until_held("draft").await;
    wait_until("the end of an order", || {
        !planner.logged("order ended").is_empty()
    })
    .await;
    planner.signal("TERM");
    let status = planner
        .process
        .wait()
        .expect("the planner is a child process");
    assert!(status.success());
    // If a renewal is in flight when the signal arrives, the lease is left to expire instead.
    let duration = fixture.lease()["duration"].as_f64();
    assert!(duration == Some(0.0) || planner.logged("lease lost").len() == 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn dry_run_prints_orders_and_sends_none() {
    let fixture = Fixture::new("dry", true).await;
    let settings = fixture.settings("draft", fixture.platform.address());
    let output = command(&settings)
        .arg("--dry-run")
        .output()
        .expect("the planner runs");
    assert!(output.status.success());
    let lines = String::from_utf8(output.stdout).expect("the text is UTF-8");
    let orders: Vec<Value> = lines
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is JSON"))
        .collect();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0]["models"], json!(["draft"]));
    assert_eq!(orders[0]["reason"], "load");
    assert_eq!(fixture.engine.counters().orders, 0);
}
