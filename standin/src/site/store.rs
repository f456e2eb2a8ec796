//! Fake of the platform's store: a versioned key-value store with tables for the operator's
//! settings, the engines and the daemons.

use crate::http::{
    ConnectionClosed, Handler, Listener, RawConnection, Reply, ServerHandle, query, reply,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header::HeaderValue};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{sync::watch, time};

/// Table that holds the operator's settings.
pub const OPERATOR_TABLE: &str = "op";
/// Table in which the engines announce themselves.
pub const ENGINE_TABLE: &str = "servers";

/// Fake of the platform's store.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
    listener: Listener,
}

/// Header of each response with the number of times that the store came back from an older copy.
const ERA_HEADER: &str = "store-era";

#[derive(Debug)]
struct State {
    rows: Mutex<BTreeMap<(String, String), Row>>,
    /// All writes in order, from which the content at an earlier time can be restored.
    writes: Mutex<Vec<Write>>,
    version: watch::Sender<u64>,
    era: AtomicU64,
    /// Change feeds that start before this version are answered with 410.
    truncated_version: AtomicU64,
    is_unavailable: AtomicBool,
    /// Whether calls that write are answered with 503.
    is_read_only: AtomicBool,
    request_count: AtomicU64,
    fault: Mutex<Fault>,
    /// Last answer on each connection.
    last_answers: Mutex<HashMap<usize, String>>,
    started_at: Instant,
}

/// How the store answers wrongly.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Sends its last answer on a connection once more before the next one.
    RepeatAnswer,
    /// Sends 503 on a connection that was in use before, and then the answer.
    RepeatRefusal,
    /// Closes the connection after this number of bytes of the head of an answer.
    CutHead(usize),
    /// Sends its answers with this status, which may be none of HTTP, and closes the connection.
    Status(u16),
}

#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

/// A write to one row.
#[derive(Clone, Debug)]
struct Write {
    at: Instant,
    table: String,
    key: String,
    row: Row,
}

#[derive(Deserialize)]
struct Transaction {
    puts: Vec<PutRow>,
    remove: Vec<RowKey>,
}

#[derive(Deserialize)]
struct PutRow {
    table: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct RowKey {
    table: String,
    key: String,
}

impl Server {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(State {
            rows: Mutex::default(),
            writes: Mutex::default(),
            era: AtomicU64::new(1),
            version: watch::Sender::new(1),
            truncated_version: AtomicU64::new(0),
            is_unavailable: AtomicBool::new(false),
            is_read_only: AtomicBool::new(false),
            request_count: AtomicU64::new(0),
            fault: Mutex::default(),
            last_answers: Mutex::default(),
            started_at: Instant::now(),
        });
        let listener = Listener::bind(0).await?.serve(Arc::clone(&state));
        Ok(Self { state, listener })
    }

    /// Returns the loopback address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the handle that closes or silences the store's connections.
    pub fn server_handle(&self) -> &Arc<ServerHandle> {
        self.listener.server_handle()
    }

    /// Writes a row whose value is a JSON document.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.state.set(
            table,
            key,
            Some(encode_base64(value.to_string().as_bytes())),
        );
    }

    /// Writes a row whose value is arbitrary bytes, such as invalid JSON.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        self.state.set(table, key, Some(encode_base64(value)));
    }

    /// Deletes a row. Change feeds report the deletion as a row with `removed` set.
    pub fn remove(&self, table: &str, key: &str) {
        self.state.set(table, key, None);
    }

    /// Returns whether a row exists.
    pub fn has_row(&self, table: &str, key: &str) -> bool {
        let rows = self.state.rows();
        let row = rows.get(&(table.to_owned(), key.to_owned()));
        row.is_some_and(|row| row.value.is_some())
    }

    /// Returns the keys of a table's rows.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.state.rows();
        let present = rows
            .iter()
            .filter(|((of, _), row)| of == table && row.value.is_some());
        present.map(|((_, key), _)| key.clone()).collect()
    }

    /// Answers 503 to all requests while `is_unavailable` is true.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.state
            .is_unavailable
            .store(is_unavailable, Ordering::Relaxed);
    }

    /// Answers 503 to all calls that write while `is_read_only` is true.
    pub fn set_read_only(&self, is_read_only: bool) {
        self.state
            .is_read_only
            .store(is_read_only, Ordering::Relaxed);
    }

    /// Sets how the store answers wrongly.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.state.fault) = fault;
    }

    /// Discards the change history up to the current version, so that feeds from an earlier version
    /// are answered with 410 and their readers must read the whole table again.
    pub fn truncate_history(&self) {
        let version = *self.state.version.borrow();
        self.state
            .truncated_version
            .store(version, Ordering::Relaxed);
        self.state.version.send_modify(|version| *version += 1);
    }

    /// Replaces the content by that at `at`, as if the store came back from a copy made then. Version
    /// numbers given out since are given out again.
    pub fn restore_copy(&self, at: Instant) {
        let state = &self.state;
        let mut writes = state.writes.lock().unwrap_or_else(PoisonError::into_inner);
        writes.retain(|write| write.at <= at);
        let version = writes.last().map_or(1, |write| write.row.version);
        let mut rows = state.rows();
        rows.clear();
        for write in writes.iter() {
            let key = (write.table.clone(), write.key.clone());
            rows.insert(key, write.row.clone());
        }
        drop(rows);
        state.era.fetch_add(1, Ordering::Relaxed);
        state.version.send_replace(version);
    }

    /// Returns the number of requests received, including those answered with an error.
    pub fn request_count(&self) -> u64 {
        self.state.request_count.load(Ordering::Relaxed)
    }
}

