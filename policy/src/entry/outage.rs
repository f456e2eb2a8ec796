//! Detection of deaths that are caused by the outage of a failure domain.

use super::{Context, Entry};
use crate::{
    command::{Command, Frame},
    id::{BlockHash, DomainId, TargetId, Time},
};
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

/// Time within which deaths of several targets in one failure domain count as its outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(1);

/// Deaths of targets within [`OUTAGE_WINDOW`], oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentDeaths {
    recent: VecDeque<Death>,
}

#[derive(Debug)]
struct Death {
    at: Time,
    target: TargetId,
    domain: DomainId,
}

impl RecentDeaths {
    /// Records a death, and returns the targets of the same failure domain that died within the
    /// window, including `target`.
    fn record(&mut self, now: Time, target: &TargetId, domain: &DomainId) -> BTreeSet<TargetId> {
        let is_old = |death: &Death| death.at + OUTAGE_WINDOW < now;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        self.recent.push_back(Death {
            at: now,
            target: target.clone(),
            domain: domain.clone(),
        });
        let in_domain = self.recent.iter().filter(|death| death.domain == *domain);
        in_domain.map(|death| death.target.clone()).collect()
    }
}

impl Entry {
    /// Clears the suspect payloads whose only death is explained by the outage of a failure domain,
    /// and notifies the peers.
    ///
    /// A payload with two deaths stays quarantined.
    pub(super) fn clear_outage_suspects(&mut self, cx: &mut Context<'_>, target: &TargetId) {
        let Some(domain) = self.router.domain(target) else {
            return;
        };
        let dead = self.recent_deaths.record(cx.now, target, domain);
        if dead.len() < 2 {
            return;
        }
        for fingerprint in self.suspects_explained_by(&dead) {
            self.poison.clear_suspect(fingerprint);
            cx.commands.push(Command::Broadcast {
                frame: Frame::Cleared { fingerprint },
            });
        }
        self.mark_nonempty_queues();
    }

    /// Returns the suspect payloads with a single death, which is that of a target in `dead`.
    fn suspects_explained_by(&self, dead: &BTreeSet<TargetId>) -> Vec<BlockHash> {
        let suspects = self.poison.suspects();
        suspects
            .filter(|(_, targets)| matches!(targets.as_slice(), [one] if dead.contains(one)))
            .map(|(fingerprint, _)| fingerprint)
            .collect()
    }
}
