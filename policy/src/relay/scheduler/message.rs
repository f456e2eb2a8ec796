//! What goes in and out of a board.

use super::{
    CallId,
    job::{Handle, JobId},
};
use crate::id::{DomainId, PoolId, RequestId, TargetId};
use compact_str::CompactString;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Work for a stage target.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Identifier of the request.
    pub request: RequestId,
    /// Position of the stage.
    pub stage: usize,
    /// Number of the piece in its stage.
    pub piece: usize,
    /// Time that is left for the piece.
    pub left: Duration,
    /// What the piece is made from.
    pub source: Source,
}

/// What a piece is made from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The request's own key.
    Key(CompactString),
    /// Results of other stages.
    Inputs(Vec<Handle>),
}

/// Why a target did not make a piece.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ItemError {
    /// Its time had passed when its turn came.
    Late,
    /// An input is gone.
    Gone,
    /// There was no room for the result.
    Room,
    /// The target failed.
    Failed,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// One outcome for each item, in order.
    Items(Vec<Result<Handle, ItemError>>),
    /// The target is full and ran nothing.
    Full,
    /// Nothing was sent.
    Unreached,
    /// The connection broke or went silent; the call may have run.
    Lost,
    /// Another target has the address.
    Replaced,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The queues are too long for its deadline.
    Backlog,
    /// Its deadline can't be met any more.
    Late,
    /// Its pieces failed too often.
    Failed,
    /// A pool of its stages has no target.
    NoTarget,
}

/// What the owner of a board has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Call a stage target.
    Call {
        /// Number to give back with the reply.
        call: CallId,
        /// The target.
        target: TargetId,
        /// Its address.
        address: CompactString,
        /// What it makes.
        items: Vec<Item>,
        /// Time after which the call is given up.
        timeout: Duration,
    },
    /// All results of a job are made.
    Ready {
        /// The job.
        job: JobId,
        /// Its final results in order.
        handles: Vec<Handle>,
        /// Domain of large results.
        domain: Option<DomainId>,
    },
    /// A job is given up.
    Refuse {
        /// The job.
        job: JobId,
        /// Identifier of the request.
        request: RequestId,
        /// Time to its first event behind what goes before it, as expected now.
        expected: Duration,
        /// Time that its caller had left.
        left: Duration,
        /// Why.
        reason: Refusal,
        /// When the queues will have drained.
        retry_after: Duration,
    },
    /// Results are no longer wanted.
    Free {
        /// Their target.
        target: TargetId,
        /// Address of their target.
        address: CompactString,
        /// The results.
        handles: Vec<Handle>,
    },
}

/// State of one pool, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolStats {
    /// The pool.
    pub pool: PoolId,
    /// Pieces that wait.
    pub waiting: usize,
    /// Targets that take work.
    pub targets: usize,
    /// Targets that run a call.
    pub busy: usize,
    /// Pieces in the calls that run.
    pub carried: usize,
    /// Targets that pause after a failure.
    pub paused: usize,
    /// Bytes that are free for results.
    pub room: u64,
    /// Usual time of a call.
    pub call_time: Duration,
}
