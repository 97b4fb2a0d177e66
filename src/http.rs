//! The HTTP client for requests to the key-value store and the cloud.

use std::net::SocketAddrV4;
use std::time::Duration;

use awc::error::PayloadError;
use awc::http::Method;
use awc::Client;
use thiserror::Error;

use crate::wire;

/// Why a request brought no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestFailure {
    /// There was no complete response in time.
    #[error("no answer")]
    NoAnswer,
    /// The response is larger than the limit.
    #[error("the answer is too large")]
    AnswerTooLarge,
}

/// A server with its pooled connections.
#[derive(Clone)]
pub struct Remote {
    base: String,
    http: Client,
    largest: usize,
}

/// A request to be made.
pub struct OutgoingRequest<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// CBOR body.
    pub body: Option<Vec<u8>>,
    /// Time for the response.
    pub limit: Duration,
}

impl Remote {
    /// The server at `address`; response bodies above `largest` bytes are rejected.
    pub fn new(address: SocketAddrV4, http: Client, largest: usize) -> Self {
        Self {
            base: format!("http://{address}"),
            http,
            largest,
        }
    }

    /// Sends a request. After a failure it is unknown whether the request was carried out.
    pub async fn send(
        &self,
        outgoing: OutgoingRequest<'_>,
    ) -> Result<(u16, Vec<u8>), RequestFailure> {
        let request = self
            .http
            .request(outgoing.method, format!("{}{}", self.base, outgoing.path))
            .timeout(outgoing.limit);
        let sent = match outgoing.body {
            Some(body) => request.content_type(wire::CBOR).send_body(body),
            None => request.send(),
        };
        let mut answer = sent.await.map_err(|_| RequestFailure::NoAnswer)?;
        let status = answer.status().as_u16();
        match answer.body().limit(self.largest).await {
            Ok(body) => Ok((status, body.to_vec())),
            Err(PayloadError::Overflow) => Err(RequestFailure::AnswerTooLarge),
            Err(_) => Err(RequestFailure::NoAnswer),
        }
    }
}
