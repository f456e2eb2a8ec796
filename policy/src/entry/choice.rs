//! Target selection for the current stage of a request.

use super::{Context, Entry, request::Request};
use crate::{
    hash,
    id::BlockHash,
    pool::Kind,
    router::{Pick, PickError, Requirements},
};

impl Entry {
    /// Chooses a target for the current stage, in another failure domain if the payload is suspect.
    pub(super) fn choose_target(
        &mut self,
        cx: &Context<'_>,
        request: &Request,
    ) -> Result<Pick, PickError> {
        let prefix = self.prefix(request);
        let excluded = request.excluded_targets();
        if let Some(pick) = self.choose_outside_failed_domains(cx, request, &prefix) {
            return Ok(pick);
        }
        let requirements = self.requirements(request, &prefix, &excluded);
        self.router.choose(cx.now, &requirements, &mut self.rng)
    }

    /// Chooses a target for a suspect payload outside the failure domains of its failed targets.
    ///
    /// The outage of a domain kills several of its targets at almost the same time, so a retry in
    /// that domain could quarantine a harmless payload for a second death.
    fn choose_outside_failed_domains(
        &mut self,
        cx: &Context<'_>,
        request: &Request,
        prefix: &[BlockHash],
    ) -> Option<Pick> {
        if request.failed_targets.is_empty() || !self.is_suspect(request) {
            return None;
        }
        let mut excluded = self.router.sharing_domain(&request.failed_targets);
        excluded.extend(request.excluded_targets());
        let requirements = self.requirements(request, prefix, &excluded);
        self.router
            .choose(cx.now, &requirements, &mut self.rng)
            .ok()
    }

    pub(super) fn requirements<'a>(
        &self,
        request: &'a Request,
        prefix: &'a [BlockHash],
        excluded: &'a [crate::id::TargetId],
    ) -> Requirements<'a> {
        Requirements {
            pool: request.pool(),
            workspace: &request.key.workspace,
            prefix,
            tokens: self.pool(request).map_or(0, |pool| pool.max_tokens),
            excluded,
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
