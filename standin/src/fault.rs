//! Faults that engines and plain services share.

use crate::http::Gate;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::watch;

/// Faults of a target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Whether running calls make no progress while their connections stay open.
    pub stall: bool,
    /// Whether the connections that are open when this is set go silent; new ones work.
    pub silent: bool,
    /// Whether all connections are closed at once.
    pub down: bool,
    /// Factor on all times.
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
    /// Sets a server's connections accordingly.
    pub fn apply_to(&self, gate: &Gate) {
        if self.silent {
            gate.silence();
        }
        if self.down != gate.is_down() && !gate.is_ended() {
            gate.set_down(self.down);
        }
    }

    /// Returns a time with the factor applied.
    pub fn scale(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.slow.max(0.0))
    }
}

/// Waits while `stalled` holds of the settings.
pub async fn wait_while_stalled<T>(settings: &watch::Sender<T>, is_stalled: fn(&T) -> bool) {
    let mut settings = settings.subscribe();
    // The sender outlives the wait, so it can't fail.
    drop(settings.wait_for(|settings| !is_stalled(settings)).await);
}
