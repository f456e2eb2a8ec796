//! Streams of generated tokens.

use super::{
    api::{Engine, malformed},
    cache::{self, BLOCK},
    text::{PROMPT_TOKEN, TOKEN, Words},
};
use crate::{
    batch::Ticket,
    fault,
    http::{ConnectionClosed, Reply, reply},
    mark,
    run::Run,
};
use bytes::Bytes;
use compact_str::CompactString;
use futures::Stream;
use hyper::{Request, StatusCode};
use policy::id::BlockHash;
use serde::Deserialize;
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Wait that a full engine asks for.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Event that ends a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Comment that keeps a waiting stream alive.
const COMMENT: &[u8] = b": waiting\n\n";

/// Body of a request for a completion.
#[derive(Deserialize)]
struct Completion {
    model: CompactString,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    priority: i32,
    #[serde(default)]
    resume: String,
}

/// One stream, whose cost is noted when it is dropped.
struct Job {
    engine: Arc<Engine>,
    ticket: Ticket,
    run: Run,
    prompt: String,
    blocks: Vec<BlockHash>,
    first: u32,
    count: u32,
    started: Option<Instant>,
}

impl Engine {
    pub(super) fn complete(self: Arc<Self>, request: &Request<Bytes>) -> Reply {
        let Ok(body) = serde_json::from_slice::<Completion>(request.body()) else {
            self.state().counters.rejected += 1;
            return malformed();
        };
        if !self.warm().contains(&body.model) {
            self.state().counters.rejected += 1;
            let message = "the model is not warm";
            return reply::error(StatusCode::NOT_FOUND, "model_cold", message);
        }
        let (queue, ignore) = {
            let settings = self.settings.borrow();
            (settings.queue, settings.ignore_priority)
        };
        let priority = if ignore { 0 } else { body.priority };
        let Some(ticket) = self.batch.enter(priority, queue) else {
            self.state().counters.refused += 1;
            return reply::too_many_requests(RETRY_AFTER);
        };
        self.state().counters.calls += 1;
        let token = request.headers().get("x-request-id");
        let token = token.and_then(|token| token.to_str().ok());
        let job = Job::new(self, ticket, body, token.unwrap_or_default());
        reply::event_stream(job.stream())
    }
}

impl Job {
    fn new(engine: Arc<Engine>, ticket: Ticket, body: Completion, token: &str) -> Self {
        let asked = mark::requested_tokens(&body.prompt).unwrap_or(body.max_tokens);
        let run = Run {
            token: token.into(),
            request: mark::request_id(&body.prompt).unwrap_or_default().into(),
            seconds: 0.0,
            tokens: 0,
            completed: false,
        };
        Self {
            engine,
            ticket,
            run,
            blocks: cache::blocks(&body.prompt),
            prompt: body.prompt,
            first: (body.resume.len() / TOKEN) as u32,
            count: asked.min(body.max_tokens),
            started: None,
        }
    }

    fn stream(mut self) -> impl Stream<Item = Result<Bytes, ConnectionClosed>> + Send + 'static {
        async_stream::stream! {
            while !self.is_ready().await {
                yield Ok(Bytes::from_static(COMMENT));
            }
            self.started = Some(Instant::now());
            let mut next = Instant::now() + self.prefill_time();
            while !self.is_due(next).await {
                yield Ok(Bytes::from_static(COMMENT));
            }
            if mark::has_crash_marker(&self.prompt, &self.engine.settings.borrow().pool) {
                self.engine.server_handle.terminate();
                yield Err(ConnectionClosed);
            }
            self.engine.cache(&self.blocks);
            let words = Words::new(&self.prompt);
            for index in self.first..self.count {
                next = self.pace(next).await;
                self.run.tokens += 1;
                yield Ok(event(&words.get(index)));
            }
            self.complete();
            yield Ok(Bytes::from_static(DONE));
        }
    }

    fn complete(&mut self) {
        self.run.completed = true;
    }

    /// Waits for the batch, and returns whether the job is in it or only a comment is due.
    async fn is_ready(&self) -> bool {
        let Some(interval) = self.keepalive() else {
            self.ticket.ready().await;
            return true;
        };
        tokio::time::timeout(interval, self.ticket.ready())
            .await
            .is_ok()
    }

    /// Waits for `time`, and returns whether it has come or only a comment is due.
    async fn is_due(&self, time: Instant) -> bool {
        let comment = self.keepalive().map(|interval| Instant::now() + interval);
        let wake = comment.map_or(time, |comment| comment.min(time));
        tokio::time::sleep_until(wake).await;
        fault::wait_while_stalled(&self.engine.settings, |settings| settings.faults.stall).await;
        Instant::now() >= time
    }

    fn keepalive(&self) -> Option<Duration> {
        let interval = self.engine.settings.borrow().keepalive_ms;
        (interval > 0).then(|| Duration::from_millis(interval))
    }

    /// Counts the prompt tokens and returns the time to read those that are not cached.
    fn prefill_time(&self) -> Duration {
        let held = self.engine.cached(&self.blocks) * BLOCK / PROMPT_TOKEN;
        let whole = self.prompt.len() / PROMPT_TOKEN + self.first as usize;
        let unread = whole - held;
        let mut state = self.engine.state();
        state.counters.cached_tokens += held as u64;
        state.counters.prefill_tokens += unread as u64;
        drop(state);
        let settings = self.engine.settings.borrow();
        let rate = settings.prefill_per_second.max(f64::MIN_POSITIVE);
        let time = Duration::try_from_secs_f64(unread as f64 / rate).unwrap_or(Duration::MAX);
        settings.faults.scale(time)
    }

    /// Waits until the token after the one at `last` is generated, and returns its time.
    async fn pace(&self, last: Instant) -> Instant {
        let interval = {
            let settings = self.engine.settings.borrow();
            let rate = settings.tokens_per_second.max(f64::EPSILON);
            settings.faults.scale(Duration::from_secs_f64(1.0 / rate))
        };
        let mut next = last + interval;
        tokio::time::sleep_until(next).await;
        if self.engine.settings.borrow().faults.stall {
            fault::wait_while_stalled(&self.engine.settings, |settings| settings.faults.stall)
                .await;
            next = Instant::now();
        }
        next
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        let width = f64::from(self.engine.settings.borrow().width.max(1));
        let time = self.started.map(|started| started.elapsed());
        self.run.seconds = time.map_or(0.0, |time| time.as_secs_f64() / width);
        let mut state = self.engine.state();
        let counters = &mut state.counters;
        if self.run.completed {
            counters.completed += 1;
            counters.useful_seconds += self.run.seconds;
            counters.useful_tokens += u64::from(self.run.tokens);
        } else {
            counters.cancelled += 1;
            counters.wasted_seconds += self.run.seconds;
            counters.wasted_tokens += u64::from(self.run.tokens);
        }
        state.runs.push(self.run.clone());
    }
}

fn event(text: &str) -> Bytes {
    let data = json!({"choices": [{"text": text}]});
    format!("data: {data}\n\n").into()
}
