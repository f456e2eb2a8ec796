//! Entry daemon, which accepts requests from callers and runs them.

use godwithinge::{
    entry::Running,
    log,
    settings::{self, Settings},
};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

mod flags {
    use godwithinge::log::Stream;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Accepts requests from callers and runs them.
        cmd gwi-entry {
            /// Settings file in INI format.
            optional --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
            /// Print the version and exit.
            optional --version
            /// Stream of log lines: stdout or stderr.
            optional --log stream: Stream
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::GwiEntry::from_env_or_exit();
    if flags.version {
        println!("gwi-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = flags.settings else {
        eprintln!("gwi-entry: flag --settings is required");
        return ExitCode::from(settings::EXIT_STATUS);
    };
    let settings = match Settings::from_file(&file) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(settings::EXIT_STATUS);
        }
    };
    if flags.check {
        println!("{}: settings are valid", file.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = log::init(flags.log.unwrap_or_default()) {
        eprintln!("gwi-entry: {error}");
        return ExitCode::FAILURE;
    }
    run(settings)
}

#[tokio::main]
async fn run(settings: Settings) -> ExitCode {
    match serve(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(failure = %error, "entry failed");
            ExitCode::FAILURE
        }
    }
}

/// Serves requests until a signal or an operator has drained the daemon.
///
/// On a draining daemon, a further signal logs the requests in flight.
async fn serve(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = Running::start(settings).await?;
    let daemon = running.daemon().clone();
    let ended = running.wait();
    tokio::pin!(ended);
    loop {
        tokio::select! {
            () = &mut ended => return Ok(()),
            _ = terminate.recv() => daemon.drain(),
            _ = interrupt.recv() => daemon.drain(),
        };
    }
}
