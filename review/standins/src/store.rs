//! Stand-in of the platform's store: rows in tables, whole reads, feeds and transactions.

use crate::{
    http::{self, Connection, Message},
    json::{self, Value},
    lock,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Maximum number of rows in one answer.
const PAGE_ROWS: usize = 500;

#[derive(Clone, Debug)]
struct Row {
    /// Base64 of the value; `None` once the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts an empty store and returns it with its address.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let handler = Arc::clone(&store);
        let server = http::serve(move |connection| handler.serve(connection))?;
        Ok((store, server.address))
    }

    /// Writes a row, or removes it if `value` is `None`. The call is acknowledged when it returns.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        self.set(
            table,
            key,
            value.map(|value| encode_base64(value.as_bytes())),
        );
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), key.to_owned());
        state.rows.insert(key, Row { value, version });
        self.changed.notify_all();
    }

    fn serve(&self, connection: &mut Connection) -> io::Result<()> {
        while let Some(request) = connection.request()? {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            connection.respond(status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let table = request.parameter("table").unwrap_or_default().to_owned();
        let number = |name| {
            let number = request.parameter(name).and_then(|text| text.parse().ok());
            number.unwrap_or(0_u64)
        };
        match (request.method(), request.path()) {
            ("GET", "/rows-get") => {
                let from = decode_percent(request.parameter("from").unwrap_or_default());
                let limit = match number("limit") as usize {
                    0 => PAGE_ROWS,
                    limit => limit.min(PAGE_ROWS),
                };
                let state = lock(&self.state);
                let rows = state
                    .rows
                    .iter()
                    .filter(|((of, key), row)| *of == table && *key >= from && row.value.is_some());
                let rows: Vec<String> = rows.map(|(key, row)| encode(key, row)).collect();
                let has_more = rows.len() > limit;
                (
                    200,
                    self.page(&state, &rows[..rows.len().min(limit)], has_more),
                )
            }
            ("GET", "/rows-feed") => {
                let after = number("after");
                let until = Instant::now() + Duration::from_millis(number("wait-ms").min(30_000));
                let mut state = lock(&self.state);
                loop {
                    if after > state.version {
                        return (410, "{}".into());
                    }
                    let mut rows: Vec<(u64, String)> = state
                        .rows
                        .iter()
                        .filter(|((of, _), row)| *of == table && row.version > after)
                        .map(|(key, row)| (row.version, encode(key, row)))
                        .collect();
                    let now = Instant::now();
                    if !rows.is_empty() || now >= until {
                        rows.sort();
                        let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                        return (200, self.page(&state, &rows, false));
                    }
                    let waited = self.changed.wait_timeout(state, until - now);
                    state = waited.map_or_else(|error| error.into_inner().0, |waited| waited.0);
                }
            }
            ("POST", "/rows-tx") => self.apply(&request.body),
            _ => (404, "{}".into()),
        }
    }

    fn apply(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{}".into());
        };
        let field = |row: &Value, name: &str| {
            let text = row.get(name).and_then(Value::text);
            text.unwrap_or_default().to_owned()
        };
        let rows = |name| call.get(name).map(Value::list).unwrap_or_default().to_vec();
        let (puts, removed) = (rows("puts"), rows("remove"));
        let is_foreign = |row: &Value| matches!(field(row, "table").as_str(), "op" | "servers");
        if puts.iter().chain(&removed).any(is_foreign) {
            return (403, "{}".into());
        }
        for row in puts {
            self.set(
                &field(&row, "table"),
                &field(&row, "key"),
                Some(field(&row, "value")),
            );
        }
        for row in removed {
            self.set(&field(&row, "table"), &field(&row, "key"), None);
        }
        let state = lock(&self.state);
        (200, self.page(&state, &[], false))
    }

    fn page(&self, state: &State, rows: &[String], has_more: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"more-pages\":{has_more},\"ver\":{},\"now-ms\":{}}}",
            rows.join(","),
            state.version,
            self.started.elapsed().as_millis(),
        )
    }
}

fn encode((table, key): &(String, String), row: &Row) -> String {
    let value = row.value.as_ref();
    let value = value.map_or_else(
        || "\"removed\":true".to_owned(),
        |value| format!("\"value\":\"{value}\""),
    );
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},{value},\"ver\":{}}}",
        json::quote(table),
        json::quote(key),
        row.version,
    )
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = std::str::from_utf8(&digits).unwrap_or("00");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0_u32, |bits, byte| (bits << 8) | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
