//! HTTP interface of an engine's fake.

use super::{
    cache::{self, Cache},
    order::Orders,
    settings::{Counters, Settings},
};
use crate::{
    batch::Batch,
    http::{ConnectionClosed, Handler, Reply, ServerHandle, query, reply},
    run::Run,
};
use bytes::Bytes;
use compact_str::CompactString;
use hyper::{Method, Request, StatusCode};
use policy::id::BlockHash;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::json;
use std::{
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::watch;

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) settings: watch::Sender<Settings>,
    pub(super) server_handle: Arc<ServerHandle>,
    pub(super) batch: Arc<Batch>,
    state: Mutex<State>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) counters: Counters,
    pub(super) runs: Vec<Run>,
    pub(super) orders: Orders,
    rng: ChaCha8Rng,
    cache: Cache,
}

/// Body of a request for the cached part of a prompt.
#[derive(Deserialize)]
struct Export {
    prompt: String,
}

impl Engine {
    pub(super) fn new(settings: Settings, server_handle: Arc<ServerHandle>) -> Self {
        let state = State {
            counters: Counters::default(),
            runs: Vec::new(),
            orders: Orders::new(&settings),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            cache: Cache::new(settings.cache_blocks),
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
        self.state().cache.set_capacity(settings.cache_blocks);
        settings
    }

    pub(super) fn chill(&self) {
        self.state().cache.clear();
    }

    pub(super) fn counters(&self) -> Counters {
        self.state().counters
    }

    pub(super) fn take_runs(&self) -> Vec<Run> {
        mem::take(&mut self.state().runs)
    }

    pub(super) fn warm(&self) -> Vec<CompactString> {
        self.state().orders.warm()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many blocks of a prompt are cached.
    pub(super) fn cached(&self, blocks: &[BlockHash]) -> usize {
        self.state().cache.held(blocks)
    }

    /// Caches the blocks of a prompt.
    pub(super) fn cache(&self, blocks: &[BlockHash]) {
        let lost = self.settings.borrow().lose_cache_events;
        let state = &mut *self.state();
        state.cache.store(blocks, lost, &mut state.rng);
    }

    fn load(&self) -> Reply {
        let settings = self.settings();
        let age = Duration::from_millis(settings.report_delay_ms);
        let load = self.batch.load(age);
        let state = self.state();
        reply::ok(&json!({
            "running": load.running,
            "waiting": load.waiting,
            "width": settings.width,
            "tokens_per_second": settings.tokens_per_second / settings.faults.slow.max(f64::EPSILON),
            "prefill_per_second": settings.prefill_per_second / settings.faults.slow.max(f64::EPSILON),
            "age_ms": settings.report_delay_ms,
            "models": state.orders.warm(),
            "adapters": state.orders.adapters(),
            "role": state.orders.role(),
        }))
    }

    fn cache_events(&self, request: &Request<Bytes>) -> Reply {
        let after = query::parameter(request.uri(), "after");
        let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        let delay = Duration::from_millis(self.settings.borrow().cache_delay_ms);
        reply::ok(&self.state().cache.events(after, delay))
    }

    fn export(&self, body: &[u8]) -> Reply {
        let Ok(export) = serde_json::from_slice::<Export>(body) else {
            return malformed();
        };
        let blocks = cache::blocks(&export.prompt);
        let held = self.cached(&blocks);
        let held = blocks.iter().take(held);
        let bytes: Vec<u8> = held.flat_map(|block| block.to_le_bytes()).collect();
        reply::bytes(StatusCode::OK, bytes)
    }

    fn import(&self, body: &[u8]) -> Reply {
        let (chunks, rest) = body.as_chunks();
        if !rest.is_empty() {
            return malformed();
        }
        let blocks: Vec<_> = chunks
            .iter()
            .map(|chunk| BlockHash::from_le_bytes(*chunk))
            .collect();
        self.cache(&blocks);
        reply::ok(&json!({"blocks": blocks.len()}))
    }
}

impl Handler for Engine {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, ConnectionClosed> {
        let reply = match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/completions") => self.complete(&request),
            (&Method::GET, "/load") => self.load(),
            (&Method::GET, "/cache") => self.cache_events(&request),
            (&Method::POST, "/orders") => self.order(request.body()),
            (&Method::POST, "/kv/export") => self.export(request.body()),
            (&Method::POST, "/kv/import") => self.import(request.body()),
            _ => reply::not_found(),
        };
        Ok(reply)
    }
}

/// Returns the reply to a body that can't be read.
pub(super) fn malformed() -> Reply {
    let message = "the body is not what this path takes";
    reply::error(StatusCode::BAD_REQUEST, "malformed", message)
}
