//! Admission of requests under the ceilings of their workspace and pipeline.

use super::{Entry, Turn, request::Request, timer::Due};
use crate::{
    ceiling,
    command::Command,
    decision::Choice,
    id::{HostId, Time},
    outcome::Reason,
    table::row,
};
use std::time::Duration;

impl Entry {
    /// Begins the first stage once the ceilings allow it, or refuses the request.
    pub(super) fn admit(&mut self, turn: &mut Turn<'_>, request: &mut Request) {
        let [workspace, pipeline] = limited_rows(request);
        let patience = self.slack(turn.now, request);
        let start = self
            .ceiling
            .admit(turn.now, &[&workspace, &pipeline], patience);
        request.admitted = start.is_ok();
        match start {
            Ok(Duration::ZERO) => self.enter_stage(turn, request),
            Ok(wait) => self.postpone(turn, request, wait),
            Err(full) => {
                self.decide(turn, request, Choice::GiveUp, None, Vec::new());
                self.conclude_after(turn, request, Reason::Ceiling, Some(full.retry_after));
            }
        }
    }

    /// Leaves the start of a request that ended before any call to another request.
    pub(super) fn give_back_start(&mut self, now: Time, request: &Request) {
        if request.admitted && !request.dispatched {
            let [workspace, pipeline] = limited_rows(request);
            self.ceiling.refund(now, &[&workspace, &pipeline]);
        }
    }

    /// Takes in who shares the ceilings.
    pub(super) fn set_members(&mut self, now: Time, members: &[HostId], steady: bool) {
        self.ceiling.set_members(now, members, steady);
    }

    /// Moves the entry's parts of the ceilings and tells the peers.
    pub(super) fn tick_ceilings(&mut self, turn: &mut Turn<'_>) {
        let mut frames = Vec::new();
        self.ceiling.tick(turn.now, &mut frames);
        let broadcasts = frames.into_iter().map(|frame| Command::Broadcast { frame });
        turn.out.extend(broadcasts);
        self.arm_ceilings(turn.now);
    }

    /// Sets the timer of the next tick, as long as there are ceilings.
    pub(super) fn arm_ceilings(&mut self, now: Time) {
        self.ticking = !self.ceiling.is_empty();
        if self.ticking {
            self.timers.set(now + ceiling::TICK, Due::Ceilings);
        }
    }

    fn postpone(&mut self, turn: &mut Turn<'_>, request: &mut Request, wait: Duration) {
        self.decide(turn, request, Choice::Wait, None, Vec::new());
        let due = Due::Pause {
            key: request.key.clone(),
            epoch: request.epoch,
        };
        self.timers.set(turn.now + wait, due);
    }
}

/// Returns the rows whose ceilings a request counts under.
fn limited_rows(request: &Request) -> [row::Key; 2] {
    [
        row::Key::new(row::Kind::Workspace, request.key.workspace.clone()),
        row::Key::new(row::Kind::Pipeline, request.key.pipeline.clone()),
    ]
}
