//! Attribution of targets' crashes to features of requests, together with all peers.

use super::{
    event,
    frame::{CRASH_PROTOCOL, Frame, WireCrash, WireQuarantine},
    outcome::{Reason, Rejection},
    reach::Testimony,
    run::ActiveRequest,
    state::Relay,
};
use policy::{
    hash,
    id::{HostId, RequestId, TargetId},
    relay::{
        crash::{
            Change, CrashTracker, Feature, MAX_QUARANTINED, MAX_SUSPECTS, PayloadHash, Quarantine,
            Report, Verdict,
        },
        ending::{self, Process},
        leader::UnixMillis,
        quarantine::Records,
        registry::{Start, Target},
        selection::{Part, PartId},
    },
};
use std::{
    cell::{Ref, RefCell, RefMut},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, time};

/// Time from the first event within which a request may still turn out to crash its target.
pub(super) const CRASH_PERIOD: Duration = Duration::from_secs(1);
/// Delay before a target whose response was interrupted is checked for a crash; a crashing process
/// has exited by then.
pub(super) const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a target that refuses connections is tried during the check. It is shorter than
/// the time to the first event of a target that is back.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of requests that one check is about.
const MAX_CHECKED_REQUESTS: usize = 256;
/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 16;
/// Time after which all peers should know of a quarantine.
const SPREADING_TIME: Duration = Duration::from_secs(2);

/// What this daemon knows of crashes, and its checks in progress.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    tracker: RefCell<CrashTracker>,
    records: RefCell<Records>,
    /// Requests whose response was interrupted, by the target that is being checked.
    checks: RefCell<HashMap<TargetId, Vec<InterruptedRequest>>>,
    /// Notified of each crash, which may lead to the refusal of a request that waits.
    crashes: Notify,
    /// Notified at the end of each check.
    checked: Notify,
    /// Targets that broke connections and are watched for a restart.
    watched: RefCell<HashSet<TargetId>>,
}

/// A request whose response was interrupted.
#[derive(Debug)]
pub(super) struct InterruptedRequest {
    id: RequestId,
    payload: PayloadHash,
    parts: Vec<PartId>,
    features: Vec<Feature>,
    /// Whether the target had been answering it for [`CRASH_PERIOD`].
    has_begun: bool,
}

impl CrashWatch {
    pub fn tracker(&self) -> Ref<'_, CrashTracker> {
        self.tracker.borrow()
    }

    pub fn records(&self) -> Ref<'_, Records> {
        self.records.borrow()
    }

    pub fn records_mut(&self) -> RefMut<'_, Records> {
        self.records.borrow_mut()
    }
}

/// Returns the features of a request: the hash of its payload, followed by those of the shared parts of
/// its prompt.
pub(super) fn features(payload: PayloadHash, parts: &[Part]) -> Vec<Feature> {
    let parts = parts.iter().map(part_feature);
    std::iter::once(payload).chain(parts).collect()
}

fn part_feature(part: &Part) -> Feature {
    hash::texts(&["part", &part.id])
}

impl ActiveRequest {
    /// Returns an error if the request would crash its target.
    pub(super) fn check_features(&self) -> Result<(), Rejection> {
        if self.is_tried.get() {
            return Ok(());
        }
        let (relay, now) = (&self.relay, self.relay.now());
        let mut tracker = relay.crash_watch.tracker.borrow_mut();
        let is_tester = |feature| relay.is_tester(feature);
        let verdict = tracker.judge(now, &self.features, is_tester);
        drop(tracker);
        let feature = match verdict {
            Verdict::Allowed => return Ok(()),
            Verdict::Tried(feature) => {
                self.is_tried.set(true);
                event::request_tried(&self.metadata.id, feature);
                return Ok(());
            }
            Verdict::Refused(feature) => feature,
            Verdict::Extended(quarantine) => {
                relay.broadcast_quarantine([quarantine]);
                quarantine.feature
            }
        };
        let parts = self.metadata.shared_parts();
        let part = parts.iter().find(|part| part_feature(part) == feature);
        event::request_crashing(&self.metadata.id, feature, part);
        Err(Rejection::new(Reason::Crashing))
    }

