//! Log lines about decisions, each with the values that the decision is based on.

use super::tunnel;
use crate::{http::Framing, log::ORDINARY_TARGET};
use http::StatusCode;
use policy::{
    id::{DomainId, HostId, PoolId, RequestId, TargetId},
    relay::{
        crash::{Feature, PayloadHash},
        ending::Process,
        leader::UnixMillis,
        origin::Origin,
        rate::Rate,
        reach::Evidence,
        registry::Target,
        scheduler::{PoolStats, Refusal, Reply, Scheduler},
        selection::{Part, PartId, Selection},
        sse::EventId,
    },
};
use std::time::Duration;
use strum::IntoStaticStr;

/// Summary of a request that was answered or whose caller disconnected.
#[derive(Clone, Debug)]
pub(super) struct RequestSummary<'a> {
    pub request: &'a str,
    pub route: &'a str,
    pub workspace: &'a str,
    /// Status of the answer; absent if the caller got none or the stream broke off.
    pub status: Option<StatusCode>,
    pub reason: &'a str,
    /// Target of the last send; empty if there was none.
    pub target: &'a str,
    /// Daemon through which the last send went; empty if it was direct.
    pub via: &'a str,
    pub sends: u32,
    /// Total time in which stages were computed.
    pub stages_duration: Duration,
    /// Time until the first event or whole answer; absent if there was none.
    pub first_event: Option<Duration>,
    /// Time limit for [`first_event`](Self::first_event) to count as on time.
    pub objective: Duration,
    pub total: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
    pub retry_after: Option<Duration>,
    pub revision: u64,
}

/// Logs the end of a request. This is a macro because `tracing` requires a constant target.
macro_rules! log_request_end {
    ($target:expr, $summary:ident) => {
        tracing::info!(
            target: $target,
            request = $summary.request,
            route = $summary.route,
            workspace = $summary.workspace,
            status = $summary.status.map_or(0, |status| status.as_u16()),
            reason = $summary.reason,
            target_id = $summary.target,
            via = (!$summary.via.is_empty()).then_some($summary.via),
            sends = $summary.sends,
            stages_ms = millis($summary.stages_duration),
            first_ms = $summary.first_event.map(millis),
            objective_ms = millis($summary.objective),
            total_ms = millis($summary.total),
            left_ms = millis($summary.remaining),
            retry_after_ms = $summary.retry_after.map(millis),
            revision = $summary.revision,
            "request ended"
        )
    };
}

/// Logs the end of a request; as an [`ORDINARY_TARGET`] event if it was answered on time.
pub(super) fn request_ended(summary: &RequestSummary<'_>) {
    let is_on_time = summary
        .first_event
        .is_some_and(|first| first <= summary.objective);
    if is_on_time && summary.reason == "answered" {
        log_request_end!(ORDINARY_TARGET, summary);
    } else {
        log_request_end!(module_path!(), summary);
    }
}

/// Logs that this daemon is partitioned from all targets, or no longer is.
pub(super) fn partition_changed(is_partitioned: bool, evidence: Evidence) {
    if is_partitioned {
        tracing::warn!(
            unreached = evidence.unreached,
            relayed = evidence.relayed,
            "partitioned from all targets"
        );
    } else {
        tracing::warn!("targets are reached again");
    }
}

/// Logs that a peer opened no tunnel to a target.
pub(super) fn tunnel_failed(host: &HostId, target: &TargetId, fault: &tunnel::Error) {
    tracing::info!(%host, target_id = %target, %fault, "tunnel failed");
}

/// Logs that this daemon opened no tunnel to a target for a peer.
pub(super) fn tunnel_refused(host: &HostId, target: &TargetId, result: &str) {
    tracing::info!(%host, target_id = %target, result, "tunnel refused");
}

/// Logs that this daemon became the leader, called the conductor in logs, or no longer is.
pub(super) fn leadership_changed(is_leader: bool, links: usize) {
    let message = if is_leader {
        "this daemon conducts"
    } else {
        "this daemon conducts no longer"
    };
    tracing::info!(links, "{message}");
}

/// Logs a send that returned no answer for the caller, and how the request proceeds.
pub(super) fn send_failed(
    request: &str,
    target: &TargetId,
    result: &str,
    taken: Duration,
    next_step: &str,
) {
    tracing::info!(
        request,
        target_id = %target,
        result,
        taken_ms = millis(taken),
        next = next_step,
        "send failed"
    );
}

