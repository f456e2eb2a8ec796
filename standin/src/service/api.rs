//! HTTP interface of a plain service's fake.

use super::settings::{Counters, Settings};
use crate::{
    batch::{Batch, Ticket},
    fault,
    http::{ConnectionClosed, Handler, Reply, ServerHandle, reply},
    mark,
    run::Run,
};
use bytes::Bytes;
use compact_str::CompactString;
use hyper::{HeaderMap, Method, Request, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json, value::RawValue};
use std::{
    collections::BTreeMap,
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// Wait that a full service asks for.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Effect of the calls with one idempotency token.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Effect {
    /// How often a call took effect.
    pub count: u32,
    /// Request that the caller named.
    pub request: CompactString,
    /// Workspace that the caller named.
    pub workspace: CompactString,
    /// Result of the last call.
    pub result: Value,
}

#[derive(Debug)]
pub(super) struct Service {
    settings: watch::Sender<Settings>,
    server_handle: Arc<ServerHandle>,
    batch: Arc<Batch>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: ChaCha8Rng,
    counters: Counters,
    effects: BTreeMap<String, Effect>,
    runs: Vec<Run>,
}

/// Body of a call.
#[derive(Deserialize)]
struct Call {
    request: CompactString,
    workspace: CompactString,
    stage: Value,
    input: Box<RawValue>,
}

impl Service {
    pub(super) fn new(settings: Settings, server_handle: Arc<ServerHandle>) -> Self {
        let state = State {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            counters: Counters::default(),
            effects: BTreeMap::new(),
            runs: Vec::new(),
        };
        Self {
            server_handle,
            batch: Batch::new(settings.width),
            settings: watch::Sender::new(settings),
            state: Mutex::new(state),
        }
    }

    pub(super) fn settings(&self) -> Settings {
        self.settings.borrow().clone()
    }

    pub(super) fn change(&self, change: impl FnOnce(&mut Settings)) -> Settings {
        self.settings.send_modify(change);
        let settings = self.settings();
        self.batch.set_width(settings.width);
        settings
    }

    pub(super) fn counters(&self) -> Counters {
        self.state().counters
    }

    pub(super) fn effects(&self) -> BTreeMap<String, Effect> {
        self.state().effects.clone()
    }

    pub(super) fn take_runs(&self) -> Vec<Run> {
        mem::take(&mut self.state().runs)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, ConnectionClosed> {
        let Ok(call) = serde_json::from_slice::<Call>(request.body()) else {
            self.state().counters.rejected += 1;
            let message = "the body is no call";
            return Ok(reply::error(StatusCode::BAD_REQUEST, "malformed", message));
        };
        let priority = number(request.headers(), "x-priority");
        let token = header(request.headers(), "idempotency-key").to_owned();
        let queue = self.settings.borrow().queue;
        let Some(ticket) = self.batch.enter(priority, queue) else {
            self.state().counters.refused += 1;
            return Ok(reply::too_many_requests(RETRY_AFTER));
        };
        self.state().counters.calls += 1;
        // The call goes on when its caller closes the connection.
        let server_handle = Arc::clone(&self.server_handle);
        let work = server_handle.spawn(self.run(ticket, token, call));
        work.await.unwrap_or(Err(ConnectionClosed))
    }

    async fn run(
        self: Arc<Self>,
        ticket: Ticket,
        token: String,
        call: Call,
    ) -> Result<Reply, ConnectionClosed> {
        ticket.ready().await;
        let started = Instant::now();
        if mark::has_crash_marker(call.input.get(), &self.settings.borrow().pool) {
            self.server_handle.terminate();
            return Err(ConnectionClosed);
        }
        let failed = self.work().await;
        self.note(&token, &call, started.elapsed(), !failed);
        drop(ticket);
        if failed {
            self.state().counters.failed += 1;
            let message = "the call failed";
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(reply::error(status, "failed", message));
        }
        let result = self.take_effect(token, call);
        let delay = self.settings.borrow().delay_reply_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        fault::wait_while_stalled(&self.settings, |settings| settings.faults.stall).await;
        Ok(reply::ok(&result))
    }

    fn note(&self, token: &str, call: &Call, time: Duration, completed: bool) {
        let width = f64::from(self.settings.borrow().width.max(1));
        let mut state = self.state();
        state.counters.seconds += time.as_secs_f64();
        state.runs.push(Run {
            token: token.into(),
            request: call.request.clone(),
            seconds: time.as_secs_f64() / width,
            tokens: 0,
            completed,
        });
    }

    /// Takes the time of one call and returns whether the call fails.
    async fn work(&self) -> bool {
        let settings = self.settings();
        let (shift, failed) = {
            let rng = &mut self.state().rng;
            let shift = rng.random_range(-1.0..=1.0) * settings.spread;
            (shift, rng.random_bool(settings.fail.clamp(0.0, 1.0)))
        };
        let time = (settings.time_ms * (1.0 + shift)).max(0.0);
        let time = settings.faults.scale(Duration::from_secs_f64(time / 1e3));
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        fault::wait_while_stalled(&self.settings, |settings| settings.faults.stall).await;
        failed
    }

    fn take_effect(&self, token: String, call: Call) -> Value {
        let pool = self.settings.borrow().pool.clone();
        let result = json!({
            "pool": pool,
            "stage": call.stage,
            "request": call.request,
            "workspace": call.workspace,
        });
        let mut state = self.state();
        state.counters.effects += 1;
        let effect = state.effects.entry(token).or_insert_with(|| Effect {
            count: 0,
            request: call.request,
            workspace: call.workspace,
            result: Value::Null,
        });
        effect.count += 1;
        effect.result.clone_from(&result);
        if effect.count > 1 {
            state.counters.duplicates += 1;
        }
        result
    }

    fn load(&self) -> Reply {
        let settings = self.settings();
        let age = Duration::from_millis(settings.report_delay_ms);
        let load = self.batch.load(age);
        reply::ok(&json!({
            "running": load.running,
            "waiting": load.waiting,
            "width": settings.width,
            "tokens_per_second": 0.0,
            "prefill_per_second": 0.0,
            "age_ms": settings.report_delay_ms,
            "models": [],
            "adapters": [],
            "role": null,
        }))
    }

    fn look_up(&self, token: &str) -> Reply {
        if !self.settings.borrow().lookup {
            let message = "this service answers no look-up";
            return reply::error(StatusCode::NOT_IMPLEMENTED, "no_lookup", message);
        }
        match self.state().effects.get(token) {
            Some(effect) => reply::ok(&json!({"result": effect.result})),
            None => reply::not_found(),
        }
    }
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, ConnectionClosed> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::POST, "/call") => self.call(request).await,
            (&Method::GET, "/load") => Ok(self.load()),
            (&Method::GET, "/effects") => Ok(reply::ok(&self.effects())),
            (&Method::GET, path) => match path.strip_prefix("/effects/") {
                Some(token) => Ok(self.look_up(&crate::http::query::percent_decode(token))),
                None => Ok(reply::not_found()),
            },
            _ => Ok(reply::not_found()),
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn number(headers: &HeaderMap, name: &str) -> i32 {
    header(headers, name).parse().unwrap_or(0)
}
