//! Error responses of the HTTP API.

use crate::entry::SubmitError;
use dropshot::{ClientErrorStatusCode, ErrorStatusCode, HttpError};
use strum::{Display, IntoStaticStr};

/// Machine-readable code in the `error_code` field of an error response.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorCode {
    /// The body is not valid JSON or does not match the request schema.
    MalformedBody,
    /// The body exceeds the configured size limit.
    BodyTooLarge,
    /// The deadline is zero.
    DeadlineZero,
    /// The request identifier is empty, longer than 256 bytes or contains control characters.
    RequestIdInvalid,
    /// The `last-event-id` header is not a valid event number.
    LastEventIdInvalid,
    /// The request identifier was already used with a different payload.
    RequestIdReused,
    /// The table does not contain the pipeline.
    PipelineUnknown,
    /// The table does not contain the workspace.
    WorkspaceUnknown,
    /// The entry does not accept requests, for example because it has not loaded a table yet.
    NotReady,
    /// The operator token is missing or wrong.
    Unauthorized,
}

impl ErrorCode {
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

    /// Converts the code into an error with a more specific message than the default one.
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

impl From<SubmitError> for ErrorCode {
    fn from(error: SubmitError) -> Self {
        match error {
            SubmitError::NotReady => Self::NotReady,
            SubmitError::UnknownWorkspace => Self::WorkspaceUnknown,
            SubmitError::UnknownPipeline => Self::PipelineUnknown,
            SubmitError::IdReused => Self::RequestIdReused,
        }
    }
}
