//! Logs: one stream of JSON lines.

mod bridge;
mod ring;

use slog::{Drain, Logger};
use std::{fmt, io};
use strum::{Display, EnumString};
use tracing_subscriber::EnvFilter;

/// Stream that log lines go to.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// Standard output.
    #[default]
    Stdout,
    /// Standard error.
    Stderr,
}

/// Lines that are logged unless the environment variable `GWI_LOG` says otherwise.
const DEFAULT_FILTER: &str = "info,dropshot=warn";
/// Environment variable with the filter of log lines.
const FILTER_VARIABLE: &str = "GWI_LOG";

/// Logging was begun before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Begun;

/// Begins to write JSON lines to `stream`.
///
/// # Errors
///
/// Fails if the process logs already.
pub fn init(stream: Stream) -> Result<(), Begun> {
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE)
        .unwrap_or_else(|_absent| EnvFilter::new(DEFAULT_FILTER));
    let lines = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter);
    let begun = match stream {
        Stream::Stdout => lines.with_writer(io::stdout).try_init(),
        Stream::Stderr => lines.with_writer(io::stderr).try_init(),
    };
    begun.map_err(|_cause| Begun)
}

/// Begins to write JSON lines to standard output without ever waiting for its reader.
///
/// Lines that the reader is too slow for are dropped and counted.
///
/// # Errors
///
/// Fails if the process logs already.
pub fn init_bounded() -> Result<(), Begun> {
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE)
        .unwrap_or_else(|_absent| EnvFilter::new(DEFAULT_FILTER));
    let ring = ring::Ring::start(io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(move || ring.clone())
        .try_init()
        .map_err(|_cause| Begun)
}

/// Returns a logger for dropshot whose lines join the stream.
pub fn logger() -> Logger {
    Logger::root(bridge::Bridge.fuse(), slog::o!())
}

impl fmt::Display for Begun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the process logs already")
    }
}

impl std::error::Error for Begun {}
