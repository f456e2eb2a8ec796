//! Configuration of target pools.

use crate::id::{ModelId, PoolId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr};

/// Configuration of a pool of targets that serve the same stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent property of the pool"
)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolId,
    /// Protocol of the targets.
    pub kind: Kind,
    /// Model that calls to the engines request; empty for services.
    pub model: ModelId,
    /// Whether a call may be retried.
    pub idempotent: bool,
    /// Whether targets can look up the result of a call by idempotency key.
    pub lookup: bool,
    /// Whether engines reject an order with an outdated fencing token.
    pub fenced: bool,
    /// Whether results are expensive enough to be saved in the object store.
    pub checkpoint: bool,
    /// Maximum duration of one call.
    #[serde(with = "crate::millis")]
    pub timeout: Duration,
    /// Maximum time without received data before a connection is considered dead.
    #[serde(with = "crate::millis")]
    #[serde(rename = "silence")]
    pub idle_timeout: Duration,
    /// Maximum number of tokens that an engine may generate for one call.
    pub max_tokens: u32,
}

/// Protocol of the targets of a pool.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A model engine that streams completions.
    Engine,
    /// A service that answers each call with one JSON value.
    Service,
}

impl Pool {
    /// Creates a pool of idempotent services with default time limits.
    pub fn new(name: impl Into<PoolId>) -> Self {
        Self {
            name: name.into(),
            kind: Kind::Service,
            model: ModelId::default(),
            idempotent: true,
            lookup: false,
            fenced: false,
            checkpoint: false,
            timeout: Duration::from_secs(4),
            idle_timeout: Duration::from_secs(1),
            max_tokens: 0,
        }
    }

    /// Configures the pool as one of engines that serve `model`.
    #[must_use]
    pub fn with_engine(mut self, model: impl Into<ModelId>, max_tokens: u32) -> Self {
        self.kind = Kind::Engine;
        self.model = model.into();
        self.max_tokens = max_tokens;
        self
    }

    /// Marks calls of the pool as non-idempotent, so that they run at most once.
    #[must_use]
    pub fn with_effects(mut self, lookup: bool) -> Self {
        self.idempotent = false;
        self.lookup = lookup;
        self
    }

    /// Sets the call timeout and the idle timeout.
    #[must_use]
    pub fn with_limits(mut self, timeout: Duration, idle_timeout: Duration) -> Self {
        self.timeout = timeout;
        self.idle_timeout = idle_timeout;
        self
    }

    /// Enables saving of results in the object store.
    #[must_use]
    pub fn with_checkpoint(mut self) -> Self {
        self.checkpoint = true;
        self
    }
}
