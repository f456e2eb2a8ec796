//! Reading of a target's stream of server-sent events.

use crate::http::Response;
use bytes::Bytes;
use policy::relay::sse::{EventId, Fault, Parser};
use std::time::Instant;
use strum::IntoStaticStr;
use tokio::time;

/// Why a stream did not reach its end; the name is a label value.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Interruption {
    /// The connection failed before the end of the body.
    Broken,
    /// The body ended inside an event, or with its connection before the first event.
    CutOff,
    /// The connection ended after an event, and the target's process may have ended with it.
    Undeclared,
    /// No event was completed in time.
    Silent,
    /// An event is too long.
    LongEvent,
    /// The body contains something other than events in order.
    Foreign,
}

/// Reads complete events from the response of a target.
#[derive(Debug)]
pub(super) struct Reader {
    response: Response,
    parser: Parser,
}

impl Reader {
    /// Creates a reader of a response of which no part of the body has been read, and whose events
    /// follow the event `last_id`, if given.
    pub fn new(response: Response, last_id: Option<EventId>) -> Self {
        Self {
            response,
            parser: Parser::new(last_id),
        }
    }

    /// Returns the response, of which only the head may be used.
    pub fn response(&self) -> &Response {
        &self.response
    }

    /// Returns the identifier of the last event that was read, or that the stream follows.
    pub fn last_id(&self) -> Option<EventId> {
        self.parser.last_id()
    }

    /// Returns the identifier of the first event that was read.
    pub fn first_id(&self) -> Option<EventId> {
        self.parser.first_id()
    }

    /// Returns whether the target declares the end of the stream, by a length or a last chunk.
    pub fn is_end_declared(&self) -> bool {
        self.response.framing().is_end_declared()
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.parser.partial_bytes()
    }

    /// Waits for the next complete events, or the comments after the last one; `None` at the end of a stream, which may not be complete
    /// unless the target [declares](Self::is_end_declared) it.
    ///
    /// # Errors
    ///
    /// Fails if the stream is interrupted, and if no event is complete by the deadline, however many
    /// bytes arrive.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>, Interruption> {
        loop {
            let chunk = time::timeout_at(deadline.into(), self.response.chunk()).await;
            match chunk {
                Ok(Ok(Some(chunk))) => {
                    let events = self.parser.push(&chunk)?;
                    if !events.is_empty() {
                        return Ok(Some(events.into()));
                    }
                }
                Ok(Ok(None)) => {
                    if !self.parser.is_complete(self.is_end_declared()) {
                        return Err(Interruption::CutOff);
                    }
                    let comments = self.parser.take_comments();
                    return Ok((!comments.is_empty()).then(|| comments.into()));
                }
                Ok(Err(_)) => return Err(Interruption::Broken),
                Err(_elapsed) => return Err(Interruption::Silent),
            }
        }
    }
}

impl From<Fault> for Interruption {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::LongEvent => Self::LongEvent,
            Fault::Foreign => Self::Foreign,
        }
    }
}
