//! A client of the key-value store over pooled HTTP connections, for use on one thread.

use std::time::Duration;

use awc::http::Method;
use awc::Client;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{
    Change, Condition, KeyPage, StoreError, Transaction, TransactionOutcome, WatchResponse,
    STATUS_RATE_LIMITED,
};
use crate::config::Settings;
use crate::http::{HttpEndpoint, OutgoingRequest, RequestError};
use crate::timing::timeout_factor;
use crate::wire;

/// Time without a response after which the outcome of a request is unknown. The store responds within a
/// few hundred milliseconds, and a response to a user counts as late after a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Share of the process's memory that the body of one response may occupy. The decoded response occupies
/// several times as much, and the store does not limit the size of a response to a watch.
const RESPONSE_MEMORY_SHARE: f64 = 0.05;
/// Smallest limit on the body of a response: a page of keys may have 512 KiB in the encoding by which the
/// store measures it.
const RESPONSE_BYTES_MIN: usize = 1024 * 1024;
/// Largest number of keys per page. It is low enough that the store refuses no page for its size.
const KEYS_PER_PAGE: usize = 500;

/// Largest response body, in bytes, that a process with `mem_mb` MiB of memory accepts. A larger response
/// to a watch is treated as compacted history, so that all keys are read again page by page.
pub fn response_bytes_max(mem_mb: f64) -> usize {
    let part = mem_mb * 1024.0 * 1024.0 * RESPONSE_MEMORY_SHARE;
    (part as usize).max(RESPONSE_BYTES_MIN)
}

/// A client of the key-value store. Clones share the connections.
#[derive(Clone)]
pub struct StoreClient {
    endpoint: HttpEndpoint,
    response_timeout: Duration,
}

#[derive(Serialize)]
struct TransactionRequest<'a> {
    #[serde(rename = "when")]
    conditions: &'a [Condition],
    #[serde(rename = "apply", skip_serializing_if = "<[Change]>::is_empty")]
    changes: &'a [Change],
}

#[derive(Deserialize)]
struct TransactionResponse {
    #[serde(rename = "epoch")]
    revision: u64,
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Serialize)]
struct LeaseRequest {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct LeaseResponse {
    #[serde(rename = "hold")]
    lease: u64,
}

impl StoreClient {
    /// Creates a client of the store that the settings name. The limit on responses follows from the
    /// memory of the process, and the response timeout from its share of a processor.
    pub fn new(settings: &Settings, http: Client) -> Self {
        let body_bytes_max = response_bytes_max(settings.params.resources.mem_mb);
        Self {
            endpoint: HttpEndpoint::new(settings.external.store, http, body_bytes_max),
            response_timeout: RESPONSE_TIMEOUT.mul_f64(timeout_factor(settings)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        response_timeout: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let request = OutgoingRequest {
            method,
            path,
            body,
            timeout: response_timeout,
        };
        let response = self.endpoint.send(request).await;
        response.map_err(|error| match error {
            RequestError::NoResponse => StoreError::OutcomeUnknown,
            RequestError::ResponseTooLarge => StoreError::ResponseTooLarge,
        })
    }

    fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
        wire::decode(body).map_err(|error| StoreError::MalformedResponse(error.to_string()))
    }

    /// Decodes the body of a response with status 200; any other status is an error.
    fn decode_ok<T: DeserializeOwned>((status, body): (u16, Vec<u8>)) -> Result<T, StoreError> {
        match status {
            200 => Self::decode(&body),
            _ => Err(Self::status_error(status, &body)),
        }
    }

    fn status_error(status: u16, body: &[u8]) -> StoreError {
        match status {
            STATUS_RATE_LIMITED | 503 => StoreError::Refused(status),
            404 => StoreError::LeaseExpired,
            410 => StoreError::HistoryCompacted,
            _ => StoreError::MalformedResponse(format!(
                "status {status}: {}",
                wire::decode::<super::Value>(body)
                    .map(|value| format!("{value:?}"))
                    .unwrap_or_default()
            )),
        }
    }

    /// Executes a compare-and-swap transaction. It is not retried.
    pub async fn transact(&self, transaction: &Transaction) -> TransactionOutcome {
        let body = wire::encode(&TransactionRequest {
            conditions: &transaction.conditions,
            changes: &transaction.changes,
        });
        let response = self.call(Method::POST, "/multi", Some(body), self.response_timeout);
        match response.await {
            Err(error) => TransactionOutcome::Failed(error),
            Ok((200, body)) => match Self::decode::<TransactionResponse>(&body) {
                Ok(response) => TransactionOutcome::Committed(response.revision),
                // The store committed it, but the revision cannot be decoded.
                Err(_) => TransactionOutcome::Failed(StoreError::OutcomeUnknown),
            },
            Ok((409, body)) => match Self::decode::<TransactionResponse>(&body) {
                Ok(response) => TransactionOutcome::Conflict {
                    failed: response.failed,
                    revision: response.revision,
                },
                Err(error) => TransactionOutcome::Failed(error),
            },
            Ok((status, body)) => TransactionOutcome::Failed(Self::status_error(status, &body)),
        }
    }

    /// Reads a key; `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<super::KeyValue>, StoreError> {
        let path = format!("/keys/{key}");
        match self
            .call(Method::GET, &path, None, self.response_timeout)
            .await?
        {
            (200, body) => Self::decode(&body).map(Some),
            (404, _) => Ok(None),
            (status, body) => Err(Self::status_error(status, &body)),
        }
    }

    /// Reads one page of the keys with a prefix: the first page, or the one after the key `after`.
    pub async fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<KeyPage, StoreError> {
        let mut path = format!("/keys?under={prefix}&limit={KEYS_PER_PAGE}");
        if let Some(after) = after {
            path.push_str("&after=");
            path.push_str(after);
        }
        let response = self.call(Method::GET, &path, None, self.response_timeout);
        Self::decode_ok(response.await?)
    }

    /// Watches the keys with a prefix: the store responds once there are changes after the revision `after`,
    /// or after `timeout`. Without a response within `response_timeout` the outcome is unknown.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout: Duration,
        response_timeout: Duration,
    ) -> Result<WatchResponse, StoreError> {
        let path = format!(
            "/follow?under={prefix}&after={after}&holdMs={}",
            timeout.as_millis()
        );
        let response = match self.call(Method::GET, &path, None, response_timeout).await {
            // The caller then reads all keys page by page, and each page is within the limit on a response.
            Err(StoreError::ResponseTooLarge) => return Err(StoreError::HistoryCompacted),
            response => response?,
        };
        Self::decode_ok(response)
    }

    /// Requests a new lease of duration `ttl`, and returns its id.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = wire::encode(&LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        });
        let granted = self.call(Method::POST, "/leases", Some(body), self.response_timeout);
        let response: LeaseResponse = Self::decode_ok(granted.await?)?;
        Ok(response.lease)
    }

    /// Renews a lease for its full duration. Without a response within `response_timeout` the outcome is
    /// unknown.
    pub async fn renew(&self, lease: u64, response_timeout: Duration) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}/renew");
        match self
            .call(Method::POST, &path, None, response_timeout)
            .await?
        {
            (200, _) => Ok(()),
            (status, body) => Err(Self::status_error(status, &body)),
        }
    }

    /// Revokes a lease, so that the store deletes the attached keys. A lease that has ended already counts as
    /// revoked.
    pub async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}");
        match self
            .call(Method::DELETE, &path, None, self.response_timeout)
            .await?
        {
            (200 | 204 | 404, _) => Ok(()),
            (status, body) => Err(Self::status_error(status, &body)),
        }
    }
}
