//! Handlers of `GET /admin/machines/{name}` and `POST /admin/machines/{name}/drain`.

use actix_web::{web, HttpResponse};

use super::settings::{write_settings, VersionedSettings};
use super::views::MachineStatus;
use super::{cluster_response, store_unavailable, StoreAddr};
use crate::model::MachineId;
use crate::service::Shared;

/// `GET /admin/machines/{name}`: the status of one machine; only the leader has it.
pub async fn machine(shared: web::Data<Shared>, path: web::Path<String>) -> HttpResponse {
    let id = MachineId(path.as_str().into());
    cluster_response(&shared, "machine", |cluster, now| {
        let machine = cluster.machines.get(&id)?;
        let evaluator = cluster.health_evaluator(now);
        Some(MachineStatus::of(cluster, machine, &evaluator))
    })
}

/// `POST /admin/machines/{name}/drain`: adds the machine to the drained ones in the operators' settings, so
/// that no new tasks are placed on it.
pub async fn drain(
    shared: web::Data<Shared>,
    store: StoreAddr,
    path: web::Path<String>,
) -> HttpResponse {
    let current = VersionedSettings::of_replica(&shared.replica.lock());
    let Some(mut requested) = current else {
        return store_unavailable();
    };
    let name = path.into_inner();
    let drained = &mut requested.settings.drained;
    if !drained.contains(&name) {
        drained.push(name);
    }
    write_settings(&shared, &store, requested).await
}
