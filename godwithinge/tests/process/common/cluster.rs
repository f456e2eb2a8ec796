//! Test cluster: the fakes of a small deployment and its entry daemons.

use super::{Entry, WAIT_TIMEOUT, wait_until};
use policy::{
    claim::{self, Row},
    id::Key,
    pool::{Kind, Pool},
    table::{Pipeline, Table, Workspace},
};
use standin::{
    engine,
    fleet::{self, Deployment, Fleet, Group, Node},
    service,
};
use std::{
    fmt::Write as _,
    fs,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Pipeline of one idempotent stage.
pub const IDEMPOTENT: &str = "size";
/// Pipeline that ends with a non-idempotent stage whose targets don't support lookup.
pub const NON_IDEMPOTENT: &str = "order";
/// Pipeline that ends with a non-idempotent stage whose targets support lookup.
pub const NON_IDEMPOTENT_LOOKUP: &str = "filing";
/// Pipeline that ends with an engine stage.
pub const ENGINE: &str = "summary";
/// Pipeline of an engine stage whose results are checkpointed, and a non-idempotent stage.
pub const ENGINE_CHECKPOINTED: &str = "dossier";
/// Like [`ENGINE_CHECKPOINTED`], but without checkpoints.
pub const ENGINE_UNCHECKPOINTED: &str = "unkept";

/// Maximum number of clusters that run at once, so that tests don't starve each other.
const MAX_CLUSTERS: usize = 3;
static CLUSTER_PERMITS: std::sync::LazyLock<Arc<Semaphore>> =
    std::sync::LazyLock::new(|| Arc::new(Semaphore::new(MAX_CLUSTERS)));
static NEXT_ID: AtomicU32 = AtomicU32::new(0);

/// Fakes of one deployment; starts entry daemons in front of them.
pub struct TestCluster {
    pub fleet: Fleet,
    folder: PathBuf,
    _permit: OwnedSemaphorePermit,
}

impl TestCluster {
    /// Starts a cluster with `count` targets in each pool.
    pub async fn start(count: usize) -> Self {
        Self::start_with_settings(count, fleet::Settings::default()).await
    }

    /// Starts a cluster once no other one runs, for tests that check timing.
    pub async fn start_exclusive(count: usize) -> Self {
        Self::start_with_permits(count, fleet::Settings::default(), MAX_CLUSTERS).await
    }

    /// Starts a cluster whose fakes have the given settings.
    pub async fn start_with_settings(count: usize, settings: fleet::Settings) -> Self {
        Self::start_with_permits(count, settings, 1).await
    }

    async fn start_with_permits(count: usize, settings: fleet::Settings, permits: usize) -> Self {
        let permit = Arc::clone(&CLUSTER_PERMITS)
            .acquire_many_owned(permits as u32)
            .await
            .expect("never closed");
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("gwi-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary directory is created");
        let fleet = Fleet::start(deployment(count), settings)
            .await
            .expect("fakes start");
        Self {
            fleet,
            folder,
            _permit: permit,
        }
    }

    /// Starts an entry daemon and waits until it is ready.
    pub async fn start_ready_entry(&self, host: &str) -> Entry {
        let entry = self.start_entry(host);
        entry.wait_ready().await;
        entry
    }

    /// Starts an entry daemon without waiting for readiness.
    pub fn start_entry(&self, host: &str) -> Entry {
        self.start_entry_with(host, "entry", "")
    }

    /// Starts an entry daemon with the default polling intervals and waits until it is ready.
    pub async fn start_entry_with_default_polling(&self, host: &str) -> Entry {
        let settings = self.settings(host);
        let lines = settings.lines().filter(|line| !line.contains("_poll"));
        let settings: Vec<_> = lines.collect();
        let entry = self.start_entry_as(host, &(settings.join("\n") + "\n"));
        entry.wait_ready().await;
        entry
    }

    /// Starts an entry daemon with additional lines in a section of its settings.
    pub fn start_entry_with(&self, host: &str, section: &str, lines: &str) -> Entry {
        let header = format!("[{section}]\n");
        let mut text = self.settings(host);
        if !text.contains(&header) {
            text.push_str(&header);
        }
        let text = text.replace(&header, &format!("{header}{lines}\n"));
        self.start_entry_as(host, &text)
    }

    fn start_entry_as(&self, host: &str, settings: &str) -> Entry {
        let file = self.folder.join(format!("{host}.ini"));
        fs::write(&file, settings).expect("settings file is written");
        Entry::start(&file)
    }

    /// Returns the path of a file in the cluster's temporary directory.
    pub fn file_path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    pub fn services(&self, pool: &str) -> Vec<Arc<service::Server>> {
        self.fleet.pool(pool).map(Node::server).collect()
    }

    /// Changes the settings of all services of a pool at run time.
    pub fn configure_services(&self, pool: &str, change: impl Fn(&mut service::Settings)) {
        for service in self.services(pool) {
            service.control(&change);
        }
    }

    pub fn engines(&self) -> Vec<Arc<engine::Server>> {
        self.fleet.engines().iter().map(Node::server).collect()
    }

    /// Returns how many times a request took effect in a pool.
    pub fn effect_count(&self, pool: &str, request: &str) -> u32 {
        let effects = self
            .services(pool)
            .into_iter()
            .flat_map(|it| it.effects().into_values());
        effects
            .filter(|effect| effect.request == request)
            .map(|effect| effect.count)
            .sum()
    }

    /// Returns the number of calls that the services of a pool accepted.
    pub fn call_count(&self, pool: &str) -> u64 {
        self.services(pool)
            .iter()
            .map(|it| it.counters().calls)
            .sum()
    }

    /// Returns whether no service has a call in progress; engines are not counted.
    pub fn is_idle(&self) -> bool {
        let services = self.fleet.services().iter();
        let mut counters = services.map(|it| it.server().counters());
        counters.all(|it| it.calls == it.effects + it.failed)
    }

    /// Returns the claim row of the second stage of a request, `None` if there is none.
    pub fn claim_row(&self, pipeline: &str, request: &str) -> Option<Row> {
        let key = claim::row_key(&Key::new("tailors", pipeline, request), 1);
        let row = self.fleet.platform().row("claims", &key)?;
        serde_json::from_value(row.value).ok()
    }

    /// Waits until the claim row of the second stage satisfies `wanted`.
    pub async fn wait_for_claim(&self, pipeline: &str, request: &str, wanted: fn(&Row) -> bool) {
        wait_until("claim row", || {
            self.claim_row(pipeline, request)
                .is_some_and(|row| wanted(&row))
        })
        .await;
    }

    fn settings(&self, host: &str) -> String {
        let mut text = format!(
            "[daemon]\nhost = {host}\ndomain = a\nregion = r\nlisten = 127.0.0.1:0\n\
             peer_listen = 127.0.0.1:0\noperator_token = operators\nfleet_key = fleetkeys\n\
             [platform]\naddress = {}\ntimeout = 250ms\n[entry]\ndirectory_ttl = 500ms\n\
             hosts_poll = 100ms\nload_poll = 200ms\ntable_poll = 200ms\n",
            self.fleet.platform().address()
        );
        for pool in self.fleet.pools() {
            write_pool(&mut text, &pool);
        }
        text
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.folder));
    }
}

