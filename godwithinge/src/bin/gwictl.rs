//! Command-line client for operators.

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
        /// Shows and edits the table of weights and limits, inspects and drains entries.
        ///
        /// Exit status: 0 success, 1 platform or entry not available, 2 invalid usage or settings,
        /// 3 invalid table, 4 conflict with another edit, 5 edit may have taken effect.
        cmd gwictl {
            /// Settings file in INI format; flags override it.
            optional --settings file: PathBuf
            /// Address of the platform: IP address and port.
            optional --platform address: SocketAddr
            /// Address of an entry's HTTP API: IP address and port.
            optional --entry address: SocketAddr
            /// File with the operator token.
            optional --token-file file: PathBuf
            /// Operator name for the change log; the value of USER if not given.
            optional --who name: String
            /// Time limit for retries of an edit, in seconds.
            optional --patience seconds: u64
            /// Print JSON.
            optional --json
            /// Print the version and exit.
            optional --version

            /// Show or edit the table of weights and limits.
            cmd table {
                /// Show the table.
                cmd get {
                    /// Print the table as CSV.
                    optional --csv
                }
                /// Validate a sheet without access to the platform.
                cmd check {
                    required sheet: PathBuf
                }
                /// Show the cells that differ between a sheet and its base revision.
                cmd diff {
                    required sheet: PathBuf
                }
                /// Edit single cells, each given as workspace/tailors.share=2.
                cmd set {
                    repeated cell: String
                    /// Revision that the edit is based on; the latest if not given.
                    optional --base revision: u64
                    /// Identifier of the edit, for a safe retry after a lost response; requires --base.
                    optional --edit name: String
                }
                /// Remove a row.
                cmd remove {
                    required row: String
                    /// Revision that the edit is based on; the latest if not given.
                    optional --base revision: u64
                }
                /// Apply the differences between a sheet and its base revision.
                cmd apply {
                    required sheet: PathBuf
                    /// Identifier of the edit, for a safe retry after a lost response.
                    optional --edit name: String
                }
                /// Show the change log.
                cmd log {
                    /// Show only entries after this revision.
                    optional --after revision: u64
                }
            }
            /// Show the status of an entry.
            cmd status {}
            /// Drain an entry; if it is already draining, have it log the requests in flight.
            cmd drain {}
            /// Show the routing decisions about a request given as tailors/fitting/fit-17, or, if log
            /// files are given, diagnose the outcome of the request with this identifier.
            cmd explain {
                required request: String
                /// Log of one daemon, or of several if each line is prefixed with the daemon's name.
                repeated file: PathBuf
            }
            /// Show the orders that the planner would give in the next hour, without giving them.
            cmd plan {}
        }
    }
}

use flags::{Gwictl, GwictlCmd, TableCmd};

/// Time limit for a request to the platform if no settings file sets one.
const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Flags, and the settings that provide values for missing flags.
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
            Some(seconds) => store.with_edit_timeout(Duration::from_secs(seconds)),
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
