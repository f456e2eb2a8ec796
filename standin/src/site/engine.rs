//! Fake of the platform's engines: plain engines, model engines that stream server-sent events, and
//! stage engines.

pub use super::{
    behavior::{Behavior, Cut, RawStatus, RefusalId, Section},
    early::{EarlyAnswer, End, Part},
    execution::ExecutedRequest,
    notice::Arrival,
};

use super::{
    capacity::{Admission, Admissions, Brittleness, Capacity, Slot},
    execution::Execution,
    notice::Notices,
    piece::{Item, Piece},
};
use crate::http::{ConnectionClosed, Handler, Listener, RawConnection, Reply, ServerHandle, reply};
use bytes::Bytes;
use hyper::{Request, StatusCode, header::HeaderValue};
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time};

/// Number of events in a complete stream; their ids run from 1.
pub const STREAM_EVENTS: u64 = 6;
pub(super) const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between the events of a slow stream.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of events before a stream is broken off.
pub const EVENTS_BEFORE_CUT: u64 = 2;
/// Header of a request with the time in milliseconds that it is executed for before its response
/// begins.
pub const WORK_HEADER: &str = "work-ms";
/// Header of a request for a stream with the time in milliseconds between its events.
pub const EVENT_INTERVAL_HEADER: &str = "event-ms";
/// Header of a request without a stream with the length in bytes to which its answer is padded.
pub const LENGTH_HEADER: &str = "answer-bytes";
/// Part of a prompt that crashes each engine that begins to write a response to it.
pub const CRASHING_PART: &str = "dead";
/// Time after which an engine that crashed accepts connections again.
pub(super) const CRASH_DOWNTIME: Duration = Duration::from_millis(700);
/// Time that a stage call takes, whatever the number of its items.
const STAGE_CALL_DURATION: Duration = Duration::from_millis(20);

/// Header in which a brittle engine states how many rejections a second it bears.
pub(super) const BRITTLE: &str = "server-brittle";
/// Header in which an engine names the requests a second that it takes from all machines together.
pub(super) const LIMIT: &str = "server-limit";
/// Header in which an engine states for how many milliseconds it is still cold.
pub(super) const COLD: &str = "godwithinge-cold-ms";
/// Header by which an engine says that it leaves.
pub(super) const LEAVING: &str = "server-leaving";

/// Fake of one engine.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
    listener: Listener,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) id: String,
    build: Mutex<String>,
    /// Number of times that the engine has started again.
    restarts: AtomicU64,
    behavior: Mutex<Behavior>,
    executed_requests: Mutex<Vec<ExecutedRequest>>,
    /// Shared by all engines of a test, so that one can read the results of another.
    stored_results: StoredResults,
    address: Mutex<String>,
    next_result: AtomicU64,
    stage_calls: Mutex<Vec<Value>>,
    stage_items: Mutex<Vec<Item>>,
    /// Last answer to a stage call on each connection.
    pub(super) last_answers: Mutex<HashMap<usize, String>>,
    /// Number of these, or of refusals, that were sent again.
    pub(super) repeated_answers: AtomicUsize,
    /// Endless responses that their callers have not closed.
    pub(super) endless_responses: AtomicUsize,
    pub(super) early_answer: Mutex<Option<EarlyAnswer>>,
    /// Number of answers that the engine began before it had read their requests.
    pub(super) early_answers: AtomicUsize,
    pub(super) admissions: Admissions,
    pub(super) notices: Notices,
    server_handle: Arc<ServerHandle>,
}

