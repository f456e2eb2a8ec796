//! Logs: one stream of JSON lines.

mod bridge;
mod ring;

pub use self::ring::{ORDINARY, Ring};

use slog::{Drain, Logger};
use std::{fmt, io};
use strum::{Display, EnumString};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

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
    match stream {
        Stream::Stdout => begin(io::stdout, true),
        Stream::Stderr => begin(io::stderr, true),
    }
}

/// Begins to write JSON lines to standard output without ever waiting for its reader.
///
/// Lines that the reader is too slow for are dropped and counted, those of [`ORDINARY`] events first.
///
/// # Errors
///
/// Fails if the process logs already.
pub fn init_bounded() -> Result<(), Begun> {
    begin(Ring::start(io::stdout()), false)
}

/// Begins to write JSON lines to `writer`, with the module that each comes from if `has_module`.
fn begin<W>(writer: W, has_module: bool) -> Result<(), Begun>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE)
        .unwrap_or_else(|_absent| EnvFilter::new(DEFAULT_FILTER));
    let lines = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(has_module)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(writer);
    lines.try_init().map_err(|_cause| Begun)
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
