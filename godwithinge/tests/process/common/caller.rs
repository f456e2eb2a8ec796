//! HTTP client of the callers.

use super::with_timeout;
use bytes::Bytes;
use godwithinge::target::Decoder;
use http_body_util::BodyExt;
use hyper::{Method, body::Incoming};
use serde_json::{Value, json};
use standin::fetch;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Maximum size of an event in bytes; the outcome holds the whole answer.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A request to a pipeline, as sent by a caller.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub pipeline: String,
    pub id: String,
    pub workspace: String,
    pub deadline_ms: u64,
    pub retry: bool,
    pub payload: Value,
    /// Number of parts received so far over all streams of the request.
    pub parts_received: Arc<AtomicUsize>,
}

/// Streamed parts with their event identifiers, and the outcome if it was received.
pub type StreamOutput = (Vec<(u64, String)>, Option<Value>);

/// Result of sending a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// HTTP status and JSON body of the response.
    Body(u16, Value),
    /// The connection was refused, or closed before the response was complete.
    Lost,
}

impl ClientRequest {
    /// Creates a request that is not marked as a retry and has a deadline of four seconds.
    pub fn new(pipeline: &str, id: &str) -> Self {
        Self {
            pipeline: pipeline.into(),
            id: id.into(),
            workspace: "tailors".into(),
            deadline_ms: 4000,
            retry: false,
            payload: json!({"crew": 17}),
            parts_received: Arc::default(),
        }
    }

    pub fn with_deadline(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    pub fn with_payload(mut self, payload: Value) -> Self {
        self.payload = payload;
        self
    }

    /// Returns a copy of the request that is marked as a retry.
    pub fn as_retry(&self) -> Self {
        Self {
            retry: true,
            ..self.clone()
        }
    }

    /// Sends the request without streaming and waits for the response.
    pub async fn send(&self, entry: SocketAddr) -> Reply {
        let body = self.body(false);
        let whole = async {
            let response = fetch::send(entry, Method::POST, &self.path(), body, &[])
                .await
                .ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, serde_json::from_slice(&body).unwrap_or_default()))
        };
        match with_timeout("outcome", whole).await {
            Some((status, body)) => Reply::Body(status, body),
            None => Reply::Lost,
        }
    }

    /// Sends the request with streaming and reads up to `limit` parts.
    ///
    /// `last` is sent as `last-event-id` to resume after that part. Panics if the entry can't be
    /// reached.
    pub async fn stream(&self, entry: SocketAddr, last: Option<u64>, limit: usize) -> StreamOutput {
        self.try_stream(entry, last, limit)
            .await
            .expect("entry answers")
    }

    /// Like [`stream`](Self::stream), but returns `None` if the entry can't be reached.
    pub async fn try_stream(
        &self,
        entry: SocketAddr,
        last: Option<u64>,
        limit: usize,
    ) -> Option<StreamOutput> {
        let last = last.map(|last| last.to_string());
        let headers: Vec<_> = last
            .iter()
            .map(|last| ("last-event-id", last.as_str()))
            .collect();
        let body = self.body(true);
        let response = fetch::send(entry, Method::POST, &self.path(), body, &headers).await;
        Some(with_timeout("stream", self.read(response.ok()?.into_body(), limit)).await)
    }

    async fn read(&self, mut body: Incoming, limit: usize) -> StreamOutput {
        let mut decoder = Decoder::new(MAX_EVENT_BYTES);
        let mut parts = Vec::new();
        while let Some(Ok(frame)) = body.frame().await {
            decoder.push(frame.data_ref().map_or(&[], |data| data.as_ref()));
            while let Some(event) = decoder.next_event().expect("event is short") {
                let data: Value = serde_json::from_str(&event.data).expect("data is JSON");
                if event.name == "outcome" {
                    return (parts, Some(data));
                }
                let text = data["text"].as_str().expect("part has a text");
                parts.push((
                    event.id.parse().expect("part has a number"),
                    text.to_owned(),
                ));
                self.parts_received.fetch_add(1, Ordering::Relaxed);
                if parts.len() == limit {
                    return (parts, None);
                }
            }
        }
        (parts, None)
    }

    fn path(&self) -> String {
        format!("/v1/pipelines/{}/requests", self.pipeline)
    }

    fn body(&self, stream: bool) -> Bytes {
        let body = json!({
            "workspace": self.workspace,
            "request": self.id,
            "deadline_ms": self.deadline_ms,
            "retry": self.retry,
            "stream": stream,
            "payload": self.payload,
        });
        body.to_string().into()
    }
}

impl Reply {
    /// Returns the outcome, `error` for a response without one, or `lost` for a lost connection.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Body(_, body) => body["outcome"].as_str().unwrap_or("error"),
            Self::Lost => "lost",
        }
    }
}
