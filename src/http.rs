//! The one way in which this process asks others over HTTP.

use std::net::SocketAddrV4;
use std::time::Duration;

use awc::http::Method;
use awc::Client;

use crate::wire;

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
    /// How long to wait for the answer.
    pub limit: Duration,
}

impl Remote {
    /// The server at `address`, from which no body above `largest` is taken.
    pub fn new(address: SocketAddrV4, http: Client, largest: usize) -> Self {
        Self {
            base: format!("http://{address}"),
            http,
            largest,
        }
    }

    /// Sends a request; `None` if there was no whole answer in time, whatever became of the request.
    pub async fn send(&self, outgoing: OutgoingRequest<'_>) -> Option<(u16, Vec<u8>)> {
        let request = self
            .http
            .request(outgoing.method, format!("{}{}", self.base, outgoing.path))
            .timeout(outgoing.limit);
        let sent = match outgoing.body {
            Some(body) => request.content_type(wire::CBOR).send_body(body),
            None => request.send(),
        };
        let mut answer = sent.await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.body().limit(self.largest).await.ok()?;
        Some((status, body.to_vec()))
    }
}
