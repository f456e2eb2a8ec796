//! Checkpoints of stage results in the object store, and lookups of side effects at targets.

use super::{Daemon, state::State};
use crate::platform;
use bytes::Bytes;
use compact_str::CompactString;
use policy::{
    Event, claim,
    id::{BlockHash, Key, Payload, StageIndex},
};
use std::{sync::Arc, time::Duration};
use tokio::sync::Semaphore;

/// Maximum number of checkpoint writes in progress; further checkpoints are not saved.
const MAX_CONCURRENT_WRITES: usize = 8;
/// Time limit of a lookup at a target.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Object store client that limits concurrent writes.
#[derive(Clone, Debug)]
pub(super) struct CheckpointStore {
    platform: platform::Client,
    writes: Arc<Semaphore>,
}

impl CheckpointStore {
    pub(super) fn new(platform: platform::Client) -> Self {
        let writes = Arc::new(Semaphore::new(MAX_CONCURRENT_WRITES));
        Self { platform, writes }
    }
}

impl Daemon {
    /// Saves a stage result in the background.
    ///
    /// This is best effort: the result is not saved if too many writes are in progress or if the
    /// object store fails.
    pub(super) fn save_checkpoint(
        &self,
        key: &Key,
        stage: StageIndex,
        input: BlockHash,
        result: Payload,
    ) {
        let store = self.shared.checkpoints.clone();
        let Ok(permit) = Arc::clone(&store.writes).try_acquire_owned() else {
            return;
        };
        let name = object_key(key, stage, input);
        tokio::spawn(async move {
            let object = Bytes::copy_from_slice(result.as_bytes());
            if let Err(error) = store.platform.put_object(&name, object).await {
                tracing::debug!(%error, "failed to save checkpoint");
            }
            drop(permit);
        });
    }

    /// Loads a stage result; one that cannot be read counts as absent.
    pub(super) fn restore_checkpoint(&self, key: Key, stage: StageIndex, input: BlockHash) {
        let daemon = self.clone();
        tokio::spawn(async move {
            let name = object_key(&key, stage, input);
            let found = daemon.shared.checkpoints.platform.object(&name).await;
            let result = found.ok().flatten().as_ref().and_then(to_payload);
            daemon.handle(Event::Checkpoint { key, stage, result });
        });
    }

    /// Asks a target for the result of an earlier call with the given idempotency key.
    pub(super) fn look_up_effect(
        &self,
        _state: &State,
        key: Key,
        stage: StageIndex,
        address: &CompactString,
        idempotency_key: &CompactString,
    ) {
        let (daemon, address, idempotency_key) =
            (self.clone(), address.clone(), idempotency_key.clone());
        tokio::spawn(async move {
            let targets = &daemon.shared.targets;
            let result = targets
                .look_up_effect(&address, &idempotency_key, LOOKUP_TIMEOUT)
                .await;
            daemon.handle(Event::LookupResult { key, stage, result });
        });
    }
}

fn object_key(key: &Key, stage: StageIndex, input: BlockHash) -> String {
    format!("results/{}/{input:016x}", claim::row_key(key, stage))
}

fn to_payload(object: &Bytes) -> Option<Payload> {
    let text = std::str::from_utf8(object).ok()?;
    Some(text.into())
}
