//! Forwarding of a stream, which is resumed at another target if it is interrupted or its target is
//! silent.

use super::{
    attempt::Attempts,
    body::TruncatedResponse,
    buffer::Buffer,
    crash::CRASH_PERIOD,
    event::{self, SilenceStep},
    handover::{self, Silence},
    outcome::{Reason, Rejection},
    run::{self, ActiveRequest, TargetResponse},
    send::StreamingResponse,
    sse::{Interruption, Reader},
    state::Relay,
};
use bytes::Bytes;
use futures::{FutureExt, Stream, StreamExt, future};
use policy::relay::{ending::Process, patience::Patience, registry::Target, sse::EventId};
use std::{pin::pin, rc::Rc, time::Instant};
use tokio::time;

/// Next complete events of a stream, `None` at its end, or why it was interrupted.
type Next = Result<Option<Bytes>, Interruption>;

/// A stream to a caller, which goes on at another target if it is interrupted or its target is silent.
struct RelayedStream {
    request: Rc<ActiveRequest>,
    attempts: Attempts,
    /// Stream of the target that is read; absent once it was interrupted.
    source: Option<StreamingResponse>,
    /// Whether the request is known not to crash its target.
    is_served: bool,
}

/// Returns the complete events of a stream as they are sent to the caller.
pub(super) fn body_stream(
    request: Rc<ActiveRequest>,
    source: StreamingResponse,
    attempts: Attempts,
) -> impl Stream<Item = Result<Bytes, TruncatedResponse>> {
    async_stream::stream! {
        let first = source.first.clone();
        let mut stream = RelayedStream {
            request,
            attempts,
            source: Some(source),
            is_served: false,
        };
        yield Ok(first);
        loop {
            match stream.next().await {
                Ok(Some(events)) => yield Ok(events),
                Ok(None) => return,
                Err(interruption) => {
                    stream.request.end(None, interruption.into(), None);
                    yield Err(TruncatedResponse);
                    return;
                }
            }
        }
    }
}

impl RelayedStream {
    /// Waits for the next events, from whichever target.
    async fn next(&mut self) -> Next {
        let next = match self.read_confirmed().await {
            Err(interruption) => return self.resume(interruption).await,
            Ok(next) => next,
        };
        let Some(source) = &mut self.source else {
            return Ok(next);
        };
        let request = &self.request;
        let is_complete = next.is_none();
        if !is_complete {
            source.pace.record(source.reader.last_id());
        }
        if !self.is_served && (is_complete || source.begun_at.elapsed() >= CRASH_PERIOD) {
            self.is_served = true;
            request.record_served();
        }
        if is_complete {
            request.record_stream_end(&source.target, "complete", &source.reader);
            request.end(Some(source.reader.response().status()), run::ANSWERED, None);
        } else {
            request.relay.record_activity(&source.target.id);
            request.review_origin(&source.target);
        }
        Ok(next)
    }

    /// Reads the next events. An end that the target did not declare counts only if its process outlives
    /// it.
    async fn read_confirmed(&mut self) -> Next {
        let next = self.read().await?;
        let Some(source) = &self.source else {
            return Ok(next);
        };
        if next.is_some() || source.reader.is_end_declared() {
            return Ok(next);
        }
        let process = self.request.check_end(&source.target).await;
        process
            .confirms_end()
            .then_some(None)
            .ok_or(Interruption::Undeclared)
    }

    /// Reads the next events, and hands the stream over if its target is silent.
    async fn read(&mut self) -> Next {
        let request = Rc::clone(&self.request);
        let silence = self.source.as_ref().and_then(|source| {
            let patience = request.event_patience()?;
            let now = request.relay.now();
            Some(Silence::new(&request, &source.target, now, patience))
        });
        loop {
            tokio::select! {
                biased;
                next = next_events(&mut self.source, request.deadline) => {
                    if let (Some(silence), Ok(_)) = (&silence, &next) {
                        silence.record_end();
                    }
                    return next;
                }
                () = handover::wait_until_exhausted(silence.as_ref(), || true) => {}
            }
            let Some(silence) = &silence else { continue };
            if request.can_move(&self.attempts, None) {
                silence.record(SilenceStep::Move);
                if let Some(next) = self.hand_over(silence).await {
                    return next;
                }
            }
            silence.record(SilenceStep::Wait);
        }
    }

