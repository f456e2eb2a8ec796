//! Planner daemon, which places models on the engines of a region.

use godwithinge::{
    log,
    planner::{self, Planner},
    settings::{self, Settings},
};
use std::{error::Error, process::ExitCode};
use tokio::signal::unix::{Signal, SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

mod flags {
    use godwithinge::log::Stream;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Places models on the engines of a region.
        cmd gwi-planner {
            /// Settings file in INI format.
            optional --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
            /// Print the orders of the next hour as JSON, without giving them, and exit.
            optional --dry-run
            /// Print the version and exit.
            optional --version
            /// Stream of log lines: stdout or stderr.
            optional --log stream: Stream
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::GwiPlanner::from_env_or_exit();
    if flags.version {
        println!("gwi-planner {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = flags.settings else {
        eprintln!("gwi-planner: flag --settings is required");
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
    if flags.dry_run {
        return dry_run(&settings);
    }
    if let Err(error) = log::init(flags.log.unwrap_or_default()) {
        eprintln!("gwi-planner: {error}");
        return ExitCode::FAILURE;
    }
    run(settings)
}

#[tokio::main(flavor = "current_thread")]
async fn dry_run(settings: &Settings) -> ExitCode {
    match planner::preview(settings).await {
        Ok(orders) => {
            for order in orders {
                println!("{}", serde_json::json!(order));
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("gwi-planner: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(settings: Settings) -> ExitCode {
    match run_planner(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(failure = %error, "planner failed");
            ExitCode::FAILURE
        }
    }
}

/// Runs the planner until SIGTERM or SIGINT.
async fn run_planner(settings: Settings) -> Result<(), Box<dyn Error>> {
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let planner = Planner::new(settings)?;
    Ok(planner.run(shutdown_signal(terminate, interrupt)).await?)
}

async fn shutdown_signal(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
