//! Offers load to entries and prints what it measures, as JSON.

use compact_str::CompactString;
use mimalloc::MiMalloc;
use standin::{
    fleet::Name,
    load::{self, Bar, Plan, Report, Rule, Scenario},
    slopes::{self, Slope},
};
use std::{
    env, fmt, fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};
use strum::IntoEnumIterator;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static GLOBAL: MiMalloc = MiMalloc;

/// Exit status after a signal.
const STOPPED: u8 = 143;

/// Exit status for a command line that can't be followed.
const USAGE: u8 = 2;

/// Offered share of what the fleet can carry, unless set.
const LOAD: f64 = 0.7;

/// Measured length of a run, unless set.
const SPAN: Duration = Duration::from_secs(24);

/// Times that each point of a slope is measured, unless set.
const REPEATS: usize = 3;

/// Seconds over which the rates of a slope are measured, unless set.
const SLOPE_SECONDS: u64 = 5;

mod flags {
    use standin::{
        fleet::Name,
        load::{Rule, Scenario},
        slopes::Name as Measurement,
    };
    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Offers load to entries and prints what it measures, as JSON.
        cmd gwi-load {
            /// Prints the version.
            optional --version

            /// Prints the version.
            default cmd version {}

            /// Runs named cases against processes of gwi-entry and fakes around them.
            ///
            /// Prints one JSON line for each case and rule.
            cmd run {
                /// Case: steady, burst, slow, dead, domain, flood, reports, mixed, impatient,
                /// entries or unkept; repeatable; all if none is named.
                repeated --scenario name: Scenario
                /// Shape of the fakes: wasfi (the default) or addis.
                optional --deployment name: Name
                /// Rule: scored (the default), round_robin or least_in_flight; repeatable.
                repeated --rule rule: Rule
                /// Seed of the first repeat; 1 unless set.
                optional --seed seed: u64
                /// Repeats, each with the next seed; 1 unless set.
                optional --repeat count: u64
                /// Offered share of what the fleet can carry; 0.7 unless set.
                optional --load share: f64
                /// Measured seconds of each run; 24 unless set.
                optional --seconds seconds: u64
                /// Program of the entries; gwi-entry beside this one unless set.
                optional --entry file: PathBuf
                /// Folder for the entries' settings and logs.
                optional --folder folder: PathBuf
                /// Further line of the section [entry] of the entries' settings; repeatable.
                repeated --set line: String
            }

            /// Offers a case's requests, without its faults, to entries that run already.
            ///
            /// Prints one JSON line; what targets ran is not known.
            cmd offer {
                /// Address of an entry that is asked for the others; repeatable.
                repeated --at address: SocketAddr
                /// Case; steady unless set.
                optional --scenario name: Scenario
                /// Pipelines and workspaces: wasfi (the default) or addis.
                optional --deployment name: Name
                /// Seed; 1 unless set.
                optional --seed seed: u64
                /// Offered share of what a fleet of the fakes can carry; 0.7 unless set.
                optional --load share: f64
                /// Measured seconds; 24 unless set.
                optional --seconds seconds: u64
            }

            /// Measures how costs grow with one size; prints one JSON line for each slope.
            cmd slopes {
                /// Measurements, as targets, workspaces or claims; all if none is named.
                repeated names: Measurement
                /// Times that each point is measured; 3 unless set.
                optional --repeat count: usize
                /// Seconds over which rates are measured; 5 unless set.
                optional --seconds seconds: u64
                /// Folder of the daemons' programs; that of this program unless set.
                optional --programs folder: PathBuf
                /// Folder for the daemons' settings and logs.
                optional --folder folder: PathBuf
                /// Print JSON lines; the default prints a Markdown table.
                optional --json
            }

            /// Prints a Markdown table of reports, read as JSON lines from files.
            cmd table {
                /// Files of reports.
                repeated files: PathBuf
            }

            /// Draws a bar chart of the medians of one measure.
            cmd plot {
                /// Measure, as the reports' member `spread` names it.
                required --measure name: String
                /// SVG file to write.
                required --out file: PathBuf
                /// Files of reports.
                repeated files: PathBuf
            }
        }
    }
}

/// Why there is no measure.
#[derive(Debug)]
enum Error {
    /// The entries or fakes did not start.
    Load(load::Error),
    /// A file can't be read or written.
    Io(PathBuf, io::Error),
    /// A file doesn't hold reports.
    Report(PathBuf, serde_json::Error),
    /// A slope can't be measured.
    Slope(slopes::Error),
    /// The chart can't be written.
    Plot(PathBuf),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(error) => error.fmt(f),
            Self::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Report(path, error) => write!(f, "{}: no report: {error}", path.display()),
            Self::Slope(error) => error.fmt(f),
            Self::Plot(path) => write!(f, "{}: the chart can't be written", path.display()),
        }
    }
}

/// Waits for a signal that asks the process to end.
async fn stopped() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => (),
        _ = tokio::signal::ctrl_c() => (),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::GwiLoad::from_env_or_exit();
    // Dropping the run ends the entries that it started.
    let result = tokio::select! {
        result = run(flags) => result,
        () = stopped() => return ExitCode::from(STOPPED),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gwi-load: {error}");
            ExitCode::from(USAGE)
        }
    }
}

async fn run(flags: flags::GwiLoad) -> Result<(), Error> {
    match flags.subcommand {
        _ if flags.version => print_version(),
        flags::GwiLoadCmd::Version(_) => print_version(),
        flags::GwiLoadCmd::Run(flags) => measure(flags).await?,
        flags::GwiLoadCmd::Slopes(flags) => measure_slopes(flags).await?,
        flags::GwiLoadCmd::Offer(flags) => offer(flags).await?,
        flags::GwiLoadCmd::Table(flags) => print_table(&read(&flags.files)?),
        flags::GwiLoadCmd::Plot(flags) => draw(&flags)?,
    }
    Ok(())
}

