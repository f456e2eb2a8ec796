//! Inputs and outputs of the scheduler.

use super::{
    CallId,
    job::{Handle, JobId},
};
use crate::{
    id::{DomainId, PoolId, RequestId, TargetId},
    relay::stage::StageNumber,
};
use compact_str::CompactString;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// One piece in a call to a stage target.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Identifier of the request.
    pub request: RequestId,
    /// Number of the stage in the route of the request.
    pub stage: StageNumber,
    /// Index of the piece in its stage.
    pub piece: usize,
    /// Time left until the caller gives up.
    pub left: Duration,
    /// Input of the piece.
    pub source: Source,
}

/// Input of a piece.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// Key of the request's own input.
    Key(CompactString),
    /// Results of other stages.
    Inputs(Vec<Handle>),
}

/// Reason why a target did not compute a piece.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ItemError {
    /// The deadline had passed when the target came to the piece.
    Late,
    /// An input no longer exists.
    Gone,
    /// The target had no memory for the result.
    Room,
    /// The target failed to compute the piece.
    Failed,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The call completed, with one result for each item in order.
    Items(Vec<Result<Handle, ItemError>>),
    /// The target rejected the call because it is at capacity, and ran nothing.
    Full,
    /// The target could not be reached, and nothing was sent.
    Unreached,
    /// The connection failed or timed out; the call may have run.
    Lost,
    /// Another target now has the address.
    Replaced,
}

/// Reason why a job is refused.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The queues are too long to meet its deadline.
    Backlog,
    /// Its deadline could not be met even with empty queues.
    Late,
    /// Too many of its pieces failed.
    Failed,
    /// A pool of its stages has no target.
    NoTarget,
}

/// Action for the owner of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Call a stage target.
    Call {
        /// Identifier to pass to [`Scheduler::reply`](super::Scheduler::reply).
        call: CallId,
        /// The target.
        target: TargetId,
        /// Address of the target.
        address: CompactString,
        /// Pieces to compute.
        items: Vec<Item>,
        /// Time after which the call is to be reported as [`Reply::Lost`].
        timeout: Duration,
    },
    /// Report that all results of a job are stored.
    Ready {
        /// The job.
        job: JobId,
        /// Final results in order of stage and piece.
        handles: Vec<Handle>,
        /// Domain that holds the most large results, if there are any.
        domain: Option<DomainId>,
    },
    /// Report that a job is refused.
    Refuse {
        /// The job.
        job: JobId,
        /// Identifier of the request.
        request: RequestId,
        /// Expected time to the first event, given the work ahead in the queues.
        expected: Duration,
        /// Time left until the caller would have given up.
        left: Duration,
        /// Reason for the refusal.
        reason: Refusal,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Tell a target to free results.
    Free {
        /// The target.
        target: TargetId,
        /// Address of the target.
        address: CompactString,
        /// Results to free.
        handles: Vec<Handle>,
    },
}

/// Statistics of one pool, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolStats {
    /// The pool.
    pub pool: PoolId,
    /// Number of queued pieces.
    pub waiting: usize,
    /// Number of targets that accept calls.
    pub targets: usize,
    /// Number of targets that run a call.
    pub busy: usize,
    /// Number of pieces in running calls.
    pub carried: usize,
    /// Number of targets that are paused after a failure.
    pub paused: usize,
    /// Number of targets that are too slow for usual calls.
    pub slow: usize,
    /// Bytes available for results on all targets.
    pub room: u64,
    /// Mean duration of a call; zero before the first one.
    pub call_time: Duration,
}
