//! The cloud's protocol over pooled connections. Lives on one thread.

use std::net::SocketAddrV4;
use std::time::Duration;

use awc::http::Method;
use awc::Client;
use thiserror::Error;

use crate::http::{OutgoingRequest, Remote};
use crate::model::{MachineId, MachineType};
use crate::wire::{self, MachineNames, MachinePage, MachineTypeCatalog, RentalRequest};

/// The cloud answers in a fraction of a second; beyond this it is taken not to.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
/// Machines a page of the list.
const PAGE: usize = 500;
/// Largest body taken: a page of the list, whose machines take some 200 bytes each.
const LARGEST: usize = 1024 * 1024;

/// Why a request to the cloud brought nothing.
#[derive(Debug, Error, PartialEq)]
pub enum CloudError {
    /// None to be had of that type, zone and kind.
    #[error("no capacity")]
    NoCapacity,
    /// Refused, or in trouble.
    #[error("the cloud refuses ({0})")]
    Refused(u16),
    /// No answer; it may have been executed.
    #[error("no answer from the cloud")]
    Unknown,
    /// An answer that makes no sense.
    #[error("the cloud answered nonsense: {0}")]
    Nonsense(String),
}

/// The client.
#[derive(Clone)]
pub struct CloudClient {
    remote: Remote,
}

impl CloudClient {
    /// A client of the cloud at `address`.
    pub fn new(address: SocketAddrV4, http: Client) -> Self {
        Self {
            remote: Remote::new(address, http, LARGEST),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Vec<u8>, CloudError> {
        let ask = OutgoingRequest {
            method,
            path,
            body,
            limit: ANSWER_LIMIT,
        };
        let answer = self.remote.send(ask).await;
        let (status, body) = answer.map_err(|_| CloudError::Unknown)?;
        match status {
            200 => Ok(body),
            503 if says_no_capacity(&body) => Err(CloudError::NoCapacity),
            status => Err(CloudError::Refused(status)),
        }
    }

    fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CloudError> {
        wire::decode(body).map_err(|error| CloudError::Nonsense(error.to_string()))
    }

    /// The machine types.
    pub async fn catalog(&self) -> Result<Vec<MachineType>, CloudError> {
        let body = self.call(Method::GET, "/flavors", None).await?;
        Self::read::<MachineTypeCatalog>(&body).map(MachineTypeCatalog::machine_types)
    }

    /// Rents; the names of the machines.
    pub async fn rent(&self, request: &RentalRequest) -> Result<Vec<String>, CloudError> {
        let body = wire::encode(request);
        let body = self.call(Method::POST, "/machines", Some(body)).await?;
        Self::read::<MachineNames>(&body).map(|names| names.machines)
    }

    /// Returns; when this succeeds the machines and all on them are gone.
    pub async fn release(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = wire::encode(&MachineNames {
            machines: machines.iter().map(|id| id.0.to_string()).collect(),
        });
        self.call(Method::POST, "/machines/return", Some(body))
            .await
            .map(|_| ())
    }

    /// A page of the list, which begins after a machine's name.
    pub async fn list_page(&self, after: Option<&str>) -> Result<MachinePage, CloudError> {
        let path = match after {
            Some(after) => format!("/machines?after={after}&limit={PAGE}"),
            None => format!("/machines?limit={PAGE}"),
        };
        let body = self.call(Method::GET, &path, None).await?;
        Self::read(&body)
    }
}

fn says_no_capacity(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Said {
        error: String,
    }
    wire::decode::<Said>(body).is_ok_and(|said| said.error == "no capacity")
}
