//! Section `[planner]` and sections `[model NAME]`.

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

const SECTION_PREFIX: &str = "model ";
/// Maximum value of `models_per_engine`, `changes` and `least`.
const MAX_COUNT: usize = 1000;
/// Maximum value of `raise_at`, in percent.
const MAX_PERCENT: usize = 100;

/// Limits and intervals of the planner daemon, and constraints on the placement of models.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Listen address of the metrics endpoint.
    pub listen: SocketAddr,
    /// Duration of the region's lease; at least twice `order_timeout`.
    pub lease: Duration,
    /// Maximum duration of an order to an engine.
    pub order_timeout: Duration,
    /// Interval between planning rounds.
    pub interval: Duration,
    /// Maximum number of models loaded on one engine.
    pub models_per_engine: usize,
    /// Maximum number of engines whose models change at the same time (key `changes`).
    pub max_changes: usize,
    /// Minimum interval between model loads: the region's share of the weight store's rate.
    pub load_interval: Duration,
    /// Maximum time for an engine to load a model.
    pub load_timeout: Duration,
    /// Maximum time for an engine to finish its requests before its models change.
    pub drain_timeout: Duration,
    /// Time for which surplus capacity must persist before an engine is reassigned, and minimum
    /// time between reassignments of one engine (key `hold`).
    pub cooldown: Duration,
    /// Time constant of the smoothing of demand (key `smooth`).
    pub smoothing: Duration,
    /// Age from which a load report is ignored.
    pub report_ttl: Duration,
    /// Requests per slot above which a model gets another engine, in percent.
    pub raise_at: usize,
    /// Requests per remaining slot up to which a model releases an engine, in percent. Less than
    /// `raise_at`, which leaves a margin between the two thresholds.
    pub lower_at: usize,
    /// Constraints from sections `[model NAME]`. A model of an engine pool without such a
    /// section is kept on at least one engine, without adapters.
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

/// Reads `lower_at`, which must be less than `raise_at`.
fn read_lower_at(section: &mut Section<'_>, raise_at: Option<usize>) -> Option<usize> {
    let max = raise_at.unwrap_or(MAX_PERCENT).saturating_sub(1);
    section.integer("lower_at", 0..=max)
}

/// Checks that an order takes at most half of the lease. Reads `order_timeout` again with the
/// tighter range to report the error.
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
    let adapters = section.parse("adapters", "comma-separated names", parse_adapters);
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
