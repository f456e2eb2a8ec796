//! Passes a stream on, and lets it go on at another target if it breaks.

use super::{
    body::BrokenOff,
    run::{Opening, Tally, Ticket},
    send::Begun,
};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures::Stream;
use std::{rc::Rc, time::Instant};
use tokio::time;

/// Pauses of a target's events after which a stream goes on elsewhere.
const SILENT_GAPS: u32 = 4; // callers leave after eight
/// Longest event in bytes; one of the sites has some hundred.
const MAX_EVENT: usize = 1 << 20;

/// Splits the bytes of a stream into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<CompactString>,
}

impl Splitter {
    /// Takes bytes and returns all events that are whole.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let end = end_of_events(&self.rest);
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Returns the bytes of an event that is not whole.
    pub fn rest(&self) -> &[u8] {
        &self.rest
    }

    /// Returns the identifier of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Forgets an event that is not whole, before the stream goes on elsewhere.
    pub fn cut(&mut self) {
        self.rest.clear();
    }
}

/// Returns where the last whole event ends.
fn end_of_events(bytes: &[u8]) -> usize {
    let ends = (0..bytes.len()).rev().find(|&index| {
        let rest = &bytes[..=index];
        rest.ends_with(b"\n\n") || rest.ends_with(b"\r\n\r\n")
    });
    ends.map_or(0, |index| index + 1)
}

/// Returns the identifier of the last event that has one.
fn last_id(events: &[u8]) -> Option<CompactString> {
    let lines = events.split(|&byte| byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().into())
}

/// Returns the parts of a stream as the caller gets them.
pub(super) fn parts(
    ticket: Rc<Ticket>,
    begun: Begun,
    tally: Tally,
) -> impl Stream<Item = Result<Bytes, BrokenOff>> {
    async_stream::stream! {
        let mut tally = tally;
        let Begun { mut response, mut first, mut target, mut call } = begun;
        let mut splitter = Splitter::default();
        let is_resumable = ticket.route.is_repeatable();
        if is_resumable {
            first = splitter.push(&first);
        }
        if !first.is_empty() {
            yield Ok(first);
        }
        loop {
            let silent = silent_at(&ticket);
            let next = time::timeout_at(silent.into(), response.chunk()).await;
            let what = match next {
                Ok(Ok(Some(part))) => {
                    let part = if is_resumable { splitter.push(&part) } else { part };
                    if splitter.rest().len() > MAX_EVENT {
                        "long_event"
                    } else {
                        if !part.is_empty() {
                            yield Ok(part);
                        }
                        continue;
                    }
                }
                Ok(Ok(None)) => {
                    if !splitter.rest().is_empty() {
                        yield Ok(Bytes::copy_from_slice(splitter.rest()));
                    }
                    ticket.end(Some(response.status()), "answered", None);
                    return;
                }
                Ok(Err(_)) => "broken",
                Err(_elapsed) => "silent",
            };
            ticket.broke(&target, what);
            drop(response);
            drop(call);
            splitter.cut();
            let last = splitter.last().map(CompactString::from);
            let again = match (is_resumable, &last) {
                (true, Some(last)) => ticket.begin(&mut tally, Some(last)).await.ok(),
                _ => None,
            };
            match again {
                Some((Opening::Stream(begun), results)) => {
                    drop(results);
                    let begun = *begun;
                    response = begun.response;
                    target = begun.target;
                    call = begun.call;
                    let part = splitter.push(&begun.first);
                    if !part.is_empty() {
                        yield Ok(part);
                    }
                }
                Some((Opening::Whole(_), _)) | None => {
                    ticket.end(None, what, None);
                    yield Err(BrokenOff);
                    return;
                }
            }
        }
    }
}

/// Returns when a stream without a further event counts as silent.
fn silent_at(ticket: &Ticket) -> Instant {
    match ticket.route.gap {
        Some(gap) if ticket.route.is_repeatable() => {
            ticket.due.min(Instant::now() + gap * SILENT_GAPS)
        }
        _ => ticket.due,
    }
}