    /// Waits until the request is found to crash its target.
    pub(super) async fn wait_until_crashing(&self) -> Rejection {
        loop {
            self.relay.crash_watch.crashes.notified().await;
            if let Err(rejection) = self.check_features() {
                return rejection;
            }
        }
    }

    /// Records that a target has answered the request and not crashed.
    pub(super) fn record_served(&self) {
        let relay = &self.relay;
        let mut tracker = relay.crash_watch.tracker.borrow_mut();
        let (payload, parts) = (self.features[0], &self.features[1..]);
        let change = tracker.record_served(relay.now(), Some(payload), parts);
        drop(tracker);
        if !change.cleared.is_empty() {
            relay
                .links
                .broadcast(&Frame::Served(change.cleared.clone()));
        }
        relay.announce(&change, "request served");
    }

    /// Waits until it is known whether a target that broke this request off has crashed, so that a
    /// request that crashes its target is not sent to the next one unseen.
    pub(super) async fn wait_for_crash_check(&self, target: &TargetId) {
        let has_parts = self.features.len() > 1;
        let watch = &self.relay.crash_watch;
        let is_checked = async {
            while watch.checks.borrow().contains_key(target) {
                watch.checked.notified().await;
            }
        };
        if has_parts {
            // A target that does not answer at all has not crashed because of a request.
            drop(time::timeout(CHECK_DELAY * 2, is_checked).await);
        }
    }

    /// Checks whether a target that interrupted its response has crashed. Interruptions that arrive
    /// until then are about the same crash.
    pub(super) fn check_for_crash(&self, target: &Target, has_begun: bool) {
        let parts = self.metadata.shared_parts().iter().take(MAX_LOGGED_PARTS);
        let request = InterruptedRequest {
            id: self.metadata.id.clone(),
            payload: self.features[0],
            parts: parts.map(|part| part.id.clone()).collect(),
            features: self.features.clone(),
            has_begun,
        };
        self.relay.check_for_crash(target, Some(request));
    }
}

impl Relay {
    /// Checks whether a target has crashed that interrupted its response to `request`, or that could
    /// not be reached.
    pub(super) fn check_for_crash(
        self: &Rc<Self>,
        target: &Target,
        request: Option<InterruptedRequest>,
    ) {
        self.watch_for_restart(target);
        let mut checks = self.crash_watch.checks.borrow_mut();
        if let Some(requests) = checks.get_mut(&target.id) {
            if requests.len() < MAX_CHECKED_REQUESTS {
                requests.extend(request);
            }
            return;
        }
        checks.insert(target.id.clone(), request.into_iter().collect());
        let (relay, target) = (Rc::clone(self), target.clone());
        tokio::task::spawn_local(async move {
            time::sleep(CHECK_DELAY).await;
            // Its entry may have come since the request was sent.
            let target = relay.registry().latest(&target);
            let has_crashed = relay.probe_process(&target).await == Process::Ended;
            let requests = relay.crash_watch.checks.borrow_mut().remove(&target.id);
            let requests = requests.unwrap_or_default();
            if has_crashed {
                let ending = Start {
                    target: target.id.clone(),
                    started_unix_ms: target.started_unix_ms,
                };
                relay.apply_ending(ending, "crash");
            }
            if has_crashed && relay.may_have_overloaded(&target.id) {
                // Whatever it executed is not the cause.
                event::target_overloaded(&target.id, requests.len());
            } else if has_crashed && !requests.is_empty() {
                relay.record_crash(&target, &requests);
            }
            relay.crash_watch.checked.notify_waiters();
        });
    }

