//! Responses that a fake engine writes to its connection itself, since they don't follow the protocol.

use super::{
    behavior::{Behavior, Cut, RawStatus, RefusalId, Section},
    engine::{
        BRITTLE, CRASH_DOWNTIME, EVENT_INTERVAL, EVENTS_BEFORE_CUT, LEAVING, LIMIT, State, lock,
        plain_answer,
    },
};
use crate::http::{ConnectionClosed, RawConnection, Reply};
use std::{sync::atomic::Ordering, time::Duration};
use tokio::time;

/// Interval between two bytes of an event, or two comments, that are sent slowly.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(300);
/// Time from the head of a response to a second one, in which a stream ends.
const REPEAT_DELAY: Duration = Duration::from_millis(150);
/// Error response that an engine writes in the middle of a stream.
const ERROR_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\ngodwithinge-not-executed: 1\r\n\
                              content-length: 0\r\n\r\n";
/// Bytes that an endless response repeats, with the interval between two writes.
const ENDLESS_WRITE: (usize, Duration) = (4 << 10, Duration::from_millis(1));

impl State {
    /// Answers a request that was executed if the engine writes the response itself. Events of a stream
    /// follow the event `last`.
    pub(super) async fn answer_raw(
        &self,
        raw: &RawConnection,
        behavior: Behavior,
        id: &str,
        is_stream: bool,
        last: u64,
    ) -> Option<Result<Reply, ConnectionClosed>> {
        let answer = match behavior {
            Behavior::Unframed(cut) if is_stream => {
                let events = self.events_after(last);
                self.send_unframed_stream(raw, id, events, cut).await
            }
            Behavior::Unframed(cut) => {
                let mut answer = plain_answer(id);
                if matches!(cut, Cut::Reset | Cut::Killed) {
                    answer.truncate(answer.len() / 2);
                }
                self.send_unframed(raw, id, &answer, cut).await
            }
            Behavior::UnframedError(cut) => {
                let mut answer = plain_answer(id);
                if matches!(cut, Cut::Reset | Cut::Killed) {
                    answer.truncate(answer.len() / 2);
                }
                let head = self.unframed_head(id);
                let head = head.replacen("200 OK", "500 Internal Server Error", 1);
                self.send_cut(raw, &head, &answer, cut).await
            }
            Behavior::Endless(section) => self.send_endless(raw, id, section).await,
            Behavior::Status(status) => {
                let answer = plain_answer(id);
                self.send_status(raw, id, status, &answer).await
            }
            Behavior::CutHead(length) => self.send_cut_head(raw, id, length).await,
            _ => return None,
        };
        Some(answer)
    }

    /// Sends a response that ends with its connection, whose body may be cut already.
    pub(super) async fn send_unframed(
        &self,
        raw: &RawConnection,
        id: &str,
        body: &str,
        cut: Cut,
    ) -> Result<Reply, ConnectionClosed> {
        self.send_cut(raw, &self.unframed_head(id), body, cut).await
    }

    async fn send_cut(
        &self,
        raw: &RawConnection,
        head: &str,
        body: &str,
        cut: Cut,
    ) -> Result<Reply, ConnectionClosed> {
        send(raw, head).await?;
        send(raw, body).await?;
        self.close(raw, cut)
    }

    /// Sends a stream that ends with its connection.
    pub(super) async fn send_unframed_stream(
        &self,
        raw: &RawConnection,
        id: &str,
        events: impl Iterator<Item = (u64, String)>,
        cut: Cut,
    ) -> Result<Reply, ConnectionClosed> {
        send(raw, &self.unframed_head(id)).await?;
        for (number, event) in events {
            let is_cut = number > EVENTS_BEFORE_CUT;
            match cut {
                Cut::BeforeFirstEvent => break,
                Cut::Reset | Cut::Killed if is_cut => break,
                Cut::InsideEvent if is_cut => {
                    send(raw, &event[..8]).await?;
                    break;
                }
                Cut::ErrorInsideEvent if is_cut => {
                    send(raw, &event[..event.len() - 4]).await?;
                    send(raw, ERROR_RESPONSE).await?;
                    break;
                }
                Cut::Never
                | Cut::InsideEvent
                | Cut::ErrorInsideEvent
                | Cut::Reset
                | Cut::Killed
                | Cut::Exited => {
                    send(raw, &event).await?;
                }
            }
            time::sleep(EVENT_INTERVAL).await;
        }
        self.close(raw, cut)
    }

    /// Ends a response that ends with its connection.
    fn close(&self, raw: &RawConnection, cut: Cut) -> Result<Reply, ConnectionClosed> {
        match cut {
            Cut::Reset => raw.reset_on_close().map_err(|_closed| ConnectionClosed)?,
            Cut::Killed | Cut::Exited => self.crash(CRASH_DOWNTIME),
            Cut::Never | Cut::BeforeFirstEvent | Cut::InsideEvent | Cut::ErrorInsideEvent => {}
        }
        Err(ConnectionClosed)
    }

