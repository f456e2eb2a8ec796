//! Interface to the external formats: requests of callers, calls to targets, and rows of the store.

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, request::Parts};
use policy::{
    id::{DomainId, RequestId, TargetId, WorkspaceId},
    relay::{
        history::{Era, Version},
        leader::UnixMillis,
        plan::Plan,
        rate::Rate,
        registry::Registration,
        scheduler::{Handle, Item, ItemError},
        selection::Part,
        sse::EventId,
        stage::ByStage,
    },
};
use std::{error, fmt, time::Duration};

/// Metadata in the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Identifier of the request.
    pub id: RequestId,
    /// Time that the caller waits for the response, from the arrival of the request; absent if the
    /// caller sets no limit.
    pub deadline: Option<Duration>,
    /// Access key of the caller, if it sent one.
    pub key: Option<CompactString>,
    /// Parts of the prompt in order; the last one is not shared with other requests.
    pub parts: Vec<Part>,
    /// Length of the whole prompt in tokens; 0 if unknown.
    pub prompt_tokens: u32,
    /// Expected length of the answer in tokens; 0 if unknown.
    pub answer_tokens: u32,
    /// Number of pieces of each stage.
    pub piece_counts: ByStage<u32>,
    /// Key of the pieces that read no results of other stages.
    pub piece_key: CompactString,
    /// Stream that the request takes up; absent if it begins a new one.
    pub resumption: Option<Resumption>,
}

impl RequestMetadata {
    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A stream that its caller takes up after events that it has received.
#[derive(Clone, Debug, PartialEq)]
pub struct Resumption {
    /// Request that brought the first event, if stated.
    pub stream: Option<RequestId>,
    /// Last event that the caller has received; absent if it is not a number.
    pub last_event: Option<EventId>,
}

/// Metadata that the relay sets on a request to a target.
#[derive(Clone, Debug)]
pub struct ForwardingMetadata<'a> {
    /// Only target that may execute the request.
    pub target: &'a TargetId,
    /// Time until the deadline, if the target is to know it.
    pub remaining: Option<Duration>,
    /// Workspace of the caller, if the route requires an access key.
    pub workspace: Option<&'a WorkspaceId>,
    /// Handles of the stage results that the target reads, if the route has stages.
    pub inputs: Option<&'a [Handle]>,
    /// Identifier of the last event that the caller received, if the stream is to be resumed.
    pub last_event_id: Option<EventId>,
}

/// Metadata in the head of a target's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Identifier of the request that the response belongs to, if stated.
    pub id: Option<RequestId>,
    /// Whether the target guarantees that it did not execute the request.
    pub is_not_executed: bool,
    /// Whether the response carries the stamp that only a target sets.
    pub has_server_stamp: bool,
    /// Numbers of running and waiting requests at the target, if reported.
    pub load: Option<(u32, u32)>,
    /// Time that work takes on the target's machine at the moment, relative to the usual one, if stated.
    pub load_factor: Option<f64>,
    /// Number of rejections a second that the target bears, if it states one.
    pub max_rejections: Option<u32>,
    /// Number of requests a second that the target takes from all daemons together, if it names one.
    pub max_rate: Option<Rate>,
    /// Time for which the target is still cold; zero if it states none.
    pub cold_for: Duration,
    /// Whether the target says that it leaves.
    pub is_leaving: bool,
    /// Time for which the target wants nothing from this daemon, if it turned the request away and
    /// stated one.
    pub pause: Option<Duration>,
}

/// A table of the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// The configuration, and the evacuations of failure domains.
    Plan,
    /// Registered targets.
    Targets,
    /// Link addresses of the daemons, each written by the daemon itself.
    Daemons,
    /// Builds that pools have had, written by daemons.
    Builds,
    /// Features of requests that crash targets, written by daemons.
    Quarantine,
    /// Builds of streams, each row written by the daemon that forwards them.
    Streams,
}

/// A row of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Key, unique within the table.
    pub key: CompactString,
    /// Value; absent if the row was deleted.
    pub value: Option<Bytes>,
    /// Version of the store at which the row was last changed.
    pub version: Version,
}

/// Rows from the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    /// The rows in the order of the store.
    pub rows: Vec<Row>,
    /// Latest version of the store, which may be later than that of any row.
    pub version: Version,
    /// Whether there are more rows after these.
    pub has_more: bool,
}

/// An HTTP request to the store or to a stage target, without its headers.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: http::Method,
    /// Path and query of the URI.
    pub path: String,
    /// Body; empty if the request has none.
    pub body: Bytes,
}

/// A request for the addresses of daemons.
#[derive(Clone, Debug, Default)]
pub struct DirectoryQuery {
    /// Failure domain of the caller, if stated.
    pub domain: Option<DomainId>,
}

