//! HTTP client for the operator endpoints of an entry.

use super::{Error, View};
use crate::{
    http::{Pool, Request, Reuse},
    settings::Secret,
};
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use http_body_util::Full;
use policy::{decision::Decision, id::Key};
use std::{net::SocketAddr, time::Duration};
use tokio::time;

/// Time limit for a request, including the response body.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// HTTP client for the operator endpoints of one entry.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    pool: Pool,
    address: SocketAddr,
    token: Secret,
}

impl OperatorClient {
    /// Creates a client that authenticates with the operator `token`; it connects on first use.
    pub fn new(address: SocketAddr, token: Secret) -> Self {
        Self {
            pool: Pool::new(TIMEOUT),
            address,
            token,
        }
    }

    /// Returns the status of the entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry is unreachable, does not respond within 5 s, responds with an error (such
    /// as for a wrong token) or sends a malformed body.
    pub async fn status(&self) -> Result<View, Error> {
        let body = self.send(Method::GET, "/v1/status").await?;
        let status = serde_json::from_slice(&body).map_err(Error::MalformedResponse)?;
        Ok(View::Status(status))
    }

    /// Starts draining the entry; on a draining entry, has it log the requests in flight.
    ///
    /// # Errors
    ///
    /// Fails under the same conditions as [`status`](Self::status).
    pub async fn drain(&self) -> Result<View, Error> {
        self.send(Method::POST, "/v1/drain").await?;
        Ok(View::Draining {
            entry: self.address,
        })
    }

    /// Returns the routing decisions about a request.
    ///
    /// # Errors
    ///
    /// Fails under the same conditions as [`status`](Self::status).
    pub async fn explain(&self, key: &Key) -> Result<View, Error> {
        let path = format!(
            "/v1/requests/{}/{}/{}/decisions",
            key.pipeline, key.workspace, key.request
        );
        let body = self.send(Method::GET, &path).await?;
        let decisions: Vec<Decision> =
            serde_json::from_slice(&body).map_err(Error::MalformedResponse)?;
        Ok(View::Decisions(decisions))
    }

    async fn send(&self, method: Method, path: &str) -> Result<Bytes, Error> {
        let mut request = Request::new(Full::default());
        *request.method_mut() = method;
        *request.uri_mut() = path
            .parse()
            .map_err(|_malformed| Error::MalformedRequest { text: path.into() })?;
        let token = format!("Bearer {}", self.token.expose());
        if let Ok(mut value) = HeaderValue::from_str(&token) {
            value.set_sensitive(true);
            request.headers_mut().insert(header::AUTHORIZATION, value);
        }
        let exchange = async {
            let address = self.address.to_string();
            let response = self.pool.send(&address, request, Reuse::Never).await?;
            let status = response.status();
            Ok((status, response.bytes(MAX_BODY_BYTES).await?))
        };
        let answer = time::timeout(TIMEOUT, exchange).await;
        let (status, body): (StatusCode, Bytes) = answer.unwrap_or(Err(Error::Timeout))?;
        if status.is_success() {
            return Ok(body);
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        Err(Error::ErrorResponse { status, body })
    }
}
