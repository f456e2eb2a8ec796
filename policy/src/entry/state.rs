//! States of requests, attempts and the daemon, as their charts give them.

use crate::chart::{Chart, chart_enum};
use std::sync::LazyLock;

chart_enum! {
    /// State of a request.
    Request {
        /// The current stage waits for a target.
        Waiting,
        /// The object store is asked for a kept result.
        Restoring,
        /// The claim is being inserted.
        Claiming,
        /// At least one attempt is in flight.
        Running,
        /// The claim is held and the call will be sent again.
        Held,
        /// Another attempt holds the claim.
        Watching,
        /// The claim is being deleted.
        Releasing,
        /// The target is asked what became of a call.
        Looking,
        /// The refusal is being recorded.
        Refusing,
        /// The caller has its outcome, and the call goes on.
        Detached,
        /// The request has its final outcome.
        Ended,
    }
}

chart_enum! {
    /// Step of a request.
    Step {
        /// Ask the object store.
        Restore,
        /// No result is kept.
        Miss,
        /// Insert the claim.
        Claim,
        /// Send a call.
        Send,
        /// Another attempt holds the claim.
        Taken,
        /// The stage has its result.
        Done,
        /// Repeat the stage at another target.
        Retry,
        /// Keep the claim and send again later.
        Hold,
        /// Delete the claim.
        Release,
        /// The claim is free again.
        Free,
        /// Ask the target what became of the call.
        Look,
        /// Record the refusal.
        Refuse,
        /// Answer the caller and let the call go on.
        Detach,
        /// A caller asks again for a detached request.
        Attach,
        /// Give the final outcome.
        End,
    }
}

chart_enum! {
    /// State of an attempt.
    Attempt {
        /// Room at the target is taken.
        Reserved,
        /// The call was sent.
        Sent,
        /// Parts of the result have come.
        Streaming,
        /// The attempt is over.
        Ended,
    }
}

chart_enum! {
    /// Step of an attempt.
    AttemptStep {
        /// Send the call.
        Send,
        /// A part of the result came.
        Progress,
        /// The target was full.
        Busy,
        /// The attempt is over.
        End,
    }
}

chart_enum! {
    /// State of the daemon.
    Daemon {
        /// No table is held yet.
        Starting,
        /// Requests are served.
        Serving,
        /// What is in flight is finished.
        Leaving,
        /// Nothing is in flight.
        Ended,
    }
}

chart_enum! {
    /// Step of the daemon.
    DaemonStep {
        /// A table came.
        Table,
        /// The daemon is to leave.
        Drain,
        /// Nothing is in flight.
        Idle,
    }
}

/// Chart of requests.
pub static REQUEST: LazyLock<Chart<Request, Step>> =
    LazyLock::new(|| embedded(include_str!("../../charts/request.toml")));

/// Chart of attempts.
pub static ATTEMPT: LazyLock<Chart<Attempt, AttemptStep>> =
    LazyLock::new(|| embedded(include_str!("../../charts/attempt.toml")));

/// Chart of the daemon.
pub static DAEMON: LazyLock<Chart<Daemon, DaemonStep>> =
    LazyLock::new(|| embedded(include_str!("../../charts/daemon.toml")));

/// Reads a chart that is part of the program.
///
/// # Panics
///
/// Panics if the embedded file is not a valid chart; tests load each of them.
fn embedded<S: crate::chart::ChartName, E: crate::chart::ChartName>(text: &str) -> Chart<S, E> {
    Chart::from_str(text).expect("embedded chart is valid")
}
