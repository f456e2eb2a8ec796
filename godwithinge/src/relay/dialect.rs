//! What the outside speaks, behind a trait at the edge of the process.

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, request::Parts};
use policy::{
    id::{DomainId, RequestId, TargetId, WorkspaceId},
    relay::{
        plan::Plan,
        registry::Target,
        scheduler::{Handle, Item, ItemError},
        selection::Part,
    },
};
use std::{error, fmt, time::Duration};

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Identifier of the request.
    pub id: RequestId,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Access key.
    pub key: Option<CompactString>,
    /// Parts of the prompt in order.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Pieces of each stage of the route.
    pub piece_counts: Vec<u32>,
    /// Key of the pieces that read no results.
    pub piece_key: CompactString,
}

/// What the system sets on a request to a target.
#[derive(Clone, Debug)]
pub struct ForwardingMetadata<'a> {
    /// Target that alone may run the request.
    pub target: &'a TargetId,
    /// Time that is left.
    pub remaining: Option<Duration>,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceId>,
    /// Results that the target reads first.
    pub inputs: Option<&'a [Handle]>,
    /// Number of the last event that the caller has, where a stream goes on.
    pub last_event_id: Option<&'a str>,
}

/// What a target says beside its answer.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Identifier of the request that is answered.
    pub id: Option<RequestId>,
    /// Whether the target did not run the request.
    pub is_not_executed: bool,
    /// Whether the answer bears the target's signature.
    pub is_signed: bool,
    /// Requests that run and wait at the target.
    pub load: Option<(u32, u32)>,
}

/// Table of the store that is read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// The configuration.
    Plan,
    /// Entries of targets.
    Targets,
    /// Addresses of daemons, written by the daemons.
    Daemons,
}

/// A row of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Key in its table.
    pub key: CompactString,
    /// Value, or nothing if the row was deleted.
    pub value: Option<Bytes>,
    /// Version of the row.
    pub version: u64,
}

/// Rows of one answer of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    /// The rows in order.
    pub rows: Vec<Row>,
    /// Newest version of the store.
    pub version: u64,
    /// Whether there are more rows.
    pub has_more: bool,
}

/// A call of the store or of a stage target.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// Caller of the directory.
#[derive(Clone, Debug, Default)]
pub struct DirectoryQuery {
    /// Failure domain that it is in.
    pub domain: Option<DomainId>,
}

/// What the outside sent can't be read.
#[derive(Debug)]
pub enum Error {
    /// A header is missing or has a wrong value.
    Header(&'static str),
    /// A field of a body is missing or has a wrong value.
    Field(&'static str),
    /// A body is not in its format.
    Format(serde_json::Error),
    /// A value of a row is not in its encoding.
    Encoding,
}

/// Encoding of all that crosses the edge of the process.
pub trait Dialect: fmt::Debug {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header is missing or has a wrong value.
    fn parse_request(&self, head: &Parts) -> Result<RequestMetadata, Error>;

    /// Returns the headers of the request as a target gets it.
    fn forward_headers(&self, head: &Parts, stamp: &ForwardingMetadata<'_>) -> HeaderMap;

    /// Reads what a target says beside its answer.
    fn parse_response_headers(
        &self,
        status: http::StatusCode,
        headers: &HeaderMap,
    ) -> ResponseMetadata;

    /// Returns the headers of a target's answer as the caller gets it.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the call that makes pieces.
    fn stage_call(&self, items: &[Item]) -> Call;

    /// Returns the headers of a call that only `target` may run.
    fn stage_call_headers(&self, target: &TargetId) -> HeaderMap;

    /// Reads the answer to [`stage_call`](Self::stage_call).
    ///
    /// # Errors
    ///
    /// Fails if the body can't be read.
    fn parse_stage_results(&self, body: &[u8]) -> Result<Vec<Result<Handle, ItemError>>, Error>;

    /// Returns the call that frees results.
    fn free_call(&self, handles: &[Handle]) -> Call;

    /// Returns the headers of the call that frees results.
    fn free_call_headers(&self) -> HeaderMap;

    /// Returns the call that reads a table from a key on.
    fn read_table_call(&self, table: Table, from: Option<&str>) -> Call;

    /// Returns the call that waits for changes of a table after a version.
    fn watch_table_call(&self, table: Table, after: u64, wait: Duration) -> Call;

    /// Returns the call that writes, or deletes, the row of a daemon.
    fn write_daemon_call(&self, name: &str, value: Option<&[u8]>) -> Call;

    /// Reads rows.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be read.
    fn parse_rows(&self, body: &[u8]) -> Result<Rows, Error>;

    /// Reads the configuration; `None` for another row of its table.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be read.
    fn parse_plan(&self, row: &Row) -> Result<Option<Plan>, Error>;

    /// Reads the entry of a target.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be read or names no target to use.
    fn parse_target(&self, row: &Row) -> Result<Target, Error>;

    /// Returns whether a path asks for readiness.
    fn is_ready_path(&self, path: &str) -> bool;

    /// Reads a question for addresses; `None` for another path.
    fn parse_directory_query(&self, path: &str, query: Option<&str>) -> Option<DirectoryQuery>;

    /// Returns the answer to a question for addresses.
    fn encode_addresses(&self, addresses: &[CompactString], ttl: Duration) -> Bytes;
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Header(name) => write!(f, "header {name:?} is missing or wrong"),
            Self::Field(name) => write!(f, "field {name:?} is missing or wrong"),
            Self::Format(cause) => write!(f, "body is not JSON of its form: {cause}"),
            Self::Encoding => f.write_str("value of a row is not base64"),
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
