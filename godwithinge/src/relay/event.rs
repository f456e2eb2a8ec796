//! Log lines of decisions, each with what decided it.

use crate::log::ORDINARY;
use http::StatusCode;
use policy::{
    id::TargetId,
    relay::{
        scheduler::{PoolStats, Refusal, Reply},
        selection::Selection,
    },
};
use std::time::Duration;

/// A request that got its final answer, or whose caller left.
#[derive(Clone, Debug)]
pub(super) struct End<'a> {
    pub request: &'a str,
    pub route: &'a str,
    pub workspace: &'a str,
    pub status: Option<StatusCode>,
    pub reason: &'a str,
    pub target: &'a str,
    pub sends: u32,
    pub stages: Duration,
    pub first: Option<Duration>,
    pub objective: Duration,
    pub total: Duration,
    pub left: Duration,
    pub retry_after: Option<Duration>,
    pub revision: u64,
}

/// Writes the line of a request's end; tracing takes only constant targets.
macro_rules! log_end {
    ($target:expr, $end:ident) => {
        tracing::info!(
            target: $target,
            request = $end.request,
            route = $end.route,
            workspace = $end.workspace,
            status = $end.status.map_or(0, |status| status.as_u16()),
            reason = $end.reason,
            target_id = $end.target,
            sends = $end.sends,
            stages_ms = millis($end.stages),
            first_ms = $end.first.map(millis),
            objective_ms = millis($end.objective),
            total_ms = millis($end.total),
            left_ms = millis($end.left),
            retry_after_ms = $end.retry_after.map(millis),
            revision = $end.revision,
            "request ended"
        )
    };
}

/// Logs the end of a request; one that was answered in time is an ordinary event.
pub(super) fn request_ended(end: &End<'_>) {
    let is_in_time = end.first.is_some_and(|first| first <= end.objective);
    if is_in_time && end.reason == "answered" {
        log_end!(ORDINARY, end);
    } else {
        log_end!(module_path!(), end);
    }
}

/// Logs that this daemon conducts for others from now on, or no longer.
pub(super) fn lead_changed(conducts: bool, links: usize) {
    let message = if conducts {
        "this daemon conducts"
    } else {
        "this daemon conducts no longer"
    };
    tracing::info!(links, "{message}");
}

/// Logs a send that gave no answer to pass on.
pub(super) fn send_failed(
    request: &str,
    target: &TargetId,
    result: &str,
    taken: Duration,
    next: &str,
) {
    tracing::info!(
        request,
        target_id = %target,
        result,
        taken_ms = millis(taken),
        next,
        "send failed"
    );
}

/// Logs a job that the board gave up, with the times that decided it.
pub(super) fn job_refused(
    request: &str,
    reason: Refusal,
    expected: Duration,
    left: Duration,
    retry_after: Duration,
) {
    tracing::info!(
        request,
        %reason,
        expected_ms = millis(expected),
        left_ms = millis(left),
        retry_after_ms = millis(retry_after),
        "stages refused"
    );
}

/// Logs which target a request is sent to, and why not the next best.
pub(super) fn target_chosen(request: &str, pick: &Selection<'_>) {
    tracing::info!(
        target: ORDINARY,
        request,
        target_id = %pick.target.id,
        expected_ms = (pick.cost * 1e3) as u64,
        report_age_ms = pick.report_age.map(millis),
        runner_up = pick.runner_up.map(|(target, _)| target.id.as_str()),
        runner_up_ms = pick.runner_up.map(|(_, cost)| (cost * 1e3) as u64),
        "target chosen"
    );
}

/// Logs the state of one pool of the conductor's board.
pub(super) fn pool_seen(view: &PoolStats, jobs: usize) {
    tracing::info!(
        pool = %view.pool,
        waiting = view.waiting,
        targets = view.targets,
        busy = view.busy,
        carried = view.carried,
        paused = view.paused,
        room_bytes = view.room,
        usual_ms = millis(view.call_time),
        jobs,
        "stage queue"
    );
}

/// Logs a call to a stage target, and returns the name of its result.
pub(super) fn stage_call(
    target: &TargetId,
    pieces: usize,
    taken: Duration,
    reply: &Reply,
) -> &'static str {
    let result = match reply {
        Reply::Items(_) => "made",
        Reply::Full => "full",
        Reply::Unreached => "unreached",
        Reply::Lost => "lost",
        Reply::Replaced => "replaced",
    };
    let failed = match reply {
        Reply::Items(items) => items.iter().filter(|item| item.is_err()).count(),
        _ => pieces,
    };
    if failed > 0 {
        let why = match reply {
            Reply::Items(items) => items.iter().find_map(|item| item.as_ref().err()),
            _ => None,
        };
        tracing::info!(
            target_id = %target, pieces, failed, result, why = why.map(|why| -> &str { why.into() }),
            taken_ms = millis(taken), "stage call"
        );
    } else {
        tracing::debug!(target_id = %target, pieces, taken_ms = millis(taken), "stage call");
    }
    result
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
