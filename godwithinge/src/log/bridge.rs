//! Bridge from `slog`, which dropshot logs to, to `tracing`.

use serde_json::{Map, Value};
use slog::{Drain, KV, Key, Level, OwnedKVList, Record, Serializer};
use std::{convert::Infallible, fmt};

/// Drain that emits each record as a `tracing` event with target `dropshot`.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlogBridge;

/// Key-value pairs of a record; all values are formatted as strings.
#[derive(Debug, Default)]
struct KeyValues(Map<String, Value>);

impl Drain for SlogBridge {
    type Ok = ();
    type Err = Infallible;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Infallible> {
        let level = record.level();
        if !is_enabled(level) {
            return Ok(());
        }
        let mut pairs = KeyValues::default();
        // `KeyValues` never returns an error.
        let _ = values.serialize(record, &mut pairs);
        let _ = record.kv().serialize(record, &mut pairs);
        emit(level, &record.msg().to_string(), &Value::from(pairs.0));
        Ok(())
    }
}

impl Serializer for KeyValues {
    fn emit_arguments(&mut self, key: Key, val: &fmt::Arguments<'_>) -> slog::Result {
        self.0.insert(key.into(), val.to_string().into());
        Ok(())
    }
}

fn is_enabled(level: Level) -> bool {
    match level {
        Level::Critical | Level::Error => {
            tracing::enabled!(target: "dropshot", tracing::Level::ERROR)
        }
        Level::Warning => tracing::enabled!(target: "dropshot", tracing::Level::WARN),
        Level::Info => tracing::enabled!(target: "dropshot", tracing::Level::INFO),
        Level::Debug => tracing::enabled!(target: "dropshot", tracing::Level::DEBUG),
        Level::Trace => tracing::enabled!(target: "dropshot", tracing::Level::TRACE),
    }
}

fn emit(level: Level, message: &str, pairs: &Value) {
    match level {
        Level::Critical | Level::Error => {
            tracing::error!(target: "dropshot", %pairs, "{message}");
        }
        Level::Warning => tracing::warn!(target: "dropshot", %pairs, "{message}"),
        Level::Info => tracing::info!(target: "dropshot", %pairs, "{message}"),
        Level::Debug => tracing::debug!(target: "dropshot", %pairs, "{message}"),
        Level::Trace => tracing::trace!(target: "dropshot", %pairs, "{message}"),
    }
}
