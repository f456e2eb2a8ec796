//! Cases of the second review. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run.

mod builds;
mod client;
mod engine;
mod http;
mod memory;
mod parts;
mod record;
mod relay;
mod revoked;
mod store;
mod survivor;
mod takeup;
mod upgrade;

use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

#[tokio::main]
async fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "builds" => builds::run(has_trouble).await,
        "takeup" => takeup::run(has_trouble).await,
        "upgrade" => upgrade::run(has_trouble).await,
        "revoked" => revoked::run(has_trouble).await,
        "survivor" => survivor::run(has_trouble).await,
        "parts" => parts::run(has_trouble).await,
        "memory" => memory::run(has_trouble).await,
        _ => Verdict::NotRun,
    };
    match verdict {
        Verdict::Held => ExitCode::from(0),
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}

/// Returns a loopback network of three octets that no other run is likely to use.
pub fn network() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 20 + id / 200 % 200, 1 + id % 200)
}
