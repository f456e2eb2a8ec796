//! Request and response bodies, path parameters and queries of the HTTP API.

use compact_str::CompactString;
use policy::{
    Outcome, directory,
    id::{DomainId, HostId, RequestId, WorkspaceId},
    member::Member,
    outcome::{Effects, Reason},
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::time::Duration;

/// Body of a submitted request.
#[derive(Debug, Deserialize)]
pub(super) struct Request {
    pub(super) workspace: WorkspaceId,
    #[serde(rename = "request")]
    pub(super) id: RequestId,
    pub(super) deadline_ms: u64,
    #[serde(default)]
    pub(super) retry: bool,
    #[serde(default)]
    pub(super) stream: bool,
    pub(super) payload: Box<RawValue>,
}

/// Final outcome of a request, as a response body or as the data of the last event.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(super) enum OutcomeBody {
    Answered {
        request: RequestId,
        answer: Box<RawValue>,
    },
    NotRun {
        request: RequestId,
        reason: Reason,
        retry_after_ms: u64,
    },
    Failed {
        request: RequestId,
        stage: CompactString,
        effects: Effects,
        reason: Reason,
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
    },
    Unknown {
        request: RequestId,
        stage: CompactString,
    },
}

/// Data of an event with one part of a streamed answer.
#[derive(Debug, Serialize)]
pub(super) struct PartData<'a> {
    pub(super) text: &'a str,
}

/// Query of a directory request.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct EntriesQuery {
    /// Workspace of the caller.
    #[serde(default)]
    pub(super) workspace: String,
    /// Failure domain of the caller.
    pub(super) domain: Option<String>,
}

/// Response of the directory.
#[derive(Debug, Serialize)]
pub(super) struct Entries {
    pub(super) entries: Vec<Entry>,
    pub(super) ttl_ms: u64,
}

/// Entry in a directory response.
#[derive(Debug, Serialize)]
pub(super) struct Entry {
    host: HostId,
    address: CompactString,
    domain: DomainId,
}

/// Path parameters that identify a request.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct RequestPath {
    /// Pipeline of the request.
    pub(super) pipeline: String,
    /// Workspace of the request.
    pub(super) workspace: String,
    /// Identifier of the request.
    pub(super) request: String,
}

/// Path parameter that identifies a pipeline.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct PipelinePath {
    /// Name of the pipeline.
    pub(super) pipeline: String,
}

/// Status of an entry.
#[derive(Debug, Serialize)]
pub(super) struct EntryStatus {
    pub(super) host: HostId,
    pub(super) incarnation: u64,
    pub(super) phase: &'static str,
    pub(super) ready: bool,
    pub(super) revision: Option<u64>,
    pub(super) in_flight: usize,
    pub(super) unsettled: i64,
    pub(super) members: Vec<Member>,
    pub(super) linked: Vec<HostId>,
    pub(super) targets: Vec<policy::host::Host>,
}

impl OutcomeBody {
    /// Creates the body for an outcome; an answer that is not valid JSON is replaced by `null`.
    pub(super) fn new(request: RequestId, outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered { answer } => Self::Answered {
                request,
                answer: RawValue::from_string(answer.as_ref().into())
                    .unwrap_or_else(|_cause| RawValue::NULL.to_owned()),
            },
            Outcome::NotRun {
                reason,
                retry_after,
            } => Self::NotRun {
                request,
                reason,
                retry_after_ms: to_millis(retry_after),
            },
            Outcome::Failed {
                stage,
                effects,
                reason,
                retry_after,
            } => Self::Failed {
                request,
                stage,
                effects,
                reason,
                retry_after_ms: retry_after.map(to_millis),
            },
            Outcome::Unknown { stage } => Self::Unknown { request, stage },
        }
    }
}

impl From<directory::Answer> for Entries {
    fn from(answer: directory::Answer) -> Self {
        Self {
            entries: answer.entries.into_iter().map(Into::into).collect(),
            ttl_ms: to_millis(answer.ttl),
        }
    }
}

impl From<directory::Endpoint> for Entry {
    fn from(endpoint: directory::Endpoint) -> Self {
        Self {
            host: endpoint.host,
            address: endpoint.address,
            domain: endpoint.domain,
        }
    }
}

fn to_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
