//! State charts of requests, attempts and the daemon.
//!
//! The variants are the names in the chart files; the transitions are in the files alone.

use crate::chart::{Chart, chart_enum};
use std::sync::LazyLock;

chart_enum! {
    /// State of a request, from `charts/request.toml`.
    RequestState {
        /// The current stage is queued for a target, or waits for a delay to pass.
        Waiting,
        /// The object store is being queried for a checkpointed result of the stage.
        Restoring,
        /// The claim row of a non-idempotent stage is being inserted.
        Claiming,
        /// At least one attempt is in flight.
        Running,
        /// The claim is held; the target was full and the call will be sent again.
        Held,
        /// Another attempt holds the claim; its row is polled until it is settled.
        Watching,
        /// The claim row is being deleted because its call was not sent.
        Releasing,
        /// The target is being queried for the result of a broken call.
        Looking,
        /// The refusal of a repeated request is being recorded.
        Refusing,
        /// The caller has its outcome while a non-idempotent call is still running.
        Detached,
        /// The request has its final outcome.
        Ended,
    }
}

chart_enum! {
    /// Transition of a request.
    RequestStep {
        /// Query the object store for a checkpointed result.
        Restore,
        /// The object store has no result.
        Miss,
        /// Insert the claim row.
        Claim,
        /// Send a call.
        Send,
        /// The claim row belongs to another attempt.
        Taken,
        /// The result of the stage is known.
        Done,
        /// Queue the stage again after a failed or stopped attempt.
        Retry,
        /// Keep the claim and send the call again later.
        Hold,
        /// Delete the claim row.
        Release,
        /// The claim row is absent, so that the stage can be claimed again.
        Free,
        /// Query the target for the result of the call.
        Look,
        /// Record that the request is refused.
        Refuse,
        /// Give the caller its outcome and let the call continue.
        Detach,
        /// Another copy of a detached request arrived.
        Attach,
        /// Give the final outcome.
        End,
    }
}

chart_enum! {
    /// State of an attempt, from `charts/attempt.toml`.
    AttemptState {
        /// Capacity at the target is reserved; no call is running.
        Reserved,
        /// The call was sent.
        Sent,
        /// Parts of the result have arrived.
        Streaming,
        /// The attempt is over.
        Ended,
    }
}

chart_enum! {
    /// Transition of an attempt.
    AttemptStep {
        /// Send the call.
        Send,
        /// A part of the result arrived.
        Progress,
        /// The target was full and did not run the call.
        Busy,
        /// The attempt is over.
        End,
    }
}

chart_enum! {
    /// State of the daemon, from `charts/daemon.toml`.
    DaemonState {
        /// No table has been received yet.
        Starting,
        /// New requests are accepted.
        Serving,
        /// New requests are rejected; those in flight are finished.
        Leaving,
        /// No request is in flight and none will be accepted.
        Ended,
    }
}

chart_enum! {
    /// Transition of the daemon.
    DaemonStep {
        /// A table was received.
        Table,
        /// The daemon was told to drain.
        Drain,
        /// The last request in flight has ended.
        Idle,
    }
}

/// State chart of a request.
pub static REQUEST: LazyLock<Chart<RequestState, RequestStep>> =
    LazyLock::new(|| parse_embedded(include_str!("../../charts/request.toml")));

/// State chart of an attempt.
pub static ATTEMPT: LazyLock<Chart<AttemptState, AttemptStep>> =
    LazyLock::new(|| parse_embedded(include_str!("../../charts/attempt.toml")));

/// State chart of the daemon.
pub static DAEMON: LazyLock<Chart<DaemonState, DaemonStep>> =
    LazyLock::new(|| parse_embedded(include_str!("../../charts/daemon.toml")));

/// Parses a chart that is embedded in the program.
///
/// # Panics
///
/// Panics if `text` is not a valid chart. The tests load each embedded chart.
fn parse_embedded<S: crate::chart::ChartName, E: crate::chart::ChartName>(
    text: &str,
) -> Chart<S, E> {
    Chart::from_str(text).expect("embedded chart is valid")
}
