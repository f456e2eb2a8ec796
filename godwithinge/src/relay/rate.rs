//! Limits on the rate of requests that targets name, kept together with all peers.
//!
//! The leader spends the rate of each target. Other daemons ask it for a permit before they send a
//! request to a target that names a limit. Calls to stage targets need none: only the leader makes
//! them.

use super::{
    conduct::LeaderLink,
    dialect::ResponseMetadata,
    event,
    frame::{COLD_PROTOCOL, Frame, LinkId, WirePermit, WireRate},
    run::ActiveRequest,
    state::Relay,
};
use futures::channel::oneshot;
use policy::{
    id::{HostId, TargetId, Time},
    relay::{
        pause,
        rate::{Decision, Limits, Rate, Report},
        registry::Target,
    },
};
use std::{
    cell::{Cell, RefCell, RefMut},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};
use strum::IntoStaticStr;
use tokio::time;

/// Time for which the leader's answer is awaited; several round trips between domains.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a permit is asked for again if there is no leader, or it has not answered.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after its start before which a daemon grants nothing: others may still be unknown to it.
pub(super) const GRANT_DELAY: Duration = Duration::from_millis(1_500);
/// Questions for permits at a cold target as a multiple of its rate while other targets are open.
const COLD_QUESTIONS: f64 = 2.0;
/// Longest time over which daemons spread these questions.
const MAX_COLD_SPREAD: Duration = Duration::from_secs(5);
/// Age up to which the known daemons are used again.
const FLEET_TTL: Duration = Duration::from_millis(100);
/// Interval at which limits of targets without an entry are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Limits that targets have named, and permits that this daemon has asked for.
#[derive(Debug, Default)]
pub(super) struct RateWatch {
    limits: RefCell<Limits>,
    /// When the known daemons were last recorded.
    fleet_known_at: Cell<Option<Time>>,
    permits: RefCell<HashMap<u64, oneshot::Sender<Decision>>>,
    next_number: Cell<u64>,
}

/// Why a request is not sent to a target that names a limit.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum Obstacle {
    /// The rate is spent.
    Spent,
    /// There is no leader that could be asked.
    NoLeader,
    /// The leader has not answered in time.
    NoAnswer,
}

impl RateWatch {
    /// Drops what is known of a target that has ended.
    pub fn remove_target(&self, target: &TargetId) {
        self.limits.borrow_mut().remove_target(target);
    }

    /// Returns the limits, to be changed.
    pub fn limits_mut(&self) -> RefMut<'_, Limits> {
        self.limits.borrow_mut()
    }

    /// Returns the targets that are cold, and how long requests have to expect to wait for permits.
    pub fn cold_waits(&self, now: Time) -> Vec<(TargetId, Duration)> {
        self.limits.borrow().cold_waits(now)
    }

    /// Returns until when nothing is sent to a target because of its limit.
    pub fn end(&self, now: Time, target: &Target) -> Option<Time> {
        self.limits.borrow().end(now, target)
    }
}

/// Drops limits of targets that have no entry; never returns.
pub(super) async fn expire_limits(relay: Rc<Relay>) {
    loop {
        time::sleep(EXPIRY_INTERVAL).await;
        let registry = relay.registry();
        let mut limits = relay.rates.limits.borrow_mut();
        limits.expire(relay.now(), |target| registry.get(target).is_some());
        relay.metrics.set_rate_limited_targets(limits.count());
    }
}

impl Relay {
    /// Records what an answer says of the rate of requests that its target takes, and tells the peers
    /// of what they have to know. The request was sent at `sent_at`.
    pub(super) fn record_rate(
        self: &Rc<Self>,
        target: &Target,
        sent_at: Time,
        metadata: &ResponseMetadata,
    ) {
        let rate = metadata.max_rate;
        if rate.is_some() {
            let sends = &self.metrics.rate_limited_sends;
            sends.with_label_values(&[&target.pool]).inc();
        }
        let before = self.rates.limits.borrow().named_rate(target);
        if rate.is_none() && before.is_none() {
            return;
        }
        self.record_rate_fleet();
        let mut limits = self.rates.limits.borrow_mut();
        let report = limits.record_answer(self.now(), target, sent_at, rate);
        drop(limits);
        if let Some(report) = report {
            if before != rate {
                self.apply_rate_change(&report);
            }
            self.links.broadcast(&Frame::Rates(vec![report.into()]));
        }
    }

