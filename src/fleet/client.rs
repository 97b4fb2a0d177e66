//! A client of the cloud's protocol over pooled connections. It must stay on one thread.

use std::net::SocketAddrV4;
use std::time::Duration;

use awc::http::Method;
use awc::Client;
use thiserror::Error;

use crate::http::{HttpEndpoint, OutgoingRequest};
use crate::model::{MachineId, MachineType};
use crate::wire::{self, MachineNames, MachinePage, MachineTypeCatalog, RentalRequest};

/// The cloud responds in a fraction of a second. After this time the outcome of a request is
/// unknown.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of machines per page of the machine list.
const PAGE_SIZE: usize = 500;
/// The largest response body in bytes. A page of the machine list is the largest response; a
/// machine takes about 200 bytes in it.
const BODY_BYTES_MAX: usize = 1024 * 1024;

/// The error of a request to the cloud.
#[derive(Debug, Error, PartialEq)]
pub enum CloudError {
    /// The pool has no capacity for a rental.
    #[error("the cloud has no capacity in the requested pool")]
    NoCapacity,
    /// The cloud responded with another HTTP status than 200: it rejected the request or failed.
    #[error("the cloud rejected the request with HTTP status {0}")]
    Refused(u16),
    /// No complete response arrived. The cloud may have executed the request.
    #[error("no complete response from the cloud; the request may have been executed")]
    OutcomeUnknown,
    /// The body of a successful response can't be decoded; with the decoder's message.
    #[error("response of the cloud cannot be decoded: {0}")]
    Undecodable(String),
}

/// A client of one cloud endpoint. Clones share the connections.
#[derive(Clone)]
pub struct CloudClient {
    endpoint: HttpEndpoint,
}

impl CloudClient {
    /// Creates a client that sends its requests to `address`.
    pub fn new(address: SocketAddrV4, http: Client) -> Self {
        Self {
            endpoint: HttpEndpoint::new(address, http, BODY_BYTES_MAX),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Vec<u8>, CloudError> {
        let request = OutgoingRequest {
            method,
            path,
            body,
            timeout: REQUEST_TIMEOUT,
        };
        let response = self.endpoint.send(request).await;
        let (status, body) = response.map_err(|_| CloudError::OutcomeUnknown)?;
        match status {
            200 => Ok(body),
            503 if is_no_capacity(&body) => Err(CloudError::NoCapacity),
            status => Err(CloudError::Refused(status)),
        }
    }

    fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CloudError> {
        wire::decode(body).map_err(|error| CloudError::Undecodable(error.to_string()))
    }

    /// Requests all machine types that the cloud offers.
    pub async fn catalog(&self) -> Result<Vec<MachineType>, CloudError> {
        let body = self.call(Method::GET, "/flavors", None).await?;
        Self::decode::<MachineTypeCatalog>(&body).map(MachineTypeCatalog::machine_types)
    }

    /// Rents machines and returns their names, which may be fewer than requested.
    pub async fn rent(&self, request: &RentalRequest) -> Result<Vec<String>, CloudError> {
        let body = wire::encode(request);
        let body = self.call(Method::POST, "/machines", Some(body)).await?;
        Self::decode::<MachineNames>(&body).map(|names| names.machines)
    }

    /// Releases machines. Success confirms that all tasks on them are terminated.
    pub async fn release(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = wire::encode(&MachineNames {
            machines: machines.iter().map(|id| id.0.to_string()).collect(),
        });
        self.call(Method::POST, "/machines/return", Some(body))
            .await
            .map(|_| ())
    }

    /// Requests the page of the machine list after the machine named `after`, or the first page.
    pub async fn list_page(&self, after: Option<&str>) -> Result<MachinePage, CloudError> {
        let path = match after {
            Some(after) => format!("/machines?after={after}&limit={PAGE_SIZE}"),
            None => format!("/machines?limit={PAGE_SIZE}"),
        };
        let body = self.call(Method::GET, &path, None).await?;
        Self::decode(&body)
    }
}

fn is_no_capacity(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct ErrorBody {
        error: String,
    }
    wire::decode::<ErrorBody>(body).is_ok_and(|body| body.error == "no capacity")
}