fn write_pool(text: &mut String, pool: &Pool) {
    let flag = |flag| if flag { "yes" } else { "no" };
    let _ = write!(
        text,
        "[pool {}]\nkind = {}\nidempotent = {}\nlookup = {}\ncheckpoint = {}\ntimeout = {}ms\n\
         silence = {}ms\n",
        pool.name,
        pool.kind,
        flag(pool.idempotent),
        flag(pool.lookup),
        flag(pool.checkpoint),
        pool.timeout.as_millis(),
        pool.idle_timeout.as_millis()
    );
    if pool.kind == Kind::Engine {
        let _ = write!(
            text,
            "model = {}\nmax_tokens = {}\n",
            pool.model, pool.max_tokens
        );
    }
}

fn deployment(count: usize) -> Deployment {
    let limits = (Duration::from_secs(4), Duration::from_millis(800));
    let plain = |name: &str| Pool::new(name).with_limits(limits.0, limits.1);
    let engine = Pool::new("engines")
        .with_engine("base", 64)
        .with_limits(WAIT_TIMEOUT, limits.1);
    let pools = [
        plain("encoders"),
        plain("clerks")
            .with_limits(limits.0, limits.0)
            .with_effects(false),
        plain("desks")
            .with_limits(limits.0, limits.0)
            .with_effects(true),
        engine.clone(),
        Pool {
            name: "drafters".into(),
            ..engine.with_checkpoint()
        },
    ];
    let pipelines = [
        (IDEMPOTENT, vec!["encoders"]),
        (NON_IDEMPOTENT, vec!["encoders", "clerks"]),
        (NON_IDEMPOTENT_LOOKUP, vec!["encoders", "desks"]),
        (ENGINE, vec!["encoders", "engines"]),
        (ENGINE_CHECKPOINTED, vec!["drafters", "clerks"]),
        (ENGINE_UNCHECKPOINTED, vec!["engines", "clerks"]),
    ];
    let pipelines = pipelines.map(|(name, stages)| (name.into(), Pipeline::new(stages)));
    let workspaces = ["tailors", "fitters"].map(|name| (name.into(), Workspace::default()));
    Deployment {
        region: "r".into(),
        domains: vec!["a".into(), "b".into()],
        groups: pools.map(|pool| Group { pool, count }).into(),
        table: Table {
            revision: 1,
            workspaces: workspaces.into(),
            pipelines: pipelines.into(),
            ..Table::default()
        },
    }
}
