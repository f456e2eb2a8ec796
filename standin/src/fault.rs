//! Injected faults common to the fake engines and services.

use crate::http::ServerHandle;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::watch;

/// Faults of a target; none by default.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Whether calls make no progress while their connections stay open.
    pub stall: bool,
    /// Whether the connections that are open when this is set stop reading and sending for good.
    /// New connections work.
    pub silent: bool,
    /// Whether open connections are closed and new ones are closed on accept.
    pub down: bool,
    /// Factor on all processing times; 1 by default, negative values count as 0.
    pub slow: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            stall: false,
            silent: false,
            down: false,
            slow: 1.0,
        }
    }
}

impl Faults {
    /// Applies `silent` and `down` to a server's connections. A server that has ended stays down.
    pub fn apply_to(&self, server_handle: &ServerHandle) {
        if self.silent {
            server_handle.silence();
        }
        if self.down != server_handle.is_down() && !server_handle.is_terminated() {
            server_handle.set_down(self.down);
        }
    }

    /// Multiplies `duration` by `slow`.
    pub fn scale(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.slow.max(0.0))
    }
}

/// Waits until `is_stalled` returns false for the current settings.
pub async fn wait_while_stalled<T>(settings: &watch::Sender<T>, is_stalled: fn(&T) -> bool) {
    let mut settings = settings.subscribe();
    // The wait fails only if the sender is dropped, and the caller borrows it.
    drop(settings.wait_for(|settings| !is_stalled(settings)).await);
}