/// An external message cannot be decoded.
#[derive(Debug)]
pub enum Error {
    /// A header is missing or has an invalid value.
    Header(&'static str),
    /// A field of a body is missing or has an invalid value.
    Field(&'static str),
    /// A body is not JSON of the expected structure.
    Format(serde_json::Error),
    /// The value of a row is not valid base64.
    Encoding,
}

/// Encoding and decoding of all messages to and from callers, targets and the store.
pub trait Dialect: fmt::Debug {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is missing or has an invalid value.
    fn parse_request(&self, head: &Parts) -> Result<RequestMetadata, Error>;

    /// Returns the headers of a caller's request as they are forwarded to a target.
    fn forward_headers(&self, head: &Parts, metadata: &ForwardingMetadata<'_>) -> HeaderMap;

    /// Decodes the head of a target's response.
    fn parse_response_headers(
        &self,
        status: http::StatusCode,
        headers: &HeaderMap,
    ) -> ResponseMetadata;

    /// Returns the headers of a target's response as they are forwarded to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the call that asks a target for its report, which targets answer without a slot.
    fn report_call(&self) -> Call;

    /// Decodes the start of a target in milliseconds since the Unix epoch from its answer to a
    /// [`report_call`](Self::report_call); `None` if it is not stated.
    fn parse_report(&self, body: &[u8]) -> Option<UnixMillis>;

    /// Returns the call that executes pieces of stages.
    fn stage_call(&self, items: &[Item]) -> Call;

    /// Returns the headers of a stage call that only `target` may execute.
    fn stage_call_headers(&self, target: &TargetId) -> HeaderMap;

    /// Decodes the response to a [`stage_call`](Self::stage_call), in the order of its items.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed.
    fn parse_stage_results(&self, body: &[u8]) -> Result<Vec<Result<Handle, ItemError>>, Error>;

    /// Returns the call that frees stage results.
    fn free_call(&self, handles: &[Handle]) -> Call;

    /// Returns the headers of the call that frees stage results.
    fn free_call_headers(&self) -> HeaderMap;

    /// Returns the call that reads a page of a table, starting at the key `from` if it is set.
    fn read_table_call(&self, table: Table, from: Option<&str>) -> Call;

    /// Returns the call that reads the changes of a table after the version `after`; if there are
    /// none, the store waits for up to `wait`.
    fn watch_table_call(&self, table: Table, after: u64, wait: Duration) -> Call;

    /// Returns the call that writes a row of the daemons' own tables, or deletes it if `value` is
    /// absent.
    fn write_row_call(&self, table: Table, key: &str, value: Option<&[u8]>) -> Call;

    /// Decodes the era of the store from the headers of its response; `None` if it is not stated.
    fn parse_store_era(&self, headers: &HeaderMap) -> Option<Era>;

    /// Decodes the response, sent in `era`, to a call that reads a table or its changes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed.
    fn parse_rows(&self, body: &[u8], era: Era) -> Result<Rows, Error>;

    /// Decodes the configuration; `None` if the row is deleted or holds something else.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is malformed.
    fn parse_plan(&self, row: &Row) -> Result<Option<Plan>, Error>;

    /// Returns the failure domain whose evacuation a row of [`Table::Plan`] is about; `None` if it holds
    /// something else. The domain is evacuated unless the row is deleted.
    fn parse_evacuation(&self, row: &Row) -> Option<DomainId>;

    /// Decodes the entry of a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is malformed or the target is in no usable state.
    fn parse_target(&self, row: &Row) -> Result<Registration, Error>;

    /// Returns whether `path` is that of the readiness probe.
    fn is_ready_path(&self, path: &str) -> bool;

    /// Decodes a request for the addresses of daemons; `None` if `path` is a different one.
    fn parse_directory_query(&self, path: &str, query: Option<&str>) -> Option<DirectoryQuery>;

    /// Returns the response body with the addresses of daemons, which callers may cache for `ttl`.
    fn encode_addresses(&self, addresses: &[CompactString], ttl: Duration) -> Bytes;
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Header(name) => write!(f, "header {name:?} is missing or invalid"),
            Self::Field(name) => write!(f, "field {name:?} is missing or invalid"),
            Self::Format(cause) => write!(f, "body is not JSON of the expected structure: {cause}"),
            Self::Encoding => f.write_str("row value is not valid base64"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Format(cause) => Some(cause),
            Self::Header(_) | Self::Field(_) | Self::Encoding => None,
        }
    }
}

impl From<serde_json::Error> for Error {
    fn from(cause: serde_json::Error) -> Self {
        Self::Format(cause)
    }
}
