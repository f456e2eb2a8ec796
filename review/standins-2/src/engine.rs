//! An engine: streams on routes with tokens, plain answers elsewhere, and calls for stages.

use crate::{http, http::field, record::Record, store::Store};
use serde_json::{Value, json};
use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::mpsc::UnboundedSender,
    task::AbortHandle,
    time,
};

/// What differs between engines.
#[derive(Clone)]
pub struct Profile {
    /// Whether parts of prompts may crash it.
    pub crashes: Option<UnboundedSender<String>>,
    pub id: String,
    pub service: String,
    pub version: String,
    /// Time from the arrival of a request to its first byte.
    pub work: Duration,
    /// Number of events of a stream, and the time between them.
    pub events: u64,
    pub interval: Duration,
}

/// Start of the name of each part of a prompt at which an engine crashes when it begins to write an
/// answer.
pub const CRASHING_PART: &str = "dead";

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub engine: String,
}

struct State {
    profile: Profile,
    address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    next_handle: AtomicU64,
    handles: Mutex<HashSet<String>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

/// A running process of an engine.
pub struct Engine {
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

impl Engine {
    /// Starts the process at `address`, where port 0 is any, and registers it every 1.2 s.
    pub async fn start(
        profile: Profile,
        address: &str,
        store: &Store,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> Self {
        Self::start_registered_after(Duration::ZERO, profile, address, store, runs, record).await
    }

    /// Like [`start`](Self::start), but its first entry is written after `delay`.
    pub async fn start_registered_after(
        delay: Duration,
        profile: Profile,
        address: &str,
        store: &Store,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind(address).await.expect("engine listens");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock");
        let state = Arc::new(State {
            address: listener.local_addr().expect("engine has an address"),
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            next_handle: AtomicU64::new(0),
            handles: Mutex::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
            profile,
        });
        let tasks: Arc<Mutex<Vec<AbortHandle>>> = Arc::default();
        let accept = {
            let (state, tasks) = (Arc::clone(&state), Arc::clone(&tasks));
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let served = tokio::spawn(serve(Arc::clone(&state), stream));
                    tasks.lock().expect("lock").push(served.abort_handle());
                }
            })
        };
        let beat = {
            let (state, store) = (Arc::clone(&state), store.clone());
            tokio::spawn(async move {
                time::sleep(delay).await;
                loop {
                    store.put("servers", &state.profile.id, Some(&state.entry()));
                    time::sleep(Duration::from_millis(1_200)).await;
                }
            })
        };
        let handles = [accept.abort_handle(), beat.abort_handle()];
        tasks.lock().expect("lock").extend(handles);
        Self { tasks }
    }

    /// Ends the process as a crash does: nothing is said, and all connections end.
    pub fn crash(&self) {
        for task in self.tasks.lock().expect("lock").drain(..) {
            task.abort();
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash();
    }
}

impl State {
    fn entry(&self) -> Value {
        json!({
            "service": self.profile.service, "address": self.address.to_string(),
            "zone": "amman-a", "version": self.profile.version, "slots": 64,
            "state": "ready", "cold-remaining-ms": 0,
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence.fetch_add(1, Ordering::Relaxed) + 1, "born": self.born,
        })
    }

    fn answer_fields(&self, id: &str) -> String {
        format!(
            "Godwithinge-Attempt-Id: {id}\r\nGodwithinge-Server-Stamp: {}.{}\r\n",
            self.profile.id, self.born
        )
    }
}

async fn serve(state: Arc<State>, stream: TcpStream) {
    let _nodelay = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    while let Ok(request) = http::read_request(&mut reader).await {
        let answered = tokio::select! {
            answered = answer(&state, &request, &mut writer) => answered,
            // The request is dropped when its connection closes.
            _closed = tokio::io::AsyncBufReadExt::fill_buf(&mut reader) => return,
        };
        if answered.is_err() {
            return;
        }
    }
}

async fn answer<W: tokio::io::AsyncWrite + Unpin>(
    state: &State,
    request: &http::Request,
    writer: &mut W,
) -> std::io::Result<()> {
    let profile = &state.profile;
    let json_type = [("Content-Type", "application/json".to_owned())];
    match request.target.as_str() {
        "/report" => {
            let report = json!({
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": false, "sequence": 0, "waiting": 0, "running": 0, "kv-used": 0,
                "kv-total": 373_934, "handles": 0, "born": state.born,
            });
            return http::write_response(writer, 200, &json_type, report.to_string().as_bytes())
                .await;
        }
        "/healthz" => {
            let fields = [("Godwithinge-Instance-Id", profile.id.clone())];
            return http::write_response(writer, 200, &fields, b"").await;
        }
        "/stage-free" => {
            let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            for handle in call["handles"].as_array().into_iter().flatten() {
                let handle = handle.as_str().unwrap_or_default();
                state.handles.lock().expect("lock").remove(handle);
            }
            return http::write_response(writer, 200, &[], b"").await;
        }
        _ => {}
    }
    let expected = field(&request.fields, "godwithinge-expect-instance");
    if !expected.is_empty() && expected != profile.id {
        let fields = [("Godwithinge-Instance-Id", profile.id.clone())];
        return http::write_response(writer, 421, &fields, b"").await;
    }
    if request.target == "/stage-run" {
        let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        time::sleep(profile.work).await;
        let items = call["items"].as_array().cloned().unwrap_or_default();
        let items: Vec<Value> = items
            .iter()
            .map(|item| {
                let number = state.next_handle.fetch_add(1, Ordering::Relaxed);
                let handle = format!("{}/{:x}{number:06x}", state.address, state.born);
                state.handles.lock().expect("lock").insert(handle.clone());
                state
                    .record
                    .line(&format!("piece {} {item} -> {handle}", profile.id));
                json!({ "handle": handle })
            })
            .collect();
        let body = json!({ "items": items }).to_string();
        return http::write_response(writer, 200, &json_type, body.as_bytes()).await;
    }
    let id = field(&request.fields, "godwithinge-attempt-id").to_owned();
    state.runs.lock().expect("lock").push(Run {
        id: id.clone(),
        engine: profile.id.clone(),
    });
    state.record.line(&format!(
        "run {id} at {} {} {} last={} tenant={}",
        profile.id,
        profile.version,
        request.target,
        field(&request.fields, "last-event-id"),
        field(&request.fields, "godwithinge-tenant-name"),
    ));
    time::sleep(profile.work).await;
    let mut parts = field(&request.fields, "godwithinge-prompt-prefix").split(',');
    if let Some(crashes) = &profile.crashes
        && parts.any(|part| part.starts_with(CRASHING_PART))
    {
        let _told = crashes.send(profile.id.clone());
        // The process ends now.
        std::future::pending::<()>().await;
    }
    let fields = state.answer_fields(&id);
    if field(&request.fields, "godwithinge-token-counts").is_empty() {
        let body = format!("answer to {id}");
        let text = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        return writer.write_all(text.as_bytes()).await;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes()).await?;
    let last: u64 = field(&request.fields, "last-event-id").parse().unwrap_or(0);
    for number in last + 1..=profile.events {
        let event = format!("id: {number}\ndata: {} {number}\n\n", profile.version);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        writer.write_all(chunk.as_bytes()).await?;
        time::sleep(profile.interval).await;
    }
    writer.write_all(b"0\r\n\r\n").await
}
