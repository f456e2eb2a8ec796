//! Fake of the platform's engines: plain engines, model engines that stream server-sent events, and
//! stage engines.

use crate::http::{ConnectionClosed, Handler, Listener, Reply, ServerHandle, reply};
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

/// Number of events in a complete stream; their ids run from 1.
pub const STREAM_EVENTS: u64 = 6;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a stage call takes, whatever the number of its items.
const STAGE_CALL_DURATION: Duration = Duration::from_millis(20);

/// How an engine responds to a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behavior {
    /// Returns a complete response.
    #[default]
    Normal,
    /// Executes the request and returns 500.
    ServerError,
    /// Returns 503 without executing the request.
    Full,
    /// Executes the request and closes its connection without a response.
    Disconnect,
    /// Closes the connection in the middle of the third event of a stream. Requests without a
    /// stream are answered normally.
    TruncateStream,
    /// Executes the request, sends no response and keeps the connection open.
    Hang,
    /// Returns a response that carries another attempt's id.
    WrongAttemptId,
    /// Returns a response without the `godwithinge-server-stamp` header.
    MissingStamp,
}

/// Request that an engine accepted and began to execute.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// Value of the `godwithinge-attempt-id` header; empty if it is absent.
    pub id: String,
    /// Request target: path and query.
    pub path: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body as received.
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
    build: String,
    behavior: Mutex<Behavior>,
    executed_requests: Mutex<Vec<ExecutedRequest>>,
    /// Shared by all engines of a test, so that one can read the results of another.
    stored_results: StoredResults,
    address: Mutex<String>,
    next_result: AtomicU64,
    stage_calls: Mutex<Vec<Value>>,
}

/// Handles of the results that the stage engines of a test hold. An input that is missing here is
/// answered as gone.
pub type StoredResults = Arc<Mutex<HashSet<String>>>;

impl Server {
    /// Starts an engine with the software version `v1` on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(id: &str, stored_results: &StoredResults) -> io::Result<Self> {
        Self::start_with_build(id, "v1", stored_results).await
    }

    /// Starts an engine with the software version `build` on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start_with_build(
        id: &str,
        build: &str,
        stored_results: &StoredResults,
    ) -> io::Result<Self> {
        let state = Arc::new(State {
            id: id.into(),
            build: build.into(),
            behavior: Mutex::default(),
            executed_requests: Mutex::default(),
            stored_results: Arc::clone(stored_results),
            address: Mutex::default(),
            next_result: AtomicU64::new(0),
            stage_calls: Mutex::default(),
        });
        let listener = Listener::bind(0).await?.serve(Arc::clone(&state));
        *lock(&state.address) = listener.address().to_string();
        Ok(Self { state, listener })
    }

    /// Returns the loopback address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the handle that closes or silences the engine's connections.
    pub fn server_handle(&self) -> &Arc<ServerHandle> {
        self.listener.server_handle()
    }

    /// Returns the row that announces the engine in [`ENGINE_TABLE`](super::store::ENGINE_TABLE).
    pub fn store_row(&self, pool: &str, state: &str) -> Value {
        json!({
            "service": pool, "address": self.address().to_string(), "zone": "z-a",
            "version": self.state.build, "slots": 8, "state": state, "cold-remaining-ms": 0,
            "sequence": 1, "born": 1,
        })
    }

    /// Sets how the engine responds to requests that arrive from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.state.behavior) = behavior;
    }

    /// Returns the requests that the engine began to execute, earliest first. Refused requests
    /// and stage calls aren't included.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        lock(&self.state.executed_requests).clone()
    }

    /// Returns the bodies of the stage calls, earliest first.
    pub fn stage_calls(&self) -> Vec<Value> {
        lock(&self.state.stage_calls).clone()
    }
}