/// Results that the stage engines of a test hold, by handle. An input that is missing here is answered as gone.
pub type StoredResults = Arc<Mutex<HashMap<String, Piece>>>;

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
        let listener = Listener::bind(0).await?;
        let state = Arc::new(State {
            id: id.into(),
            build: Mutex::new(build.into()),
            restarts: AtomicU64::default(),
            behavior: Mutex::default(),
            executed_requests: Mutex::default(),
            stored_results: Arc::clone(stored_results),
            address: Mutex::default(),
            next_result: AtomicU64::new(0),
            stage_calls: Mutex::default(),
            stage_items: Mutex::default(),
            last_answers: Mutex::default(),
            repeated_answers: AtomicUsize::default(),
            endless_responses: AtomicUsize::default(),
            early_answer: Mutex::default(),
            early_answers: AtomicUsize::default(),
            admissions: Admissions::default(),
            notices: Notices::default(),
            server_handle: Arc::clone(listener.server_handle()),
        });
        let listener = listener.serve(Arc::clone(&state));
        *lock(&state.address) = listener.address().to_string();
        Ok(Self { state, listener })
    }

    /// Returns the loopback address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Makes the engine send nothing on any connection for `duration` and then go on, so that nothing
    /// is lost.
    pub fn pause_for(&self, duration: Duration) {
        self.listener.server_handle().pause_for(duration);
    }

    /// Returns the handle that closes or silences the engine's connections.
    pub fn server_handle(&self) -> &Arc<ServerHandle> {
        self.listener.server_handle()
    }

    /// Returns the row that announces the engine in [`ENGINE_TABLE`](super::store::ENGINE_TABLE).
    pub fn store_row(&self, pool: &str, state: &str) -> Value {
        json!({
            "service": pool, "address": self.address().to_string(), "zone": "z-a",
            "version": lock(&self.state.build).clone(), "slots": 8, "state": state,
            "cold-remaining-ms": 0, "sequence": 1,
            "born": 1 + self.state.restarts.load(Ordering::Relaxed),
        })
    }

    /// Sets how the engine responds to requests that arrive from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.state.behavior) = behavior;
    }

    /// Makes the engine answer on new connections before it has read the requests; `None` ends this.
    pub fn set_early_answer(&self, answer: Option<EarlyAnswer>) {
        *lock(&self.state.early_answer) = answer;
    }

    /// Returns the number of answers that the engine began before it had read their requests.
    pub fn early_answers(&self) -> usize {
        self.state.early_answers.load(Ordering::Relaxed)
    }

    /// Ends the process of the engine: closes all connections and refuses new ones.
    pub fn exit(&self) {
        self.state.server_handle.set_refusing(true);
    }

    /// Starts the engine again after [`exit`](Self::exit), under its identifier and with the software
    /// version `build`. Its row in the store is not written.
    pub fn start_again(&self, build: &str) {
        *lock(&self.state.build) = build.into();
        self.state.restarts.fetch_add(1, Ordering::Relaxed);
        self.state.server_handle.set_refusing(false);
    }

    /// Limits how many requests, or stage calls, the engine accepts at the same time; `None` removes
    /// the limit. The engine states its load while there is one.
    pub fn set_capacity(&self, capacity: Option<Capacity>) {
        self.state.admissions.set_capacity(capacity);
    }

    /// Makes the engine announce in all its answers that it bears few rejections, and fall over
    /// beyond them; `None` ends this.
    pub fn set_brittle(&self, brittleness: Option<Brittleness>) {
        self.state.admissions.set_brittle(brittleness);
    }

    /// Returns how often the engine fell over because it rejected too many requests in a second.
    pub fn falls(&self) -> u32 {
        self.state.admissions.falls()
    }

    /// Returns the number of requests and stage calls that the engine rejected for want of room.
    pub fn rejections(&self) -> u64 {
        self.state.admissions.rejections()
    }

    /// Makes the engine say in all its answers that it leaves; its row in the store stays as it is.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state.notices.set_leaving(is_leaving);
    }

    /// Makes the engine name, in all its answers, a limit on the requests a second that it takes. It
    /// turns none away beyond it. `None` ends this.
    pub fn set_rate_limit(&self, rate: Option<f64>) {
        self.state.notices.set_rate(rate);
    }

    /// Makes the engine state in its answers, apart from raw ones, that it is cold from now on for
    /// `duration`.
    pub fn set_cold(&self, duration: Duration) {
        self.state.notices.set_cold_until(Instant::now() + duration);
    }

    /// Makes the engine turn everything away with 503, and ask for this pause; `None` ends this.
    pub fn set_pause(&self, pause: Option<Duration>) {
        self.state.notices.set_pause(pause);
    }

    /// Returns all requests, stage calls and releases of results that have arrived, earliest first.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.notices.arrivals()
    }

    /// Returns the requests that the engine began to execute, earliest first. Refused requests
    /// and stage calls aren't included.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        lock(&self.state.executed_requests).clone()
    }

    /// Returns the number of endless responses that the engine is sending.
    pub fn endless_responses(&self) -> usize {
        self.state.endless_responses.load(Ordering::Relaxed)
    }

    /// Returns the number of answers to stage calls, or of refusals, that the engine has sent again.
    pub fn repeated_answers(&self) -> usize {
        self.state.repeated_answers.load(Ordering::Relaxed)
    }

    /// Returns the bodies of the stage calls, earliest first.
    pub fn stage_calls(&self) -> Vec<Value> {
        lock(&self.state.stage_calls).clone()
    }

    /// Returns the pieces that the engine computed, earliest first.
    pub fn stage_items(&self) -> Vec<Item> {
        lock(&self.state.stage_items).clone()
    }
}

