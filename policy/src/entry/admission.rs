//! Admission of requests under the ceilings of their workspace and pipeline.

use super::{Context, Entry, request::Request, timer::Due};
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
    /// Starts the first stage as soon as the ceilings allow it, or refuses the request.
    pub(super) fn admit(&mut self, cx: &mut Context<'_>, request: &mut Request) {
        let [workspace, pipeline] = ceiling_rows(request);
        let max_wait = self.slack(cx.now, request);
        let start = self
            .ceiling
            .admit(cx.now, &[&workspace, &pipeline], max_wait);
        request.admitted = start.is_ok();
        match start {
            Ok(Duration::ZERO) => self.start_stage(cx, request),
            Ok(wait) => self.delay_start(cx, request, wait),
            Err(full) => {
                self.record_decision(cx, request, Choice::GiveUp, None, Vec::new());
                self.conclude_with_retry_after(
                    cx,
                    request,
                    Reason::Ceiling,
                    Some(full.retry_after),
                );
            }
        }
    }

    /// Returns the admission of a request that ended before any call, for use by another request.
    pub(super) fn return_admission(&mut self, now: Time, request: &Request) {
        if request.admitted && !request.dispatched {
            let [workspace, pipeline] = ceiling_rows(request);
            self.ceiling.refund(now, &[&workspace, &pipeline]);
        }
    }

    /// Sets the daemons that share the ceilings, and whether all of them are reachable.
    pub(super) fn set_members(&mut self, now: Time, members: &[HostId], stable: bool) {
        self.ceiling.set_members(now, members, stable);
    }

    /// Adjusts the entry's quotas of the ceilings to the demand, and notifies the peers.
    pub(super) fn tick_ceilings(&mut self, cx: &mut Context<'_>) {
        let mut frames = Vec::new();
        self.ceiling.tick(cx.now, &mut frames);
        let broadcasts = frames.into_iter().map(|frame| Command::Broadcast { frame });
        cx.commands.extend(broadcasts);
        self.schedule_ceiling_tick(cx.now);
    }

    /// Sets the timer of the next tick, unless no row has a ceiling.
    pub(super) fn schedule_ceiling_tick(&mut self, now: Time) {
        self.tick_scheduled = !self.ceiling.is_empty();
        if self.tick_scheduled {
            self.timers.set(now + ceiling::TICK, Due::CeilingTick);
        }
    }

    fn delay_start(&mut self, cx: &mut Context<'_>, request: &mut Request, wait: Duration) {
        self.record_decision(cx, request, Choice::Wait, None, Vec::new());
        let due = Due::Delay {
            key: request.key.clone(),
            epoch: request.epoch,
        };
        self.timers.set(cx.now + wait, due);
    }
}

/// Returns the rows whose ceilings apply to a request.
fn ceiling_rows(request: &Request) -> [row::Key; 2] {
    [
        row::Key::new(row::Kind::Workspace, request.key.workspace.clone()),
        row::Key::new(row::Kind::Pipeline, request.key.pipeline.clone()),
    ]
}