    /// Records on this daemon and all peers that a target crashed while it executed these requests.
    fn record_crash(&self, target: &Target, requests: &[InterruptedRequest]) {
        for request in requests {
            event::target_crashed(
                &target.id,
                &request.id,
                request.payload,
                &request.parts,
                request.has_begun,
            );
            let crashes = &self.metrics.target_crashes;
            crashes.with_label_values(&[&target.pool]).inc();
        }
        let suspects = requests.iter().filter(|request| !request.has_begun);
        for request in suspects.clone() {
            let frame = Frame::TargetCrash(request.payload);
            self.links.broadcast_before(CRASH_PROTOCOL, &frame);
        }
        let mut features: Vec<Feature> = suspects
            .flat_map(|request| request.features.iter().copied())
            .collect();
        features.sort_unstable();
        features.dedup();
        features.truncate(MAX_SUSPECTS);
        let tracker = self.crash_watch.tracker();
        let served = features.iter().copied();
        let served = served.filter(|&feature| tracker.is_served(feature));
        let report = Report {
            target: target.id.clone(),
            served: served.collect(),
            suspects: features,
        };
        drop(tracker);
        let change = self.apply_crash(&report, Duration::ZERO);
        let crash = WireCrash::from((report, Duration::ZERO));
        self.links.broadcast(&Frame::Crashes(vec![crash]));
        self.announce(&change, "crash");
    }

    fn apply_crash(&self, report: &Report, age: Duration) -> Change {
        let mut tracker = self.crash_watch.tracker.borrow_mut();
        let change = tracker.record_crash(self.now(), age, report);
        drop(tracker);
        self.crash_watch.crashes.notify_waiters();
        change
    }

    /// Logs a change that this daemon has found, and sends new quarantines to all peers.
    fn announce(&self, change: &Change, source: &str) {
        self.record_change(change, source);
        let features = change.quarantined.iter();
        self.broadcast_quarantine(features.map(|&feature| Quarantine {
            feature,
            age: Duration::ZERO,
            is_confirmed: false,
        }));
    }

    /// Records the ending of a target that broke a connection if it refuses new ones and accepts them
    /// again before its check has ended. It may be back within milliseconds, under its identifier and
    /// with other software.
    fn watch_for_restart(self: &Rc<Self>, target: &Target) {
        let mut watched = self.crash_watch.watched.borrow_mut();
        if !watched.insert(target.id.clone()) {
            return;
        }
        let (relay, target) = (Rc::clone(self), self.registry().latest(target));
        tokio::task::spawn_local(async move {
            if let Some(started_unix_ms) = relay.find_restart(&target).await {
                let ending = Start {
                    target: target.id.clone(),
                    started_unix_ms,
                };
                relay.apply_ending(ending, "restart");
            }
            relay.crash_watch.watched.borrow_mut().remove(&target.id);
        });
    }

    /// Returns the last start of a target that has ended, if it restarts before its check has ended.
    async fn find_restart(&self, target: &Target) -> Option<UnixMillis> {
        let is_checked = || !self.crash_watch.checks.borrow().contains_key(&target.id);
        match self.try_target(target).await {
            Testimony::Refused => {}
            Testimony::Reached => {
                let started = self.ask_start_in_use(target).await?;
                return ending::last_ended_start(target, started);
            }
            Testimony::Unknown | Testimony::NoWitness => return None,
        }
        loop {
            time::sleep(RESTART_POLL_INTERVAL).await;
            let is_last = is_checked();
            if self.try_target(target).await == Testimony::Reached {
                // The end of a partition looks the same unless the target states its start.
                return match self.ask_start_in_use(target).await {
                    Some(started) => ending::last_ended_start(target, started),
                    None => Some(target.started_unix_ms),
                };
            }
            if is_last {
                return None;
            }
        }
    }

