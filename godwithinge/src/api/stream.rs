//! Answers as server-sent events.

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

/// Events that wait for a slow caller.
const BUFFER: usize = 64;

/// Returns a body that streams what the subscription gives.
///
/// A caller that goes away ends the stream and not the request.
pub(super) fn body(id: RequestId, subscription: Subscription) -> Body {
    let (sender, mut receiver) = mpsc::channel(BUFFER);
    tokio::spawn(send(id, subscription, sender));
    let frames = stream::poll_fn(move |context| receiver.poll_recv(context));
    Body::wrap(StreamBody::new(frames))
}

async fn send(
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
            let data = to_json(&wire::Part { text: &text });
            format!("event: part\nid: {sequence}\ndata: {data}\n\n")
        }
        ResponseEvent::Outcome(outcome) => {
            let data = to_json(&wire::Answer::new(id.clone(), outcome));
            format!("event: outcome\ndata: {data}\n\n")
        }
    }
}

/// Writes a message; those of this module can always be written.
fn to_json(message: &impl serde::Serialize) -> String {
    serde_json::to_string(message).unwrap_or_default()
}
