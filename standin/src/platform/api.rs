//! HTTP interface of the platform's fake.

use super::{
    settings::{Counters, Settings},
    table::{Check, Range, Row, Store, Version, Write},
};
use crate::{
    http::{ConnectionClosed, Handler, Reply, query::parameter as query, reply},
    rate::Bucket,
};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode, Uri};
use policy::host::Host;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Size of the weights of each model, in bytes.
const WEIGHTS_SIZE: usize = 1024;

/// Host lists that are kept for a lagging answer.
const LISTS: usize = 1024;

#[derive(Debug)]
pub(super) struct Platform {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    counters: Counters,
    store: Store,
    objects: BTreeMap<String, Bytes>,
    lists: VecDeque<(Instant, Arc<Vec<Host>>)>,
    /// Lists that are kept no more.
    forgotten: u64,
    reads: Bucket,
    writes: Bucket,
    weights: Bucket,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    checks: Vec<Check>,
    writes: Vec<Write>,
}

#[derive(Serialize)]
struct Rows {
    rows: Vec<Row>,
    version: Version,
}

#[derive(Serialize)]
struct List {
    version: u64,
    hosts: Arc<Vec<Host>>,
}

/// Guard of the store alone, for use within the process.
pub(super) struct Opened<'a>(MutexGuard<'a, State>);

impl std::ops::Deref for Opened<'_> {
    type Target = Store;

    fn deref(&self) -> &Store {
        &self.0.store
    }
}

impl std::ops::DerefMut for Opened<'_> {
    fn deref_mut(&mut self) -> &mut Store {
        &mut self.0.store
    }
}

