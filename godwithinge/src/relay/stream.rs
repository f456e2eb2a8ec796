//! Forwarding of a stream, which is resumed at another target if it is interrupted.

use super::{
    body::TruncatedResponse,
    event,
    run::{ActiveRequest, Attempts, TargetResponse},
    send::StreamingResponse,
};
use crate::http::Framing;
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures::Stream;
use policy::relay::registry::Target;
use std::{rc::Rc, time::Instant};
use tokio::time;

/// Multiple of the maximum event gap after which a stream is resumed at another target.
const EVENT_TIMEOUT_GAPS: u32 = 4; // callers give up after eight
/// Maximum size of an event in bytes; events of the sites have a few hundred.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream at event boundaries, so that only complete events are forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<CompactString>,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are complete.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = end_of_events(&self.partial);
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Returns the bytes after the last complete event.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Returns the identifier of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards an incomplete event before the stream is resumed at another target.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the offset of the end of the last complete event, or 0.
fn end_of_events(bytes: &[u8]) -> usize {
    let ends = (0..bytes.len()).rev().find(|&index| {
        let rest = &bytes[..=index];
        rest.ends_with(b"\n\n") || rest.ends_with(b"\r\n\r\n")
    });
    ends.map_or(0, |index| index + 1)
}

/// Returns the identifier of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<CompactString> {
    let lines = events.split(|&byte| byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().into())
}

/// Returns the chunks of a stream as they are sent to the caller.
pub(super) fn body_stream(
    request: Rc<ActiveRequest>,
    stream: StreamingResponse,
    attempts: Attempts,
) -> impl Stream<Item = Result<Bytes, TruncatedResponse>> {
    async_stream::stream! {
        let mut attempts = attempts;
        let StreamingResponse { mut response, mut first, mut target, mut call } = stream;
        let mut splitter = EventSplitter::default();
        let is_resumable = request.route.is_repeatable();
        if is_resumable {
            first = splitter.push(&first);
        }
        if !first.is_empty() {
            yield Ok(first);
        }
        loop {
            let deadline = next_event_deadline(&request);
            let next = time::timeout_at(deadline.into(), response.chunk()).await;
            let result = match next {
                Ok(Ok(Some(chunk))) => {
                    let chunk = if is_resumable { splitter.push(&chunk) } else { chunk };
                    if splitter.partial().len() > MAX_EVENT_BYTES {
                        "long_event"
                    } else {
                        if !chunk.is_empty() {
                            yield Ok(chunk);
                        }
                        continue;
                    }
                }
                Ok(Ok(None)) => {
                    request.record_stream_end(&target, "complete", response.framing(), &splitter);
                    if !splitter.partial().is_empty() {
                        yield Ok(Bytes::copy_from_slice(splitter.partial()));
                    }
                    request.end(Some(response.status()), "answered", None);
                    return;
                }
                Ok(Err(_)) => "broken",
                Err(_elapsed) => "silent",
            };
            request.record_stream_end(&target, result, response.framing(), &splitter);
            request.record_interrupted_stream(&target, result);
            drop(response);
            drop(call);
            splitter.discard_partial();
            let last_event_id = splitter.last_id().map(CompactString::from);
            let resumed = match (is_resumable, &last_event_id) {
                (true, Some(id)) => request.start_response(&mut attempts, Some(id)).await.ok(),
                _ => None,
            };
            match resumed {
                Some((TargetResponse::Streaming(stream), results)) => {
                    drop(results);
                    let stream = *stream;
                    response = stream.response;
                    target = stream.target;
                    call = stream.call;
                    let chunk = splitter.push(&stream.first);
                    if !chunk.is_empty() {
                        yield Ok(chunk);
                    }
                }
                Some((TargetResponse::Buffered(_), _)) | None => {
                    request.end(None, result, None);
                    yield Err(TruncatedResponse);
                    return;
                }
            }
        }
    }
}

/// Returns when a stream without another event is considered unresponsive.
fn next_event_deadline(request: &ActiveRequest) -> Instant {
    match request.route.gap {
        Some(gap) if request.route.is_repeatable() => request
            .deadline
            .min(Instant::now() + gap * EVENT_TIMEOUT_GAPS),
        _ => request.deadline,
    }
}

impl ActiveRequest {
    /// Counts the end of a target's stream, and logs it unless the target declared the end.
    fn record_stream_end(
        &self,
        target: &Target,
        result: &'static str,
        framing: Framing,
        splitter: &EventSplitter,
    ) {
        let labels = [framing.into(), result];
        let ends = &self.relay.metrics.stream_ends;
        ends.with_label_values(&labels).inc();
        let is_declared = result == "complete" && framing != Framing::Close;
        if !is_declared {
            let (last, partial) = (splitter.last_id(), splitter.partial().len());
            event::stream_ended(
                &self.metadata.id,
                &target.id,
                result,
                framing,
                last,
                partial,
            );
        }
    }

    /// Records the interruption of a stream as a failure of its target.
    pub fn record_interrupted_stream(&self, target: &Target, result: &'static str) {
        event::send_failed(
            &self.metadata.id,
            &target.id,
            result,
            self.arrived.elapsed(),
            "resume",
        );
        let now = self.relay.now();
        self.relay
            .target_selector_mut()
            .record_failure(now, &target.id);
        self.relay.check_for_crash(target, self.payload_hash);
    }
}