impl State {
    fn stage_run(&self, body: &[u8]) -> Reply {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return reply::bytes(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let items = call["items"].as_array().cloned().unwrap_or_default();
        lock(&self.stage_calls).push(call);
        let items = items.iter().map(|item| {
            let inputs = item["inputs"].as_array().into_iter().flatten();
            let mut inputs = inputs.filter_map(Value::as_str);
            if inputs.any(|input| !lock(&self.stored_results).contains(input)) {
                return json!({ "why": "gone" });
            }
            let number = self.next_result.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{}/{}-{number}", lock(&self.address), self.id);
            lock(&self.stored_results).insert(handle.clone());
            json!({ "handle": handle })
        });
        let items: Vec<Value> = items.collect();
        reply::ok(&json!({ "items": items }))
    }

    fn stage_free(&self, body: &[u8]) -> Reply {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        for handle in call["handles"].as_array().into_iter().flatten() {
            lock(&self.stored_results).remove(handle.as_str().unwrap_or_default());
        }
        reply::bytes(StatusCode::OK, Bytes::new())
    }

    async fn run(&self, request: Request<Bytes>) -> Result<Reply, ConnectionClosed> {
        let headers = request.headers().clone();
        let behavior = *lock(&self.behavior);
        let header = |name| {
            let value = headers
                .get(name)
                .and_then(|value: &HeaderValue| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        if header("godwithinge-expect-instance") != self.id {
            return Ok(self.refusal(StatusCode::MISDIRECTED_REQUEST));
        }
        if behavior == Behavior::Full {
            return Ok(self.refusal(StatusCode::SERVICE_UNAVAILABLE));
        }
        let inputs = header("godwithinge-input-count");
        let mut inputs = inputs.split(',').filter(|input| !input.is_empty());
        if inputs.any(|input| !lock(&self.stored_results).contains(input)) {
            return Ok(self.refusal(StatusCode::CONFLICT));
        }
        let id = header("godwithinge-attempt-id");
        let run = ExecutedRequest {
            id: id.clone(),
            path: request.uri().to_string(),
            headers: headers.clone(),
            body: request.body().clone(),
        };
        lock(&self.executed_requests).push(run);
        match behavior {
            Behavior::Disconnect => return Err(ConnectionClosed),
            Behavior::Hang => std::future::pending().await,
            _ => {}
        }
        let is_stream = headers.contains_key("godwithinge-token-counts");
        let mut reply = if behavior == Behavior::ServerError {
            reply::bytes(StatusCode::INTERNAL_SERVER_ERROR, "failed")
        } else if is_stream {
            let last = header("last-event-id").parse().unwrap_or(0);
            event_stream(&self.build, last, behavior == Behavior::TruncateStream)
        } else {
            reply::bytes(StatusCode::OK, format!("answer to {id}"))
        };
        let id = if behavior == Behavior::WrongAttemptId {
            "another".to_owned()
        } else {
            id
        };
        set_header(&mut reply, "godwithinge-attempt-id", &id);
        if behavior != Behavior::MissingStamp {
            set_header(
                &mut reply,
                "godwithinge-server-stamp",
                &format!("stamp-{}", self.id),
            );
        }
        Ok(reply)
    }

    fn refusal(&self, status: StatusCode) -> Reply {
        let mut reply = reply::bytes(status, Bytes::new());
        set_header(&mut reply, "godwithinge-not-executed", "1");
        set_header(&mut reply, "godwithinge-instance-id", &self.id);
        reply
    }
}

impl Handler for State {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, ConnectionClosed> {
        match request.uri().path() {
            "/stage-run" => {
                time::sleep(STAGE_CALL_DURATION).await;
                Ok(self.stage_run(request.body()))
            }
            "/stage-free" => Ok(self.stage_free(request.body())),
            _ => self.run(request).await,
        }
    }
}

/// Returns a stream of the events after id `last`, whose data names the build; a truncated one
/// breaks off within event 3.
fn event_stream(build: &str, last: u64, is_truncated: bool) -> Reply {
    let build = build.to_owned();
    reply::event_stream(async_stream::stream! {
        for number in last + 1..=STREAM_EVENTS {
            let event = format!("id: {number}\ndata: {build}-part-{number}\n\n");
            if is_truncated && number == 3 {
                yield Ok(Bytes::copy_from_slice(&event.as_bytes()[..8]));
                yield Err(ConnectionClosed);
                return;
            }
            yield Ok(Bytes::from(event));
            time::sleep(EVENT_INTERVAL).await;
        }
    })
}

fn set_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
