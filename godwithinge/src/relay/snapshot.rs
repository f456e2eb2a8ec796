//! Reads of what the store says of builds, for streams of which no daemon knows where they began.
//!
//! A daemon may have stood still or been cut off, so that its own tables prove nothing. A read that begins
//! after a caller has taken its stream up does. Requests that wait at the same time share one.

use super::{
    builds,
    dialect::Table,
    ledger::Ledger,
    state::Relay,
    store::{self, Store},
};
use futures::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use policy::relay::builds::BuildRecords;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// Minimum interval between the starts of two reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between the reads of one daemon for each daemon of the fleet, which together read 500 times a
/// second at most.
const READ_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(2);
/// Number of times that a read is tried, as answers of the store may be lost.
const MAX_READS: u32 = 2;

/// What the store says of builds at one moment.
#[derive(Debug)]
pub(super) struct Snapshot {
    pub records: BuildRecords,
    /// Origins of streams; empty if there is a single build.
    pub ledger: Ledger,
}

/// A read that several requests wait for; yields nothing if it fails.
type Read = Shared<LocalBoxFuture<'static, Option<Rc<Snapshot>>>>;

/// Reads snapshots for requests.
#[derive(Debug, Default)]
pub(super) struct SnapshotReader {
    /// The next read, which has not begun.
    next: RefCell<Option<Read>>,
    last_begun: Cell<Option<Instant>>,
}

impl Relay {
    /// Returns what the store says of builds now; `None` if it can't be read, which is logged.
    pub(super) async fn read_snapshot(self: &Rc<Self>) -> Option<Rc<Snapshot>> {
        let read = {
            let mut next = self.snapshots.next.borrow_mut();
            let begin = || read_when_due(Rc::clone(self)).boxed_local().shared();
            next.get_or_insert_with(begin).clone()
        };
        read.await
    }
}

async fn read_when_due(relay: Rc<Relay>) -> Option<Rc<Snapshot>> {
    let reader = &relay.snapshots;
    let interval = READ_INTERVAL_PER_DAEMON * relay.fleet_size() as u32;
    if let Some(last) = reader.last_begun.get() {
        time::sleep_until((last + interval.max(MIN_READ_INTERVAL)).into()).await;
    }
    // Requests that come from now on wait for a later read.
    reader.next.take();
    reader.last_begun.set(Some(Instant::now()));
    let mut fault = None;
    for _ in 0..MAX_READS {
        match Snapshot::read(&relay.store, &relay).await {
            Ok(snapshot) => return Some(Rc::new(snapshot)),
            Err(error) => fault = Some(error),
        }
    }
    let fault = fault.map(|fault| fault.to_string());
    tracing::warn!(fault, "failed to read the builds of streams");
    None
}

impl Snapshot {
    async fn read(store: &Store, relay: &Relay) -> Result<Self, store::Error> {
        let rows = store.read_table(relay, Table::Builds).await?;
        let mut records = BuildRecords::default();
        records.load(rows.version.era, builds::decode_all(&rows.rows));
        let ledger = if records.has_several() {
            Ledger::new(&store.read_table(relay, Table::Streams).await?.rows)
        } else {
            Ledger::default()
        };
        Ok(Self { records, ledger })
    }
}
