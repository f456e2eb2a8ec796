//! Errors of the interface.

use crate::entry::Refusal;
use dropshot::{ClientErrorStatusCode, ErrorStatusCode, HttpError};
use strum::{Display, IntoStaticStr};

/// Codes of the errors that callers and operators get.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorCode {
    /// The body is not JSON of the agreed form.
    MalformedBody,
    /// The body is longer than permitted.
    BodyTooLarge,
    /// The deadline is zero.
    DeadlineZero,
    /// The request identifier is empty, too long or has control characters.
    RequestIdInvalid,
    /// The header `last-event-id` is no number.
    LastEventIdInvalid,
    /// The request identifier was used with another payload.
    RequestIdReused,
    /// The table has no such pipeline.
    PipelineUnknown,
    /// The table has no such workspace.
    WorkspaceUnknown,
    /// The entry holds no table yet.
    NotReady,
    /// The operator's token is missing or wrong.
    Unauthorized,
}

impl ErrorCode {
    /// Returns the message for callers.
    fn message(self) -> &'static str {
        match self {
            Self::MalformedBody => "body is not JSON of the agreed form",
            Self::BodyTooLarge => "body is too large",
            Self::DeadlineZero => "deadline is zero",
            Self::RequestIdInvalid => {
                "request identifier must have 1 to 256 bytes and no control characters"
            }
            Self::LastEventIdInvalid => "header last-event-id must be a whole number",
            Self::RequestIdReused => "request identifier was used with another payload",
            Self::PipelineUnknown => "pipeline does not exist",
            Self::WorkspaceUnknown => "workspace does not exist",
            Self::NotReady => "entry holds no table yet",
            Self::Unauthorized => "operator token is missing or wrong",
        }
    }

    fn status(self) -> ErrorStatusCode {
        match self {
            Self::MalformedBody
            | Self::DeadlineZero
            | Self::RequestIdInvalid
            | Self::LastEventIdInvalid => ErrorStatusCode::BAD_REQUEST,
            Self::BodyTooLarge => ClientErrorStatusCode::PAYLOAD_TOO_LARGE.into(),
            Self::PipelineUnknown | Self::WorkspaceUnknown => ErrorStatusCode::NOT_FOUND,
            Self::RequestIdReused => ClientErrorStatusCode::CONFLICT.into(),
            Self::NotReady => ErrorStatusCode::SERVICE_UNAVAILABLE,
            Self::Unauthorized => ErrorStatusCode::UNAUTHORIZED,
        }
    }

    /// Returns the error with a message that says more.
    pub(super) fn with_message(self, message: String) -> HttpError {
        HttpError {
            status_code: self.status(),
            error_code: Some(self.to_string()),
            external_message: message.clone(),
            internal_message: message,
            headers: None,
        }
    }
}

impl From<ErrorCode> for HttpError {
    fn from(code: ErrorCode) -> Self {
        code.with_message(code.message().into())
    }
}

impl From<Refusal> for ErrorCode {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NotReady => Self::NotReady,
            Refusal::UnknownWorkspace => Self::WorkspaceUnknown,
            Refusal::UnknownPipeline => Self::PipelineUnknown,
            Refusal::IdReused => Self::RequestIdReused,
        }
    }
}
