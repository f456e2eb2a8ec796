//! Error responses that the daemon generates itself.

use super::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use policy::relay::{plan::Denial, scheduler::Refusal};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Why the daemon rejects a request; the name is sent to the caller and is a label value.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Reason {
    /// No configuration has been loaded.
    NoPlan,
    /// No route matches the host and path.
    NoRoute,
    /// The access key is missing or belongs to no workspace.
    UnknownKey,
    /// The request head is malformed.
    Malformed,
    /// The request body exceeds the size limit.
    TooLarge,
    /// The request body was not received in time or was interrupted.
    BodyTimeout,
    /// There is no memory for the request body.
    NoMemory,
    /// The stage queues are too long to meet the deadline.
    Backlog,
    /// The deadline can no longer be met.
    Late,
    /// Stage pieces failed too often.
    StagesFailed,
    /// The pool has no available target.
    NoTarget,
    /// The stream has to go on at a build that is not known.
    UnknownBuild,
    /// The pool has no available target of the build that began the stream.
    NoBuild,
    /// All targets that were tried are full or unreachable.
    Full,
    /// All targets of the pool want no requests from this daemon for a while.
    Paused,
    /// The payload crashed targets that executed it.
    Crashing,
    /// A target that may have executed the request returned no valid response.
    Broken,
    /// The deadline passed while a target may have been executing the request.
    Timeout,
    /// The daemon is shutting down.
    Leaving,
}

/// A rejected request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rejection {
    pub reason: Reason,
    /// Time after which the caller may retry; absent if no time can be given.
    pub retry_after: Option<Duration>,
}

impl Reason {
    /// Returns the status; 408 and 503 guarantee that no target has executed the request or will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::NoPlan
            | Self::NoMemory
            | Self::Backlog
            | Self::Late
            | Self::StagesFailed
            | Self::NoTarget
            | Self::UnknownBuild
            | Self::NoBuild
            | Self::Full
            | Self::Paused
            | Self::Crashing
            | Self::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Returns whether a response with this status tells the caller that no target has executed the request
/// or will.
pub(super) fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

impl Rejection {
    /// Creates a rejection without a retry time.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the response to the caller; `retry-after` is in seconds with three decimals.
    pub fn into_response(self) -> Response<Body> {
        let name: &'static str = self.reason.into();
        let mut response = Response::new(Body::new(format!("{{\"error\":\"{name}\"}}\n")));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(after) = self.retry_after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

impl From<Denial> for Rejection {
    fn from(denial: Denial) -> Self {
        Self::new(match denial {
            Denial::NoRoute => Reason::NoRoute,
            Denial::UnknownKey => Reason::UnknownKey,
        })
    }
}

impl From<Refusal> for Reason {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Backlog => Self::Backlog,
            Refusal::Late => Self::Late,
            Refusal::Failed => Self::StagesFailed,
            Refusal::NoTarget => Self::NoTarget,
        }
    }
}
