//! Calls to targets that are in flight.

use super::{Daemon, state::State};
use policy::{
    Event,
    command::Call,
    fault::Fault,
    id::{AttemptId, Payload, PoolId, TargetId},
    pool::Pool,
};
use std::time::Instant;
use tokio::task::AbortHandle;

/// Call in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    task: AbortHandle,
    pool: PoolId,
    target: TargetId,
    started: Instant,
    tokens: u64,
}

/// Result of a call, as counted by the metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallResult {
    Done,
    Failed(Fault),
    Cancelled,
}

impl Daemon {
    /// Starts a call.
    pub(super) fn dispatch(&self, state: &mut State, call: Call) {
        let Some(pool) = self.pool_of(state, &call) else {
            tracing::error!(target = %call.target, "call not sent: pool of the target is unknown");
            return;
        };
        let attempt = call.attempt;
        let entry = Attempt {
            pool: pool.name.clone(),
            target: call.target.clone(),
            started: Instant::now(),
            tokens: 0,
            task: tokio::spawn(run(self.clone(), call, pool)).abort_handle(),
        };
        self.in_flight_gauge(&entry.target).inc();
        state.recently_called.insert(entry.target.clone());
        state.attempts.insert(attempt, entry);
    }

    /// Aborts a call, which closes its connection.
    pub(super) fn cancel(&self, state: &mut State, attempt: AttemptId) {
        if let Some(entry) = state.attempts.remove(&attempt) {
            entry.task.abort();
            self.count_call(&entry, CallResult::Cancelled);
        }
    }

    /// Returns the settings of the target's pool.
    ///
    /// A target that is not on the host list is taken to be in the pool of the call's stage.
    fn pool_of(&self, state: &State, call: &Call) -> Option<Pool> {
        let listed = state.hosts.get(&call.target).map(|host| &host.pool);
        let name = listed.or_else(|| stage_pool(state, call))?;
        let mut pools = self.settings().pools.iter();
        pools.find(|pool| pool.name == *name).cloned()
    }

    fn record_end(&self, attempt: AttemptId, result: CallResult) {
        if let Some(entry) = self.state().attempts.remove(&attempt) {
            self.count_call(&entry, result);
        }
    }

    fn record_progress(&self, attempt: AttemptId, text: &str) {
        if let Some(entry) = self.state().attempts.get_mut(&attempt) {
            entry.tokens += 1;
        }
        self.handle(Event::Progress {
            attempt,
            text: text.into(),
            tokens: 1,
        });
    }

    fn count_call(&self, entry: &Attempt, result: CallResult) {
        let metrics = self.metrics();
        let (label, purpose) = match result {
            CallResult::Done => ("done", "useful"),
            CallResult::Failed(fault) => (fault.into(), "wasted"),
            CallResult::Cancelled => ("cancelled", "wasted"),
        };
        let seconds = entry.started.elapsed().as_secs_f64();
        let (pool, target) = (entry.pool.as_str(), entry.target.as_str());
        metrics.calls.with_label_values(&[pool, label]).inc();
        metrics
            .target_calls
            .with_label_values(&[target, label])
            .inc();
        metrics
            .stage_seconds
            .with_label_values(&[pool, purpose])
            .add(seconds);
        metrics
            .stage_tokens
            .with_label_values(&[pool, purpose])
            .inc_by(entry.tokens);
        self.in_flight_gauge(&entry.target).dec();
    }

    fn in_flight_gauge(&self, target: &TargetId) -> prometheus::IntGauge {
        let gauges = &self.metrics().target_in_flight;
        gauges.with_label_values(&[target.as_str()])
    }
}

/// Returns the pool of a call's stage according to the table.
fn stage_pool<'a>(state: &'a State, call: &Call) -> Option<&'a PoolId> {
    let table = state.table.as_ref()?;
    let pipeline = table.pipelines.get(&call.key.pipeline)?;
    pipeline.stages.get(call.stage)
}

/// Runs a call and reports its result to the state machine.
async fn run(daemon: Daemon, call: Call, pool: Pool) {
    let attempt = call.attempt;
    let progress = |text: &str| daemon.record_progress(attempt, text);
    let result: Result<Payload, Fault> = daemon.shared.targets.run(&call, &pool, progress).await;
    match result {
        Ok(result) => {
            daemon.record_end(attempt, CallResult::Done);
            daemon.handle(Event::Done { attempt, result });
        }
        Err(fault) => {
            tracing::info!(
                request = %call.key, stage = call.stage, attempt = %attempt,
                target = %call.target, %fault, "attempt failed"
            );
            daemon.record_end(attempt, CallResult::Failed(fault));
            daemon.handle(Event::Failed { attempt, fault });
        }
    }
}