impl State {
    /// Returns the results of a stage call; `None` if the call is malformed.
    fn stage_run(&self, body: &[u8]) -> Option<Value> {
        let call: Value = serde_json::from_slice(body).ok()?;
        let items = call["items"].as_array().cloned().unwrap_or_default();
        lock(&self.stage_calls).push(call);
        let items = items.iter().map(|item| {
            let mut stored = lock(&self.stored_results);
            let Some(item) = Item::parse(item, &stored) else {
                return json!({ "why": "gone" });
            };
            let number = self.next_result.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{}/{}-{number}", lock(&self.address), self.id);
            stored.insert(handle.clone(), item.piece.clone());
            lock(&self.stage_items).push(item);
            json!({ "handle": handle })
        });
        let items: Vec<Value> = items.collect();
        Some(json!({ "items": items }))
    }

    async fn answer_stage_call(&self, request: Request<Bytes>) -> Result<Reply, ConnectionClosed> {
        let behavior = *lock(&self.behavior);
        let raw = request.extensions().get::<RawConnection>();
        if let (Behavior::RepeatToNext, Some(raw)) = (behavior, raw) {
            self.repeat_last_answer(raw).await;
        }
        if let (Behavior::Endless(section), Some(raw)) = (behavior, raw) {
            return self.send_endless(raw, "", section).await;
        }
        if let (Behavior::RepeatRefusal(id), Some(raw)) = (behavior, raw) {
            self.repeat_refusal(raw, id).await?;
        }
        if let (Behavior::CutHead(length), Some(raw)) = (behavior, raw) {
            return self.send_cut_head(raw, "", length).await;
        }
        if let (Behavior::Status(status), Some(raw)) = (behavior, raw) {
            let results = self.stage_run(request.body()).unwrap_or_default();
            return self
                .send_status(raw, "", status, &results.to_string())
                .await;
        }
        let slot = match self.admit().await {
            Ok(slot) => slot,
            Err(reply) => return Ok(reply),
        };
        time::sleep(STAGE_CALL_DURATION.max(slot.work)).await;
        let Some(results) = self.stage_run(request.body()) else {
            return Ok(reply::bytes(StatusCode::BAD_REQUEST, Bytes::new()));
        };
        match (behavior, raw) {
            (Behavior::Unframed(cut), Some(raw)) => {
                let mut results = results.to_string();
                if cut != Cut::Never {
                    results.truncate(results.len() / 2);
                }
                self.send_unframed(raw, "", &results, cut).await
            }
            (_, Some(raw)) => {
                self.remember_answer(raw, &results.to_string());
                Ok(reply::ok(&results))
            }
            _ => Ok(reply::ok(&results)),
        }
    }

