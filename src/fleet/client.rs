//! The cloud's protocol over pooled connections. Lives on one thread.

use std::net::SocketAddrV4;
use std::time::Duration;

use awc::http::Method;
use awc::Client;
use thiserror::Error;

use crate::http::{HttpEndpoint, OutgoingRequest};
use crate::model::{MachineId, MachineType};
use crate::wire::{self, MachineNames, MachinePage, MachineTypeCatalog, RentalRequest};

/// The cloud answers in a fraction of a second; after this a request has an unknown outcome.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Machines in a page of the list.
const PAGE_SIZE: usize = 500;
/// Largest body accepted: a page of the list, whose machines take some 200 bytes each.
const BODY_SIZE_MAX: usize = 1024 * 1024;

/// Why a request to the cloud failed.
#[derive(Debug, Error, PartialEq)]
pub enum CloudError {
    /// The pool has no capacity.
    #[error("no capacity")]
    NoCapacity,
    /// The cloud refused the request, or has a fault.
    #[error("the cloud refuses ({0})")]
    Refused(u16),
    /// No answer; it may have been executed.
    #[error("no answer from the cloud")]
    Unknown,
    /// An answer that cannot be decoded.
    #[error("the answer of the cloud cannot be decoded: {0}")]
    Undecodable(String),
}

/// The client.
#[derive(Clone)]
pub struct CloudClient {
    remote: HttpEndpoint,
}

impl CloudClient {
    /// A client of the cloud at `address`.
    pub fn new(address: SocketAddrV4, http: Client) -> Self {
        Self {
            remote: HttpEndpoint::new(address, http, BODY_SIZE_MAX),
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
        let answer = self.remote.send(request).await;
        let (status, body) = answer.map_err(|_| CloudError::Unknown)?;
        match status {
            200 => Ok(body),
            503 if is_no_capacity(&body) => Err(CloudError::NoCapacity),
            status => Err(CloudError::Refused(status)),
        }
    }

    fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CloudError> {
        wire::decode(body).map_err(|error| CloudError::Undecodable(error.to_string()))
    }

    /// The machine types.
    pub async fn catalog(&self) -> Result<Vec<MachineType>, CloudError> {
        let body = self.call(Method::GET, "/flavors", None).await?;
        Self::read::<MachineTypeCatalog>(&body).map(MachineTypeCatalog::machine_types)
    }

    /// Rents machines; returns their names.
    pub async fn rent(&self, request: &RentalRequest) -> Result<Vec<String>, CloudError> {
        let body = wire::encode(request);
        let body = self.call(Method::POST, "/machines", Some(body)).await?;
        Self::read::<MachineNames>(&body).map(|names| names.machines)
    }

    /// Releases machines. When this succeeds, all tasks on them are confirmed terminated.
    pub async fn release(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = wire::encode(&MachineNames {
            machines: machines.iter().map(|id| id.0.to_string()).collect(),
        });
        self.call(Method::POST, "/machines/return", Some(body))
            .await
            .map(|_| ())
    }

    /// The page of the machine list that begins after a machine's name.
    pub async fn list_page(&self, after: Option<&str>) -> Result<MachinePage, CloudError> {
        let path = match after {
            Some(after) => format!("/machines?after={after}&limit={PAGE_SIZE}"),
            None => format!("/machines?limit={PAGE_SIZE}"),
        };
        let body = self.call(Method::GET, &path, None).await?;
        Self::read(&body)
    }
}

fn is_no_capacity(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct ErrorBody {
        error: String,
    }
    wire::decode::<ErrorBody>(body).is_ok_and(|body| body.error == "no capacity")
}
