//! Fake of the platform: table service, object store, host list and weight store.

mod api;
mod settings;
mod table;

pub use self::{
    settings::{Counters, Settings},
    table::{Check, Conflict, Row, Write},
};

use self::api::Platform;
use crate::http::{Listener, ServerHandle};
use policy::{
    host::Host,
    id::Revision,
    table::{Pipeline, Table, Target, Workspace},
};
use serde::Serialize;
use serde_json::{Value, json};
use std::{io, net::SocketAddr, sync::Arc};

/// Table that holds the rows of the table of weights and limits.
pub const WEIGHTS: &str = "weights";

/// Key of the row that holds the revision of the table of weights and limits.
pub const REVISION: &str = "revision";

/// Running fake of the platform.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    platform: Arc<Platform>,
}

/// Starts a fake of the platform.
///
/// # Errors
///
/// Fails if the port can't be bound.
pub async fn start(settings: Settings) -> io::Result<Server> {
    let bound = Listener::bind(settings.port).await?;
    let platform = Arc::new(Platform::new(settings));
    let listener = bound.serve(Arc::clone(&platform));
    Ok(Server { listener, platform })
}

impl Server {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Ends the server as if its process had died; its rows are lost.
    pub async fn stop(&self) {
        self.listener.server_handle().stop().await;
    }

    /// Returns the switch of the server's connections.
    pub fn server_handle(&self) -> &Arc<ServerHandle> {
        self.listener.server_handle()
    }

    /// Returns the settings as they are now.
    pub fn settings(&self) -> Settings {
        self.platform.settings()
    }

    /// Changes settings and faults.
    pub fn control(&self, change: impl FnOnce(&mut Settings)) {
        let settings = self.platform.change(change);
        let server_handle = self.listener.server_handle();
        if settings.outage != server_handle.is_down() {
            server_handle.set_down(settings.outage);
        }
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.platform.set_hosts(hosts);
    }

    /// Returns the true host list, without the lag.
    pub fn hosts(&self) -> Vec<Host> {
        self.platform.hosts()
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.platform.counters()
    }

    /// Returns the newest value of a row, without any fault.
    pub fn row(&self, table: &str, key: &str) -> Option<Row> {
        self.platform.store().row(table, key, None)
    }

    /// Returns the newest values of all rows of a table, in order of key.
    pub fn rows(&self, table: &str) -> Vec<Row> {
        let (rows, _) = self.platform.store().rows(&table::Range::new(table), None);
        rows
    }

    /// Commits a transaction, without any fault.
    ///
    /// # Errors
    ///
    /// Gives the rows that don't have the version that a check expects.
    pub fn commit(&self, checks: &[Check], writes: Vec<Write>) -> Result<u64, Vec<Conflict>> {
        self.platform.store().commit(checks, writes)
    }

    /// Writes all rows of a table of weights and limits, and its revision.
    pub fn set_table(&self, table: &Table) {
        let workspaces = table.workspaces.iter().map(workspace);
        let pipelines = table.pipelines.iter().map(pipeline);
        let targets = table.targets.iter().map(target);
        let mut writes: Vec<_> = workspaces.chain(pipelines).chain(targets).collect();
        writes.push(revision(table.revision));
        // Without checks there is nothing to conflict with.
        drop(self.commit(&[], writes));
    }

    pub(crate) fn store_settings(&self, settings: Settings) {
        self.control(|known| *known = settings);
    }
}

impl crate::control::Controllable for Server {
    fn status(&self) -> Value {
        json!({"settings": self.settings(), "counters": self.counters(), "hosts": self.hosts()})
    }

    fn patch(&self, bytes: &[u8]) -> Result<(), serde_json::Error> {
        let settings = self.settings();
        let mut patch: serde_json::Map<String, Value> = serde_json::from_slice(bytes)?;
        if let Some(hosts) = patch.remove("hosts") {
            self.set_hosts(serde_json::from_value(hosts)?);
        }
        let settings = crate::patch::apply(&settings, &serde_json::to_vec(&patch)?)?;
        self.store_settings(settings);
        Ok(())
    }
}

fn workspace((name, row): (&policy::id::WorkspaceId, &Workspace)) -> Write {
    write(&format!("workspace/{name}"), row)
}

fn pipeline((name, row): (&policy::id::PipelineId, &Pipeline)) -> Write {
    write(&format!("pipeline/{name}"), row)
}

fn target((name, row): (&policy::id::TargetId, &Target)) -> Write {
    write(&format!("target/{name}"), row)
}

fn revision(revision: Revision) -> Write {
    write(REVISION, &json!({"revision": revision}))
}

fn write(key: &str, row: &impl Serialize) -> Write {
    let value = serde_json::to_value(row).unwrap_or_default();
    Write {
        table: WEIGHTS.into(),
        key: key.into(),
        value,
    }
}
