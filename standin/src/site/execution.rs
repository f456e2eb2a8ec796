//! Requests that a fake engine executes.

use super::{engine::CRASHING_PART, piece::Piece};
use bytes::Bytes;
use hyper::{HeaderMap, Request};
use std::{
    sync::{Arc, OnceLock},
    time::Instant,
};

/// Request that an engine accepted and began to execute.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// Value of the `godwithinge-attempt-id` header; empty if it is absent.
    pub id: String,
    /// Request target: path and query.
    pub path: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body as received.
    pub body: Bytes,
    /// Pieces that its inputs hold.
    pub inputs: Vec<Piece>,
    /// When the execution began.
    pub at: Instant,
    /// When the execution ended, also because the connection was closed; empty until then.
    pub ended: Arc<OnceLock<Instant>>,
}

impl ExecutedRequest {
    /// Records that a request is executed from now on.
    pub(super) fn begin(id: &str, request: &Request<Bytes>) -> (Self, Execution) {
        let ended = Arc::default();
        let run = Self {
            id: id.into(),
            path: request.uri().to_string(),
            headers: request.headers().clone(),
            body: request.body().clone(),
            inputs: Vec::new(),
            at: Instant::now(),
            ended: Arc::clone(&ended),
        };
        (run, Execution(ended))
    }

    /// Returns whether its prompt contains the part that crashes engines.
    pub fn has_crashing_part(&self) -> bool {
        let parts = self.headers.get("godwithinge-prompt-prefix");
        let parts = parts.and_then(|parts| parts.to_str().ok());
        let mut parts = parts.unwrap_or_default().split(',');
        parts.any(|part| part.split(':').next() == Some(CRASHING_PART))
    }
}

/// Execution of a request, which ends when this is dropped.
#[derive(Debug)]
pub(super) struct Execution(Arc<OnceLock<Instant>>);

impl Drop for Execution {
    fn drop(&mut self) {
        // Nothing else sets it.
        let _is_first = self.0.set(Instant::now());
    }
}
