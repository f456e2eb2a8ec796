//! Isolation of payloads that crash the targets that run them.
//!
//! After a first death of a target, only the entry that detected it may run the payload again,
//! alone on one target. All other entries block the payload until they learn that it was cleared.
//! A second death quarantines the payload at every entry. A payload therefore crashes at most two
//! targets, unless it runs at several entries before its first death is known to them.

use super::{
    Context, Entry,
    request::{Attempt, Request},
    state::RequestStep,
};
use crate::{
    command::{Command, Frame},
    decision::Choice,
    fault::Fault,
    id::{BlockHash, HostId, Key, TargetId},
    outcome::Reason,
    poison::Status,
};

impl Entry {
    /// Returns whether a target of the current stage's pool died while it ran the payload.
    pub(super) fn is_suspect(&self, request: &Request) -> bool {
        matches!(
            self.poison.status(request.pool_fingerprint()),
            Status::Suspect { .. }
        )
    }

    /// Returns whether no entry may run the payload.
    pub(super) fn is_quarantined(&self, fingerprint: BlockHash) -> bool {
        matches!(self.poison.status(fingerprint), Status::Quarantined)
    }

    /// Returns whether a suspect payload has to wait until a peer clears it.
    pub(super) fn is_blocked(&self, fingerprint: BlockHash) -> bool {
        let is_suspect = matches!(self.poison.status(fingerprint), Status::Suspect { .. });
        is_suspect && self.blocked.contains(&fingerprint)
    }

    /// Ends a request whose payload is quarantined.
    pub(super) fn quarantine(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        self.record_decision(cx, request, Choice::Quarantine, None, Vec::new());
        self.conclude(cx, request, Reason::Quarantined);
    }

    /// Marks the payload as suspect if its target may have died, and notifies the peers.
    pub(super) fn record_death(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        attempt: &Attempt,
        fault: Fault,
    ) {
        if !fault.may_be_crash() {
            return;
        }
        let fingerprint = request.pool_fingerprint();
        self.poison
            .record_crash(cx.now, fingerprint, &attempt.target);
        let targets = self.poison.crashes(fingerprint).to_vec();
        let frame = Frame::Suspect {
            fingerprint,
            targets,
        };
        cx.commands.push(Command::Broadcast { frame });
        self.clear_outage_suspects(cx, &attempt.target);
    }

    /// Clears a suspect payload that ran without crashing its target, and notifies the peers.
    pub(super) fn record_survival(&mut self, cx: &mut Context<'_>, request: &Request) {
        if self.is_suspect(request) {
            let fingerprint = request.pool_fingerprint();
            self.poison.clear_suspect(fingerprint);
            cx.commands.push(Command::Broadcast {
                frame: Frame::Cleared { fingerprint },
            });
        }
    }

    /// Returns the frames that inform a new peer of all suspect and quarantined payloads.
    pub fn suspect_frames(&self) -> Vec<Frame> {
        let suspects = self.poison.suspects();
        suspects
            .map(|(fingerprint, targets)| Frame::Suspect {
                fingerprint,
                targets,
            })
            .collect()
    }

    /// Merges a peer's report of targets that died while they ran a payload.
    ///
    /// If both entries detected the death, the one whose host name sorts first may run the payload
    /// again, so that only one of them does.
    pub(super) fn merge_suspect(
        &mut self,
        cx: &mut Context<'_>,
        from: &HostId,
        fingerprint: BlockHash,
        targets: &[TargetId],
    ) {
        let is_detector = matches!(self.poison.status(fingerprint), Status::Suspect { .. })
            && !self.blocked.contains(&fingerprint);
        self.poison.merge(cx.now, fingerprint, targets);
        if !is_detector || *from < self.settings.host {
            self.blocked.insert(fingerprint);
        }
        self.stop_running(cx, fingerprint);
    }

    /// Stops the idempotent attempts of a payload that is quarantined or blocked.
    ///
    /// Requests with a quarantined payload end; those with a blocked one are retried later.
    fn stop_running(&mut self, cx: &mut Context<'_>, fingerprint: BlockHash) {
        let is_quarantined = self.is_quarantined(fingerprint);
        if !is_quarantined && !self.is_blocked(fingerprint) {
            return;
        }
        for key in self.requests_running(fingerprint) {
            self.with_request(&key, |entry, request| {
                if !entry.pool(request).is_some_and(|pool| pool.idempotent) {
                    return;
                }
                if is_quarantined {
                    entry.quarantine(cx, request);
                } else if request.step(RequestStep::Retry) {
                    entry.cancel_attempts(cx, request, None);
                    entry.schedule_retry(cx, request);
                }
            });
        }
    }

    /// Returns the keys of the requests that have the payload in flight, in sorted order.
    pub(super) fn requests_running(&self, fingerprint: BlockHash) -> Vec<Key> {
        let requests = self.requests.values();
        let mut keys: Vec<_> = requests
            .filter(|request| {
                !request.attempts.is_empty() && request.pool_fingerprint() == fingerprint
            })
            .map(|request| request.key.clone())
            .collect();
        keys.sort_unstable();
        keys
    }
}
