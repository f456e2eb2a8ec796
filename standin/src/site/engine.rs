//! Fake of the platform's engines: plain ones, model engines with streams, and stage engines.

use crate::http::{Gate, Handler, Hangup, Listener, Reply, reply};
use bytes::Bytes;
use hyper::{HeaderMap, Request, StatusCode, header::HeaderValue};
use serde_json::{Value, json};
use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time;

/// Number of events of a stream.
pub const EVENTS: u64 = 6;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(10);
/// Time of a stage call beside its pieces.
const CALL_TIME: Duration = Duration::from_millis(20);

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mood {
    /// Answers.
    #[default]
    Well,
    /// Answers with an error of its own.
    Failing,
    /// Says that it is full.
    Full,
    /// Runs a request and closes its connection without an answer.
    Dropping,
    /// Breaks a stream off in the middle of its third event.
    Breaking,
    /// Runs a request and says nothing.
    Silent,
    /// Answers with the identifier of another request.
    Foreign,
    /// Answers without its signature.
    Unsigned,
}

/// A request that an engine began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Identifier of the caller's attempt.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// Body as it came.
    pub body: Bytes,
}

/// Fake of one engine.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
    listener: Listener,
}

#[derive(Debug)]
struct State {
    id: String,
    mood: Mutex<Mood>,
    runs: Mutex<Vec<Run>>,
    /// Results that are kept, over all engines that share the shelf.
    shelf: Shelf,
    address: Mutex<String>,
    next: AtomicU64,
    calls: Mutex<Vec<Value>>,
}

/// Results of all stage engines of a test.
pub type Shelf = Arc<Mutex<HashSet<String>>>;

impl Server {
    /// Starts an engine on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(id: &str, shelf: &Shelf) -> io::Result<Self> {
        let state = Arc::new(State {
            id: id.into(),
            mood: Mutex::default(),
            runs: Mutex::default(),
            shelf: Arc::clone(shelf),
            address: Mutex::default(),
            next: AtomicU64::new(0),
            calls: Mutex::default(),
        });
        let listener = Listener::bind(0).await?.serve(Arc::clone(&state));
        *lock(&state.address) = listener.address().to_string();
        Ok(Self { state, listener })
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the switch of the engine's connections.
    pub fn gate(&self) -> &Arc<Gate> {
        self.listener.gate()
    }

    /// Returns the engine's entry in the store.
    pub fn entry(&self, pool: &str, state: &str) -> Value {
        json!({
            "service": pool, "address": self.address().to_string(), "zone": "z-a", "version": "v1",
            "slots": 8, "state": state, "cold-remaining-ms": 0, "sequence": 1, "born": 1,
        })
    }

    /// Sets what the engine does from now on.
    pub fn set_mood(&self, mood: Mood) {
        *lock(&self.state.mood) = mood;
    }

    /// Returns the requests that the engine began to run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state.runs).clone()
    }

    /// Returns the bodies of the stage calls.
    pub fn calls(&self) -> Vec<Value> {
        lock(&self.state.calls).clone()
    }
}

impl State {
    fn stage_run(&self, body: &[u8]) -> Reply {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return reply::bytes(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let items = call["items"].as_array().cloned().unwrap_or_default();
        lock(&self.calls).push(call);
        let items = items.iter().map(|item| {
            let inputs = item["inputs"].as_array().into_iter().flatten();
            let mut inputs = inputs.filter_map(Value::as_str);
            if inputs.any(|input| !lock(&self.shelf).contains(input)) {
                return json!({ "why": "gone" });
            }
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{}/{}-{number}", lock(&self.address), self.id);
            lock(&self.shelf).insert(handle.clone());
            json!({ "handle": handle })
        });
        let items: Vec<Value> = items.collect();
        reply::ok(&json!({ "items": items }))
    }

    fn stage_free(&self, body: &[u8]) -> Reply {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        for handle in call["handles"].as_array().into_iter().flatten() {
            lock(&self.shelf).remove(handle.as_str().unwrap_or_default());
        }
        reply::bytes(StatusCode::OK, Bytes::new())
    }

    async fn run(&self, request: Request<Bytes>) -> Result<Reply, Hangup> {
        let headers = request.headers().clone();
        let mood = *lock(&self.mood);
        let text = |name| {
            let value = headers
                .get(name)
                .and_then(|value: &HeaderValue| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        if text("godwithinge-expect-instance") != self.id {
            return Ok(self.refusal(StatusCode::MISDIRECTED_REQUEST));
        }
        if mood == Mood::Full {
            return Ok(self.refusal(StatusCode::SERVICE_UNAVAILABLE));
        }
        let inputs = text("godwithinge-input-count");
        let mut inputs = inputs.split(',').filter(|input| !input.is_empty());
        if inputs.any(|input| !lock(&self.shelf).contains(input)) {
            return Ok(self.refusal(StatusCode::CONFLICT));
        }
        let id = text("godwithinge-attempt-id");
        let run = Run {
            id: id.clone(),
            path: request.uri().to_string(),
            headers: headers.clone(),
            body: request.body().clone(),
        };
        lock(&self.runs).push(run);
        match mood {
            Mood::Dropping => return Err(Hangup),
            Mood::Silent => std::future::pending().await,
            _ => {}
        }
        let is_stream = headers.contains_key("godwithinge-token-counts");
        let mut reply = if mood == Mood::Failing {
            reply::bytes(StatusCode::INTERNAL_SERVER_ERROR, "failed")
        } else if is_stream {
            let last = text("last-event-id").parse().unwrap_or(0);
            events(last, mood == Mood::Breaking)
        } else {
            reply::bytes(StatusCode::OK, format!("answer to {id}"))
        };
        let id = if mood == Mood::Foreign {
            "another".to_owned()
        } else {
            id
        };
        set(&mut reply, "godwithinge-attempt-id", &id);
        if mood != Mood::Unsigned {
            set(
                &mut reply,
                "godwithinge-server-stamp",
                &format!("stamp-{}", self.id),
            );
        }
        Ok(reply)
    }

    fn refusal(&self, status: StatusCode) -> Reply {
        let mut reply = reply::bytes(status, Bytes::new());
        set(&mut reply, "godwithinge-not-executed", "1");
        set(&mut reply, "godwithinge-instance-id", &self.id);
        reply
    }
}

impl Handler for State {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, Hangup> {
        match request.uri().path() {
            "/stage-run" => {
                time::sleep(CALL_TIME).await;
                Ok(self.stage_run(request.body()))
            }
            "/stage-free" => Ok(self.stage_free(request.body())),
            _ => self.run(request).await,
        }
    }
}

/// Returns the stream from the event after `last` on.
fn events(last: u64, is_breaking: bool) -> Reply {
    reply::events(async_stream::stream! {
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: part-{number}\n\n");
            if is_breaking && number == 3 {
                yield Ok(Bytes::copy_from_slice(&event.as_bytes()[..8]));
                yield Err(Hangup);
                return;
            }
            yield Ok(Bytes::from(event));
            time::sleep(EVENT_GAP).await;
        }
    })
}

fn set(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