impl State {
    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let version = *self.version.borrow() + 1;
        let row = Row { value, version };
        let write = Write {
            at: Instant::now(),
            table: table.into(),
            key: key.into(),
            row: row.clone(),
        };
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        writes.push(write);
        drop(writes);
        self.rows().insert((table.into(), key.into()), row);
        self.version.send_replace(version);
    }

    fn rows(&self) -> std::sync::MutexGuard<'_, BTreeMap<(String, String), Row>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the rows of `table` that changed after version `after`. With `include_deleted`,
    /// deleted rows are included and the rows are in the order of their versions.
    fn rows_after(&self, table: &str, after: u64, include_deleted: bool) -> Vec<Value> {
        let rows = self.rows();
        let rows = rows.iter().filter(|((of, _), row)| {
            of == table && row.version > after && (include_deleted || row.value.is_some())
        });
        let mut rows: Vec<(u64, Value)> = rows
            .map(|((_, key), row)| {
                let value = json!({
                    "table": table, "part": "", "key": key, "value": row.value, "ver": row.version,
                    "removed": row.value.is_none(),
                });
                (row.version, value)
            })
            .collect();
        if include_deleted {
            rows.sort_by_key(|(version, _)| *version);
        }
        rows.into_iter().map(|(_, value)| value).collect()
    }

    fn page(&self, rows: &[Value]) -> Reply {
        let version = *self.version.borrow();
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        reply::ok(&json!({ "rows": rows, "more-pages": false, "ver": version, "now-ms": now_ms }))
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> Reply {
        let mut version = self.version.subscribe();
        let is_lost = after > *version.borrow();
        if is_lost || after < self.truncated_version.load(Ordering::Relaxed) {
            return reply::bytes(StatusCode::GONE, Bytes::new());
        }
        let era = self.era.load(Ordering::Relaxed);
        let changed = async {
            loop {
                let rows = self.rows_after(table, after, true);
                let is_restored = self.era.load(Ordering::Relaxed) != era;
                if is_restored || !rows.is_empty() || version.changed().await.is_err() {
                    return rows;
                }
            }
        };
        let rows = time::timeout(wait, changed).await.unwrap_or_default();
        self.page(&rows)
    }

    fn apply_transaction(&self, body: &[u8]) -> Reply {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return reply::bytes(StatusCode::BAD_REQUEST, Bytes::new());
        };
        for put in transaction.puts {
            self.set(&put.table, &put.key, Some(put.value));
        }
        for row in transaction.remove {
            self.set(&row.table, &row.key, None);
        }
        self.page(&[])
    }
}

impl Handler for State {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, ConnectionClosed> {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        loop {
            let era = self.era.load(Ordering::Relaxed);
            let mut reply = self.respond(&request).await;
            // A response must not mix two eras.
            if self.era.load(Ordering::Relaxed) == era {
                reply
                    .headers_mut()
                    .insert(ERA_HEADER, HeaderValue::from(era));
                return match request.extensions().get::<RawConnection>() {
                    Some(raw) => self.with_fault(raw, reply, era).await,
                    None => Ok(reply),
                };
            }
        }
    }
}

impl State {
    /// Writes what the fault asks for to the connection, before the answer or in place of it.
    async fn with_fault(
        &self,
        raw: &RawConnection,
        reply: Reply,
        era: u64,
    ) -> Result<Reply, ConnectionClosed> {
        let fault = *lock(&self.fault);
        let (head, body) = reply.into_parts();
        let body = body.collect().await?.to_bytes();
        let text = format!(
            "HTTP/1.1 {}\r\n{ERA_HEADER}: {era}\r\ncontent-length: {}\r\n\r\n{}",
            head.status,
            body.len(),
            String::from_utf8_lossy(&body)
        );
        let write = async |text: &str| {
            let written = raw.write(text.as_bytes()).await;
            written.map_err(|_closed| ConnectionClosed)
        };
        match fault {
            Fault::RepeatAnswer => {
                let last = lock(&self.last_answers).insert(raw.id(), text);
                if let Some(last) = last.filter(|_| raw.is_reused()) {
                    write(&last).await?;
                }
            }
            Fault::RepeatRefusal if raw.is_reused() => {
                write("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n").await?;
            }
            Fault::None | Fault::RepeatRefusal => {}
            Fault::CutHead(length) => {
                let end = text.len() - body.len() - 1;
                write(&text[..length.min(end)]).await?;
                return Err(ConnectionClosed);
            }
            Fault::Status(code) => {
                let status = format!("{} ", head.status.as_u16());
                write(&text.replacen(&status, &format!("{code:03} "), 1)).await?;
                return Err(ConnectionClosed);
            }
        }
        Ok(Reply::from_parts(
            head,
            BodyExt::boxed_unsync(Full::new(body).map_err(|never| match never {})),
        ))
    }

    async fn respond(&self, request: &Request<Bytes>) -> Reply {
        if self.is_unavailable.load(Ordering::Relaxed) {
            return reply::bytes(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        let uri = request.uri();
        let table = query::parameter(uri, "table").unwrap_or_default();
        match (request.method(), uri.path()) {
            (&Method::GET, "/rows-get") => self.page(&self.rows_after(&table, 0, false)),
            (&Method::GET, "/rows-feed") => {
                let number = |name| query::parameter(uri, name).and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                self.feed(&table, number("after").unwrap_or(0), wait).await
            }
            (&Method::POST, "/rows-tx") if self.is_read_only.load(Ordering::Relaxed) => {
                reply::error(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "read_only",
                    "store accepts no writes",
                )
            }
            (&Method::POST, "/rows-tx") => self.apply_transaction(request.body()),
            _ => reply::not_found(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Encodes bytes as base64 with padding.
fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for index in 0..4 {
            if index <= group.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
