//! Client of an entry's interface for operators.

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

/// Longest time of one exchange.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Client of an entry's interface for operators.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    pool: Pool,
    address: SocketAddr,
    token: Secret,
}

impl OperatorClient {
    /// Creates a client of the entry at `address`.
    pub fn new(address: SocketAddr, token: Secret) -> Self {
        Self {
            pool: Pool::new(TIMEOUT),
            address,
            token,
        }
    }

    /// Shows the state of the entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry can't be asked or refuses the token.
    pub async fn status(&self) -> Result<View, Error> {
        let body = self.send(Method::GET, "/v1/status").await?;
        let status = serde_json::from_slice(&body).map_err(Error::MalformedResponse)?;
        Ok(View::Status(status))
    }

    /// Begins to drain the entry; again, has it log what is in flight.
    ///
    /// # Errors
    ///
    /// Fails as [`status`](Self::status) does.
    pub async fn drain(&self) -> Result<View, Error> {
        self.send(Method::POST, "/v1/drain").await?;
        Ok(View::Draining {
            entry: self.address,
        })
    }

    /// Shows the decisions about a request.
    ///
    /// # Errors
    ///
    /// Fails as [`status`](Self::status) does.
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