    /// Resumes the stream at another target, and reads it at the silent one meanwhile. Returns `None`
    /// if only the silent one is left.
    async fn hand_over(&mut self, silence: &Silence) -> Option<Next> {
        let request = Rc::clone(&self.request);
        let started = Instant::now();
        let sent_at = || {
            let sent_at = request.stats.last_send.get();
            sent_at.filter(|at| *at >= started)
        };
        let last_id = self.source.as_ref()?.reader.last_id();
        let mut resumed = request
            .start_response(&mut self.attempts, last_id)
            .boxed_local();
        loop {
            let interruption = tokio::select! {
                biased;
                next = next_events(&mut self.source, request.deadline) => match next {
                    Ok(next) => {
                        silence.record_end();
                        return Some(Ok(next));
                    }
                    Err(interruption) => interruption,
                },
                resumed = &mut resumed => return match resumed {
                    Ok((TargetResponse::Streaming(resumed), _)) => {
                        let first = resumed.first.clone();
                        request.record_resumption(&resumed, last_id);
                        if let Some(silent) = self.source.replace(*resumed) {
                            request.record_interruption(&silent, Interruption::Silent);
                        }
                        Some(Ok(Some(first)))
                    }
                    Ok((TargetResponse::Buffered(_), _)) | Err(_) => {
                        self.source.is_none().then_some(Err(Interruption::Silent))
                    }
                },
                () = handover::wait_for_handover(sent_at), if self.source.is_some() => {
                    Interruption::Silent
                }
            };
            if let Some(silent) = self.source.take() {
                request.record_interruption(&silent, interruption);
            }
        }
    }

    /// Resumes the stream after an interruption, and returns the events that follow. The stream was
    /// complete if its target did not declare the end and another one declares that no event follows.
    async fn resume(&mut self, interruption: Interruption) -> Next {
        let request = &self.request;
        let source = self.source.take().ok_or(interruption)?;
        request.record_interruption(&source, interruption);
        let last_id = source.reader.last_id();
        let (target, begun_at) = (source.target.clone(), source.begun_at);
        drop(source);
        if begun_at.elapsed() < CRASH_PERIOD {
            request.wait_for_crash_check(&target.id).await;
        }
        if last_id.is_none() || !request.route.is_repeatable() {
            return Err(interruption);
        }
        let resumed = request.start_response(&mut self.attempts, last_id).await;
        match resumed {
            Ok((TargetResponse::Streaming(resumed), _)) => {
                let first = resumed.first.clone();
                request.record_resumption(&resumed, last_id);
                self.source = Some(*resumed);
                Ok(Some(first))
            }
            Ok((TargetResponse::Buffered(response), _))
                if interruption == Interruption::Undeclared && response.is_empty_stream() =>
            {
                request.record_served();
                request.end(Some(response.status), "answered", None);
                Ok(None)
            }
            Ok((TargetResponse::Buffered(_), _)) | Err(_) => Err(interruption),
        }
    }
}

/// Waits for the next events of a stream, or for ever if there is none.
async fn next_events(source: &mut Option<StreamingResponse>, deadline: Instant) -> Next {
    match source {
        Some(source) => source.reader.next(deadline).await,
        None => future::pending().await,
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
) -> Result<Buffer, Rejection> {
    let broken = Rejection::new(Reason::Broken);
    let mut buffer = Buffer::new(relay);
    let mut chunks = pin!(chunks);
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_truncated| broken)?;
        buffer.push(&chunk).map_err(|_too_large| broken)?;
    }
    Ok(buffer)
}

impl ActiveRequest {
    /// Counts the end of a target's stream, and logs it unless the target declared the end.
    pub(super) fn record_stream_end(&self, target: &Target, result: &'static str, reader: &Reader) {
        let framing = reader.response().framing();
        let ends = &self.relay.metrics.stream_ends;
        ends.with_label_values(&[framing.into(), result]).inc();
        let is_declared = result == "complete" && framing.is_end_declared();
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

    /// Checks whether the process of a target outlives the end of a response that only the end of its
    /// connection marks, which the end of the process causes as well. Targets stop at the deadline, too.
    pub(super) async fn check_end(&self, target: &Target) -> Process {
        let check = self.relay.check_process(target);
        let checked = time::timeout_at(self.deadline.into(), check).await;
        let process = checked.unwrap_or(Process::Unknown);
        event::end_checked(&self.metadata.id, &target.id, process);
        let checks = &self.relay.metrics.end_checks;
        checks.with_label_values(&[<&str>::from(process)]).inc();
        process
    }

    fn record_resumption(&self, resumed: &StreamingResponse, after: Option<EventId>) {
        let (target, first) = (&resumed.target, resumed.reader.first_id());
        event::stream_resumed(&self.metadata.id, target, after, first);
    }

    /// Returns the patience between two events; `None` if no other target may resume the stream.
    fn event_patience(&self) -> Option<Patience> {
        let gap = self.route.gap?;
        self.route
            .is_repeatable()
            .then(|| Patience::between_events(gap))
    }

    /// Records the interruption of a stream as a failure of its target.
    fn record_interruption(&self, stream: &StreamingResponse, interruption: Interruption) {
        let (target, result) = (&stream.target, interruption.into());
        self.record_stream_end(target, result, &stream.reader);
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
        self.check_for_crash(target, stream.begun_at.elapsed() >= CRASH_PERIOD);
    }
}
