//! TestCluster of the process tests: real entry daemons before stand-ins on loopback.

mod caller;
mod cluster;
mod entry;

pub use self::{
    caller::{ClientRequest, Reply},
    cluster::{
        ENGINE, ENGINE_CHECKPOINTED, ENGINE_UNCHECKPOINTED, IDEMPOTENT, NON_IDEMPOTENT,
        NON_IDEMPOTENT_LOOKUP, TestCluster,
    },
    entry::Entry,
};

use std::time::Duration;
use tokio::time;

/// Longest time until an awaited state must have come.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks at an awaited state.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `state` holds.
pub async fn wait_until(what: &str, mut state: impl FnMut() -> bool) {
    wait_for_value(what, || state().then_some(())).await;
}

/// Waits until `state` gives a value.
pub async fn wait_for_value<T>(what: &str, mut state: impl FnMut() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(value) = state() {
                return value;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    };
    with_timeout(what, wait).await
}

/// Waits for `work`, which must end within the bound.
pub async fn with_timeout<T>(what: &str, work: impl Future<Output = T>) -> T {
    let Ok(value) = time::timeout(WAIT_TIMEOUT, work).await else {
        panic!("{what} did not come within {WAIT_TIMEOUT:?}");
    };
    value
}
