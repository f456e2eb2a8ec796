//! Harness of the process tests: real entry daemons and the fakes of their backends on loopback.

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

/// Time after which a wait fails its test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which an awaited condition is checked.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until `state` returns true; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut state: impl FnMut() -> bool) {
    wait_for_value(what, || state().then_some(())).await;
}

/// Polls until `state` returns a value; panics after [`WAIT_TIMEOUT`].
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

/// Waits for `work` to complete; panics after [`WAIT_TIMEOUT`].
pub async fn with_timeout<T>(what: &str, work: impl Future<Output = T>) -> T {
    let Ok(value) = time::timeout(WAIT_TIMEOUT, work).await else {
        panic!("timed out waiting for {what} after {WAIT_TIMEOUT:?}");
    };
    value
}
