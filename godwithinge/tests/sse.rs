//! Tests of the decoder for server-sent events.

use godwithinge::target::{Decoder, EventTooLong};

const MAX_EVENT_BYTES: usize = 1_000;

#[test]
fn events_are_decoded_across_chunks() {
    let mut decoder = Decoder::new(MAX_EVENT_BYTES);
    let mut data = Vec::new();
    for byte in b"id: 1\ndata: one\n\n: waiting\n\nid: 2\ndata: two\n\nid: 3" {
        decoder.push(&[*byte]);
        while let Some(event) = decoder.next_event().expect("events are short") {
            data.push((event.id, event.data));
        }
    }
    let expected = [("1", "one"), ("2", "two")].map(|(id, data)| (id.into(), data.into()));
    assert_eq!(data, expected);
}

#[test]
fn event_without_end_is_rejected() {
    let mut decoder = Decoder::new(MAX_EVENT_BYTES);
    decoder.push(b"id: 1\ndata: one\n\n");
    decoder.push(&[b'x'; MAX_EVENT_BYTES]);
    let first = decoder.next_event().expect("the first event is short");
    assert_eq!(first.expect("the first event is complete").data, "one");
    assert_eq!(decoder.next_event(), Ok(None));
    decoder.push(b"x");
    assert_eq!(decoder.next_event(), Err(EventTooLong));
}
