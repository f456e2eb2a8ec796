//! Callers that ask for entries, send requests and wait for outcomes.

use super::{
    schedule::Arrival,
    stream::{self, Final, Parts},
};
use crate::engine::text;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use policy::id::{PipelineId, RequestId, WorkspaceId};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use strum::{Display, IntoStaticStr};
use tokio::time::{Instant, timeout, timeout_at};

/// Time after the deadline in which an answer is seen to be late, not lost.
const GRACE: Duration = Duration::from_secs(3);

/// Longest time for one directory answer.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after all known entries have failed.
const PAUSE: Duration = Duration::from_millis(20);

/// What a caller does after a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Patience {
    /// The refusal is the end.
    Never,
    /// The caller waits as long as it is told and sends again.
    Told,
    /// The caller sends again at once.
    None,
}

/// How a request ended for its caller.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    Eq,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// The whole own answer came before the deadline.
    Attained,
    /// The whole own answer came after the deadline.
    Late,
    /// An answer came that is not whole or not the caller's own.
    Wrong,
    /// The request was not run.
    NotRun,
    /// The request failed.
    Failed,
    /// The outcome is unknown.
    Unknown,
    /// The entry answered with an error from before the request existed.
    Error,
    /// No outcome came, though the caller waited past the deadline.
    Lost,
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Name of the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Pipeline of the request.
    pub pipeline: PipelineId,
    /// How the request ended.
    pub ending: Ending,
    /// Reason or error code that the outcome gave.
    pub reason: CompactString,
    /// Time from the first send to the end.
    pub elapsed: Duration,
    /// Time from the first send to the first part.
    pub first: Option<Duration>,
    /// Times between parts.
    pub gaps: Vec<Duration>,
    /// Times from a send to a refusal that asks to send again later.
    pub refusals: Vec<Duration>,
    /// How often the request was sent.
    pub sends: u32,
}

/// Directory answers by workspace and domain, with the time until which they are kept.
type Answers = HashMap<(WorkspaceId, usize), (Instant, Vec<SocketAddr>)>;

/// Callers that share a client and their directory answers.
#[derive(Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    seeds: Vec<SocketAddr>,
    domains: Vec<CompactString>,
    patience: Patience,
    directory: Mutex<Answers>,
}

#[derive(Deserialize)]
struct Directory {
    entries: Vec<Entry>,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Entry {
    address: SocketAddr,
}

/// State of one request at its caller.
struct Try<'a> {
    arrival: &'a Arrival,
    began: Instant,
    deadline: Instant,
    parts: Parts,
    refusals: Vec<Duration>,
    sends: u32,
}

