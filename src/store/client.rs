//! The state service's protocol over pooled connections. Lives on one thread.

use std::net::SocketAddrV4;
use std::time::Duration;

use awc::http::Method;
use awc::Client;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{Change, Condition, Follow, Group, Outcome, Page, StoreError};
use crate::http::{OutgoingRequest, Remote};
use crate::wire;

/// No answer by then means an unknown outcome. The service answers within a few hundred
/// milliseconds; a user waits a second before it counts as late.
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);
/// Largest body taken from the service; a watch has no limit of its own.
const LARGEST: usize = 16 * 1024 * 1024;
/// Keys a page, so that no page is refused for its size.
const PAGE: usize = 500;

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
    /// A client of the service at `address`, for a process that may take so many times as long as
    /// usual to take an answer up.
    pub fn new(address: SocketAddrV4, http: Client, slowness: f64) -> Self {
        Self {
            remote: Remote::new(address, http, LARGEST),
            answer_limit: ANSWER_LIMIT.mul_f64(slowness),
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
        self.remote.send(ask).await.ok_or(StoreError::Unknown)
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
    pub async fn transact(&self, group: &Group) -> Outcome {
        let body = wire::encode(&Multi {
            when: &group.when,
            apply: &group.apply,
        });
        let sent = self.call(Method::POST, "/multi", Some(body), self.answer_limit);
        match sent.await {
            Err(error) => Outcome::Failed(error),
            Ok((200, body)) => match Self::read::<Revision>(&body) {
                Ok(read) => Outcome::Committed(read.revision),
                // It was executed, but not at a revision we can tell.
                Err(_) => Outcome::Failed(StoreError::Unknown),
            },
            Ok((409, body)) => match Self::read::<Revision>(&body) {
                Ok(read) => Outcome::Conflict {
                    failed: read.failed,
                    revision: read.revision,
                },
                Err(error) => Outcome::Failed(error),
            },
            Ok((status, body)) => Outcome::Failed(Self::refusal(status, &body)),
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
        let (status, body) = self.call(Method::GET, &path, None, limit).await?;
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
