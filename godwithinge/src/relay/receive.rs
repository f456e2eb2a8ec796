//! Handling of the frames that peers send.

use super::{
    dialect::Row,
    frame::{Frame, LinkId, WireRow},
    state::Relay,
};
use policy::{
    id::HostId,
    relay::{
        history::{Edition, Version},
        origin::Origin,
    },
};
use std::rc::Rc;

impl Relay {
    /// Handles a frame that a peer sent over a link.
    pub(super) fn handle_frame(self: &Rc<Self>, host: &HostId, link_id: LinkId, frame: Frame) {
        self.record_heartbeat(host, &frame);
        match frame {
            Frame::Hello { .. } => {}
            Frame::Heartbeat {
                plan_version,
                plan_era,
                plan_revision,
                era,
                paces,
                ..
            } => {
                self.store.record_era(era);
                self.receive_paces(paces);
                let offered = Edition {
                    version: Version {
                        era: plan_era,
                        number: plan_version,
                    },
                    revision: plan_revision,
                };
                if plan_version > 0 {
                    let (now, is_local) = (self.now(), self.links.is_local(host));
                    let mut fetcher = self.replication.fetcher.borrow_mut();
                    fetcher.announce(now, host, offered, is_local);
                }
                self.request_plan();
            }
            Frame::RequestPlan => self.serve_plan(host),
            Frame::Plan(row) => self.receive_plan(host, row),
            Frame::PackedPlan(row) => self.receive_packed_plan(host, row),
            Frame::DeclinePlan => self.end_plan_request(host),
            Frame::RequestTargets => self.serve_targets(host),
            Frame::Targets { rows, is_lenient } => {
                for row in rows {
                    self.apply_target(&row.into(), is_lenient);
                }
            }
            Frame::Submit { number, job } => self.accept_peer_job(host, link_id, number, job),
            Frame::Release { number } => self.release_job(link_id, number),
            Frame::Ready {
                number,
                handles,
                domain,
            } => self.complete_job(link_id, number, handles, domain),
            Frame::Refused {
                number,
                reason,
                retry_after,
            } => self.refuse_job(link_id, number, reason, retry_after),
            Frame::StreamOrigin {
                stream,
                pool,
                build,
                age,
            } => self.keep_origin(stream, Origin { pool, build }, age),
            Frame::FindOrigin {
                number,
                stream,
                pool,
                other_pools,
                max_age,
            } => {
                let pools = pool.into_iter().chain(other_pools).collect();
                self.answer_origin_query(link_id, number, &stream, &pools, max_age);
            }
            Frame::Origin {
                number,
                build,
                pool,
                single_build,
                is_unsure,
            } => {
                let origin = build.map(|build| Origin { pool, build });
                self.receive_origin(number, origin, single_build, is_unsure);
            }
            Frame::TargetCrash(payload) => self.receive_crash_of_payload(host, payload),
            Frame::Crashes(crashes) => self.receive_crashes(host, crashes),
            Frame::Rejections(report) => self.receive_rejections(&report.into()),
            Frame::Departures(departures) => self.receive_departures(departures),
            Frame::Pause(pause) => self.apply_pause(&pause.target, pause.left),
            Frame::Endings(endings) => self.receive_endings(endings),
            Frame::Builds(builds) => self.receive_builds(builds),
            Frame::Evacuations(evacuations) => self.receive_evacuations(evacuations),
            Frame::Rates(rates) => self.receive_rates(rates),
            Frame::RequestPermit {
                number,
                rate,
                max_wait,
                cold_for,
            } => self.answer_permit(link_id, number, rate, max_wait, cold_for),
            Frame::Cold(words) => self.receive_cold(words),
            Frame::Permit { number, permit } => self.receive_permit(number, permit),
            Frame::Served(features) => self.receive_served(&features),
            Frame::Quarantine(features) => {
                self.receive_quarantine(features.into_iter().map(Into::into));
            }
        }
    }

    /// Sends all known entries of targets to a peer; removals that may be undone are sent apart.
    fn serve_targets(&self, host: &HostId) {
        let rows = self.tables.targets().into_iter();
        let (hearsay, confirmed): (Vec<Row>, Vec<Row>) =
            rows.partition(|row| self.tables.is_hearsay(&row.key));
        let is_lenient = self.registry().is_lenient(self.now());
        for (rows, is_lenient) in [(confirmed, is_lenient), (hearsay, true)] {
            if !rows.is_empty() {
                let rows = rows.into_iter().map(WireRow::from).collect();
                let frame = Frame::Targets { rows, is_lenient };
                self.links.send_to_host(host, frame);
            }
        }
    }
}
