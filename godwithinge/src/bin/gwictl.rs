//! Command line of operators.

use godwithinge::{
    ctl::{self, EditOptions, Error, ExitStatus, OperatorClient, View, diagnosis},
    planner,
    platform::Client,
    settings::{Secret, Settings},
    table::Store,
};
use policy::id::Key;
use std::{
    env, fs,
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    time::Duration,
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

mod flags {
    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Shows and edits the table of weights and limits, and talks to entries.
        ///
        /// Exit status: 0 done, 1 platform or entry not available, 2 wrong usage or settings,
        /// 3 invalid table, 4 conflict with another edit, 5 edit may have taken effect.
        cmd gwictl {
            /// File of settings, in INI; flags go before it.
            optional --settings file: PathBuf
            /// Address of the platform: IP number and port.
            optional --platform address: SocketAddr
            /// Address of an entry's interface: IP number and port.
            optional --entry address: SocketAddr
            /// File that holds the operator's token.
            optional --token-file file: PathBuf
            /// Name of the operator for the change log.
            optional --who name: String
            /// Longest time that an edit is tried for, in seconds.
            optional --patience seconds: u64
            /// Print JSON.
            optional --json
            /// Print the version and end.
            optional --version

            /// The table of weights and limits.
            cmd table {
                /// Show the table.
                cmd get {
                    /// Print CSV, for a spreadsheet.
                    optional --csv
                }
                /// Check a sheet without the platform.
                cmd check {
                    required sheet: PathBuf
                }
                /// Show the cells in which a sheet differs from the revision that it is based on.
                cmd diff {
                    required sheet: PathBuf
                }
                /// Edit single cells, written workspace/tailors.share=2.
                cmd set {
                    repeated cell: String
                    /// Revision that the edit is based on; the newest if not given.
                    optional --base revision: u64
                    /// Name of the edit, to ask for it again after a lost reply; needs --base.
                    optional --edit name: String
                }
                /// Remove a row.
                cmd remove {
                    required row: String
                    /// Revision that the edit is based on; the newest if not given.
                    optional --base revision: u64
                }
                /// Edit all cells in which a sheet differs from the revision it is based on.
                cmd apply {
                    required sheet: PathBuf
                    /// Name of the edit, to ask for it again after a lost reply.
                    optional --edit name: String
                }
                /// Show the change log.
                cmd log {
                    /// Revision after which the log begins.
                    optional --after revision: u64
                }
            }
            /// Show the state of an entry.
            cmd status {}
            /// Drain an entry; again, have it log what is in flight.
            cmd drain {}
            /// Show the decisions about a request, named tailors/fitting/fit-17, or tell from the
            /// logs of daemons what became of the request with an identifier.
            cmd explain {
                required request: String
                /// Log of one daemon, or of several with their names before each line.
                repeated file: PathBuf
            }
            /// Show the orders that the planner would give in the next hour.
            cmd plan {}
        }
    }
}

use flags::{Gwictl, GwictlCmd, TableCmd};

/// Longest time of one exchange with the platform where no settings give it.
const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Flags, and the settings behind them.
struct Options {
    flags: Gwictl,
    settings: Option<Settings>,
}

