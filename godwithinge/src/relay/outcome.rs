//! Answers that the daemon gives itself.

use super::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use policy::relay::{plan::Denial, scheduler::Refusal};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Why a caller gets an answer that no target gave.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Reason {
    /// No configuration is known yet.
    NoPlan,
    /// No route has the host and a prefix of the path.
    NoRoute,
    /// No workspace holds the access key.
    UnknownKey,
    /// The head is not in its form.
    Malformed,
    /// The body is longer than permitted.
    TooLarge,
    /// The body did not come in time.
    BodyTimeout,
    /// The queues of the stages are too long.
    Backlog,
    /// The deadline can't be met any more.
    Late,
    /// Pieces of the stages failed too often.
    StagesFailed,
    /// No target takes the request.
    NoTarget,
    /// All targets that were asked are full.
    Full,
    /// The payload has crashed the targets that ran it.
    Crashing,
    /// A target that may have run the request gave no whole answer.
    Broken,
    /// Time ran out while a target may be running the request.
    Timeout,
    /// The process is about to end.
    Leaving,
}

/// An answer that no target gave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rejection {
    /// Why.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Reason {
    /// Returns the status; 408 and 503 say that the request has not run and never will.
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
            | Self::Backlog
            | Self::Late
            | Self::StagesFailed
            | Self::NoTarget
            | Self::Full
            | Self::Crashing
            | Self::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl Rejection {
    /// Creates a rejection without a time to come back.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Sets when the caller may come back.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the answer to the caller.
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