/// Logs that a target crashed while it executed a request, with the parts of its prompt that other
/// requests may share, and whether the target had been answering it for a while.
pub(super) fn target_crashed(
    target: &TargetId,
    request: &str,
    payload: PayloadHash,
    parts: &[PartId],
    has_begun: bool,
) {
    let parts = parts.join(",");
    tracing::info!(
        target_id = %target,
        payload,
        request,
        parts,
        has_begun,
        "target died"
    );
}

/// Logs that a target crashed that had rejected about as many requests as it bears, with the number of
/// requests that it broke off.
pub(super) fn target_overloaded(target: &TargetId, requests: usize) {
    tracing::info!(target_id = %target, requests, "target died of rejections");
}

/// Logs that a request is not sent, because targets crash that execute requests with this part of its
/// prompt, or with its payload if `part` is absent.
pub(super) fn request_crashing(request: &str, feature: Feature, part: Option<&Part>) {
    let part = part.map(|part| part.id.as_str());
    tracing::info!(
        request,
        feature = format_args!("{feature:016x}"),
        part,
        "request would crash its target"
    );
}

/// Logs that a request is sent to find out whether a quarantined feature crashes its target.
pub(super) fn request_tried(request: &str, feature: Feature) {
    tracing::info!(
        request,
        feature = format_args!("{feature:016x}"),
        "request tried"
    );
}

/// Logs that requests with a feature are refused, or no longer are.
pub(super) fn quarantine_changed(feature: Feature, is_quarantined: bool, source: &str) {
    let message = if is_quarantined {
        "feature quarantined"
    } else {
        "feature released"
    };
    tracing::warn!(
        feature = format_args!("{feature:016x}"),
        source,
        "{message}"
    );
}

/// Logs that a target said that it leaves, in an answer to this daemon or to a peer.
pub(super) fn target_leaves(target: &TargetId, source: &str) {
    tracing::info!(target_id = %target, source, "target leaves");
}

/// Logs that a target turned a request away and wants nothing from this daemon for `pause`.
pub(super) fn target_paused(target: &TargetId, pause: Duration) {
    tracing::info!(target_id = %target, pause_ms = millis(pause), "target asked for a pause");
}

/// Logs that targets of a pool state how many rejections a second they bear, or no longer do.
pub(super) fn limit_changed(pool: &PoolId, max_rejections: Option<u32>) {
    let message = if max_rejections.is_some() {
        "targets bear few rejections"
    } else {
        "targets bear rejections again"
    };
    tracing::info!(%pool, max_rejections, "{message}");
}

/// Logs that the process of a target seems to have ended. Until a later start is known, it takes no
/// streams that have begun.
pub(super) fn target_ended(target: &TargetId, started: UnixMillis, source: &str) {
    tracing::info!(target_id = %target, started, source, "target seems to have ended");
}

/// Logs that a target that seemed to have ended answered with the start of its entry.
pub(super) fn target_lives(target: &TargetId, started: UnixMillis) {
    tracing::info!(target_id = %target, started, "target lives");
}

/// Logs that a stage target answered a call as it had answered an earlier one on the connection, which
/// is closed.
pub(super) fn answer_of_another_call(target: &TargetId, pieces: usize) {
    tracing::warn!(target_id = %target, pieces, "answer belongs to another call");
}

/// Logs that a target names another limit on the requests a second that it takes, or none any more.
pub(super) fn rate_changed(target: &TargetId, rate: Option<Rate>) {
    let message = if rate.is_some() {
        "target limits its requests"
    } else {
        "target takes any number of requests"
    };
    tracing::info!(target_id = %target, rate, "{message}");
}

/// Logs that a target is cold, with the limit on its requests and the time for which it holds, or that it
/// no longer is.
pub(super) fn cold_changed(target: &TargetId, limit: Option<(Rate, Duration)>) {
    if let Some((rate, left)) = limit {
        tracing::info!(target_id = %target, rate, left_ms = millis(left), "target is cold");
    } else {
        tracing::info!(target_id = %target, "target is no longer cold");
    }
}

/// Logs that the evacuation of a failure domain has begun or ended.
pub(super) fn evacuation_changed(domain: &DomainId, is_evacuated: bool, source: &str) {
    let message = if is_evacuated {
        "failure domain evacuated"
    } else {
        "evacuation of failure domain ended"
    };
    tracing::info!(domain = %domain, source, "{message}");
}