impl Platform {
    pub(super) fn new(settings: Settings) -> Self {
        let state = State {
            settings,
            counters: Counters::default(),
            store: Store::default(),
            objects: BTreeMap::new(),
            lists: VecDeque::new(),
            forgotten: 0,
            reads: Bucket::new(),
            writes: Bucket::new(),
            weights: Bucket::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    pub(super) fn settings(&self) -> Settings {
        self.state().settings.clone()
    }

    pub(super) fn change(&self, change: impl FnOnce(&mut Settings)) -> Settings {
        let mut state = self.state();
        change(&mut state.settings);
        state.settings.clone()
    }

    pub(super) fn counters(&self) -> Counters {
        self.state().counters
    }

    pub(super) fn store(&self) -> Opened<'_> {
        Opened(self.state())
    }

    pub(super) fn hosts(&self) -> Vec<Host> {
        let state = self.state();
        let newest = state.lists.back();
        newest.map(|(_, hosts)| hosts.to_vec()).unwrap_or_default()
    }

    pub(super) fn set_hosts(&self, hosts: Vec<Host>) {
        let mut state = self.state();
        if state.lists.len() == LISTS {
            state.lists.pop_front();
            state.forgotten += 1;
        }
        state.lists.push_back((Instant::now(), Arc::new(hosts)));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, ConnectionClosed> {
        let delay = self.state().settings.delay_ms;
        sleep(delay).await;
        let (reply, delay) = {
            let mut state = self.state();
            (state.answer(&request), state.settings.delay_reply_ms)
        };
        sleep(delay).await;
        reply
    }
}

async fn sleep(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

impl State {
    fn answer(&mut self, request: &Request<Bytes>) -> Result<Reply, ConnectionClosed> {
        let path = request.uri().path();
        let parts: Vec<_> = path.trim_start_matches('/').splitn(4, '/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["v1", "tables", table, "row"]) => {
                Ok(self.get_row(table, request.uri()))
            }
            (&Method::GET, ["v1", "tables", table, "rows"]) => {
                Ok(self.get_rows(table, request.uri()))
            }
            (&Method::POST, ["v1", "transactions"]) => self.transact(request.body()),
            (&Method::GET, ["v1", "hosts"]) => Ok(self.get_hosts(request.uri())),
            (&Method::GET, ["v1", "weights", ..]) => Ok(self.get_weights()),
            (method, ["v1", "objects", ..]) => {
                let key = path.trim_start_matches("/v1/objects/");
                self.object(method, key, request.body())
            }
            _ => Ok(reply::not_found()),
        }
    }

    /// Counts a read, or returns a refusal of it.
    fn refuse_read(&mut self) -> Option<Reply> {
        let rate = self.settings.reads_per_second;
        if let Err(wait) = self.reads.take(1.0, rate) {
            self.counters.limited += 1;
            return Some(reply::too_many_requests(wait));
        }
        self.counters.reads += 1;
        None
    }

    /// Returns a refusal of a write of some rows, if they go over the rate.
    fn refuse_write(&mut self, rows: usize) -> Option<Reply> {
        let rate = self.settings.writes_per_second;
        let wait = self.writes.take(rows as f64, rate).err()?;
        self.counters.limited += 1;
        Some(reply::too_many_requests(wait))
    }

    /// Counts a write that took effect and decides whether its reply is lost.
    fn wrote(&mut self, rows: usize) -> Result<(), ConnectionClosed> {
        self.counters.writes += rows as u64;
        if self.settings.lose_replies == 0 {
            return Ok(());
        }
        self.settings.lose_replies -= 1;
        self.counters.lost += 1;
        Err(ConnectionClosed)
    }

    fn stale(&self) -> Option<Version> {
        (self.settings.stale > 0).then_some(self.settings.stale)
    }

    fn get_row(&mut self, table: &str, uri: &Uri) -> Reply {
        if let Some(busy) = self.refuse_read() {
            return busy;
        }
        let key = query(uri, "key").unwrap_or_default();
        match self.store.row(table, &key, self.stale()) {
            Some(row) => reply::ok(&row),
            None => reply::not_found(),
        }
    }

    fn get_rows(&mut self, table: &str, uri: &Uri) -> Reply {
        if let Some(busy) = self.refuse_read() {
            return busy;
        }
        let mut range = Range::new(table);
        range.prefix = query(uri, "prefix").unwrap_or_default().into();
        range.after = query(uri, "after").map(Into::into);
        range.since = query(uri, "since").and_then(|since| since.parse().ok());
        if let Some(limit) = query(uri, "limit").and_then(|limit| limit.parse().ok()) {
            range.limit = limit;
        }
        let (rows, version) = self.store.rows(&range, self.stale());
        reply::ok(&Rows { rows, version })
    }

    fn transact(&mut self, body: &[u8]) -> Result<Reply, ConnectionClosed> {
        let transaction: Transaction = match serde_json::from_slice(body) {
            Ok(transaction) => transaction,
            Err(error) => return Ok(malformed(&error)),
        };
        let rows = transaction.writes.len();
        if let Some(busy) = self.refuse_write(rows) {
            return Ok(busy);
        }
        match self.store.commit(&transaction.checks, transaction.writes) {
            Ok(version) => {
                self.counters.commits += 1;
                self.wrote(rows)?;
                Ok(reply::ok(&json!({"version": version})))
            }
            Err(conflicts) => {
                self.counters.conflicts += 1;
                let body = json!({"conflicts": conflicts});
                Ok(reply::json(StatusCode::CONFLICT, &body))
            }
        }
    }

    fn get_hosts(&mut self, uri: &Uri) -> Reply {
        if let Some(busy) = self.refuse_read() {
            return busy;
        }
        let lag = Duration::from_millis(self.settings.hosts_delay_ms);
        let now = Instant::now();
        let old = self
            .lists
            .iter()
            .rposition(|(at, _)| now.duration_since(*at) >= lag);
        let at = old.unwrap_or(0);
        let version = match self.lists.len() {
            0 => 0,
            _ => self.forgotten + at as u64 + 1,
        };
        if query(uri, "after") == Some(version.to_string()) {
            return reply::bytes(StatusCode::NOT_MODIFIED, Vec::new());
        }
        let hosts = self.lists.get(at).map(|(_, hosts)| Arc::clone(hosts));
        reply::ok(&List {
            version,
            hosts: hosts.unwrap_or_default(),
        })
    }

    fn get_weights(&mut self) -> Reply {
        let rate = self.settings.weights_per_second;
        if let Err(wait) = self.weights.take(1.0, rate) {
            self.counters.limited += 1;
            return reply::too_many_requests(wait);
        }
        self.counters.weights += 1;
        reply::bytes(StatusCode::OK, vec![0; WEIGHTS_SIZE])
    }

    fn object(
        &mut self,
        method: &Method,
        key: &str,
        body: &Bytes,
    ) -> Result<Reply, ConnectionClosed> {
        if *method == Method::GET {
            return Ok(self.get_object(key));
        }
        if let Some(busy) = self.refuse_write(1) {
            return Ok(busy);
        }
        match *method {
            Method::PUT => self.objects.insert(key.to_owned(), body.clone()),
            Method::DELETE => self.objects.remove(key),
            _ => return Ok(reply::not_found()),
        };
        self.wrote(1)?;
        Ok(reply::bytes(StatusCode::NO_CONTENT, Bytes::new()))
    }

    fn get_object(&mut self, key: &str) -> Reply {
        if let Some(busy) = self.refuse_read() {
            return busy;
        }
        match self.objects.get(key) {
            Some(bytes) => reply::bytes(StatusCode::OK, bytes.clone()),
            None => reply::not_found(),
        }
    }
}

fn malformed(error: &serde_json::Error) -> Reply {
    reply::error(StatusCode::BAD_REQUEST, "malformed", &error.to_string())
}
