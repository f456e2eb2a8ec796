//! Requests that wait at the entries, from their metrics.
//!
//! Metrics are long, so one entry is asked at a time and the next only after a while that grows
//! with the length of the answer. The last answer of each entry counts until its next one.

use crate::{
    http::{Pool as Connections, Request, Reuse},
    platform::{Client, Range},
};
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use policy::{
    id::{HostId, ModelId, PoolId, RegionId, Time},
    pool::{Kind, Pool},
};
use serde::Deserialize;
use std::{collections::BTreeMap, time::Duration};
use tokio::time;

/// Table of the daemons, in which each entry names its address.
const TABLE: &str = "daemons";
/// What the lines of the metric begin with.
const METRIC: &str = "gwi_queue{pool=\"";
/// Longest answer that is read, in bytes.
const MAX_BODY: usize = 8 << 20;
/// Bytes a second that reading metrics may take.
const BYTES_PER_SECOND: f64 = 1500.0;
/// Shortest time between two reads.
const LEAST_PAUSE: Duration = Duration::from_millis(500);

/// Requests that wait for each model.
pub(super) type Counts = BTreeMap<ModelId, f64>;

/// Row of one entry.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Entry {
    host: HostId,
    api: CompactString,
    region: RegionId,
    #[serde(default)]
    leaving: bool,
}

/// What one read gave.
#[derive(Debug)]
pub(super) enum Answer {
    /// The entries of the region, and the length of the answer in bytes.
    Entries(Vec<Entry>, usize),
    /// The counts of one entry, and the length of the answer in bytes.
    Counts(HostId, Counts, usize),
    /// There was no answer.
    None,
}

/// What to read next.
#[derive(Debug)]
pub(super) enum Ask {
    /// The entries of the region.
    Entries,
    /// The metrics of one entry.
    Metrics(Entry),
}

/// Requests that wait at all entries of a region.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    open: Vec<Entry>,
    counts: BTreeMap<HostId, Counts>,
    asked: bool,
    due: Time,
}

impl Waiting {
    /// Returns what to read now, if anything.
    pub(super) fn next(&mut self, now: Time) -> Option<Ask> {
        if self.asked || now < self.due {
            return None;
        }
        self.asked = true;
        Some(self.open.pop().map_or(Ask::Entries, Ask::Metrics))
    }

    /// Takes in an answer and returns the sums over all entries.
    pub(super) fn take_in(&mut self, now: Time, answer: Answer) -> Counts {
        self.asked = false;
        let bytes = match answer {
            Answer::Entries(entries, bytes) => {
                let keeps = |host: &HostId| entries.iter().any(|entry| entry.host == *host);
                self.counts.retain(|host, _| keeps(host));
                self.open = entries;
                bytes
            }
            Answer::Counts(host, counts, bytes) => {
                self.counts.insert(host, counts);
                bytes
            }
            Answer::None => 0,
        };
        let pause = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND);
        self.due = now + pause.max(LEAST_PAUSE);
        self.sums()
    }

    fn sums(&self) -> Counts {
        let mut sums = Counts::new();
        for (model, count) in self.counts.values().flatten() {
            *sums.entry(model.clone()).or_default() += count;
        }
        sums
    }
}

/// Reads what is asked for; an entry that doesn't answer within `timeout` gives nothing.
pub(super) async fn read(
    client: &Client,
    connections: &Connections,
    region: &RegionId,
    pools: &[Pool],
    ask: Ask,
    timeout: Duration,
) -> Answer {
    match ask {
        Ask::Entries => entries(client, region).await,
        Ask::Metrics(entry) => {
            let text = metrics(connections, &entry.api);
            let Ok(Some(text)) = time::timeout(timeout, text).await else {
                return Answer::None;
            };
            Answer::Counts(entry.host, counts(&text, pools), text.len())
        }
    }
}

async fn entries(client: &Client, region: &RegionId) -> Answer {
    let Ok(rows) = client.rows(TABLE, &Range::default()).await else {
        return Answer::None;
    };
    let length = serde_json::to_vec(&rows).map_or(0, |body| body.len());
    let entries = rows.rows.into_iter();
    let entries = entries
        .filter_map(|row| serde_json::from_value::<Entry>(row.value).ok())
        .filter(|entry| entry.region == *region && !entry.leaving);
    Answer::Entries(entries.collect(), length)
}

async fn metrics(connections: &Connections, address: &str) -> Option<String> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/metrics".parse().ok()?;
    let sent = connections.send(address, request, Reuse::Oldest);
    let body = sent.await.ok()?.bytes(MAX_BODY).await.ok()?;
    String::from_utf8(body.to_vec()).ok()
}

/// Returns the counts of one entry, zero for a model that its metrics don't name.
fn counts(text: &str, pools: &[Pool]) -> Counts {
    let engines = pools.iter().filter(|pool| pool.kind == Kind::Engine);
    let mut counts: Counts = engines.map(|pool| (pool.model.clone(), 0.0)).collect();
    for (pool, count) in text.lines().filter_map(parse) {
        let pool = pools.iter().find(|known| known.name == pool);
        if let Some(sum) = pool.and_then(|pool| counts.get_mut(&pool.model)) {
            *sum += count;
        }
    }
    counts
}

/// Reads one line of the metric.
fn parse(line: &str) -> Option<(PoolId, f64)> {
    let (pool, count) = line.strip_prefix(METRIC)?.split_once("\"} ")?;
    Some((pool.into(), count.trim().parse().ok()?))
}
