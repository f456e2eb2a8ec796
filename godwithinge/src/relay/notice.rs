//! What targets say in their answers about further requests: that they leave, or want none for a
//! while.

use super::{
    attempt::Attempts,
    dialect::ResponseMetadata,
    event,
    frame::{Frame, WirePause, WireStart},
    outcome::{Reason, Rejection},
    run::{ActiveRequest, POOL_RETRY_AFTER},
    state::Relay,
};
use http::StatusCode;
use policy::{
    id::{HostId, PoolId, TargetId, Time},
    relay::{
        pause::{self, Decision},
        registry::{Registry, Start, Target},
    },
};
use std::{rc::Rc, time::Duration};

/// Source of what a peer tells, as logged.
const PEER: &str = "peer";

impl Relay {
    /// Returns whether a request may be written to a target now. What the target has said since it was
    /// selected counts as well.
    pub(super) fn may_send(&self, target: &TargetId) -> bool {
        let registry = self.registry();
        let may_send = |target: &Target| registry.may_use(target) && !self.is_paused(target);
        registry.get(target).is_some_and(may_send)
    }

    /// Returns whether a target wants nothing from this daemon.
    pub(super) fn is_paused(&self, target: &Target) -> bool {
        self.pauses.borrow().is_paused(self.now(), target)
    }

    /// Returns until when nothing is sent to a target, by its own word or for want of a permit.
    pub(super) fn closed_until(&self, target: &Target) -> Option<Time> {
        let now = self.now();
        let pause = self.pauses.borrow().end(now, target);
        pause.max(self.rates.end(now, target))
    }

    /// Handles what the head of a target's answer says about further requests. `via` is the peer that
    /// forwards the connection, if any.
    pub(super) fn record_notice(
        self: &Rc<Self>,
        target: &TargetId,
        status: StatusCode,
        metadata: &ResponseMetadata,
        via: Option<&str>,
    ) {
        if let Some(pause) = metadata.pause {
            self.apply_pause(target, pause);
            if let Some(host) = via {
                let pause = WirePause {
                    target: target.clone(),
                    left: pause,
                };
                self.links.send_to_host(host, Frame::Pause(pause));
            }
        }
        if status != StatusCode::MISDIRECTED_REQUEST {
            self.record_cold_answer(target, metadata);
        }
        if metadata.is_leaving {
            let departure = departure(&self.registry(), target, status);
            if let Some(departure) = departure {
                self.apply_departure(departure, "answer");
            }
        }
    }

    /// Records that a target wants nothing from this daemon for a while.
    pub(super) fn apply_pause(self: &Rc<Self>, target: &TargetId, pause: Duration) {
        let now = self.now();
        let target = self.registry().get(target).cloned();
        let Some(target) = target.filter(|_| !pause.is_zero()) else {
            return;
        };
        if !self.is_paused(&target) {
            event::target_paused(&target.id, pause);
            let pauses = &self.metrics.pauses;
            pauses.with_label_values(&[&target.pool]).inc();
        }
        let mut pauses = self.pauses.borrow_mut();
        pauses.record(now, &target, pause);
        let end = pauses.end(now, &target);
        drop(pauses);
        if let Some(end) = end {
            self.dispatcher.pause_target(&target, end);
        }
    }

    /// Records that a target leaves, and tells all peers if this is new.
    fn apply_departure(self: &Rc<Self>, departure: Start, source: &str) {
        let now = self.now();
        let change = self.registry_mut().record_departure(now, &departure);
        let Some(change) = change else {
            return;
        };
        event::target_leaves(&departure.target, source);
        self.metrics.departures.with_label_values(&[source]).inc();
        self.apply_target_changes(vec![change]);
        if source != PEER {
            let departures = vec![WireStart::from(departure)];
            self.links.broadcast(&Frame::Departures(departures));
        }
    }

    /// Handles the departures that a peer tells of.
    pub(super) fn receive_departures(self: &Rc<Self>, departures: Vec<WireStart>) {
        for departure in departures {
            self.apply_departure(departure.into(), PEER);
        }
    }

