//! `GET /admin/settings` and `PUT /admin/settings`.
//!
//! The settings are stored in the key-value store under a version: every controller takes them up
//! through its watch, and they outlive all controllers.

use std::time::Duration;

use actix::Addr;
use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use super::{refuse, unavailable, Store};
use crate::service::operator::OperatorSettings;
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::{
    keys, to_value, Change, Condition, Transaction, TransactionOutcome, WritePriority,
};

/// A change of settings is answered by then.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings with the version that a change has to name.
#[derive(Debug, Serialize, Deserialize)]
pub struct VersionedSettings {
    /// Version of the settings read; 0: none were ever set.
    pub version: u64,
    /// The settings.
    pub settings: OperatorSettings,
}

/// `GET /admin/settings`
pub async fn settings(shared: web::Data<Shared>) -> HttpResponse {
    let (loaded, version) = {
        let replica = shared.replica.lock();
        (replica.loaded, replica.settings.version)
    };
    if !loaded {
        return unavailable();
    }
    let settings = shared.operator.lock().clone();
    HttpResponse::Ok().json(VersionedSettings { version, settings })
}

/// `PUT /admin/settings`
pub async fn set_settings(
    shared: web::Data<Shared>,
    store: Store,
    body: web::Bytes,
) -> HttpResponse {
    let requested: VersionedSettings = match serde_json::from_slice(&body) {
        Ok(requested) => requested,
        Err(error) => return refuse(HttpResponse::BadRequest(), error.to_string()),
    };
    change(&shared, &store, requested).await
}

/// Writes the operators' settings, unless they have changed since the version named.
pub(super) async fn change(
    shared: &Shared,
    store: &Addr<StoreActor>,
    requested: VersionedSettings,
) -> HttpResponse {
    let value_kb = shared.settings.params.state.value_kb;
    if let Err(error) = requested.settings.validate(value_kb) {
        return refuse(HttpResponse::BadRequest(), error.to_string());
    }
    if !shared.replica.lock().loaded {
        return unavailable();
    }
    let transaction = Transaction::new(
        vec![Condition::new(keys::SETTINGS, requested.version)],
        vec![Change::put(keys::SETTINGS, to_value(&requested.settings))],
    );
    let sent = actix::clock::timeout(
        CHANGE_TIMEOUT,
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
            refuse(HttpResponse::Conflict(), error)
        }
        _ => unavailable(),
    }
}
