//! Streamed answers as server-sent events.

use super::wire;
use crate::entry::{ResponseEvent, Subscription};
use bytes::Bytes;
use dropshot::Body;
use futures::stream;
use http_body::Frame;
use http_body_util::StreamBody;
use policy::id::RequestId;
use std::convert::Infallible;
use tokio::sync::mpsc;

/// Maximum number of events buffered for a slow caller.
const CHANNEL_CAPACITY: usize = 64;

/// Returns a body that streams the chunks of the answer and the final outcome.
///
/// If the caller disconnects, only the stream ends; the request goes on.
pub(super) fn event_stream(id: RequestId, subscription: Subscription) -> Body {
    let (sender, mut receiver) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::spawn(forward_events(id, subscription, sender));
    let frames = stream::poll_fn(move |context| receiver.poll_recv(context));
    Body::wrap(StreamBody::new(frames))
}

async fn forward_events(
    id: RequestId,
    mut subscription: Subscription,
    sender: mpsc::Sender<Result<Frame<Bytes>, Infallible>>,
) {
    loop {
        let event = tokio::select! {
            event = subscription.next() => event,
            () = sender.closed() => return,
        };
        let is_end = matches!(event, ResponseEvent::Outcome(_));
        let frame = Frame::data(to_event(&id, event).into());
        if sender.send(Ok(frame)).await.is_err() || is_end {
            return;
        }
    }
}

fn to_event(id: &RequestId, event: ResponseEvent) -> String {
    match event {
        ResponseEvent::Chunk { sequence, text } => {
            let data = to_json(&wire::PartData { text: &text });
            format!("event: part\nid: {sequence}\ndata: {data}\n\n")
        }
        ResponseEvent::Outcome(outcome) => {
            let data = to_json(&wire::OutcomeBody::new(id.clone(), outcome));
            format!("event: outcome\ndata: {data}\n\n")
        }
    }
}

/// Serializes a message; serialization can't fail for the messages of this module.
fn to_json(message: &impl serde::Serialize) -> String {
    serde_json::to_string(message).unwrap_or_default()
}
