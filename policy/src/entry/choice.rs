//! Choice of a target for the current stage of a request.

use super::{Entry, Turn, request::Request};
use crate::{
    hash,
    id::BlockHash,
    pool::Kind,
    router::{Pick, PickError, Requirements},
};

impl Entry {
    /// Chooses a target for the current stage.
    pub(super) fn choose(&mut self, turn: &Turn<'_>, request: &Request) -> Result<Pick, PickError> {
        let prefix = self.prefix(request);
        let avoid = request.avoided();
        if let Some(pick) = self.choose_elsewhere(turn, request, &prefix) {
            return Ok(pick);
        }
        let need = self.need(request, &prefix, &avoid);
        self.router.choose(turn.now, &need, &mut self.rng)
    }

    /// Chooses a target for a suspect payload outside the failure domains where targets died.
    ///
    /// A lost domain ends several targets within moments; a second death there would put an
    /// innocent payload into quarantine.
    fn choose_elsewhere(
        &mut self,
        turn: &Turn<'_>,
        request: &Request,
        prefix: &[BlockHash],
    ) -> Option<Pick> {
        if request.spent.is_empty() || !self.is_suspect(request) {
            return None;
        }
        let mut avoid = self.router.sharing_domain(&request.spent);
        avoid.extend(request.avoided());
        let need = self.need(request, prefix, &avoid);
        self.router.choose(turn.now, &need, &mut self.rng).ok()
    }

    pub(super) fn need<'a>(
        &self,
        request: &'a Request,
        prefix: &'a [BlockHash],
        avoid: &'a [crate::id::TargetId],
    ) -> Requirements<'a> {
        Requirements {
            pool: request.pool(),
            workspace: &request.key.workspace,
            prefix,
            tokens: self.pool(request).map_or(0, |pool| pool.max_tokens),
            excluded: avoid,
            exclusive: self.is_suspect(request),
        }
    }

    pub(super) fn prefix(&self, request: &Request) -> Vec<BlockHash> {
        let is_engine = self
            .pool(request)
            .is_some_and(|pool| pool.kind == Kind::Engine);
        if is_engine {
            hash::blocks(&request.input)
        } else {
            Vec::new()
        }
    }
}
