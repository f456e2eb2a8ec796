//! Execution of the state machine's commands.

use super::{Daemon, state::State};
use policy::{Outcome, command::Command, decision::Decision, id::Key};

impl Daemon {
    /// Starts a command without waiting for its completion.
    pub(super) fn perform(&self, state: &mut State, command: Command) {
        match command {
            Command::Claim {
                key,
                stage,
                operation,
            } => self.operate_on_claim(key, stage, operation),
            Command::Dispatch(call) => self.dispatch(state, call),
            Command::Cancel { attempt } => self.cancel(state, attempt),
            Command::Emit {
                key,
                sequence,
                text,
            } => state.buffers.emit(&key, sequence, text),
            Command::Finish { key, outcome } => self.finish(state, &key, outcome),
            Command::SaveCheckpoint {
                key,
                stage,
                input,
                result,
            } => self.save_checkpoint(&key, stage, input, result),
            Command::Restore { key, stage, input } => self.restore_checkpoint(key, stage, input),
            Command::Lookup {
                key,
                stage,
                address,
                idempotency_key,
                ..
            } => self.look_up_effect(state, key, stage, &address, &idempotency_key),
            Command::Broadcast { frame } => self.broadcast(&frame),
            Command::LogDecision(_) => {}
        }
    }

    /// Records the final outcome of a request and delivers it to the callers.
    fn finish(&self, state: &mut State, key: &Key, outcome: Outcome) {
        let now = self.now();
        let (submitted, deadline) = state.open_requests.remove(key).unwrap_or((now, now));
        let answered = matches!(outcome, Outcome::Answered { .. });
        let seconds = now.saturating_sub(submitted).as_secs_f64();
        let name: &str = (&outcome).into();
        let attained = answered && now <= deadline;
        self.metrics()
            .record_outcome(&key.pipeline, name, seconds, attained);
        tracing::info!(
            workspace = %key.workspace, pipeline = %key.pipeline, request = %key.request,
            outcome = name, seconds, attained, "request ended"
        );
        state.buffers.finish(now, key, outcome);
    }

    /// Counts a decision and adds it to the history that operators can query.
    pub(super) fn record_decision(&self, state: &mut State, decision: &Decision) {
        let choice: &str = decision.choice.into();
        self.metrics()
            .decisions
            .with_label_values(&[decision.pool.as_str(), choice])
            .inc();
        state.decisions.push(decision.clone());
    }

    pub(super) fn count_submitted(&self, key: &Key) {
        self.metrics()
            .submitted
            .with_label_values(&[key.pipeline.as_str()])
            .inc();
    }
}

pub(super) fn log_decision(decision: &Decision) {
    let candidates = serde_json::to_string(&decision.candidates).unwrap_or_default();
    tracing::info!(
        target: "decision",
        workspace = %decision.key.workspace,
        pipeline = %decision.key.pipeline,
        request = %decision.key.request,
        stage = decision.stage,
        pool = %decision.pool,
        choice = %decision.choice,
        chosen = decision.target.as_deref(),
        candidates,
        revision = decision.revision,
        "decision"
    );
}