    /// Records that the process of a target seems to have ended, and tells all peers if this is new.
    pub(super) fn apply_ending(&self, ending: Start, source: &str) {
        let is_new = self.registry_mut().record_ending(self.now(), &ending);
        if !is_new {
            return;
        }
        event::target_ended(&ending.target, ending.started_unix_ms, source);
        if source != PEER {
            let endings = vec![WireStart::from(ending)];
            self.links.broadcast(&Frame::Endings(endings));
        }
    }

    /// Handles the endings that a peer tells of.
    pub(super) fn receive_endings(&self, endings: Vec<WireStart>) {
        for ending in endings {
            self.apply_ending(ending.into(), PEER);
        }
    }

    /// Sends all known endings to a peer that has just been linked.
    pub(super) fn send_endings(&self, host: &HostId) {
        let registry = self.registry();
        let endings: Vec<WireStart> = registry.endings().map(WireStart::from).collect();
        if !endings.is_empty() {
            self.links.send_to_host(host, Frame::Endings(endings));
        }
    }

    /// Sends all known departures to a peer that has just been linked.
    pub(super) fn send_departures(&self, host: &HostId) {
        let registry = self.registry();
        let departures = registry.departures().map(WireStart::from);
        let departures: Vec<WireStart> = departures.collect();
        if !departures.is_empty() {
            self.links.send_to_host(host, Frame::Departures(departures));
        }
    }
}

impl ActiveRequest {
    /// Returns the time until the first target that the request may be sent to is open; `None` if one
    /// is, or if there is none. Targets in `tried` don't count.
    pub(super) fn time_to_open(&self, pool: &PoolId, tried: &[TargetId]) -> Option<Duration> {
        let registry = self.relay.registry();
        let targets = registry
            .ready(pool)
            .filter(|target| self.fits_build(&registry, target) && !tried.contains(&target.id));
        let ends = targets.map(|target| self.relay.closed_until(target));
        pause::time_to_open(self.relay.now(), ends)
    }

    /// Returns whether a request whose pool has no open target is to wait no longer than `max_wait`
    /// for one.
    pub(super) fn is_worth_waiting(
        &self,
        pool: &PoolId,
        attempts: &Attempts,
        max_wait: Duration,
    ) -> bool {
        let time_to_open = self.time_to_open(pool, &attempts.tried);
        let decision = time_to_open.map(|time| pause::decide(time, max_wait, 0.0));
        !matches!(decision, Some(Decision::Refuse(_)))
    }

    /// Returns the rejection of a request that was not executed: as it is, or with the time after
    /// which a target is open if all have asked for a pause.
    pub(super) fn after_pauses(&self, pool: &PoolId, rejection: Rejection) -> Rejection {
        let is_refusal = rejection.reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        match self.time_to_open(pool, &[]) {
            Some(time) if is_refusal => Rejection::new(Reason::Paused)
                .with_retry_after(pause::retry_after(time, rand::random())),
            _ => rejection,
        }
    }

    /// Fails if the request can't be sent before its deadline, whatever happens in between.
    pub(super) fn check_pool(&self, attempts: &Attempts) -> Result<(), Rejection> {
        let pool = self.pool(attempts.possibly_executed > 0)?;
        if self.relay.registry().ready(&pool).next().is_none() {
            return Err(Rejection::new(Reason::NoTarget).with_retry_after(POOL_RETRY_AFTER));
        }
        let time = self.time_to_open(&pool, &[]);
        if time.is_some_and(|time| time >= self.remaining()) {
            return Err(self.after_pauses(&pool, Rejection::new(Reason::Paused)));
        }
        Ok(())
    }
}

/// Returns the target whose answer says that it leaves. One that answers in place of another is found
/// by its address.
fn departure(registry: &Registry, target: &TargetId, status: StatusCode) -> Option<Start> {
    let asked = registry.get(target)?;
    let answering = if status == StatusCode::MISDIRECTED_REQUEST {
        let mut others = registry.all();
        others.find(|other| other.address == asked.address && other.id != asked.id)?
    } else {
        asked
    };
    Some(Start {
        target: answering.id.clone(),
        started_unix_ms: answering.started_unix_ms,
    })
}
