//! The platform's metadata store: rows, feeds and transactions, without history limits.

use crate::http;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{io::BufReader, net::TcpListener, sync::watch, time};

type Rows = BTreeMap<(String, String), (Option<String>, u64)>;

#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    version: Arc<watch::Sender<u64>>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub async fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("store listens");
        let store = Self {
            rows: Arc::default(),
            version: Arc::new(watch::Sender::new(1)),
            started: Instant::now(),
            address: listener.local_addr().expect("store has an address"),
        };
        let server = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = server.clone();
                tokio::spawn(async move {
                    let (reader, mut writer) = stream.into_split();
                    let mut reader = BufReader::new(reader);
                    while let Ok(request) = http::read_request(&mut reader).await {
                        let (status, body) = store.answer(&request).await;
                        let fields = [
                            ("Content-Type", "application/json".to_owned()),
                            ("Store-Era", "1".to_owned()),
                        ];
                        let body = body.to_string();
                        let written =
                            http::write_response(&mut writer, status, &fields, body.as_bytes());
                        if written.await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes a row whose value is a document, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        self.set(table, key, value);
    }

    /// Returns the documents of a table by key.
    pub fn documents(&self, table: &str) -> Vec<(String, Value)> {
        let rows = self.rows.lock().expect("lock");
        let rows = rows.iter().filter(|((of, _), _)| of == table);
        rows.filter_map(|((_, key), (value, _))| {
            let bytes = STANDARD.decode(value.as_ref()?).ok()?;
            let text = String::from_utf8_lossy(&bytes).into_owned();
            Some((
                key.clone(),
                serde_json::from_str(&text).unwrap_or(Value::String(text)),
            ))
        })
        .collect()
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let version = *self.version.borrow() + 1;
        let mut rows = self.rows.lock().expect("lock");
        rows.insert((table.to_owned(), key.to_owned()), (value, version));
        drop(rows);
        self.version.send_replace(version);
    }

    fn page(&self, table: &str, after: u64, with_removed: bool) -> Value {
        let rows = self.rows.lock().expect("lock");
        let mut found: Vec<(u64, Value)> = rows
            .iter()
            .filter(|((of, _), (value, version))| {
                of == table && *version > after && (with_removed || value.is_some())
            })
            .map(|((_, key), (value, version))| {
                let mut row = json!({"table": table, "part": "", "key": key, "ver": version});
                match value {
                    Some(value) => row["value"] = value.clone().into(),
                    None => row["removed"] = true.into(),
                }
                (*version, row)
            })
            .collect();
        if with_removed {
            found.sort_by_key(|(version, _)| *version);
        }
        let rows: Vec<Value> = found.into_iter().map(|(_, row)| row).collect();
        json!({
            "rows": rows, "more-pages": false, "ver": *self.version.borrow(),
            "now-ms": self.started.elapsed().as_millis() as u64,
        })
    }

    async fn answer(&self, request: &http::Request) -> (u16, Value) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map_or("", |(_, value)| value)
        };
        match path {
            "/rows-get" => {
                let from = parameter("from").replace("%00", "\0");
                let mut page = self.page(parameter("table"), 0, false);
                if let Some(rows) = page["rows"].as_array_mut() {
                    rows.retain(|row| row["key"].as_str().unwrap_or("") >= from.as_str());
                }
                (200, page)
            }
            "/rows-feed" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait-ms").parse().unwrap_or(0));
                let mut changes = self.version.subscribe();
                let end = Instant::now() + wait;
                loop {
                    let page = self.page(parameter("table"), after, true);
                    let has_rows = page["rows"].as_array().is_some_and(|rows| !rows.is_empty());
                    if has_rows
                        || time::timeout_at(end.into(), changes.changed())
                            .await
                            .is_err()
                    {
                        return (200, page);
                    }
                }
            }
            "/rows-tx" => {
                let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let text = |row: &Value, name: &str| row[name].as_str().unwrap_or("").to_owned();
                for row in call["puts"].as_array().into_iter().flatten() {
                    let value = Some(text(row, "value"));
                    self.set(&text(row, "table"), &text(row, "key"), value);
                }
                for row in call["remove"].as_array().into_iter().flatten() {
                    self.set(&text(row, "table"), &text(row, "key"), None);
                }
                (200, self.page("", 0, false))
            }
            _ => (404, json!({})),
        }
    }
}