    /// Returns whether this daemon is the one that tries requests with a quarantined feature.
    fn is_tester(&self, feature: Feature) -> bool {
        let key = feature.to_string();
        let own = hash::rendezvous_weight(&key, &self.settings().host);
        let mut is_tester = !self.is_leaving();
        self.links.for_each_peer(|peer| {
            is_tester &= peer.is_leaving || hash::rendezvous_weight(&key, &peer.profile.host) < own;
        });
        is_tester
    }

    fn record_change(&self, change: &Change, source: &str) {
        for &feature in &change.quarantined {
            event::quarantine_changed(feature, true, source);
        }
        for &feature in &change.released {
            event::quarantine_changed(feature, false, source);
        }
        let quarantined = self.crash_watch.tracker().quarantined(self.now()).count();
        self.metrics.set_quarantined(quarantined);
    }

    fn broadcast_quarantine(&self, features: impl IntoIterator<Item = Quarantine>) {
        let features = features.into_iter().map(WireQuarantine::from);
        let features: Vec<WireQuarantine> = features.collect();
        if !features.is_empty() {
            self.links.broadcast(&Frame::Quarantine(features));
        }
    }

    /// Sends what this daemon knows of crashes to a peer that has just been linked.
    pub(super) fn send_crash_state(&self, host: &HostId) {
        let (now, tracker) = (self.now(), self.crash_watch.tracker());
        let features = tracker.quarantined(now).map(WireQuarantine::from);
        let features: Vec<WireQuarantine> = features.collect();
        if !features.is_empty() {
            self.links.send_to_host(host, Frame::Quarantine(features));
        }
        let crashes = tracker.reports(now).into_iter().map(WireCrash::from);
        let crashes: Vec<WireCrash> = crashes.collect();
        if !crashes.is_empty() {
            self.links.send_to_host(host, Frame::Crashes(crashes));
        }
    }

    /// Handles the report of a peer that does not know features.
    pub(super) fn receive_crash_of_payload(&self, host: &HostId, payload: PayloadHash) {
        let report = Report {
            target: TargetId::from(host.as_str()),
            suspects: vec![payload],
            served: Vec::new(),
        };
        let change = self.apply_crash(&report, Duration::ZERO);
        self.announce(&change, "peer");
    }

    /// Handles the crashes that a peer reports. It is told of features that are quarantined here for
    /// some time already.
    pub(super) fn receive_crashes(&self, host: &HostId, crashes: Vec<WireCrash>) {
        for crash in crashes {
            let (report, age) = crash.into();
            let tracker = self.crash_watch.tracker();
            let unknown = tracker.quarantined(self.now());
            let unknown = unknown.filter(|known| {
                known.age >= SPREADING_TIME && report.suspects.contains(&known.feature)
            });
            let unknown: Vec<WireQuarantine> = unknown.map(WireQuarantine::from).collect();
            drop(tracker);
            if !unknown.is_empty() {
                self.links.send_to_host(host, Frame::Quarantine(unknown));
            }
            let change = self.apply_crash(&report, age);
            self.record_change(&change, "crash");
        }
    }

    /// Handles features that a peer has seen in served requests.
    pub(super) fn receive_served(&self, features: &[Feature]) {
        let features = &features[..features.len().min(MAX_SUSPECTS)];
        let mut tracker = self.crash_watch.tracker.borrow_mut();
        let change = tracker.record_served(self.now(), None, features);
        drop(tracker);
        self.record_change(&change, "peer");
    }

    /// Handles features that a peer, or the store, says are quarantined.
    pub(super) fn receive_quarantine(&self, features: impl Iterator<Item = Quarantine>) {
        let mut change = Change::default();
        let mut tracker = self.crash_watch.tracker.borrow_mut();
        for quarantine in features.take(MAX_QUARANTINED) {
            if tracker.record_quarantine(self.now(), quarantine) {
                change.quarantined.push(quarantine.feature);
            }
        }
        drop(tracker);
        self.record_change(&change, "peer");
        self.crash_watch.crashes.notify_waiters();
    }
}
