//! Logs: one stream of JSON lines.

mod bridge;
mod non_blocking;

pub use self::non_blocking::{NonBlockingWriter, ORDINARY_TARGET};

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
const FILTER_ENV_VAR: &str = "GWI_LOG";

/// Logging was begun before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AlreadyInitialized;

/// Begins to write JSON lines to `stream`.
///
/// # Errors
///
/// Fails if the process logs already.
pub fn init(stream: Stream) -> Result<(), AlreadyInitialized> {
    match stream {
        Stream::Stdout => init_with_writer(io::stdout, true),
        Stream::Stderr => init_with_writer(io::stderr, true),
    }
}

/// Begins to write JSON lines to standard output without ever waiting for its reader.
///
/// Lines that the reader is too slow for are dropped and counted, those of [`ORDINARY_TARGET`] events first.
///
/// # Errors
///
/// Fails if the process logs already.
pub fn init_bounded() -> Result<(), AlreadyInitialized> {
    init_with_writer(NonBlockingWriter::start(io::stdout()), false)
}

/// Begins to write JSON lines to `writer`, with the module that each comes from if `with_target`.
fn init_with_writer<W>(writer: W, with_target: bool) -> Result<(), AlreadyInitialized>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_from_env(FILTER_ENV_VAR)
        .unwrap_or_else(|_absent_or_invalid| EnvFilter::new(DEFAULT_FILTER));
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(with_target)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(writer);
    subscriber.try_init().map_err(|_cause| AlreadyInitialized)
}

/// Returns a logger for dropshot whose lines join the stream.
pub fn logger() -> Logger {
    Logger::root(bridge::SlogBridge.fuse(), slog::o!())
}

impl fmt::Display for AlreadyInitialized {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the process logs already")
    }
}

impl std::error::Error for AlreadyInitialized {}