/// Logs that a request is not sent to a target because of its limit, and when the target takes the
/// next one.
pub(super) fn permit_refused(
    request: &RequestId,
    target: &TargetId,
    result: &'static str,
    wait: Duration,
) {
    tracing::info!(
        %request, target_id = %target, result, wait_ms = millis(wait),
        "limit of target keeps request back"
    );
}

/// Logs how the stream of a target ended: how its body was delimited, the last complete event, and
/// the number of bytes after it.
pub(super) fn stream_ended(
    request: &str,
    target: &TargetId,
    result: &str,
    framing: Framing,
    last_event: Option<EventId>,
    partial_bytes: usize,
) {
    let framing: &'static str = framing.into();
    tracing::info!(
        request,
        target_id = %target,
        result,
        framing,
        last_event,
        partial_bytes,
        "stream ended"
    );
}

/// Logs what a check of a target's process shows after the end of a response that only the end of its
/// connection marks.
pub(super) fn end_checked(request: &str, target: &TargetId, process: Process) {
    let process: &'static str = process.into();
    tracing::info!(request, target_id = %target, process, "undeclared end checked");
}

/// Logs that a stream goes on after the event `after`, with the first event that followed.
pub(super) fn stream_resumed(
    request: &str,
    target: &Target,
    after: Option<EventId>,
    first_event: Option<EventId>,
) {
    tracing::info!(
        request,
        target_id = %target.id,
        build = %target.build,
        after,
        first_event,
        "stream resumed"
    );
}

/// What follows from the silence of a target during one call; the name is a label value.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum SilenceStep {
    /// No other target can take the request, so the call goes on.
    Wait,
    /// The request is sent to another target.
    Move,
    /// The target went on.
    WentOn,
}

/// Logs what follows from the silence of a target during a call.
pub(super) fn target_silent(request: &str, target: &TargetId, lasted: Duration, step: SilenceStep) {
    let next: &'static str = step.into();
    tracing::info!(
        request,
        target_id = %target,
        silent_ms = millis(lasted),
        next,
        "target silent"
    );
}

/// Logs a job that the scheduler refused, with the times that the refusal is based on.
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

/// Logs the target selected for a request, with the expected costs of it and of the runner-up.
pub(super) fn target_chosen(request: &str, selection: &Selection<'_>) {
    tracing::info!(
        target: ORDINARY_TARGET,
        request,
        target_id = %selection.target.id,
        build = %selection.target.build,
        expected_ms = (selection.cost * 1e3) as u64,
        report_age_ms = selection.report_age.map(millis),
        runner_up = selection.runner_up.map(|(target, _)| target.id.as_str()),
        runner_up_ms = selection.runner_up.map(|(_, cost)| (cost * 1e3) as u64),
        "target chosen"
    );
}

/// Logs the state of one pool of the leader's scheduler.
pub(super) fn pool_stats(stats: &PoolStats, scheduler: &Scheduler, scheduler_time: Duration) {
    tracing::info!(
        pool = %stats.pool,
        waiting = stats.waiting,
        targets = stats.targets,
        busy = stats.busy,
        carried = stats.carried,
        paused = stats.paused,
        slow = stats.slow,
        room_bytes = stats.room,
        usual_ms = millis(stats.call_time),
        jobs = scheduler.unfinished_jobs(),
        share_refusals = scheduler.share_refusals(),
        scheduler_ms = millis(scheduler_time),
        "stage queue"
    );
}

/// Logs a request that takes up a stream, with the build at which the stream has to go on.
pub(super) fn stream_taken_up(
    request: &RequestId,
    stream: Option<&RequestId>,
    origin: Option<&Origin>,
    source: &str,
) {
    let pool = origin.and_then(|origin| origin.pool.as_ref());
    tracing::info!(
        request = request.as_str(),
        stream = stream.map(RequestId::as_str),
        pool = pool.map(PoolId::as_str),
        build = origin.map(|origin| origin.build.as_str()),
        source,
        "stream taken up"
    );
}

/// Logs a call to a stage target, and returns its result as a metric label.
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
    let failed_items = match reply {
        Reply::Items(items) => items.iter().filter(|item| item.is_err()).count(),
        _ => pieces,
    };
    if failed_items > 0 {
        let error = match reply {
            Reply::Items(items) => items.iter().find_map(|item| item.as_ref().err()),
            _ => None,
        };
        tracing::info!(
            target_id = %target, pieces, failed = failed_items, result,
            why = error.map(|error| -> &str { error.into() }),
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
