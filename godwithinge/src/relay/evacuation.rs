//! Evacuations of failure domains: rows of the store, and what peers tell of them.
//!
//! A daemon that learns of a change from the store tells all peers. Heartbeats carry a digest of the
//! evacuated domains, so that a peer that has missed the change, or has no link to that daemon, gets it
//! from any other one.

use super::{
    dialect::Row,
    event,
    frame::{EVACUATION_PROTOCOL, Frame, WireEvacuations},
    state::Relay,
};
use policy::{
    id::{DomainId, HostId, TargetId},
    relay::{
        evacuation::{Change, Record},
        history::Version,
        registry::Target,
        scheduler::Scheduler,
    },
};
use std::{collections::BTreeSet, rc::Rc};

/// Sources of a change, as logged.
const STORE: &str = "store";
const PEER: &str = "peer";

impl Relay {
    /// Returns whether a target is in an evacuated domain.
    pub(super) fn is_evacuated(&self, target: &Target) -> bool {
        self.registry().is_evacuated(target)
    }

    /// Counts a request that is not sent to a target, if this is because of an evacuation.
    pub(super) fn record_held_send(&self, target: &TargetId) {
        let registry = self.registry();
        let target = registry.get(target);
        if let Some(target) = target.filter(|target| registry.is_evacuated(target)) {
            self.metrics
                .holds
                .record_held_send(&target.pool, "evacuated");
        }
    }

    /// Applies a row that was read from the store if it is about an evacuation. Returns whether it is.
    pub(super) fn apply_evacuation(self: &Rc<Self>, row: &Row) -> bool {
        let Some(record) = self.evacuation_record(row) else {
            return false;
        };
        let change = self.registry_mut().evacuations_mut().apply(record);
        self.apply_evacuation_changes(change.as_slice(), STORE);
        true
    }

    /// Applies the rows of the whole table of the configuration, as it was at `version`.
    pub(super) fn replace_evacuations(self: &Rc<Self>, version: Version, rows: &[Row]) {
        let records = rows.iter().filter_map(|row| self.evacuation_record(row));
        let records = records.collect();
        let mut registry = self.registry_mut();
        let changes = registry.evacuations_mut().replace(version, records);
        drop(registry);
        self.apply_evacuation_changes(&changes, STORE);
    }

    /// Handles what a peer tells of evacuations.
    pub(super) fn receive_evacuations(self: &Rc<Self>, evacuations: WireEvacuations) {
        let (read_at, records) = evacuations.into();
        let mut registry = self.registry_mut();
        let changes = registry.evacuations_mut().merge(read_at, records);
        drop(registry);
        self.apply_evacuation_changes(&changes, PEER);
    }

    /// Tells a peer that has just been linked of all evacuations.
    pub(super) fn send_evacuations(&self, host: &HostId) {
        let has_any = self.registry().evacuations().records().next().is_some();
        if has_any {
            self.links.send_to_host(host, self.evacuations_frame());
        }
    }

    /// Returns the digest of the evacuated domains for heartbeats; `None` if there are none.
    pub(super) fn evacuation_digest(&self) -> Option<u64> {
        self.registry().evacuations().digest()
    }

    /// Returns what to tell a peer whose heartbeat carries `digest`; `None` if it knows the same evacuated
    /// domains, or would not understand it.
    pub(super) fn evacuations_for(&self, protocol: u32, digest: Option<u64>) -> Option<Frame> {
        let is_told = protocol >= EVACUATION_PROTOCOL && digest != self.evacuation_digest();
        is_told.then(|| self.evacuations_frame())
    }

    fn evacuations_frame(&self) -> Frame {
        let registry = self.registry();
        let evacuations = registry.evacuations();
        let records: Vec<Record> = evacuations.records().collect();
        Frame::Evacuations(WireEvacuations::from((evacuations.read_at(), records)))
    }

    fn evacuation_record(&self, row: &Row) -> Option<Record> {
        Some(Record {
            domain: self.dialect.parse_evacuation(row)?,
            version: row.version,
            is_present: row.value.is_some(),
        })
    }

    fn apply_evacuation_changes(self: &Rc<Self>, changes: &[Change], source: &'static str) {
        if changes.is_empty() {
            return;
        }
        let domains: BTreeSet<DomainId> = {
            let registry = self.registry();
            registry.evacuations().domains().cloned().collect()
        };
        for change in changes {
            event::evacuation_changed(&change.domain, change.is_evacuated, source);
            if !change.is_evacuated {
                self.record_cold_domain(&change.domain);
            }
        }
        self.metrics.holds.set_evacuated_domains(domains.len());
        self.dispatcher.scheduler.act(self, |scheduler, now, out| {
            scheduler.set_evacuated(now, domains);
            Scheduler::poll(scheduler, now, out);
        });
        // Requests that wait for room may be sent elsewhere, or refused.
        self.rejection_watch.notify();
        if source == STORE {
            self.links.broadcast(&self.evacuations_frame());
        }
    }
}