    /// Handles what a peer tells of limits.
    pub(super) fn receive_rates(self: &Rc<Self>, reports: Vec<WireRate>) {
        self.record_rate_fleet();
        for report in reports {
            let report = Report::from(report);
            let mut limits = self.rates.limits.borrow_mut();
            let has_changed = limits.record_report(self.now(), &report);
            drop(limits);
            if has_changed {
                self.apply_rate_change(&report);
            }
        }
    }

    /// Tells a peer that has just been linked of all limits.
    pub(super) fn send_rates(&self, host: &HostId) {
        let limits = self.rates.limits.borrow();
        let reports: Vec<WireRate> = limits.reports(self.now()).map(WireRate::from).collect();
        if !reports.is_empty() {
            self.links.send_to_host(host, Frame::Rates(reports));
        }
    }

    fn apply_rate_change(self: &Rc<Self>, report: &Report) {
        event::rate_changed(&report.target, report.rate);
        let limits = self.rates.limits.borrow();
        self.metrics.set_rate_limited_targets(limits.count());
        drop(limits);
        self.limit_stage_target(&report.target);
    }

    /// Lets the scheduler call a target no more often than its limit allows.
    pub(super) fn limit_stage_target(&self, target: &TargetId) {
        let registry = self.registry();
        if let Some(target) = registry.get(target) {
            let rate = self.rates.limits.borrow().spendable(target);
            self.dispatcher.limit_target(self.now(), target, rate);
        }
    }

    /// Discards what is saved up of all rates, as long as this daemon does not lead.
    pub(super) fn hold_rates(&self) {
        let now = self.now();
        self.rates.limits.borrow_mut().hold(now);
        self.dispatcher.hold_rates(now);
    }

    /// Records which daemons share the rates.
    pub(super) fn record_rate_fleet(&self) {
        let now = self.now();
        let known_at = self.rates.fleet_known_at.get();
        if known_at.is_some_and(|at| now < at + FLEET_TTL) {
            return;
        }
        self.rates.fleet_known_at.set(Some(now));
        let mut linked = vec![self.settings().host.clone()];
        self.links
            .for_each_peer(|peer| linked.push(peer.profile.host.clone()));
        // Without links, all known addresses count.
        let min_members = match linked.len() {
            1 => self.links.addresses.count() + 1,
            _ => 0,
        };
        let mut limits = self.rates.limits.borrow_mut();
        let share = limits.share();
        limits.set_fleet(now, linked, min_members);
        let has_changed = share.to_bits() != limits.share().to_bits();
        let limited: Vec<TargetId> = limits.targets().cloned().collect();
        drop(limits);
        if has_changed {
            for target in &limited {
                self.limit_stage_target(target);
            }
        }
    }

    /// Grants or refuses a send to a target, as the leader.
    fn grant(self: &Rc<Self>, target: &TargetId, max_wait: Duration) -> Decision {
        if self.now() < GRANT_DELAY {
            return Decision::Refuse(LEADER_RETRY_DELAY);
        }
        self.record_rate_fleet();
        let mut limits = self.rates.limits.borrow_mut();
        limits.take(self.now(), target, max_wait)
    }

    /// Answers a peer that asks for a permit.
    pub(super) fn answer_permit(
        self: &Rc<Self>,
        link_id: LinkId,
        number: u64,
        rate: WireRate,
        max_wait: Duration,
        cold_for: Option<Duration>,
    ) {
        let target = rate.target.clone();
        if let Some(cold_for) = cold_for {
            self.receive_cold(vec![rate.to_cold(cold_for)]);
        }
        // A question because the target is cold does not say that it names no limit.
        if rate.is_limited() {
            self.receive_rates(vec![rate]);
        }
        let decision = match self.leads_since() {
            Some(_) => self.grant(&target, max_wait),
            None => Decision::Refuse(LEADER_RETRY_DELAY),
        };
        let permit = WirePermit::from(decision);
        self.links
            .send_on_link(link_id, Frame::Permit { number, permit });
    }

    /// Handles the leader's answer to an own question.
    pub(super) fn receive_permit(&self, number: u64, permit: WirePermit) {
        let sender = self.rates.permits.borrow_mut().remove(&number);
        let is_late = sender.is_none_or(|sender| sender.send(permit.into()).is_err());
        if is_late {
            tracing::debug!(number, "permit came too late");
        }
    }

