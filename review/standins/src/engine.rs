//! Stand-ins of engines: plain engines, stage engines and model engines. They do what the pages say
//! of sound engines, but for the disruption that a case asks for.

use crate::{
    Random,
    http::{self, Connection, Message, Server},
    json::{self, Value},
    lock,
    record::Record,
    seed,
    store::Store,
};
use std::{
    collections::{HashMap, HashSet},
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval at which an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// See [`World::silences`].
const IDLE_TIME: Duration = Duration::from_millis(700);

/// Result of a piece, as its maker holds it.
#[derive(Clone, Debug)]
pub struct Product {
    /// Request that the piece belongs to.
    pub request: String,
    pub stage: u64,
    pub piece: u64,
    /// Key of the request's own input, which the result is about.
    pub key: String,
    expires: Instant,
}

/// Results that the stage engines of a case hold, by handle.
pub type Products = Arc<Mutex<HashMap<String, Product>>>;

/// What an engine does.
#[derive(Clone, Debug)]
pub enum Work {
    /// Answers after this time.
    Plain(Duration),
    /// Makes pieces: time for a call and for each piece, and the time for which results are held.
    Stage {
        call: Duration,
        item: Duration,
        hold: Duration,
    },
    /// Streams events: time before the first one, interval and number.
    Model {
        prefill: Duration,
        interval: Duration,
        events: u64,
        needs_inputs: bool,
    },
}

/// A request that an engine has received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: f64,
    pub request: String,
    /// Whether the engine began to work on it.
    pub has_run: bool,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub server: Arc<Server>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Whether it says in all its answers that it leaves.
    is_leaving: AtomicBool,
    /// Whether its entry is kept up to date.
    is_registered: AtomicBool,
    sequence: AtomicU64,
    born: u64,
    store: Arc<Store>,
    /// Rises when all open connections go silent.
    generation: AtomicU64,
}

/// Inside of an engine that its connections share.
struct Core {
    id: String,
    version: String,
    work: Work,
    products: Products,
    record: Arc<Record>,
    engine: Mutex<Option<Arc<Engine>>>,
    /// Number of requests or calls that run or wait.
    load: AtomicUsize,
    is_busy: Mutex<bool>,
    turn: Condvar,
    next_handle: Mutex<Random>,
    extra: Arc<Extra>,
    reached: Arc<Mutex<HashSet<String>>>,
    silences: Arc<Mutex<HashMap<String, Duration>>>,
    /// When the last stage call began or ended.
    last_call: Mutex<Option<Instant>>,
}

/// Dose of second answers: stage engines that are faulty send an answer again, late, at the point
/// where the next answer on the connection is expected.
#[derive(Debug, Default)]
pub struct Extra {
    /// Whether the disruption is on now.
    pub is_on: AtomicBool,
    /// Identifiers of the faulty engines.
    pub engines: Mutex<Vec<String>>,
    /// Share of the faulty engines' answers that are sent twice, in thousandths.
    pub per_mille: AtomicUsize,
    answers: AtomicUsize,
    taken: AtomicUsize,
    pub sent: AtomicUsize,
}

impl Extra {
    /// Counts an answer of a faulty engine and returns whether it may be sent again.
    fn take(&self, id: &str) -> bool {
        if !self.is_on.load(Ordering::SeqCst) || !lock(&self.engines).iter().any(|one| one == id) {
            return false;
        }
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let taken = self.taken.load(Ordering::SeqCst);
        let is_due = (taken + 1) * 1_000 <= answers * self.per_mille.load(Ordering::SeqCst);
        if is_due {
            self.taken.fetch_add(1, Ordering::SeqCst);
        }
        is_due
    }

    /// Returns the number of answers that the faulty engines gave while the disruption was on.
    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::SeqCst)
    }
}

/// Everything that engines of a case share.
#[derive(Clone, Debug)]
pub struct World {
    pub store: Arc<Store>,
    pub products: Products,
    pub record: Arc<Record>,
    pub extra: Arc<Extra>,
    /// Requests that any engine has received, or a piece of which it was asked for.
    pub reached: Arc<Mutex<HashSet<String>>>,
    /// Engines that fall silent for this time when they get a stage call after [`IDLE_TIME`] without one.
    pub silences: Arc<Mutex<HashMap<String, Duration>>>,
}

impl World {
    pub fn new(store: Arc<Store>, record: Arc<Record>) -> Self {
        Self {
            store,
            products: Products::default(),
            record,
            extra: Arc::default(),
            reached: Arc::default(),
            silences: Arc::default(),
        }
    }
}

