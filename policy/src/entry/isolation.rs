//! Payloads that end the targets that run them.
//!
//! After a first death only the entry that saw it may run the payload again, alone on one target.
//! At all other entries the payload waits until they hear that it is cleared. A second death
//! quarantines it everywhere, so that a payload costs the fleet at most two targets unless it
//! runs at several entries before its first death is known.

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
    /// Returns whether a target died of the payload in the pool of the current stage.
    pub(super) fn is_suspect(&self, request: &Request) -> bool {
        matches!(
            self.poison.status(request.pool_fingerprint()),
            Status::Suspect { .. }
        )
    }

    /// Returns whether a payload may run nowhere any more.
    pub(super) fn is_quarantined(&self, fingerprint: BlockHash) -> bool {
        matches!(self.poison.status(fingerprint), Status::Quarantined)
    }

    /// Returns whether a suspect payload must wait until a peer has cleared it.
    pub(super) fn is_blocked(&self, fingerprint: BlockHash) -> bool {
        let is_suspect = matches!(self.poison.status(fingerprint), Status::Suspect { .. });
        is_suspect && self.blocked.contains(&fingerprint)
    }

    /// Ends a request whose payload may not run.
    pub(super) fn quarantine(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        self.record_decision(cx, request, Choice::Quarantine, None, Vec::new());
        self.conclude(cx, request, Reason::Quarantined);
    }

    /// Makes the payload suspect if the target may have died of it, and tells the peers.
    pub(super) fn record_death(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        attempt: &Attempt,
        fault: Fault,
    ) {
        if !fault.is_death() {
            return;
        }
        let fingerprint = request.pool_fingerprint();
        self.poison.died(cx.now, fingerprint, &attempt.target);
        let targets = self.poison.deaths(fingerprint).to_vec();
        let frame = Frame::Suspect {
            fingerprint,
            targets,
        };
        cx.commands.push(Command::Broadcast { frame });
        self.clear_outage_suspects(cx, &attempt.target);
    }

    /// Clears a suspect payload that ran without ending its target, and tells the peers.
    pub(super) fn record_survival(&mut self, cx: &mut Context<'_>, request: &Request) {
        if self.is_suspect(request) {
            let fingerprint = request.pool_fingerprint();
            self.poison.survived(fingerprint);
            cx.commands.push(Command::Broadcast {
                frame: Frame::Cleared { fingerprint },
            });
        }
    }

    /// Returns what a new peer must know of payloads that ended targets.
    pub fn suspect_frames(&self) -> Vec<Frame> {
        let suspects = self.poison.suspects();
        suspects
            .map(|(fingerprint, targets)| Frame::Suspect {
                fingerprint,
                targets,
            })
            .collect()
    }

    /// Takes in that a payload ended targets at a peer.
    ///
    /// Where both saw the same death, the one whose name comes first may run the payload again.
    pub(super) fn merge_suspect(
        &mut self,
        cx: &mut Context<'_>,
        from: &HostId,
        fingerprint: BlockHash,
        targets: &[TargetId],
    ) {
        let own = matches!(self.poison.status(fingerprint), Status::Suspect { .. })
            && !self.blocked.contains(&fingerprint);
        self.poison.merge(cx.now, fingerprint, targets);
        if !own || *from < self.settings.host {
            self.blocked.insert(fingerprint);
        }
        self.stop_running(cx, fingerprint);
    }

    /// Takes a payload back that may not run here any more; a blocked one waits.
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

    /// Returns the requests that have a payload in flight, in order of their names.
    pub(super) fn requests_running(&self, fingerprint: BlockHash) -> Vec<Key> {
        let all = self.requests.values();
        let mut keys: Vec<_> = all
            .filter(|request| {
                !request.attempts.is_empty() && request.pool_fingerprint() == fingerprint
            })
            .map(|request| request.key.clone())
            .collect();
        keys.sort_unstable();
        keys
    }
}
