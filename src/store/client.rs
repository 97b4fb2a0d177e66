//! The state service's protocol over pooled connections. Lives on one thread.

use std::time::Duration;

use awc::http::Method;
use awc::Client;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{Change, Condition, Follow, Page, StoreError, Transaction, TransactionOutcome};
use crate::config::Settings;
use crate::http::{OutgoingRequest, Remote, RequestFailure};
use crate::timing::slowness;
use crate::wire;

/// No answer by then means an unknown outcome. The service answers within a few hundred
/// milliseconds; a user waits a second before it counts as late.
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);
/// Part of the memory that the body of one answer may take. Decoded, it takes several times as much,
/// and a watch's answer has no limit of its own at the service.
const ANSWER_MEMORY_PART: f64 = 0.05;
/// Least limit on an answer: a page of keys may have 512 KiB in the form by which it is measured.
const ANSWER_BYTES_MIN: usize = 1024 * 1024;
/// Keys a page, so that no page is refused for its size.
const PAGE: usize = 500;

/// Largest answer of the state service that a process with so much memory takes. A watch that has
/// more to tell counts as too old, and all keys are read again page by page.
pub fn answer_bytes_max(mem_mb: f64) -> usize {
    let part = mem_mb * 1024.0 * 1024.0 * ANSWER_MEMORY_PART;
    (part as usize).max(ANSWER_BYTES_MIN)
}

/// The client.
#[derive(Clone)]
pub struct StoreClient {
    remote: Remote,
    answer_limit: Duration,
}

#[derive(Serialize)]
struct Multi<'a> {
    when: &'a [Condition],
    #[serde(skip_serializing_if = "<[Change]>::is_empty")]
    apply: &'a [Change],
}

#[derive(Deserialize)]
struct Revision {
    #[serde(rename = "epoch")]
    revision: u64,
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Serialize)]
struct Ttl {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Lease {
    hold: u64,
}

impl StoreClient {
    /// A client of the state service in the settings. Its limits follow from the process's memory
    /// and its share of a processor.
    pub fn new(settings: &Settings, http: Client) -> Self {
        let largest = answer_bytes_max(settings.params.resources.mem_mb);
        Self {
            remote: Remote::new(settings.external.state, http, largest),
            answer_limit: ANSWER_LIMIT.mul_f64(slowness(settings)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let ask = OutgoingRequest {
            method,
            path,
            body,
            limit,
        };
        let sent = self.remote.send(ask).await;
        sent.map_err(|failure| match failure {
            RequestFailure::NoAnswer => StoreError::Unknown,
            RequestFailure::AnswerTooLarge => StoreError::AnswerTooLarge,
        })
    }

    fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
        wire::decode(body).map_err(|error| StoreError::Nonsense(error.to_string()))
    }

    fn refusal(status: u16, body: &[u8]) -> StoreError {
        match status {
            429 | 503 => StoreError::Refused(status),
            404 => StoreError::LeaseOver,
            410 => StoreError::TooOld,
            _ => StoreError::Nonsense(format!(
                "status {status}: {}",
                wire::decode::<super::Value>(body)
                    .map(|v| format!("{v:?}"))
                    .unwrap_or_default()
            )),
        }
    }

    /// One transaction, as it stands.
    pub async fn transact(&self, group: &Transaction) -> TransactionOutcome {
        let body = wire::encode(&Multi {
            when: &group.conditions,
            apply: &group.changes,
        });
        let sent = self.call(Method::POST, "/multi", Some(body), self.answer_limit);
        match sent.await {
            Err(error) => TransactionOutcome::Failed(error),
            Ok((200, body)) => match Self::read::<Revision>(&body) {
                Ok(read) => TransactionOutcome::Committed(read.revision),
                // It was executed, but not at a revision we can tell.
                Err(_) => TransactionOutcome::Failed(StoreError::Unknown),
            },
            Ok((409, body)) => match Self::read::<Revision>(&body) {
                Ok(read) => TransactionOutcome::Conflict {
                    failed: read.failed,
                    revision: read.revision,
                },
                Err(error) => TransactionOutcome::Failed(error),
            },
            Ok((status, body)) => TransactionOutcome::Failed(Self::refusal(status, &body)),
        }
    }

    /// One key's value and version, if there is one.
    pub async fn get(&self, key: &str) -> Result<Option<super::Row>, StoreError> {
        let path = format!("/keys/{key}");
        match self
            .call(Method::GET, &path, None, self.answer_limit)
            .await?
        {
            (200, body) => Self::read(&body).map(Some),
            (404, _) => Ok(None),
            (status, body) => Err(Self::refusal(status, &body)),
        }
    }

    /// The keys below a prefix that come after one, as many as a page holds.
    pub async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        let mut path = format!("/keys?under={prefix}&limit={PAGE}");
        if let Some(after) = after {
            path.push_str("&after=");
            path.push_str(after);
        }
        let (status, body) = self
            .call(Method::GET, &path, None, self.answer_limit)
            .await?;
        if status == 200 {
            Self::read(&body)
        } else {
            Err(Self::refusal(status, &body))
        }
    }

    /// Waits for changes below a prefix after a revision.
    pub async fn follow(
        &self,
        prefix: &str,
        after: u64,
        hold: Duration,
        limit: Duration,
    ) -> Result<Follow, StoreError> {
        let path = format!(
            "/follow?under={prefix}&after={after}&holdMs={}",
            hold.as_millis()
        );
        let (status, body) = match self.call(Method::GET, &path, None, limit).await {
            // More changes than fit: read page by page, they do.
            Err(StoreError::AnswerTooLarge) => return Err(StoreError::TooOld),
            answered => answered?,
        };
        if status == 200 {
            Self::read(&body)
        } else {
            Err(Self::refusal(status, &body))
        }
    }

    /// A new lease.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = wire::encode(&Ttl {
            ttl_ms: ttl.as_millis() as u64,
        });
        let sent = self.call(Method::POST, "/leases", Some(body), self.answer_limit);
        match sent.await? {
            (200, body) => Self::read::<Lease>(&body).map(|lease| lease.hold),
            (status, body) => Err(Self::refusal(status, &body)),
        }
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: u64, limit: Duration) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}/renew");
        match self.call(Method::POST, &path, None, limit).await? {
            (200, _) => Ok(()),
            (status, body) => Err(Self::refusal(status, &body)),
        }
    }

    /// Ends a lease; its keys go with it.
    pub async fn end(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}");
        match self
            .call(Method::DELETE, &path, None, self.answer_limit)
            .await?
        {
            (200 | 204 | 404, _) => Ok(()),
            (status, body) => Err(Self::refusal(status, &body)),
        }
    }
}