fn print_version() {
    println!("gwi-load {}", env!("CARGO_PKG_VERSION"));
}

async fn measure(flags: flags::Run) -> Result<(), Error> {
    let scenarios = match flags.scenario.as_slice() {
        [] => Scenario::iter().collect(),
        named => named.to_vec(),
    };
    let rules = match flags.rule.as_slice() {
        [] => vec![Rule::Scored],
        named => named.to_vec(),
    };
    for scenario in scenarios {
        for rule in &rules {
            let report = repeat(&flags, scenario, *rule).await?;
            match serde_json::to_string(&report) {
                Ok(line) => println!("{line}"),
                Err(error) => return Err(Error::Report(PathBuf::from("report"), error)),
            }
        }
    }
    Ok(())
}

async fn repeat(flags: &flags::Run, scenario: Scenario, rule: Rule) -> Result<Report, Error> {
    let name = flags.deployment.unwrap_or(Name::Wasfi);
    let load = flags.load.unwrap_or(LOAD);
    let span = flags.seconds.map_or(SPAN, Duration::from_secs);
    let seed = flags.seed.unwrap_or(1);
    let binary = flags.entry.clone().unwrap_or_else(beside);
    let folder = flags.folder.clone().unwrap_or_else(scratch);
    let settings = flags.set.join("\n") + "\n";
    fs::create_dir_all(&folder).map_err(|error| Error::Io(folder.clone(), error))?;
    let mut report = Report {
        deployment: CompactString::from(<&str>::from(name)),
        scenario: CompactString::from(<&str>::from(scenario)),
        rule: CompactString::from(<&str>::from(rule)),
        load,
        rate: 0.0,
        seed,
        runs: Vec::new(),
        spread: std::collections::BTreeMap::new(),
    };
    for number in 0..flags.repeat.unwrap_or(1) {
        let plan = Plan::new(scenario, name, load, span, seed + number);
        report.rate = plan.schedule.rate;
        let run = load::run(&plan, rule, &binary, &folder, &settings).await;
        report.runs.push(run.map_err(Error::Load)?);
    }
    Ok(report.with_spread())
}

async fn measure_slopes(flags: flags::Slopes) -> Result<(), Error> {
    let names = match flags.names.as_slice() {
        [] => slopes::Name::iter().collect(),
        named => named.to_vec(),
    };
    let programs = flags.programs.unwrap_or_else(|| {
        let own = beside();
        own.parent().map(Path::to_owned).unwrap_or_default()
    });
    let settings = slopes::Settings {
        place: slopes::Place {
            programs,
            folder: flags.folder.unwrap_or_else(scratch),
        },
        repeats: flags.repeat.unwrap_or(REPEATS),
        seconds: flags.seconds.unwrap_or(SLOPE_SECONDS),
    };
    if !flags.json {
        println!("{}", Slope::table_head());
    }
    for name in names {
        for slope in slopes::measure(name, &settings)
            .await
            .map_err(Error::Slope)?
        {
            if flags.json {
                println!("{}", serde_json::json!(slope));
            } else {
                println!("{}", slope.table_row());
            }
        }
    }
    Ok(())
}

async fn offer(flags: flags::Offer) -> Result<(), Error> {
    let scenario = flags.scenario.unwrap_or(Scenario::Steady);
    let name = flags.deployment.unwrap_or(Name::Wasfi);
    let load = flags.load.unwrap_or(LOAD);
    let span = flags.seconds.map_or(SPAN, Duration::from_secs);
    let plan = Plan::new(scenario, name, load, span, flags.seed.unwrap_or(1));
    let measure = load::offer(&plan, flags.at).await;
    match serde_json::to_string(&measure) {
        Ok(line) => println!("{line}"),
        Err(error) => return Err(Error::Report(PathBuf::from("measure"), error)),
    }
    Ok(())
}

/// Returns the path of `gwi-entry` beside this program.
fn beside() -> PathBuf {
    let own = env::current_exe().unwrap_or_default();
    own.with_file_name("gwi-entry")
}

fn scratch() -> PathBuf {
    env::temp_dir().join(format!("gwi-load-{}", std::process::id()))
}

fn read(files: &[PathBuf]) -> Result<Vec<Report>, Error> {
    let mut reports = Vec::new();
    for file in files {
        reports.extend(read_file(file)?);
    }
    Ok(reports)
}

fn read_file(file: &Path) -> Result<Vec<Report>, Error> {
    let text = fs::read_to_string(file).map_err(|error| Error::Io(file.to_owned(), error))?;
    text.lines()
        .map(serde_json::from_str)
        .collect::<Result<_, _>>()
        .map_err(|error| Error::Report(file.to_owned(), error))
}

fn print_table(reports: &[Report]) {
    println!("{}", Report::table_head());
    for report in reports {
        println!("{}", report.table_row());
    }
}

fn draw(flags: &flags::Plot) -> Result<(), Error> {
    let reports = read(&flags.files)?;
    let bars: Vec<_> = reports
        .iter()
        .filter_map(|report| {
            let spread = report.spread.get(flags.measure.as_str())?;
            Some(Bar {
                name: format!("{} {}", report.scenario, report.rule),
                value: spread.median,
            })
        })
        .collect();
    match load::plot(&flags.out, &flags.measure, &bars) {
        Ok(()) => Ok(()),
        Err(_cause) => Err(Error::Plot(flags.out.clone())),
    }
}