impl Engine {
    /// Starts an engine and registers it.
    pub fn start(
        world: &World,
        service: &str,
        zone: &str,
        version: &str,
        work: Work,
    ) -> io::Result<Arc<Self>> {
        let id = format!("i-{:010x}", Random::new(seed()).next() >> 24);
        let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0))?;
        let delay = Duration::ZERO;
        Self::start_as(world, (service, zone, version), work, id, listener, delay)
    }

    /// Starts an engine again, under its identifier and address, with another version of its
    /// software. It writes its entry after `delay`, which is less than the interval at which it does.
    pub fn start_again(
        &self,
        world: &World,
        version: &str,
        work: Work,
        delay: Duration,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(self.server.address)?;
        let place = (self.service.as_str(), self.zone.as_str(), version);
        Self::start_as(world, place, work, self.id.clone(), listener, delay)
    }

    fn start_as(
        world: &World,
        (service, zone, version): (&str, &str, &str),
        work: Work,
        id: String,
        listener: TcpListener,
        delay: Duration,
    ) -> io::Result<Arc<Self>> {
        let random = Random::new(seed());
        let core = Arc::new(Core {
            id: id.clone(),
            version: version.into(),
            work,
            products: Arc::clone(&world.products),
            record: Arc::clone(&world.record),
            engine: Mutex::default(),
            load: AtomicUsize::new(0),
            is_busy: Mutex::new(false),
            turn: Condvar::new(),
            next_handle: Mutex::new(random),
            extra: Arc::clone(&world.extra),
            reached: Arc::clone(&world.reached),
            silences: Arc::clone(&world.silences),
            last_call: Mutex::default(),
        });
        let handler = Arc::clone(&core);
        let server = http::serve_on(listener, move |connection| handler.serve(connection))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Self {
            id,
            service: service.into(),
            zone: zone.into(),
            version: version.into(),
            server,
            arrivals: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            is_registered: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            born: born.map_or(0, |born| born.as_millis() as u64),
            store: Arc::clone(&world.store),
            generation: AtomicU64::new(0),
        });
        *lock(&core.engine) = Some(Arc::clone(&engine));
        if delay.is_zero() {
            engine.register();
        }
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            if !delay.is_zero() {
                thread::sleep(delay);
                beating.register();
            }
            loop {
                thread::sleep(HEARTBEAT);
                if !beating.is_registered.load(Ordering::SeqCst) {
                    return;
                }
                beating.register();
            }
        });
        Ok(engine)
    }

    fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.server.address, self.zone, self.version, self.born,
        );
        self.store.write("servers", &self.id, Some(&entry));
    }

    /// Leaves without ever reporting `draining`: its entry is removed, which the store has
    /// acknowledged on return, and all its answers say that it leaves. It goes on serving.
    pub fn leave(&self) {
        self.is_registered.store(false, Ordering::SeqCst);
        self.is_leaving.store(true, Ordering::SeqCst);
        self.store.write("servers", &self.id, None);
    }

    /// Makes all open connections silent for good, without a reset. New ones work.
    pub fn silence_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends as its process would.
    pub fn exit(&self) {
        self.is_registered.store(false, Ordering::SeqCst);
        self.server.stop();
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }
}

