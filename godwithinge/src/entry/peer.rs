//! What goes between the decisions and the links to other daemons.

use super::{Daemon, Error};
use crate::peer::{Event as PeerEvent, Links, Settings};
use policy::{Event, Table, command::Frame, id::Revision, table::replica::UpdateOutcome};
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::mpsc::UnboundedReceiver;

/// Opens the interface for peers.
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

/// Hands over what the links tell.
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
            PeerEvent::Hosts(list) => daemon.set_hosts(list.hosts.clone()),
        }
    }
}

impl Daemon {
    /// Sends a frame to all daemons of the fleet.
    pub(super) fn broadcast(&self, frame: &Frame) {
        self.links().broadcast(frame);
    }

    /// Takes in the table that the platform holds; a higher revision comes into force.
    ///
    /// `held` is the revision that was in force before the platform was asked; what peers passed
    /// on since may be newer than the answer without a fault.
    pub(super) fn offer(&self, table: Table, held: Option<Revision>) {
        match self.links().offer(&Arc::new(table)) {
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
                tracing::error!("platform holds other rows at the revision in force");
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
