//! Runs one fake as a process of its own.

use mimalloc::MiMalloc;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;
use standin::{
    control::{self, Controllable},
    engine,
    http::ServerHandle,
    patch, platform, service,
};
use std::{fmt, io, net::SocketAddr, process::ExitCode, sync::Arc};

#[global_allocator]
static GLOBAL: MiMalloc = MiMalloc;

/// Exit status after a crash that a payload caused.
const CRASHED: u8 = 70;

/// Exit status for a command line that can't be followed.
const USAGE: u8 = 2;

mod flags {
    xflags::xflags! {
        /// Runs a small fake of a system around godwithinge on 127.0.0.1.
        ///
        /// Prints a JSON line with its addresses once it listens. `POST /control` at the
        /// control address sets faults; docs/PROTOCOLS.md names them.
        cmd gwi-standin {
            /// Prints the version.
            optional --version

            /// Prints the version.
            default cmd version {}

            /// Runs a fake of the platform.
            cmd platform {
                /// Port of 127.0.0.1; 0, the default, takes a free one.
                optional -p,--port port: u16
                /// Port of 127.0.0.1 for `/control`; 0, the default, takes a free one.
                optional --control-port control_port: u16
                /// Settings and faults as a JSON object.
                optional --set json: String
            }

            /// Runs a fake of a model engine.
            cmd engine {
                /// Port of 127.0.0.1; 0, the default, takes a free one.
                optional -p,--port port: u16
                /// Port of 127.0.0.1 for `/control`; 0, the default, takes a free one.
                optional --control-port control_port: u16
                /// Pool that the engine belongs to.
                optional --pool pool: String
                /// Name of the target.
                optional -n,--name name: String
                /// Settings and faults as a JSON object.
                optional --set json: String
            }

            /// Runs a fake of a plain service.
            cmd service {
                /// Port of 127.0.0.1; 0, the default, takes a free one.
                optional -p,--port port: u16
                /// Port of 127.0.0.1 for `/control`; 0, the default, takes a free one.
                optional --control-port control_port: u16
                /// Pool that the service belongs to.
                optional --pool pool: String
                /// Name of the target.
                optional -n,--name name: String
                /// Settings and faults as a JSON object.
                optional --set json: String
            }
        }
    }
}

/// Why the fake did not start.
#[derive(Debug)]
enum Error {
    /// The settings on the command line are invalid.
    Settings(serde_json::Error),
    /// A port can't be bound, or the address can't be printed.
    Io(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(error) => write!(f, "invalid settings in --set: {error}"),
            Self::Io(error) => write!(f, "can't listen on 127.0.0.1: {error}"),
        }
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::GwiStandin::from_env_or_exit();
    match run(flags).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("gwi-standin: {error}");
            ExitCode::from(USAGE)
        }
    }
}

async fn run(flags: flags::GwiStandin) -> Result<ExitCode, Error> {
    match flags.subcommand {
        _ if flags.version => Ok(print_version()),
        flags::GwiStandinCmd::Version(_) => Ok(print_version()),
        flags::GwiStandinCmd::Platform(flags) => run_platform(flags).await,
        flags::GwiStandinCmd::Engine(flags) => run_engine(flags).await,
        flags::GwiStandinCmd::Service(flags) => run_service(flags).await,
    }
}

fn print_version() -> ExitCode {
    println!("gwi-standin {}", env!("CARGO_PKG_VERSION"));
    ExitCode::SUCCESS
}

async fn run_platform(flags: flags::Platform) -> Result<ExitCode, Error> {
    let mut settings = settings(platform::Settings::default(), flags.set.as_deref())?;
    settings.port = flags.port.unwrap_or(settings.port);
    let server = Arc::new(platform::start(settings).await?);
    let server_handle = Arc::clone(server.server_handle());
    serve(
        "platform",
        server.address(),
        server,
        server_handle,
        flags.control_port,
    )
    .await
}

async fn run_engine(flags: flags::Engine) -> Result<ExitCode, Error> {
    let mut settings = settings(engine::Settings::default(), flags.set.as_deref())?;
    settings.port = flags.port.unwrap_or(settings.port);
    settings.pool = flags.pool.map_or(settings.pool, Into::into);
    settings.target = flags.name.map_or(settings.target, Into::into);
    let server = Arc::new(engine::start(settings).await?);
    let server_handle = Arc::clone(server.server_handle());
    serve(
        "engine",
        server.address(),
        server,
        server_handle,
        flags.control_port,
    )
    .await
}

async fn run_service(flags: flags::Service) -> Result<ExitCode, Error> {
    let mut settings = settings(service::Settings::default(), flags.set.as_deref())?;
    settings.port = flags.port.unwrap_or(settings.port);
    settings.pool = flags.pool.map_or(settings.pool, Into::into);
    settings.target = flags.name.map_or(settings.target, Into::into);
    let server = Arc::new(service::start(settings).await?);
    let server_handle = Arc::clone(server.server_handle());
    serve(
        "service",
        server.address(),
        server,
        server_handle,
        flags.control_port,
    )
    .await
}

fn settings<T>(settings: T, patch: Option<&str>) -> Result<T, Error>
where
    T: Serialize + DeserializeOwned,
{
    match patch {
        Some(patch) => patch::apply(&settings, patch.as_bytes()).map_err(Error::Settings),
        None => Ok(settings),
    }
}

/// Prints the addresses and waits until the fake crashes or the process is ended.
async fn serve<T: Controllable>(
    kind: &str,
    address: SocketAddr,
    server: Arc<T>,
    server_handle: Arc<ServerHandle>,
    control_port: Option<u16>,
) -> Result<ExitCode, Error> {
    let control = control::start(control_port.unwrap_or(0), server).await?;
    let line = json!({
        "kind": kind,
        "address": address,
        "control": control.address(),
    });
    println!("{line}");
    tokio::select! {
        () = server_handle.terminated() => Ok(ExitCode::from(CRASHED)),
        ended = tokio::signal::ctrl_c() => Ok(ended.map(|()| ExitCode::SUCCESS)?),
    }
}
