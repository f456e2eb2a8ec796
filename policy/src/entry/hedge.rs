//! Hedging of slow calls, and migration of slow streams to another engine.

use super::{Context, Entry, request::Request, state::RequestState, timer::Due};
use crate::{decision::Choice, id::AttemptId, pool::Kind};

/// Quantile of a pool's stage times after which an attempt counts as slow.
const HEDGE_QUANTILE: f64 = 0.95;

impl Entry {
    /// Hedges a slow call, or migrates a slow stream, if the hedge budget allows it.
    ///
    /// A suspect payload is never hedged, because it may run on one target only.
    pub(super) fn hedge(&mut self, cx: &mut Context<'_>, id: AttemptId) {
        let Some(key) = self.attempts.get(&id).cloned() else {
            return;
        };
        self.with_request(&key, |entry, request| {
            let is_hedgeable =
                request.state() == RequestState::Running && request.attempts.len() == 1;
            if !is_hedgeable || entry.is_suspect(request) {
                return;
            }
            let is_engine = entry
                .pool(request)
                .is_some_and(|pool| pool.kind == Kind::Engine);
            if is_engine {
                entry.migrate_stream(cx, request, id);
                return;
            }
            let Ok(pick) = entry.choose_target(cx, request) else {
                return;
            };
            if entry.hedges.try_spend() {
                let (target, candidates) = (Some(pick.target.clone()), pick.candidates.clone());
                entry.record_decision(cx, request, Choice::Hedge, target, candidates);
                let hedge = entry.reserve(cx, request, pick);
                entry.send(cx, request, hedge);
            }
        });
    }

    /// Continues a slow stream on another engine, or checks it again later.
    ///
    /// The engines that were slow are excluded from the rest of the stage.
    fn migrate_stream(&mut self, cx: &mut Context<'_>, request: &mut Request, id: AttemptId) {
        let pick = self
            .router
            .is_slow(cx.now, id)
            .then(|| self.choose_target(cx, request).ok())
            .flatten();
        let Some(pick) = pick.filter(|_| self.hedges.try_spend()) else {
            self.schedule_hedge_check(cx, request, id);
            return;
        };
        let slow_targets = request
            .attempts
            .iter()
            .map(|attempt| attempt.target.clone());
        let slow_targets: Vec<_> = slow_targets.collect();
        request.failed_targets.extend(slow_targets);
        self.cancel_attempts(cx, request, None);
        let (target, candidates) = (Some(pick.target.clone()), pick.candidates.clone());
        self.record_decision(cx, request, Choice::Resume, target, candidates);
        let next = self.reserve(cx, request, pick);
        self.send(cx, request, next);
    }

    /// Sets a timer to check an attempt after the time in which most calls of its pool end.
    pub(super) fn schedule_hedge_check(
        &mut self,
        cx: &Context<'_>,
        request: &Request,
        id: AttemptId,
    ) {
        if let Some(time) = self
            .router
            .call_time_quantile(request.pool(), HEDGE_QUANTILE)
        {
            self.timers.set(cx.now + time, Due::Hedge(id));
        }
    }
}
