//! Sections `[pool NAME]`.

use super::{
    ErrorKind, MAX_DURATION, MIN_DURATION,
    reader::{Reader, Section},
    value,
};
use policy::{
    id::ModelId,
    pool::{Kind, Pool},
};

const SECTION_PREFIX: &str = "pool ";
/// Maximum value of `max_tokens`.
const MAX_TOKENS: usize = 1 << 20;

/// Reads all pools; omits invalid ones, whose errors are collected in `reader`.
pub(super) fn read_all(reader: &mut Reader) -> Vec<Pool> {
    let names = reader.section_names(SECTION_PREFIX);
    if names.is_empty() {
        reader.push_error("pool NAME", "", ErrorKind::NoPool);
    }
    names
        .iter()
        .filter_map(|section| read(reader, section))
        .collect()
}

fn read(reader: &mut Reader, title: &str) -> Option<Pool> {
    let name = title.trim_start_matches(SECTION_PREFIX).trim();
    if !value::is_valid_name(name) {
        let value = name.into();
        let allowed = "name of letters, digits, '-', '_' and '.'".into();
        reader.push_error(title, "", ErrorKind::Invalid { value, allowed });
    }
    let mut section = reader.section(title);
    let kind = section.parse("kind", "engine or service", |text| {
        text.parse::<Kind>().ok()
    });
    let idempotent = section.flag("idempotent");
    let lookup = section.flag("lookup");
    let fenced = section.flag("fenced");
    let checkpoint = section.flag("checkpoint");
    let timeout = section.duration("timeout", MIN_DURATION..=MAX_DURATION);
    let idle_timeout = section.duration("silence", MIN_DURATION..=MAX_DURATION);
    let (model, max_tokens) = match kind {
        Some(Kind::Engine) => read_engine(&mut section),
        _ => (Some(ModelId::default()), Some(0)),
    };
    Some(Pool {
        name: name.into(),
        kind: kind?,
        model: model?,
        idempotent: idempotent?,
        lookup: lookup?,
        fenced: fenced?,
        checkpoint: checkpoint?,
        timeout: timeout?,
        idle_timeout: idle_timeout?,
        max_tokens: max_tokens?,
    })
}

fn read_engine(section: &mut Section<'_>) -> (Option<ModelId>, Option<u32>) {
    let model = section.name("model");
    let max_tokens = section.integer("max_tokens", 1..=MAX_TOKENS);
    (
        model,
        max_tokens.and_then(|tokens| u32::try_from(tokens).ok()),
    )
}
