//! Stand-ins of engines: plain ones, model engines that stream events, and engines of stages.

use crate::{
    http::{self, Request},
    store::Store,
};
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const BEAT: Duration = Duration::from_millis(1_200);
/// Time for which a result is stored, as the configurations of the cases state it.
pub const HANDLE_TIME: Duration = Duration::from_secs(4);
const STAGE_QUEUE: usize = 2;

/// What an engine does.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    /// Answers after `work` with `bytes` bytes.
    Plain { work: Duration, bytes: usize },
    /// Streams events, of `bytes` bytes each, with this pause before each.
    Model { pause: Duration, bytes: usize },
    /// Makes pieces: `call` for each call, and `item` for each of its items.
    Stage { call: Duration, item: Duration },
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub engine: String,
    pub service: String,
    pub version: String,
    pub id: String,
    pub request: Request,
}

/// Items of a stage call that an engine worked on.
#[derive(Clone, Debug)]
pub struct StageCall {
    pub at: Instant,
    pub engine: String,
    pub service: String,
    pub items: Vec<Value>,
    /// Handle of each item that has one.
    pub handles: Vec<Option<String>>,
}

/// What all engines of a case have done.
#[derive(Default)]
pub struct World {
    pub runs: Mutex<Vec<Run>>,
    pub calls: Mutex<Vec<StageCall>>,
    /// Stored results: the end of their time, by handle.
    results: Mutex<HashMap<String, Instant>>,
    next_result: AtomicU64,
}

/// Engine that serves until the process ends.
pub struct Engine {
    pub address: SocketAddr,
    pub state: Arc<State>,
}

pub struct State {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    role: Role,
    slots: usize,
    world: Arc<World>,
    address: Mutex<String>,
    running: AtomicUsize,
    stage_turn: Mutex<()>,
    is_draining: AtomicBool,
    has_left: AtomicBool,
    born: u64,
}

impl Engine {
    /// Starts an engine and registers it in the store.
    pub fn start(
        world: &Arc<World>,
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
        role: Role,
    ) -> Self {
        let slots = match role {
            Role::Plain { .. } => 6,
            Role::Model { .. } => 64,
            Role::Stage { .. } => 1,
        };
        let state = Arc::new(State {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            version: version.into(),
            role,
            slots,
            world: Arc::clone(world),
            address: Mutex::default(),
            running: AtomicUsize::new(0),
            stage_turn: Mutex::new(()),
            is_draining: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64,
        });
        let served = Arc::clone(&state);
        let address = http::serve(http::bind(), move |request, stream| {
            served.answer(request, stream)
        });
        *state.address.lock().unwrap() = address.to_string();
        let (beating, store) = (Arc::clone(&state), store.clone());
        beating.beat(&store, 1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(BEAT);
                if beating.has_left.load(Ordering::SeqCst) {
                    return;
                }
                beating.beat(&store, sequence);
            }
        });
        Self { address, state }
    }
}

impl State {
    fn beat(&self, store: &Store, sequence: u64) {
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let entry = json!({
            "service": self.service, "address": *self.address.lock().unwrap(), "zone": self.zone,
            "version": self.version, "slots": self.slots, "sequence": sequence, "born": self.born,
            "state": if is_draining { "draining" } else { "ready" }, "cold-remaining-ms": 0,
        });
        store.put("servers", &self.id, &entry);
    }

