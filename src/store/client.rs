//! A client of the key-value store over pooled connections. It stays on one thread.

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
use crate::timing::slowness;
use crate::wire;

/// Without a response by then the outcome is unknown. The store responds within a few hundred
/// milliseconds, and the response to a user counts as late after a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Share of the memory that the body of one response may take. Decoded it takes several times as
/// much, and the store does not limit the size of a watch's response.
const RESPONSE_MEMORY_SHARE: f64 = 0.05;
/// Smallest limit on a response: a page of keys may have 512 KiB in the form by which the store
/// measures it.
const RESPONSE_BYTES_MIN: usize = 1024 * 1024;
/// Keys per page, so that no page is refused for its size.
const KEYS_PER_PAGE: usize = 500;

/// Largest response that a process with so much memory accepts. A watch with a larger one counts as
/// compacted, and all keys are read again page by page.
pub fn response_bytes_max(mem_mb: f64) -> usize {
    let part = mem_mb * 1024.0 * 1024.0 * RESPONSE_MEMORY_SHARE;
    (part as usize).max(RESPONSE_BYTES_MIN)
}

/// A client of the key-value store.
#[derive(Clone)]
pub struct StoreClient {
    remote: HttpEndpoint,
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
    /// A client of the store in the settings. Its limits follow from the memory of the process and
    /// its share of a processor.
    pub fn new(settings: &Settings, http: Client) -> Self {
        let largest = response_bytes_max(settings.params.resources.mem_mb);
        Self {
            remote: HttpEndpoint::new(settings.external.store, http, largest),
            response_timeout: RESPONSE_TIMEOUT.mul_f64(slowness(settings)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let request = OutgoingRequest {
            method,
            path,
            body,
            timeout: limit,
        };
        let sent = self.remote.send(request).await;
        sent.map_err(|failure| match failure {
            RequestError::NoResponse => StoreError::OutcomeUnknown,
            RequestError::ResponseTooLarge => StoreError::ResponseTooLarge,
        })
    }

    fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
        wire::decode(body).map_err(|error| StoreError::MalformedResponse(error.to_string()))
    }

    /// Decodes the body of a successful response; any other status is an error.
    fn decode_ok<T: DeserializeOwned>((status, body): (u16, Vec<u8>)) -> Result<T, StoreError> {
        match status {
            200 => Self::decode(&body),
            _ => Err(Self::error_of(status, &body)),
        }
    }

    fn error_of(status: u16, body: &[u8]) -> StoreError {
        match status {
            STATUS_RATE_LIMITED | 503 => StoreError::Refused(status),
            404 => StoreError::LeaseExpired,
            410 => StoreError::HistoryCompacted,
            _ => StoreError::MalformedResponse(format!(
                "status {status}: {}",
                wire::decode::<super::Value>(body)
                    .map(|v| format!("{v:?}"))
                    .unwrap_or_default()
            )),
        }
    }

    /// Executes one compare-and-swap transaction.
    pub async fn transact(&self, transaction: &Transaction) -> TransactionOutcome {
        let body = wire::encode(&TransactionRequest {
            conditions: &transaction.conditions,
            changes: &transaction.changes,
        });
        let sent = self.call(Method::POST, "/multi", Some(body), self.response_timeout);
        match sent.await {
            Err(error) => TransactionOutcome::Failed(error),
            Ok((200, body)) => match Self::decode::<TransactionResponse>(&body) {
                Ok(read) => TransactionOutcome::Committed(read.revision),
                // It was committed, but at a revision that can not be decoded.
                Err(_) => TransactionOutcome::Failed(StoreError::OutcomeUnknown),
            },
            Ok((409, body)) => match Self::decode::<TransactionResponse>(&body) {
                Ok(read) => TransactionOutcome::Conflict {
                    failed: read.failed,
                    revision: read.revision,
                },
                Err(error) => TransactionOutcome::Failed(error),
            },
            Ok((status, body)) => TransactionOutcome::Failed(Self::error_of(status, &body)),
        }
    }

    /// Reads a key, if it exists.
    pub async fn get(&self, key: &str) -> Result<Option<super::KeyValue>, StoreError> {
        let path = format!("/keys/{key}");
        match self
            .call(Method::GET, &path, None, self.response_timeout)
            .await?
        {
            (200, body) => Self::decode(&body).map(Some),
            (404, _) => Ok(None),
            (status, body) => Err(Self::error_of(status, &body)),
        }
    }

    /// Reads one page of the keys below a prefix, beginning after the key `after`.
    pub async fn page(&self, prefix: &str, after: Option<&str>) -> Result<KeyPage, StoreError> {
        let mut path = format!("/keys?under={prefix}&limit={KEYS_PER_PAGE}");
        if let Some(after) = after {
            path.push_str("&after=");
            path.push_str(after);
        }
        let response = self.call(Method::GET, &path, None, self.response_timeout);
        Self::decode_ok(response.await?)
    }

    /// Watches the keys below a prefix: resolves once there are changes after a revision, or after
    /// `timeout`. No response within `limit` is an unknown outcome.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout: Duration,
        limit: Duration,
    ) -> Result<WatchResponse, StoreError> {
        let path = format!(
            "/follow?under={prefix}&after={after}&holdMs={}",
            timeout.as_millis()
        );
        let response = match self.call(Method::GET, &path, None, limit).await {
            // Reading all keys page by page stays within the limit on a response.
            Err(StoreError::ResponseTooLarge) => return Err(StoreError::HistoryCompacted),
            answered => answered?,
        };
        Self::decode_ok(response)
    }

    /// Grants a new lease.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = wire::encode(&LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        });
        let sent = self.call(Method::POST, "/leases", Some(body), self.response_timeout);
        let response: LeaseResponse = Self::decode_ok(sent.await?)?;
        Ok(response.lease)
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: u64, limit: Duration) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}/renew");
        match self.call(Method::POST, &path, None, limit).await? {
            (200, _) => Ok(()),
            (status, body) => Err(Self::error_of(status, &body)),
        }
    }

    /// Revokes a lease; the store deletes the keys that depend on it.
    pub async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}");
        match self
            .call(Method::DELETE, &path, None, self.response_timeout)
            .await?
        {
            (200 | 204 | 404, _) => Ok(()),
            (status, body) => Err(Self::error_of(status, &body)),
        }
    }
}
