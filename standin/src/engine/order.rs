//! Orders to load models and adapters and to change role.

use super::{
    api::{Engine, malformed},
    settings::Settings,
};
use crate::{
    fetch,
    http::{Reply, reply},
};
use compact_str::CompactString;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Pause before the weight store is asked again.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(100);

/// What an engine was last ordered to hold.
#[derive(Debug)]
pub(super) struct Orders {
    fence: u64,
    models: BTreeMap<CompactString, Warmth>,
    adapters: Vec<CompactString>,
    role: CompactString,
}

/// State of a model at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Warmth {
    Loading,
    Warm,
}

/// Body of an order.
#[derive(Deserialize)]
struct Order {
    #[serde(default)]
    fence: u64,
    seen: Option<BTreeSet<CompactString>>,
    models: BTreeSet<CompactString>,
    #[serde(default)]
    adapters: Vec<CompactString>,
    role: Option<CompactString>,
}

impl Orders {
    pub(super) fn new(settings: &Settings) -> Self {
        let warm = |model: &CompactString| (model.clone(), Warmth::Warm);
        Self {
            fence: 0,
            models: settings.models.iter().map(warm).collect(),
            adapters: Vec::new(),
            role: settings.role.clone(),
        }
    }

    pub(super) fn warm(&self) -> Vec<CompactString> {
        let warm = self
            .models
            .iter()
            .filter(|(_, warmth)| **warmth == Warmth::Warm);
        warm.map(|(model, _)| model.clone()).collect()
    }

    pub(super) fn adapters(&self) -> &[CompactString] {
        &self.adapters
    }

    pub(super) fn role(&self) -> &CompactString {
        &self.role
    }

    /// Returns a refusal of an order, if there is a reason for one.
    fn refusal(&self, order: &Order, fenced: bool) -> Option<Reply> {
        if fenced && order.fence < self.fence {
            let body = json!({"fence": self.fence});
            return Some(reply::json(StatusCode::CONFLICT, &body));
        }
        let held: BTreeSet<_> = self.models.keys().cloned().collect();
        if order.seen.as_ref().is_some_and(|seen| *seen != held) {
            let body = json!({"models": held});
            return Some(reply::json(StatusCode::PRECONDITION_FAILED, &body));
        }
        None
    }

    /// Follows an order and returns the models that are to be loaded.
    fn follow(&mut self, order: Order) -> Vec<CompactString> {
        self.fence = self.fence.max(order.fence);
        self.models.retain(|model, _| order.models.contains(model));
        let mut cold = Vec::new();
        for model in order.models {
            if !self.models.contains_key(&model) {
                self.models.insert(model.clone(), Warmth::Loading);
                cold.push(model);
            }
        }
        self.adapters = order.adapters;
        if let Some(role) = order.role {
            self.role = role;
        }
        cold
    }

    fn loaded(&mut self, model: &CompactString) {
        if let Some(warmth) = self.models.get_mut(model) {
            *warmth = Warmth::Warm;
        }
    }
}

impl Engine {
    pub(super) fn order(self: Arc<Self>, body: &[u8]) -> Reply {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return malformed();
        };
        let fenced = self.settings.borrow().fenced;
        let cold = {
            let mut state = self.state();
            if let Some(refusal) = state.orders.refusal(&order, fenced) {
                state.counters.refused_orders += 1;
                return refusal;
            }
            state.counters.orders += 1;
            state.orders.follow(order)
        };
        for model in cold {
            self.server_handle
                .spawn(Arc::clone(&self).load_model(model));
        }
        let models: Vec<_> = self.state().orders.models.keys().cloned().collect();
        reply::ok(&json!({"models": models}))
    }

    async fn load_model(self: Arc<Self>, model: CompactString) {
        let (store, load) = {
            let settings = self.settings.borrow();
            let load = Duration::from_millis(settings.load_ms);
            (settings.weights, settings.faults.scale(load))
        };
        if let Some(store) = store {
            while fetch::get(store, &format!("/v1/weights/{model}"))
                .await
                .is_err()
            {
                tokio::time::sleep(WEIGHTS_PAUSE).await;
            }
        }
        tokio::time::sleep(load).await;
        let mut state = self.state();
        state.counters.loads += 1;
        state.orders.loaded(&model);
    }
}
