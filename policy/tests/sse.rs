//! Streams of targets that end early or hold other bytes than events.

use policy::relay::sse::{Fault, MAX_EVENT_BYTES, Parser};
use proptest::{collection::vec, prelude::*};
use rstest::rstest;

const STREAM: &str =
    "id: 1\ndata: a\n\n: waiting\n\nversion: 2\nid: 2\ndata: b\n\nid:7\ndata: c\n\n";

/// Pushes all chunks and returns the accepted events.
fn parse(parser: &mut Parser, chunks: &[&[u8]]) -> Result<Vec<u8>, Fault> {
    let mut events = Vec::new();
    for chunk in chunks {
        events.extend(parser.push(chunk)?);
    }
    Ok(events)
}

#[rstest]
#[case::line_feeds(STREAM.to_owned())]
#[case::carriage_returns(STREAM.replace('\n', "\r\n"))]
fn events_are_returned_unchanged_however_they_are_split(
    #[case] stream: String,
    #[values(1, 2, 3, 5, 1_000)] chunk_size: usize,
) {
    let mut parser = Parser::new(None);
    let chunks: Vec<&[u8]> = stream.as_bytes().chunks(chunk_size).collect();
    let events = parse(&mut parser, &chunks).expect("the stream is valid");
    assert_eq!(events, stream.as_bytes());
    assert_eq!(parser.last_id(), Some(7));
    assert!(parser.is_complete(false));
}

/// Targets begin an event with the version of their model when it changes.
#[test]
fn event_may_begin_with_another_field() {
    let stream: &[u8] = b"model-version: 7\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let mut parser = Parser::new(None);
    assert_eq!(parse(&mut parser, &[stream]), Ok(stream.to_vec()));
}

/// The target closes the connection after any number of bytes of its stream.
#[test]
fn comments_are_no_events() {
    let mut parser = Parser::new(Some(3));
    let comment: &[u8] = b": waiting\n\n";
    let event: &[u8] = b"id: 4\ndata: a\n\n";
    assert_eq!(parser.push(comment), Ok(Vec::new()));
    assert!(!parser.is_complete(false));
    assert_eq!(parser.push(event), Ok([comment, event].concat()));
    assert_eq!(parser.push(comment), Ok(Vec::new()));
    assert!(parser.is_complete(false));
    assert_eq!(parser.take_comments(), comment);
}

#[test]
fn comments_without_end_are_rejected() {
    let mut parser = Parser::new(None);
    let comment = b": waiting\n\n";
    for _ in 0..MAX_EVENT_BYTES / comment.len() {
        assert_eq!(parser.push(comment), Ok(Vec::new()));
    }
    assert_eq!(parser.push(comment), Err(Fault::LongEvent));
}

#[test]
fn stream_is_complete_only_after_a_whole_event() {
    for length in 0..=STREAM.len() {
        let mut parser = Parser::new(None);
        let bytes = &STREAM.as_bytes()[..length];
        let events = parse(&mut parser, &[bytes]).expect("the stream is valid");
        let is_after_event = bytes.ends_with(b"\n\n");
        assert_eq!(parser.is_complete(false), is_after_event, "{length} bytes");
        let is_declared_end = is_after_event || length == 0;
        assert_eq!(parser.is_complete(true), is_declared_end, "{length} bytes");
        assert_eq!(events.len() + parser.partial_bytes(), length);
    }
}

#[rstest]
#[case::no_identifier("data: a\n\n")]
#[case::no_identifier_after_an_event("id: 1\ndata: a\n\ndata: b\n\n")]
#[case::no_field_of_an_event("0123: abcdef\n\n")]
#[case::no_number("id: x\ndata: a\n\n")]
#[case::repeated("id: 2\ndata: a\n\nid: 2\ndata: a\n\n")]
#[case::head_after_a_partial_line("id: 2\ndata: a\n\nid: 3\ndaHTTP/1.1 500 X\na: b\n\n")]
#[case::head_after_a_value("id: 2\ndata: a\n\nid: 3\ndata: bHTTP/1.1 500 X\na: b\n\n")]
#[case::head_with_carriage_returns("id: 2\ndata: a\n\nid: 3\ndata: bHTTP/1.1 500 X\r\n\r\n")]
#[case::head_after_an_identifier("id: 2\ndata: a\n\nid: 3\nHTTP/1.1 500 X\na: b\n\n")]
#[case::head_before_an_event("id: 2\ndata: a\n\nHTTP/1.1 500 X\nid: 3\ndata: b\n\n")]
#[case::decreasing("id: 2\ndata: a\n\nid: 1\ndata: b\n\n")]
fn bytes_other_than_events_in_order_are_rejected(#[case] stream: &str) {
    assert_eq!(
        Parser::new(None).push(stream.as_bytes()),
        Err(Fault::Foreign)
    );
}

/// A target that does not resume a stream but begins it again would repeat events.
#[test]
fn resumed_stream_repeats_no_event() {
    let event = |id| format!("id: {id}\ndata: a\n\n");
    let mut parser = Parser::new(Some(3));
    assert_eq!(parser.push(event(3).as_bytes()), Err(Fault::Foreign));
    let mut parser = Parser::new(Some(3));
    let events = parser.push(event(4).as_bytes());
    assert_eq!(events, Ok(event(4).into_bytes()));
    assert_eq!(parser.last_id(), Some(4));
}

#[rstest]
#[case::at_once(MAX_EVENT_BYTES + 1)]
#[case::in_chunks(4_096)]
fn event_without_end_is_rejected(#[case] chunk_size: usize) {
    let chunk = vec![b'x'; chunk_size];
    let mut parser = Parser::new(None);
    let mut pushed = 0;
    let fault = loop {
        pushed += chunk_size;
        if let Err(fault) = parser.push(&chunk) {
            break fault;
        }
        assert!(pushed <= MAX_EVENT_BYTES);
    };
    assert_eq!(fault, Fault::LongEvent);
    assert!(pushed <= MAX_EVENT_BYTES + chunk_size);
}

proptest! {
    /// Whatever arrives, what is accepted is a prefix of it.
    #[test]
    fn accepted_bytes_are_a_prefix(chunks in vec(vec(prop_oneof![
        Just(b'\n'), Just(b'\r'), Just(b'i'), Just(b'd'), Just(b':'), Just(b'1'), any::<u8>(),
    ], 0..40), 0..20)) {
        let mut parser = Parser::new(None);
        let all = chunks.concat();
        let mut accepted = Vec::new();
        for chunk in &chunks {
            match parser.push(chunk) {
                Ok(events) => accepted.extend(events),
                Err(_) => break,
            }
        }
        prop_assert!(all.starts_with(&accepted));
    }
}
