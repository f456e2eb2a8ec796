//! Registration in the platform's table of daemons, and discovery of peers from it.
//!
//! The rows supplement the seed addresses in the settings. Once daemons are linked, they exchange
//! their state over the links.

use super::{Daemon, Phase};
use crate::platform::{Range, Rows, Transaction};
use compact_str::{CompactString, format_compact};
use policy::{
    claim::Version,
    directory::{self, Answer},
    id::{DomainId, Incarnation, RegionId, WorkspaceId},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::Duration;
use tokio::time::{self, MissedTickBehavior};

/// Table with one row per daemon, whose key is the daemon's host.
const DAEMON_TABLE: &str = "daemons";
/// Time between two reads of the table while no peer is linked.
const UNLINKED_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Factor by which reads are rarer while a peer is linked.
const LINKED_READ_FACTOR: u32 = 10;

/// Row of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Row {
    api: CompactString,
    peer: CompactString,
    domain: DomainId,
    region: RegionId,
    incarnation: Incarnation,
    #[serde(default)]
    leaving: bool,
}

impl Daemon {
    /// Returns the entries that a caller should use for `workspace`, in order of preference.
    ///
    /// `domain` is the caller's failure domain, whose entries come first if it is known.
    pub fn directory(&self, workspace: &WorkspaceId, domain: Option<&DomainId>) -> Answer {
        let ttl = self.settings().entry.directory_ttl;
        let members = self.links().members();
        directory::resolve(&members, workspace, domain, ttl, &mut rand::rng())
    }

    /// Deletes the daemon's row.
    pub(super) async fn deregister(&self) {
        self.write_row(Value::Null).await;
    }

    async fn write_row(&self, value: Value) -> bool {
        let host = &self.settings().daemon.host;
        let transaction = Transaction::new().with_write(DAEMON_TABLE, host, value);
        self.shared.platform.commit(&transaction).await.is_ok()
    }

    fn row(&self, phase: Phase) -> Row {
        let daemon = &self.settings().daemon;
        Row {
            api: format_compact!("{}", self.address()),
            peer: format_compact!("{}", self.links().address()),
            domain: daemon.domain.clone(),
            region: daemon.region.clone(),
            incarnation: self.incarnation(),
            leaving: phase != Phase::Serving,
        }
    }
}

/// Writes the daemon's own row whenever it changes, and polls the rows of other daemons.
///
/// A failed write is retried at the next tick.
pub(super) async fn run(daemon: Daemon) {
    let mut phase = daemon.phase();
    let mut written: Option<Row> = None;
    let mut version = 0;
    let mut ticks = time::interval(UNLINKED_READ_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for tick in 0.. {
        tokio::select! {
            _ = ticks.tick() => {}
            Ok(()) = phase.changed() => {}
        }
        let row = daemon.row(*phase.borrow_and_update());
        if written.as_ref() != Some(&row)
            && let Ok(value) = serde_json::to_value(&row)
            && daemon.write_row(value).await
        {
            written = Some(row);
        }
        let is_linked = !daemon.links().linked().is_empty();
        if !is_linked || tick % LINKED_READ_FACTOR == 0 {
            version = read_rows(&daemon, version).await;
        }
    }
}

/// Reads the rows that changed after `version` and returns the version of the table.
///
/// Returns `version` if the read fails or the platform returns an older version.
async fn read_rows(daemon: &Daemon, version: Version) -> Version {
    let range = Range::new("").with_since(version);
    match daemon.shared.platform.rows(DAEMON_TABLE, &range).await {
        Ok(read) if read.version >= version => {
            let version = read.version;
            add_seeds(daemon, read);
            version
        }
        Ok(_) | Err(_) => version,
    }
}

/// Adds the peer addresses of the rows to the seeds; malformed rows are ignored.
fn add_seeds(daemon: &Daemon, read: Rows) {
    let rows = read.rows.into_iter();
    let rows = rows.filter_map(|row| serde_json::from_value::<Row>(row.value).ok());
    let seeds: Vec<_> = rows.filter_map(|row| row.peer.parse().ok()).collect();
    daemon.links().add_seeds(&seeds);
}
