//! TestCluster of the process tests: real entry daemons before stand-ins on loopback.

mod caller;
mod cluster;
mod entry;

pub use self::{
    caller::{ClientRequest, Reply},
    cluster::{DOSSIER, FILING, ORDER, SIZE, SUMMARY, TestCluster, UNKEPT},
    entry::Entry,
};

use std::time::Duration;
use tokio::time;

/// Longest time until an awaited state must have come.
const BOUND: Duration = Duration::from_secs(20);
/// Time between two looks at an awaited state.
pub const POLL: Duration = Duration::from_millis(5);

/// Waits until `state` holds.
pub async fn until(what: &str, mut state: impl FnMut() -> bool) {
    until_some(what, || state().then_some(())).await;
}

/// Waits until `state` gives a value.
pub async fn until_some<T>(what: &str, mut state: impl FnMut() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(value) = state() {
                return value;
            }
            time::sleep(POLL).await;
        }
    };
    bound(what, wait).await
}

/// Waits for `work`, which must end within the bound.
pub async fn bound<T>(what: &str, work: impl Future<Output = T>) -> T {
    let Ok(value) = time::timeout(BOUND, work).await else {
        panic!("{what} did not come within {BOUND:?}");
    };
    value
}