    /// Asks the leader whether a request may be sent to a target that names a limit.
    async fn ask_for_permit(
        self: &Rc<Self>,
        target: &Target,
        max_wait: Duration,
    ) -> Result<Decision, Obstacle> {
        let host = match self.leader_link() {
            Some(LeaderLink::Own) => return Ok(self.grant(&target.id, max_wait)),
            Some(LeaderLink::Peer(host, _)) => host,
            None => return Err(Obstacle::NoLeader),
        };
        let now = self.now();
        let (report, cold) = {
            let limits = self.rates.limits.borrow();
            (limits.report(now, target), limits.cold(target))
        };
        let Some(mut report) = report else {
            return Ok(Decision::Send(Duration::ZERO));
        };
        if let Some(cold) = cold
            && !self.links.speaks(&host, COLD_PROTOCOL)
        {
            // A leader of an earlier build knows limits that targets name only.
            report.rate = Some(report.rate.map_or(cold.rate, |rate| rate.min(cold.rate)));
        }
        let number = self.rates.next_number.get();
        self.rates.next_number.set(number + 1);
        let (sender, answer) = oneshot::channel();
        {
            let mut permits = self.rates.permits.borrow_mut();
            // Requests may have ended before they were answered.
            permits.retain(|_, sender| !sender.is_canceled());
            permits.insert(number, sender)
        };
        let question = Frame::RequestPermit {
            number,
            rate: report.into(),
            max_wait,
            cold_for: cold.map(|cold| cold.until.saturating_sub(now)),
        };
        let is_sent = self.links.send_to_host(&host, question);
        let answer = if is_sent {
            time::timeout(PERMIT_TIMEOUT, answer).await.ok()
        } else {
            None
        };
        self.rates.permits.borrow_mut().remove(&number);
        match answer {
            Some(Ok(decision)) => Ok(decision),
            _ => Err(Obstacle::NoAnswer),
        }
    }
}

/// Returns the time over which daemons that were refused a send to a cold target ask again if other
/// targets take their requests. Together they then ask for a few times the rate, not each for all of it.
fn cold_spread(daemons: usize, rate: Rate) -> Duration {
    let seconds = daemons as f64 / (COLD_QUESTIONS * rate);
    Duration::try_from_secs_f64(seconds)
        .map_or(MAX_COLD_SPREAD, |spread| spread.min(MAX_COLD_SPREAD))
}

impl ActiveRequest {
    /// Waits until the request may be sent to a target. Returns `false` if it may not because of the
    /// target's limit.
    pub(super) async fn wait_for_permit(&self, target: &Target, max_wait: Duration) -> bool {
        let relay = &self.relay;
        if relay.rates.limits.borrow().rate(target).is_none() {
            return true;
        }
        let asked = relay.ask_for_permit(target, max_wait).await;
        let (wait, obstacle) = match asked {
            Ok(Decision::Send(wait)) => {
                relay.metrics.record_permit(&target.pool, "granted");
                time::sleep(wait).await;
                return true;
            }
            Ok(Decision::Refuse(wait)) => (wait, Obstacle::Spent),
            Err(obstacle) => (LEADER_RETRY_DELAY, obstacle),
        };
        let result = obstacle.into();
        relay.metrics.record_permit(&target.pool, result);
        event::permit_refused(&self.metadata.id, &target.id, result, wait);
        // Daemons do not ask again at the same moment.
        let mut until = relay.now() + pause::retry_after(wait, rand::random());
        let cold = relay.rates.limits.borrow().cold(target);
        if let Some(cold) = cold {
            relay.metrics.holds.record_held_send(&target.pool, "cold");
            if max_wait.is_zero() {
                until += cold_spread(relay.fleet_size(), cold.rate).mul_f64(rand::random());
            }
        }
        relay.rates.limits.borrow_mut().close(&target.id, until);
        false
    }

    /// Returns the time for which the request may wait for a permit; zero if another target takes it.
    pub(super) fn max_permit_wait(&self, target: &Target, has_results: bool) -> Duration {
        if self.has_unlimited_target(target) {
            return Duration::ZERO;
        }
        self.max_room_wait(has_results)
    }

    /// Returns whether another target of the pool takes any number of requests.
    fn has_unlimited_target(&self, target: &Target) -> bool {
        let registry = self.relay.registry();
        let limits = self.relay.rates.limits.borrow();
        let mut others = registry.ready(&target.pool).filter(|other| {
            self.fits_build(&registry, other)
                && other.id != target.id
                && !self.relay.is_paused(other)
        });
        others.any(|other| limits.rate(other).is_none())
    }
}