fn main() -> ExitCode {
    if env::args().nth(1).as_deref() == Some("--version") {
        println!("gwictl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = Gwictl::from_env_or_exit();
    let json = flags.json;
    let csv = matches!(&flags.subcommand, GwictlCmd::Table(table)
        if matches!(&table.subcommand, TableCmd::Get(get) if get.csv));
    match run(flags).and_then(|view| write_view(&view, json, csv)) {
        Ok(()) => ExitCode::from(ExitStatus::Done as u8),
        Err(error) => {
            eprintln!("gwictl: {error}");
            ExitCode::from(error.exit_status() as u8)
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(flags: Gwictl) -> Result<View, Error> {
    let settings = flags.settings.as_deref().map(Settings::from_file);
    let settings = settings.transpose().map_err(Error::Settings)?;
    let options = Options { flags, settings };
    match &options.flags.subcommand {
        GwictlCmd::Table(table) => options.run_table_command(&table.subcommand).await,
        GwictlCmd::Status(_) => options.entry_client()?.status().await,
        GwictlCmd::Drain(_) => options.entry_client()?.drain().await,
        GwictlCmd::Explain(explain) if !explain.file.is_empty() => {
            let mut lines = Vec::new();
            for file in &explain.file {
                let name = file.file_stem().unwrap_or_default().to_string_lossy();
                lines.extend(diagnosis::parse(&name, &read_file(file)?));
            }
            ctl::explain(&explain.request, &lines)
        }
        GwictlCmd::Explain(explain) => {
            let key = parse_request(&explain.request)?;
            options.entry_client()?.explain(&key).await
        }
        GwictlCmd::Plan(_) => {
            let settings = options.settings.as_ref();
            let settings = settings.ok_or(Error::MissingFlag { flag: "--settings" })?;
            let orders = planner::preview(settings).await;
            orders.map(View::Plan).map_err(Error::Platform)
        }
    }
}

impl Options {
    async fn run_table_command(&self, command: &TableCmd) -> Result<View, Error> {
        let options = self.edit_options();
        match command {
            TableCmd::Get(_) => ctl::get(&self.store()?).await,
            TableCmd::Check(check) => ctl::check(&read_file(&check.sheet)?),
            TableCmd::Diff(diff) => ctl::diff(&self.store()?, &read_file(&diff.sheet)?).await,
            TableCmd::Set(set) => {
                let options = EditOptions {
                    base: set.base,
                    id: set.edit.as_deref().map(Into::into),
                    ..options
                };
                ctl::set(&self.store()?, options, &set.cell).await
            }
            TableCmd::Remove(remove) => {
                let base = remove.base;
                ctl::remove(&self.store()?, EditOptions { base, ..options }, &remove.row).await
            }
            TableCmd::Apply(apply) => {
                let id = apply.edit.as_deref().map(Into::into);
                let sheet = read_file(&apply.sheet)?;
                ctl::apply(&self.store()?, EditOptions { id, ..options }, &sheet).await
            }
            TableCmd::Log(log) => ctl::log(&self.store()?, log.after.unwrap_or(0)).await,
        }
    }

    fn edit_options(&self) -> EditOptions {
        let user = || env::var("USER").unwrap_or_else(|_| "operator".into());
        EditOptions {
            who: self.flags.who.clone().unwrap_or_else(user).into(),
            ..EditOptions::default()
        }
    }

    fn store(&self) -> Result<Store, Error> {
        let settings = self.settings.as_ref().map(|settings| &settings.platform);
        let address = self.flags.platform;
        let address = address.or(settings.map(|platform| platform.address));
        let address = address.ok_or(Error::MissingFlag { flag: "--platform" })?;
        let timeout = settings.map_or(DEFAULT_PLATFORM_TIMEOUT, |platform| platform.timeout);
        let store = Store::new(Client::new(address.to_string(), timeout));
        Ok(match self.flags.patience {
            Some(seconds) => store.with_patience(Duration::from_secs(seconds)),
            None => store,
        })
    }

    fn entry_client(&self) -> Result<OperatorClient, Error> {
        let settings = self.settings.as_ref().map(|settings| &settings.daemon);
        let listen = settings.map(|daemon| daemon.listen);
        let address: Option<SocketAddr> = self.flags.entry.or(listen);
        let address = address.ok_or(Error::MissingFlag { flag: "--entry" })?;
        let token = match &self.flags.token_file {
            Some(file) => Some(Secret::new(read_file(file)?.trim())),
            None => settings.map(|daemon| daemon.operator_token.clone()),
        };
        let token = token.ok_or(Error::MissingFlag {
            flag: "--token-file",
        })?;
        Ok(OperatorClient::new(address, token))
    }
}

fn parse_request(text: &str) -> Result<Key, Error> {
    let mut parts = text.splitn(3, '/');
    match (parts.next(), parts.next(), parts.next()) {
        (Some(workspace), Some(pipeline), Some(request)) => {
            Ok(Key::new(workspace, pipeline, request))
        }
        _ => Err(Error::MalformedRequest { text: text.into() }),
    }
}

fn read_file(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|cause| Error::File {
        file: file.into(),
        cause,
    })
}

fn write_view(view: &View, json: bool, csv: bool) -> Result<(), Error> {
    let text = match view {
        View::Table(table) if csv => table.to_csv(),
        view if json => format!("{:#}\n", view.to_json().map_err(Error::MalformedResponse)?),
        view => view.to_string(),
    };
    let mut output = io::stdout().lock();
    output.write_all(text.as_bytes()).map_err(Error::Output)
}
