//! Calls to stage targets, which the scheduler asks for.

use super::{dialect::Call, event, state::Relay};
use crate::http::{Error, Received, Reuse};
use http::StatusCode;
use http_body_util::Full;
use policy::{
    id::TargetId,
    relay::scheduler::{Handle, Item, Reply},
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// Maximum size of a stage target's response.
const MAX_RESPONSE_BYTES: usize = 256 << 10; // enough for several hundred handles
/// Timeout of a call that frees results. Results that are not freed expire on the target.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

impl Relay {
    /// Calls a stage target and records the outcome in logs and metrics.
    pub(super) async fn call_stage_target(
        self: &Rc<Self>,
        target: &TargetId,
        address: &str,
        items: &[Item],
        timeout: Duration,
    ) -> Reply {
        let started_at = Instant::now();
        let call = self.dialect.stage_call(items);
        let headers = self.dialect.stage_call_headers(target);
        let exchange = self.send_stage_call(target, address, call, headers);
        let exchange = tokio::select! {
            exchange = time::timeout(timeout, exchange) => exchange.unwrap_or(Err(Error::Timeout)),
            () = self.reach.lasting_partition() => Err(Error::Timeout),
        };
        if let Err(Error::Timeout) = exchange {
            // Idle connections to the target may be unresponsive, too.
            let key = self.connection_key(target, address);
            self.pool.record_timeout(&key);
        }
        let reply = match exchange {
            Ok(answer) => self.stage_reply(target, items.len(), answer),
            Err(Error::Connect(_) | Error::Withdrawn) => Reply::Unreached,
            Err(
                Error::Broken(_)
                | Error::Early
                | Error::Status(_)
                | Error::Timeout
                | Error::TooLong,
            ) => Reply::Lost,
        };
        let result = event::stage_call(target, items.len(), started_at.elapsed(), &reply);
        let pool = self.registry().get(target).map(|one| one.pool.clone());
        let labels = [pool.as_deref().unwrap_or("gone"), result];
        self.metrics.stage_calls.with_label_values(&labels).inc();
        self.metrics.pieces.inc_by(items.len() as u64);
        reply
    }

    /// Returns what a stage target's answer says of its call. The connection is used again only if the
    /// answer shows to which call it belongs.
    fn stage_reply(&self, target: &TargetId, pieces: usize, answer: Received) -> Reply {
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::MISDIRECTED_REQUEST => return Reply::Replaced,
            status => {
                let metadata = self
                    .dialect
                    .parse_response_headers(status, answer.headers());
                return if metadata.is_not_executed {
                    Reply::Full
                } else {
                    Reply::Lost
                };
            }
        }
        let results = match self.dialect.parse_stage_results(answer.body()) {
            Ok(results) => results,
            Err(fault) => {
                tracing::warn!(target_id = %target, %fault, "stage target returned an invalid response");
                return Reply::Lost;
            }
        };
        // No two calls get the same handles.
        if answer.is_repeated() {
            event::answer_of_another_call(target, results.len());
            return Reply::Lost;
        }
        if results.len() == pieces && results.iter().any(Result::is_ok) {
            answer.keep();
        }
        Reply::Items(results)
    }

    /// Sends a call and returns its answer.
    async fn send_stage_call(
        self: &Rc<Self>,
        target: &TargetId,
        address: &str,
        call: Call,
        headers: http::HeaderMap,
    ) -> Result<Received, Error> {
        let mut request = http::Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.headers_mut() = headers;
        let uri = call.path.parse();
        *request.uri_mut() = uri.map_err(|_malformed| Error::TooLong)?;
        let sent_at = self.now();
        let response = self
            .send_to_target(target, address, request, Reuse::Newest, || ())
            .await?;
        let status = response.status();
        let metadata = self
            .dialect
            .parse_response_headers(status, response.headers());
        let known = self.registry().get(target).cloned();
        if let Some(known) = known {
            self.record_rate(&known, sent_at, &metadata);
        }
        self.record_notice(target, status, &metadata, response.via());
        response.receive(MAX_RESPONSE_BYTES).await
    }

    /// Frees results and returns whether the target confirmed it. Otherwise they expire.
    pub(super) async fn free_results(
        self: &Rc<Self>,
        target: &TargetId,
        address: &str,
        handles: &[Handle],
    ) -> bool {
        let call = self.dialect.free_call(handles);
        let headers = self.dialect.free_call_headers();
        let freed = time::timeout(
            FREE_TIMEOUT,
            self.send_stage_call(target, address, call, headers),
        )
        .await;
        match freed {
            Ok(Ok(answer))
                if answer.status() == StatusCode::OK
                    && self.dialect.parse_stage_results(answer.body()).is_err() =>
            {
                answer.keep();
                return true;
            }
            Ok(Ok(answer)) => {
                let status = answer.status();
                tracing::debug!(address, %status, "target refused to free results");
            }
            Ok(Err(fault)) => tracing::debug!(address, %fault, "request to free results failed"),
            Err(_elapsed) => tracing::debug!(address, "request to free results timed out"),
        }
        false
    }
}
