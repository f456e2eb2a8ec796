//! Slow attempts: calls are doubled, streams are moved to another engine.

use super::{Entry, Turn, request::Request, state::Request as State, timer::Due};
use crate::{decision::Choice, id::AttemptId, pool::Kind};

/// Quantile of a stage's time after which its attempt counts as slow.
const HEDGE_QUANTILE: f64 = 0.95;

impl Entry {
    /// Doubles an attempt that is slow, or moves a stream, if the budget allows it.
    pub(super) fn hedge(&mut self, turn: &mut Turn<'_>, id: AttemptId) {
        let Some(key) = self.attempts.get(&id).cloned() else {
            return;
        };
        self.with(&key, |entry, request| {
            let slow = request.state() == State::Running && request.attempts.len() == 1;
            if !slow || entry.is_suspect(request) {
                return;
            }
            let is_engine = entry
                .pool(request)
                .is_some_and(|pool| pool.kind == Kind::Engine);
            if is_engine {
                entry.move_stream(turn, request, id);
                return;
            }
            let Ok(pick) = entry.choose(turn, request) else {
                return;
            };
            if entry.hedges.try_spend() {
                let (target, candidates) = (Some(pick.target.clone()), pick.candidates.clone());
                entry.decide(turn, request, Choice::Hedge, target, candidates);
                let double = entry.reserve(turn, request, pick);
                entry.send(turn, request, double);
            }
        });
    }

    /// Has another engine go on with a stream that is slow, and looks at it again later if not.
    fn move_stream(&mut self, turn: &mut Turn<'_>, request: &mut Request, id: AttemptId) {
        let pick = self
            .router
            .is_slow(turn.now, id)
            .then(|| self.choose(turn, request).ok())
            .flatten();
        let Some(pick) = pick.filter(|_| self.hedges.try_spend()) else {
            self.watch(turn, request, id);
            return;
        };
        let slow = request
            .attempts
            .iter()
            .map(|attempt| attempt.target.clone());
        let slow: Vec<_> = slow.collect();
        request.spent.extend(slow);
        self.cancel_others(turn, request, None);
        let (target, candidates) = (Some(pick.target.clone()), pick.candidates.clone());
        self.decide(turn, request, Choice::Resume, target, candidates);
        let next = self.reserve(turn, request, pick);
        self.send(turn, request, next);
    }

    /// Looks at an attempt again when most calls of its pool would have ended.
    pub(super) fn watch(&mut self, turn: &Turn<'_>, request: &Request, id: AttemptId) {
        if let Some(time) = self
            .router
            .call_time_quantile(request.pool(), HEDGE_QUANTILE)
        {
            self.timers.set(turn.now + time, Due::Hedge(id));
        }
    }
}
