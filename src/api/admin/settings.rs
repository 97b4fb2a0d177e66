//! Handlers of `GET /admin/settings` and `PUT /admin/settings`.
//!
//! The settings are stored with a version in the key-value store. Every controller applies them when its
//! watch reports them, and they persist when all controllers are restarted.

use std::time::Duration;

use actix::Addr;
use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use super::{error_response, store_unavailable, StoreAddr};
use crate::service::operator::OperatorSettings;
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::replica::Replica;
use crate::store::{keys, Transaction, TransactionOutcome, WritePriority};

/// Timeout for the write of a change; without an outcome by then the response is 503.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings with their version, which a change must name to be accepted.
#[derive(Debug, Serialize, Deserialize)]
pub struct VersionedSettings {
    /// Store version of the settings; 0 if none were ever set.
    pub version: u64,
    /// The operators' settings in full; a change replaces all of them.
    pub settings: OperatorSettings,
}

impl VersionedSettings {
    /// The settings and their version from one state of the replica; `None` until it is loaded.
    pub(super) fn of_replica(replica: &Replica) -> Option<Self> {
        replica.loaded.then(|| Self {
            version: replica.settings.version,
            settings: OperatorSettings::of_replica(replica),
        })
    }
}

/// `GET /admin/settings`: the operators' settings with their version.
pub async fn settings(shared: web::Data<Shared>) -> HttpResponse {
    let current = VersionedSettings::of_replica(&shared.replica.lock());
    match current {
        Some(current) => HttpResponse::Ok().json(current),
        None => store_unavailable(),
    }
}

/// `PUT /admin/settings`: replaces the operators' settings.
pub async fn set_settings(
    shared: web::Data<Shared>,
    store: StoreAddr,
    body: web::Bytes,
) -> HttpResponse {
    let requested: VersionedSettings = match serde_json::from_slice(&body) {
        Ok(requested) => requested,
        Err(error) => return error_response(HttpResponse::BadRequest(), error.to_string()),
    };
    write_settings(&shared, &store, requested).await
}

/// Writes the operators' settings, unless they have changed since `requested.version`.
pub(super) async fn write_settings(
    shared: &Shared,
    store: &Addr<StoreActor>,
    requested: VersionedSettings,
) -> HttpResponse {
    let value_kb = shared.settings.params.store.value_kb;
    if let Err(error) = requested.settings.validate(value_kb) {
        return error_response(HttpResponse::BadRequest(), error.to_string());
    }
    if !shared.replica.lock().loaded {
        return store_unavailable();
    }
    let key = keys::SETTINGS.to_owned();
    let transaction = Transaction::put_if_version(key, requested.version, &requested.settings);
    let sent = actix::clock::timeout(
        WRITE_TIMEOUT,
        store.send(Commit(transaction, WritePriority::High)),
    );
    match sent.await {
        Ok(Ok(TransactionOutcome::Committed(version))) => {
            HttpResponse::Ok().json(VersionedSettings {
                version,
                settings: requested.settings,
            })
        }
        Ok(Ok(TransactionOutcome::Conflict { .. })) => {
            let error = "the settings have changed since that version; read them again".to_owned();
            error_response(HttpResponse::Conflict(), error)
        }
        _ => store_unavailable(),
    }
}
