//! Stand-in of the platform's metadata store: rows, transactions and feeds.

use crate::http::{self, Request};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

type Key = (String, String, String);

/// Store that serves until the process ends.
#[derive(Clone)]
pub struct Store {
    state: Arc<State>,
    pub address: SocketAddr,
}

struct State {
    started: Instant,
    content: Mutex<Content>,
    changed: Condvar,
}

#[derive(Default)]
struct Content {
    version: u64,
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

impl Store {
    pub fn start() -> Self {
        let state = Arc::new(State {
            started: Instant::now(),
            content: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&state);
        let address = http::serve(http::bind(), move |request, stream| {
            served.answer(&request, stream)
        });
        Self { state, address }
    }

    /// Writes a row as the operator or an engine does. Returns when the store has acknowledged it.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> Instant {
        let value = STANDARD.encode(value.to_string());
        self.state.write(vec![(row(table, key), Some(value))]);
        Instant::now()
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) -> Instant {
        self.state.write(vec![(row(table, key), None)]);
        Instant::now()
    }
}

fn row(table: &str, key: &str) -> Key {
    (table.into(), String::new(), key.into())
}

impl State {
    fn write(&self, writes: Vec<(Key, Option<String>)>) {
        let mut content = self.content.lock().unwrap();
        content.version += 1;
        let version = content.version;
        for (key, value) in writes {
            content.rows.insert(key, (value, version));
        }
        drop(content);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let (status, body) = match (request.method(), request.path()) {
            ("GET", "/rows-get") => ("200 OK", self.get(request)),
            ("GET", "/rows-feed") => ("200 OK", self.feed(request)),
            ("POST", "/rows-tx") => self.transact(&request.body),
            _ => ("404 Not Found", json!({})),
        };
        let fields = [("Content-Type", "application/json"), ("Store-Era", "1")];
        http::respond(stream, status, &fields, body.to_string().as_bytes())
    }

    fn page(&self, rows: Vec<Value>, version: u64, more: bool) -> Value {
        let now = self.started.elapsed().as_millis() as u64;
        json!({"rows": rows, "more-pages": more, "ver": version, "now-ms": now})
    }

    fn get(&self, request: &Request) -> Value {
        let [table, part, from, to] =
            ["table", "part", "from", "to"].map(|name| request.parameter(name).unwrap_or_default());
        let limit = request
            .parameter("limit")
            .and_then(|limit| limit.parse().ok());
        let content = self.content.lock().unwrap();
        let found = content
            .rows
            .iter()
            .filter(|((of, in_part, key), (value, _))| {
                *of == table
                    && *in_part == part
                    && value.is_some()
                    && *key >= from
                    && (to.is_empty() || *key < to)
            });
        let mut rows: Vec<Value> = found.map(|(key, row)| encode(key, row)).collect();
        let limit = limit.unwrap_or(500).min(500);
        let more = rows.len() > limit;
        rows.truncate(limit);
        self.page(rows, content.version, more)
    }

    fn feed(&self, request: &Request) -> Value {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let end =
            Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let mut content = self.content.lock().unwrap();
        loop {
            let changed = content.rows.iter();
            let changed = changed.filter(|((of, _, _), (_, at))| *of == table && *at > after);
            let mut rows: Vec<(u64, Value)> = changed
                .map(|(key, row)| (row.1, encode(key, row)))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(version, _)| *version);
                let rows = rows.into_iter().map(|(_, row)| row).collect();
                return self.page(rows, content.version, false);
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, Value) {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return ("400 Bad Request", json!({}));
        };
        let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let puts = list("puts");
        let removed = list("remove");
        if puts
            .iter()
            .chain(&removed)
            .any(|row| matches!(key(row).0.as_str(), "op" | "servers"))
        {
            return ("403 Forbidden", json!({}));
        }
        {
            let content = self.content.lock().unwrap();
            let failed = list("expected-rev").into_iter().any(|row| {
                let known = content.rows.get(&key(&row));
                let known = known.filter(|(value, _)| value.is_some());
                known.map_or(0, |(_, version)| *version) != row["ver"].as_u64().unwrap_or(0)
            });
            if failed {
                return (
                    "412 Precondition Failed",
                    self.page(Vec::new(), content.version, false),
                );
            }
        }
        let puts = puts.iter().map(|row| {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            (key(row), Some(value))
        });
        let writes = puts.chain(removed.iter().map(|row| (key(row), None)));
        self.write(writes.collect());
        let version = self.content.lock().unwrap().version;
        ("200 OK", self.page(Vec::new(), version, false))
    }
}

fn encode((table, part, key): &Key, (value, version): &(Option<String>, u64)) -> Value {
    let mut row = json!({"table": table, "part": part, "key": key, "ver": version});
    match value {
        Some(value) => row["value"] = value.clone().into(),
        None => row["removed"] = true.into(),
    }
    row
}
