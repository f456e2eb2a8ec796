//! Rows in which daemons keep the origins of the streams that they forward.
//!
//! Where a stream began is known to its daemon and two peers, which may all end at once. While it can have begun
//! at several builds, of one pool or of those that its route uses or has used, each daemon therefore also keeps the
//! origins of its streams in the store, in one row.

use super::{
    dialect::{Row, Table},
    state::Relay,
    store,
};
use policy::{
    id::{PoolId, RequestId},
    relay::{
        builds::BuildRecords,
        history::{Era, Version},
        origin::{MAX_STORED_STREAMS, Origin, StreamHash, stream_hash},
        registry::Build,
        route_history::RouteHistory,
    },
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// Minimum interval between two writes of a daemon's row.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two writes of one daemon for each daemon of the fleet, which together write 500 times a
/// second at most.
const WRITE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(2);
/// Interval at which a row that stays the same is written again, which shows that its daemon lives.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which readers look for the rows of daemons that are gone.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Value of a row.
#[derive(Deserialize, Serialize)]
struct WireLedger {
    builds: Vec<(PoolId, Build)>,
    /// Each stream, and the index of its build.
    streams: Vec<(StreamHash, usize)>,
}

/// Origins of streams from the rows of all daemons.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    /// `None` if two rows differ.
    builds: HashMap<StreamHash, Option<(PoolId, Build)>>,
}

/// A row as it was last written.
struct Written {
    value: Vec<u8>,
    era: Era,
    at: Instant,
}

impl Written {
    fn is_current(&self, value: &[u8], era: Era) -> bool {
        self.value == value && self.era == era && self.at.elapsed() < REFRESH_INTERVAL
    }
}

impl Ledger {
    /// Collects the origins of all rows. Malformed rows are logged and skipped.
    pub fn new(rows: &[Row]) -> Self {
        let mut ledger = Self::default();
        for row in rows {
            let Some(value) = &row.value else { continue };
            match ciborium::from_reader::<WireLedger, _>(value.as_ref()) {
                Ok(wire) => ledger.add(&wire),
                Err(fault) => {
                    tracing::warn!(key = %row.key, %fault, "malformed row of streams ignored");
                }
            }
        }
        ledger
    }

    fn add(&mut self, wire: &WireLedger) {
        for (stream, index) in wire.streams.iter().take(MAX_STORED_STREAMS) {
            let build = wire.builds.get(*index);
            let known = self.builds.entry(*stream);
            let known = known.or_insert_with(|| build.cloned());
            if known.as_ref() != build {
                *known = None;
            }
        }
    }

    /// Returns where a stream began.
    pub fn origin(&self, stream: &RequestId) -> Option<Origin> {
        let (pool, build) = self.builds.get(&stream_hash(stream))?.clone()?;
        let pool = Some(pool);
        Some(Origin { pool, build })
    }
}

/// Keeps the row of this daemon up to date; never returns.
pub(super) async fn keep_streams(relay: Rc<Relay>) {
    // A later process of the host must not replace what this one has written.
    let key = format!("{}/{:x}", relay.settings().host, relay.incarnation);
    let mut written: Option<Written> = None;
    let mut is_failing = false;
    loop {
        let interval = WRITE_INTERVAL_PER_DAEMON * relay.fleet_size() as u32;
        time::sleep(interval.max(MIN_WRITE_INTERVAL)).await;
        let value = relay.encode_streams();
        let is_current = match (&written, &value) {
            (Some(written), Some(value)) => written.is_current(value, relay.store.era()),
            (None, None) => true,
            _ => false,
        };
        if is_current {
            continue;
        }
        let put = relay
            .store
            .put_row(&relay, Table::Streams, &key, value.as_deref());
        match put.await {
            Ok(era) => {
                is_failing = false;
                let at = Instant::now();
                written = value.map(|value| Written { value, era, at });
            }
            Err(fault) if !is_failing => {
                is_failing = true;
                tracing::warn!(key, %fault, "failed to write the builds of streams");
            }
            Err(_still_failing) => {}
        }
    }
}

