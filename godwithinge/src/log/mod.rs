//! Logging as one stream of JSON lines.

mod bridge;
mod non_blocking;

pub use self::non_blocking::{NonBlockingWriter, ORDINARY_TARGET};

use slog::{Drain, Logger};
use std::{fmt, io};
use strum::{Display, EnumString};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Standard stream that receives the log.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// Standard output.
    #[default]
    Stdout,
    /// Standard error.
    Stderr,
}

/// Filter used if the environment variable `GWI_LOG` is absent or invalid.
const DEFAULT_FILTER: &str = "info,dropshot=warn";
/// Environment variable that holds the filter directives.
const FILTER_ENV_VAR: &str = "GWI_LOG";

/// Error of an initialization: the process already has a global `tracing` subscriber.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AlreadyInitialized;

/// Initializes logging to `stream`. Writes block while the stream's reader is slow.
///
/// # Errors
///
/// Fails if logging is already initialized.
pub fn init(stream: Stream) -> Result<(), AlreadyInitialized> {
    match stream {
        Stream::Stdout => init_with_writer(io::stdout, true),
        Stream::Stderr => init_with_writer(io::stderr, true),
    }
}

/// Initializes logging to standard output through a bounded buffer, so that a slow reader never
/// blocks the process.
///
/// Lines that do not fit into the buffer are dropped and counted, those with target
/// [`ORDINARY_TARGET`] first. Lines do not contain their target.
///
/// # Errors
///
/// Fails if logging is already initialized.
pub fn init_bounded() -> Result<(), AlreadyInitialized> {
    init_with_writer(NonBlockingWriter::start(io::stdout()), false)
}

/// Initializes logging to `writer`; each line contains its target, by default the module path, if
/// `with_target` is set.
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

/// Returns a `slog` logger for dropshot that forwards its records to the same log.
pub fn logger() -> Logger {
    Logger::root(bridge::SlogBridge.fuse(), slog::o!())
}

impl fmt::Display for AlreadyInitialized {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("logging is already initialized")
    }
}

impl std::error::Error for AlreadyInitialized {}
