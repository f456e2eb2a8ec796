//! Responses that a fake engine begins before it has read their requests.

use super::engine::{EVENTS_BEFORE_CUT, State, plain_answer};
use std::{io, sync::atomic::Ordering, time::Duration};
use tokio::{io::AsyncWriteExt, net::TcpStream, time};

/// Maximum size of the head of a request in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Interval at which an engine looks whether the head of a request is complete.
const HEAD_INTERVAL: Duration = Duration::from_millis(1);

/// Part of a response with neither a length nor chunks that an engine sends when it has the head of a
/// request, before it closes the connection with the body of the request unread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EarlyAnswer {
    /// Where a stream ends; other responses end in the middle.
    pub part: Part,
    /// How the connection ends.
    pub end: End,
    /// Time between the part and the end of the connection.
    pub delay: Duration,
}

/// Where a stream ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// After the second event.
    Events,
    /// In the middle of the third event.
    InsideEvent,
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The socket is closed with unread bytes, so that the host sends a reset.
    Unread,
    /// The socket is closed without lingering, so that unsent bytes are lost.
    Reset,
    /// The engine ends its side, and closes the socket this long afterwards.
    HalfClosed(Duration),
}

impl State {
    /// Answers the request of a connection from which nothing has been read.
    pub(super) async fn answer_early(
        &self,
        mut stream: TcpStream,
        early: EarlyAnswer,
    ) -> io::Result<()> {
        let head = peek_head(&stream).await?;
        if head.starts_with("GET /report ") {
            return stream.write_all(self.raw_report().as_bytes()).await;
        }
        self.early_answers.fetch_add(1, Ordering::Relaxed);
        stream
            .write_all(self.part(&head, early.part).as_bytes())
            .await?;
        time::sleep(early.delay).await;
        match early.end {
            End::Unread => {}
            End::Reset => stream.set_zero_linger()?,
            End::HalfClosed(rest) => {
                stream.shutdown().await?;
                time::sleep(rest).await;
            }
        }
        Ok(())
    }

    /// Returns the part of a response to a request.
    fn part(&self, head: &str, part: Part) -> String {
        let id = header(head, "godwithinge-attempt-id");
        let body = if head.starts_with("POST /stage-run ") {
            r#"{"items":[{"handle""#.to_owned()
        } else if header(head, "godwithinge-token-counts").is_empty() {
            let answer = plain_answer(id);
            answer[..answer.len() / 2].to_owned()
        } else {
            let last = header(head, "last-event-id").parse().unwrap_or_default();
            let events = self.events_after(last).map(|(_, event)| event);
            let mut events: Vec<String> = events.take(EVENTS_BEFORE_CUT as usize + 1).collect();
            if let Some(cut) = events.last_mut() {
                cut.truncate(if part == Part::InsideEvent { 8 } else { 0 });
            }
            events.concat()
        };
        self.unframed_head(id) + &body
    }

    fn raw_report(&self) -> String {
        let report = self.report().to_string();
        let length = report.len();
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{report}")
    }
}

/// Waits for the head of a request and leaves it unread.
async fn peek_head(stream: &TcpStream) -> io::Result<String> {
    let mut buffer = vec![0; MAX_HEAD_BYTES];
    loop {
        let length = stream.peek(&mut buffer).await?;
        let text = String::from_utf8_lossy(&buffer[..length]);
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            return Ok(head.to_owned());
        }
        if length == 0 || length == buffer.len() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        time::sleep(HEAD_INTERVAL).await;
    }
}

/// Returns the value of a header field; empty if it is absent.
fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let fields = head.lines().filter_map(|line| line.split_once(": "));
    let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    values.next().map_or("", |(_, value)| value)
}
