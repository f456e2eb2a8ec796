//! Checks whether the process of a target lives.

use super::{crash::CHECK_DELAY, event, reach::Testimony, state::Relay, tunnel::Purpose};
use crate::http::{Error, Reuse};
use bytes::Bytes;
use futures::future;
use http_body_util::Full;
use policy::relay::{
    ending::Process,
    leader::UnixMillis,
    registry::{Start, Target},
};
use std::{cell::Cell, io, rc::Rc, time::Duration};
use tokio::{net::TcpStream, time};

/// Connect timeout of a check.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300); // several round trips
/// Timeout of a connection and of the answer to a question, which needs no slot of the target. A
/// connection to a process that ends is closed sooner.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum interval at which a daemon asks targets that seem to have ended whether they live.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which all daemons together ask one of them.
const FLEET_REVIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a report in bytes. It lists the requests that the target executes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Outcome of a question to a target over a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    /// The target answered; holds its start if it stated one.
    Given(Option<UnixMillis>),
    /// The connection stayed open without an answer.
    Absent,
    /// The connection was accepted, and ended without an answer.
    Broken,
    /// There was no connection.
    Unreached,
}

/// Asks targets that seem to have ended whether they live; never returns. A partition of all daemons looks
/// like the end of a process to each of them.
pub(super) async fn review_endings(relay: Rc<Relay>) {
    loop {
        let daemons = relay.links.count() as u32 + 1;
        time::sleep(REVIEW_INTERVAL.max(FLEET_REVIEW_INTERVAL * daemons)).await;
        let targets: Vec<Target> = {
            let registry = relay.registry();
            let ended = registry.endings();
            let ended = ended.filter_map(|ending| registry.get(&ending.target));
            ended
                .filter(|target| registry.has_ended(target))
                .cloned()
                .collect()
        };
        future::join_all(targets.iter().map(|target| relay.review_ending(target))).await;
    }
}

impl Relay {
    async fn review_ending(&self, target: &Target) {
        let asked = self.now();
        if self.is_paused(target) || self.is_evacuated(target) {
            return;
        }
        let Answer::Given(Some(started_unix_ms)) = self.ask_target(target).await else {
            return;
        };
        let start = Start {
            target: target.id.clone(),
            started_unix_ms,
        };
        let is_refuted = self.registry_mut().record_answer(asked, &start);
        if is_refuted {
            event::target_lives(&target.id, started_unix_ms);
        }
    }

    /// Checks whether the process of a target outlives the end of a connection to it, from the moment
    /// of that end on.
    ///
    /// The host of a target accepts connections until its process has been taken down, but only the
    /// process answers.
    pub(super) async fn check_process(&self, target: &Target) -> Process {
        if self.is_paused(target) {
            time::sleep(CHECK_DELAY).await;
            return self.probe_process(target).await;
        }
        match self.ask_target(target).await {
            Answer::Given(started) => Process::with_start(target, started),
            Answer::Absent => Process::Alive,
            Answer::Broken => self.check_breaking(target).await,
            Answer::Unreached => self.probe_process(target).await,
        }
    }

    /// Checks a target that broke a new connection off. One with as many connections as it can serve goes on
    /// to do so; a process that ends does so until its host refuses connections, and may start again.
    async fn check_breaking(&self, target: &Target) -> Process {
        time::sleep(CHECK_DELAY).await;
        match self.ask_target(target).await {
            Answer::Given(Some(started)) => Process::with_start(target, Some(started)),
            Answer::Broken => Process::Alive,
            Answer::Unreached => self.probe_process(target).await,
            Answer::Given(None) | Answer::Absent => Process::Unknown,
        }
    }

    /// Asks a target for its report over a new connection.
    async fn ask_target(&self, target: &Target) -> Answer {
        let call = self.dialect.report_call();
        let mut request = http::Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        match call.path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(_malformed) => return Answer::Unreached,
        }
        let is_connected = Cell::new(false);
        let may_write = || {
            is_connected.set(true);
            true
        };
        let exchange = async {
            let (id, address) = (&target.id, target.address.as_str());
            let open = || self.open_connection(id, address, Purpose::Check);
            let key = self.connection_key(id, address);
            let sent = self
                .pool
                .send_over(&key, address, request, Reuse::Never, open, may_write);
            let mut response = sent.await?;
            response.disable_reuse();
            response.bytes(MAX_REPORT_BYTES).await
        };
        let answered: Result<Result<Bytes, Error>, _> =
            time::timeout(ANSWER_TIMEOUT, exchange).await;
        match answered {
            Ok(Ok(report)) => Answer::Given(self.dialect.parse_report(&report)),
            Ok(Err(Error::TooLong)) => Answer::Given(None),
            Ok(Err(_)) if is_connected.get() => Answer::Broken,
            Err(_elapsed) if is_connected.get() => Answer::Absent,
            Ok(Err(_)) | Err(_) => Answer::Unreached,
        }
    }

    /// Returns whether the process of a target accepts connections. The network may refuse them as its
    /// host does, so that peers have to confirm it if there are any.
    pub(super) async fn probe_process(&self, target: &Target) -> Process {
        let is_partitioned = self.reach.is_partitioned();
        let mut is_refused = is_partitioned;
        if !is_partitioned {
            let direct = try_connection(&target.address).await;
            if direct == Testimony::Reached {
                // A target that restarts at once is not found to have ended either.
                return Process::Alive;
            }
            is_refused = direct == Testimony::Refused;
            self.record_direct(&target.id, false);
        }
        match self.ask_about_target(&target.id).await {
            Testimony::Reached => Process::Alive,
            Testimony::Refused => Process::Ended,
            Testimony::NoWitness if is_refused => Process::Ended,
            Testimony::NoWitness | Testimony::Unknown => Process::Unknown,
        }
    }

    /// Tries a connection to a target, through peers while this daemon is partitioned.
    pub(super) async fn try_target(&self, target: &Target) -> Testimony {
        if self.reach.is_partitioned() {
            return self.ask_about_target(&target.id).await;
        }
        try_connection(&target.address).await
    }

    /// Asks a target about its start like [`ask_start`](Self::ask_start), unless its domain is evacuated.
    pub(super) async fn ask_start_in_use(&self, target: &Target) -> Option<UnixMillis> {
        if self.is_evacuated(target) {
            return None;
        }
        self.ask_start(target).await
    }

    /// Asks a target that accepts connections for its start; `None` if it does not state one.
    pub(super) async fn ask_start(&self, target: &Target) -> Option<UnixMillis> {
        if self.is_paused(target) {
            return None;
        }
        match self.ask_target(target).await {
            Answer::Given(started) => started,
            Answer::Absent | Answer::Broken | Answer::Unreached => None,
        }
    }
}

/// Tries a direct connection.
async fn try_connection(address: &str) -> Testimony {
    match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Testimony::Reached,
        Ok(Err(error)) => match error.kind() {
            io::ErrorKind::ConnectionRefused => Testimony::Refused,
            // A target with as many connections as it can serve resets new ones.
            io::ErrorKind::ConnectionReset => Testimony::Reached,
            _ => Testimony::Unknown,
        },
        Err(_elapsed) => Testimony::Unknown,
    }
}
