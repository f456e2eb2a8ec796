//! Forwarding of a stream, which is resumed at another target if it is interrupted.

use super::{
    body::{Body, TruncatedResponse},
    buffer::Buffer,
    crash::CRASH_PERIOD,
    event,
    outcome::{Reason, Rejection},
    run::{ActiveRequest, Attempts, TargetResponse},
    send::StreamingResponse,
    sse::Reader,
    state::Relay,
};
use crate::http::Framing;
use bytes::Bytes;
use futures::{Stream, StreamExt};
use policy::relay::registry::Target;
use std::{pin::pin, rc::Rc, time::Instant};

/// Multiple of the maximum event gap after which a stream is resumed at another target.
const EVENT_TIMEOUT_GAPS: u32 = 4; // callers give up after eight

/// Returns the complete events of a stream as they are sent to the caller.
pub(super) fn body_stream(
    request: Rc<ActiveRequest>,
    stream: StreamingResponse,
    attempts: Attempts,
) -> impl Stream<Item = Result<Bytes, TruncatedResponse>> {
    async_stream::stream! {
        let mut attempts = attempts;
        let StreamingResponse { mut reader, first, mut target, mut call } = stream;
        let mut begun_at = Instant::now();
        let mut is_served = false;
        yield Ok(first);
        loop {
            let interruption = match reader.next(next_event_deadline(&request)).await {
                Ok(Some(events)) => {
                    if !is_served && begun_at.elapsed() >= CRASH_PERIOD {
                        is_served = true;
                        request.record_served();
                    }
                    yield Ok(events);
                    continue;
                }
                Ok(None) => {
                    if !is_served {
                        request.record_served();
                    }
                    request.record_stream_end(&target, "complete", &reader);
                    request.end(Some(reader.response().status()), "answered", None);
                    return;
                }
                Err(interruption) => interruption.into(),
            };
            request.record_stream_end(&target, interruption, &reader);
            request.record_interrupted_stream(&target, interruption, begun_at);
            let last_id = reader.last_id();
            drop(reader);
            drop(call);
            if begun_at.elapsed() < CRASH_PERIOD {
                request.wait_for_crash_check(&target.id).await;
            }
            let resumed = match last_id {
                Some(_) if request.route.is_repeatable() => {
                    request.start_response(&mut attempts, last_id).await.ok()
                }
                _ => None,
            };
            match resumed {
                Some((TargetResponse::Streaming(stream), results)) => {
                    drop(results);
                    let stream = *stream;
                    reader = stream.reader;
                    target = stream.target;
                    call = stream.call;
                    begun_at = Instant::now();
                    yield Ok(stream.first);
                }
                Some((TargetResponse::Buffered(_), _)) | None => {
                    request.end(None, interruption, None);
                    yield Err(TruncatedResponse);
                    return;
                }
            }
        }
    }
}

/// Reads a stream to its end, for callers whose version of HTTP has no chunks and so does not tell a
/// stream that was broken off from a complete one.
///
/// # Errors
///
/// Fails if the stream is interrupted or too long.
pub(super) async fn whole_body(
    relay: &Rc<Relay>,
    chunks: impl Stream<Item = Result<Bytes, TruncatedResponse>>,
) -> Result<Body, Rejection> {
    let broken = Rejection::new(Reason::Broken);
    let mut buffer = Buffer::new(relay);
    let mut chunks = pin!(chunks);
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_truncated| broken)?;
        buffer.push(&chunk).map_err(|_too_large| broken)?;
    }
    Ok(Body::new(buffer.into_bytes()))
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
    pub(super) fn record_stream_end(&self, target: &Target, result: &'static str, reader: &Reader) {
        let framing = reader.response().framing();
        let ends = &self.relay.metrics.stream_ends;
        ends.with_label_values(&[framing.into(), result]).inc();
        let is_declared = result == "complete" && framing != Framing::Close;
        if !is_declared {
            let (last, partial) = (reader.last_id(), reader.partial_bytes());
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

    /// Records the interruption of a stream, whose first event arrived at `begun_at`, as a failure of
    /// its target.
    pub fn record_interrupted_stream(
        &self,
        target: &Target,
        result: &'static str,
        begun_at: Instant,
    ) {
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
        self.check_for_crash(target, begun_at.elapsed() >= CRASH_PERIOD);
    }
}