/// Removes the rows of daemons that are gone, while this one is a reader; never returns.
pub(super) async fn sweep_streams(relay: Rc<Relay>) {
    let mut unchanged: Option<HashMap<String, (Version, Instant)>> = None;
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        if !relay.is_reader() {
            continue;
        }
        // Rows that an earlier fleet has left are found by the first sweep.
        let is_swept = unchanged.as_ref().is_some_and(HashMap::is_empty);
        if is_swept && !relay.has_ambiguous_pools() {
            continue;
        }
        let swept = relay.sweep_rows(unchanged.get_or_insert_default()).await;
        if let Err(fault) = swept {
            tracing::warn!(%fault, "failed to sweep the builds of streams");
        }
    }
}

impl Relay {
    /// Returns the sets of pools that share streams and have several builds, taken together.
    fn divided_pools<'a>(
        &self,
        records: &'a BuildRecords,
        routes: &'a RouteHistory,
    ) -> impl Iterator<Item = &'a BTreeSet<PoolId>> {
        let max_age = self.max_stream_age().unwrap_or_default();
        let shared = routes.shared_pools(self.now(), max_age);
        shared.filter(|pools| records.is_divided_among(pools))
    }

    /// Returns whether there are pools in which a stream can have begun at one of several builds.
    fn has_ambiguous_pools(&self) -> bool {
        let (records, routes) = (self.build_records(), self.route_history());
        records.is_any_divided() || self.divided_pools(&records, &routes).next().is_some()
    }

    /// Returns the value of this daemon's row; `None` if it has no streams to keep.
    fn encode_streams(&self) -> Option<Vec<u8>> {
        if !self.has_ambiguous_pools() {
            return None;
        }
        let max_age = self.max_stream_age()?;
        let (records, routes) = (self.build_records(), self.route_history());
        let divided: BTreeSet<&PoolId> = self.divided_pools(&records, &routes).flatten().collect();
        let is_ambiguous = |pool: &PoolId| divided.contains(pool) || records.is_divided(pool);
        let origins = self.origins.origins.borrow();
        let stored = origins.stored(self.now(), max_age, is_ambiguous);
        let mut wire = WireLedger {
            builds: Vec::new(),
            streams: Vec::with_capacity(stored.len()),
        };
        for (stream, pool, build) in stored {
            let known = wire
                .builds
                .iter()
                .position(|(of, known)| of == pool && known == build);
            let index = known.unwrap_or_else(|| {
                wire.builds.push((pool.clone(), build.clone()));
                wire.builds.len() - 1
            });
            wire.streams.push((stream, index));
        }
        if wire.streams.is_empty() {
            return None;
        }
        let mut value = Vec::new();
        ciborium::into_writer(&wire, &mut value).expect("vectors accept all bytes");
        Some(value)
    }

    /// Removes rows that have not changed for longer than streams may be taken up.
    async fn sweep_rows(
        &self,
        unchanged: &mut HashMap<String, (Version, Instant)>,
    ) -> Result<(), store::Error> {
        let rows = self.store.read_table(self, Table::Streams).await?.rows;
        unchanged.retain(|key, _| rows.iter().any(|row| row.key == *key));
        let max_age = REFRESH_INTERVAL * 2 + self.max_stream_age().unwrap_or(Duration::MAX / 2);
        for row in rows {
            let key = row.key.to_string();
            let seen = unchanged
                .entry(key)
                .or_insert((row.version, Instant::now()));
            if seen.0 != row.version {
                *seen = (row.version, Instant::now());
            }
            if seen.1.elapsed() > max_age {
                self.store
                    .put_row(self, Table::Streams, &row.key, None)
                    .await?;
                tracing::info!(key = %row.key, "builds of streams of a former daemon removed");
            }
        }
        Ok(())
    }
}
