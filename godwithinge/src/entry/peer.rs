//! Messages between the state machine and the links to other daemons.

use super::{Daemon, Error};
use crate::peer::{Event as PeerEvent, Links, Settings};
use policy::{Event, Table, command::Frame, id::Revision, table::replica::UpdateOutcome};
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::mpsc::UnboundedReceiver;

/// Starts the peer listener and the links to other daemons.
pub(super) async fn start(
    daemon: &Daemon,
    api: SocketAddr,
) -> Result<(Links, UnboundedReceiver<PeerEvent>), Error> {
    let settings = daemon.settings();
    let links = Links::start(Settings {
        host: settings.daemon.host.clone(),
        incarnation: daemon.incarnation(),
        api,
        listen: settings.daemon.peer_listen,
        domain: settings.daemon.domain.clone(),
        region: settings.daemon.region.clone(),
        seeds: settings.peers.seeds.clone(),
        key: settings.daemon.fleet_key.clone(),
        bytes: daemon.metrics().control_bytes.clone(),
    });
    links.await.map_err(Error::Peers)
}

/// Passes events of the links to the state machine until the links are closed.
pub(super) async fn run(daemon: Daemon, mut events: UnboundedReceiver<PeerEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            PeerEvent::Frame { from, frame } => daemon.handle(Event::Peer { from, frame }),
            PeerEvent::Members { members, steady } => {
                daemon.handle(Event::Members {
                    members,
                    stable: steady,
                });
            }
            PeerEvent::Table(table) => daemon.set_table(table),
            PeerEvent::HostList(list) => daemon.set_hosts(list.hosts.clone()),
        }
    }
}

impl Daemon {
    /// Sends a frame to all daemons of the fleet.
    pub(super) fn broadcast(&self, frame: &Frame) {
        self.links().broadcast(frame);
    }

    /// Puts a table that was read from the platform into force if its revision is higher.
    ///
    /// `held` is the revision in force before the read. A lower revision than the current one is
    /// logged as an error only if it is also lower than `held`, since peers may have delivered a
    /// newer table during the read.
    pub(super) fn offer_table(&self, table: Table, held: Option<Revision>) {
        match self.links().apply_table(&Arc::new(table)) {
            UpdateOutcome::Adopted | UpdateOutcome::Known | UpdateOutcome::Gap => {}
            UpdateOutcome::Lower { offered } if Some(offered) >= held => {}
            UpdateOutcome::Lower { offered } => {
                tracing::error!(
                    offered,
                    held,
                    "platform answered a lower revision of the table"
                );
            }
            UpdateOutcome::Forked => {
                tracing::error!("platform has different rows at the revision in force");
            }
            UpdateOutcome::Invalid { faults } => {
                let fault = faults.first().map(ToString::to_string);
                tracing::error!(
                    faults = faults.len(),
                    fault,
                    "platform holds an invalid table"
                );
            }
        }
    }

    fn set_table(&self, table: Arc<Table>) {
        let revision = table.revision;
        self.state().table = Some(Arc::clone(&table));
        self.metrics().table_revision.set(revision.cast_signed());
        self.handle(Event::Table { table });
        tracing::info!(revision, "table in force");
    }
}
