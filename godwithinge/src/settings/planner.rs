//! Sections of the planner and of the models that it places.

use super::{
    ErrorKind, MAX_DURATION, MIN_DURATION, duration,
    reader::{Reader, Section},
    value,
};
use policy::{
    id::{AdapterId, ModelId},
    placement::Model,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// What the names of model sections begin with.
const SECTION_PREFIX: &str = "model ";
/// Most models on one engine, engines that change at once, or engines that must hold a model.
const MAX_COUNT: usize = 1000;
/// Highest use of seats, in percent.
const MAX_PERCENT: usize = 100;

/// Limits of the planner daemon.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Address at which the metrics are read.
    pub listen: SocketAddr,
    /// Duration of the lease.
    pub lease: Duration,
    /// Longest time of an order to an engine.
    pub order_timeout: Duration,
    /// Time between two planning rounds.
    pub interval: Duration,
    /// Most models that one engine holds.
    pub models_per_engine: usize,
    /// Most engines that change at once.
    pub max_changes: usize,
    /// Least time between two loads, the region's part of the weight store's rate.
    pub load_interval: Duration,
    /// Longest time that an engine takes to load a model.
    pub load_timeout: Duration,
    /// Longest time that an engine may finish requests before its models change.
    pub drain_timeout: Duration,
    /// Time for which a surplus must last before an engine changes, and between its changes.
    pub cooldown: Duration,
    /// Time constant that demand is smoothed with.
    pub smoothing: Duration,
    /// Age from which a load report no longer counts.
    pub report_ttl: Duration,
    /// Use of a model's seats above which it gets another engine, in percent.
    pub raise_at: usize,
    /// Use of the remaining seats up to which a model gives an engine away, in percent.
    pub lower_at: usize,
    /// What is said of single models.
    pub models: BTreeMap<ModelId, Model>,
}

pub(super) fn read(reader: &mut Reader) -> Option<Planner> {
    let models = read_models(reader);
    let mut section = reader.section("planner");
    let listen = section.address("listen");
    let lease = duration(&mut section, "lease");
    let order_timeout = duration(&mut section, "order_timeout");
    let interval = duration(&mut section, "interval");
    let models_per_engine = section.integer("models_per_engine", 1..=MAX_COUNT);
    let max_changes = section.integer("changes", 1..=MAX_COUNT);
    let load_interval = duration(&mut section, "load_interval");
    let load_timeout = duration(&mut section, "load_timeout");
    let drain_timeout = duration(&mut section, "drain_timeout");
    let cooldown = section.duration("hold", Duration::ZERO..=MAX_DURATION);
    let smoothing = duration(&mut section, "smooth");
    let report_ttl = duration(&mut section, "report_ttl");
    let raise_at = section.integer("raise_at", 1..=MAX_PERCENT);
    let lower_at = read_lower_at(&mut section, raise_at);
    check_lease(&mut section, lease, order_timeout);
    Some(Planner {
        listen: listen?,
        lease: lease?,
        order_timeout: order_timeout?,
        interval: interval?,
        models_per_engine: models_per_engine?,
        max_changes: max_changes?,
        load_interval: load_interval?,
        load_timeout: load_timeout?,
        drain_timeout: drain_timeout?,
        cooldown: cooldown?,
        smoothing: smoothing?,
        report_ttl: report_ttl?,
        raise_at: raise_at?,
        lower_at: lower_at?,
        models,
    })
}

/// Reads the lower bound, which must leave a distance to the upper one.
fn read_lower_at(section: &mut Section<'_>, raise_at: Option<usize>) -> Option<usize> {
    let max = raise_at.unwrap_or(MAX_PERCENT).saturating_sub(1);
    section.integer("lower_at", 0..=max)
}

/// Checks that at least half of the lease is left for orders.
fn check_lease(section: &mut Section<'_>, lease: Option<Duration>, order: Option<Duration>) {
    if let (Some(lease), Some(order)) = (lease, order)
        && order > lease / 2
    {
        section.duration("order_timeout", MIN_DURATION..=(lease / 2));
    }
}

fn read_models(reader: &mut Reader) -> BTreeMap<ModelId, Model> {
    let names = reader.section_names(SECTION_PREFIX);
    names
        .iter()
        .filter_map(|title| read_model(reader, title))
        .collect()
}

fn read_model(reader: &mut Reader, title: &str) -> Option<(ModelId, Model)> {
    let name = title.trim_start_matches(SECTION_PREFIX).trim();
    if !value::is_valid_name(name) {
        let value = name.into();
        let allowed = "name of letters, digits, '-', '_' and '.'".into();
        reader.push_error(title, "", ErrorKind::Invalid { value, allowed });
    }
    let mut section = reader.section(title);
    let min_engines = section.integer("least", 0..=MAX_COUNT);
    let adapters = section.parse("adapters", "names with commas between them", parse_adapters);
    let model = Model {
        min_engines: min_engines?,
        adapters: adapters?,
    };
    Some((name.into(), model))
}

fn parse_adapters(text: &str) -> Option<Vec<AdapterId>> {
    let parts = text.split(',').map(str::trim);
    let parts = parts.filter(|part| !part.is_empty());
    parts
        .map(|part| value::is_valid_name(part).then(|| part.into()))
        .collect()
}