    /// Sends bytes until the connection is closed.
    pub(super) async fn send_endless(
        &self,
        raw: &RawConnection,
        id: &str,
        section: Section,
    ) -> Result<Reply, ConnectionClosed> {
        self.endless_responses.fetch_add(1, Ordering::Relaxed);
        let _guard = EndlessGuard(self);
        let head = self.unframed_head(id);
        let (start, unit) = match section {
            Section::Head => (head.trim_end().to_owned(), "\r\nx-filler: 0123456789abcdef"),
            Section::Body => (head, "0123456789abcdef"),
            Section::Lines => (head, "0123456789: abcdef\n\n"),
            Section::Event | Section::Trickle => {
                let (_, event) = self.events_after(0).next().unwrap_or_default();
                (head + &event, ": slow ")
            }
            Section::Comments => {
                let (_, event) = self.events_after(0).next().unwrap_or_default();
                (head + &event, ": waiting\n\n")
            }
            Section::Trailer => {
                let answer = plain_answer(id);
                let length = format!("\r\ncontent-length: {}\r\n\r\n{answer}", answer.len());
                (head.trim_end().to_owned() + &length, "0123456789abcdef")
            }
        };
        send(raw, &start).await?;
        let (size, interval) = match section {
            Section::Event => (unit.len(), EVENT_INTERVAL),
            Section::Trickle => (1, TRICKLE_INTERVAL),
            Section::Comments => (unit.len(), TRICKLE_INTERVAL),
            _ => ENDLESS_WRITE,
        };
        let units = unit.repeat(size.div_ceil(unit.len()));
        let units = &units[..size];
        loop {
            send(raw, units).await?;
            time::sleep(interval).await;
        }
    }

    /// Sends a refusal that was given before, if the connection was in use before.
    pub(super) async fn repeat_refusal(
        &self,
        raw: &RawConnection,
        id: RefusalId,
    ) -> Result<(), ConnectionClosed> {
        if !raw.is_reused() {
            return Ok(());
        }
        let id = match id {
            RefusalId::Absent => "",
            RefusalId::Earlier => "godwithinge-attempt-id: earlier\r\n",
        };
        self.repeated_answers.fetch_add(1, Ordering::Relaxed);
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\ngodwithinge-not-executed: 1\r\n{id}\
             content-length: 0\r\n\r\n"
        );
        send(raw, &refusal).await
    }

    /// Sends the beginning of the head of a response and closes the connection.
    pub(super) async fn send_cut_head(
        &self,
        raw: &RawConnection,
        id: &str,
        length: usize,
    ) -> Result<Reply, ConnectionClosed> {
        let head = self.framed_head(id);
        send(raw, &head[..length.min(head.len() - 1)]).await?;
        Err(ConnectionClosed)
    }

    /// Sends a response with a status, and closes the connection.
    pub(super) async fn send_status(
        &self,
        raw: &RawConnection,
        id: &str,
        status: RawStatus,
        body: &str,
    ) -> Result<Reply, ConnectionClosed> {
        let head = self.unframed_head(id);
        let head = head.replacen("200 OK", &format!("{:03} Trouble", status.code), 1);
        let refusal = if status.is_refusal {
            "godwithinge-not-executed: 1\r\n"
        } else {
            ""
        };
        let (head, length) = (head.trim_end(), body.len());
        let response = format!("{head}\r\n{refusal}content-length: {length}\r\n\r\n{body}");
        send(raw, &response).await?;
        Err(ConnectionClosed)
    }

    /// Returns the head of a response with a length.
    fn framed_head(&self, id: &str) -> String {
        let head = self.unframed_head(id);
        let length = plain_answer(id).len();
        format!("{}\r\ncontent-length: {length}\r\n\r\n", head.trim_end())
    }

    /// Sends another response to a request some time later.
    pub(super) fn repeat_late(&self, raw: &RawConnection, id: &str) {
        let (raw, answer) = (raw.clone(), plain_answer(id));
        let response = self.framed_head(id) + &answer;
        tokio::spawn(async move {
            time::sleep(REPEAT_DELAY).await;
            // The caller may have closed the connection.
            drop(raw.write(response.as_bytes()).await);
        });
    }

    /// Remembers the answer to the last stage call on a connection.
    pub(super) fn remember_answer(&self, raw: &RawConnection, body: &str) {
        let head = self.unframed_head("");
        let length = body.len();
        let answer = format!(
            "{}\r\ncontent-length: {length}\r\n\r\n{body}",
            head.trim_end()
        );
        lock(&self.last_answers).insert(raw.id(), answer);
    }

    /// Sends the answer to the last stage call on a connection once more.
    pub(super) async fn repeat_last_answer(&self, raw: &RawConnection) {
        let answer = lock(&self.last_answers).remove(&raw.id());
        let Some(answer) = answer else {
            return;
        };
        if raw.write(answer.as_bytes()).await.is_ok() {
            self.repeated_answers.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the head of a response without a length.
    pub(super) fn unframed_head(&self, id: &str) -> String {
        let limit = self.admissions.announced_limit();
        let limit = limit.map_or(String::new(), |limit| format!("{BRITTLE}: {limit}\r\n"));
        let rate = self.notices.rate();
        let rate = rate.map_or(String::new(), |rate| format!("{LIMIT}: {rate}\r\n"));
        let leaving = if self.notices.is_leaving() {
            format!("{LEAVING}: 1\r\n")
        } else {
            String::new()
        };
        format!(
            "HTTP/1.1 200 OK\r\n{limit}{rate}{leaving}godwithinge-attempt-id: {id}\r\n\
             godwithinge-server-stamp: stamp-{}\r\n\r\n",
            self.id
        )
    }
}

/// Counts an endless response until dropped.
struct EndlessGuard<'a>(&'a State);

impl Drop for EndlessGuard<'_> {
    fn drop(&mut self) {
        self.0.endless_responses.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn send(raw: &RawConnection, text: &str) -> Result<(), ConnectionClosed> {
    let sent = raw.write(text.as_bytes()).await;
    sent.map_err(|_closed| ConnectionClosed)
}