impl Caller {
    /// Creates callers that know `seeds`, addresses of some entries, and their own `domains`.
    pub fn new(seeds: Vec<SocketAddr>, domains: Vec<CompactString>, patience: Patience) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            seeds,
            domains,
            patience,
            directory: Mutex::default(),
        }
    }

    /// Sends a request and waits for its end.
    pub async fn call(&self, arrival: &Arrival) -> Answer {
        let began = Instant::now();
        let mut attempt = Try {
            arrival,
            began,
            deadline: began + arrival.deadline,
            parts: Parts::default(),
            refusals: Vec::new(),
            sends: 0,
        };
        let mut outcome = None;
        let mut failures = 0;
        while attempt.sends == 0 || Instant::now() < attempt.deadline {
            let entries = self.entries(arrival, failures > 0).await;
            let Some(entry) = entries.get(failures % entries.len().max(1)) else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            let sent = Instant::now();
            let limit = attempt.deadline + GRACE;
            match timeout_at(limit, self.send(*entry, &mut attempt)).await {
                Ok(Some(found)) => {
                    let refused = found.is_refusal();
                    let wait = found.retry_after_ms.unwrap_or(0);
                    outcome = Some(found);
                    if !refused {
                        break;
                    }
                    attempt.refusals.push(sent.elapsed());
                    match self.patience {
                        Patience::Never => break,
                        Patience::Told => tokio::time::sleep(Duration::from_millis(wait)).await,
                        Patience::None => tokio::task::yield_now().await,
                    }
                }
                Ok(None) => {
                    failures += 1;
                    if failures.is_multiple_of(entries.len()) {
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                Err(_elapsed) => break,
            }
        }
        attempt.finish(outcome.as_ref())
    }

    /// Returns the addresses of entries in the order of preference.
    async fn entries(&self, arrival: &Arrival, failed: bool) -> Vec<SocketAddr> {
        let place = (arrival.workspace.clone(), arrival.domain);
        let known = self.directory().get(&place).cloned();
        if let Some((until, entries)) = known
            && Instant::now() < until
            && !entries.is_empty()
        {
            return entries;
        }
        let first = arrival.domain + usize::from(failed);
        for number in 0..self.seeds.len() {
            let seed = self.seeds.get((first + number) % self.seeds.len());
            let Some(seed) = seed else { break };
            let asked = timeout(DIRECTORY_TIMEOUT, self.ask(*seed, arrival)).await;
            if let Ok(Some(directory)) = asked {
                let until = Instant::now() + Duration::from_millis(directory.ttl_ms);
                let entries: Vec<_> = directory
                    .entries
                    .iter()
                    .map(|entry| entry.address)
                    .collect();
                self.directory().insert(place, (until, entries.clone()));
                return entries;
            }
        }
        Vec::new()
    }

    async fn ask(&self, seed: SocketAddr, arrival: &Arrival) -> Option<Directory> {
        let domain = self
            .domains
            .get(arrival.domain % self.domains.len().max(1))?;
        let workspace = &arrival.workspace;
        let uri = format!("http://{seed}/v1/entries?workspace={workspace}&domain={domain}");
        let request = Request::get(uri).body(Full::default()).ok()?;
        let response = self.client.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    /// Sends a request once; `None` if the connection broke before the outcome.
    async fn send(&self, entry: SocketAddr, attempt: &mut Try<'_>) -> Option<Final> {
        let request = attempt.request(entry)?;
        attempt.sends += 1;
        let response: Response<Incoming> = self.client.request(request).await.ok()?;
        stream::read(response, &mut attempt.parts).await
    }

    fn directory(&self) -> MutexGuard<'_, Answers> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Try<'_> {
    fn request(&self, entry: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let arrival = self.arrival;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let body = json!({
            "workspace": arrival.workspace,
            "request": arrival.request,
            "deadline_ms": left.as_millis().max(1) as u64,
            "retry": self.sends > 0,
            "stream": arrival.streamed,
            "payload": {"prompt": arrival.prompt},
        });
        let uri = format!("http://{entry}/v1/pipelines/{}/requests", arrival.pipeline);
        let request = Request::post(uri).header("content-type", "application/json");
        let request = match self.parts.last {
            Some(last) => request.header("last-event-id", last),
            None => request,
        };
        request.body(Full::from(body.to_string())).ok()
    }

    fn finish(self, outcome: Option<&Final>) -> Answer {
        let elapsed = self.began.elapsed();
        let reason = outcome.and_then(|outcome| {
            let detail = outcome.reason.as_ref().or(outcome.error_code.as_ref())?;
            Some(match &outcome.effects {
                Some(effects) => compact_str::format_compact!("{detail}, effects {effects}"),
                None => detail.clone(),
            })
        });
        Answer {
            request: self.arrival.request.clone(),
            workspace: self.arrival.workspace.clone(),
            pipeline: self.arrival.pipeline.clone(),
            ending: self.ending(outcome, elapsed),
            reason: reason.unwrap_or_default(),
            elapsed,
            first: self.parts.first_at.map(|first| first - self.began),
            gaps: self.parts.gaps,
            refusals: self.refusals,
            sends: self.sends,
        }
    }

    fn ending(&self, outcome: Option<&Final>, elapsed: Duration) -> Ending {
        let Some(outcome) = outcome else {
            return Ending::Lost;
        };
        match outcome.outcome.as_deref() {
            Some("answered") if !self.is_own(outcome) => Ending::Wrong,
            Some("answered") if elapsed > self.arrival.deadline => Ending::Late,
            Some("answered") => Ending::Attained,
            Some("not_run") => Ending::NotRun,
            Some("failed") => Ending::Failed,
            Some("unknown") => Ending::Unknown,
            _ => Ending::Error,
        }
    }

    /// Returns whether the answer is whole and belongs to this request.
    fn is_own(&self, outcome: &Final) -> bool {
        let Some(answer) = &outcome.answer else {
            return false;
        };
        if !self.arrival.streamed {
            return answer["request"].as_str() == Some(&self.arrival.request);
        }
        let Some(text) = answer["text"].as_str() else {
            return false;
        };
        let whole = text.len() == self.arrival.tokens as usize * text::TOKEN;
        let streamed = self.parts.last.is_none() || self.parts.text == text;
        whole && streamed && text.starts_with(&text::tag(&self.arrival.request))
    }
}