    pub(super) fn report(&self) -> Value {
        json!({
            "stage": "both", "busy": false, "sequence": 0, "waiting": 0, "running": 0,
            "born": 1 + self.restarts.load(Ordering::Relaxed),
        })
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
        let Some(inputs) = self.inputs(&header("godwithinge-input-count")) else {
            return Ok(self.refusal(StatusCode::CONFLICT));
        };
        let slot = match self.admit().await {
            Ok(slot) => slot,
            Err(reply) => return Ok(reply),
        };
        let id = header("godwithinge-attempt-id");
        let (mut run, execution) = ExecutedRequest::begin(&id, &request);
        run.inputs = inputs;
        let is_crashing = run.has_crashing_part();
        lock(&self.executed_requests).push(run);
        if is_crashing {
            self.crash(CRASH_DOWNTIME);
            std::future::pending::<()>().await;
        }
        let raw = request.extensions().get::<RawConnection>();
        if let (Behavior::RepeatRefusal(id), Some(raw)) = (behavior, raw) {
            self.repeat_refusal(raw, id).await?;
        }
        let work = header(WORK_HEADER).parse().map(Duration::from_millis);
        time::sleep(slot.work.max(work.unwrap_or_default())).await;
        match behavior {
            Behavior::Disconnect => return Err(ConnectionClosed),
            Behavior::Hang => std::future::pending().await,
            _ => {}
        }
        let event_interval = match behavior {
            Behavior::Slow => SLOW_EVENT_INTERVAL,
            _ => header(EVENT_INTERVAL_HEADER)
                .parse()
                .map_or(EVENT_INTERVAL, Duration::from_millis),
        };
        let is_stream = headers.contains_key("godwithinge-token-counts");
        let last = header("last-event-id").parse().unwrap_or(0);
        if let Some(raw) = raw
            && let Some(answer) = self.answer_raw(raw, behavior, &id, is_stream, last).await
        {
            return answer;
        }
        let failure = match behavior {
            Behavior::ServerError => Some(StatusCode::INTERNAL_SERVER_ERROR),
            Behavior::FailedBusy => Some(StatusCode::SERVICE_UNAVAILABLE),
            Behavior::PlainText => Some(StatusCode::OK),
            _ => None,
        };
        let mut reply = if let Some(status) = failure {
            reply::bytes(status, "failed")
        } else if is_stream {
            event_stream(
                self.events_after(last),
                event_interval,
                behavior == Behavior::TruncateStream,
                (slot, execution),
            )
        } else {
            if behavior == Behavior::Slow {
                time::sleep(event_interval).await;
            }
            let mut answer = plain_answer(&id).into_bytes();
            let length = header(LENGTH_HEADER).parse().unwrap_or_default();
            answer.resize(answer.len().max(length), b'.');
            reply::bytes(StatusCode::OK, answer)
        };
        if let (Behavior::RepeatLate, Some(raw)) = (behavior, raw) {
            self.repeat_late(raw, &id);
        }
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

    /// Returns the pieces that inputs hold; `None` if one of the inputs does not exist.
    fn inputs(&self, inputs: &str) -> Option<Vec<Piece>> {
        let inputs = inputs.split(',').filter(|input| !input.is_empty());
        let stored = lock(&self.stored_results);
        inputs.map(|input| stored.get(input).cloned()).collect()
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there is no room. The engine may fall over then.
    async fn admit(&self) -> Result<Slot, Reply> {
        match self.admissions.admit().await {
            Admission::Admitted(slot) => return Ok(slot),
            Admission::Rejected => {}
            Admission::Fallen(downtime) => self.crash(downtime),
        }
        Err(self.refusal(StatusCode::SERVICE_UNAVAILABLE))
    }

    /// Closes all connections, and refuses new ones for `downtime`.
    pub(super) fn crash(&self, downtime: Duration) {
        let server_handle = Arc::clone(&self.server_handle);
        server_handle.set_refusing(true);
        tokio::spawn(async move {
            time::sleep(downtime).await;
            server_handle.set_refusing(false);
        });
    }

    /// Returns the events of a stream after the event `last`. Their data names the build.
    pub(super) fn events_after(&self, last: u64) -> impl Iterator<Item = (u64, String)> + use<> {
        let build = lock(&self.build).clone();
        (last + 1..=STREAM_EVENTS).map(move |number| {
            (
                number,
                format!("id: {number}\ndata: {build}-part-{number}\n\n"),
            )
        })
    }

    /// Adds the headers that all responses have.
    fn with_state(&self, mut reply: Reply) -> Reply {
        if let Some(limit) = self.admissions.announced_limit() {
            set_header(&mut reply, BRITTLE, &limit.to_string());
        }
        if let Some(rate) = self.notices.rate() {
            set_header(&mut reply, LIMIT, &rate.to_string());
        }
        if let Some(left) = self.notices.cold_for() {
            set_header(&mut reply, COLD, &left.as_millis().to_string());
        }
        if self.notices.is_leaving() {
            set_header(&mut reply, LEAVING, "1");
        }
        if let Some((running, waiting, slots)) = self.admissions.load() {
            let load = format!("{running},{waiting},{slots}");
            set_header(&mut reply, "godwithinge-instance-load", &load);
        }
        reply
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
        if request.uri().path() == "/report" {
            let behavior = *lock(&self.behavior);
            let raw = request.extensions().get::<RawConnection>();
            if let (Behavior::Status(status), Some(raw)) = (behavior, raw) {
                let report = self.report().to_string();
                return self.send_status(raw, "", status, &report).await;
            }
            return Ok(self.with_state(reply::ok(&self.report())));
        }
        let id = request.headers().get("godwithinge-attempt-id");
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        if let Some(pause) = self.notices.record(id, &request.uri().to_string()) {
            let mut refusal = self.refusal(StatusCode::SERVICE_UNAVAILABLE);
            set_header(
                &mut refusal,
                "retry-after",
                &pause.as_secs_f64().to_string(),
            );
            return Ok(self.with_state(refusal));
        }
        let reply = match request.uri().path() {
            "/stage-run" => self.answer_stage_call(request).await,
            "/stage-free" => Ok(self.stage_free(request.body())),
            _ => self.run(request).await,
        };
        reply.map(|reply| self.with_state(reply))
    }

    fn is_raw(&self) -> bool {
        lock(&self.early_answer).is_some()
    }

    async fn serve_raw(self: Arc<Self>, stream: TcpStream) {
        let early = *lock(&self.early_answer);
        if let Some(early) = early {
            // The caller may have closed the connection.
            drop(self.answer_early(stream, early).await);
        }
    }
}

/// Returns a stream of events; a truncated one breaks off within event 3.
fn event_stream(
    events: impl Iterator<Item = (u64, String)> + Send + 'static,
    interval: Duration,
    is_truncated: bool,
    held: (Slot, Execution),
) -> Reply {
    reply::event_stream(async_stream::stream! {
        let _held = held;
        for (number, event) in events {
            time::sleep(interval).await;
            if is_truncated && number == EVENTS_BEFORE_CUT + 1 {
                yield Ok(Bytes::copy_from_slice(&event.as_bytes()[..8]));
                yield Err(ConnectionClosed);
                return;
            }
            yield Ok(Bytes::from(event));
        }
    })
}

pub(super) fn plain_answer(id: &str) -> String {
    format!("answer to {id}")
}

fn set_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
