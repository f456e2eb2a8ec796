//! Monitoring of the requests queued at the entries, based on their metrics.
//!
//! Metrics responses are large, so entries are read one at a time, and the delay before the next
//! read is proportional to the size of the last response. The counts of an entry remain valid until
//! its next read.

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

/// Platform table of the daemons, in which each entry publishes its address.
const DAEMONS_TABLE: &str = "daemons";
/// Prefix of the samples of the entries' queue metric.
const QUEUE_METRIC_PREFIX: &str = "gwi_queue{pool=\"";
/// Maximum size of a metrics response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum average rate of reading, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 1500.0;
/// Minimum time between the end of a read and the next one.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Number of queued requests by model.
pub(super) type Counts = BTreeMap<ModelId, f64>;

/// Row of an entry in the table of daemons.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Entry {
    host: HostId,
    api: CompactString,
    region: RegionId,
    #[serde(default)]
    leaving: bool,
}

/// Result of a read.
#[derive(Debug)]
pub(super) enum ReadResult {
    /// Entries of the region, and the size of the response in bytes.
    Entries(Vec<Entry>, usize),
    /// Counts of one entry, and the size of the response in bytes.
    Counts(HostId, Counts, usize),
    /// The read failed or timed out.
    None,
}

/// Next read to perform.
#[derive(Debug)]
pub(super) enum Query {
    /// Read the entries of the region.
    Entries,
    /// Read the metrics of one entry.
    Metrics(Entry),
}

/// Schedule of the reads, and the last counts of all entries of a region.
#[derive(Debug, Default)]
pub(super) struct QueueMonitor {
    unread: Vec<Entry>,
    counts: BTreeMap<HostId, Counts>,
    is_reading: bool,
    next_read: Time,
}

impl QueueMonitor {
    /// Returns the read to perform now; `None` while one is in progress or not yet due.
    pub(super) fn next_query(&mut self, now: Time) -> Option<Query> {
        if self.is_reading || now < self.next_read {
            return None;
        }
        self.is_reading = true;
        Some(self.unread.pop().map_or(Query::Entries, Query::Metrics))
    }

    /// Stores the result of a read and returns the sums over all entries.
    pub(super) fn apply(&mut self, now: Time, result: ReadResult) -> Counts {
        self.is_reading = false;
        let bytes = match result {
            ReadResult::Entries(entries, bytes) => {
                let is_listed = |host: &HostId| entries.iter().any(|entry| entry.host == *host);
                self.counts.retain(|host, _| is_listed(host));
                self.unread = entries;
                bytes
            }
            ReadResult::Counts(host, counts, bytes) => {
                self.counts.insert(host, counts);
                bytes
            }
            ReadResult::None => 0,
        };
        let interval = Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_SECOND);
        self.next_read = now + interval.max(MIN_READ_INTERVAL);
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

/// Performs a read; `timeout` applies to metrics only, as the platform client has its own.
pub(super) async fn read(
    client: &Client,
    connections: &Connections,
    region: &RegionId,
    pools: &[Pool],
    query: Query,
    timeout: Duration,
) -> ReadResult {
    match query {
        Query::Entries => read_entries(client, region).await,
        Query::Metrics(entry) => {
            let text = read_metrics(connections, &entry.api);
            let Ok(Some(text)) = time::timeout(timeout, text).await else {
                return ReadResult::None;
            };
            ReadResult::Counts(entry.host, parse_counts(&text, pools), text.len())
        }
    }
}

async fn read_entries(client: &Client, region: &RegionId) -> ReadResult {
    let Ok(rows) = client.rows(DAEMONS_TABLE, &Range::default()).await else {
        return ReadResult::None;
    };
    let length = serde_json::to_vec(&rows).map_or(0, |body| body.len());
    let entries = rows.rows.into_iter();
    let entries = entries
        .filter_map(|row| serde_json::from_value::<Entry>(row.value).ok())
        .filter(|entry| entry.region == *region && !entry.leaving);
    ReadResult::Entries(entries.collect(), length)
}

async fn read_metrics(connections: &Connections, address: &str) -> Option<String> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/metrics".parse().ok()?;
    let sent = connections.send(address, request, Reuse::Oldest);
    let body = sent.await.ok()?.bytes(MAX_RESPONSE_BYTES).await.ok()?;
    String::from_utf8(body.to_vec()).ok()
}

/// Parses the counts of one entry; a model that its metrics do not contain has a count of zero.
fn parse_counts(text: &str, pools: &[Pool]) -> Counts {
    let engines = pools.iter().filter(|pool| pool.kind == Kind::Engine);
    let mut counts: Counts = engines.map(|pool| (pool.model.clone(), 0.0)).collect();
    for (pool, count) in text.lines().filter_map(parse_sample) {
        let pool = pools.iter().find(|known| known.name == pool);
        if let Some(sum) = pool.and_then(|pool| counts.get_mut(&pool.model)) {
            *sum += count;
        }
    }
    counts
}

/// Parses a sample of the queue metric; `None` for any other line.
fn parse_sample(line: &str) -> Option<(PoolId, f64)> {
    let (pool, count) = line.strip_prefix(QUEUE_METRIC_PREFIX)?.split_once("\"} ")?;
    Some((pool.into(), count.trim().parse().ok()?))
}