    fn answer(&self, request: Request, stream: &mut TcpStream) -> io::Result<()> {
        match request.path() {
            "/report" => return self.report(stream),
            "/healthz" => {
                let fields = [("Godwithinge-Instance-Id", self.id.as_str())];
                return http::respond(stream, "200 OK", &fields, b"");
            }
            _ => {}
        }
        let expected = request.head.field("godwithinge-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.refuse(stream, "421 Misdirected Request", &request);
        }
        match (self.role, request.path()) {
            (Role::Stage { call, item }, "/stage-run") => self.make(call, item, &request, stream),
            (Role::Stage { .. }, "/stage-free") => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let mut results = self.world.results.lock().unwrap();
                for handle in body["handles"].as_array().into_iter().flatten() {
                    results.remove(handle.as_str().unwrap_or_default());
                }
                drop(results);
                http::respond(stream, "200 OK", &[], b"")
            }
            (Role::Stage { .. }, _) => self.refuse(stream, "400 Bad Request", &request),
            (Role::Plain { .. } | Role::Model { .. }, _) => self.run(request, stream),
        }
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let running = self.running.load(Ordering::SeqCst);
        let report = json!({
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": false,
            "sequence": 0, "waiting": 0, "running": running, "kv-used": 0, "kv-total": 370_000,
            "handles": 0, "born": self.born, "state": "ready",
        });
        let fields = [("Content-Type", "application/json")];
        http::respond(stream, "200 OK", &fields, report.to_string().as_bytes())
    }

    fn refuse(&self, stream: &mut TcpStream, status: &str, request: &Request) -> io::Result<()> {
        let id = request
            .head
            .field("godwithinge-attempt-id")
            .unwrap_or_default();
        let fields = [
            ("Godwithinge-Not-Executed", "1"),
            ("Godwithinge-Instance-Id", self.id.as_str()),
            ("Godwithinge-Attempt-Id", id),
        ];
        http::respond(stream, status, &fields, b"")
    }

    /// Runs a request of a client.
    fn run(&self, request: Request, stream: &mut TcpStream) -> io::Result<()> {
        let Some(id) = request
            .head
            .field("godwithinge-attempt-id")
            .map(str::to_owned)
        else {
            return self.refuse(stream, "400 Bad Request", &request);
        };
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let _slot = Slot(&self.running);
        if running >= self.slots * 4 {
            return self.refuse(stream, "503 Service Unavailable", &request);
        }
        let inputs = request
            .head
            .field("godwithinge-input-count")
            .unwrap_or_default();
        let mut inputs = inputs.split(',').filter(|handle| !handle.is_empty());
        if inputs.any(|handle| !self.world.has_result(handle)) {
            return self.refuse(stream, "409 Conflict", &request);
        }
        let deadline = request.head.field("godwithinge-deadline-ms");
        let deadline = deadline.and_then(|millis| millis.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(20_000));
        self.world.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            engine: self.id.clone(),
            service: self.service.clone(),
            version: self.version.clone(),
            id: id.clone(),
            request: request.clone(),
        });
        let stamp = format!("stamp.{}.{}", self.id, id);
        let load = format!("{},0,{}", running + 1, self.slots);
        let fields = [
            ("Godwithinge-Attempt-Id", id.as_str()),
            ("Godwithinge-Server-Stamp", stamp.as_str()),
            ("Godwithinge-Instance-Load", load.as_str()),
        ];
        match self.role {
            Role::Plain { work, bytes } => {
                thread::sleep(work);
                let mut body = format!("answer of {} to {id} ", self.id).into_bytes();
                body.resize(body.len().max(bytes), b'.');
                http::respond(stream, "200 OK", &fields, &body)
            }
            Role::Model { pause, bytes } => {
                self.stream(&request, stream, &fields, pause, bytes, deadline)
            }
            Role::Stage { .. } => Ok(()),
        }
    }

    fn stream(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        fields: &[(&str, &str)],
        pause: Duration,
        bytes: usize,
        deadline: Instant,
    ) -> io::Result<()> {
        let counts = request
            .head
            .field("godwithinge-token-counts")
            .unwrap_or_default();
        let events = counts
            .split(',')
            .nth(1)
            .and_then(|count| count.trim().parse().ok());
        let events: u64 = events.unwrap_or(10);
        let last = request
            .head
            .field("last-event-id")
            .and_then(|last| last.parse().ok());
        let last: u64 = last.unwrap_or(0);
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        stream.write_all(format!("{head}\r\n").as_bytes())?;
        for number in last + 1..=events {
            thread::sleep(pause);
            if Instant::now() >= deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let mut event = format!(
                "id: {number}\ndata: {} {} part {number} ",
                self.service, self.version
            );
            while event.len() < bytes {
                event.push('.');
            }
            event.push_str("\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Makes the pieces of a stage call.
    fn make(
        &self,
        call: Duration,
        item_time: Duration,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let arrived = Instant::now();
        let waiting = self.running.fetch_add(1, Ordering::SeqCst);
        let _slot = Slot(&self.running);
        if waiting > STAGE_QUEUE {
            return self.refuse(stream, "503 Service Unavailable", request);
        }
        let _turn = self.stage_turn.lock().unwrap();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let items = body["items"].as_array().cloned().unwrap_or_default();
        let started = Instant::now();
        thread::sleep(call + item_time * items.len() as u32);
        let answers: Vec<Value> = items
            .iter()
            .map(|item| {
                let left = item["left-ms"].as_u64().map(Duration::from_millis);
                if left.is_some_and(|left| started.duration_since(arrived) > left) {
                    return json!({"why": "late"});
                }
                let mut inputs = item["inputs"].as_array().into_iter().flatten();
                if inputs.any(|input| !self.world.has_result(input.as_str().unwrap_or_default())) {
                    return json!({"why": "gone"});
                }
                json!({"handle": self.world.store_result(&self.address.lock().unwrap())})
            })
            .collect();
        let handles = answers
            .iter()
            .map(|answer| answer["handle"].as_str().map(str::to_owned));
        self.world.calls.lock().unwrap().push(StageCall {
            at: started,
            engine: self.id.clone(),
            service: self.service.clone(),
            items,
            handles: handles.collect(),
        });
        let fields = [
            ("Content-Type", "application/json"),
            ("Godwithinge-Instance-Load", "1,0,1"),
        ];
        let body = json!({"items": answers}).to_string();
        http::respond(stream, "200 OK", &fields, body.as_bytes())
    }
}

impl World {
    fn has_result(&self, handle: &str) -> bool {
        let results = self.results.lock().unwrap();
        results.get(handle).is_some_and(|end| Instant::now() < *end)
    }

    fn store_result(&self, address: &str) -> String {
        let number = self.next_result.fetch_add(1, Ordering::SeqCst);
        let digest = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let handle = format!("{address}/{digest:016x}");
        let end = Instant::now() + HANDLE_TIME;
        self.results.lock().unwrap().insert(handle.clone(), end);
        handle
    }
}

struct Slot<'a>(&'a AtomicUsize);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
