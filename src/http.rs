//! The HTTP client for requests to the key-value store and to the cloud.

use std::net::SocketAddrV4;
use std::time::Duration;

use awc::error::PayloadError;
use awc::http::Method;
use awc::Client;
use thiserror::Error;

use crate::wire;

/// Why a request got no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// No complete response arrived in time, or the connection failed.
    #[error("no complete response")]
    NoResponse,
    /// The response body exceeds the size limit.
    #[error("the response body is too large")]
    ResponseTooLarge,
}

/// The address of a server and the HTTP client with its pooled connections.
#[derive(Clone)]
pub struct HttpEndpoint {
    base_url: String,
    http: Client,
    body_bytes_max: usize,
}

/// A request that has not been sent yet.
pub struct OutgoingRequest<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The path with the query, appended to the server's address.
    pub path: &'a str,
    /// The CBOR body, if the request has one.
    pub body: Option<Vec<u8>>,
    /// Timeout for the response.
    pub timeout: Duration,
}

impl HttpEndpoint {
    /// Creates the endpoint for the server at `address`. Response bodies larger than `body_bytes_max` are
    /// rejected.
    pub fn new(address: SocketAddrV4, http: Client, body_bytes_max: usize) -> Self {
        Self {
            base_url: format!("http://{address}"),
            http,
            body_bytes_max,
        }
    }

    /// Sends a request and returns the status and body of the response. After an error it is unknown
    /// whether the server executed the request.
    pub async fn send(
        &self,
        outgoing: OutgoingRequest<'_>,
    ) -> Result<(u16, Vec<u8>), RequestError> {
        let request = self
            .http
            .request(
                outgoing.method,
                format!("{}{}", self.base_url, outgoing.path),
            )
            .timeout(outgoing.timeout);
        let sent = match outgoing.body {
            Some(body) => request
                .content_type(wire::CBOR_CONTENT_TYPE)
                .send_body(body),
            None => request.send(),
        };
        let mut response = sent.await.map_err(|_| RequestError::NoResponse)?;
        let status = response.status().as_u16();
        match response.body().limit(self.body_bytes_max).await {
            Ok(body) => Ok((status, body.to_vec())),
            Err(PayloadError::Overflow) => Err(RequestError::ResponseTooLarge),
            Err(_) => Err(RequestError::NoResponse),
        }
    }
}