/// Counts work as running or waiting until dropped.
struct LoadGuard<'a>(&'a AtomicUsize);

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Core {
    fn engine(&self) -> Option<Arc<Engine>> {
        lock(&self.engine).clone()
    }

    fn generation(&self) -> u64 {
        let engine = self.engine();
        engine.map_or(0, |engine| engine.generation.load(Ordering::SeqCst))
    }

    fn is_leaving(&self) -> bool {
        let engine = self.engine();
        engine.is_some_and(|engine| engine.is_leaving.load(Ordering::SeqCst))
    }

    fn headers(&self, request: &str, slots: usize) -> Vec<(&'static str, String)> {
        let running = self.load.load(Ordering::SeqCst).min(slots);
        let mut headers = vec![
            ("Godwithinge-Server-Stamp", format!("stamp.{}", self.id)),
            ("Godwithinge-Instance-Id", self.id.clone()),
            ("Godwithinge-Instance-Load", format!("{running},0,{slots}")),
        ];
        if !request.is_empty() {
            headers.push(("Godwithinge-Attempt-Id", request.into()));
        }
        if self.is_leaving() {
            headers.push(("Server-Leaving", "1".into()));
        }
        headers
    }

    fn answer(&self, status: u16, request: &str, body: &[u8]) -> Vec<u8> {
        let mut headers = self.headers(request, 64);
        if matches!(status, 400 | 409 | 421 | 503) {
            headers.push(("Godwithinge-Not-Executed", "1".into()));
        }
        let headers: Vec<(&str, &str)> = headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        http::response(status, &headers, body)
    }

    fn serve(&self, connection: &mut Connection) -> io::Result<()> {
        let mut earlier: Option<Vec<u8>> = None;
        let generation = self.generation();
        while let Some(request) = connection.request()? {
            let id = request.header("godwithinge-attempt-id");
            let id = id.unwrap_or_default().to_owned();
            if self.generation() != generation {
                // What is sent on a silent connection reaches nobody.
                let text = format!("{id} is sent to {} on a silent connection", self.id);
                self.record.line(&text);
                continue;
            }
            let expected = request.header("godwithinge-expect-instance");
            let is_expected = expected.is_none_or(|expected| expected == self.id);
            match request.path() {
                "/stage-run" if is_expected => {
                    // The second answer arrives late, where the next answer is expected.
                    if let Some(second) = earlier.take() {
                        self.extra.sent.fetch_add(1, Ordering::SeqCst);
                        self.record
                            .line(&format!("{} sends an answer again", self.id));
                        connection.stream.write_all(&second)?;
                    }
                    let answer = self.run_stage_call(&request);
                    connection.stream.write_all(&answer)?;
                    if self.extra.take(&self.id) {
                        earlier = Some(answer);
                    }
                }
                "/stage-free" => {
                    let body = json::parse(&request.body);
                    let handles = body.as_ref().and_then(|body| body.get("handles"));
                    for handle in handles.map(Value::list).unwrap_or_default() {
                        lock(&self.products).remove(handle.text().unwrap_or_default());
                    }
                    connection.stream.write_all(&self.answer(200, "", b"{}"))?;
                }
                "/healthz" => connection.stream.write_all(&self.answer(200, "", b""))?,
                _ if !is_expected => {
                    self.note(&id, false);
                    connection.stream.write_all(&self.answer(421, &id, b""))?;
                }
                _ => self.run(connection, &request, &id)?,
            }
        }
        Ok(())
    }

    fn note(&self, request: &str, has_run: bool) {
        let at_ms = self.record.now_ms();
        lock(&self.reached).insert(request.into());
        let verb = if has_run { "runs" } else { "rejects" };
        self.record.line(&format!("{} {verb} {request}", self.id));
        if let Some(engine) = self.engine() {
            lock(&engine.arrivals).push(Arrival {
                at_ms,
                request: request.into(),
                has_run,
            });
        }
    }

    fn run(&self, connection: &mut Connection, request: &Message, id: &str) -> io::Result<()> {
        self.load.fetch_add(1, Ordering::SeqCst);
        let _load = LoadGuard(&self.load);
        match &self.work {
            Work::Plain(time) => {
                self.note(id, true);
                thread::sleep(*time);
                let body = format!("answer to {id}\n");
                connection
                    .stream
                    .write_all(&self.answer(200, id, body.as_bytes()))
            }
            Work::Model {
                prefill,
                interval,
                events,
                needs_inputs,
            } => {
                let mut about = String::new();
                if *needs_inputs {
                    let Some(inputs) = request.header("godwithinge-input-count") else {
                        self.note(id, false);
                        return connection.stream.write_all(&self.answer(400, id, b""));
                    };
                    let products = lock(&self.products);
                    let found: Option<Vec<Product>> = inputs
                        .split(',')
                        .map(|handle| products.get(handle.trim()).cloned())
                        .collect();
                    drop(products);
                    let Some(found) = found else {
                        self.note(id, false);
                        return connection.stream.write_all(&self.answer(409, id, b""));
                    };
                    let keys: Vec<String> = found.iter().map(|one| one.key.clone()).collect();
                    about = keys.join(",");
                    for one in found.iter().filter(|one| one.request != id) {
                        self.record.line(&format!(
                            "{id} is given a result of {} (stage {} piece {}) in {inputs}",
                            one.request, one.stage, one.piece
                        ));
                    }
                }
                self.note(id, true);
                thread::sleep(*prefill);
                let last = request.header("last-event-id");
                let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or(0);
                let mut head = String::from(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
                );
                for (name, value) in self.headers(id, 64) {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("\r\n");
                connection.stream.write_all(head.as_bytes())?;
                for number in last + 1..=*events {
                    let event =
                        format!("id: {number}\ndata: {} {about} {number}\n\n", self.version);
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    connection.stream.write_all(chunk.as_bytes())?;
                    thread::sleep(*interval);
                }
                connection.stream.write_all(b"0\r\n\r\n")
            }
            Work::Stage { .. } => connection.stream.write_all(&self.answer(404, id, b"")),
        }
    }

    /// Waits for the engine's only slot, makes the pieces and returns the answer.
    fn run_stage_call(&self, request: &Message) -> Vec<u8> {
        let Work::Stage { call, item, hold } = &self.work else {
            return self.answer(404, "", b"");
        };
        let arrived = Instant::now();
        let body = json::parse(&request.body);
        let items = body.as_ref().and_then(|body| body.get("items"));
        let items = items.map(Value::list).unwrap_or_default();
        for item in items {
            let id = item.get("id").and_then(Value::text).unwrap_or_default();
            lock(&self.reached).insert(id.to_owned());
        }
        // One call runs and two may wait.
        if self.load.fetch_add(1, Ordering::SeqCst) >= 3 {
            self.load.fetch_sub(1, Ordering::SeqCst);
            return self.answer(503, "", b"");
        }
        let _load = LoadGuard(&self.load);
        let mut is_busy = lock(&self.is_busy);
        while *is_busy {
            is_busy = self
                .turn
                .wait(is_busy)
                .unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        *is_busy = true;
        drop(is_busy);
        let sources: Vec<Result<String, &str>> = items
            .iter()
            .map(|one| self.source(one, arrived.elapsed()))
            .collect();
        let last_call = lock(&self.last_call).replace(Instant::now());
        let is_idle = last_call.is_none_or(|last| last.elapsed() > IDLE_TIME);
        let silence = lock(&self.silences).get(&self.id).copied();
        let silence = silence.filter(|_| is_idle);
        if let Some(silence) = silence {
            let text = format!("{} falls silent for {} ms", self.id, silence.as_millis());
            self.record.line(&text);
        }
        thread::sleep(*call + *item * items.len() as u32 + silence.unwrap_or_default());
        let results = items.iter().zip(sources).map(|(one, source)| match source {
            Ok(key) => {
                let handle = self.store_product(one, key, *hold);
                format!("{{\"handle\":{}}}", json::quote(&handle))
            }
            Err(why) => format!("{{\"why\":\"{why}\"}}"),
        });
        let results: Vec<String> = results.collect();
        *lock(&self.last_call) = Some(Instant::now());
        *lock(&self.is_busy) = false;
        self.turn.notify_one();
        self.answer(
            200,
            "",
            format!("{{\"items\":[{}]}}", results.join(",")).as_bytes(),
        )
    }

    /// Returns what a piece is about, or why it can't be made.
    fn source(&self, item: &Value, waited: Duration) -> Result<String, &'static str> {
        let left = item.get("left-ms").and_then(Value::number);
        if left.is_some_and(|left| waited.as_secs_f64() * 1e3 > left) {
            return Err("late");
        }
        if let Some(key) = item.get("key").and_then(Value::text) {
            return Ok(key.to_owned());
        }
        let inputs = item.get("inputs").map(Value::list).unwrap_or_default();
        let mut products = lock(&self.products);
        products.retain(|_, product| Instant::now() < product.expires);
        let request = item.get("id").and_then(Value::text).unwrap_or_default();
        let mut keys = Vec::new();
        for input in inputs {
            let input = input.text().unwrap_or_default();
            let product = products.get(input).ok_or("gone")?;
            if product.request != request {
                self.record.line(&format!(
                    "a piece of {request} is given a result of {}",
                    product.request
                ));
            }
            keys.push(product.key.clone());
        }
        keys.dedup();
        Ok(keys.join("+"))
    }

    fn store_product(&self, item: &Value, key: String, hold: Duration) -> String {
        let address = self
            .engine()
            .map(|engine| engine.server.address.to_string());
        let number = lock(&self.next_handle).next();
        let handle = format!("{}/{number:016x}", address.unwrap_or_default());
        let number = |name| item.get(name).and_then(Value::number).unwrap_or(0.0) as u64;
        let request = item.get("id").and_then(Value::text).unwrap_or_default();
        self.record.line(&format!(
            "{} makes stage {} piece {} of {request}: {handle}",
            self.id,
            number("stage"),
            number("piece")
        ));
        let product = Product {
            request: request.into(),
            stage: number("stage"),
            piece: number("piece"),
            key,
            expires: Instant::now() + hold,
        };
        lock(&self.products).insert(handle.clone(), product);
        handle
    }
}
