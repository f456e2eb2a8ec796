//! The directory: which entries callers may use.

use super::{Daemon, Phase};
use crate::{
    platform::{Range, Transaction},
    settings::Settings,
};
use compact_str::CompactString;
use policy::id::{DomainId, HostId, Incarnation, RegionId};
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};
use tokio::time::{self, MissedTickBehavior};

/// Table of the daemons.
const TABLE: &str = "daemons";
/// Time between two reads of the daemons.
const INTERVAL: Duration = Duration::from_secs(1);
/// Most entries that one answer names.
const MAX_NAMED: usize = 8;

/// What is known of the daemons.
#[derive(Debug)]
pub struct Directory {
    own: Mutex<Named>,
    others: Mutex<Vec<Named>>,
}

/// An entry as the directory names it, and as its row in the table of daemons shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Named {
    /// Name of the host.
    pub host: HostId,
    /// Address of the interface for callers.
    pub api: CompactString,
    /// Address of the interface for peers.
    pub peer: CompactString,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the host.
    pub region: RegionId,
    /// Number that the daemon drew at its start.
    pub incarnation: Incarnation,
    /// Whether the daemon takes no new callers.
    #[serde(default)]
    pub leaving: bool,
}

impl Directory {
    pub(super) fn new(settings: &Settings) -> Self {
        let daemon = &settings.daemon;
        Self {
            own: Mutex::new(Named {
                host: daemon.host.clone(),
                api: daemon.listen.to_string().into(),
                peer: daemon.peer_listen.to_string().into(),
                domain: daemon.domain.clone(),
                region: daemon.region.clone(),
                incarnation: 0,
                leaving: false,
            }),
            others: Mutex::default(),
        }
    }

    pub(super) fn set_address(&self, address: SocketAddr) {
        self.change(|own| own.api = address.to_string().into());
    }

    /// Returns the entries that a caller in `domain` may use, in the order of preference.
    ///
    /// The first of another domain stands second at the latest.
    pub fn entries(&self, domain: &str) -> Vec<Named> {
        let own = self.own();
        let mut entries = self.others();
        entries.retain(|entry| !entry.leaving && entry.host != own.host);
        if !own.leaving || entries.is_empty() {
            entries.insert(0, own);
        }
        entries.sort_by_key(|entry| entry.domain != domain);
        let away = entries.iter().position(|entry| entry.domain != domain);
        if let Some(away) = away.filter(|away| *away > 1) {
            let entry = entries.remove(away);
            entries.insert(1, entry);
        }
        entries.truncate(MAX_NAMED);
        entries
    }

    /// Returns all daemons that are known.
    pub fn others(&self) -> Vec<Named> {
        let others = self.others.lock().unwrap_or_else(PoisonError::into_inner);
        others.clone()
    }

    fn own(&self) -> Named {
        let own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        own.clone()
    }

    fn change(&self, change: impl FnOnce(&mut Named)) {
        let mut own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut own);
    }
}

/// Writes the daemon's own row whenever it changes, and reads those of the others.
pub(super) async fn run(daemon: Daemon) {
    let directory = daemon.directory();
    directory.change(|own| own.incarnation = daemon.incarnation());
    let mut phase = daemon.phase();
    let mut written: Option<Named> = None;
    let mut ticks = time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Ok(()) = phase.changed() => {}
        }
        let leaving = *phase.borrow_and_update() != Phase::Serving;
        directory.change(|own| own.leaving = leaving);
        let own = directory.own();
        if written.as_ref() != Some(&own) && write(&daemon, &own).await {
            written = Some(own);
        }
        read(&daemon).await;
    }
}

async fn write(daemon: &Daemon, own: &Named) -> bool {
    let Ok(value) = serde_json::to_value(own) else {
        return false;
    };
    let transaction = Transaction::new().with_write(TABLE, &own.host, value);
    daemon.shared.platform.commit(&transaction).await.is_ok()
}

async fn read(daemon: &Daemon) {
    if let Ok(read) = daemon.shared.platform.rows(TABLE, &Range::new("")).await {
        let rows = read.rows.into_iter();
        let named = rows.filter_map(|row| serde_json::from_value(row.value).ok());
        let mut others = daemon
            .directory()
            .others
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *others = named.collect();
    }
}
