//! Limits on the requests at targets that fail when they reject too many, together with all peers.

use super::{
    attempt::Attempts, dialect::ResponseMetadata, event, frame::Frame, run::ActiveRequest,
    settings::Settings, state::Relay,
};
use http::StatusCode;
use policy::{
    id::{HostId, PoolId, TargetId},
    relay::{
        leader,
        registry::{Registry, Target},
        rejection::{Answer, Limiter, MAX_REJECTED_SENDS, Report},
        selection::TargetSelector,
    },
};
use std::{
    cell::{RefCell, RefMut},
    time::{Duration, Instant},
};
use tokio::{sync::Notify, time};

/// Fraction of the objective for which a request waits for room.
const WAIT_FRACTION: f64 = 0.125;
/// Same as [`WAIT_FRACTION`] for a request whose stages are done, which would have to run again.
const STAGED_WAIT_FRACTION: f64 = 0.5;
/// Interval at which a waiting request looks for room if no call ends.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Targets that bear few rejections, and the requests that wait for room there.
#[derive(Debug)]
pub(super) struct RejectionWatch {
    limiter: RefCell<Limiter>,
    /// Notified of each call that ends.
    ended: Notify,
}

impl RejectionWatch {
    pub fn new(settings: &Settings) -> Self {
        Self {
            limiter: RefCell::new(Limiter::new(settings.host.clone())),
            ended: Notify::new(),
        }
    }

    pub fn limiter_mut(&self) -> RefMut<'_, Limiter> {
        self.limiter.borrow_mut()
    }

    /// Wakes the requests that wait for room.
    pub fn notify(&self) {
        self.ended.notify_waiters();
    }
}

/// Returns whether the status of a target that did not execute a request says that it has no room.
pub(super) fn is_rejection(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

impl ActiveRequest {
    /// Returns whether targets that bear few rejections have rejected the request too often for
    /// another send.
    pub(super) fn is_rejected(&self, pool: &PoolId, attempts: &Attempts) -> bool {
        attempts.rejected >= MAX_REJECTED_SENDS && self.relay.is_limited(pool)
    }

    /// Returns the time for which the request may wait for a target.
    pub(super) fn max_room_wait(&self, has_results: bool) -> Duration {
        let fraction = if has_results {
            STAGED_WAIT_FRACTION
        } else {
            WAIT_FRACTION
        };
        let limit = self.route.objective.mul_f64(fraction);
        limit.min(self.remaining() / 2)
    }

    /// Waits until a target has room, but only for a short time, and only if the targets bear few
    /// rejections or have asked for pauses.
    pub(super) async fn wait_for_room(&self, attempts: &Attempts, has_results: bool) {
        let Ok(pool) = self.pool(attempts.possibly_executed > 0) else {
            return;
        };
        let has_room = || {
            let is_open = self.time_to_open(&pool, &attempts.tried).is_none();
            is_open && !self.relay.is_limited(&pool)
                || self.is_rejected(&pool, attempts)
                || self.choose(&pool, attempts, None, |_| ()).is_some()
        };
        let has_targets = self.relay.registry().ready(&pool).next().is_some();
        if !has_targets || has_room() {
            return;
        }
        let limit = self.max_room_wait(has_results);
        if !self.is_worth_waiting(&pool, attempts, limit) {
            return;
        }
        let until = Instant::now() + limit;
        let mut is_found = false;
        while !is_found && Instant::now() < until {
            let ended = self.relay.rejection_watch.ended.notified();
            let next_look = (Instant::now() + ROOM_POLL_INTERVAL).min(until);
            // Room may also appear without the end of a call.
            drop(time::timeout_at(next_look.into(), ended).await);
            is_found = has_room();
        }
        let result = if is_found { "found" } else { "none" };
        let waits = &self.relay.metrics.room_waits;
        waits.with_label_values(&[&pool, result]).inc();
    }
}

impl Relay {
    /// Returns whether targets of a pool bear few rejections.
    fn is_limited(&self, pool: &PoolId) -> bool {
        let limiter = self.rejection_watch.limiter.borrow();
        limiter.is_limited(self.now(), pool)
    }

    /// Returns the targets of a pool that have room; `None` if they bear any number of rejections.
    pub(super) fn open_targets(
        &self,
        registry: &Registry,
        selector: &TargetSelector,
        pool: &PoolId,
    ) -> Option<Vec<TargetId>> {
        if !self.is_limited(pool) {
            return None;
        }
        self.record_fleet_members();
        let limiter = self.rejection_watch.limiter.borrow();
        let targets = registry.ready(pool);
        let open = limiter.open(self.now(), targets, |target| selector.in_flight(target));
        Some(open.into_iter().map(|target| target.id.clone()).collect())
    }

    /// Returns whether a target may have failed because it rejected too many requests.
    pub(super) fn may_have_overloaded(&self, target: &TargetId) -> bool {
        let limiter = self.rejection_watch.limiter.borrow();
        limiter.may_have_overloaded(self.now(), target)
    }

    pub(super) fn start_limited_call(&self, target: &Target) {
        let mut limiter = self.rejection_watch.limiter.borrow_mut();
        limiter.start_call(self.now(), target);
    }

    /// Records what a target's answer says of rejections, and tells the peers of what they have to
    /// know.
    pub(super) fn record_limit(
        &self,
        target: &Target,
        status: StatusCode,
        metadata: &ResponseMetadata,
    ) {
        let answer = Answer {
            max_rejections: metadata.max_rejections,
            load: metadata.load,
            is_rejection: metadata.is_not_executed && is_rejection(status),
        };
        let report = self.update_limiter(&target.pool, |limiter| {
            limiter.record_answer(self.now(), target, answer)
        });
        if let Some(report) = report {
            self.links.broadcast(&Frame::Rejections(report.into()));
        }
    }

    /// Handles what a peer tells of a target.
    pub(super) fn receive_rejections(&self, report: &Report) {
        self.update_limiter(&report.pool, |limiter| {
            limiter.record_report(self.now(), report);
        });
    }

    /// Calls `update`, and logs whether this begins or ends the limit of a pool.
    fn update_limiter<T>(&self, pool: &PoolId, update: impl FnOnce(&mut Limiter) -> T) -> T {
        let mut limiter = self.rejection_watch.limiter.borrow_mut();
        let before = limiter.limit(self.now(), pool);
        let result = update(&mut limiter);
        let limit = limiter.limit(self.now(), pool);
        if before.is_some() != limit.is_some() {
            event::limit_changed(pool, limit);
        }
        result
    }

    /// Records which daemons share the room of targets. Without links, all known addresses count.
    pub(super) fn record_fleet_members(&self) {
        let now = self.now();
        let mut peers: Vec<HostId> = Vec::with_capacity(self.links.count());
        self.links
            .for_each_peer(|peer| peers.push(peer.profile.host.clone()));
        let is_known = !peers.is_empty() && now >= leader::JOIN_TIMEOUT;
        let others = if is_known {
            peers.len()
        } else {
            self.links.addresses.count()
        };
        let mut limiter = self.rejection_watch.limiter.borrow_mut();
        limiter.set_peers(now, peers, others as u32 + 1);
    }
}
