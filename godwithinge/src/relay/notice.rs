//! What targets say in their answers about further requests: that they leave.

use super::{
    dialect::ResponseMetadata,
    event,
    frame::{Frame, WireDeparture},
    state::Relay,
};
use http::StatusCode;
use policy::{
    id::{HostId, TargetId},
    relay::{departure::Departure, registry::Registry},
};
use std::rc::Rc;

impl Relay {
    /// Returns whether a request may be written to a target now. What the target has said since it was
    /// selected counts as well.
    pub(super) fn may_send(&self, target: &TargetId) -> bool {
        let registry = self.registry();
        registry.get(target).is_some_and(|target| target.is_ready)
    }

    /// Handles what the head of a target's answer says about further requests.
    pub(super) fn record_notice(
        self: &Rc<Self>,
        target: &TargetId,
        status: StatusCode,
        metadata: &ResponseMetadata,
    ) {
        if metadata.is_leaving {
            let departure = departure(&self.registry(), target, status);
            if let Some(departure) = departure {
                self.apply_departure(departure, "answer");
            }
        }
    }

    /// Records that a target leaves, and tells all peers if this is new.
    fn apply_departure(self: &Rc<Self>, departure: Departure, source: &str) {
        let now = self.now();
        let change = self.registry_mut().record_departure(now, &departure);
        let Some(change) = change else {
            return;
        };
        event::target_leaves(&departure.target, source);
        self.metrics.departures.with_label_values(&[source]).inc();
        self.apply_target_changes(vec![change]);
        if source != PEER {
            let departures = vec![WireDeparture::from(departure)];
            self.links.broadcast(&Frame::Departures(departures));
        }
    }

    /// Handles the departures that a peer tells of.
    pub(super) fn receive_departures(self: &Rc<Self>, departures: Vec<WireDeparture>) {
        for departure in departures {
            self.apply_departure(departure.into(), PEER);
        }
    }

    /// Sends all known departures to a peer that has just been linked.
    pub(super) fn send_departures(&self, host: &HostId) {
        let registry = self.registry();
        let departures = registry.departures().map(WireDeparture::from);
        let departures: Vec<WireDeparture> = departures.collect();
        if !departures.is_empty() {
            self.links.send_to_host(host, Frame::Departures(departures));
        }
    }
}

/// Source of what a peer tells, as logged.
const PEER: &str = "peer";

/// Returns the target whose answer says that it leaves. One that answers in place of another is found
/// by its address.
fn departure(registry: &Registry, target: &TargetId, status: StatusCode) -> Option<Departure> {
    let asked = registry.get(target)?;
    let answering = if status == StatusCode::MISDIRECTED_REQUEST {
        let mut others = registry.all();
        others.find(|other| other.address == asked.address && other.id != asked.id)?
    } else {
        asked
    };
    Some(Departure {
        target: answering.id.clone(),
        started_unix_ms: answering.started_unix_ms,
    })
}
