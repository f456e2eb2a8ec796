//! Requests that wait at the entries, from their metrics.

use crate::{
    http::{Pool as Connections, Request, Reuse},
    platform::{Client, Range},
};
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use policy::{
    id::{ModelId, PoolId, RegionId},
    pool::{Kind, Pool},
};
use serde::Deserialize;
use std::{collections::BTreeMap, time::Duration};
use tokio::{task::JoinSet, time};

/// Table of the daemons, in which each entry names its address.
const TABLE: &str = "daemons";
/// What the lines of the metric begin with.
const METRIC: &str = "gwi_queue{pool=\"";
/// Longest answer that is read, in bytes.
const MAX_BODY: usize = 8 << 20;

/// Row of one entry.
#[derive(Debug, Deserialize)]
struct Entry {
    api: CompactString,
    region: RegionId,
    #[serde(default)]
    leaving: bool,
}

/// Returns how many requests wait for each model of `pools` at the entries of a region.
///
/// An entry that doesn't answer within `timeout` counts as having none; if none answers, nothing
/// is told.
pub(super) async fn read(
    client: &Client,
    connections: &Connections,
    region: &RegionId,
    pools: &[Pool],
    timeout: Duration,
) -> BTreeMap<ModelId, f64> {
    let mut tasks = JoinSet::new();
    for entry in entries(client, region).await {
        let connections = connections.clone();
        tasks.spawn(async move {
            let text = metrics(&connections, &entry.api);
            time::timeout(timeout, text).await.ok().flatten()
        });
    }
    let mut waiting = BTreeMap::new();
    while let Some(text) = tasks.join_next().await {
        let Some(text) = text.ok().flatten() else {
            continue;
        };
        for pool in pools.iter().filter(|pool| pool.kind == Kind::Engine) {
            waiting.entry(pool.model.clone()).or_insert(0.0);
        }
        for (pool, count) in text.lines().filter_map(parse) {
            let Some(pool) = pools.iter().find(|known| known.name == pool) else {
                continue;
            };
            *waiting.entry(pool.model.clone()).or_insert(0.0) += count;
        }
    }
    waiting
}

async fn entries(client: &Client, region: &RegionId) -> Vec<Entry> {
    let Ok(rows) = client.rows(TABLE, &Range::default()).await else {
        return Vec::new();
    };
    let entries = rows.rows.into_iter();
    entries
        .filter_map(|row| serde_json::from_value::<Entry>(row.value).ok())
        .filter(|entry| entry.region == *region && !entry.leaving)
        .collect()
}

async fn metrics(connections: &Connections, address: &str) -> Option<String> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/metrics".parse().ok()?;
    let sent = connections.send(address, request, Reuse::Oldest);
    let body = sent.await.ok()?.bytes(MAX_BODY).await.ok()?;
    String::from_utf8(body.to_vec()).ok()
}

/// Reads one line of the metric.
fn parse(line: &str) -> Option<(PoolId, f64)> {
    let (pool, count) = line.strip_prefix(METRIC)?.split_once("\"} ")?;
    Some((pool.into(), count.trim().parse().ok()?))
}
